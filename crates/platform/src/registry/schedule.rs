//! When the registry is asked, and how long each request may take: one deadline by which a change must be
//! read, from which all pauses and limits follow.

use super::timeouts::{
    CHANGE_READ_DEADLINE, MAX_ANSWER_START, READ_MARGIN, RELOAD_READ_DEADLINE, RegistryTimeouts,
};
use std::time::Duration;

/// What a request to the registry asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// The whole list.
    List,
    /// The changes since a version that was read before a failure.
    Resume,
    /// The changes since the last answer.
    Watch,
}

/// Why a request to the registry brought no list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The registry is overloaded: until then it could not be reached.
    Refused,
    /// The connection was refused or broke, or the answer is of no use.
    Failed,
    /// It took too long, or it could not be sent.
    Unanswered,
}

/// Time limits of one request. Points in time count from the start of the process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestLimits {
    /// How long the registry may wait for a change; zero if it is not asked to.
    pub wait: Duration,
    /// When the answer must have begun, the time to connect included.
    pub answer_start_by: Duration,
}

/// Shortest wait that the registry is asked for: no wait at all may mean its default.
const MIN_WAIT: Duration = Duration::from_millis(100);

/// The part of a long pause that is left to chance.
const MIN_SPREAD: f64 = 0.25;

/// As [`MIN_SPREAD`], for the first pause after a deadline, which is the same for all dispatchers that lost the
/// registry at once.
const SPREAD_AFTER_DEADLINE: f64 = 0.75;

/// By how much a pause or a request may end later than planned with the next request still as planned. Part of
/// [`READ_MARGIN`].
const LATE_WAKE_UP: Duration = Duration::from_millis(50);

/// Limit for the start of an answer of a slow registry: one request may hang, and the next one is still answered
/// by the deadline.
const MAX_SLOW_ANSWER_START: Duration = Duration::from_millis(2400);

/// A refused request counts as this many doublings of the pause more than one that failed.
const REFUSAL_STEPS: u32 = 3;

/// Plans requests to the registry. Performs no I/O: the caller reports what became of each request. Points in
/// time count from the start of the process.
///
/// From the last list, or from the last refusal, the requests are timed such that one may hang and the next
/// one still brings the list before [`CHANGE_READ_DEADLINE`] is over.
#[derive(Clone, Debug)]
pub struct RequestSchedule {
    timeouts: RegistryTimeouts,
    /// Since when there may be changes that the registry could have told.
    unread_since: Duration,
    /// When a new configuration was announced, until a later list is read.
    reloaded_at: Option<Duration>,
    /// Requests that were refused or failed since a watch was last answered.
    failures: u32,
    /// Consecutive requests that were not answered.
    unanswered: u32,
    /// How long the registry took to answer or refuse the last request, beyond the wait.
    answer_time: Duration,
    /// All requests of one whole deadline have failed: until the next list the registry is taken to be out of
    /// reach whenever a request fails.
    out_of_reach: bool,
}

impl RequestSchedule {
    /// The schedule of a process that starts now.
    pub fn new(timeouts: RegistryTimeouts, now: Duration) -> RequestSchedule {
        RequestSchedule {
            timeouts,
            unread_since: now,
            reloaded_at: None,
            failures: 0,
            unanswered: 0,
            answer_time: Duration::ZERO,
            out_of_reach: false,
        }
    }

    /// When the next list must have been received.
    pub fn read_by(&self) -> Duration {
        let reload_deadline = self.reloaded_at.map(reload_deadline);
        reload_deadline.map_or(self.change_deadline(), |deadline| deadline.min(self.change_deadline()))
    }

    fn change_deadline(&self) -> Duration {
        self.unread_since + CHANGE_READ_DEADLINE - READ_MARGIN
    }

    /// A new configuration was announced; if it names another registry, that one has failed nothing yet.
    pub fn reloaded(&mut self, at: Duration, moved: bool) {
        if moved {
            (self.failures, self.unanswered) = (0, 0);
            (self.answer_time, self.out_of_reach) = (Duration::ZERO, false);
            self.reloaded_at = Some(at);
        } else if at > self.unread_since {
            self.reloaded_at.get_or_insert(at);
        }
    }

    /// Limit for the start of an answer without a wait, as far as the last one tells.
    fn answer_start(&self) -> Duration {
        let usual = self.timeouts.answer_start;
        if !self.timeouts.backs_off {
            return usual;
        }
        (self.answer_time * 5 / 4).clamp(usual, MAX_SLOW_ANSWER_START)
    }

    /// Longest time of a request that is answered within that limit.
    fn answered_request(&self) -> Duration {
        self.answer_start() + self.timeouts.answer_rest
    }

    /// Limits of a request that begins now.
    pub fn limits(&self, now: Duration, kind: RequestKind) -> RequestLimits {
        let timeouts = &self.timeouts;
        let first_answer_start = timeouts.answer_start_after(self.unanswered).max(self.answer_start());
        let (wait, answer_start) = match kind {
            RequestKind::List => (Duration::ZERO, first_answer_start),
            RequestKind::Resume => (timeouts.resume_wait.unwrap_or_default(), first_answer_start),
            RequestKind::Watch => (timeouts.watch_wait, timeouts.watch_slack.max(self.answer_start())),
        };
        let until_start = (wait + answer_start).min(MAX_ANSWER_START).min(self.time_for_answer_start(now));
        let wait = match kind {
            RequestKind::List => Duration::ZERO,
            RequestKind::Resume | RequestKind::Watch => {
                wait.min(until_start.saturating_sub(answer_start)).max(MIN_WAIT)
            }
        };
        RequestLimits { wait, answer_start_by: now + until_start }
    }

    /// How late the answer to a request that begins now may begin, for one more request to be answered by the
    /// deadline if it does not; where there is no time for two, for this one to be answered by then.
    fn time_for_answer_start(&self, now: Duration) -> Duration {
        let left = self.read_by().saturating_sub(now);
        let (before_retry, answer_start) = (left.saturating_sub(self.retry_time()), self.answer_start());
        if before_retry + LATE_WAKE_UP >= answer_start {
            return before_retry;
        }
        left.saturating_sub(self.timeouts.answer_rest).max(answer_start)
    }

    fn shortest_pause(&self) -> Duration {
        self.timeouts.retry_pause / 2
    }

    /// Longest time of a pause after a request that was not answered, and of an answered request behind it.
    fn retry_time(&self) -> Duration {
        longest_pause(self.timeouts.retry_pause) + self.answered_request()
    }

    /// A request that began at `began_at`, with this wait, was answered from `answered_at` on with a list.
    pub fn answered(&mut self, kind: RequestKind, began_at: Duration, wait: Duration, answered_at: Duration) {
        // A slow registry may have made the answer long before it arrives, but not before the wait is over.
        let list_as_of = answered_at.min(began_at + wait);
        self.unread_since = self.unread_since.max(list_as_of);
        self.reloaded_at = self.reloaded_at.filter(|at| *at > list_as_of);
        self.answer_time = answered_at.saturating_sub(began_at + wait);
        (self.unanswered, self.out_of_reach) = (0, false);
        if kind == RequestKind::Watch {
            self.failures = 0;
        }
    }

    /// A request of this kind that began at `began_at` failed. Returns the pause before the next one,
    /// for which a random number from 0 to 1 is drawn if it is to be a random one.
    pub fn failed(
        &mut self,
        failure: Failure,
        kind: RequestKind,
        began_at: Duration,
        now: Duration,
        random_fraction: impl FnOnce() -> f64,
    ) -> Duration {
        if failure == Failure::Refused || self.out_of_reach {
            self.unread_since = self.unread_since.max(began_at);
        }
        if failure == Failure::Refused {
            self.out_of_reach = false;
            // A watch may be refused at any time of its wait.
            if kind != RequestKind::Watch {
                self.answer_time = now.saturating_sub(began_at);
            }
        }
        let missed = self.drop_missed_deadlines(began_at, now);
        let steps = match failure {
            Failure::Refused => self.failures + REFUSAL_STEPS,
            Failure::Failed => self.failures,
            Failure::Unanswered => self.unanswered,
        };
        match failure {
            Failure::Refused | Failure::Failed => self.failures = self.failures.saturating_add(1),
            Failure::Unanswered => self.unanswered = self.unanswered.saturating_add(1),
        }
        if !self.timeouts.backs_off {
            return self.timeouts.retry_pause;
        }
        let spread = if missed { SPREAD_AFTER_DEADLINE } else { MIN_SPREAD };
        self.randomised_pause(
            self.timeouts.backoff(steps),
            self.time_for_pause(now),
            spread,
            random_fraction(),
        )
    }

    /// A pause around this backoff, at most `limit`; where the limit is the shorter one, `spread` is the part of
    /// the pause that is left to chance. Dispatchers that failed at once would return at once, and hundreds that
    /// do keep a registry overloaded.
    fn randomised_pause(
        &self,
        backoff: Duration,
        limit: Duration,
        spread: f64,
        random_fraction: f64,
    ) -> Duration {
        let longest = longest_pause(backoff).min(limit).max(self.shortest_pause());
        let shortest = (backoff / 2).min(longest.mul_f64(1.0 - spread));
        (shortest + (longest - shortest).mul_f64(random_fraction)).clamp(self.shortest_pause(), longest)
    }

    /// Where no further request can be answered by a deadline, the registry is taken to have been out of reach
    /// until the last one. Returns whether that is so of [`CHANGE_READ_DEADLINE`].
    fn drop_missed_deadlines(&mut self, began_at: Duration, now: Duration) -> bool {
        let next_answered_by = now + self.timeouts.retry_pause + self.answered_request() - LATE_WAKE_UP;
        self.reloaded_at = self.reloaded_at.filter(|at| reload_deadline(*at) >= next_answered_by);
        let missed = self.change_deadline() < next_answered_by;
        if missed {
            self.unread_since = self.unread_since.max(began_at);
            self.out_of_reach = true;
        }
        missed
    }

    /// Longest pause that leaves time for a request that is not answered and for a retry; where there is no
    /// time for both, for one request.
    fn time_for_pause(&self, now: Duration) -> Duration {
        let left = self.read_by().saturating_sub(now);
        let before_two_requests = left.saturating_sub(self.answer_start() + self.retry_time());
        if before_two_requests >= self.timeouts.retry_pause {
            return before_two_requests;
        }
        left.saturating_sub(self.answered_request())
    }
}

fn reload_deadline(reloaded_at: Duration) -> Duration {
    reloaded_at + RELOAD_READ_DEADLINE - READ_MARGIN
}

fn longest_pause(backoff: Duration) -> Duration {
    backoff * 3 / 2
}
