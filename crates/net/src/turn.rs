//! Bounds what a socket's coroutine does in a row. A peer that always has something to be read, accepted or written to
//! never makes the coroutine wait, so that its worker would neither run others nor poll for their events.

use crate::poll_round::wait_for_turn;
use crate::watch;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Cost of one turn: some 32 KiB of input, or as many small reads as there are KiB. Hundreds of turns take well below the
/// time within which an event has to be forwarded.
const MAX_COST: usize = 40;

/// Bytes that cost as much as an operation itself.
const BYTES_OF_UNIT_COST: usize = 1024;

/// Cost of a connection that is accepted: its coroutines are started.
const ACCEPT_COST: usize = 4;

/// A turn that has lasted for this long ends without a wait: its socket is not always ready, as the events of a stream are not.
const SLOW_TURN: Duration = Duration::from_millis(50);

/// What one side of a socket has done in its turn. Waits for its socket do not begin a new turn, as an event that is already
/// pending ends them at once.
#[derive(Default)]
pub struct Turn {
    cost: AtomicUsize,
    /// When its first operation was counted, by the clock of [`watch`].
    began_micros: AtomicU64,
}

impl Turn {
    /// Counts a read or a write of this many bytes.
    pub fn count_bytes(&self, bytes: usize) {
        self.count(1 + bytes / BYTES_OF_UNIT_COST);
    }

    /// Counts a connection that was accepted, or that failed before.
    pub fn count_accept(&self) {
        self.count(ACCEPT_COST);
    }

    fn count(&self, cost: usize) {
        let is_first = self.cost.fetch_add(cost, Ordering::Relaxed) == 0;
        if is_first {
            self.began_micros.store(watch::deadline_micros(Instant::now()), Ordering::Relaxed);
        }
    }

    /// Whether the turn has lasted for so long that its socket is not always ready.
    fn is_slow(&self) -> bool {
        let now = watch::deadline_micros(Instant::now());
        let lasted = now.saturating_sub(self.began_micros.load(Ordering::Relaxed));
        Duration::from_micros(lasted) >= SLOW_TURN
    }

    /// Ends the turn if it is used up: waits, unless it was slow, until all others that are ready have run and events have been
    /// polled. Returns whether it ended.
    pub fn end_if_used_up(&self) -> bool {
        let is_used_up = self.cost.load(Ordering::Relaxed) >= MAX_COST;
        if is_used_up {
            self.cost.store(0, Ordering::Relaxed);
            if !self.is_slow() {
                wait_for_turn();
            }
        }
        is_used_up
    }
}
