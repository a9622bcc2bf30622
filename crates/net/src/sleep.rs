//! Sleep for coroutines: one timer thread with a heap. The timers of `may` are not used, as they miscount the references
//! to their entries under load; its timer thread then panics and sleeping coroutines never wake (docs/coroutines.md).

use crate::waiter::Waiter;
use may::coroutine::is_coroutine;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::{Condvar, Mutex, OnceLock, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// A sleeping coroutine, ordered by its wake-up time.
struct Sleeper {
    wake_at: Instant,
    waiter: Waiter,
}

impl Ord for Sleeper {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.wake_at.cmp(&other.wake_at)
    }
}

impl PartialOrd for Sleeper {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Sleeper {
    fn eq(&self, other: &Self) -> bool {
        self.wake_at == other.wake_at
    }
}

impl Eq for Sleeper {}

#[derive(Default)]
struct SleepQueue {
    sleepers: Mutex<BinaryHeap<Reverse<Sleeper>>>,
    /// Notified when a sleeper is added that wakes before all others.
    new_earliest: Condvar,
}

fn sleep_queue() -> &'static SleepQueue {
    static QUEUE: OnceLock<SleepQueue> = OnceLock::new();
    static THREAD: OnceLock<bool> = OnceLock::new();
    let queue = QUEUE.get_or_init(SleepQueue::default);
    THREAD.get_or_init(|| {
        thread::Builder::new().name("wake-sleepers".into()).spawn(|| wake_due_sleepers(queue)).is_ok()
    });
    queue
}

/// Suspends the calling coroutine for at least `duration`, or the calling thread outside of coroutines.
pub fn sleep(duration: Duration) {
    if !is_coroutine() {
        return thread::sleep(duration);
    }
    let (wake_at, waiter) = (Instant::now() + duration, Waiter::current());
    while Instant::now() < wake_at {
        resume_at(wake_at, &waiter);
        waiter.wait();
    }
}

/// Has the waiter resumed at this time.
pub fn resume_at(wake_at: Instant, waiter: &Waiter) {
    let queue = sleep_queue();
    let mut sleepers = queue.sleepers.lock().unwrap_or_else(PoisonError::into_inner);
    let is_earliest = sleepers.peek().is_none_or(|Reverse(first)| wake_at < first.wake_at);
    sleepers.push(Reverse(Sleeper { wake_at, waiter: waiter.clone() }));
    if is_earliest {
        queue.new_earliest.notify_one();
    }
}

fn wake_due_sleepers(queue: &SleepQueue) {
    let mut due = Vec::new();
    let mut sleepers = queue.sleepers.lock().unwrap_or_else(PoisonError::into_inner);
    loop {
        let now = Instant::now();
        while sleepers.peek().is_some_and(|Reverse(first)| first.wake_at <= now) {
            due.extend(sleepers.pop());
        }
        if !due.is_empty() {
            // The lock is released while sleepers are woken.
            drop(sleepers);
            due.drain(..).for_each(|Reverse(sleeper)| sleeper.waiter.resume());
            sleepers = queue.sleepers.lock().unwrap_or_else(PoisonError::into_inner);
            continue;
        }
        sleepers = match sleepers.peek().map(|Reverse(first)| first.wake_at) {
            None => queue.new_earliest.wait(sleepers).unwrap_or_else(PoisonError::into_inner),
            Some(wake_at) => {
                let duration = wake_at.saturating_duration_since(now);
                queue.new_earliest.wait_timeout(sleepers, duration).unwrap_or_else(PoisonError::into_inner).0
            }
        };
    }
}
