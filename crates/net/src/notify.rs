//! A notification that ends a coroutine's sleep.

use crate::sleep;
use crate::waiter::Waiter;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Wakes one waiting coroutine or thread. A notification that comes while nobody waits ends the next wait.
#[derive(Default)]
pub struct Notify {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    notified: bool,
    /// The coroutine that waits.
    waiting: Option<Waiter>,
}

impl Notify {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ends the current wait, or else the next one.
    pub fn notify(&self) {
        let waiting = {
            let mut state = self.lock();
            state.notified = true;
            state.waiting.take()
        };
        if let Some(waiting) = waiting {
            waiting.resume();
        }
    }

    /// Waits for a notification, but not longer than `timeout`. Returns whether there was one.
    pub fn wait_timeout(&self, timeout: Duration) -> bool {
        let (wake_at, waiter) = (Instant::now() + timeout, Waiter::current());
        loop {
            {
                let mut state = self.lock();
                let notified = std::mem::take(&mut state.notified);
                if notified || wake_at <= Instant::now() {
                    state.waiting = None;
                    return notified;
                }
                state.waiting = Some(waiter.clone());
            }
            sleep::resume_at(wake_at, &waiter);
            waiter.wait();
        }
    }
}
