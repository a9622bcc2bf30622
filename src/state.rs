//! The state that the rules keep, and the plain helpers on it: no decision, no tuned value.

use crate::interface::{Belief, Key, Listed, Order, Standing, Terms};
use crate::release::Held;
use std::time::Duration;

/// PCG-XSH-RR 64/32 (O'Neill).
#[derive(Default)]
pub(crate) struct Chance(pub(crate) u64);

impl Chance {
    pub(crate) fn next(&mut self) -> u32 {
        let old = self.0;
        self.0 = old.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        ((((old >> 18) ^ old) >> 27) as u32).rotate_right((old >> 59) as u32)
    }

    /// One step on: a start that differs from another in few bits gives as different numbers.
    pub(crate) fn mixed(mut self) -> Self {
        self.next();
        self
    }

    /// Above 0, up to 1.
    pub(crate) fn part(&mut self) -> f64 {
        (f64::from(self.next()) + 1.0) / 4_294_967_296.0
    }
}

/// A level that fades with time, by a factor of e each span of seconds.
#[derive(Clone, Copy, Default)]
pub(crate) struct Fading {
    pub(crate) level: f64,
    pub(crate) at: Duration,
}

impl Fading {
    pub(crate) fn left(&self, now: Duration, seconds: f64) -> f64 {
        self.level * (-now.saturating_sub(self.at).as_secs_f64() / seconds).exp()
    }

    pub(crate) fn add(&mut self, now: Duration, seconds: f64, more: f64) {
        *self = Fading { level: self.left(now, seconds) + more, at: now };
    }

    pub(crate) fn set(&mut self, now: Duration, level: f64) {
        *self = Fading { level, at: now };
    }
}

/// Something spent over something done, both fading with each addition: long tasks weigh as they should.
#[derive(Clone, Copy, Default)]
pub(crate) struct Ratio {
    pub(crate) spent: f64,
    pub(crate) done: f64,
}

impl Ratio {
    pub(crate) fn add(&mut self, spent: f64, done: f64, keep: f64) {
        *self = Ratio { spent: self.spent * keep + spent, done: self.done * keep + done };
    }

    pub(crate) fn value(&self) -> f64 {
        if self.done > 0.0 { self.spent / self.done } else { 0.0 }
    }
}

pub(crate) struct Offering {
    pub(crate) agreed: f64,
    pub(crate) agreed_per_token: f64,
    pub(crate) pace: f64,
    pub(crate) gain: f64,
    /// Up to 1, for what comes first where not all can be done.
    pub(crate) rank: f64,
    /// Anything but replayable or referenced is taken for single-use.
    pub(crate) effect: String,
    pub(crate) group: String,
    pub(crate) window: Duration,
}

/// What readers are thought to have kept of a session or a shared text, and which read it last.
#[derive(Clone, Copy, Default)]
pub(crate) struct Kept {
    pub(crate) turn: u32,
    pub(crate) last: Option<u32>,
    /// Reader, tokens, when.
    pub(crate) by: [(u32, u32, Duration); 4],
    /// Tasks seen with it of late.
    pub(crate) demand: Fading,
}

#[derive(Clone, Copy, Default)]
pub(crate) struct Host {
    pub(crate) listed: Listed,
    /// When it is warm at the latest; zero for one that was warm when first heard of.
    pub(crate) warm_at: Duration,
    /// Own tokens pending: prompts to read, and streams charged with prompt plus output.
    pub(crate) reading: f64,
    pub(crate) writing: f64,
    pub(crate) shots_out: u32,
    /// Last report of tokens to read or fetch, and of the share of memory held.
    pub(crate) to_read: Option<(Duration, f64)>,
    pub(crate) memory_held: f64,
    pub(crate) suspicion: Fading,
    pub(crate) suspected: bool,
    pub(crate) credit: f64,
    /// Seconds for each token to read; kept tokens found over those thought so.
    pub(crate) reads: Ratio,
    /// Tokens sent here to be read of late.
    pub(crate) asked: Fading,
    pub(crate) trust: Ratio,
    pub(crate) heard: Duration,
    /// When the latest shot went that it has answered.
    pub(crate) overtook: Duration,
    /// Of its cell: the part of its reads that has to leave it, and what each writer of it can take beyond.
    pub(crate) leaves: f64,
    pub(crate) spare: f64,
    /// Its part of the tasks as a home of texts, against a reader's.
    pub(crate) part: f64,
    /// Shots of the last half minute that it read or began to answer, and the cold budget left.
    pub(crate) rate: Fading,
    pub(crate) budget: Fading,
}

#[derive(Clone, Copy, Default, PartialEq)]
pub(crate) enum Part {
    #[default]
    Read,
    Write,
    Whole,
}

#[derive(Clone, Copy, Default)]
pub(crate) struct Shot {
    pub(crate) host: u32,
    /// The host that it went to as it was listed then: its place may have a new owner by its end.
    pub(crate) at: Listed,
    pub(crate) part: Part,
    pub(crate) sent: Duration,
    /// Tokens to read, until read; tokens of the stream, until it ends; and all that were to be read before
    /// it.
    pub(crate) net: f64,
    pub(crate) charge: f64,
    pub(crate) queue: f64,
    pub(crate) thought_kept: u32,
    pub(crate) out: bool,
    pub(crate) started: Option<Duration>,
    pub(crate) cancelled: bool,
    pub(crate) failed: bool,
    pub(crate) may_have_run: bool,
}

/// What should be out, held and timed for a task; and its answer (true: bounce, false: break-off).
#[derive(Default)]
pub(crate) struct Wanted {
    pub(crate) shot: Option<(u32, Part, Duration)>,
    pub(crate) cancel: Option<usize>,
    pub(crate) answer: Option<bool>,
    pub(crate) keep: bool,
    pub(crate) release: bool,
    pub(crate) wake: Option<Duration>,
}

#[derive(Default)]
pub(crate) struct Task {
    pub(crate) live: bool,
    pub(crate) turn: u32,
    pub(crate) order: Order,
    pub(crate) offering: usize,
    /// Readers where its shared text is at home, the highest ranked first.
    pub(crate) homes: [u32; 8],
    /// Where its session is at home, where it is not known here.
    pub(crate) home: Option<u32>,
    pub(crate) arrived: Duration,
    pub(crate) due: Duration,
    pub(crate) stop: Duration,
    pub(crate) output: f64,
    pub(crate) shots: Vec<Shot>,
    /// Of what this task goes on with: the first that may have run.
    pub(crate) earlier: Option<Shot>,
    /// Hosts and the tokens of the prompt that they are told to hold.
    pub(crate) told: Option<Vec<(u32, u32)>>,
    pub(crate) patience: Duration,
    pub(crate) ended: bool,
    pub(crate) held: Held,
    /// How long it may wait for a start.
    pub(crate) wait_until: Duration,
    pub(crate) timer: Option<Duration>,
    pub(crate) want: Wanted,
}

impl Task {
    /// Tokens that a host is told to hold of the prompt; absent where nothing was told.
    pub(crate) fn told(&self, h: u32) -> Option<u32> {
        let told = self.told.as_ref()?.iter().find(|(host, _)| *host == h);
        Some(told.map_or(0, |(_, tokens)| *tokens).min(self.order.prompt_tokens))
    }

    /// Whether any host is told to hold half of the shared text or more.
    pub(crate) fn known(&self) -> bool {
        let half = |(_, tokens): &(u32, u32)| 2 * tokens >= self.order.shared_tokens;
        self.told.as_ref().is_some_and(|told| told.iter().any(half))
    }

    /// Whether a host has turned a shot of it away or failed a read, or the answer that it goes on with was there.
    pub(crate) fn leaves(&self, h: u32) -> bool {
        let failed = self.shots.iter().filter(|shot| shot.failed && !shot.may_have_run);
        self.earlier.iter().chain(failed).any(|shot| shot.host == h)
    }

    /// All shots that may have run, the earlier one first.
    pub(crate) fn ran(&self) -> impl Iterator<Item = &Shot> {
        self.earlier.iter().chain(&self.shots).filter(|shot| shot.may_have_run)
    }
}

pub(crate) fn find_kept(table: &[Kept], key: Option<Key>) -> Option<&Kept> {
    table.get(key?.place as usize).filter(|kept| Some(kept.turn) == key.map(|key| key.turn))
}

/// Tokens of a text that a host is thought to have kept since then.
pub(crate) fn kept_by(table: &[Kept], key: Option<Key>, h: u32, since: Duration) -> Option<u32> {
    let kept = find_kept(table, key)?.by.iter().find(|(by, _, at)| *by == h && *at > since);
    kept.map(|(_, tokens, _)| *tokens).filter(|tokens| *tokens > 0)
}

/// The hosts of the highest ranks, the highest first, as many as wanted; the rest is filled up with no host.
pub(crate) fn highest(wanted: usize, ranked: impl Iterator<Item = (f64, u32)>) -> [u32; 8] {
    let (mut hosts, mut ranks) = ([u32::MAX; 8], [f64::NEG_INFINITY; 8]);
    for (rank, h) in ranked {
        if let Some(place) = (0..wanted.min(8)).find(|i| rank > ranks[*i]) {
            hosts[place..].rotate_right(1);
            ranks[place..].rotate_right(1);
            (hosts[place], ranks[place]) = (h, rank);
        }
    }
    hosts[wanted.min(8)..].fill(u32::MAX);
    hosts
}

/// The host that comes first: of those in the preferred set, if any, the one of the highest rank.
pub(crate) fn highest_of(ranked: impl Iterator<Item = (bool, f64, u32)>) -> Option<u32> {
    ranked.max_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))).map(|(.., h)| h)
}

fn place_of(table: &mut Vec<Kept>, key: Key) -> &mut Kept {
    if table.len() <= key.place as usize {
        table.resize(key.place as usize + 1, Kept::default());
    }
    let kept = &mut table[key.place as usize];
    if kept.turn != key.turn {
        *kept = Kept { turn: key.turn, ..Kept::default() };
    }
    kept
}

/// Counts one more task with the text; gives the count, faded over so many seconds.
pub(crate) fn note_demand(table: &mut Vec<Kept>, key: Key, now: Duration, seconds: f64) -> f64 {
    let kept = place_of(table, key);
    kept.demand.add(now, seconds, 1.0);
    kept.demand.level
}

pub(crate) fn note_kept(table: &mut Vec<Kept>, key: Option<Key>, h: u32, tokens: u32, now: Duration) {
    let Some(key) = key else { return };
    let kept = place_of(table, key);
    kept.last = Some(h);
    let same = kept.by.iter().position(|(by, tokens, _)| *by == h && *tokens > 0);
    let oldest = (0..kept.by.len()).min_by_key(|i| kept.by[*i].2).unwrap_or(0);
    kept.by[same.unwrap_or(oldest)] = (h, tokens, now);
}

impl Shot {
    /// Out, and not begun to be answered.
    pub(crate) fn waits(&self) -> bool {
        self.out && self.started.is_none()
    }
}

impl Host {
    pub(crate) fn runs(&self) -> bool {
        self.listed.standing == Standing::Running
    }
}

/// All that one dispatcher knows; what it does with it is in [`crate::rules`].
#[derive(Default)]
pub struct Rules {
    pub(crate) now: Duration,
    pub(crate) begun: Option<Duration>,
    pub(crate) note: Option<(u32, &'static str)>,
    pub(crate) chance: Chance,
    pub(crate) terms: Terms,
    pub(crate) offerings: Vec<Offering>,
    pub(crate) dispatchers: f64,
    pub(crate) zone: u32,
    pub(crate) hosts: Vec<Host>,
    pub(crate) tasks: Vec<Task>,
    /// What was told for the next order.
    pub(crate) told_kept: Option<Vec<(u32, u32)>>,
    pub(crate) sessions: Vec<Kept>,
    pub(crate) shared: Vec<Kept>,
    /// Scratch for one pick.
    pub(crate) counts: Vec<f64>,
    /// By role, from when a list came or a host was cold last.
    pub(crate) paces: [(f64, f64); 4],
    pub(crate) long_prompt: f64,
    /// Seconds for each token to read, by role.
    pub(crate) speeds: [Ratio; 4],
    /// Tokens that a reader was asked to read of late, on average; without bound where readers report.
    pub(crate) asked: f64,
    /// Tasks since a prompt was last sent to be read.
    pub(crate) unread: u32,
    /// Tasks of the last half minute.
    pub(crate) demand: Fading,
    /// Tokens to read that hosts reported of late, by role.
    pub(crate) told: [Ratio; 4],
    /// Seconds to a first token where the state stays in its cell, and where it leaves it.
    pub(crate) first_time: [f64; 2],
    /// Prompt tokens that were read anew over all prompt tokens; beyond shared texts, those that homes of sessions had
    /// kept.
    pub(crate) anew: Ratio,
    pub(crate) homed: Ratio,
    /// How much sooner than agreed a task should seem to come, by how many shots ran out of time.
    pub(crate) caution: f64,
}

impl Rules {
    /// What is thought of a host now, for whoever compares that with what passes on the sockets.
    pub fn belief(&self, h: u32, now: Duration) -> Option<Belief> {
        let host = self.hosts.get(h as usize).filter(|host| host.runs() || host.shots_out > 0)?;
        let (doubt, slow) = (host.doubt(now), self.slow(h, Part::Read));
        Some(Belief { shots: host.shots_out, reading: host.reading, writing: host.writing, doubt, slow })
    }
}
