//! The state that the rules keep, and plain helpers on it. The decisions are in [`crate::rules`].

use crate::interface::{CacheKey, Config, HostEstimate, HostStatus, ListedHost, Order};
use crate::release::HeldState;
use std::time::Duration;

/// Pseudo-random numbers: PCG-XSH-RR 64/32 (O'Neill).
#[derive(Default)]
pub(crate) struct Pcg32(pub(crate) u64);

impl Pcg32 {
    pub(crate) fn next_u32(&mut self) -> u32 {
        let old = self.0;
        self.0 = old.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        ((((old >> 18) ^ old) >> 27) as u32).rotate_right((old >> 59) as u32)
    }

    /// The generator one step on: seeds that differ in few bits then give unrelated numbers.
    pub(crate) fn advanced(mut self) -> Self {
        self.next_u32();
        self
    }

    /// Uniform, above 0 and up to 1.
    pub(crate) fn next_unit(&mut self) -> f64 {
        (f64::from(self.next_u32()) + 1.0) / 4_294_967_296.0
    }
}

/// A level that decays exponentially: by a factor of e in each time constant, which is in seconds.
#[derive(Clone, Copy, Default)]
pub(crate) struct DecayingLevel {
    pub(crate) level: f64,
    pub(crate) updated_at: Duration,
}

impl DecayingLevel {
    pub(crate) fn decayed(&self, now: Duration, time_constant: f64) -> f64 {
        // Most hosts of a large fleet have no level, and the exponential is costly.
        if self.level == 0.0 {
            return 0.0;
        }
        self.level * (-now.saturating_sub(self.updated_at).as_secs_f64() / time_constant).exp()
    }

    pub(crate) fn add(&mut self, now: Duration, time_constant: f64, amount: f64) {
        *self = DecayingLevel { level: self.decayed(now, time_constant) + amount, updated_at: now };
    }

    pub(crate) fn set(&mut self, now: Duration, level: f64) {
        *self = DecayingLevel { level, updated_at: now };
    }
}

/// A ratio of two sums that both decay with each addition, so that large samples weigh in proportion.
#[derive(Clone, Copy, Default)]
pub(crate) struct DecayingRatio {
    pub(crate) numerator: f64,
    pub(crate) denominator: f64,
}

impl DecayingRatio {
    pub(crate) fn add(&mut self, numerator: f64, denominator: f64, retention: f64) {
        *self = DecayingRatio {
            numerator: self.numerator * retention + numerator,
            denominator: self.denominator * retention + denominator,
        };
    }

    pub(crate) fn value(&self) -> f64 {
        if self.denominator > 0.0 { self.numerator / self.denominator } else { 0.0 }
    }
}

/// A service class: what a task of it is worth, by when it should be answered and whether it may be repeated.
pub(crate) struct Offering {
    /// Agreed time to the first token: fixed, and for each prompt token.
    pub(crate) agreed_seconds: f64,
    pub(crate) agreed_seconds_per_token: f64,
    /// Agreed pace of the tokens of an answer.
    pub(crate) output_seconds_per_token: f64,
    pub(crate) gain: f64,
    /// Gain over the highest gain of all offerings, up to 1: who comes first where not all can be served.
    pub(crate) relative_gain: f64,
    /// Anything but `replayable` or `referenced` counts as single-use.
    pub(crate) effect: String,
    /// Which hosts may repeat a referenced task (`all`, `zone` or `cell`), and for how long after the first shot.
    pub(crate) group: String,
    pub(crate) repeat_window: Duration,
}

/// Which readers are believed to have a session or a shared text in their cache, and which read it last.
#[derive(Clone, Copy, Default)]
pub(crate) struct CachedText {
    pub(crate) generation: u32,
    pub(crate) last_reader: Option<u32>,
    /// Reader, cached tokens, when they were read.
    pub(crate) readers: [(u32, u32, Duration); 4],
    /// Tasks seen with it recently.
    pub(crate) recent_tasks: DecayingLevel,
}

/// A model server: its line of the list, and what this dispatcher has counted and measured there.
#[derive(Clone, Copy, Default)]
pub(crate) struct Host {
    pub(crate) listed: ListedHost,
    /// When the host is warm at the latest; zero if it was warm when first listed.
    pub(crate) warm_at: Duration,
    /// Tokens of this dispatcher's own prompts that are still to be read there.
    pub(crate) pending_read_tokens: f64,
    /// Tokens of its own streams there, prompt plus output each.
    pub(crate) pending_stream_tokens: f64,
    pub(crate) shots_in_flight: u32,
    /// Last report of tokens to read or fetch, with its time.
    pub(crate) reported_to_read: Option<(Duration, f64)>,
    /// Last report of the share of memory in use.
    pub(crate) reported_memory_share: f64,
    /// How far the host is believed to be faulty, up to 1.
    pub(crate) suspicion: DecayingLevel,
    /// Whether it was last noted as suspected.
    pub(crate) suspected: bool,
    /// Retries that it may be sent; earned by answers.
    pub(crate) retry_credit: f64,
    /// Seconds spent on reads over tokens read.
    pub(crate) read_times: DecayingRatio,
    /// Tokens sent here to be read recently.
    pub(crate) recent_read_tokens: DecayingLevel,
    /// Cached tokens that reads found over those estimated.
    pub(crate) cache_hit_ratio: DecayingRatio,
    /// When it last answered, or was first listed.
    pub(crate) last_answer_at: Duration,
    /// When the latest of the shots that it has answered was sent.
    pub(crate) latest_answered_sent_at: Duration,
    /// The share of its cell's reads whose state has to leave the cell.
    pub(crate) remote_fetch_share: f64,
    /// What it can write beyond the reads of its cell, as a share of all hosts' writing.
    pub(crate) spare_writer_share: f64,
    /// Its weight as a home of sessions and texts; 1 for a reader.
    pub(crate) home_weight: f64,
    /// Shots of the last half minute that it read or began to answer.
    pub(crate) recent_starts: DecayingLevel,
    /// Shots that it may still be sent while it is cold; does not decay.
    pub(crate) send_budget: DecayingLevel,
}

/// What a shot does for its task.
#[derive(Clone, Copy, Default, PartialEq)]
pub(crate) enum Phase {
    /// Prefill: a reader reads the prompt and keeps the state.
    #[default]
    Read,
    /// Decode: a writer fetches the state and streams the answer.
    Write,
    /// Both at one host.
    Whole,
}

/// One attempt of a task at one host.
#[derive(Clone, Copy, Default)]
pub(crate) struct Shot {
    pub(crate) host: u32,
    /// The host as it was listed when the shot was sent: its slot may have a new owner before the shot ends.
    pub(crate) listed: ListedHost,
    pub(crate) phase: Phase,
    pub(crate) sent_at: Duration,
    /// Prompt tokens to read, pending until read.
    pub(crate) uncached_tokens: f64,
    /// Tokens of its stream, pending until it ends.
    pub(crate) stream_tokens: f64,
    /// All tokens to be read at the host when it was sent, its own included.
    pub(crate) queue_tokens: f64,
    /// Prompt tokens that the host was believed to have cached.
    pub(crate) estimated_cached_tokens: u32,
    pub(crate) in_flight: bool,
    /// When its answer began.
    pub(crate) started_at: Option<Duration>,
    pub(crate) cancelled: bool,
    /// It ended, and neither completed its read nor delivered the answer.
    pub(crate) failed: bool,
    /// It ended, and may have had its effect: it is not a read, and its outcome does not rule that out.
    pub(crate) may_have_run: bool,
}

/// What a task needs next: a shot, a cancellation, a held state, a timer.
#[derive(Default)]
pub(crate) struct DesiredState {
    /// A shot to send: host, phase, and until when it may run.
    pub(crate) shot: Option<(u32, Phase, Duration)>,
    /// The number of the shot to cancel.
    pub(crate) cancel: Option<usize>,
    /// The task ends: it is rejected with retry advice (true) or aborted (false).
    pub(crate) end_with_bounce: Option<bool>,
    /// A known state is kept, as a writer may still fetch it.
    pub(crate) keep_held: bool,
    /// The time to hold states is over.
    pub(crate) release_due: bool,
    /// When to plan the task again.
    pub(crate) wake_at: Option<Duration>,
}

/// One request of a client, from its order until nothing more is done for it.
#[derive(Default)]
pub(crate) struct Task {
    /// False once nothing more is done for the task; the index may then get a new owner.
    pub(crate) live: bool,
    /// Counts the owners of this index, so that timers of an earlier one are ignored.
    pub(crate) generation: u32,
    pub(crate) order: Order,
    pub(crate) offering: usize,
    /// Hosts at which its shared text is at home, the highest ranked first.
    pub(crate) text_homes: [u32; 8],
    /// The home of its session, if the session is not known here.
    pub(crate) session_home: Option<u32>,
    pub(crate) arrived_at: Duration,
    /// When the first token is due as agreed.
    pub(crate) target_at: Duration,
    /// When the client gives up.
    pub(crate) deadline: Duration,
    /// Estimated length of the answer.
    pub(crate) output_tokens: f64,
    pub(crate) shots: Vec<Shot>,
    /// The first shot that may have run of the lost answer that this task continues.
    pub(crate) prior_shot: Option<Shot>,
    /// Hosts and the tokens of the prompt that they are reported to hold.
    pub(crate) reported_cached: Option<Vec<(u32, u32)>>,
    /// How long the latest shot may stay unanswered before its host is checked for silence.
    pub(crate) silence_limit: Duration,
    /// It has its final answer, or its client has left; shots may still be in flight.
    pub(crate) ended: bool,
    pub(crate) held: HeldState,
    /// Until when the task may wait for a host that may be sent to.
    pub(crate) wait_until: Duration,
    pub(crate) timer_at: Option<Duration>,
    pub(crate) desired: DesiredState,
}

impl Task {
    /// Tokens of the prompt that a host is reported to hold; absent if there was no report for this task.
    pub(crate) fn reported_cached_tokens(&self, h: u32) -> Option<u32> {
        let reported = self.reported_cached.as_ref()?.iter().find(|(host, _)| *host == h);
        Some(reported.map_or(0, |(_, tokens)| *tokens).min(self.order.prompt_tokens))
    }

    /// Whether any host is reported to hold at least half of the shared text.
    pub(crate) fn is_shared_text_reported(&self) -> bool {
        let half = |(_, tokens): &(u32, u32)| 2 * tokens >= self.order.shared_tokens;
        self.reported_cached.as_ref().is_some_and(|reported| reported.iter().any(half))
    }

    /// Whether a host has rejected a shot of this task or failed a read of it, or lost the answer that it
    /// continues.
    pub(crate) fn avoids(&self, h: u32) -> bool {
        let failed = self.shots.iter().filter(|shot| shot.failed && !shot.may_have_run);
        self.prior_shot.iter().chain(failed).any(|shot| shot.host == h)
    }

    /// All shots that may have run, the one of a continued answer first.
    pub(crate) fn shots_that_may_have_run(&self) -> impl Iterator<Item = &Shot> {
        self.prior_shot.iter().chain(&self.shots).filter(|shot| shot.may_have_run)
    }
}

/// The entry of a key, unless its slot has a new owner.
pub(crate) fn find_cached(table: &[CachedText], key: Option<CacheKey>) -> Option<&CachedText> {
    table.get(key?.slot as usize).filter(|cached| Some(cached.generation) == key.map(|key| key.generation))
}

/// Tokens of a text that a host is believed to have cached, if it read them after `since`.
pub(crate) fn cached_tokens_at(
    table: &[CachedText],
    key: Option<CacheKey>,
    h: u32,
    since: Duration,
) -> Option<u32> {
    let cached = find_cached(table, key)?.readers.iter().find(|(reader, _, at)| *reader == h && *at > since);
    cached.map(|(_, tokens, _)| *tokens).filter(|tokens| *tokens > 0)
}

/// The hosts of the highest ranks in falling order, as many as wanted; the rest is filled with `u32::MAX`.
pub(crate) fn top_ranked(wanted: usize, ranked: impl Iterator<Item = (f64, u32)>) -> [u32; 8] {
    let (mut hosts, mut ranks) = ([u32::MAX; 8], [f64::NEG_INFINITY; 8]);
    for (rank, h) in ranked {
        if let Some(position) = (0..wanted.min(8)).find(|i| rank > ranks[*i]) {
            hosts[position..].rotate_right(1);
            ranks[position..].rotate_right(1);
            (hosts[position], ranks[position]) = (h, rank);
        }
    }
    hosts[wanted.min(8)..].fill(u32::MAX);
    hosts
}

/// The host of the highest rank among those with the preferred flag, or among all if none has it.
pub(crate) fn best_ranked(ranked: impl Iterator<Item = (bool, f64, u32)>) -> Option<u32> {
    ranked.max_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))).map(|(.., h)| h)
}

/// The entry of a key, created or cleared if its slot has a new owner.
fn entry_of(table: &mut Vec<CachedText>, key: CacheKey) -> &mut CachedText {
    if table.len() <= key.slot as usize {
        table.resize(key.slot as usize + 1, CachedText::default());
    }
    let cached = &mut table[key.slot as usize];
    if cached.generation != key.generation {
        *cached = CachedText { generation: key.generation, ..CachedText::default() };
    }
    cached
}

/// Counts one more task with the text; returns the decayed count.
pub(crate) fn count_task(
    table: &mut Vec<CachedText>,
    key: CacheKey,
    now: Duration,
    time_constant: f64,
) -> f64 {
    let cached = entry_of(table, key);
    cached.recent_tasks.add(now, time_constant, 1.0);
    cached.recent_tasks.level
}

/// Records that a host has read a text and has it cached, in place of its earlier record or the oldest one.
pub(crate) fn record_cached(
    table: &mut Vec<CachedText>,
    key: Option<CacheKey>,
    h: u32,
    tokens: u32,
    now: Duration,
) {
    let Some(key) = key else { return };
    let cached = entry_of(table, key);
    cached.last_reader = Some(h);
    let same = cached.readers.iter().position(|(reader, tokens, _)| *reader == h && *tokens > 0);
    let oldest = (0..cached.readers.len()).min_by_key(|i| cached.readers[*i].2).unwrap_or(0);
    cached.readers[same.unwrap_or(oldest)] = (h, tokens, now);
}

impl Shot {
    /// In flight, and its answer has not begun.
    pub(crate) fn awaits_answer(&self) -> bool {
        self.in_flight && self.started_at.is_none()
    }
}

impl Host {
    pub(crate) fn is_running(&self) -> bool {
        self.listed.status == HostStatus::Running
    }
}

/// How cold hosts may be loaded, from the configuration.
#[derive(Clone, Copy, Default)]
pub(crate) struct ColdStart {
    pub(crate) warm_up_seconds: f64,
    /// Share of a warm host's work that a host can do at its start.
    pub(crate) cold_from: f64,
    /// Load, as a multiple of what a cold host can do, at which it fails.
    pub(crate) fall_multiple: f64,
    /// Half of the time in which an overload makes a host fail.
    pub(crate) half_fall_seconds: f64,
}

impl ColdStart {
    pub(crate) fn from_config(config: &Config) -> Self {
        ColdStart {
            warm_up_seconds: config.number("rules.warm_up_us").unwrap_or(1e6) / 1e6,
            cold_from: config.number("rules.cold_from").unwrap_or(0.1),
            fall_multiple: config.number("rules.fall_multiple").unwrap_or(1.0),
            half_fall_seconds: config.number("rules.fall_us").unwrap_or(0.0) / 2e6,
        }
    }
}

/// The shares of one cell in all reading and in all writing.
#[derive(Clone, Copy, Default)]
pub(crate) struct CellShares {
    pub(crate) reads: f64,
    pub(crate) writes: f64,
}

/// The decision logic of one dispatcher, with all its state. The decisions are in [`crate::rules`].
#[derive(Default)]
pub struct Rules {
    pub(crate) now: Duration,
    /// When the first event came.
    pub(crate) first_event_at: Option<Duration>,
    /// A note about a host to be emitted with the current event.
    pub(crate) pending_note: Option<(u32, &'static str)>,
    pub(crate) random: Pcg32,
    pub(crate) config: Config,
    pub(crate) offerings: Vec<Offering>,
    /// How many dispatchers share the hosts.
    pub(crate) dispatchers: f64,
    /// Index of the dispatcher's own zone: `zone_index`, whose -1 for no zone becomes 0. `u32::MAX` without
    /// `zone_index`.
    pub(crate) own_zone: u32,
    pub(crate) hosts: Vec<Host>,
    pub(crate) tasks: Vec<Task>,
    /// The cached tokens reported for the next order.
    pub(crate) next_reported_cached: Option<Vec<(u32, u32)>>,
    /// By slot of the session or the shared text.
    pub(crate) session_caches: Vec<CachedText>,
    pub(crate) shared_text_caches: Vec<CachedText>,
    /// Pending tokens for each host, for one pick; kept to reuse its memory.
    pub(crate) pending_counts: Vec<f64>,
    /// By role: shots a second to a warm host, and tasks a second. Updated with each list of hosts, and
    /// before each pick while a host is cold.
    pub(crate) role_rates: [(f64, f64); 4],
    pub(crate) cold_start: ColdStart,
    /// Estimate of the upper quartile of prompt lengths.
    pub(crate) long_prompt_tokens: f64,
    /// Seconds spent on reads over tokens read, by role.
    pub(crate) role_read_times: [DecayingRatio; 4],
    /// Tokens that a reader was sent to read recently, on average; infinite if readers report theirs.
    pub(crate) mean_recent_read_tokens: f64,
    /// Tasks since a prompt was last sent to be read.
    pub(crate) tasks_since_read: u32,
    /// Tasks of the last half minute.
    pub(crate) recent_tasks: DecayingLevel,
    /// Tokens to read that hosts reported recently, by role.
    pub(crate) role_reported_to_read: [DecayingRatio; 4],
    /// Seconds to a first token if the state stays in its cell, and if it leaves it.
    pub(crate) first_token_seconds: [f64; 2],
    /// Prompt tokens that had to be read over all prompt tokens.
    pub(crate) uncached_ratio: DecayingRatio,
    /// Beyond shared texts: tokens that the homes of sessions had cached over all prompt tokens.
    pub(crate) home_hit_ratio: DecayingRatio,
    /// By what factor expected times are raised when compared with the agreed time; rises with each shot that
    /// runs out of time.
    pub(crate) safety_factor: f64,
}

impl Rules {
    /// The current estimate of a host, for comparison with the traffic on its connections.
    pub fn host_estimate(&self, h: u32, now: Duration) -> Option<HostEstimate> {
        let host = self.hosts.get(h as usize).filter(|host| host.is_running() || host.shots_in_flight > 0)?;
        let (suspicion, slowdown) = (host.suspicion_at(now), self.slowdown(h, Phase::Read));
        Some(HostEstimate {
            shots_in_progress: host.shots_in_flight,
            pending_read_tokens: host.pending_read_tokens,
            stream_tokens: host.pending_stream_tokens,
            suspicion,
            slowdown,
        })
    }
}
