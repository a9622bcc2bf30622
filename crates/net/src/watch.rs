//! One thread polls all links and shuts those whose deadline has passed. Each poll costs a link two atomic loads. A wait
//! that ends in time, as nearly all do, needs no timer entry.
//!
//! The same thread drops released objects after a delay, see [`defer_drop`], and closes links whose peers are given time to
//! close first, see [`close_later`].

use crate::link::{Inner, Link};
use std::any::Any;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, OnceLock, Weak};
use std::thread;
use std::time::{Duration, Instant};

/// Interval between polls: half the slack that the rules leave an answer. Link deadlines need no finer resolution, as the
/// decisions have timers of their own.
const POLL_INTERVAL: Duration = Duration::from_millis(4);

/// Minimum number of polls between [`defer_drop`] and the drop, some 250 ms. A worker thread that the system preempts
/// between two instructions of `may` resumes within that time, and few file descriptors are held meanwhile. Counted in
/// polls rather than by the clock, so that the delay does not run out while the whole process is suspended.
const DROP_DELAY_POLLS: u32 = 60;

/// With a single worker no other worker can be between those instructions, so that two polls are enough.
const DROP_DELAY_POLLS_ONE_WORKER: u32 = 2;

/// The delay in force, as set for the number of workers.
static CURRENT_DROP_DELAY_POLLS: AtomicU32 = AtomicU32::new(DROP_DELAY_POLLS);

/// Sets the drop delay for this number of worker threads.
pub fn set_drop_delay(workers: usize) {
    CURRENT_DROP_DELAY_POLLS
        .store(if workers == 1 { DROP_DELAY_POLLS_ONE_WORKER } else { DROP_DELAY_POLLS }, Ordering::Relaxed);
}

struct Watcher {
    start: Instant,
    /// Links added since the last poll.
    new_links: Mutex<Vec<Weak<Inner>>>,
    deferred: Mutex<Vec<Deferred>>,
    closing: Mutex<Vec<ClosingLink>>,
}

/// A link whose peer is given time to close first.
struct ClosingLink {
    link: Link,
    close_at: Instant,
}

impl ClosingLink {
    fn is_due(&self, now: Instant) -> bool {
        // Closed over unread bytes, the connection would be reset, and what was written last lost in transit.
        self.close_at <= now || self.link.is_closed_by_peer_and_read()
    }
}

type Deferred = Box<dyn Any + Send>;

fn watcher() -> &'static Watcher {
    static WATCHER: OnceLock<Watcher> = OnceLock::new();
    static THREAD: OnceLock<bool> = OnceLock::new();
    let watcher = WATCHER.get_or_init(|| Watcher {
        start: Instant::now(),
        new_links: Mutex::default(),
        deferred: Mutex::default(),
        closing: Mutex::default(),
    });
    THREAD.get_or_init(|| {
        thread::Builder::new().name("watch-links".into()).spawn(|| poll_links(watcher)).is_ok()
    });
    watcher
}

/// A deadline in microseconds since the watcher's start.
pub fn deadline_micros(deadline: Instant) -> u64 {
    deadline.saturating_duration_since(watcher().start).as_micros() as u64
}

/// Registers a link, whose deadlines hold from the next poll on.
pub fn add(link: &Arc<Inner>) {
    if let Ok(mut links) = watcher().new_links.lock() {
        links.push(Arc::downgrade(link));
    }
}

/// Drops a value after a delay, because `may` may still hold a pointer to it (docs/coroutines.md). Without this, freed
/// memory is read and written.
pub fn defer_drop(value: Deferred) {
    if let Ok(mut deferred) = watcher().deferred.lock() {
        deferred.push(value);
    }
}

/// Closes a link once its peer has closed, and after `timeout` at the latest.
pub fn close_later(link: Link, timeout: Duration) {
    if let Ok(mut closing) = watcher().closing.lock() {
        closing.push(ClosingLink { link, close_at: Instant::now() + timeout });
    }
}

/// Number of links whose peers are given time to close first.
pub fn closing_links() -> usize {
    watcher().closing.lock().map_or(0, |closing| closing.len())
}

fn close_due_links(watcher: &Watcher) {
    if let Ok(mut closing) = watcher.closing.lock() {
        let now = Instant::now();
        closing.retain(|closing_link| !closing_link.is_due(now));
    }
}

fn poll_links(watcher: &Watcher) {
    let mut all_links: Vec<Weak<Inner>> = Vec::new();
    let (mut polls, mut deferred_before) = (0, Vec::new());
    loop {
        thread::sleep(POLL_INTERVAL);
        polls += 1;
        if polls >= CURRENT_DROP_DELAY_POLLS.load(Ordering::Relaxed) {
            polls = 0;
            // Dropped with no lock held: a dropped value may call `defer_drop` itself.
            let deferred = watcher.deferred.lock().map(|mut deferred| std::mem::take(&mut *deferred));
            drop(std::mem::replace(&mut deferred_before, deferred.unwrap_or_default()));
        }
        close_due_links(watcher);
        // The lock is held only while new links are moved over.
        if let Ok(mut new_links) = watcher.new_links.lock() {
            all_links.append(&mut new_links);
        }
        let now = deadline_micros(Instant::now());
        all_links.retain(|link| {
            let Some(link) = link.upgrade() else { return false };
            link.shut_if_expired(now);
            true
        });
    }
}
