//! Estimates which host has which prompt prefixes cached, and with which confidence.
//!
//! Prompts are chains of hashed blocks ([`chain`]). Reads (prefills) are recorded by block and host
//! ([`index`]). Comparing the estimates with what reads find cached gives a confidence per host and detects
//! hosts, or whole fleets, that have lost their caches ([`confidence`]). [`follow`] processes the cache
//! events of engines that publish them.
//!
//! No I/O, no clock and no randomness: the caller passes the time and the key of the hash.

pub mod chain;
pub mod confidence;
mod entry_table;
pub mod follow;
pub mod index;

use confidence::{Confidence, Evidence};
use index::Index;
use std::time::Duration;

/// What a host is estimated to have cached of a prompt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CachedPrefix {
    pub host: u32,
    /// Number of blocks from the start of the prompt.
    pub blocks: u32,
    /// Confidence in the estimate, 0 to 1.
    pub confidence: f64,
}

/// The index together with the confidence in it.
pub struct PrefixIndex {
    index: Index,
    confidence: Confidence,
    /// Scratch space: the hosts found, with their numbers of blocks.
    found: Vec<(u32, u32)>,
}

impl PrefixIndex {
    /// An index of at most `bytes` bytes. Almost all of the memory is allocated now.
    pub fn new(bytes: usize) -> Self {
        PrefixIndex { index: Index::new(bytes), confidence: Confidence::default(), found: Vec::new() }
    }

    pub fn index(&self) -> &Index {
        &self.index
    }

    /// A host's number of cached blocks as estimated, and the confidence in it.
    pub fn host_status(&self, now: Duration, host: u32) -> (u32, f64) {
        (self.index.held_blocks(host), self.confidence.of(now, host))
    }

    /// Whether many hosts contradict the index at present.
    pub fn fleet_suspected(&self) -> bool {
        self.confidence.fleet_suspected()
    }

    /// Updates a host from the host list: its cache capacity in blocks, where known; `restarted` if its
    /// process is a new one, with an empty cache.
    pub fn update_host(&mut self, host: u32, capacity: Option<u32>, restarted: bool) {
        self.index.set_capacity(host, capacity.unwrap_or(u32::MAX));
        if restarted {
            self.clear_host(host);
        }
    }

    /// Records that a host has nothing cached any more, because it reported so or its process is gone.
    pub fn clear_host(&mut self, host: u32) {
        self.index.clear_host(host);
        self.confidence.reset(host);
    }

    /// Estimates what each host has cached of a prompt. Hosts without any of it are left out.
    pub fn estimate(&mut self, now: Duration, chain: &[u64], out: &mut Vec<CachedPrefix>) {
        out.clear();
        self.index.look_up(chain, &mut self.found);
        for &(host, blocks) in &self.found {
            // What the host has read since its suspicion began is not in doubt.
            let read_since = self.index.read_since_suspicion(host, chain[blocks as usize - 1]);
            let confidence = if read_since { 1.0 } else { self.confidence.of(now, host) };
            out.push(CachedPrefix { host, blocks, confidence });
        }
    }

    /// Records that a host has read (prefilled) a prompt: `estimated` of its blocks were estimated to be
    /// cached, `found` were cached, and all are cached now. Returns whether the read shows that the host had
    /// lost its cache.
    pub fn record_read(
        &mut self,
        now: Duration,
        host: u32,
        chain: &[u64],
        estimated: u32,
        found: u32,
    ) -> bool {
        let evidence = self.confidence.record_read(now, host, estimated, found);
        match evidence {
            Evidence::Contradicts => self.index.suspect(host),
            Evidence::CacheLost => self.index.drop_suspected_holdings(host),
            Evidence::Confirms | Evidence::Evicted => self.index.clear_suspicion(host),
            Evidence::TooLittle => {}
        }
        self.index.record_read(now, host, chain, evidence == Evidence::Evicted);
        evidence == Evidence::CacheLost
    }
}
