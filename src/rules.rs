//! All decisions of tulipstall. `Rules::new` takes the seed and the terms told at start; `Rules::on` takes one
//! event at a time and appends the actions it calls for. Both are plain data: see `src/interface.rs`. Nothing
//! here reads a clock, and equal events give equal actions. Each event changes what a task wants (`plan`);
//! `settle` alone compares that with what is out, held and timed, and emits the difference.

use crate::interface::{Action, Closed, Event, Key, Listed, Load, Order, Outcome, Standing, Terms};
use std::time::Duration;

/// PCG-XSH-RR 64/32 (O'Neill).
struct Chance(u64);

impl Chance {
    fn next(&mut self) -> u32 {
        let old = self.0;
        self.0 = old.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        ((((old >> 18) ^ old) >> 27) as u32).rotate_right((old >> 59) as u32)
    }

    fn below(&mut self, bound: usize) -> usize {
        (u64::from(self.next()) * bound as u64 >> 32) as usize
    }

    fn share(&mut self) -> f64 {
        f64::from(self.next()) / f64::from(u32::MAX)
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Role {
    Reader,
    Writer,
    Mixed,
    Unknown,
}

#[derive(Clone, Copy, PartialEq)]
enum Effect {
    Replayable,
    Referenced,
    SingleUse,
}

#[derive(Clone, Copy, PartialEq)]
enum Group {
    All,
    Zone,
    Cell,
}

struct Offering {
    agreed: Duration,
    agreed_per_token: f64,
    pace: f64,
    gain: f64,
    effect: Effect,
    group: Group,
    window: Duration,
}

/// One customer's own traffic here, against this dispatcher's part of its share.
struct Customer {
    quota: f64,
    tokens: f64,
    seen: Duration,
}

/// What a reader is thought to have kept of a session or a shared text.
#[derive(Clone, Copy, Default)]
struct Kept {
    host: u32,
    tokens: u32,
    at: Duration,
}

#[derive(Clone, Copy, Default)]
struct KeptBy {
    turn: u32,
    last: Option<u32>,
    readers: [Kept; 4],
}

struct Host {
    listed: Listed,
    role: Role,
    memory: f64,
    /// Told to run, and when it is warm at the latest.
    running: bool,
    warm_at: Duration,
    /// Own tokens pending: prompts to read, and streams charged prompt plus output.
    reading: f64,
    writing: f64,
    shots_out: u32,
    /// Last report: when, tokens to read or fetch, share of memory.
    reported: Option<(Duration, Option<f64>, Option<f64>)>,
    suspicion: f64,
    suspected_at: Duration,
    credit: f64,
    /// Seconds a token: to read or to a first token, and between tokens; when last heard.
    reads: Ratio,
    firsts: Ratio,
    pace: Ratio,
    heard: Duration,
    full_until: Duration,
    /// Tokens that notes said were kept, over those thought kept.
    trust: Ratio,
    /// Cold budget in shots, and own shots a second.
    budget: f64,
    budget_at: Duration,
    rate: f64,
    rate_at: Duration,
}

#[derive(Clone, Copy, PartialEq)]
enum Part {
    Read,
    Write,
    Whole,
}

struct Shot {
    host: u32,
    part: Part,
    sent: Duration,
    /// Its tokens: those to read until it is read, those of its stream until it has ended.
    net: f64,
    charge: f64,
    /// Own pending tokens at the host when it went, this shot's included.
    queue: f64,
    cancelled: bool,
    assumed: u32,
    out: bool,
    started: Option<Duration>,
    may_have_run: bool,
    failed: bool,
}

#[derive(Clone, Copy, PartialEq)]
enum Answer {
    Bounce,
    BreakOff,
}

#[derive(Default)]
struct Wanted {
    shot: Option<(u32, Part, Duration)>,
    answer: Option<Answer>,
    cancel: Option<usize>,
    keep: bool,
    wake: Option<Duration>,
}

#[derive(Default)]
struct Task {
    live: bool,
    turn: u32,
    order: Option<Order>,
    offering: usize,
    arrived: Duration,
    due: Duration,
    stop: Duration,
    output: f64,
    rank: f64,
    shots: Vec<Shot>,
    ended: bool,
    held_by: Option<u32>,
    release_by: Duration,
    timer: Option<Duration>,
    patience: Duration,
    want: Wanted,
}

pub struct Rules {
    now: Duration,
    chance: Chance,
    terms: Terms,
    offerings: Vec<Offering>,
    customers: Vec<Customer>,
    hosts: Vec<Option<Host>>,
    tasks: Vec<Task>,
    sessions: Vec<KeptBy>,
    shared: Vec<KeptBy>,
    dispatchers: f64,
    /// The agreed time, in seconds, of the offering that brings the most.
    tightest: f64,
    long_prompt: f64,
    /// Scratch for one pick.
    counts: Vec<f64>,
    orders: f64,
    orders_at: Duration,
    /// Typical seconds to read, and from the shot at a writer to its first token.
    read_time: f64,
    first_time: f64,
}

/// A step's own cost, in tokens, beside those it reads: the smallest chunk an engine works in.
const STEP: f64 = 300.0;

fn blend(old: f64, new: f64, weight: f64) -> f64 {
    if old == 0.0 { new } else { old + weight * (new - old) }
}

/// Seconds spent over work done, both fading by a fifth with each addition: long tasks weigh as they should.
#[derive(Clone, Copy, Default)]
struct Ratio {
    spent: f64,
    done: f64,
}

impl Ratio {
    fn add(&mut self, spent: f64, done: f64) {
        *self = Ratio { spent: self.spent * 0.8 + spent, done: self.done * 0.8 + done };
    }

    fn join(&mut self, other: &Ratio) {
        *self = Ratio { spent: self.spent + other.spent, done: self.done + other.done };
    }

    fn value(&self) -> f64 {
        if self.done > 0.0 { self.spent / self.done } else { 0.0 }
    }

    fn against(&self, others: &Ratio) -> f64 {
        if self.done > 0.0 && others.spent > 0.0 { self.value() / others.value() } else { 1.0 }
    }
}

fn decay(from: Duration, to: Duration, seconds: f64) -> f64 {
    (-to.saturating_sub(from).as_secs_f64() / seconds).exp()
}

impl Rules {
    pub fn new(seed: u64, terms: &Terms) -> Self {
        let customers = (0..terms.entries("customers"))
            .map(|i| {
                let quota = terms.number(&format!("customers.{i}.quota_per_s")).unwrap_or(f64::INFINITY);
                Customer { quota, tokens: 0.0, seen: Duration::ZERO }
            })
            .collect();
        let offerings: Vec<_> =
            (0..terms.entries("offerings").max(1)).map(|i| Self::offering(terms, i)).collect();
        let top = offerings.iter().max_by(|a, b| a.gain.total_cmp(&b.gain));
        let tightest = top.map_or(1.0, |offering| offering.agreed.as_secs_f64());
        let mut chance = Chance(seed ^ 0x9e37_79b9_7f4a_7c15);
        chance.next();
        Rules {
            now: Duration::ZERO,
            chance,
            offerings,
            tightest,
            customers,
            hosts: Vec::new(),
            tasks: Vec::new(),
            sessions: Vec::new(),
            shared: Vec::new(),
            dispatchers: terms.number("dispatchers").unwrap_or(1.0).max(1.0),
            long_prompt: 2000.0,
            counts: Vec::new(),
            orders: 0.0,
            orders_at: Duration::ZERO,
            read_time: 0.0,
            first_time: 0.0,
            terms: terms.clone(),
        }
    }

    fn offering(terms: &Terms, i: usize) -> Offering {
        let name = |field: &str| format!("offerings.{i}.{field}");
        let listed = |list: &str| terms.number(&format!("service.{list}.{i}"));
        Offering {
            agreed: terms.span(&name("agreed_time_us")).unwrap_or(Duration::from_secs(1)),
            agreed_per_token: listed("agreed_time_us_per_1000_prompt_tokens").unwrap_or(0.0) / 1e9,
            pace: listed("token_pace_us").unwrap_or(50_000.0).max(1.0) / 1e6,
            gain: terms.number(&name("gain")).unwrap_or(1.0),
            effect: match terms.text(&name("effect")) {
                Some("replayable") => Effect::Replayable,
                Some("referenced") => Effect::Referenced,
                _ => Effect::SingleUse,
            },
            group: match terms.text(&name("group")) {
                Some("all") => Group::All,
                Some("zone") => Group::Zone,
                _ => Group::Cell,
            },
            window: terms.span(&name("window_us")).unwrap_or(Duration::ZERO),
        }
    }

    pub fn on(&mut self, now: Duration, event: &Event, out: &mut Vec<Action>) {
        self.now = now;
        match event {
            Event::Hosts { whole, listed } => self.hosts_listed(*whole, listed),
            Event::Order(order) => {
                self.take(order);
                self.plan(order.task as usize);
                self.settle(order.task as usize, out);
            }
            Event::Started { task, shot } => self.started(*task as usize, *shot as usize, out),
            Event::Closed(closed) => {
                self.closed(closed);
                self.plan(closed.task as usize);
                self.settle(closed.task as usize, out);
            }
            Event::Timer { token } => {
                let (t, turn) = ((token >> 32) as usize, *token as u32);
                if self.tasks.get(t).is_some_and(|task| task.live && task.turn == turn) {
                    self.tasks[t].timer = None;
                    self.plan(t);
                    self.settle(t, out);
                }
            }
            Event::ClientGone { task } => {
                let t = *task as usize;
                if self.tasks.get(t).is_some_and(|task| task.live) {
                    self.tasks[t].ended = true;
                    self.plan(t);
                    self.settle(t, out);
                }
            }
            Event::Probed { host, answered, load } => {
                if *answered && let Some(load) = load {
                    self.reported(*host, load);
                }
            }
            Event::Place { .. } => {}
            Event::ListFailed => out.push(Action::AskList),
        }
    }

    fn hosts_listed(&mut self, whole: bool, listed: &[Listed]) {
        let now = self.now;
        if whole {
            self.hosts.iter_mut().flatten().for_each(|host| host.running = false);
        }
        let warm_up = self.terms.span("rules.warm_up_us").unwrap_or(Duration::ZERO);
        for line in listed {
            let at = line.host as usize;
            if self.hosts.len() <= at {
                self.hosts.resize_with(at + 1, || None);
            }
            let warm_at = match line.up_for {
                Some(up) if up < warm_up => now + warm_up - up,
                _ => Duration::ZERO,
            };
            let kind = |list: &str| line.kind.map(|kind| format!("service.{list}.{kind}"));
            let role = match kind("role_by_kind").and_then(|name| self.terms.text(&name)) {
                Some("read") => Role::Reader,
                Some("write") => Role::Writer,
                Some("both") => Role::Mixed,
                _ => Role::Unknown,
            };
            let memory = kind("kind_memory_tokens").and_then(|name| self.terms.number(&name));
            let cold = warm_at > now;
            let fresh = Host {
                listed: *line,
                role,
                memory: memory.unwrap_or(f64::INFINITY),
                running: line.standing == Standing::Running,
                warm_at,
                reading: 0.0,
                writing: 0.0,
                shots_out: 0,
                reported: None,
                suspicion: 0.0,
                suspected_at: now,
                // A further shot or two may be needed before a host's first answers are in.
                credit: 2.0,
                reads: Ratio::default(),
                firsts: Ratio::default(),
                pace: Ratio::default(),
                heard: now,
                full_until: now,
                trust: Ratio { spent: if cold { 0.0 } else { 2000.0 }, done: 2000.0 },
                budget: 0.0,
                budget_at: now,
                rate: 0.0,
                rate_at: now,
            };
            match &mut self.hosts[at] {
                // A later start under the same id is a new host; shots still out keep their charge.
                Some(host) if warm_at > host.warm_at => {
                    let (reading, writing, shots_out) = (host.reading, host.writing, host.shots_out);
                    *host = Host { reading, writing, shots_out, ..fresh };
                }
                Some(host) => {
                    host.listed = *line;
                    host.running = fresh.running;
                }
                place => *place = Some(fresh),
            }
        }
    }

    fn host(&self, h: u32) -> Option<&Host> {
        self.hosts.get(h as usize)?.as_ref()
    }

    fn host_mut(&mut self, h: u32) -> Option<&mut Host> {
        self.hosts.get_mut(h as usize)?.as_mut()
    }

    fn take(&mut self, order: &Order) {
        let now = self.now;
        let t = order.task as usize;
        if self.tasks.len() <= t {
            self.tasks.resize_with(t + 1, Task::default);
        }
        let offering = order.offering.map_or(0, |o| o as usize).min(self.offerings.len() - 1);
        let terms = &self.offerings[offering];
        let (agreed, agreed_per_token) = (terms.agreed, terms.agreed_per_token);
        let prompt = f64::from(order.prompt_tokens);
        let output = match order.hint {
            Some(hint) => (hint.as_secs_f64() / terms.pace).min(f64::from(order.most_tokens.max(1))),
            None => f64::from(order.most_tokens) / 2.0,
        };
        let rank = self.rank(order, offering);
        let task = &mut self.tasks[t];
        let shots = std::mem::take(&mut task.shots);
        *task = Task {
            live: true,
            turn: task.turn.wrapping_add(1),
            order: Some(*order),
            offering,
            arrived: now,
            due: now + agreed + Duration::from_secs_f64(agreed_per_token * prompt),
            // Two ticks of the clock inside the client's own time.
            stop: now + order.left.saturating_sub(Duration::from_millis(4)),
            output,
            rank,
            shots,
            ..Task::default()
        };
        task.shots.clear();
        // The ninth decile of prompt lengths, by small steps.
        let step = 0.02 * self.long_prompt;
        self.long_prompt += if prompt > self.long_prompt { 0.9 * step } else { -0.1 * step };
        self.orders = self.orders * decay(self.orders_at, now, 4.0) + 0.25;
        self.orders_at = now;
    }

    fn started(&mut self, t: usize, shot: usize, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(task) = self.tasks.get_mut(t).filter(|task| task.live) else { return };
        task.held_by = None;
        let Some(shot) = task.shots.get_mut(shot) else { return };
        shot.started = Some(now);
        let waited = (now - shot.sent).as_secs_f64();
        let (h, part, queue, net) = (shot.host, shot.part, shot.queue, shot.net);
        if part == Part::Write {
            self.first_time = blend(self.first_time, waited, 0.05);
        }
        if let Some(host) = self.host_mut(h) {
            host.suspicion *= 0.6;
            host.credit = (host.credit + 0.2).min(10.0);
            match part {
                Part::Write => host.firsts.add(waited, 1.0),
                _ => host.reads.add(waited, queue + STEP),
            }
            host.reading -= net;
            host.heard = now;
        }
        self.plan(t);
        self.settle(t, out);
    }

    fn closed(&mut self, closed: &Closed) {
        let now = self.now;
        let t = closed.task as usize;
        let Some(task) = self.tasks.get_mut(t).filter(|task| task.live) else { return };
        task.ended |= closed.finished;
        task.release_by = now + self.terms.span("service.release_us").unwrap_or(Duration::ZERO).mul_f64(0.7);
        let Some(shot) = task.shots.get_mut(closed.shot as usize).filter(|shot| shot.out) else { return };
        shot.out = false;
        shot.may_have_run = shot.part != Part::Read && !closed.outcome.never_ran();
        shot.failed = !matches!(closed.outcome, Outcome::Delivered | Outcome::Read);
        let (h, part, sent, started) = (shot.host, shot.part, shot.sent, shot.started);
        let (net, charge) = (shot.net, shot.charge);
        let (assumed, queue, cancelled) = (shot.assumed, shot.queue, shot.cancelled);
        match closed.outcome {
            Outcome::Read => task.held_by = Some(h),
            Outcome::NoState | Outcome::Delivered => task.held_by = None,
            _ => {}
        }
        let (order, output) = (task.order, task.output);
        let waited = (now - sent).as_secs_f64();
        if let Some(load) = &closed.load {
            self.reported(h, load);
        }
        if closed.outcome == Outcome::Delivered
            && part == Part::Whole
            && let Some(order) = order
        {
            self.note_kept(&order, h);
        }
        if closed.outcome == Outcome::Read {
            self.read_time = blend(self.read_time, waited, 0.05);
            if let Some(order) = order {
                self.note_kept(&order, h);
            }
        }
        let Some(host) = self.host_mut(h) else { return };
        host.shots_out = host.shots_out.saturating_sub(1);
        host.reading -= if started.is_none() { net } else { 0.0 };
        host.writing -= charge;
        if host.shots_out == 0 {
            (host.reading, host.writing) = (0.0, 0.0);
        }
        let blame = match closed.outcome {
            Outcome::Read | Outcome::Delivered => {
                if part == Part::Read {
                    host.reads.add(waited, queue + STEP);
                    // What the note says was kept counts: a host that forgot one text has likely forgotten more.
                    if assumed > 0 {
                        host.trust.add(f64::from(closed.kept_tokens.min(assumed)), f64::from(assumed));
                    }
                } else if let Some(started) = started {
                    host.pace.add((now - started).as_secs_f64(), output.max(1.0));
                }
                host.heard = now;
                host.credit = (host.credit + 0.2).min(10.0);
                0.0
            }
            Outcome::Error => 0.35,
            Outcome::TimedOut => 0.5,
            Outcome::Broken | Outcome::NoConnection => 0.6,
            Outcome::Cancelled if cancelled => 0.5,
            Outcome::Full => {
                // Nothing more until a place may have come free; the tenth of a second is a few answers' time.
                host.full_until = now + Duration::from_millis(100);
                0.0
            }
            Outcome::NoState | Outcome::Cancelled | Outcome::Moot => 0.0,
        };
        if blame > 0.0 {
            host.suspicion = (host.doubt(now) + blame).min(1.0);
            host.suspected_at = now;
        } else if !matches!(closed.outcome, Outcome::Cancelled | Outcome::Moot) {
            host.suspicion = host.doubt(now) * 0.6;
            host.suspected_at = now;
        }
    }

    fn reported(&mut self, h: u32, load: &Load) {
        let (mut tokens, mut memory) = (None, None);
        for i in 0..load.count {
            match self.terms.text(&format!("report.fields.{i}")) {
                Some("x0") => memory = Some(load.values[i]),
                Some("x1") => tokens = Some(load.values[i] * 1000.0),
                _ => {}
            }
        }
        let now = self.now;
        if let Some(host) = self.host_mut(h) {
            host.reported = Some((now, tokens, memory));
        }
    }

    fn note_kept(&mut self, order: &Order, h: u32) {
        let now = self.now;
        for (table, key, tokens) in [
            (&mut self.sessions, order.session, order.prompt_tokens),
            (&mut self.shared, order.shared, order.shared_tokens),
        ] {
            let Some(key) = key else { continue };
            let place = key.place as usize;
            if table.len() <= place {
                table.resize_with(place + 1, KeptBy::default);
            }
            let entry = &mut table[place];
            if entry.turn != key.turn {
                *entry = KeptBy { turn: key.turn, ..KeptBy::default() };
            }
            entry.last = Some(h);
            let found = entry.readers.iter().position(|kept| kept.host == h && kept.tokens > 0);
            let oldest = (0..4).min_by_key(|i| entry.readers[*i].at).unwrap_or(0);
            entry.readers[found.unwrap_or(oldest)] = Kept { host: h, tokens, at: now };
        }
    }

    fn kept(&self, order: &Order, h: u32) -> u32 {
        let of = |table: &[KeptBy], key: Option<Key>, tokens: u32| {
            let Some(key) = key else { return 0 };
            let Some(entry) = table.get(key.place as usize).filter(|e| e.turn == key.turn) else { return 0 };
            // Kept texts give way to newer ones in time: a minute is a session's think time many times over.
            let good = |kept: &&Kept| kept.host == h && self.now - kept.at < Duration::from_secs(60);
            entry.readers.iter().find(good).map_or(0, |kept| kept.tokens.min(tokens))
        };
        let session = of(&self.sessions, order.session, order.prompt_tokens);
        let mut shared = of(&self.shared, order.shared, order.shared_tokens);
        if shared == 0 && order.shared.is_some_and(|key| self.homes(key).contains(&Some(h))) {
            shared = order.shared_tokens;
        }
        session.max(shared)
    }

    /// Prompt tokens left to read: kept ones are deducted as far as the host's notes have borne them out of late.
    fn net(&self, order: &Order, h: u32) -> f64 {
        let trust = self.host(h).map_or(0.0, |host| host.trust.value());
        f64::from(order.prompt_tokens) - f64::from(self.kept(order, h)) * trust
    }

    /// The session's last reader, else the shared text's, else the text's home.
    fn last_reader(&self, order: &Order) -> Option<u32> {
        let of = |table: &[KeptBy], key: Option<Key>| {
            table.get(key?.place as usize).filter(|entry| Some(entry.turn) == key.map(|k| k.turn))?.last
        };
        let last = of(&self.sessions, order.session).or_else(|| of(&self.shared, order.shared));
        last.or_else(|| self.homes(order.shared?)[0])
    }

    /// The two readers where a shared text is at home: ranked by a hash of both, so that dispatchers that cannot
    /// talk bring one text to the same readers, and the readers' memory holds more texts. A text that is not known
    /// to be kept anywhere is thought kept there; the first note on a read corrects that.
    fn homes(&self, key: Key) -> [Option<u32>; 2] {
        let mut homes = [(0, None); 2];
        for (h, host) in self.hosts.iter().enumerate() {
            let Some(host) = host.as_ref().filter(|host| host.role == Role::Reader && host.running) else {
                continue;
            };
            let mut mixed = Chance(key.mark ^ host.listed.mark);
            let rank = (u64::from(mixed.next()) << 32 | u64::from(mixed.next()), Some(h as u32));
            if rank > homes[0] {
                homes = [rank, homes[0]];
            } else if rank > homes[1] {
                homes[1] = rank;
            }
        }
        homes.map(|(_, h)| h)
    }

    /// Whether the effect rules, the list, the cold budget and the operators' credit let this shot go there.
    fn may_send(&mut self, t: usize, h: u32, part: Part) -> bool {
        let now = self.now;
        let task = &self.tasks[t];
        let terms = &self.offerings[task.offering];
        let further = task.shots.iter().any(|shot| shot.failed);
        let Some(host) = self.host(h) else { return false };
        if !host.running || now < host.full_until || (further && host.credit < 1.0) {
            return false;
        }
        if part != Part::Read {
            for shot in
                task.shots.iter().filter(|shot| shot.may_have_run || (shot.out && shot.part != Part::Read))
            {
                let near = self.host(shot.host).is_some_and(|other| match terms.group {
                    Group::All => true,
                    Group::Zone => other.listed.zone == host.listed.zone,
                    Group::Cell => other.listed.cell == host.listed.cell,
                });
                match terms.effect {
                    Effect::Replayable => {}
                    Effect::Referenced if near && now < shot.sent + terms.window => {}
                    _ => return false,
                }
            }
        }
        self.cold_budget(h) >= 1.0
    }

    /// Whether the effect rules bar every further shot, wherever it might go.
    fn barred(&self, t: usize) -> bool {
        let task = &self.tasks[t];
        let terms = &self.offerings[task.offering];
        let mut ran = task.shots.iter().filter(|shot| shot.may_have_run);
        match terms.effect {
            Effect::Replayable => false,
            Effect::Referenced => ran.any(|shot| self.now >= shot.sent + terms.window),
            Effect::SingleUse => ran.next().is_some(),
        }
    }

    /// Shots that a cold host may be sent now. It fills at the part of a warm peer's own traffic that the host
    /// can do for certain, never above one shot, and starts empty: no burst, and what was forgotten at a restart
    /// of this dispatcher cannot be spent twice.
    fn cold_budget(&mut self, h: u32) -> f64 {
        let now = self.now;
        let Some(host) = self.host(h).filter(|host| now < host.warm_at) else { return f64::INFINITY };
        let role = host.role;
        let warm_up = self.terms.span("rules.warm_up_us").unwrap_or(Duration::ZERO);
        let left = (host.warm_at - now).as_secs_f64() / warm_up.as_secs_f64().max(0.001);
        let (mut peers, mut warm, mut rate) = (0.0, 0.0, 0.0);
        for peer in self.hosts.iter().flatten().filter(|peer| peer.role == role && peer.running) {
            peers += 1.0;
            if now >= peer.warm_at {
                warm += 1.0;
                rate += peer.rate * decay(peer.rate_at, now, 4.0);
            }
        }
        let asked = self.orders * decay(self.orders_at, now, 4.0) / f64::max(peers, 1.0);
        let each = if warm > 0.0 { f64::min(rate / warm, asked) } else { asked };
        let cold_from = self.terms.number("rules.cold_from").unwrap_or(0.1);
        let part = cold_from + (1.0 - cold_from) * (1.0 - left).max(0.0).powi(2);
        let Some(host) = self.host_mut(h) else { return 0.0 };
        let passed = now.saturating_sub(host.budget_at).as_secs_f64();
        host.budget = (host.budget + passed * each * part).min(1.0);
        host.budget_at = now;
        host.budget
    }

    /// How many times slower than its peers a host has been of late; 1 where it is within the usual spread.
    fn slow(&self, h: u32) -> f64 {
        let Some(host) = self.host(h) else { return 1.0 };
        let (mut reads, mut firsts, mut pace) = (Ratio::default(), Ratio::default(), Ratio::default());
        for (i, peer) in self.hosts.iter().enumerate() {
            let Some(peer) = peer.as_ref().filter(|peer| peer.role == host.role && peer.running) else {
                continue;
            };
            if i as u32 != h {
                reads.join(&peer.reads);
                firsts.join(&peer.firsts);
                pace.join(&peer.pace);
            }
        }
        let worst =
            host.reads.against(&reads).max(host.firsts.against(&firsts)).max(host.pace.against(&pace));
        // Under 1.6 is the spread of sound hosts; what was seen is let go of in ten seconds, so that it is tried.
        if worst < 1.6 { 1.0 } else { 1.0 + (worst.min(10.0) - 1.0) * decay(host.heard, self.now, 10.0) }
    }

    /// Tokens before a new read: own pending ones or the latest report of tokens to read, whichever is larger; a
    /// host without a late report counts at the average of those that have one.
    fn to_read(&self, h: u32) -> f64 {
        let Some(host) = self.host(h) else { return f64::INFINITY };
        let fresh = |host: &Host| {
            let reported = host.reported.filter(|(at, ..)| self.now - *at < Duration::from_secs(2));
            reported.and_then(|(_, tokens, _)| tokens)
        };
        let reported = fresh(host).unwrap_or_else(|| {
            let peers = self.hosts.iter().flatten().filter(|peer| peer.role == host.role && peer.running);
            let (sum, count) =
                peers.filter_map(fresh).fold((0.0, 0.0), |(s, c), tokens| (s + tokens, c + 1.0));
            sum / f64::max(count, 1.0)
        });
        host.reading.max(reported)
    }

    /// Pending tokens of a host for a task that would add `net`, with suspicion and slowness charged in tokens.
    fn pending(&self, h: u32, part: Part, net: f64) -> f64 {
        let Some(host) = self.host(h) else { return f64::INFINITY };
        let to_read = self.to_read(h);
        let own = if part == Part::Read { to_read } else { host.writing + to_read };
        // Fast failures empty a host; the charge of suspicion, eight long prompts for a certain one, stands in
        // for the work that it lost, and grows with what is out there on trial.
        let doubt = host.doubt(self.now) * 8.0 * self.long_prompt * f64::from(1 + host.shots_out);
        (own + net) * self.slow(h) + doubt
    }

    fn pick_reader(&mut self, t: usize) -> Option<(u32, Part)> {
        let order = self.tasks[t].order?;
        let mut counts = std::mem::take(&mut self.counts);
        counts.clear();
        for h in 0..self.hosts.len() as u32 {
            let reader = self.host(h).is_some_and(|host| host.role == Role::Reader);
            let fit = reader && self.may_send(t, h, Part::Read);
            counts.push(if fit { self.pending(h, Part::Read, self.net(&order, h)) } else { f64::INFINITY });
        }
        let fewest = counts.iter().copied().fold(f64::INFINITY, f64::min);
        // Less than a step apart is alike: chance, so that dispatchers don't follow one another to one reader.
        let alike = |count: &f64| count.is_finite() && *count <= fewest + STEP;
        let which = self.chance.below(counts.iter().filter(|count| alike(count)).count());
        let best = (0..).zip(&counts).filter(|(_, count)| alike(count)).nth(which).map(|(h, _)| h);
        // Only a last reader that may be sent to counts: with none at all, both are without bound.
        let stays = |h: &u32| {
            counts.get(*h as usize).is_some_and(|c| c.is_finite() && *c <= fewest + self.long_prompt)
        };
        let pick = self.last_reader(&order).filter(stays).or(best);
        self.counts = counts;
        pick.map(|h| (h, Part::Read))
    }

    /// The writer or mixed host with the fewest pending tokens; near the reader, where one holds the state.
    fn pick_writer(&mut self, t: usize, part: Part) -> Option<(u32, f64)> {
        let task = &self.tasks[t];
        let order = task.order?;
        let output = task.output;
        let charge = f64::from(order.prompt_tokens) + output;
        let from = task.held_by.and_then(|h| self.host(h)).map(|host| (host.listed.cell, host.listed.zone));
        let writers_read = self.terms.flag("service.writers_read");
        let mut fewest = f64::INFINITY;
        let mut counts = std::mem::take(&mut self.counts);
        counts.clear();
        for h in 0..self.hosts.len() as u32 {
            let fit = self.can_write(h, part, writers_read) && self.may_send(t, h, part);
            let net = if part == Part::Whole { self.net(&order, h) } else { f64::from(order.prompt_tokens) };
            counts.push(if fit { self.pending(h, part, output + net) } else { f64::INFINITY });
            fewest = fewest.min(counts[h as usize]);
        }
        // The small margin is this task's own charge: what one pick can tip.
        let (mut best, mut rank) = (None, (3, 0));
        for h in 0..self.hosts.len() as u32 {
            if !counts[h as usize].is_finite() || counts[h as usize] > fewest + charge {
                continue;
            }
            let near = match (from, self.host(h)) {
                (Some((cell, _)), Some(host)) if host.listed.cell == cell => 0,
                (Some((_, zone)), Some(host)) if host.listed.zone == zone => 1,
                _ => 2,
            };
            let this = (near, self.chance.next());
            if best.is_none() || this < rank {
                (best, rank) = (Some(h), this);
            }
        }
        self.counts = counts;
        best.map(|h| (h, fewest))
    }

    /// Whether a read begun now would end in time for its first token at the agreed time. A host with nothing of
    /// this dispatcher's pending may always be tried, so that an old, bad reading cannot shut it for good.
    fn read_in_time(&self, t: usize, h: u32) -> bool {
        let (now, task) = (self.now, &self.tasks[t]);
        let Some(host) = self.host(h) else { return false };
        let by = task.due.min(task.stop).saturating_sub(now).as_secs_f64();
        // What brings less than the most may wait for less than what brings the most.
        let wait = self.tightest * task.rank;
        let trial = host.reading <= 0.0 && now > host.heard + Duration::from_secs_f64(by / 3.0);
        let in_turn = task.rank >= 1.0 || host.reads.value() * self.to_read(h) < wait;
        trial || (in_turn && self.read_expected(t, h) + self.first_time < by)
    }

    fn read_expected(&self, t: usize, h: u32) -> f64 {
        let (Some(order), Some(host)) = (self.tasks[t].order, self.host(h)) else { return 0.0 };
        let net = self.net(&order, h);
        host.reads.value() * (self.to_read(h) + net + STEP)
    }

    fn can_write(&self, h: u32, part: Part, writers_read: bool) -> bool {
        self.host(h).is_some_and(|host| match host.role {
            Role::Mixed => true,
            Role::Writer => part == Part::Write || writers_read,
            Role::Reader | Role::Unknown => false,
        })
    }

    /// How full the writers are: own streams taken for every dispatcher's, or what they report if that is more.
    fn fill(&self) -> f64 {
        let (mut held, mut memory) = (0.0, 0.0);
        for host in self.hosts.iter().flatten() {
            if !host.running || !matches!(host.role, Role::Writer | Role::Mixed) || !host.memory.is_finite() {
                continue;
            }
            let reported = host.reported.and_then(|(_, _, share)| share).unwrap_or(0.0);
            held += (host.writing * self.dispatchers).max(reported * host.memory);
            memory += host.memory;
        }
        if memory > 0.0 { held / memory } else { 0.0 }
    }

    /// Overload: what the writers have no memory for is bounced before it is read; what is beyond a customer's
    /// share goes first, then what brings less gain.
    fn admit(&self, t: usize) -> bool {
        self.fill() < 0.75 + 0.25 * self.tasks[t].rank
    }

    /// The gain of a task against the most that any brings; beyond its customer's share it brings less.
    fn rank(&mut self, order: &Order, offering: usize) -> f64 {
        let now = self.now;
        let dispatchers = self.dispatchers;
        let mut within = true;
        if let Some(customer) = order.customer.and_then(|c| self.customers.get_mut(c as usize)) {
            let rate = customer.quota / dispatchers;
            if rate.is_finite() {
                // Two seconds' worth may come at once: traffic is not even.
                let passed = now.saturating_sub(customer.seen).as_secs_f64();
                customer.tokens = (customer.tokens + passed * rate).min(2.0 * rate);
                customer.seen = now;
                within = customer.tokens >= 1.0;
                customer.tokens -= if within { 1.0 } else { 0.0 };
            }
        }
        let most = self.offerings.iter().map(|offering| offering.gain).fold(0.0, f64::max);
        let over = if within { 1.0 } else { self.terms.number("over_share_gain").unwrap_or(1.0) };
        over * self.offerings[offering].gain / most.max(0.001)
    }

    fn plan(&mut self, t: usize) {
        let now = self.now;
        let Some(task) = self.tasks.get_mut(t).filter(|task| task.live) else { return };
        task.want = Wanted::default();
        if task.ended {
            return;
        }
        if let Some(i) = task.shots.iter().position(|shot| shot.out) {
            return self.watch(t, i);
        }
        let held = task.held_by;
        let first = task.shots.is_empty();
        let (arrived, due, stop) = (task.arrived, task.due, task.stop);
        let most = self.terms.number("allowed.max_shots").unwrap_or(1.0) as usize;
        let ahead = self.first_time + if held.is_some() { 0.0 } else { self.read_time };
        if task.shots.len() >= most || self.barred(t) || now + Duration::from_secs_f64(ahead * 0.5) >= stop {
            return self.give_up(t);
        }
        if first && !self.admit(t) {
            return self.give_up(t);
        }
        let pick = if held.is_some() {
            self.pick_writer(t, Part::Write).map(|(h, _)| (h, Part::Write))
        } else {
            self.pick_start(t)
        };
        let agreed = (due - arrived).as_secs_f64();
        let expected = match pick {
            Some((h, Part::Read | Part::Whole)) => self.read_expected(t, h),
            _ => self.first_time,
        };
        let task = &mut self.tasks[t];
        match pick {
            Some((h, part)) => {
                // Silence costs a shot, not the task: four times what is expected, or a third of the agreed time.
                let patience = Duration::from_secs_f64((4.0 * expected).max(agreed / 3.0));
                let cancel = self.terms.flag("allowed.cancel");
                let until = if cancel { stop } else { stop.min(now + 2 * patience) };
                task.patience = patience;
                task.want.shot = Some((h, part, until));
                task.want.wake = Some(now + patience).filter(|at| cancel && *at < stop);
                task.want.keep = true;
            }
            None if task.want.answer.is_some() => {}
            None => {
                let wait = Duration::from_millis(10);
                let last = if held.is_some() { task.release_by } else { arrived + (due - arrived) / 2 };
                if now + wait < last.min(stop) {
                    task.want.wake = Some(now + wait);
                    task.want.keep = true;
                } else {
                    self.give_up(t);
                }
            }
        }
    }

    /// A shot is out. Hosts answer first come first: one that has answered others since still works, and waiting
    /// there is no worse than anew elsewhere. One that has been silent since, while its peers spoke, is let go of.
    /// Holds against hung, cut off and dead hosts alike; may hurt where traffic is so thin that nobody speaks.
    fn watch(&mut self, t: usize, i: usize) {
        let now = self.now;
        let stop = self.tasks[t].stop;
        let shot = &self.tasks[t].shots[i];
        let (sent, started, cancelled, h) = (shot.sent, shot.started, shot.cancelled, shot.host);
        let patience = self.tasks[t].patience;
        self.tasks[t].want.keep = true;
        if started.is_some() || cancelled || !self.terms.flag("allowed.cancel") || now < sent + patience {
            return;
        }
        let Some(host) = self.host(h) else { return };
        let role = host.role;
        let peers = |peer: &&Host| peer.role == role && peer.heard > sent;
        if host.heard <= sent && self.hosts.iter().flatten().any(|peer| peers(&peer)) {
            self.tasks[t].want.cancel = Some(i);
        } else if now + patience / 2 < stop {
            self.tasks[t].want.wake = Some(now + patience / 2);
        }
    }

    /// A reader, or a mixed host for its share of tasks whole: when it has the fewest pending tokens of all.
    fn pick_start(&mut self, t: usize) -> Option<(u32, Part)> {
        let reader = self.pick_reader(t);
        let whole = self.pick_writer(t, Part::Whole);
        let writer =
            if reader.is_some() && whole.is_some() { self.pick_writer(t, Part::Write) } else { None };
        let first = self.tasks[t].shots.is_empty();
        let late = |h: u32| first && !self.read_in_time(t, h);
        let reader = reader.filter(|(h, _)| !late(*h)).ok_or(reader.is_some());
        let whole = whole.filter(|(h, _)| !late(*h)).ok_or(whole.is_some());
        match (reader, whole, writer) {
            (Ok(_), Ok((h, count)), Some((_, fewest))) if count <= fewest => Some((h, Part::Whole)),
            (Ok(reader), _, _) => Some(reader),
            // No reader, or none in time: a mixed host reads it too.
            (Err(_), Ok((h, _)), _) => Some((h, Part::Whole)),
            (Err(false), Err(false), _) => None,
            (Err(_), Err(_), _) => {
                self.give_up(t);
                None
            }
        }
    }

    /// The answer goes at once. A bounce says that a repeat is harmless: only where the effect rules agree.
    fn give_up(&mut self, t: usize) {
        let task = &mut self.tasks[t];
        let terms = &self.offerings[task.offering];
        let ran = task.shots.iter().any(|shot| shot.may_have_run);
        let harmless = match terms.effect {
            Effect::Replayable => true,
            Effect::Referenced => !ran || terms.group == Group::All,
            Effect::SingleUse => !ran,
        };
        task.want.answer = Some(if harmless { Answer::Bounce } else { Answer::BreakOff });
    }

    /// Emits the difference between what the task wants and what is out, held and timed.
    fn settle(&mut self, t: usize, out: &mut Vec<Action>) {
        let now = self.now;
        let come_back = self.terms.flag("allowed.come_back").then(|| {
            let most = self.terms.span("allowed.max_come_back_us").unwrap_or(Duration::from_secs(1));
            most.mul_f64(0.5 + 0.5 * self.chance.share())
        });
        let Some(task) = self.tasks.get_mut(t).filter(|task| task.live) else { return };
        let number = t as u32;
        if let Some(answer) = task.want.answer.take() {
            task.ended = true;
            out.push(match answer {
                Answer::Bounce => Action::Bounce { task: number, come_back },
                Answer::BreakOff => Action::BreakOff { task: number },
            });
        }
        if let Some(i) = task.want.cancel {
            task.shots[i].cancelled = true;
            out.push(Action::Cancel { task: number, shot: i as u32 });
        }
        let any_out = task.shots.iter().any(|shot| shot.out);
        if task.held_by.is_some() && !task.want.keep && !any_out {
            task.held_by = None;
            out.push(Action::Release { task: number });
        }
        if let Some(at) = task.want.wake.filter(|at| task.timer != Some(*at)) {
            task.timer = Some(at);
            out.push(Action::Timer { at, token: (t as u64) << 32 | u64::from(task.turn) });
        }
        if task.ended && !any_out {
            task.live = false;
            out.push(Action::Forget { task: number });
            return;
        }
        let Some((h, part, until)) = task.want.shot.take() else { return };
        let Some(order) = task.order else { return };
        let output = task.output;
        let prompt = f64::from(order.prompt_tokens);
        let assumed = if part == Part::Write { 0 } else { self.kept(&order, h) };
        let net = if part == Part::Write { 0.0 } else { self.net(&order, h) };
        let charge = if part == Part::Read { 0.0 } else { prompt + output };
        let queue = self.to_read(h) + net;
        self.tasks[t].shots.push(Shot {
            host: h,
            part,
            sent: now,
            net,
            charge,
            queue,
            cancelled: false,
            assumed,
            out: true,
            started: None,
            may_have_run: false,
            failed: false,
        });
        if let Some(host) = self.host_mut(h) {
            host.shots_out += 1;
            host.reading += net;
            host.writing += charge;
            host.rate = host.rate * decay(host.rate_at, now, 4.0) + 0.25;
            host.rate_at = now;
            host.budget -= 1.0;
            // The ordinary step after a read is no further shot; one after a failure spends credit.
        }
        if self.tasks[t].shots.iter().any(|shot| shot.failed)
            && let Some(host) = self.host_mut(h)
        {
            host.credit -= 1.0;
        }
        out.push(Action::Send { task: number, host: h, until });
    }
}

impl Host {
    /// Suspicion halves in some three seconds, so that a host is tried again by and by.
    fn doubt(&self, now: Duration) -> f64 {
        self.suspicion * decay(self.suspected_at, now, 4.0)
    }
}
