//! Recovery of a streamed answer whose writer is lost. One state machine per answer takes the pieces from the writer and
//! returns the text for the client; on a loss it decides whether the answer is resumed, and from which token. Which hosts
//! then read the prompt and write the answer is decided elsewhere. No I/O and no clock: the caller passes the time.

pub mod budget;
pub mod pace;
pub mod silence;

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Tokens that a resuming writer sends again, to verify that it continues the same answer: enough that two different
/// answers are unlikely to agree in all of them, few enough to cost nothing.
const OVERLAP_TOKENS: u32 = 4;

/// Maximum number of losses after which an answer is still resumed: where four writers are lost during one answer,
/// a fifth will not help.
const MAX_LOSSES: u32 = 4;

/// Consecutive tokens that may leave a character incomplete or carry no bytes. A character has at most four bytes, and
/// engines that hold incomplete bytes back send nothing for up to as many tokens; this is twice that.
const MAX_UNFINISHED_TOKENS: u32 = 8;

/// Limits the text that is held for resuming answers, in bytes for each answer and for all answers.
pub struct TextBudget {
    max_answer_bytes: usize,
    max_total_bytes: usize,
    held_bytes: AtomicUsize,
}

impl TextBudget {
    pub fn new(max_answer_bytes: usize, max_total_bytes: usize) -> Self {
        TextBudget { max_answer_bytes, max_total_bytes, held_bytes: AtomicUsize::new(0) }
    }

    /// Bytes held at present.
    pub fn held(&self) -> usize {
        self.held_bytes.load(Ordering::Relaxed)
    }

    fn reserve(&self, bytes: usize) -> bool {
        let reserved = self.held_bytes.fetch_add(bytes, Ordering::Relaxed) + bytes <= self.max_total_bytes;
        if !reserved {
            self.held_bytes.fetch_sub(bytes, Ordering::Relaxed);
        }
        reserved
    }
}

/// Whether the same answer may be started again at another host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatPolicy {
    /// Anywhere.
    Always,
    /// At hosts that discard repeats, until this time. The decisions choose only such hosts.
    Until(Duration),
    /// Never, as its effect may have happened.
    Never,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Streaming,
    /// The writer is lost; another one may resume until this time.
    Lost(Duration),
    /// A resuming writer sends known tokens again, up to the position of the loss; this position comes next.
    Overlapping(u32),
    /// The answer is not resumed, for this reason. Final.
    Aborted(AbortReason),
}

/// Why a piece from a writer is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PieceRejected {
    /// Its position is not the expected one: the writer starts elsewhere, repeats or skips a token.
    WrongPosition,
    /// Its text differs from what the previous writer sent at that position.
    DifferentText,
    /// It exceeds the maximum number of tokens.
    TooManyTokens,
    /// The answer has ended or has no writer.
    AfterEnd,
    /// Its bytes are not UTF-8.
    InvalidText,
}

impl PieceRejected {
    /// The reason in log lines.
    pub fn reason(self) -> &'static str {
        match self {
            PieceRejected::WrongPosition => "goes on elsewhere",
            PieceRejected::DifferentText => "goes on with another answer",
            PieceRejected::TooManyTokens => "too many tokens",
            PieceRejected::AfterEnd => "text after its end",
            PieceRejected::InvalidText => "no text",
        }
    }
}

/// Why an answer is not resumed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AbortReason {
    /// Its effect may have happened and must not happen again.
    MayHaveRun,
    /// Its text is no longer held, as it exceeded a limit.
    NotHeld,
    /// Too many losses.
    TooManyLosses,
    /// No other writer started in time.
    NoWriterInTime,
}

impl AbortReason {
    /// The value of a metric label.
    pub fn name(self) -> &'static str {
        match self {
            AbortReason::MayHaveRun => "may have run",
            AbortReason::NotHeld => "not held",
            AbortReason::TooManyLosses => "too many losses",
            AbortReason::NoWriterInTime => "no writer in time",
        }
    }
}

/// What happens to an answer after a loss.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterLoss {
    /// Resume at another writer, which has to start before `until`. Its prompt ends with the answer so far, and it sends at
    /// most `max_tokens` tokens from position `from` on.
    Resume { from: u32, max_tokens: u32, until: Duration },
    /// Abort the answer.
    Abort(AbortReason),
}

/// One answer that is being streamed to its client.
pub struct ResumableAnswer {
    text_budget: Arc<TextBudget>,
    repeat: RepeatPolicy,
    /// Maximum number of tokens of the whole answer.
    max_tokens: u32,
    /// The text that the client has, complete characters only.
    text: String,
    /// Bytes of an incomplete character at the end.
    partial_char: Vec<u8>,
    /// New text of the last piece.
    delta: String,
    /// The last position at which a token and a character ended together, in tokens and in bytes of `text`.
    resume_point: (u32, usize),
    /// Lengths of the last tokens in bytes, the newest at the end.
    recent_token_bytes: VecDeque<u32>,
    tokens: u32,
    /// The whole text is held in `text`.
    is_held: bool,
    losses: u32,
    state: State,
}

impl ResumableAnswer {
    pub fn new(text_budget: Arc<TextBudget>, repeat: RepeatPolicy, max_tokens: u32) -> Self {
        ResumableAnswer {
            text_budget,
            repeat,
            max_tokens,
            text: String::new(),
            partial_char: Vec::new(),
            delta: String::new(),
            resume_point: (0, 0),
            recent_token_bytes: VecDeque::with_capacity(OVERLAP_TOKENS as usize + 1),
            tokens: 0,
            is_held: repeat != RepeatPolicy::Never,
            losses: 0,
            state: State::Streaming,
        }
    }

    /// Number of tokens so far.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// The answer so far; empty if it is not held.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// The part of the answer that is given to a resuming writer: up to the last position at which a token and a character
    /// end together.
    pub fn text_before_resume(&self) -> &str {
        &self.text[..self.resume_point.1]
    }

    /// Number of lost writers, including those that the answer has moved away from.
    pub fn losses(&self) -> u32 {
        self.losses
    }

    /// Takes a piece of one token, with its position if the writer reports it, and returns the text that is new to the
    /// client. Only complete characters are returned; the bytes of an incomplete one are held until the rest arrives.
    pub fn push_piece(&mut self, position: Option<u32>, bytes: &[u8]) -> Result<&str, PieceRejected> {
        self.delta.clear();
        match self.state {
            State::Aborted(_) | State::Lost(_) => Err(PieceRejected::AfterEnd),
            State::Streaming => {
                if position.is_some_and(|position| position != self.tokens) {
                    return Err(PieceRejected::WrongPosition);
                }
                if self.tokens >= self.max_tokens {
                    return Err(PieceRejected::TooManyTokens);
                }
                self.append_text(bytes)?;
                self.hold_delta(bytes.len());
                Ok(&self.delta)
            }
            State::Overlapping(next) => {
                // A resuming writer has to report positions.
                if position != Some(next) {
                    return Err(PieceRejected::WrongPosition);
                }
                if !self.was_sent(next, bytes) {
                    return Err(PieceRejected::DifferentText);
                }
                let next = next + 1;
                self.state = if next == self.tokens { State::Streaming } else { State::Overlapping(next) };
                Ok("")
            }
        }
    }

    /// Appends these bytes to the incomplete character. Moves all complete characters to `delta` and keeps the rest.
    fn append_text(&mut self, bytes: &[u8]) -> Result<(), PieceRejected> {
        if self.partial_char.is_empty()
            && let Ok(text) = std::str::from_utf8(bytes)
        {
            self.delta.push_str(text);
            return Ok(());
        }
        let old_len = self.partial_char.len();
        self.partial_char.extend_from_slice(bytes);
        let valid_text = match std::str::from_utf8(&self.partial_char) {
            Ok(text) => text,
            Err(error) if error.error_len().is_none() => {
                std::str::from_utf8(&self.partial_char[..error.valid_up_to()]).unwrap_or_default()
            }
            Err(_) => {
                self.partial_char.truncate(old_len);
                return Err(PieceRejected::InvalidText);
            }
        };
        self.delta.push_str(valid_text);
        self.partial_char.drain(..self.delta.len());
        Ok(())
    }

    /// Counts a token of this many bytes and holds its new text.
    fn hold_delta(&mut self, bytes: usize) {
        self.tokens += 1;
        if !self.is_held {
            return;
        }
        let unfinished_tokens = self.tokens - self.resume_point.0;
        let new_bytes = self.delta.len();
        if self.text.len() + new_bytes > self.text_budget.max_answer_bytes
            || unfinished_tokens > MAX_UNFINISHED_TOKENS
            || !self.text_budget.reserve(new_bytes)
        {
            self.release_text();
            return;
        }
        self.text.push_str(&self.delta);
        self.recent_token_bytes.push_back(bytes as u32);
        if self.partial_char.is_empty() && bytes > 0 {
            self.resume_point = (self.tokens, self.text.len());
        }
        while self.recent_token_bytes.len() as u32 > OVERLAP_TOKENS + self.tokens - self.resume_point.0 {
            self.recent_token_bytes.pop_front();
        }
    }

    /// Releases the held text once a limit is exceeded. The answer cannot be resumed any more.
    fn release_text(&mut self) {
        self.text_budget.held_bytes.fetch_sub(self.text.len(), Ordering::Relaxed);
        (self.is_held, self.text, self.resume_point) = (false, String::new(), (0, 0));
        self.recent_token_bytes.clear();
    }

    /// Whether the token at this position, one of the last, was sent with exactly these bytes.
    fn was_sent(&self, position: u32, bytes: &[u8]) -> bool {
        let index = position.checked_sub(self.resume_position()).map(|index| index as usize);
        let Some((index, token_bytes)) =
            index.and_then(|index| Some((index, *self.recent_token_bytes.get(index)?)))
        else {
            return false;
        };
        let bytes_back = self.recent_token_bytes.range(index..).sum::<u32>() as usize;
        let all_bytes = self.text.as_bytes().iter().chain(&self.partial_char);
        all_bytes
            .skip(self.text.len() + self.partial_char.len() - bytes_back)
            .take(token_bytes as usize)
            .eq(bytes)
    }

    /// The position at which a resuming writer starts.
    fn resume_position(&self) -> u32 {
        self.tokens - self.recent_token_bytes.len() as u32
    }

    /// Records that the writer is lost, or that no new writer has been found yet, and decides what follows. The first of
    /// consecutive losses starts the time limit `within`.
    pub fn record_loss(&mut self, now: Duration, within: Duration) -> AfterLoss {
        let until = match self.state {
            State::Aborted(why) => return AfterLoss::Abort(why),
            State::Lost(until) => until,
            _ => {
                self.losses += 1;
                now + within
            }
        };
        let until = match self.repeat {
            RepeatPolicy::Until(end) => until.min(end),
            _ => until,
        };
        let abort_reason = match self.repeat {
            RepeatPolicy::Never => Some(AbortReason::MayHaveRun),
            RepeatPolicy::Until(end) if now >= end => Some(AbortReason::MayHaveRun),
            _ if !self.is_held => Some(AbortReason::NotHeld),
            _ if self.losses > MAX_LOSSES => Some(AbortReason::TooManyLosses),
            _ if now >= until => Some(AbortReason::NoWriterInTime),
            _ => None,
        };
        if let Some(why) = abort_reason {
            self.state = State::Aborted(why);
            return AfterLoss::Abort(why);
        }
        self.state = State::Lost(until);
        let from = self.resume_position();
        AfterLoss::Resume { from, max_tokens: self.max_tokens - from, until }
    }

    /// Records that a resuming writer has started.
    pub fn resumed(&mut self) {
        if let State::Lost(_) = self.state {
            self.begin_overlap();
        }
    }

    fn begin_overlap(&mut self) {
        let from = self.resume_position();
        self.state = if from == self.tokens { State::Streaming } else { State::Overlapping(from) };
    }

    /// Whether another writer may resume the answer if the current one is given up at this time.
    pub fn may_resume(&self, now: Duration) -> bool {
        let may_repeat = match self.repeat {
            RepeatPolicy::Always => true,
            RepeatPolicy::Until(end) => now < end,
            RepeatPolicy::Never => false,
        };
        may_repeat && self.is_held && self.losses < MAX_LOSSES
    }

    /// Whether another writer may take over while this one still streams, so that two run at once. Returns the position at
    /// which the new writer starts and the maximum number of tokens that it may send.
    pub fn may_move(&self) -> Option<(u32, u32)> {
        let movable = self.state == State::Streaming && self.repeat == RepeatPolicy::Always && self.is_held;
        (movable && self.losses < MAX_LOSSES)
            .then(|| (self.resume_position(), self.max_tokens - self.resume_position()))
    }

    /// Records that another writer has taken over. It counts as a loss.
    pub fn moved(&mut self) {
        if self.may_move().is_some() {
            self.losses += 1;
            self.begin_overlap();
        }
    }

    /// Whether the answer may end now. An end is not valid while a resuming writer still sends known tokens again.
    pub fn may_end(&self) -> bool {
        self.state == State::Streaming
    }
}

impl Drop for ResumableAnswer {
    fn drop(&mut self) {
        self.release_text();
    }
}
