//! Whether a begun answer is better off at another writer while its own still speaks: where it is slow enough to break
//! the agreed pace and the others are not, or where its host drains and will not be there to the end. A move costs a read
//! of prompt and answer so far; a needless one costs that for nothing. No I/O, no clock: spans are told.

use std::time::Duration;

/// Tokens over which a stream's own pace is taken: long enough that one late step is not felt, short enough to leave
/// something to save of an answer of a few dozen.
const SPAN: u32 = 8;

/// Times the others' pace from which a writer is slow: half as fast again comes from load alone.
const SLOW: f64 = 2.0;

/// Answers that a mean remembers: some dozens follow a change within seconds.
const REMEMBERS: u32 = 30;

/// Answers before the means tell anything.
const KNOWN: u32 = 20;

/// A mean that fades by additions; a plain one of the first.
#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    value: f64,
    seen: u32,
}

impl Mean {
    fn add(&mut self, value: f64) {
        self.seen = self.seen.saturating_add(1);
        self.value += (value - self.value) / f64::from(self.seen.min(REMEMBERS));
    }
}

/// What answers that ended whole were like.
#[derive(Debug, Default)]
pub struct Paces {
    /// Seconds a token.
    token: Mean,
    /// Tokens of an answer, by offering.
    lengths: Vec<Mean>,
    /// Seconds from asking for another writer to its first token, and from arrival to first tokens of all.
    gap: Mean,
    first: Mean,
}

/// What is usual just now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usual {
    /// Seconds a token.
    pub token: f64,
    /// Seconds until another writer speaks.
    pub gap: f64,
    /// Tokens of an answer.
    pub length: f64,
}

impl Paces {
    /// An answer ended whole: its tokens, the time to the first, and from the first to the last.
    pub fn note(&mut self, offering: usize, tokens: u32, first: Duration, took: Duration) {
        self.first.add(first.as_secs_f64());
        self.lengths.resize(self.lengths.len().max(offering + 1), Mean::default());
        self.lengths[offering].add(f64::from(tokens));
        if tokens > SPAN {
            self.token.add(took.as_secs_f64() / f64::from(tokens - 1));
        }
    }

    /// Another writer has begun to speak for one that was left.
    pub fn went_on(&mut self, gap: Duration) {
        self.gap.add(gap.as_secs_f64());
    }

    /// Absent while too little is known. Where no gap was seen the usual time to a first token stands for it.
    pub fn usual(&self, offering: usize) -> Option<Usual> {
        let length = self.lengths.get(offering).filter(|mean| mean.seen >= KNOWN)?.value;
        let gap = if self.gap.seen > 0 { self.gap.value } else { self.first.value };
        (self.token.seen >= KNOWN).then_some(Usual { token: self.token.value, gap, length })
    }
}

/// One stream's own pace.
#[derive(Debug)]
pub struct Stream {
    /// When the answer's first token came, and how many it had by a later moment.
    first: Duration,
    at: Duration,
    had: u32,
}

/// Why a stream should move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    Slow,
    Drains,
}

impl Why {
    pub fn name(self) -> &'static str {
        match self {
            Why::Slow => "slow",
            Why::Drains => "drains",
        }
    }
}

impl Stream {
    /// The answer's first token came at `first`; this writer begins now, with so many of them said.
    pub fn new(first: Duration, now: Duration, had: u32) -> Self {
        Stream { first, at: now, had }
    }

    /// The answer has so many tokens by now, `most` at most; this is looked at each eight of them. `agreed` is the time
    /// agreed for a token, `stays` how long its host still runs where that is known to end.
    pub fn look(
        &mut self,
        now: Duration,
        tokens: u32,
        most: u32,
        agreed: Duration,
        usual: &Usual,
        stays: Option<Duration>,
    ) -> Option<Why> {
        let said = tokens.saturating_sub(self.had);
        if said < SPAN {
            return None;
        }
        let pace = now.saturating_sub(self.at).as_secs_f64() / f64::from(said);
        (self.at, self.had) = (now, tokens);
        // Past the usual length: a quarter of it more.
        let to_go = (usual.length - f64::from(tokens))
            .max(usual.length / 4.0)
            .min(f64::from(most - tokens.min(most)));
        let left = to_go * pace;
        if stays.is_some_and(|stays| left > stays.as_secs_f64()) {
            return Some(Why::Drains);
        }
        let spent = now.saturating_sub(self.first).as_secs_f64();
        let whole = agreed.as_secs_f64() * (f64::from(tokens) + to_go);
        let breaks = spent + left > whole;
        let mends = spent + usual.gap + to_go * usual.token <= whole;
        (pace > SLOW * usual.token && breaks && mends).then_some(Why::Slow)
    }
}
