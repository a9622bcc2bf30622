//! What is recorded of a day. Times are microseconds since the record began.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One line of what a host saw.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Seen {
    pub at: u64,
    pub host: String,
    /// The client's mark of the task, `TASK.TRY`.
    pub mark: String,
    /// The dispatcher that sent it.
    pub from: String,
    pub what: What,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum What {
    /// A shot came: at a reader, or one that answers.
    Read,
    Write,
    /// The answer began to be made: from here on it has run.
    Ran,
    /// The same for a mark that its group remembers: its effect is discarded, its answer is made.
    Repeat,
    /// The shot ended here; whether it was refused unrun.
    Ended {
        refused: bool,
    },
    StateMade(String),
    StateTaken(String),
    StateLetGo(String),
    /// The host's own doing, as nobody came: no dispatcher's.
    StateExpired(String),
    Started,
    Died,
    Fell,
    /// The share of what would push it over that it was sent, in thousandths.
    Pushed(u64),
}

/// How a try ended for its client.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    Delivered,
    Bounced,
    BrokenOff,
    /// A refusal of the request itself.
    Refused(u16),
    /// The client left by its own will.
    Left,
    /// No connection to a dispatcher.
    Unreachable,
    /// The connection ended without a final answer.
    Cut,
    /// Nothing final in the client's own time.
    Late,
    /// What came is no answer by the API.
    Wrong(String),
}

/// One try of a client.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Try {
    pub task: u32,
    pub number: u32,
    pub dispatcher: String,
    pub offering: usize,
    pub at: u64,
    /// The client's own time for this try, until a first token.
    pub stop: u64,
    pub ended: u64,
    pub answer: Answer,
    /// A first token had come, after this long.
    pub begun: bool,
    #[serde(default)]
    pub first: u64,
    /// Prompt tokens, and those found kept, as the answer told them.
    #[serde(default)]
    pub prompt_tokens: u64,
    #[serde(default)]
    pub kept_tokens: u64,
    /// It was told by header to ask again.
    pub told_to_retry: bool,
    /// What came is a start of the right answer, the whole of it where delivered.
    pub text_right: bool,
    /// Bytes after the final answer.
    pub after: usize,
}

impl Try {
    pub fn mark(&self) -> String {
        format!("{}.{}", self.task, self.number)
    }
}

/// A dispatcher was told of a host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Told {
    pub at: u64,
    pub dispatcher: String,
    pub host: String,
    pub runs: bool,
}

/// A dispatcher was killed outright.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Kill {
    pub at: u64,
    pub dispatcher: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, schemars::JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Group {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Effect {
    Replayable,
    Referenced { group: Group, window_us: u64 },
    SingleUse,
}

/// Where a host is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    pub zone: String,
    pub cell: u32,
}

/// The rules in figures.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Figures {
    pub effects: Vec<Effect>,
    pub places: BTreeMap<String, Place>,
    pub grace_us: u64,
    pub release_us: u64,
    /// What clocks, sockets and a busy machine may add.
    pub slack_us: u64,
    /// How long a dispatcher may take to notice that a client has left.
    pub notice_us: u64,
}

impl Figures {
    pub fn same_group(&self, group: Group, one: &str, other: &str) -> bool {
        let place = |host: &str| self.places.get(host).cloned().unwrap_or_default();
        match group {
            Group::All => true,
            Group::Zone => place(one).zone == place(other).zone,
            Group::Cell => place(one).cell == place(other).cell,
        }
    }
}

/// All that crossed the sockets in a day, as far as the rules are about it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Record {
    pub figures: Figures,
    pub seen: Vec<Seen>,
    pub tries: Vec<Try>,
    pub told: Vec<Told>,
    pub kills: Vec<Kill>,
    /// When the record ended.
    pub ended: u64,
}
