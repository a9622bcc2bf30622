//! Ages of servers' processes. The registry gives their start in Unix time, and the wall clock may be set, by
//! as much as an hour: so the age is computed once, when the process is first listed, and advances by the
//! monotonic clock from then on.

use std::time::Duration;

/// A reading of the wall clock, paired with the monotonic clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WallClock {
    /// Unix time at the dispatcher's start.
    pub at_start: Duration,
    /// Unix time now.
    pub now: Duration,
    /// Monotonic time since the dispatcher's start.
    pub since_start: Duration,
}

impl WallClock {
    /// Age of a process that started at the given Unix time. The clock of this machine or of all machines may
    /// have been set since the dispatcher's start: of the two possible ages the lower one is used, as a
    /// process that is taken for older than it is would get too much load.
    pub fn age(&self, started: Duration) -> Duration {
        let unadjusted = self.at_start + self.since_start;
        unadjusted.saturating_sub(started).min(self.now.saturating_sub(started))
    }
}

/// Age of a process, fixed when it is first listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Age {
    /// Its age at that time.
    pub at_listing: Duration,
    /// Time of listing, since the dispatcher's start.
    pub listed_at: Duration,
}

impl Age {
    /// Its age at a later time, measured since the dispatcher's start by the monotonic clock.
    pub fn at(&self, since_start: Duration) -> Duration {
        self.at_listing + since_start.saturating_sub(self.listed_at)
    }
}
