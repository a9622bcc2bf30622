//! The state that the rules keep, and the plain helpers on it: no decision, no tuned value.

use crate::interface::{Belief, Key, Listed, Order, Standing, Terms};
use crate::release::Held;
use std::time::Duration;

/// PCG-XSH-RR 64/32 (O'Neill).
#[derive(Default)]
pub(crate) struct Pcg32(pub(crate) u64);

impl Pcg32 {
    pub(crate) fn next_u32(&mut self) -> u32 {
        let old = self.0;
        self.0 = old.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        ((((old >> 18) ^ old) >> 27) as u32).rotate_right((old >> 59) as u32)
    }

    /// One step on: a start that differs from another in few bits gives as different numbers.
    pub(crate) fn advanced(mut self) -> Self {
        self.next_u32();
        self
    }

    /// Above 0, up to 1.
    pub(crate) fn next_unit(&mut self) -> f64 {
        (f64::from(self.next_u32()) + 1.0) / 4_294_967_296.0
    }
}

/// A level that fades with time, by a factor of e each span of seconds.
#[derive(Clone, Copy, Default)]
pub(crate) struct DecayingLevel {
    pub(crate) level: f64,
    pub(crate) updated_at: Duration,
}

impl DecayingLevel {
    pub(crate) fn decayed(&self, now: Duration, time_constant: f64) -> f64 {
        self.level * (-now.saturating_sub(self.updated_at).as_secs_f64() / time_constant).exp()
    }

    pub(crate) fn add(&mut self, now: Duration, time_constant: f64, amount: f64) {
        *self = DecayingLevel { level: self.decayed(now, time_constant) + amount, updated_at: now };
    }

    pub(crate) fn set(&mut self, now: Duration, level: f64) {
        *self = DecayingLevel { level, updated_at: now };
    }
}

/// Something spent over something done, both fading with each addition: long tasks weigh as they should.
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

pub(crate) struct Offering {
    pub(crate) agreed_seconds: f64,
    pub(crate) agreed_seconds_per_token: f64,
    pub(crate) output_seconds_per_token: f64,
    pub(crate) gain: f64,
    /// Up to 1, for what comes first where not all can be done.
    pub(crate) relative_gain: f64,
    /// Anything but replayable or referenced is taken for single-use.
    pub(crate) effect: String,
    pub(crate) group: String,
    pub(crate) repeat_window: Duration,
}

/// What readers are thought to have kept of a session or a shared text, and which read it last.
#[derive(Clone, Copy, Default)]
pub(crate) struct CachedText {
    pub(crate) generation: u32,
    pub(crate) last_reader: Option<u32>,
    /// Reader, tokens, when.
    pub(crate) readers: [(u32, u32, Duration); 4],
    /// Tasks seen with it of late.
    pub(crate) recent_tasks: DecayingLevel,
}

#[derive(Clone, Copy, Default)]
pub(crate) struct Host {
    pub(crate) listed: Listed,
    /// When it is warm at the latest; zero for one that was warm when first heard of.
    pub(crate) warm_at: Duration,
    /// Own tokens pending: prompts to read, and streams charged with prompt plus output.
    pub(crate) pending_read_tokens: f64,
    pub(crate) pending_stream_tokens: f64,
    pub(crate) shots_in_flight: u32,
    /// Last report of tokens to read or fetch, and of the share of memory held.
    pub(crate) reported_to_read: Option<(Duration, f64)>,
    pub(crate) reported_memory_share: f64,
    pub(crate) suspicion: DecayingLevel,
    pub(crate) suspected: bool,
    pub(crate) retry_credit: f64,
    /// Seconds for each token to read; kept tokens found over those thought so.
    pub(crate) read_times: DecayingRatio,
    /// Tokens sent here to be read of late.
    pub(crate) recent_read_tokens: DecayingLevel,
    pub(crate) cache_hit_ratio: DecayingRatio,
    pub(crate) last_answer_at: Duration,
    /// When the latest shot went that it has answered.
    pub(crate) latest_answered_sent_at: Duration,
    /// Of its cell: the part of its reads that has to leave it, and what each writer of it can take beyond.
    pub(crate) remote_fetch_share: f64,
    pub(crate) spare_writer_share: f64,
    /// Its part of the tasks as a home of texts, against a reader's.
    pub(crate) home_weight: f64,
    /// Shots of the last half minute that it read or began to answer, and the cold budget left.
    pub(crate) recent_starts: DecayingLevel,
    pub(crate) send_budget: DecayingLevel,
}

#[derive(Clone, Copy, Default, PartialEq)]
pub(crate) enum Phase {
    #[default]
    Read,
    Write,
    Whole,
}

#[derive(Clone, Copy, Default)]
pub(crate) struct Shot {
    pub(crate) host: u32,
    /// The host that it went to as it was listed then: its place may have a new owner by its end.
    pub(crate) listed: Listed,
    pub(crate) phase: Phase,
    pub(crate) sent_at: Duration,
    /// Tokens to read, until read; tokens of the stream, until it ends; and all that were to be read before
    /// it.
    pub(crate) uncached_tokens: f64,
    pub(crate) stream_tokens: f64,
    pub(crate) queue_tokens: f64,
    pub(crate) estimated_cached_tokens: u32,
    pub(crate) in_flight: bool,
    pub(crate) started_at: Option<Duration>,
    pub(crate) cancelled: bool,
    pub(crate) failed: bool,
    pub(crate) may_have_run: bool,
}

/// What should be out, held and timed for a task; and its answer (true: bounce, false: break-off).
#[derive(Default)]
pub(crate) struct DesiredState {
    pub(crate) shot: Option<(u32, Phase, Duration)>,
    pub(crate) cancel: Option<usize>,
    pub(crate) end_with_bounce: Option<bool>,
    pub(crate) keep_held: bool,
    pub(crate) release_due: bool,
    pub(crate) wake_at: Option<Duration>,
}

#[derive(Default)]
pub(crate) struct Task {
    pub(crate) live: bool,
    pub(crate) generation: u32,
    pub(crate) order: Order,
    pub(crate) offering: usize,
    /// Readers where its shared text is at home, the highest ranked first.
    pub(crate) text_homes: [u32; 8],
    /// Where its session is at home, where it is not known here.
    pub(crate) session_home: Option<u32>,
    pub(crate) arrived_at: Duration,
    pub(crate) target_at: Duration,
    pub(crate) deadline: Duration,
    pub(crate) output_tokens: f64,
    pub(crate) shots: Vec<Shot>,
    /// Of what this task goes on with: the first that may have run.
    pub(crate) prior_shot: Option<Shot>,
    /// Hosts and the tokens of the prompt that they are told to hold.
    pub(crate) reported_cached: Option<Vec<(u32, u32)>>,
    pub(crate) silence_limit: Duration,
    pub(crate) ended: bool,
    pub(crate) held: Held,
    /// How long it may wait for a start.
    pub(crate) wait_until: Duration,
    pub(crate) timer_at: Option<Duration>,
    pub(crate) desired: DesiredState,
}

impl Task {
    /// Tokens that a host is told to hold of the prompt; absent where nothing was told.
    pub(crate) fn reported_cached_tokens(&self, h: u32) -> Option<u32> {
        let reported = self.reported_cached.as_ref()?.iter().find(|(host, _)| *host == h);
        Some(reported.map_or(0, |(_, tokens)| *tokens).min(self.order.prompt_tokens))
    }

    /// Whether any host is told to hold half of the shared text or more.
    pub(crate) fn is_shared_text_reported(&self) -> bool {
        let half = |(_, tokens): &(u32, u32)| 2 * tokens >= self.order.shared_tokens;
        self.reported_cached.as_ref().is_some_and(|reported| reported.iter().any(half))
    }

    /// Whether a host has turned a shot of it away or failed a read, or the answer that it goes on with was there.
    pub(crate) fn avoids(&self, h: u32) -> bool {
        let failed = self.shots.iter().filter(|shot| shot.failed && !shot.may_have_run);
        self.prior_shot.iter().chain(failed).any(|shot| shot.host == h)
    }

    /// All shots that may have run, the earlier one first.
    pub(crate) fn shots_that_may_have_run(&self) -> impl Iterator<Item = &Shot> {
        self.prior_shot.iter().chain(&self.shots).filter(|shot| shot.may_have_run)
    }
}

pub(crate) fn find_cached(table: &[CachedText], key: Option<Key>) -> Option<&CachedText> {
    table.get(key?.place as usize).filter(|cached| Some(cached.generation) == key.map(|key| key.turn))
}

/// Tokens of a text that a host is thought to have kept since then.
pub(crate) fn cached_tokens_at(
    table: &[CachedText],
    key: Option<Key>,
    h: u32,
    since: Duration,
) -> Option<u32> {
    let cached = find_cached(table, key)?.readers.iter().find(|(reader, _, at)| *reader == h && *at > since);
    cached.map(|(_, tokens, _)| *tokens).filter(|tokens| *tokens > 0)
}

/// The hosts of the highest ranks, the highest first, as many as wanted; the rest is filled up with no host.
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

/// The host that comes first: of those in the preferred set, if any, the one of the highest rank.
pub(crate) fn best_ranked(ranked: impl Iterator<Item = (bool, f64, u32)>) -> Option<u32> {
    ranked.max_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))).map(|(.., h)| h)
}

fn entry_of(table: &mut Vec<CachedText>, key: Key) -> &mut CachedText {
    if table.len() <= key.place as usize {
        table.resize(key.place as usize + 1, CachedText::default());
    }
    let cached = &mut table[key.place as usize];
    if cached.generation != key.turn {
        *cached = CachedText { generation: key.turn, ..CachedText::default() };
    }
    cached
}

/// Counts one more task with the text; gives the count, faded over so many seconds.
pub(crate) fn count_task(table: &mut Vec<CachedText>, key: Key, now: Duration, time_constant: f64) -> f64 {
    let cached = entry_of(table, key);
    cached.recent_tasks.add(now, time_constant, 1.0);
    cached.recent_tasks.level
}

pub(crate) fn record_cached(
    table: &mut Vec<CachedText>,
    key: Option<Key>,
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
    /// Out, and not begun to be answered.
    pub(crate) fn awaits_answer(&self) -> bool {
        self.in_flight && self.started_at.is_none()
    }
}

impl Host {
    pub(crate) fn is_running(&self) -> bool {
        self.listed.standing == Standing::Running
    }
}

/// All that one dispatcher knows; what it does with it is in [`crate::rules`].
#[derive(Default)]
pub struct Rules {
    pub(crate) now: Duration,
    pub(crate) first_event_at: Option<Duration>,
    pub(crate) pending_note: Option<(u32, &'static str)>,
    pub(crate) random: Pcg32,
    pub(crate) terms: Terms,
    pub(crate) offerings: Vec<Offering>,
    pub(crate) dispatchers: f64,
    pub(crate) own_zone: u32,
    pub(crate) hosts: Vec<Host>,
    pub(crate) tasks: Vec<Task>,
    /// What was told for the next order.
    pub(crate) next_reported_cached: Option<Vec<(u32, u32)>>,
    pub(crate) session_caches: Vec<CachedText>,
    pub(crate) shared_text_caches: Vec<CachedText>,
    /// Scratch for one pick.
    pub(crate) pending_counts: Vec<f64>,
    /// By role, from when a list came or a host was cold last.
    pub(crate) role_rates: [(f64, f64); 4],
    pub(crate) long_prompt_tokens: f64,
    /// Seconds for each token to read, by role.
    pub(crate) role_read_times: [DecayingRatio; 4],
    /// Tokens that a reader was asked to read of late, on average; without bound where readers report.
    pub(crate) mean_recent_read_tokens: f64,
    /// Tasks since a prompt was last sent to be read.
    pub(crate) tasks_since_read: u32,
    /// Tasks of the last half minute.
    pub(crate) recent_tasks: DecayingLevel,
    /// Tokens to read that hosts reported of late, by role.
    pub(crate) role_reported_to_read: [DecayingRatio; 4],
    /// Seconds to a first token where the state stays in its cell, and where it leaves it.
    pub(crate) first_token_seconds: [f64; 2],
    /// Prompt tokens that were read anew over all prompt tokens; beyond shared texts, those that homes of sessions had
    /// kept.
    pub(crate) uncached_ratio: DecayingRatio,
    pub(crate) home_hit_ratio: DecayingRatio,
    /// How much sooner than agreed a task should seem to come, by how many shots ran out of time.
    pub(crate) safety_factor: f64,
}

impl Rules {
    /// What is thought of a host now, for whoever compares that with what passes on the sockets.
    pub fn belief(&self, h: u32, now: Duration) -> Option<Belief> {
        let host = self.hosts.get(h as usize).filter(|host| host.is_running() || host.shots_in_flight > 0)?;
        let (doubt, slow) = (host.suspicion_at(now), self.slowdown(h, Phase::Read));
        Some(Belief {
            shots: host.shots_in_flight,
            reading: host.pending_read_tokens,
            writing: host.pending_stream_tokens,
            doubt,
            slow,
        })
    }
}
