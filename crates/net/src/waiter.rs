//! Suspends and resumes coroutines of `may`.
//!
//! A coroutine may go on in another thread after a wait, but the compiler takes it that a function stays in one thread: it may
//! compute the address of thread-local data before a wait and use it afterwards. By such data `may` finds the queue of the
//! worker that resumes a coroutine, and only that worker may add to it. So no function both waits and resumes others: each
//! does one of the two and is never inlined.

use may::sync::Blocker;
use std::sync::Arc;

/// Lets a coroutine or a thread wait until it is resumed.
#[derive(Clone)]
pub struct Waiter {
    blocker: Arc<Blocker>,
}

impl Waiter {
    /// A waiter for the calling coroutine or thread.
    pub fn current() -> Self {
        Waiter { blocker: Blocker::current() }
    }

    /// Waits for the next [`Waiter::resume`], which may have been called already. Spurious returns occur.
    #[inline(never)]
    pub fn wait(&self) {
        let _ = self.blocker.park(None);
    }

    /// Resumes the coroutine or thread.
    #[inline(never)]
    pub fn resume(&self) {
        self.blocker.unpark();
    }
}
