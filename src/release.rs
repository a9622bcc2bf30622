//! Decides when states that servers may hold for a request are released.
//!
//! A reader keeps the state of a prompt until a writer fetches it. While no attempt of the request is at a
//! running server, the state may be held only for the hold limit (`service.release_us`). The dispatcher
//! cannot see whether an attempt has reached its server: a successful write, an accepted connection and an
//! answer over another connection prove nothing, as an open connection may fall silent without an error. Only
//! an answer proves it. So the time runs from the end of the read, an answer starts it again, and neither a
//! send nor an attempt that ended without an answer stops it.

use crate::interface::Outcome;
use std::time::Duration;

/// The share of the hold limit after which a release begins while no attempt is in flight. The rest is for a
/// late timer, for servers that do not answer the release, and for a connection that is still coming up.
const RELEASE_AT_SHARE: f64 = 0.7;

/// The same while an attempt is in flight that has not been answered. As it may still be answered, the
/// release begins as late as possible: even a dispatcher that is held up for 150 ms can still complete it
/// within the tolerance that operators allow beyond the hold limit.
const RELEASE_UNANSWERED_AT_SHARE: f64 = 0.85;

/// The share of the hold limit after which a writer that is silent while its peers answer is given up for
/// another: the state is still there for the other writer, with time for its answer.
const SWITCH_WRITER_AT_SHARE: f64 = 0.65;

/// How long after an attempt was last known to be at a server a release begins.
pub(crate) fn release_after(hold_limit: Duration) -> Duration {
    hold_limit.mul_f64(RELEASE_AT_SHARE)
}

/// What servers may hold for one request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct HeldState {
    /// The reader whose state the next writer fetches.
    reader: Option<u32>,
    /// Whether a state may be left at another server: by a read that ended without an answer, or one that a
    /// writer did not find.
    may_be_left: bool,
    /// Whether a state that was released may still be held.
    may_persist: bool,
    /// Whether the state was released while an attempt was in flight. If that attempt has arrived and waits
    /// for the state, servers may keep the state for it, and thus hold it again once the attempt has ended
    /// without it.
    released_under_attempt: bool,
    /// When an attempt was last known to be at a server.
    last_known_at: Duration,
}

impl HeldState {
    /// The reader whose state the next writer fetches, if there is one.
    pub(crate) fn reader(&self) -> Option<u32> {
        self.reader
    }

    /// Records that an attempt at `server` ended with `outcome`; `reads` if it was to leave a state there.
    pub(crate) fn record_end(&mut self, server: u32, reads: bool, outcome: Outcome, now: Duration) {
        if outcome.is_answered() || !self.may_hold_any() {
            self.last_known_at = now;
        }
        let is_fetched = matches!(outcome, Outcome::Delivered | Outcome::Spoilt | Outcome::NoState);
        self.may_persist |= std::mem::take(&mut self.released_under_attempt) && !is_fetched;
        match outcome {
            Outcome::Read => self.reader = Some(server),
            Outcome::NoState => self.may_be_left |= self.reader.take().is_some(),
            Outcome::Delivered | Outcome::Spoilt => self.reader = None,
            _ => {}
        }
        self.may_be_left |= reads && !outcome.never_ran();
    }

    /// Records that a writer's answer has begun, which means that it has fetched the state; returns the
    /// reader that had it.
    pub(crate) fn record_fetched(&mut self) -> Option<u32> {
        self.released_under_attempt = false;
        self.reader.take()
    }

    /// Marks everything as released, with an attempt in flight or not; returns whether anything may have been
    /// held.
    pub(crate) fn release(&mut self, any_in_flight: bool) -> bool {
        let any = self.may_hold_any();
        (self.reader, self.may_be_left, self.may_persist) = (None, false, false);
        self.released_under_attempt |= any && any_in_flight;
        any
    }

    /// When the release has to begin; absent while nothing is held.
    pub(crate) fn release_at(&self, hold_limit: Duration, any_in_flight: bool) -> Option<Duration> {
        let after = if any_in_flight {
            hold_limit.mul_f64(RELEASE_UNANSWERED_AT_SHARE)
        } else {
            release_after(hold_limit)
        };
        self.may_hold_any().then(|| self.last_known_at + after)
    }

    /// When a silent writer is given up for another one that can fetch the state; absent without such a
    /// state.
    pub(crate) fn switch_writer_at(&self, hold_limit: Duration) -> Option<Duration> {
        self.reader.map(|_| self.last_known_at + hold_limit.mul_f64(SWITCH_WRITER_AT_SHARE))
    }

    /// Whether a state is known to have been made and not known to have been fetched: it is released with the
    /// request.
    pub(crate) fn has_known_state(&self) -> bool {
        self.reader.is_some() || self.may_persist
    }

    fn may_hold_any(&self) -> bool {
        self.has_known_state() || self.may_be_left
    }
}
