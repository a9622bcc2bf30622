//! When what servers may hold for a request has to be released.
//!
//! A reader keeps the state of a prompt until a writer fetches it. While no attempt of the request is at a running server
//! the state may be held for the stated time only (`service.release_us`). From here it cannot be seen whether an attempt
//! has reached its server: a write that succeeded, an accepted connection and an answer over another connection prove
//! nothing, as an open connection may fall silent without an error. Only an answer proves it. So the time runs from the
//! read, an answer starts it anew, and neither a send nor the end of an attempt that told nothing stops it.

use crate::interface::Outcome;
use std::time::Duration;

/// The part of the stated time after which a release begins while no attempt is out. The rest is for a late timer, for
/// servers that do not answer the release, and for a connection that is still coming up.
const BEGINS_AT: f64 = 0.7;

/// The same while an attempt is out that was not answered: it may be answered yet, so that the release begins as late as a
/// dispatcher that is held up for 150 ms can still have it done inside the operators' slack.
const BEGINS_UNANSWERED_AT: f64 = 0.85;

/// The part of the stated time after which a writer that is silent while its peers speak is given up for another: while
/// the state is still there for that one, and with time for its answer.
const OTHER_WRITER_AT: f64 = 0.65;

/// How long after an attempt was last known to be at a server a release begins.
pub(crate) fn begins_after(stated: Duration) -> Duration {
    stated.mul_f64(BEGINS_AT)
}

/// What servers may hold for one request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Held {
    /// The reader whose state the next writer fetches.
    reader: Option<u32>,
    /// Whether a state may be left anywhere else: a read that ended without an answer, or one that a writer did not find.
    left: bool,
    /// Whether a state that was released may be held all the same.
    kept: bool,
    /// Whether it was released while an attempt was out. If that has arrived and waits for the state, servers may keep the
    /// state for it, and so hold it again once the attempt has ended without it.
    released_under_attempt: bool,
    /// When an attempt was last known to be at a server.
    since: Duration,
}

impl Held {
    /// The reader whose state the next writer fetches, if there is one.
    pub(crate) fn reader(&self) -> Option<u32> {
        self.reader
    }

    /// An attempt at `server` ended with `outcome`; `reads` if it was to leave a state there.
    pub(crate) fn ended(&mut self, server: u32, reads: bool, outcome: Outcome, now: Duration) {
        if outcome.is_answered() || !self.is_any() {
            self.since = now;
        }
        let is_fetched = matches!(outcome, Outcome::Delivered | Outcome::Spoilt | Outcome::NoState);
        self.kept |= std::mem::take(&mut self.released_under_attempt) && !is_fetched;
        match outcome {
            Outcome::Read => self.reader = Some(server),
            Outcome::NoState => self.left |= self.reader.take().is_some(),
            Outcome::Delivered | Outcome::Spoilt => self.reader = None,
            _ => {}
        }
        self.left |= reads && !outcome.never_ran();
    }

    /// A writer's answer has begun, so that it has fetched the state: from which reader.
    pub(crate) fn fetched(&mut self) -> Option<u32> {
        self.released_under_attempt = false;
        self.reader.take()
    }

    /// All of it is released from now on, while an attempt is out or not; whether there may have been any.
    pub(crate) fn release(&mut self, any_out: bool) -> bool {
        let any = self.is_any();
        (self.reader, self.left, self.kept) = (None, false, false);
        self.released_under_attempt |= any && any_out;
        any
    }

    /// When the release of it has to begin, by whether an attempt is out; absent while nothing is held.
    pub(crate) fn release_at(&self, stated: Duration, any_out: bool) -> Option<Duration> {
        let after = if any_out { stated.mul_f64(BEGINS_UNANSWERED_AT) } else { begins_after(stated) };
        self.is_any().then(|| self.since + after)
    }

    /// When a silent writer is given up for another one that fetches the state; absent without such a state.
    pub(crate) fn other_writer_at(&self, stated: Duration) -> Option<Duration> {
        self.reader.map(|_| self.since + stated.mul_f64(OTHER_WRITER_AT))
    }

    /// Whether a state is known to have been made that nobody is known to have fetched: it is released with the request.
    pub(crate) fn is_known(&self) -> bool {
        self.reader.is_some() || self.kept
    }

    fn is_any(&self) -> bool {
        self.is_known() || self.left
    }
}
