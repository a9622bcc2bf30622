//! Follows an engine that publishes the contents of its cache as events: blocks stored, with their parent,
//! blocks removed, cache cleared. The events come in numbered batches, and a replay from a given number on
//! can be requested. These are the events that public serving engines have in common.
//!
//! Batches may be late, duplicated, reordered or lost; an engine may restart and count from 0 again; its
//! replay buffer may not reach back to the start of a gap. The follower's output is in order, or says that
//! everything known is invalid. No I/O.

use std::collections::{BTreeMap, HashMap};

/// Maximum number of batches that wait behind a gap: about one second of a busy engine's events. Beyond that,
/// a replay takes longer than starting again from nothing.
const MAX_PENDING_BATCHES: usize = 256;

/// An event of an engine's cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CacheEvent {
    /// Blocks stored, each the parent of the next one; `parent` is that of the first.
    Stored {
        blocks: Vec<u64>,
        parent: Option<u64>,
    },
    Removed {
        blocks: Vec<u64>,
    },
    /// All blocks are gone, or nothing known before is valid any more.
    Cleared,
}

/// A numbered batch of events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    pub number: u64,
    /// Identifies the run of the engine's process, where the engine reports it; differs after a restart.
    pub incarnation: Option<u64>,
    pub events: Vec<CacheEvent>,
}

/// What the follower needs next from the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Request {
    Nothing,
    /// A replay of all batches from this number on.
    Replay {
        from: u64,
    },
}

/// Puts the batches of one engine in order and detects gaps and restarts.
#[derive(Debug, Default)]
pub struct Follower {
    /// Number of the next batch; absent before the first one.
    next: Option<u64>,
    incarnation: Option<u64>,
    pending: BTreeMap<u64, Vec<CacheEvent>>,
    /// Start of the requested replay that has not arrived yet.
    requested_from: Option<u64>,
}

impl Follower {
    /// Number of the next batch, from which a new connection requests a replay.
    pub fn next(&self) -> u64 {
        self.next.unwrap_or(0)
    }

    /// Receives a batch, live or replayed. Appends the events that are in order now to `out`.
    pub fn receive(&mut self, batch: Batch, out: &mut Vec<CacheEvent>) -> Request {
        let restarted = match (self.incarnation, batch.incarnation) {
            (Some(previous), Some(current)) => previous != current,
            // Number 0 again without a replay request: taken for a restart. A duplicated first batch then
            // costs the known blocks. Otherwise a restart could be missed, and blocks that are no longer
            // cached would stay known.
            _ => batch.number == 0 && self.next() > 0 && self.requested_from.is_none(),
        };
        if restarted {
            self.invalidate(0, out);
        }
        self.incarnation = batch.incarnation.or(self.incarnation);
        let next = *self.next.get_or_insert(0);
        if batch.number < next {
            return Request::Nothing;
        }
        self.pending.insert(batch.number, batch.events);
        if self.pending.len() > MAX_PENDING_BATCHES {
            // Too far behind: everything known is invalid, and it starts again from the newest batch.
            let newest = self.pending.last_key_value().map_or(next, |(number, _)| *number);
            let last = self.pending.remove(&newest);
            self.invalidate(newest, out);
            self.pending.extend(last.map(|last| (newest, last)));
        }
        self.emit_in_order(out);
        self.next_request()
    }

    /// The engine's answer to a replay request: its replay buffer starts with batch number `oldest`.
    pub fn replay_starts_at(&mut self, oldest: u64, out: &mut Vec<CacheEvent>) -> Request {
        self.requested_from = None;
        if oldest > self.next() {
            let pending = std::mem::take(&mut self.pending);
            self.invalidate(oldest, out);
            self.pending = pending.into_iter().filter(|(number, _)| *number >= oldest).collect();
        }
        self.emit_in_order(out);
        self.next_request()
    }

    /// The connection was lost: a requested replay may never arrive.
    pub fn connection_lost(&mut self) -> Request {
        self.requested_from = None;
        Request::Replay { from: self.next() }
    }

    /// Invalidates everything known; the next batch has the number `next`.
    fn invalidate(&mut self, next: u64, out: &mut Vec<CacheEvent>) {
        out.push(CacheEvent::Cleared);
        self.pending.clear();
        (self.next, self.requested_from) = (Some(next), None);
    }

    /// Appends the events of the pending batches that are next in order.
    fn emit_in_order(&mut self, out: &mut Vec<CacheEvent>) {
        let mut next = self.next();
        while let Some(events) = self.pending.remove(&next) {
            out.extend(events);
            next += 1;
        }
        self.next = Some(next);
        // No batch waits behind a gap any more, so that the requested replay is complete.
        if self.pending.is_empty() {
            self.requested_from = None;
        }
    }

    /// A replay request if there is a gap that has not been requested yet.
    fn next_request(&mut self) -> Request {
        let next = self.next();
        if self.pending.is_empty() || self.requested_from == Some(next) {
            return Request::Nothing;
        }
        self.requested_from = Some(next);
        Request::Replay { from: next }
    }
}

/// The blocks that one engine has cached, by the engine's own hashes.
#[derive(Debug, Default)]
pub struct CacheView {
    /// Parent of each block.
    blocks: HashMap<u64, Option<u64>>,
    max_blocks: usize,
}

impl CacheView {
    /// A view of at most `max_blocks` blocks. Further blocks are ignored, so that fewer are known than
    /// cached.
    pub fn new(max_blocks: usize) -> Self {
        CacheView { blocks: HashMap::new(), max_blocks }
    }

    /// Applies an event.
    pub fn apply(&mut self, event: &CacheEvent) {
        match event {
            CacheEvent::Stored { blocks, parent } => {
                let mut parent = *parent;
                for block in blocks {
                    if self.blocks.len() >= self.max_blocks && !self.blocks.contains_key(block) {
                        return;
                    }
                    self.blocks.insert(*block, parent);
                    parent = Some(*block);
                }
            }
            CacheEvent::Removed { blocks } => {
                for block in blocks {
                    self.blocks.remove(block);
                }
            }
            CacheEvent::Cleared => self.blocks.clear(),
        }
    }

    /// Number of blocks cached from the start of a prompt. A block whose parent is not cached cannot be used.
    pub fn cached_run(&self, chain: &[u64]) -> usize {
        let mut parent = None;
        let is_cached = |block: &&u64| {
            let cached = self.blocks.get(*block) == Some(&parent);
            parent = Some(**block);
            cached
        };
        chain.iter().take_while(is_cached).count()
    }

    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }
}
