//! What the decisions are told and what they ask for: plain data, no decision.
//!
//! Times are spans since the dispatcher's own start. Hosts, tasks, offerings, customers, zones and
//! kinds are small indices given out by [`crate::door`].

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// One value told at start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Term {
    Flag(bool),
    Number(f64),
    Text(String),
}

/// Everything told at start: dotted names (`offerings.0.gain`) to values.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Terms(pub BTreeMap<String, Term>);

impl Terms {
    pub fn number(&self, name: &str) -> Option<f64> {
        match self.0.get(name) {
            Some(Term::Number(value)) if value.is_finite() => Some(*value),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> Option<&str> {
        match self.0.get(name) {
            Some(Term::Text(value)) => Some(value),
            _ => None,
        }
    }

    pub fn flag(&self, name: &str) -> bool {
        matches!(self.0.get(name), Some(Term::Flag(true)))
    }

    /// A name that ends in `_us`, as a span.
    pub fn span(&self, name: &str) -> Option<Duration> {
        self.number(name).filter(|us| *us >= 0.0).map(|us| Duration::from_micros(us as u64))
    }

    /// How many entries a list has: `list.0`, `list.1`, … with or without names below them.
    pub fn entries(&self, list: &str) -> usize {
        let found = |i: usize| {
            let exact = format!("{list}.{i}");
            let below = format!("{exact}.");
            self.0.contains_key(&exact)
                || self.0.range(below.clone()..).next().is_some_and(|(name, _)| name.starts_with(&below))
        };
        (0..).take_while(|i| found(*i)).count()
    }
}

/// A session's or a shared text's place at the door; `turn` changes when the place gets a new owner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Key {
    pub place: u32,
    pub turn: u32,
    /// The name's hash: the same at every dispatcher.
    pub mark: u64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Standing {
    Running,
    Draining,
    #[default]
    Gone,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    Reader,
    Writer,
    Mixed,
    /// Its kind is not among those told at start.
    #[default]
    Unknown,
}

/// One line of the list of hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Listed {
    pub host: u32,
    /// The name's hash: the same at every dispatcher.
    pub mark: u64,
    /// How long the process has run; absent: a long time.
    pub up_for: Option<Duration>,
    pub cell: u32,
    pub zone: u32,
    pub weight: f64,
    /// What its kind does and holds, as told at start.
    pub role: Role,
    pub memory_tokens: Option<f64>,
    pub standing: Standing,
}

/// How a shot ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    Delivered,
    /// The prompt has been read and its state waits at the reader.
    Read,
    Full,
    /// There was no state to fetch.
    NoState,
    Error,
    /// What came of an answer can't be read: it has run, and the state that it fetched is gone.
    Spoilt,
    Broken,
    /// The kept connection that it went over had been lost before: it may have run, its host is not to blame.
    Stale,
    NoConnection,
    TimedOut,
    Cancelled,
    Moot,
}

impl Outcome {
    /// Whether it proves that the shot never ran.
    pub fn never_ran(self) -> bool {
        use Outcome::*;
        matches!(self, Read | Full | NoState | NoConnection | Moot)
    }

    /// Whether the server was heard of by it, which proves that the attempt had arrived.
    pub fn is_answered(self) -> bool {
        use Outcome::*;
        matches!(self, Delivered | Read | Full | NoState | Error | Spoilt)
    }
}

/// A load report, in the order of the names told at start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    pub values: [f64; 4],
    pub count: usize,
}

/// A shot that was sent before the task came to the decisions as it is now, and may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ran {
    pub host: u32,
    pub sent: Duration,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Order {
    pub task: u32,
    pub offering: Option<u32>,
    pub customer: Option<u32>,
    pub session: Option<Key>,
    pub shared: Option<Key>,
    /// Until the client gives this try up.
    pub left: Duration,
    /// A rough guess of the answer's length, as time at the offering's pace.
    pub hint: Option<Duration>,
    pub prompt_tokens: u32,
    pub shared_tokens: u32,
    pub most_tokens: u32,
    /// The client asks again for a task that it has asked for before.
    pub again: bool,
    /// The first shot that may have run of what this goes on with.
    #[serde(default)]
    pub ran: Option<Ran>,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Closed {
    pub task: u32,
    pub shot: u32,
    pub outcome: Outcome,
    /// The task had ended by then, or ends with this.
    pub finished: bool,
    /// Prompt tokens found kept.
    pub kept_tokens: u32,
    pub load: Option<Load>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    Hosts {
        whole: bool,
        listed: Vec<Listed>,
    },
    ListFailed,
    /// What hosts are thought to hold of the next order's prompt: host and tokens, as far as that is believed. Who is not
    /// named holds nothing. Without this the decisions go by their own table.
    Kept {
        kept: Vec<(u32, u32)>,
    },
    Order(Order),
    Started {
        task: u32,
        shot: u32,
    },
    Closed(Closed),
    Place {
        task: u32,
        held: bool,
    },
    Probed {
        host: u32,
        answered: bool,
        load: Option<Load>,
    },
    Timer {
        token: u64,
    },
    ClientGone {
        task: u32,
    },
}

/// What is thought of a host: shots out, own tokens pending to be read and of streams, suspicion up to 1, and how many
/// times slower than its role it is taken for.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Belief {
    pub shots: u32,
    pub reading: f64,
    pub writing: f64,
    pub doubt: f64,
    pub slow: f64,
}

/// Why what servers hold for a request is released.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum ReleaseReason {
    /// No writer will fetch it: the request has ended, or no writer may be sent to in time.
    Unused,
    /// Its time is over while an attempt is out whose server has not been heard of.
    Unanswered,
    /// Its time is over and it is of no use: a read that told no good end may have left it.
    Left,
    /// The request is over, and a read of it may have left something.
    Ended,
}

#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum Action {
    Send {
        task: u32,
        host: u32,
        until: Duration,
        /// When its first byte goes out at the latest: not sent after that.
        begin_by: Duration,
    },
    Cancel {
        task: u32,
        shot: u32,
    },
    /// What servers hold for the task, whatever is out for it.
    Release {
        task: u32,
        reason: ReleaseReason,
    },
    Bounce {
        task: u32,
        come_back: Option<Duration>,
    },
    BreakOff {
        task: u32,
    },
    /// End a running stream in good order; its client comes again.
    Move {
        task: u32,
    },
    Timer {
        at: Duration,
        token: u64,
    },
    AskList,
    /// A line for the one on call.
    Note {
        host: u32,
        what: &'static str,
    },
    /// Nothing more will be said of this task: its index may be given out again.
    Forget {
        task: u32,
    },
}
