//! Whether an answer should move to another writer while its own still streams: because its writer is slow enough to miss
//! the agreed time per token and others are not, or because its host drains and stops before the answer ends. Each move
//! costs a read of the prompt and the answer so far, also a needless one. No I/O and no clock: the caller passes times.

use std::time::Duration;

/// Tokens over which a stream's own pace is measured: enough that one late token matters little, few enough that moving can
/// still help an answer of a few dozen tokens.
const PACE_WINDOW_TOKENS: u32 = 8;

/// A writer is slow above this multiple of the usual time per token: load alone raises the time by half.
const SLOW_FACTOR: f64 = 2.0;

/// Number of answers over which a mean is smoothed: a few dozen follow a change within seconds.
const MEAN_WINDOW: u32 = 30;

/// Number of answers needed before a mean is used.
const MIN_ANSWERS: u32 = 20;

/// Exponentially weighted mean; the arithmetic mean of the first [`MEAN_WINDOW`] values.
#[derive(Clone, Copy, Debug, Default)]
struct RunningMean {
    value: f64,
    count: u32,
}

impl RunningMean {
    fn add(&mut self, value: f64) {
        self.count = self.count.saturating_add(1);
        self.value += (value - self.value) / f64::from(self.count.min(MEAN_WINDOW));
    }
}

/// Statistics of completed answers.
#[derive(Debug, Default)]
pub struct Paces {
    /// Time per token.
    token_seconds: RunningMean,
    /// Length of an answer, by offering.
    answer_tokens: Vec<RunningMean>,
    /// Time from the request for another writer to its first token.
    gap_seconds: RunningMean,
    /// Time from a request's arrival to the answer's first token.
    first_token_seconds: RunningMean,
}

/// Current means for an offering.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PaceMeans {
    /// Time per token.
    pub token_seconds: f64,
    /// Seconds until another writer's first token.
    pub gap_seconds: f64,
    /// Length of an answer.
    pub answer_tokens: f64,
}

impl Paces {
    /// Records a completed answer: its tokens, the time to the first token, and from the first to the last.
    pub fn record_answer(&mut self, offering: usize, tokens: u32, first: Duration, streaming: Duration) {
        self.first_token_seconds.add(first.as_secs_f64());
        self.answer_tokens.resize(self.answer_tokens.len().max(offering + 1), RunningMean::default());
        self.answer_tokens[offering].add(f64::from(tokens));
        if tokens > PACE_WINDOW_TOKENS {
            self.token_seconds.add(streaming.as_secs_f64() / f64::from(tokens - 1));
        }
    }

    /// Records the time from the request for another writer to that writer's first token.
    pub fn record_gap(&mut self, gap: Duration) {
        self.gap_seconds.add(gap.as_secs_f64());
    }

    /// The current means; `None` while too few answers are known. As long as no gap was recorded, the mean time to the first
    /// token stands in for it.
    pub fn means(&self, offering: usize) -> Option<PaceMeans> {
        let answer_tokens = self.answer_tokens.get(offering).filter(|mean| mean.count >= MIN_ANSWERS)?.value;
        let gap_seconds =
            if self.gap_seconds.count > 0 { self.gap_seconds.value } else { self.first_token_seconds.value };
        (self.token_seconds.count >= MIN_ANSWERS).then_some(PaceMeans {
            token_seconds: self.token_seconds.value,
            gap_seconds,
            answer_tokens,
        })
    }
}

/// Measures the pace of one stream.
#[derive(Debug)]
pub struct StreamPace {
    /// When the answer's first token came.
    first_token_at: Duration,
    /// Start of the current measurement, and the tokens of the answer at that time.
    window_start: Duration,
    window_start_tokens: u32,
}

/// Why a stream should move to another writer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveReason {
    Slow,
    Drains,
}

impl MoveReason {
    /// The value in metric labels and log lines.
    pub fn name(self) -> &'static str {
        match self {
            MoveReason::Slow => "slow",
            MoveReason::Drains => "drains",
        }
    }
}

impl StreamPace {
    /// Starts measuring a writer of an answer that has `tokens` tokens so far.
    pub fn new(first_token_at: Duration, now: Duration, tokens: u32) -> Self {
        StreamPace { first_token_at, window_start: now, window_start_tokens: tokens }
    }

    /// Whether the stream should move, given that the answer has `tokens` tokens by now. Evaluated once every
    /// `PACE_WINDOW_TOKENS` tokens, `None` in between. `max_tokens` is the maximum length of the answer, `agreed` the
    /// agreed time per token, and `host_remaining` how long a draining host still runs.
    pub fn check(
        &mut self,
        now: Duration,
        tokens: u32,
        max_tokens: u32,
        agreed: Duration,
        means: &PaceMeans,
        host_remaining: Option<Duration>,
    ) -> Option<MoveReason> {
        let new_tokens = tokens.saturating_sub(self.window_start_tokens);
        if new_tokens < PACE_WINDOW_TOKENS {
            return None;
        }
        let token_seconds = now.saturating_sub(self.window_start).as_secs_f64() / f64::from(new_tokens);
        (self.window_start, self.window_start_tokens) = (now, tokens);
        // At least a quarter of the usual length is expected to remain, also for an answer that is already longer.
        let tokens_left = (means.answer_tokens - f64::from(tokens))
            .max(means.answer_tokens / 4.0)
            .min(f64::from(max_tokens - tokens.min(max_tokens)));
        let seconds_left = tokens_left * token_seconds;
        if host_remaining.is_some_and(|host_remaining| seconds_left > host_remaining.as_secs_f64()) {
            return Some(MoveReason::Drains);
        }
        let seconds_spent = now.saturating_sub(self.first_token_at).as_secs_f64();
        let agreed_seconds = agreed.as_secs_f64() * (f64::from(tokens) + tokens_left);
        let misses_agreed = seconds_spent + seconds_left > agreed_seconds;
        let move_meets_agreed =
            seconds_spent + means.gap_seconds + tokens_left * means.token_seconds <= agreed_seconds;
        (token_seconds > SLOW_FACTOR * means.token_seconds && misses_agreed && move_meets_agreed)
            .then_some(MoveReason::Slow)
    }
}
