//! Settings of a dispatcher: JSON with a published schema. [`check`] reports every error at once with its
//! JSON pointer; [`Settings::to_config`] converts the settings to the flat map that the decision core takes at
//! start.

mod check;

pub use check::{Violation, check, schema};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;
use tulipstall::interface::{Config, ConfigValue};

/// Settings of one dispatcher.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The dispatcher's name in logs and metrics.
    #[serde(default = "defaults::name")]
    pub name: String,
    /// Listening address for clients: a loopback address and a port. Port 0 selects a free port.
    pub listen: SocketAddr,
    /// Listening address of the control interface, which accepts host lists and answers queries about the
    /// dispatcher: a loopback address and a port.
    pub control: Option<SocketAddr>,
    /// JSON file with the list of hosts. It is read again whenever it changes.
    pub hosts_file: Option<PathBuf>,
    /// File in which the last host list is saved for the next start.
    pub hosts_kept: Option<PathBuf>,
    /// Zone of this dispatcher.
    #[serde(default)]
    pub zone: String,
    /// All zones, in the order of their indices. Zones that only the host list names are numbered after
    /// these.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Number of dispatchers that send to the same hosts.
    #[serde(default = "defaults::one")]
    #[schemars(range(min = 1))]
    pub dispatchers: u32,
    /// Index of this dispatcher among them, counted from 0.
    #[serde(default)]
    pub me: u32,
    /// Seed of the random number generator. Default: derived from the process id and the clock.
    pub seed: Option<u64>,
    /// Offerings (service classes). Clients select one with the `model` field of a request.
    #[schemars(length(min = 1))]
    pub offerings: Vec<Offering>,
    /// Customers and their API keys. If empty, requests with any key, or without one, are accepted as one
    /// customer.
    #[serde(default)]
    pub customers: Vec<Customer>,
    /// Kinds (types) of hosts. Each entry of the host list names one of them.
    #[schemars(length(min = 1))]
    pub kinds: Vec<Kind>,
    /// Properties of the hosts that the dispatcher has to respect.
    #[serde(default)]
    pub rules: RuleFigures,
    /// What the dispatcher may do with requests and attempts.
    #[serde(default)]
    pub allowed: Allowed,
    /// Load metrics of the engines: their names in the `endpoint-load-metrics` header and their meanings. At
    /// most four.
    #[serde(default)]
    pub loads: Vec<LoadField>,
    /// How the dispatcher estimates which host has which prompt prefixes cached.
    #[serde(default)]
    pub prefixes: Prefixes,
    /// Size and number limits.
    #[serde(default)]
    pub limits: Limits,
    /// Time-outs and intervals.
    #[serde(default)]
    pub times: Times,
    /// Number of worker threads for coroutines. Default: one per processor core, at most four.
    #[schemars(range(min = 1, max = 64))]
    pub workers: Option<u32>,
}

/// An offering (service class): a model with its agreed times, worth and effect.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Offering {
    /// Name of the model in the messages API.
    #[schemars(length(min = 1))]
    pub name: String,
    /// Agreed time from the request to the first token, in milliseconds.
    #[schemars(range(min = 1, max = 3_600_000))]
    pub agreed_time_ms: u64,
    /// Added to `agreed_time_ms` for each 1,000 prompt tokens, in milliseconds.
    #[serde(default)]
    pub agreed_time_ms_per_1000_prompt_tokens: f64,
    /// Agreed time between two tokens of an answer, in milliseconds.
    #[serde(default = "defaults::pace")]
    #[schemars(range(min = 0.001))]
    pub token_pace_ms: f64,
    /// A request without a first token after this time is ended, in milliseconds. A shorter time-out given by
    /// the client takes precedence.
    #[schemars(range(min = 1, max = 3_600_000))]
    pub hard_stop_ms: u64,
    /// Worth of a request relative to the other offerings. Under overload, offerings of lower gain are
    /// admitted to shorter queues only.
    #[serde(default = "defaults::gain")]
    pub gain: f64,
    /// Whether a request may be sent again after an attempt that may have run.
    #[serde(default)]
    pub effect: Effect,
    /// For referenced offerings: the group of hosts within which repeats of a request are discarded.
    #[serde(default)]
    pub group: Group,
    /// For referenced offerings: how long the hosts discard repeats, in milliseconds.
    #[serde(default)]
    pub window_ms: u64,
    /// Maximum number of tokens in one answer. Requests with a higher `max_tokens` are rejected.
    #[serde(default = "defaults::most_tokens")]
    #[schemars(range(min = 1))]
    pub most_tokens: u32,
}

/// Whether a request may be sent again after an attempt that may have run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// May run any number of times.
    #[default]
    Replayable,
    /// Carries a reference by which the hosts of its group discard repeats within a time window. It is sent
    /// again only to a host of that group and within that window.
    Referenced,
    /// Must not run twice: it is not sent again once an attempt may have run.
    SingleUse,
}

/// Group of hosts that discard repeats of a request among themselves: all hosts, those of a zone, or those of
/// a cell.
// No doc comments on the variants: they would change the schema from `enum` to `oneOf`, and with it the error
// texts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Group {
    #[default]
    All,
    Zone,
    Cell,
}

/// A customer (tenant).
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// Name of the customer. Two customers must not have the same name.
    pub name: String,
    /// API key that the client sends as `x-api-key` or as bearer token.
    #[schemars(length(min = 8))]
    pub key: String,
    /// Requests with this key are rejected with status 403.
    #[serde(default)]
    pub barred: bool,
}

/// A kind (type) of host.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Name by which the host list refers to the kind.
    pub name: String,
    pub role: KindRole,
    /// Memory of one host for cached prompts and states, in tokens. Default: unknown.
    #[schemars(range(min = 1))]
    pub memory_tokens: Option<u64>,
}

/// What the hosts of a kind do: `read` prefills prompts and keeps the resulting state (KV cache), `write`
/// fetches that state and streams the answer (decode), `both` does both.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum KindRole {
    Read,
    Write,
    Both,
}

/// Properties of the hosts that the dispatcher has to respect.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct RuleFigures {
    /// Warm-up time: a host has its full capacity at the latest this long after its start, in milliseconds.
    pub warm_up_ms: u64,
    /// Part of its capacity that a host has at its start, above 0 and at most 1.
    pub cold_from: f64,
    /// A host that is still warming up fails if, for `fall_ms`, it is sent more than this multiple of its
    /// current capacity.
    pub fall_multiple: f64,
    /// How long such an overload has to last before the host fails, in milliseconds.
    pub fall_ms: u64,
    /// No new request may reach a host later than this after the dispatcher was informed that the host is
    /// draining or gone, in milliseconds. The dispatcher itself stops sending as soon as it is informed.
    pub drain_grace_ms: u64,
    /// A state that a reader holds while no attempt is in progress is fetched or released within this time,
    /// in milliseconds.
    pub release_ms: u64,
}

impl Default for RuleFigures {
    fn default() -> Self {
        RuleFigures {
            warm_up_ms: 14_000,
            cold_from: 0.3,
            fall_multiple: 2.5,
            fall_ms: 3000,
            drain_grace_ms: 250,
            release_ms: 1000,
        }
    }
}

/// What the dispatcher may do with requests and attempts.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Allowed {
    /// Maximum number of attempts for one request.
    #[schemars(range(min = 1, max = 64))]
    pub max_shots: u32,
    /// Attempts in progress may be cancelled.
    pub cancel: bool,
    /// Rejections tell the client when to retry.
    pub come_back: bool,
    /// Longest retry delay given to clients, in milliseconds.
    pub max_come_back_ms: u64,
    /// Writers may prefill a prompt themselves if there is no state to fetch.
    pub writers_read: bool,
}

impl Default for Allowed {
    fn default() -> Self {
        Allowed { max_shots: 6, cancel: true, come_back: true, max_come_back_ms: 1000, writers_read: false }
    }
}

/// How the dispatcher estimates which host has which prompt prefixes cached.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Prefixes {
    pub by: PrefixBy,
    /// Memory of the index by content, in bytes, allocated at start.
    #[schemars(range(min = 100_000))]
    pub bytes: usize,
    /// Customers do not share cached prefixes: the same text of two customers counts as two texts.
    pub customers_apart: bool,
}

impl Default for Prefixes {
    fn default() -> Self {
        // Enough for texts of twelve million tokens, each cached at three hosts: the memory of about sixty
        // hosts.
        Prefixes { by: PrefixBy::Content, bytes: 64 << 20, customers_apart: true }
    }
}

/// Source of the estimates of cached prefixes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum PrefixBy {
    /// Index of hashed blocks of the prompts; finds prefixes of any length.
    #[default]
    Content,
    /// Table by session and shared text, with up to four readers per entry and a lifetime of one minute.
    Table,
    /// No estimates; for comparisons.
    Nothing,
}

/// One metric of the load header.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct LoadField {
    /// Name of the metric in the header; `named_metrics.NAME` for one inside `named_metrics`.
    pub name: String,
    pub means: LoadMeaning,
}

/// Meaning of a load metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum LoadMeaning {
    /// Part of the memory in use, 0 to 1.
    MemoryHeld,
    /// Prompt tokens waiting to be prefilled or fetched, in thousands.
    ThousandsToRead,
    /// Recorded, not used.
    Other,
}

/// Size and number limits.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum length of one line of a request head, in bytes.
    pub line_bytes: usize,
    /// Maximum number of headers in a request.
    pub headers: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum number of client connections.
    pub connections: usize,
    /// Maximum number of client connections from one address.
    pub connections_per_address: usize,
    /// Maximum number of events queued for the decision core.
    pub events: usize,
    /// Maximum number of requests in progress. Further requests get an overload error.
    pub tasks: usize,
    /// Maximum text of one answer in progress that is held so that another writer can resume the answer, in
    /// bytes.
    pub answer_bytes: usize,
    /// Maximum text held for all answers in progress together, in bytes.
    pub answers_bytes: usize,
    /// Budget for resuming answers whose writer was lost: the largest number of tokens, of prompts and of the
    /// answers so far, that may be prefilled again at once.
    pub reread_tokens: u32,
    /// Part of the tokens of delivered requests by which that budget is refilled, 0 to 1.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub reread_share: f64,
    /// Maximum number of idle (pooled) connections to one host.
    pub idle_connections: usize,
    /// Stack size of a coroutine, in bytes.
    #[schemars(range(min = 65536))]
    pub stack_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            head_bytes: 16_384,
            line_bytes: 8192,
            headers: 64,
            body_bytes: 2 << 20,
            connections: 20_000,
            connections_per_address: 20_000,
            events: 8192,
            tasks: 20_000,
            answer_bytes: 256 << 10,
            answers_bytes: 64 << 20,
            // About 200 answers of 1,000 tokens; a reader of ordinary speed prefills them in about ten
            // seconds.
            reread_tokens: 200_000,
            // Prefills for lost answers are at most a fifth of all prefills.
            reread_share: 0.25,
            idle_connections: 256,
            // Four times the stack that deeply nested JSON in a 2 MB body uses.
            stack_bytes: 256 << 10,
        }
    }
}

/// Time-outs and intervals.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Times {
    /// Time-out for receiving a complete request head once it has begun, in milliseconds.
    pub head_ms: u64,
    /// Time-out for receiving a complete request body once it has begun, in milliseconds.
    pub body_ms: u64,
    /// Time after which an idle client connection is closed, in milliseconds.
    pub keep_alive_ms: u64,
    /// Time after which an idle connection to a host is closed, in milliseconds. It should be shorter than
    /// the idle time-out of the hosts.
    pub host_idle_ms: u64,
    /// Time-out for connecting to a host, in milliseconds.
    pub connect_ms: u64,
    /// The request of a client that accepts no data for this long is aborted, in milliseconds.
    pub client_stall_ms: u64,
    /// A writer that sends nothing for this long within an answer is considered lost, in milliseconds.
    pub writer_stall_ms: u64,
    /// A draining host is expected to abort what still runs on it after this time, in milliseconds. Streams
    /// that would take longer move to another writer.
    pub host_drain_ms: u64,
    /// A stream in progress gets a ping event when nothing was sent for this long, in milliseconds.
    pub ping_ms: u64,
    /// Answers are given this long before the client's time-out, in milliseconds, to allow for the network
    /// and the resolution of the clock.
    pub answer_margin_ms: u64,
    /// After a stop signal, requests in progress may finish within this time, in milliseconds.
    pub drain_ms: u64,
}

impl Default for Times {
    fn default() -> Self {
        Times {
            head_ms: 10_000,
            body_ms: 20_000,
            keep_alive_ms: 75_000,
            host_idle_ms: 4000,
            connect_ms: 250,
            client_stall_ms: 5000,
            writer_stall_ms: 5000,
            // The usual time that process managers leave between the stop signal and killing a process.
            host_drain_ms: 30_000,
            ping_ms: 1000,
            answer_margin_ms: 20,
            drain_ms: 10_000,
        }
    }
}

mod defaults {
    pub fn name() -> String {
        "dispatcher".to_owned()
    }
    pub fn one() -> u32 {
        1
    }
    pub fn pace() -> f64 {
        50.0
    }
    pub fn gain() -> f64 {
        1.0
    }
    pub fn most_tokens() -> u32 {
        4096
    }
}

impl Settings {
    /// Index of the offering with the given model name.
    pub fn offering_index(&self, model: &str) -> Option<usize> {
        self.offerings.iter().position(|offering| offering.name == model)
    }

    /// The settings as the flat map that the decision core takes at start.
    pub fn to_config(&self) -> Config {
        let mut config = Config::default();
        let mut put = |name: String, value: ConfigValue| {
            config.0.insert(name, value);
        };
        let micros = |ms: f64| ConfigValue::Number(ms * 1000.0);
        put("dispatchers".into(), ConfigValue::Number(f64::from(self.dispatchers)));
        put("me".into(), ConfigValue::Number(f64::from(self.me)));
        put("zone".into(), ConfigValue::Text(self.zone.clone()));
        for (i, zone) in self.zones.iter().enumerate() {
            put(format!("zones.{i}"), ConfigValue::Text(zone.clone()));
        }
        for (i, offering) in self.offerings.iter().enumerate() {
            let path = |field: &str| format!("offerings.{i}.{field}");
            put(path("name"), ConfigValue::Text(offering.name.clone()));
            put(path("agreed_time_us"), micros(offering.agreed_time_ms as f64));
            put(path("hard_stop_us"), micros(offering.hard_stop_ms as f64));
            put(path("window_us"), micros(offering.window_ms as f64));
            put(path("gain"), ConfigValue::Number(offering.gain));
            let effect = match offering.effect {
                Effect::Replayable => "replayable",
                Effect::Referenced => "referenced",
                Effect::SingleUse => "single-use",
            };
            put(path("effect"), ConfigValue::Text(effect.to_owned()));
            let group = match offering.group {
                Group::All => "all",
                Group::Zone => "zone",
                Group::Cell => "cell",
            };
            put(path("group"), ConfigValue::Text(group.to_owned()));
            put(
                format!("service.agreed_time_us_per_1000_prompt_tokens.{i}"),
                micros(offering.agreed_time_ms_per_1000_prompt_tokens),
            );
            put(format!("service.token_pace_us.{i}"), micros(offering.token_pace_ms));
        }
        for (i, customer) in self.customers.iter().enumerate() {
            put(format!("customers.{i}.name"), ConfigValue::Text(customer.name.clone()));
        }
        for (i, kind) in self.kinds.iter().enumerate() {
            put(format!("kinds.{i}"), ConfigValue::Text(kind.name.clone()));
            let role = match kind.role {
                KindRole::Read => "read",
                KindRole::Write => "write",
                KindRole::Both => "both",
            };
            put(format!("service.role_by_kind.{i}"), ConfigValue::Text(role.to_owned()));
            if let Some(tokens) = kind.memory_tokens {
                put(format!("service.kind_memory_tokens.{i}"), ConfigValue::Number(tokens as f64));
            }
        }
        for (i, field) in self.loads.iter().enumerate() {
            let meaning = match field.means {
                LoadMeaning::MemoryHeld => "x0",
                LoadMeaning::ThousandsToRead => "x1",
                LoadMeaning::Other => "other",
            };
            put(format!("report.fields.{i}"), ConfigValue::Text(meaning.to_owned()));
        }
        let rules = &self.rules;
        put("rules.warm_up_us".into(), micros(rules.warm_up_ms as f64));
        put("rules.cold_from".into(), ConfigValue::Number(rules.cold_from));
        put("rules.fall_multiple".into(), ConfigValue::Number(rules.fall_multiple));
        put("rules.fall_us".into(), micros(rules.fall_ms as f64));
        put("rules.drain_grace_us".into(), micros(rules.drain_grace_ms as f64));
        put("service.release_us".into(), micros(rules.release_ms as f64));
        put("service.writers_read".into(), ConfigValue::Flag(self.allowed.writers_read));
        put("allowed.max_shots".into(), ConfigValue::Number(f64::from(self.allowed.max_shots)));
        put("allowed.cancel".into(), ConfigValue::Flag(self.allowed.cancel));
        put("allowed.come_back".into(), ConfigValue::Flag(self.allowed.come_back));
        put("allowed.max_come_back_us".into(), micros(self.allowed.max_come_back_ms as f64));
        config
    }
}

/// One entry of a host list, as given in files and pushed to the control interface.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct HostLine {
    /// Address of the host; also its name.
    pub host: SocketAddr,
    /// Kind of the host, as named in the settings.
    pub kind: String,
    /// Zone of the host.
    #[serde(default)]
    pub zone: String,
    /// Cell of the host: a group of hosts with fast links, such as a rack.
    #[serde(default)]
    pub cell: u32,
    /// Weight of the host, 1 by default. Routing does not use it.
    #[serde(default = "defaults::gain")]
    pub weight: f64,
    /// Start time of the host's process, in milliseconds since 1970-01-01 UTC. Default: a long time ago.
    pub started_unix_ms: Option<u64>,
    #[serde(default)]
    pub standing: HostStanding,
}

/// Status of a host: `running` hosts get new requests; `draining` hosts finish theirs and get no new ones;
/// `gone` hosts are no longer in service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum HostStanding {
    #[default]
    Running,
    Draining,
    Gone,
}

/// A list of hosts: complete, or only the changed entries.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct HostList {
    /// Version of the list. A list whose version is not higher than that of the last one is ignored; a list
    /// of version 0 is always applied.
    #[serde(default)]
    pub version: u64,
    /// True: the list is complete, and hosts that are not in it are gone.
    #[serde(default)]
    pub whole: bool,
    pub hosts: Vec<HostLine>,
}
