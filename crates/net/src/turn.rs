//! Bounds what a socket's coroutine does in a row. A peer that always has something to be read, accepted or written to
//! never makes the coroutine wait, so that its worker would neither run others nor poll for their events.

use crate::poll_round::wait_for_poll;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Cost of one turn: some 32 KiB of input, or as many small reads as there are KiB. Hundreds of turns take well below the
/// time within which an event has to be forwarded.
const MAX_COST: usize = 40;

/// Bytes that cost as much as an operation itself.
const BYTES_OF_UNIT_COST: usize = 1024;

/// Cost of a connection that is accepted: its coroutines are started.
const ACCEPT_COST: usize = 4;

/// What one side of a socket has done in its turn. Waits for its socket do not begin a new turn, as an event that is already
/// pending ends them at once.
#[derive(Default)]
pub struct Turn {
    cost: AtomicUsize,
}

impl Turn {
    /// Counts a read or a write of this many bytes.
    pub fn count_bytes(&self, bytes: usize) {
        self.cost.fetch_add(1 + bytes / BYTES_OF_UNIT_COST, Ordering::Relaxed);
    }

    /// Counts a connection that was accepted, or that failed before.
    pub fn count_accept(&self) {
        self.cost.fetch_add(ACCEPT_COST, Ordering::Relaxed);
    }

    /// Ends the turn if it is used up: waits until all others that are ready have run and events have been polled. Returns
    /// whether it did.
    pub fn end_if_used_up(&self) -> bool {
        let is_used_up = self.cost.load(Ordering::Relaxed) >= MAX_COST;
        if is_used_up {
            self.cost.store(0, Ordering::Relaxed);
            wait_for_poll();
        }
        is_used_up
    }
}
