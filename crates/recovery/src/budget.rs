//! Budget for the tokens that readers process again to recover lost answers. If a third of the writers fail at once,
//! thousands of streams turn into reads that compete with new tasks. They draw on a budget that only delivered work
//! refills, so that recoveries cannot worsen an overload. An answer that is nearly done is cheap to finish and expensive
//! to lose: it may use the whole budget, one that has hardly begun only the upper part. No I/O and no clock: the caller
//! passes the time.

use std::time::Duration;

/// The part of the budget that answers that have hardly begun may not use: half, so that neither kind starves the other.
const RESERVED_PART: f64 = 0.5;

/// Time constant of the smoothed fill rate: a second covers some dozen answers of a busy dispatcher and still follows a
/// burst of losses early.
const RATE_DECAY_SECONDS: f64 = 1.0;

/// Minimum wait before asking again: a shorter one costs more than it gains.
const MIN_WAIT: Duration = Duration::from_millis(20);

/// Whether an answer may be recovered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// It may; the tokens are taken from the budget.
    Granted,
    /// Ask again after this time, when there will likely be enough tokens.
    Wait(Duration),
    /// There will not be enough tokens before the answer's deadline: abort it at once rather than let the client wait.
    GiveUp,
}

/// The request of one answer to be recovered.
#[derive(Clone, Copy, Debug)]
pub struct RecoveryRequest {
    /// Tokens to be read again: prompt and answer so far.
    pub reread_tokens: u32,
    /// Tokens of the answer that the client has.
    pub sent_tokens: u32,
    /// Maximum tokens of the answer.
    pub max_tokens: u32,
    /// Deadline of the recovery.
    pub deadline: Duration,
}

/// A token bucket, refilled by delivered work. All times are relative to one arbitrary start.
#[derive(Debug)]
pub struct Budget {
    /// In tokens, as is `available`.
    capacity: f64,
    available: f64,
    /// Tokens added for each token of delivered work.
    share: f64,
    /// Tokens added per second, exponentially smoothed.
    fill_rate: f64,
    updated_at: Duration,
}

impl Budget {
    /// Creates a full budget. `share` is the cost of recoveries relative to delivered work: at a quarter, recoveries are a
    /// fifth of all tokens.
    pub fn new(capacity_tokens: u32, share: f64) -> Self {
        let capacity = f64::from(capacity_tokens);
        Budget { capacity, available: capacity, share, fill_rate: 0.0, updated_at: Duration::ZERO }
    }

    /// Available tokens.
    pub fn available(&self) -> f64 {
        self.available
    }

    fn decay_rate(&mut self, now: Duration) {
        let elapsed_seconds = now.saturating_sub(self.updated_at).as_secs_f64();
        self.fill_rate *= (-elapsed_seconds / RATE_DECAY_SECONDS).exp();
        self.updated_at = self.updated_at.max(now);
    }

    /// Records a delivered answer, with the tokens of its prompt and of the answer.
    pub fn refill(&mut self, now: Duration, tokens: u32) {
        self.decay_rate(now);
        let filled = self.share * f64::from(tokens);
        self.available = (self.available + filled).min(self.capacity);
        self.fill_rate += filled / RATE_DECAY_SECONDS;
    }

    /// Decides on a recovery, and takes its tokens if it may start.
    pub fn request(&mut self, now: Duration, request: RecoveryRequest) -> Verdict {
        self.decay_rate(now);
        let reread_tokens = f64::from(request.reread_tokens);
        let done_part = f64::from(request.sent_tokens) / f64::from(request.max_tokens.max(1));
        let floor = self.capacity * RESERVED_PART * (1.0 - done_part.clamp(0.0, 1.0));
        if self.available - reread_tokens >= floor {
            self.available -= reread_tokens;
            return Verdict::Granted;
        }
        let (time_left, missing) =
            (request.deadline.saturating_sub(now), floor + reread_tokens - self.available);
        // Waiting is useless for more than the capacity, and if no deliveries refill the budget.
        if floor + reread_tokens > self.capacity || missing > self.fill_rate * time_left.as_secs_f64() {
            return Verdict::GiveUp;
        }
        Verdict::Wait(Duration::from_secs_f64(missing / self.fill_rate).max(MIN_WAIT))
    }
}
