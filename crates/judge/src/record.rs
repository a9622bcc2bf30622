//! The record of a test run that the rule checks work on. All times are in microseconds since the record began.
//!
//! Records are read back from files, so fields and variants keep the names that they are stored under.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One event at a stand-in host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostEvent {
    pub at: u64,
    pub host: String,
    /// The client's tag of the attempt, `TASK.ATTEMPT`; empty for events of the host itself.
    #[serde(rename = "mark")]
    pub tag: String,
    /// The dispatcher that sent the request.
    #[serde(rename = "from")]
    pub dispatcher: String,
    #[serde(rename = "what")]
    pub kind: HostEventKind,
}

/// What happened at a host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostEventKind {
    /// A request to read (prefill) a prompt arrived.
    Read,
    /// A request for an answer arrived.
    Write,
    /// Generation of the answer began: from here on the task's effect has happened.
    Ran,
    /// Generation began for a reference that the host's group has recorded within its time window: the effect is
    /// discarded, the answer is generated.
    Repeat,
    /// The request ended, with whether it was refused before it ran.
    Ended { refused: bool },
    /// A state (KV cache) was made and is held; the text is its id.
    StateMade(String),
    /// A writer fetched the state.
    StateTaken(String),
    /// A dispatcher released the state.
    #[serde(rename = "state-let-go")]
    StateReleased(String),
    /// The host dropped the state after its own time limit; no dispatcher asked for it.
    StateExpired(String),
    /// The host started again, cold.
    Started,
    /// The host's process ended.
    Died,
    /// The host failed from overload while cold.
    #[serde(rename = "fell")]
    Overloaded,
    /// The load on a cold host, in thousandths of what overloads it.
    #[serde(rename = "pushed")]
    ColdLoad(u64),
}

/// How an attempt ended for its client.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    Delivered,
    /// Rejected with retry advice.
    Bounced,
    /// Aborted with an error.
    BrokenOff,
    /// The request itself was refused, with this HTTP status.
    Refused(u16),
    /// The client disconnected on purpose.
    Left,
    /// No connection to a dispatcher.
    Unreachable,
    /// The connection ended without a final answer.
    Cut,
    /// No final answer within the client's own time limit.
    Late,
    /// The response violates the API.
    Wrong(String),
}

/// One attempt of a client at a task. A client may repeat a task; each repeat is an attempt of its own.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClientAttempt {
    pub task: u32,
    /// Counts the attempts of a task, from 0.
    pub number: u32,
    pub dispatcher: String,
    pub offering: usize,
    pub at: u64,
    /// The client's time limit for the first token of this attempt, in microseconds from `at`.
    #[serde(rename = "stop")]
    pub deadline_us: u64,
    pub ended: u64,
    pub answer: Answer,
    /// Whether a first token arrived.
    pub begun: bool,
    /// Time to the first token.
    #[serde(default)]
    #[serde(rename = "first")]
    pub first_token_us: u64,
    /// Prompt tokens, as the answer reported them.
    #[serde(default)]
    pub prompt_tokens: u64,
    /// Prompt tokens found in a host's cache, as the answer reported them.
    #[serde(default)]
    #[serde(rename = "kept_tokens")]
    pub cached_tokens: u64,
    /// A response header advised a retry.
    #[serde(rename = "told_to_retry")]
    pub retry_advised: bool,
    /// The text received is a prefix of the right answer, or all of it where delivered.
    #[serde(rename = "text_right")]
    pub text_correct: bool,
    /// Bytes received after the final answer.
    #[serde(rename = "after")]
    pub trailing_bytes: usize,
}

impl ClientAttempt {
    /// The tag that hosts see for this attempt, `TASK.ATTEMPT`.
    pub fn tag(&self) -> String {
        format!("{}.{}", self.task, self.number)
    }
}

/// A dispatcher confirmed a host list that names this host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostNotice {
    pub at: u64,
    pub dispatcher: String,
    pub host: String,
    /// False: listed as draining or gone.
    #[serde(rename = "runs")]
    pub running: bool,
}

/// A dispatcher's process was killed with SIGKILL.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Kill {
    pub at: u64,
    pub dispatcher: String,
}

/// The hosts that discard repeats of a referenced task together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, schemars::JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Group {
    All,
    Zone,
    Cell,
}

/// What a repeat of a task does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Effect {
    /// A repeat is harmless.
    Replayable,
    /// A repeat is discarded inside the group and the time window.
    Referenced { group: Group, window_us: u64 },
    /// A repeat has the effect a second time.
    SingleUse,
}

/// Where a host is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Location {
    pub zone: String,
    pub cell: u32,
}

/// The parameters of the rules.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RuleParams {
    /// The effect of each offering, by its index.
    pub effects: Vec<Effect>,
    #[serde(rename = "places")]
    pub locations: BTreeMap<String, Location>,
    /// How long a dispatcher may still send to a host that it knows to drain.
    #[serde(rename = "grace_us")]
    pub drain_grace_us: u64,
    /// Within this time a held state is fetched or released.
    pub release_us: u64,
    /// Tolerance for clocks, sockets and a busy machine.
    pub slack_us: u64,
    /// How long a dispatcher may take to notice that a client has disconnected.
    pub notice_us: u64,
}

impl RuleParams {
    /// Whether two hosts discard repeats together, for a task with this kind of group.
    pub fn same_group(&self, group: Group, one: &str, other: &str) -> bool {
        let location = |host: &str| self.locations.get(host).cloned().unwrap_or_default();
        match group {
            Group::All => true,
            Group::Zone => location(one).zone == location(other).zone,
            Group::Cell => location(one).cell == location(other).cell,
        }
    }
}

/// Everything relevant to the rules that crossed the sockets in a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Record {
    #[serde(rename = "figures")]
    pub params: RuleParams,
    #[serde(rename = "seen")]
    pub host_events: Vec<HostEvent>,
    #[serde(rename = "tries")]
    pub attempts: Vec<ClientAttempt>,
    #[serde(rename = "told")]
    pub notices: Vec<HostNotice>,
    pub kills: Vec<Kill>,
    /// When the record ended.
    pub ended: u64,
}
