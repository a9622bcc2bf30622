//! Figures that are written to the log, as the platform does not provide for a metrics listener: counts of held states while
//! they change, and socket events that waited for the worker.

use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::{Duration, Instant};

/// Shortest interval between two log lines.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// Counts of the releases of what servers hold for requests, since the start.
#[derive(Default)]
pub struct ReleaseCounts {
    /// Releases owed, done or not.
    pub owed: AtomicU64,
    /// Of these, owed while an attempt was pending that its server had not answered.
    pub unanswered: AtomicU64,
    /// Answered by a server.
    pub done: AtomicU64,
    /// Of these, later than the release time allows.
    pub late: AtomicU64,
    /// Abandoned, as no server answered.
    pub abandoned: AtomicU64,
    reported: Mutex<Option<(Instant, [u64; 5])>>,
}

impl ReleaseCounts {
    /// Writes the counts to the log if they have changed, at most once per [`REPORT_INTERVAL`].
    pub fn report(&self) {
        let counts = [&self.owed, &self.unanswered, &self.done, &self.late, &self.abandoned];
        let counts = counts.map(|count| count.load(Relaxed));
        let mut reported = crate::lock(&self.reported);
        let recent = reported.is_some_and(|(at, _)| at.elapsed() < REPORT_INTERVAL);
        if recent || counts == reported.map_or([0; 5], |(_, before)| before) {
            return;
        }
        *reported = Some((Instant::now(), counts));
        let [owed, unanswered, done, late, abandoned] = counts;
        let pending = owed.saturating_sub(done + abandoned);
        tracing::info!(owed, unanswered, done, pending, late, abandoned, "releases of held states");
    }
}

/// Wait of socket events that is worth a warning: a third of the time within which an event has to be forwarded.
const POLL_LAG_WARNING: Duration = Duration::from_millis(100);

/// Writes to the log how long socket events waited for the worker since the last report, as a warning if that was long.
pub fn report_poll_lag() {
    let longest = tulipstall_net::poll_lag::take_longest();
    let longest_ms = longest.as_millis() as u64;
    if longest >= POLL_LAG_WARNING {
        tracing::warn!(longest_ms, "socket events waited for the worker");
    } else {
        tracing::debug!(longest_ms, "wait of socket events");
    }
}
