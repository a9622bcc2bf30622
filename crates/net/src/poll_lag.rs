//! Measures how long socket events wait for a worker that runs coroutines: a coroutine wakes at an interval and then waits
//! for a poll. What it waits beyond its interval, a socket event may have waited as well.

use crate::poll_round::wait_for_poll;
use std::sync::Once;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Interval between measurements: a third of the time within which events have to be forwarded.
const MEASUREMENT_INTERVAL: Duration = Duration::from_millis(100);

/// The longest wait since it was last taken, in microseconds.
static LONGEST_MICROS: AtomicU64 = AtomicU64::new(0);

/// Starts to measure; further calls do nothing.
pub fn start_measuring() {
    static START: Once = Once::new();
    START.call_once(|| {
        crate::spawn(|| {
            loop {
                let due = Instant::now() + MEASUREMENT_INTERVAL;
                crate::sleep(MEASUREMENT_INTERVAL);
                wait_for_poll();
                LONGEST_MICROS.fetch_max(due.elapsed().as_micros() as u64, Ordering::Relaxed);
            }
        });
    });
}

/// The longest time that socket events may have waited for their worker, since the last call.
pub fn take_longest() -> Duration {
    Duration::from_micros(LONGEST_MICROS.swap(0, Ordering::Relaxed))
}
