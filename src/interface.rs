//! Input events and output actions of the decision logic ([`crate::Rules`]): plain data without behaviour.
//!
//! The dispatcher is a router in front of model servers. A request is served in two steps: a reader computes the state
//! (KV cache) of the prompt (prefill), then a writer fetches that state and streams the answer (decode).
//!
//! Points in time are durations since the start of the dispatcher. Hosts, tasks, offerings, customers, zones and kinds
//! are identified by small indices that [`crate::names`] assigns to their names.
//!
//! Events and actions are also the lines of recorded runs, so the names of their fields and variants are a file format.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// One configuration value.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ConfigValue {
    Flag(bool),
    Number(f64),
    Text(String),
}

/// The configuration of the decision logic, fixed at start: dotted names (`offerings.0.gain`) mapped to values.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Config(pub BTreeMap<String, ConfigValue>);

impl Config {
    /// The value under this name if it is a finite number.
    pub fn number(&self, name: &str) -> Option<f64> {
        match self.0.get(name) {
            Some(ConfigValue::Number(value)) if value.is_finite() => Some(*value),
            _ => None,
        }
    }

    /// The value under this name if it is a text.
    pub fn text(&self, name: &str) -> Option<&str> {
        match self.0.get(name) {
            Some(ConfigValue::Text(value)) => Some(value),
            _ => None,
        }
    }

    /// Whether the value under this name is `true`; a missing name counts as `false`.
    pub fn flag(&self, name: &str) -> bool {
        matches!(self.0.get(name), Some(ConfigValue::Flag(true)))
    }

    /// The value under this name, given in microseconds, as a duration. Absent if it is negative.
    pub fn duration(&self, name: &str) -> Option<Duration> {
        self.number(name).filter(|us| *us >= 0.0).map(|us| Duration::from_micros(us as u64))
    }

    /// The number of consecutive entries `list.0`, `list.1`, … of a list. An entry is a value of its own
    /// (`zones.0`) or a group of values (`offerings.0.gain`).
    pub fn list_len(&self, list: &str) -> usize {
        let found = |i: usize| {
            let exact = format!("{list}.{i}");
            let below = format!("{exact}.");
            self.0.contains_key(&exact)
                || self.0.range(below.clone()..).next().is_some_and(|(name, _)| name.starts_with(&below))
        };
        (0..).take_while(|i| found(*i)).count()
    }
}

/// Identifies a session (a conversation) or a shared text (the start of a prompt that several sessions have in common).
///
/// Slots are reused: the generation of a slot changes when the slot is assigned to another name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheKey {
    /// Index of the slot.
    #[serde(rename = "place")]
    pub slot: u32,
    /// Generation of the slot.
    #[serde(rename = "turn")]
    pub generation: u32,
    /// Hash of the name, the same in every dispatcher.
    #[serde(rename = "mark")]
    pub hash: u64,
}

/// Availability of a host according to the host list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum HostStatus {
    Running,
    /// Finishes what it has and takes no new shots.
    Draining,
    /// Removed from the list.
    #[default]
    Gone,
}

/// What hosts of a kind (a server type) do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// Prefills prompts and keeps the resulting state (KV cache) until a writer fetches it.
    Reader,
    /// Fetches a state from a reader and streams the answer (decode).
    Writer,
    /// Does both.
    Mixed,
    /// The configuration has no such kind.
    #[default]
    Unknown,
}

/// One entry of the host list. A host is one model server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ListedHost {
    pub host: u32,
    /// Hash of the name, the same in every dispatcher.
    #[serde(rename = "mark")]
    pub name_hash: u64,
    /// Uptime of the server process; absent if it has been up for long or is not known.
    #[serde(rename = "up_for")]
    pub uptime: Option<Duration>,
    /// The group of servers with fast links between them (a rack) that it belongs to.
    pub cell: u32,
    /// Availability zone.
    pub zone: u32,
    /// Relative capacity among hosts of its kind.
    pub weight: f64,
    /// Role of its kind, from the configuration.
    pub role: Role,
    /// Memory of its kind in tokens, from the configuration.
    pub memory_tokens: Option<f64>,
    #[serde(rename = "standing")]
    pub status: HostStatus,
}

/// How a shot (one attempt of a request at one server) ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The complete answer was received.
    Delivered,
    /// The prompt has been prefilled and its state is held at the reader.
    Read,
    /// The server refused the attempt because it is at capacity.
    Full,
    /// The writer found no state to fetch.
    NoState,
    /// The server answered with an error, or with a head that cannot be read.
    Error,
    /// The answer is malformed behind its head. The attempt has run, and the state that it fetched is gone.
    Spoilt,
    /// The connection was lost after the request had been sent.
    Broken,
    /// The idle (pooled) connection it was sent on had already been lost. It may have run; the host is not to blame.
    Stale,
    /// No connection to the server could be made.
    NoConnection,
    /// Its time ran out before an answer.
    TimedOut,
    /// The dispatcher cancelled it.
    Cancelled,
    /// It never ran, for a reason that says nothing about the server: it was cancelled before it was sent, the dispatcher's
    /// own machine failed it, or the server dropped it unstarted at its deadline.
    Moot,
}

impl Outcome {
    /// Whether this outcome proves that the shot produced no effect, so that a repeat is always safe.
    pub fn never_ran(self) -> bool {
        use Outcome::*;
        matches!(self, Read | Full | NoState | NoConnection | Moot)
    }

    /// Whether the server answered, which proves that the attempt had arrived there.
    pub fn is_answered(self) -> bool {
        use Outcome::*;
        matches!(self, Delivered | Read | Full | NoState | Error | Spoilt)
    }
}

/// A load report of a server. The values stand in the order of the configured names (`report.fields.N`).
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    pub values: [f64; 4],
    /// How many of the values were reported.
    pub count: usize,
}

/// A shot that may have run at a server. A task that continues an interrupted answer carries the one of the earlier
/// task, since that shot limits which further attempts are allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PossibleRun {
    pub host: u32,
    pub sent: Duration,
}

/// A new request of a client. Inside the dispatcher, one request is a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Order {
    pub task: u32,
    /// The service class: a model with its agreed time, effect and worth.
    pub offering: Option<u32>,
    /// The tenant.
    pub customer: Option<u32>,
    /// The conversation that the request belongs to.
    pub session: Option<CacheKey>,
    /// The start of the prompt that several sessions have in common.
    pub shared: Option<CacheKey>,
    /// Time left until the client gives up on this request.
    #[serde(rename = "left")]
    pub time_left: Duration,
    /// Rough estimate of the answer's length, as time at the offering's token rate.
    #[serde(rename = "hint")]
    pub expected_duration: Option<Duration>,
    pub prompt_tokens: u32,
    /// Length of the shared start of the prompt.
    pub shared_tokens: u32,
    /// Upper limit for the tokens of the answer.
    #[serde(rename = "most_tokens")]
    pub max_answer_tokens: u32,
    /// The client repeats a request that it has made before.
    #[serde(rename = "again")]
    pub is_repeat: bool,
    /// The first shot that may have run of the interrupted answer that this task continues.
    #[serde(rename = "ran", default)]
    pub earlier_run: Option<PossibleRun>,
}

/// The end of a shot.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Closed {
    pub task: u32,
    /// Number of the shot within its task, from 0.
    pub shot: u32,
    pub outcome: Outcome,
    /// The task had already ended, or ends with this shot.
    pub finished: bool,
    /// Prompt tokens that the server found in its prefix cache.
    #[serde(rename = "kept_tokens")]
    pub cached_tokens: u32,
    pub load: Option<LoadReport>,
}

/// One input of the decision logic.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// A host list was received.
    Hosts {
        /// The list is complete: hosts that are not on it are gone. Otherwise it holds changes only.
        #[serde(rename = "whole")]
        complete: bool,
        listed: Vec<ListedHost>,
    },
    /// The host list could not be obtained.
    ListFailed,
    /// Estimate of the cached part of the next order's prompt: host and tokens, weighted by confidence. Hosts that are
    /// not named have nothing cached. Without this event the decisions use their own table.
    #[serde(rename = "Kept")]
    CachedPrompt {
        #[serde(rename = "kept")]
        cached: Vec<(u32, u32)>,
    },
    /// A request arrived.
    Order(Order),
    /// The answer of a shot has begun.
    Started { task: u32, shot: u32 },
    /// A shot has ended.
    Closed(Closed),
    /// Answer to a reservation of capacity at a host. The decisions make none and ignore it.
    #[serde(rename = "Place")]
    Reservation {
        task: u32,
        /// The capacity is reserved.
        #[serde(rename = "held")]
        granted: bool,
    },
    /// Result of a probe of a host.
    Probed { host: u32, answered: bool, load: Option<LoadReport> },
    /// A timer set by [`Action::Timer`] has expired.
    Timer { token: u64 },
    /// The client has closed its connection.
    ClientGone { task: u32 },
}

/// The current estimate of a host's load and health.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct HostEstimate {
    /// Shots of this dispatcher that are in progress there.
    pub shots_in_progress: u32,
    /// Prompt tokens that this dispatcher has sent there and that are not read yet.
    pub pending_read_tokens: f64,
    /// Tokens of this dispatcher's streams there, prompt and answer.
    pub stream_tokens: f64,
    /// Suspicion that the host has failed, from 0 to 1.
    pub suspicion: f64,
    /// How many times slower than usual for its role it is estimated to be; 1 is usual.
    pub slowdown: f64,
}

/// Why the states that servers hold for a request are released.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum ReleaseReason {
    /// No writer will fetch the state: the request has ended, or no writer can be used in time.
    Unused,
    /// The holding time is over while an attempt is in progress whose server has not answered.
    Unanswered,
    /// The holding time is over and the state is of no use: it may stem from a read that reported no success.
    Left,
    /// The request has ended, and a read of it may have left a state.
    Ended,
}

/// One output of the decision logic.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum Action {
    /// Start a shot at a host. Shots of a task are numbered from 0 in the order of these actions.
    Send {
        task: u32,
        host: u32,
        /// Deadline of the shot.
        #[serde(rename = "until")]
        deadline: Duration,
        /// Latest time to send the first byte; after that the shot is not sent at all.
        #[serde(rename = "begin_by")]
        send_by: Duration,
    },
    /// Cancel a shot that is in progress.
    Cancel { task: u32, shot: u32 },
    /// Release the states that servers hold for the task, whether or not a shot of it is in progress.
    Release { task: u32, reason: ReleaseReason },
    /// Reject the request, with the advice that a repeat is safe.
    Bounce {
        task: u32,
        /// Delay to suggest to the client before it retries.
        #[serde(rename = "come_back")]
        retry_after: Option<Duration>,
    },
    /// Abort the request: a shot may have had an effect that must not occur twice.
    BreakOff { task: u32 },
    /// End a running stream cleanly; the client repeats its request.
    #[serde(rename = "Move")]
    EndStream { task: u32 },
    /// Deliver [`Event::Timer`] with this token at the given time.
    Timer { at: Duration, token: u64 },
    /// Request the host list again.
    #[serde(rename = "AskList")]
    RequestHostList,
    /// A log line for the operator.
    Note { host: u32, what: &'static str },
    /// The task is over and no further action names it: its index may be reused.
    Forget { task: u32 },
}
