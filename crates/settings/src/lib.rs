//! What a dispatcher is told at start: JSON with a published schema. `check` names every fault at once by its
//! place; `terms` gives the decisions their plain map.

mod check;

pub use check::{Fault, check, schema};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;
use tulipstall::interface::{Term, Terms};

/// Settings of one dispatcher.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The dispatcher's name in logs and metrics.
    #[serde(default = "defaults::name")]
    pub name: String,
    /// Where clients connect: a loopback address with a port; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Where the list of hosts is pushed and the daemon is asked about itself; loopback too.
    pub control: Option<SocketAddr>,
    /// A JSON file with the list of hosts, read again when it changes.
    pub hosts_file: Option<PathBuf>,
    /// Where the last list is kept for the next start.
    pub hosts_kept: Option<PathBuf>,
    /// The zone that this dispatcher is in.
    #[serde(default)]
    pub zone: String,
    /// All zones; the first ones are told to the decisions in this order.
    #[serde(default)]
    pub zones: Vec<String>,
    /// How many dispatchers there are in all, and which of them this is.
    #[serde(default = "defaults::one")]
    #[schemars(range(min = 1))]
    pub dispatchers: u32,
    #[serde(default)]
    pub me: u32,
    /// Start of all chance; absent: from the process id and the clock.
    pub seed: Option<u64>,
    #[schemars(length(min = 1))]
    pub offerings: Vec<Offering>,
    /// Customers by their keys; none: every key, or none at all, is let in as one customer.
    #[serde(default)]
    pub customers: Vec<Customer>,
    #[schemars(length(min = 1))]
    pub kinds: Vec<Kind>,
    #[serde(default)]
    pub rules: RuleFigures,
    #[serde(default)]
    pub allowed: Allowed,
    /// Engines' load figures: names in the `endpoint-load-metrics` header and what they stand for.
    #[serde(default)]
    pub loads: Vec<LoadField>,
    /// How it is known which host holds which opening text.
    #[serde(default)]
    pub prefixes: Prefixes,
    #[serde(default)]
    pub limits: Limits,
    #[serde(default)]
    pub times: Times,
    /// Worker threads for coroutines; absent: as many as cores, four at most.
    #[schemars(range(min = 1, max = 64))]
    pub workers: Option<u32>,
}

/// What clients ask for as a model.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Offering {
    /// The model's name in the messages API.
    #[schemars(length(min = 1))]
    pub name: String,
    /// First token wanted within this time.
    #[schemars(range(min = 1, max = 3_600_000))]
    pub agreed_time_ms: u64,
    /// Added for each 1,000 prompt tokens.
    #[serde(default)]
    pub agreed_time_ms_per_1000_prompt_tokens: f64,
    /// Time wanted between two tokens.
    #[serde(default = "defaults::pace")]
    #[schemars(range(min = 0.001))]
    pub token_pace_ms: f64,
    /// A task without a first token by then is over; a client's own shorter time goes before it.
    #[schemars(range(min = 1, max = 3_600_000))]
    pub hard_stop_ms: u64,
    #[serde(default = "defaults::gain")]
    pub gain: f64,
    #[serde(default)]
    pub effect: Effect,
    /// Referenced ones: which hosts discard repeats.
    #[serde(default)]
    pub group: Group,
    /// Referenced ones: for how long they do.
    #[serde(default)]
    pub window_ms: u64,
    /// The most tokens that one answer may have.
    #[serde(default = "defaults::most_tokens")]
    #[schemars(range(min = 1))]
    pub most_tokens: u32,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// May run again.
    #[default]
    Replayable,
    /// Carries a mark by which hosts of its group discard repeats.
    Referenced,
    /// Must never run twice.
    SingleUse,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Group {
    #[default]
    All,
    Zone,
    Cell,
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    pub name: String,
    /// What the client sends as `x-api-key` or bearer token.
    #[schemars(length(min = 8))]
    pub key: String,
    /// A known customer that is not let in: 403.
    #[serde(default)]
    pub barred: bool,
}

/// A kind of host.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    pub name: String,
    pub role: KindRole,
    #[schemars(range(min = 1))]
    pub memory_tokens: Option<u64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum KindRole {
    Read,
    Write,
    Both,
}

/// The rules in figures.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct RuleFigures {
    /// A started host is warm after this at the latest.
    pub warm_up_ms: u64,
    /// The part of its capacity that it starts with.
    pub cold_from: f64,
    /// Sent more than this multiple of what it can do …
    pub fall_multiple: f64,
    /// … for this long, a cold host falls over.
    pub fall_ms: u64,
    /// Nothing new to a host later than this after it was told to drain or to be gone. The dispatcher itself
    /// sends nothing from the moment that it is told.
    pub drain_grace_ms: u64,
    /// A state held while no shot is out is taken or let go within this.
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

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Allowed {
    #[schemars(range(min = 1, max = 64))]
    pub max_shots: u32,
    /// Shots may be called off.
    pub cancel: bool,
    /// A bounce says when to come back, …
    pub come_back: bool,
    /// … after this long at most.
    pub max_come_back_ms: u64,
    /// Writers read a prompt themselves when there is no state.
    pub writers_read: bool,
}

impl Default for Allowed {
    fn default() -> Self {
        Allowed { max_shots: 6, cancel: true, come_back: true, max_come_back_ms: 1000, writers_read: false }
    }
}

/// How it is known which host holds which opening text.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Prefixes {
    pub by: PrefixBy,
    /// Memory of the index by content, taken at start.
    #[schemars(range(min = 100_000))]
    pub bytes: usize,
    /// Customers' texts are kept apart: the same text of two of them counts as two.
    pub customers_apart: bool,
}

impl Default for Prefixes {
    fn default() -> Self {
        // Twelve million tokens of texts held by three hosts each: some sixty hosts' memories.
        Prefixes { by: PrefixBy::Content, bytes: 64 << 20, customers_apart: true }
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum PrefixBy {
    /// By hashed blocks of the prompt, at any length.
    #[default]
    Content,
    /// By session and shared text, four readers each, for a minute.
    Table,
    /// Not at all: for comparisons.
    Nothing,
}

/// One figure of the load header.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct LoadField {
    /// Its name in the header; `named_metrics.NAME` for a named one.
    pub name: String,
    pub means: LoadMeaning,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum LoadMeaning {
    /// Share of memory held, 0 to 1.
    MemoryHeld,
    /// Thousands of prompt tokens waiting to be read or fetched.
    ThousandsToRead,
    /// Noted, not used.
    Other,
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Bytes of a request's head, of one line of it, and how many headers it may have.
    pub head_bytes: usize,
    pub line_bytes: usize,
    pub headers: usize,
    pub body_bytes: usize,
    /// Connections in all, and from one client address.
    pub connections: usize,
    pub connections_per_address: usize,
    /// Events waiting for the decisions.
    pub events: usize,
    /// Tasks in hand; more are told that the dispatcher is overloaded.
    pub tasks: usize,
    /// Bytes of begun answers held so that another writer can go on: of each, and of all.
    pub answer_bytes: usize,
    pub answers_bytes: usize,
    /// Tokens of prompts and answers so far that may be read again at once for answers whose writer was lost, and
    /// what part of the tokens of delivered work fills that stock again.
    pub reread_tokens: u32,
    #[schemars(range(min = 0.0, max = 1.0))]
    pub reread_share: f64,
    /// Idle connections kept to one host.
    pub idle_connections: usize,
    /// Bytes of one stack of a coroutine.
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
            // Some 200 answers of a thousand tokens, which a reader of ordinary speed reads in some ten seconds.
            reread_tokens: 200_000,
            // Reads of lost answers are a fifth of all at most.
            reread_share: 0.25,
            idle_connections: 256,
            // Four times the high-water mark measured with deep JSON and a 2 MB body.
            stack_bytes: 256 << 10,
        }
    }
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Times {
    /// Time for a whole head, and for a whole body, once begun.
    pub head_ms: u64,
    pub body_ms: u64,
    /// An idle client connection is closed after this.
    pub keep_alive_ms: u64,
    /// An idle connection to a host is let go of after this: shorter than hosts keep theirs.
    pub host_idle_ms: u64,
    pub connect_ms: u64,
    /// A client that takes nothing for so long is broken off.
    pub client_stall_ms: u64,
    /// A writer that says nothing in a begun answer for so long is lost.
    pub writer_stall_ms: u64,
    /// A host that drains is thought to break what still runs there after so long: streams that would take longer
    /// move to another writer.
    pub host_drain_ms: u64,
    /// A begun stream gets a ping when nothing came for so long.
    pub ping_ms: u64,
    /// Answers are given this long before a client's own time is up, for the way and the clock's grain.
    pub answer_margin_ms: u64,
    /// After a stop signal tasks in hand may end within this.
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
            // What process managers usually leave to a process between being told to stop and being killed.
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
    pub fn offering(&self, model: &str) -> Option<usize> {
        self.offerings.iter().position(|offering| offering.name == model)
    }

    /// The plain map that the decisions are told at start.
    pub fn terms(&self) -> Terms {
        let mut terms = Terms::default();
        let mut put = |name: String, term: Term| {
            terms.0.insert(name, term);
        };
        let ms = |ms: f64| Term::Number(ms * 1000.0);
        put("dispatchers".into(), Term::Number(f64::from(self.dispatchers)));
        put("me".into(), Term::Number(f64::from(self.me)));
        put("zone".into(), Term::Text(self.zone.clone()));
        for (i, zone) in self.zones.iter().enumerate() {
            put(format!("zones.{i}"), Term::Text(zone.clone()));
        }
        for (i, offering) in self.offerings.iter().enumerate() {
            let own = |field: &str| format!("offerings.{i}.{field}");
            put(own("name"), Term::Text(offering.name.clone()));
            put(own("agreed_time_us"), ms(offering.agreed_time_ms as f64));
            put(own("hard_stop_us"), ms(offering.hard_stop_ms as f64));
            put(own("window_us"), ms(offering.window_ms as f64));
            put(own("gain"), Term::Number(offering.gain));
            let effect = match offering.effect {
                Effect::Replayable => "replayable",
                Effect::Referenced => "referenced",
                Effect::SingleUse => "single-use",
            };
            put(own("effect"), Term::Text(effect.to_owned()));
            let group = match offering.group {
                Group::All => "all",
                Group::Zone => "zone",
                Group::Cell => "cell",
            };
            put(own("group"), Term::Text(group.to_owned()));
            put(
                format!("service.agreed_time_us_per_1000_prompt_tokens.{i}"),
                ms(offering.agreed_time_ms_per_1000_prompt_tokens),
            );
            put(format!("service.token_pace_us.{i}"), ms(offering.token_pace_ms));
        }
        for (i, customer) in self.customers.iter().enumerate() {
            put(format!("customers.{i}.name"), Term::Text(customer.name.clone()));
        }
        for (i, kind) in self.kinds.iter().enumerate() {
            put(format!("kinds.{i}"), Term::Text(kind.name.clone()));
            let role = match kind.role {
                KindRole::Read => "read",
                KindRole::Write => "write",
                KindRole::Both => "both",
            };
            put(format!("service.role_by_kind.{i}"), Term::Text(role.to_owned()));
            if let Some(tokens) = kind.memory_tokens {
                put(format!("service.kind_memory_tokens.{i}"), Term::Number(tokens as f64));
            }
        }
        for (i, field) in self.loads.iter().enumerate() {
            let means = match field.means {
                LoadMeaning::MemoryHeld => "x0",
                LoadMeaning::ThousandsToRead => "x1",
                LoadMeaning::Other => "other",
            };
            put(format!("report.fields.{i}"), Term::Text(means.to_owned()));
        }
        let rules = &self.rules;
        put("rules.warm_up_us".into(), ms(rules.warm_up_ms as f64));
        put("rules.cold_from".into(), Term::Number(rules.cold_from));
        put("rules.fall_multiple".into(), Term::Number(rules.fall_multiple));
        put("rules.fall_us".into(), ms(rules.fall_ms as f64));
        put("rules.drain_grace_us".into(), ms(rules.drain_grace_ms as f64));
        put("service.release_us".into(), ms(rules.release_ms as f64));
        put("service.writers_read".into(), Term::Flag(self.allowed.writers_read));
        put("allowed.max_shots".into(), Term::Number(f64::from(self.allowed.max_shots)));
        put("allowed.cancel".into(), Term::Flag(self.allowed.cancel));
        put("allowed.come_back".into(), Term::Flag(self.allowed.come_back));
        put("allowed.max_come_back_us".into(), ms(self.allowed.max_come_back_ms as f64));
        terms
    }
}

/// One line of a list of hosts, as files and pushes give it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct HostLine {
    /// Its address: the host's name too.
    pub host: SocketAddr,
    pub kind: String,
    #[serde(default)]
    pub zone: String,
    #[serde(default)]
    pub cell: u32,
    #[serde(default = "defaults::gain")]
    pub weight: f64,
    /// When its process started, in milliseconds since 1970; absent: a long time ago.
    pub started_unix_ms: Option<u64>,
    #[serde(default)]
    pub standing: HostStanding,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum HostStanding {
    #[default]
    Running,
    Draining,
    Gone,
}

/// A list of hosts: whole, or the changed lines only.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct HostList {
    #[serde(default)]
    pub version: u64,
    /// True: hosts that are not named have gone.
    #[serde(default)]
    pub whole: bool,
    pub hosts: Vec<HostLine>,
}
