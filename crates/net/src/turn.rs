//! Bounds what a socket's coroutine does in a row. A peer that always has something to be read, accepted or written to
//! never makes the coroutine wait, so that its worker would neither run others nor poll for their events.

use crate::poll_round::wait_for_poll;
use std::sync::atomic::{AtomicU32, Ordering};

/// Operations of one turn: some 64 KiB of input at the size of a read buffer, which take well below a millisecond to parse.
const MAX_OPERATIONS: u32 = 16;

/// The operations that one side of a socket has done in its turn. Waits for its socket do not begin a new turn, as an event
/// that is already pending ends them at once.
#[derive(Default)]
pub struct Turn {
    operations: AtomicU32,
}

impl Turn {
    /// Counts an operation that has succeeded.
    pub fn count_operation(&self) {
        self.operations.fetch_add(1, Ordering::Relaxed);
    }

    /// Ends the turn if it is used up: waits until all others that are ready have run and events have been polled. Returns
    /// whether it did.
    pub fn end_if_used_up(&self) -> bool {
        let is_used_up = self.operations.load(Ordering::Relaxed) >= MAX_OPERATIONS;
        if is_used_up {
            self.operations.store(0, Ordering::Relaxed);
            wait_for_poll();
        }
        is_used_up
    }
}
