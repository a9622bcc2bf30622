//! Bounds what a socket's coroutine does in a row. A peer that always has something to be read, accepted or written to
//! never makes the coroutine wait, so that its worker would neither run others nor poll for their events.

use crate::poll_round::wait_for_turn;
use crate::watch;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Cost of one turn: some 32 KiB of input, or as many small reads as there are KiB. Hundreds of turns take well below the
/// time within which an event has to be forwarded.
const MAX_COST: usize = 40;

/// Bytes that cost as much as an operation itself.
const BYTES_OF_UNIT_COST: usize = 1024;

/// Cost of a connection that is accepted: its coroutines are started.
const ACCEPT_COST: usize = 4;

/// A turn that has lasted for this long, with a wait for its socket in it, ends without a wait for others: its socket is not
/// always ready, as that of a stream is not. A long turn without a wait is one of a process that gets little of a core.
const SLOW_TURN: Duration = Duration::from_millis(50);

/// What one side of a socket has done in its turn. Waits for its socket do not begin a new turn, as an event that is already
/// pending ends them at once.
#[derive(Default)]
pub struct Turn {
    cost: AtomicUsize,
    /// When its first operation was counted, by the clock of [`watch`].
    began_micros: AtomicU64,
    /// Whether its socket was waited for.
    has_waited: AtomicBool,
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

    /// Records that the socket is about to be waited for.
    pub fn note_wait(&self) {
        self.has_waited.store(true, Ordering::Relaxed);
    }

    fn count(&self, cost: usize) {
        let is_first = self.cost.fetch_add(cost, Ordering::Relaxed) == 0;
        if is_first {
            self.began_micros.store(watch::deadline_micros(Instant::now()), Ordering::Relaxed);
        }
    }

    /// Whether the turn shows that its socket is not always ready. Forgets the waits of the turn.
    fn take_is_slow(&self) -> bool {
        let now = watch::deadline_micros(Instant::now());
        let lasted = now.saturating_sub(self.began_micros.load(Ordering::Relaxed));
        self.has_waited.swap(false, Ordering::Relaxed) && Duration::from_micros(lasted) >= SLOW_TURN
    }

    /// Ends the turn if it is used up: waits, unless it was slow, until all others that are ready have run and events have been
    /// polled. Returns whether it ended.
    pub fn end_if_used_up(&self) -> bool {
        let is_used_up = self.cost.load(Ordering::Relaxed) >= MAX_COST;
        if is_used_up {
            self.cost.store(0, Ordering::Relaxed);
            if !self.take_is_slow() {
                wait_for_turn();
            }
        }
        is_used_up
    }
}

#[cfg(test)]
mod tests;
