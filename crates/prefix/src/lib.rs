//! Which host still holds which opening text, and how far that is to be believed. Prompts are chains of hashed blocks
//! ([`chain`]); what reads told is kept by block and host ([`index`]); what reads bore out is weighed by host and over
//! the fleet ([`belief`]). No I/O, no clock, no chance: moments are told, the key of the hash is given.

pub mod belief;
pub mod chain;
pub mod follow;
pub mod index;
mod places;

use belief::{Beliefs, Sign};
use index::Index;
use std::time::Duration;

/// What a host is thought to hold of one prompt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Kept {
    pub host: u32,
    /// Blocks of the prompt's start.
    pub blocks: u32,
    /// How far that is believed, 0 to 1.
    pub belief: f64,
}

/// The index with what is believed of it.
pub struct Prefixes {
    index: Index,
    beliefs: Beliefs,
    found: Vec<(u32, u32)>,
}

impl Prefixes {
    /// Takes this much memory at once, and no more later.
    pub fn new(bytes: usize) -> Self {
        Prefixes { index: Index::new(bytes), beliefs: Beliefs::default(), found: Vec::new() }
    }

    pub fn index(&self) -> &Index {
        &self.index
    }

    /// What is known of a host: blocks held, and how far that is believed.
    pub fn host(&self, now: Duration, host: u32) -> (u32, f64) {
        (self.index.held(host), self.beliefs.of(now, host))
    }

    /// Whether many hosts contradict the index just now.
    pub fn doubted(&self) -> bool {
        self.beliefs.doubted()
    }

    /// A host is listed: what it can keep, in blocks, where told; `fresh` where its process has begun anew.
    pub fn listed(&mut self, host: u32, most: Option<u32>, fresh: bool) {
        self.index.room(host, most.unwrap_or(u32::MAX));
        if fresh {
            self.forgot(host);
        }
    }

    /// A host holds nothing any more, as it said or as its process is gone.
    pub fn forgot(&mut self, host: u32) {
        self.index.forget(host);
        self.beliefs.anew(host);
    }

    /// What each host is thought to hold of a prompt; hosts that hold nothing are left out.
    pub fn ask(&mut self, now: Duration, chain: &[u64], out: &mut Vec<Kept>) {
        out.clear();
        self.index.look_up(chain, &mut self.found);
        for &(host, blocks) in &self.found {
            // What it has read since its doubt began is not what is doubted.
            let anew = self.index.since_doubt(host, chain[blocks as usize - 1]);
            let belief = if anew { 1.0 } else { self.beliefs.of(now, host) };
            out.push(Kept { host, blocks, belief });
        }
    }

    /// A host has read a prompt: it found `found` blocks kept where `thought` were thought so, and holds all now. True if
    /// it had forgotten.
    pub fn read(&mut self, now: Duration, host: u32, chain: &[u64], thought: u32, found: u32) -> bool {
        let sign = self.beliefs.note(now, host, thought, found);
        match sign {
            Sign::Contradicts => self.index.doubt(host),
            Sign::Forgot => self.index.forget_doubted(host),
            Sign::Sound | Sign::Evicted => self.index.trust(host),
            Sign::Silent => {}
        }
        self.index.read(now, host, chain, sign == Sign::Evicted);
        sign == Sign::Forgot
    }
}
