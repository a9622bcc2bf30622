//! What becomes of a begun answer whose writer is lost. One state machine an answer: pieces in, what the client gets
//! out; a loss in, whether and from where it goes on. Which hosts read and write it anew is decided elsewhere. No I/O,
//! no clock: moments are told.

pub mod budget;
pub mod pace;
pub mod silence;

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Tokens that a writer which goes on says again, so that it shows whether it goes on with the same answer: enough
/// that two answers that differ are unlikely to agree in all, few enough to cost nothing.
const OVERLAP: u32 = 4;

/// Losses that one answer is carried over: a fleet that loses four writers under one answer is not helped by a fifth.
const LOSSES: u32 = 4;

/// Tokens in a row that may leave a character unfinished, or say nothing: a character has four bytes at most, and
/// engines that hold bytes back say nothing for as many tokens. Twice that.
const UNFINISHED: u32 = 8;

/// Bytes of answers held for going on, of each answer and of all.
pub struct Store {
    each: usize,
    all: usize,
    held: AtomicUsize,
}

impl Store {
    pub fn new(each: usize, all: usize) -> Self {
        Store { each, all, held: AtomicUsize::new(0) }
    }

    /// Bytes held just now.
    pub fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    fn take(&self, bytes: usize) -> bool {
        let taken = self.held.fetch_add(bytes, Ordering::Relaxed) + bytes <= self.all;
        if !taken {
            self.held.fetch_sub(bytes, Ordering::Relaxed);
        }
        taken
    }
}

/// Whether the same answer may be begun anew elsewhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Again {
    /// Anywhere.
    Harmless,
    /// By hosts that discard its repeats, up to this moment; which those are is for the decisions to keep to.
    Until(Duration),
    /// It may have run: never.
    Harmful,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Streaming,
    /// Lost; going on until this moment.
    Lost(Duration),
    /// A writer has begun that goes on; this token comes next from it, up to where the loss was.
    Overlapping(u32),
    /// It is not gone on with, for this reason: for good.
    Ended(Final),
}

/// Why a writer's words are not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// It begins elsewhere, repeats or skips.
    Position,
    /// It says something else where it should say the same.
    Differs,
    /// More tokens than asked for.
    TooMany,
    /// The answer had ended.
    AfterEnd,
    /// Bytes that are no text.
    NoText,
}

impl Refused {
    pub fn why(self) -> &'static str {
        match self {
            Refused::Position => "goes on elsewhere",
            Refused::Differs => "goes on with another answer",
            Refused::TooMany => "too many tokens",
            Refused::AfterEnd => "text after its end",
            Refused::NoText => "no text",
        }
    }
}

/// Why an answer is not gone on with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Final {
    /// It may have run, and must not run again.
    Effect,
    /// Its text was too long for the store.
    NotHeld,
    /// Too many losses.
    Losses,
    /// No writer within the time for going on.
    Late,
}

impl Final {
    pub fn name(self) -> &'static str {
        match self {
            Final::Effect => "may have run",
            Final::NotHeld => "not held",
            Final::Losses => "too many losses",
            Final::Late => "no writer in time",
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Go on until this moment: the answer so far is the prompt's end, and the writer says tokens from `from` on.
    GoOn {
        from: u32,
        most: u32,
        until: Duration,
    },
    BreakOff(Final),
}

/// One answer on its way to its client.
pub struct Answer {
    store: Arc<Store>,
    again: Again,
    /// The most tokens that it may have.
    most: u32,
    /// Whole characters only: what the client has.
    text: String,
    /// The bytes of a character that is not finished.
    rest: Vec<u8>,
    /// What the last piece brought.
    new: String,
    /// Where a token and a character ended together: tokens and bytes up to there.
    clean: (u32, usize),
    /// Bytes of the last tokens, the newest last.
    last: VecDeque<u32>,
    tokens: u32,
    /// The text is held whole.
    whole: bool,
    losses: u32,
    state: State,
}

impl Answer {
    pub fn new(store: Arc<Store>, again: Again, most: u32) -> Self {
        Answer {
            store,
            again,
            most,
            text: String::new(),
            rest: Vec::new(),
            new: String::new(),
            clean: (0, 0),
            last: VecDeque::with_capacity(OVERLAP as usize + 1),
            tokens: 0,
            whole: again != Again::Harmful,
            losses: 0,
            state: State::Streaming,
        }
    }

    /// Tokens said so far.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// The answer so far, while it is held.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// What of it a writer that goes on is given: up to where a token and a character end together.
    pub fn before(&self) -> &str {
        &self.text[..self.clean.1]
    }

    pub fn losses(&self) -> u32 {
        self.losses
    }

    /// A piece of one token comes, at a position where the writer tells it; gives what of it is new to the client:
    /// whole characters only, the bytes of an unfinished one wait for their rest.
    pub fn piece(&mut self, position: Option<u32>, bytes: &[u8]) -> Result<&str, Refused> {
        self.new.clear();
        match self.state {
            State::Ended(_) | State::Lost(_) => Err(Refused::AfterEnd),
            State::Streaming => {
                if position.is_some_and(|position| position != self.tokens) {
                    return Err(Refused::Position);
                }
                if self.tokens >= self.most {
                    return Err(Refused::TooMany);
                }
                self.join(bytes)?;
                self.keep(bytes.len());
                Ok(&self.new)
            }
            State::Overlapping(next) => {
                // A writer that goes on has to say where it is.
                if position != Some(next) {
                    return Err(Refused::Position);
                }
                if !self.said(next, bytes) {
                    return Err(Refused::Differs);
                }
                let next = next + 1;
                self.state = if next == self.tokens { State::Streaming } else { State::Overlapping(next) };
                Ok("")
            }
        }
    }

    /// Puts what is whole of the unfinished character and these bytes into `new`; what is not stays unfinished.
    fn join(&mut self, bytes: &[u8]) -> Result<(), Refused> {
        if self.rest.is_empty()
            && let Ok(text) = std::str::from_utf8(bytes)
        {
            self.new.push_str(text);
            return Ok(());
        }
        let had = self.rest.len();
        self.rest.extend_from_slice(bytes);
        let whole = match std::str::from_utf8(&self.rest) {
            Ok(text) => text,
            Err(error) if error.error_len().is_none() => {
                std::str::from_utf8(&self.rest[..error.valid_up_to()]).unwrap_or_default()
            }
            Err(_) => {
                self.rest.truncate(had);
                return Err(Refused::NoText);
            }
        };
        self.new.push_str(whole);
        self.rest.drain(..self.new.len());
        Ok(())
    }

    /// Holds what is new, of a token of so many bytes.
    fn keep(&mut self, bytes: usize) {
        self.tokens += 1;
        if !self.whole {
            return;
        }
        let unfinished = self.tokens - self.clean.0;
        let new = self.new.len();
        if self.text.len() + new > self.store.each || unfinished > UNFINISHED || !self.store.take(new) {
            self.let_go();
            return;
        }
        self.text.push_str(&self.new);
        self.last.push_back(bytes as u32);
        if self.rest.is_empty() && bytes > 0 {
            self.clean = (self.tokens, self.text.len());
        }
        while self.last.len() as u32 > OVERLAP + self.tokens - self.clean.0 {
            self.last.pop_front();
        }
    }

    /// Past a limit the answer cannot be gone on with any more.
    fn let_go(&mut self) {
        self.store.held.fetch_sub(self.text.len(), Ordering::Relaxed);
        (self.whole, self.text, self.clean) = (false, String::new(), (0, 0));
        self.last.clear();
    }

    /// Whether these bytes were said at one of the last positions.
    fn said(&self, position: u32, bytes: &[u8]) -> bool {
        let first = position.checked_sub(self.from()).map(|first| first as usize);
        let Some((first, len)) = first.and_then(|first| Some((first, *self.last.get(first)?))) else {
            return false;
        };
        let back = self.last.range(first..).sum::<u32>() as usize;
        let all = self.text.as_bytes().iter().chain(&self.rest);
        all.skip(self.text.len() + self.rest.len() - back).take(len as usize).eq(bytes)
    }

    /// The position at which a writer that goes on begins.
    fn from(&self) -> u32 {
        self.tokens - self.last.len() as u32
    }

    /// Its writer is lost. The first loss of a row starts the time for going on.
    pub fn lost(&mut self, now: Duration, within: Duration) -> Next {
        let until = match self.state {
            State::Ended(why) => return Next::BreakOff(why),
            State::Lost(until) => until,
            _ => {
                self.losses += 1;
                now + within
            }
        };
        let until = match self.again {
            Again::Until(end) => until.min(end),
            _ => until,
        };
        let last = match self.again {
            Again::Harmful => Some(Final::Effect),
            Again::Until(end) if now >= end => Some(Final::Effect),
            _ if !self.whole => Some(Final::NotHeld),
            _ if self.losses > LOSSES => Some(Final::Losses),
            _ if now >= until => Some(Final::Late),
            _ => None,
        };
        if let Some(why) = last {
            self.state = State::Ended(why);
            return Next::BreakOff(why);
        }
        self.state = State::Lost(until);
        let from = self.from();
        Next::GoOn { from, most: self.most - from, until }
    }

    /// A writer that goes on has begun.
    pub fn goes_on(&mut self) {
        if let State::Lost(_) = self.state {
            self.overlap();
        }
    }

    fn overlap(&mut self) {
        let from = self.from();
        self.state = if from == self.tokens { State::Streaming } else { State::Overlapping(from) };
    }

    /// Whether another writer may take over while this one still speaks, two running at once: from which token, and
    /// the most that it may say.
    pub fn may_move(&self) -> Option<(u32, u32)> {
        let may = self.state == State::Streaming && self.again == Again::Harmless && self.whole;
        (may && self.losses < LOSSES).then(|| (self.from(), self.most - self.from()))
    }

    /// Another writer has taken over: it counts like a loss.
    pub fn moved(&mut self) {
        if self.may_move().is_some() {
            self.losses += 1;
            self.overlap();
        }
    }

    /// Whether an end that the writer tells is one: not while it still says again what the client has.
    pub fn may_end(&self) -> bool {
        self.state == State::Streaming
    }
}

impl Drop for Answer {
    fn drop(&mut self) {
        self.let_go();
    }
}
