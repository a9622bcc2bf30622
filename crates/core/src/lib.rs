//! A task's life between what happens to it and what the decisions ask for. Inputs with a time go in, outputs
//! come out: no socket, no clock, no chance. The dispatcher drives it by sockets; whatever else drives it gets
//! the same answers. What to do is decided by [`tulipstall::Rules`] alone; here it is carried to its shots.

mod record;

pub use record::{Lines, Recorder, Replay, replay};

use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;
use tulipstall::Rules;
use tulipstall::door::NameRegistry;
use tulipstall::interface::{
    Action, Belief, Closed, Event, Listed, Load, Order, Outcome, Ran, ReleaseReason, Role, Standing, Term,
    Terms,
};
use tulipstall_prefix::chain::BLOCK;
use tulipstall_prefix::{Kept, Prefixes};

/// A task in hand: its place, and which of the place's owners it is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TaskId {
    pub place: u32,
    pub turn: u32,
}

/// One line of a list of hosts, by names.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    pub host: String,
    pub kind: String,
    pub zone: String,
    pub cell: u32,
    pub weight: f64,
    pub up_for: Option<Duration>,
    pub standing: Standing,
}

/// What a client asks, by names.
#[derive(Clone, Debug, Default)]
pub struct Ask {
    pub offering: u32,
    pub customer: Option<u32>,
    pub session: Option<String>,
    pub shared: Option<String>,
    pub left: Duration,
    pub prompt_tokens: u32,
    pub shared_tokens: u32,
    pub most_tokens: u32,
    pub again: bool,
    /// A guess of the answer's length as time at the offering's pace; absent: from the answers so far.
    pub hint: Option<Duration>,
    /// The first shot that may have run of the answer that this goes on with.
    pub ran: Option<Ran>,
    /// The prompt as a chain of hashed blocks (`tulipstall_prefix::chain`).
    pub chain: Arc<[u64]>,
}

/// How a shot ended, with what its answer told.
#[derive(Clone, Debug, Default)]
pub struct End {
    pub kept_tokens: u32,
    /// Tokens of the prompt as the engine counted them, of which those were kept; 0 where it did not say.
    pub prompt_tokens: u32,
    /// Tokens that the whole answer had, where it was delivered.
    pub answer_tokens: u32,
    pub load: Option<Load>,
    /// The reader's name for the state that it holds now, or may hold where the read told no good end.
    pub state: Option<String>,
    /// That reader.
    pub host: u32,
}

/// A state that waits at a reader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Held {
    pub host: u32,
    pub state: String,
    /// Prompt tokens that the reader found kept.
    pub kept_tokens: u32,
}

#[derive(Clone, Debug)]
pub enum Input {
    Listed {
        whole: bool,
        rows: Vec<Row>,
    },
    Began {
        task: TaskId,
        shot: u32,
    },
    Closed {
        task: TaskId,
        shot: u32,
        outcome: Outcome,
        end: End,
    },
    /// The client left, or its task was broken off from outside: nothing more is owed.
    Gone {
        task: TaskId,
    },
    /// Time has passed.
    Tick,
}

/// What a shot is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Errand {
    Read,
    Write,
    Whole,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    Send {
        task: TaskId,
        shot: u32,
        host: u32,
        errand: Errand,
        until: Duration,
        /// When its first byte goes out at the latest.
        begin_by: Duration,
        held: Option<Held>,
    },
    Cancel {
        task: TaskId,
        shot: u32,
    },
    /// Sure: its reader told of it. Else it may be there, and may come yet where its reader can't be reached.
    Release {
        held: Held,
        sure: bool,
        reason: ReleaseReason,
    },
    Bounce {
        task: TaskId,
        come_back: Option<Duration>,
    },
    BreakOff {
        task: TaskId,
    },
    Note {
        host: u32,
        what: &'static str,
    },
    /// This is the first shot of the task that may have run, as far as is known: who goes on with its answer says
    /// so in [`Ask::ran`].
    Ran {
        task: TaskId,
        ran: Ran,
    },
    Forget {
        task: TaskId,
    },
}

#[derive(Clone, Copy, Default)]
struct Shot {
    host: u32,
    sent: Duration,
    reads: bool,
    out: bool,
    began: bool,
}

#[derive(Default)]
struct Life {
    turn: u32,
    live: bool,
    offering: u32,
    /// It has its final answer, or its client has left.
    ended: bool,
    /// The shot whose answer the client gets.
    owner: Option<u32>,
    shots: Vec<Shot>,
    /// The last shot that read and answers.
    whole: Option<u32>,
    chain: Arc<[u64]>,
    /// Blocks of it that hosts are thought to hold.
    thought: Vec<(u32, u32)>,
    /// The first shot that may have run, of all of the task and of what it goes on with.
    ran: Option<Ran>,
    held: Option<Held>,
    /// The state that was released while an attempt was out, which may have waited for it: released again if the attempt
    /// ends without it.
    released_under_attempt: Option<Held>,
    /// States that reads may have left which told no good end, or told it late: let go of with the task.
    left: Vec<Held>,
}

impl Life {
    /// Notes what a read may have left, once for each name.
    fn leaves(&mut self, held: Option<Held>) {
        let known = |held: &Held| self.left.iter().any(|left| left.state == held.state);
        self.left.extend(held.filter(|held| !known(held)));
    }

    /// Notes a shot that may have run; whether it is the first now.
    fn may_have_run(&mut self, ran: Ran) -> bool {
        let first = self.ran.is_none_or(|first| ran.sent < first.sent);
        if first {
            self.ran = Some(ran);
        }
        first
    }
}

/// Answers' lengths of one offering as they were produced, fading by answers.
#[derive(Clone, Copy, Default)]
struct Lengths {
    mean: f64,
    seen: u32,
}

impl Lengths {
    fn add(&mut self, tokens: f64) {
        self.seen = self.seen.saturating_add(1);
        // The plain mean of the first twenty, then a twentieth for each: follows a change within some dozens.
        self.mean += (tokens - self.mean) / f64::from(self.seen.min(20));
    }
}

/// How long after its time a shot may tell its end: a tick or two of the scheduler, well inside the margin that
/// answers are given before their client's time.
const OVERDUE: Duration = Duration::from_millis(8);

/// Counts that only grow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    pub taken: u64,
    pub delivered: u64,
    pub bounced: u64,
    pub broken_off: u64,
    pub client_left: u64,
    pub shots: u64,
    /// Shots whose end had not been told by their time.
    pub overdue: u64,
    /// Over all reads: tokens in blocks, those of them thought kept where they were read, those of these found.
    pub read_tokens: u64,
    pub thought_tokens: u64,
    pub found_tokens: u64,
    /// Hosts that were seen to have forgotten.
    pub forgot: u64,
}

/// How it is known which host holds which opening text.
pub enum Prefix {
    /// By the decisions' own table of sessions and shared texts.
    Table,
    /// By content.
    Content(Box<Prefixes>),
    /// Not at all: a baseline.
    Nothing,
}

pub struct Core {
    names: NameRegistry,
    rules: Rules,
    paces: Vec<f64>,
    lengths: Vec<Lengths>,
    lives: Vec<Life>,
    free: Vec<u32>,
    /// Places to be free once what was put out is carried out: until then outputs name who had them.
    forgotten: Vec<u32>,
    in_hand: usize,
    prefixes: Prefix,
    kept: Vec<Kept>,
    /// When each host's process began, and whether it is listed.
    starts: Vec<(Duration, bool)>,
    timers: BinaryHeap<Reverse<(Duration, u64)>>,
    /// When each shot is overdue: place, turn, shot.
    overdue: BinaryHeap<Reverse<(Duration, u32, u32, u32)>>,
    roles: Vec<Role>,
    actions: Vec<Action>,
    recorder: Option<Box<dyn Recorder>>,
    counts: Counts,
}

impl Core {
    pub fn new(seed: u64, mut terms: Terms) -> Self {
        let names = NameRegistry::from_terms(&mut terms);
        let pace = |i: usize| terms.number(&format!("service.token_pace_us.{i}")).unwrap_or(50_000.0) / 1e6;
        let offerings = terms.entries("offerings").max(1);
        Core {
            paces: (0..offerings).map(pace).collect(),
            lengths: vec![Lengths::default(); offerings],
            rules: Rules::new(seed, &terms),
            names,
            lives: Vec::new(),
            free: Vec::new(),
            forgotten: Vec::new(),
            in_hand: 0,
            prefixes: Prefix::Table,
            kept: Vec::new(),
            starts: Vec::new(),
            timers: BinaryHeap::new(),
            overdue: BinaryHeap::new(),
            roles: Vec::new(),
            actions: Vec::new(),
            recorder: None,
            counts: Counts::default(),
        }
    }

    /// How opening texts are known; before the first event only.
    pub fn set_prefix(&mut self, prefix: Prefix) {
        self.prefixes = prefix;
    }

    /// What is known by content, if it is.
    pub fn prefixes(&self) -> Option<&Prefixes> {
        match &self.prefixes {
            Prefix::Content(prefixes) => Some(prefixes),
            Prefix::Table | Prefix::Nothing => None,
        }
    }

    /// What each host is thought to hold of a chain, longest first, as it would be told to the decisions now.
    pub fn kept_of(&mut self, now: Duration, chain: &[u64]) -> Vec<Kept> {
        let mut kept = Vec::new();
        if let Prefix::Content(prefixes) = &mut self.prefixes {
            prefixes.ask(now, chain, &mut kept);
        }
        kept
    }

    /// As [`Core::new`], with every event and its actions told to a recorder.
    pub fn recorded(seed: u64, terms: Terms, mut recorder: Box<dyn Recorder>) -> Self {
        recorder.start(seed, &terms);
        let mut core = Core::new(seed, terms);
        core.recorder = Some(recorder);
        core
    }

    pub fn counts(&self) -> Counts {
        self.counts
    }

    pub fn in_hand(&self) -> usize {
        self.in_hand
    }

    /// What the decisions think of each host that matters to them, by its index.
    pub fn beliefs(&self, now: Duration) -> impl Iterator<Item = (u32, Belief)> {
        (0..self.roles.len() as u32).filter_map(move |host| Some((host, self.rules.belief(host, now)?)))
    }

    pub fn host_name(&self, host: u32) -> Option<&str> {
        self.names.hosts.name(host)
    }

    pub fn host(&self, name: &str) -> Option<u32> {
        self.names.hosts.find(name)
    }

    /// When the next timer is due.
    pub fn next_timer(&self) -> Option<Duration> {
        let timer = self.timers.peek().map(|Reverse((at, _))| *at);
        let overdue = self.overdue.peek().map(|Reverse((at, ..))| *at);
        [timer, overdue].into_iter().flatten().min()
    }

    fn life(&mut self, task: TaskId) -> Option<&mut Life> {
        self.lives.get_mut(task.place as usize).filter(|life| life.live && life.turn == task.turn)
    }

    /// All that was put out has been carried out: the places of tasks that are over may be given anew.
    pub fn carried_out(&mut self) {
        self.free.append(&mut self.forgotten);
    }

    /// Gives a new task its place. It is in hand from here on; `arrive` tells the decisions of it.
    pub fn enter(&mut self) -> TaskId {
        let place = self.free.pop().unwrap_or_else(|| {
            self.lives.push(Life::default());
            self.lives.len() as u32 - 1
        });
        let life = &mut self.lives[place as usize];
        let (mut shots, mut thought) = (std::mem::take(&mut life.shots), std::mem::take(&mut life.thought));
        shots.clear();
        thought.clear();
        *life = Life { turn: life.turn.wrapping_add(1), live: true, shots, thought, ..Life::default() };
        self.in_hand += 1;
        TaskId { place, turn: life.turn }
    }

    pub fn arrive(&mut self, now: Duration, task: TaskId, ask: &Ask, out: &mut Vec<Output>) {
        let Some(life) = self.life(task) else { return };
        (life.offering, life.ran) = (ask.offering, ask.ran);
        life.chain = ask.chain.clone();
        self.counts.taken += 1;
        self.tell_kept(now, task, ask, out);
        let about = ask.offering as usize;
        let known = self.lengths.get(about).filter(|lengths| lengths.seen > 0);
        let pace = self.paces.get(about).copied().unwrap_or(0.05);
        let order = Order {
            task: task.place,
            offering: Some(ask.offering),
            customer: ask.customer,
            session: ask.session.as_deref().map(|name| self.names.sessions.intern(name)),
            shared: ask.shared.as_deref().map(|name| self.names.shared_texts.intern(name)),
            left: ask.left,
            hint: ask.hint.or_else(|| {
                known.map(|lengths| Duration::from_secs_f64((lengths.mean * pace).clamp(0.0, 1e6)))
            }),
            prompt_tokens: ask.prompt_tokens,
            shared_tokens: ask.shared_tokens.min(ask.prompt_tokens),
            most_tokens: ask.most_tokens,
            again: ask.again,
            ran: ask.ran,
        };
        self.tell(now, Event::Order(order), out);
    }

    /// Tells the decisions what hosts hold of a prompt, as far as that is believed.
    fn tell_kept(&mut self, now: Duration, task: TaskId, ask: &Ask, out: &mut Vec<Output>) {
        match &mut self.prefixes {
            Prefix::Table => return,
            Prefix::Nothing => self.kept.clear(),
            Prefix::Content(prefixes) => prefixes.ask(now, &ask.chain, &mut self.kept),
        }
        let tokens = |kept: &Kept| (f64::from(kept.blocks * BLOCK) * kept.belief) as u32;
        let told = self.kept.iter().map(|kept| (kept.host, tokens(kept).min(ask.prompt_tokens))).collect();
        if let Some(life) = self.lives.get_mut(task.place as usize) {
            life.thought.extend(self.kept.iter().map(|kept| (kept.host, kept.blocks)));
        }
        self.tell(now, Event::Kept { kept: told }, out);
    }

    /// A prompt was read at a host: what was found kept bears out or contradicts what was thought, and it holds all now.
    fn note_read(&mut self, now: Duration, task: TaskId, host: u32, end: &End) {
        let Some(life) = self.lives.get(task.place as usize) else { return };
        let Prefix::Content(prefixes) = &mut self.prefixes else { return };
        let thought = life.thought.iter().find(|(by, _)| *by == host).map_or(0, |(_, blocks)| *blocks);
        // The engine's tokens are not ours: its part of the prompt counts.
        let part = f64::from(end.kept_tokens) / f64::from(end.prompt_tokens.max(1));
        let found = (part.min(1.0) * life.chain.len() as f64).round() as u32;
        if end.prompt_tokens > 0 {
            let forgot = prefixes.read(now, host, &life.chain, thought, found);
            let tokens = |blocks: u32| u64::from(blocks) * u64::from(BLOCK);
            self.counts.read_tokens += tokens(life.chain.len() as u32);
            self.counts.thought_tokens += tokens(thought);
            self.counts.found_tokens += tokens(found.min(thought));
            self.counts.forgot += u64::from(forgot);
        }
    }

    pub fn on(&mut self, now: Duration, input: Input, out: &mut Vec<Output>) {
        self.tick(now, out);
        match input {
            Input::Tick => {}
            Input::Listed { whole, rows } => self.listed(now, whole, rows, out),
            Input::Gone { task } => {
                let Some(life) = self.life(task).filter(|life| !life.ended) else { return };
                life.ended = true;
                self.counts.client_left += 1;
                self.call_off(task, None, out);
                self.tell(now, Event::ClientGone { task: task.place }, out);
            }
            Input::Began { task, shot } => self.began(now, task, shot, out),
            Input::Closed { task, shot, outcome, end } => self.closed(now, task, shot, outcome, end, out),
        }
    }

    fn tick(&mut self, now: Duration, out: &mut Vec<Output>) {
        while let Some(Reverse((at, token))) =
            self.timers.peek().copied().filter(|Reverse((at, _))| *at <= now)
        {
            self.timers.pop();
            self.tell(at.max(now), Event::Timer { token }, out);
        }
        while let Some(Reverse((_, place, turn, shot))) =
            self.overdue.peek().copied().filter(|Reverse((at, ..))| *at <= now)
        {
            self.overdue.pop();
            self.overdue(now, TaskId { place, turn }, shot, out);
        }
    }

    /// A shot that should have ended by itself: its task's answer must not wait for it. What it still tells is
    /// passed over. Holds against sockets and coroutines that got stuck.
    fn overdue(&mut self, now: Duration, task: TaskId, shot: u32, out: &mut Vec<Output>) {
        let Some(life) = self.life(task) else { return };
        if !life.shots.get(shot as usize).is_some_and(|shot| shot.out && !shot.began) {
            return;
        }
        self.counts.overdue += 1;
        out.push(Output::Cancel { task, shot });
        self.closed(now, task, shot, Outcome::TimedOut, End::default(), out);
    }

    fn listed(&mut self, now: Duration, whole: bool, rows: Vec<Row>, out: &mut Vec<Output>) {
        if whole {
            self.starts.iter_mut().for_each(|(_, listed)| *listed = false);
        }
        let mut listed = Vec::with_capacity(rows.len());
        for row in &rows {
            let line = Listed {
                up_for: row.up_for,
                cell: row.cell,
                weight: row.weight,
                standing: row.standing,
                ..Listed::default()
            };
            let Some(line) = self.names.resolve_listed(&row.host, &row.kind, &row.zone, line) else {
                continue;
            };
            self.roles.resize(self.roles.len().max(line.host as usize + 1), Role::Unknown);
            self.roles[line.host as usize] = line.role;
            self.note_start(now, &line);
            listed.push(line);
        }
        if whole {
            self.names.hosts.retain_listed(&listed);
        }
        self.tell(now, Event::Hosts { whole, listed }, out);
    }

    /// A host's process that began anew, or may have as the host was gone, holds nothing.
    fn note_start(&mut self, now: Duration, line: &Listed) {
        let at = line.host as usize;
        self.starts.resize(self.starts.len().max(at + 1), (Duration::ZERO, false));
        let (start, was) = self.starts[at];
        let started = line.up_for.map_or(Duration::ZERO, |up| now.saturating_sub(up));
        // A quarter second: what clocks may differ by between two tellings of one start. Too little clears in vain.
        let anew = started > start + Duration::from_millis(250);
        let runs = line.standing != Standing::Gone;
        self.starts[at] = (if anew { started } else { start }, runs);
        let Prefix::Content(prefixes) = &mut self.prefixes else { return };
        let most = line.memory_tokens.map(|tokens| (tokens / f64::from(BLOCK)) as u32);
        prefixes.listed(line.host, most, anew || !runs || !was);
    }

    /// Shots that are out and have not begun are called off, all but one.
    fn call_off(&mut self, task: TaskId, but: Option<u32>, out: &mut Vec<Output>) {
        let Some(life) = self.life(task) else { return };
        for (i, shot) in (0..).zip(&life.shots) {
            if shot.out && Some(i) != but {
                out.push(Output::Cancel { task, shot: i });
            }
        }
    }

    fn began(&mut self, now: Duration, task: TaskId, shot: u32, out: &mut Vec<Output>) {
        let Some(life) = self.life(task) else { return };
        let ended = life.ended;
        let Some(about) = life.shots.get_mut(shot as usize).filter(|shot| shot.out) else { return };
        about.began = true;
        if ended || life.owner.is_some_and(|owner| owner != shot) {
            out.push(Output::Cancel { task, shot });
            return;
        }
        life.owner = Some(shot);
        let ran = Ran { host: life.shots[shot as usize].host, sent: life.shots[shot as usize].sent };
        out.extend(life.may_have_run(ran).then_some(Output::Ran { task, ran }));
        // The writer has fetched it.
        life.held = None;
        life.released_under_attempt = None;
        self.call_off(task, Some(shot), out);
        self.tell(now, Event::Started { task: task.place, shot }, out);
    }

    fn closed(
        &mut self,
        now: Duration,
        task: TaskId,
        shot: u32,
        outcome: Outcome,
        mut end: End,
        out: &mut Vec<Output>,
    ) {
        let state = end.state.take();
        let held = state.map(|state| Held { host: end.host, state, kept_tokens: end.kept_tokens });
        let Some(life) = self.life(task) else {
            // Its shot was overdue, its place may have a new owner: nobody else knows of the state.
            let (sure, reason) = (outcome == Outcome::Read, ReleaseReason::Ended);
            return out.extend(held.map(|held| Output::Release { held, sure, reason }));
        };
        let (ended, owner, offering) = (life.ended, life.owner, life.offering as usize);
        let Some(about) = life.shots.get_mut(shot as usize).filter(|shot| shot.out) else {
            return life.leaves(held);
        };
        about.out = false;
        let (host, reads) = (about.host, about.reads);
        if !about.reads && !outcome.never_ran() {
            let ran = Ran { host, sent: about.sent };
            out.extend(life.may_have_run(ran).then_some(Output::Ran { task, ran }));
        }
        let whole = outcome == Outcome::Delivered && life.whole == Some(shot);
        if (reads && outcome == Outcome::Read) || whole {
            self.note_read(now, task, host, &end);
        }
        let Some(life) = self.life(task) else { return };
        let released = life.released_under_attempt.take();
        if !matches!(outcome, Outcome::Delivered | Outcome::Spoilt | Outcome::NoState) {
            life.leaves(released);
        }
        match outcome {
            Outcome::Delivered | Outcome::Spoilt => life.held = None,
            // Its writer found none: it may be where only that writer can't reach it. Holds against cut off readers.
            Outcome::NoState => {
                let held = life.held.take();
                life.leaves(held);
            }
            _ => {}
        }
        if outcome == Outcome::Read {
            life.held = held;
        } else {
            life.leaves(held);
        }
        // The answer that the client was given ends with its shot, whole or broken.
        let ends = owner == Some(shot) && !ended;
        if ends {
            life.ended = true;
        }
        if ends && outcome == Outcome::Delivered {
            self.counts.delivered += 1;
            if let Some(lengths) = self.lengths.get_mut(offering) {
                lengths.add(f64::from(end.answer_tokens));
            }
        } else if ends {
            self.counts.broken_off += 1;
        }
        let closed = Closed {
            task: task.place,
            shot,
            outcome,
            finished: ended || ends,
            kept_tokens: end.kept_tokens,
            load: end.load,
        };
        self.tell(now, Event::Closed(closed), out);
    }

    fn tell(&mut self, now: Duration, event: Event, out: &mut Vec<Output>) {
        let mut actions = std::mem::take(&mut self.actions);
        self.rules.on(now, &event, &mut actions);
        if let Some(recorder) = &mut self.recorder {
            recorder.note(now, &event, &actions);
        }
        for action in actions.drain(..) {
            self.carry(now, action, out);
        }
        self.actions = actions;
    }

    /// One action, carried to its task; what no longer fits its task's life is left out.
    fn carry(&mut self, now: Duration, action: Action, out: &mut Vec<Output>) {
        let id = |lives: &[Life], place: u32| {
            let turn = lives.get(place as usize).map_or(0, |life| life.turn);
            TaskId { place, turn }
        };
        match action {
            Action::Send { task: place, host, until, begin_by } => {
                let task = id(&self.lives, place);
                let role = self.roles.get(host as usize).copied().unwrap_or_default();
                let Some(life) = self.life(task) else { return };
                let shot = life.shots.len() as u32;
                let held = life.held.clone();
                let errand = match (role, &held) {
                    (Role::Reader, _) => Errand::Read,
                    (_, Some(_)) => Errand::Write,
                    (_, None) => Errand::Whole,
                };
                let reads = errand == Errand::Read;
                life.shots.push(Shot { host, sent: now, reads, out: true, began: false });
                life.whole = if errand == Errand::Whole { Some(shot) } else { life.whole };
                self.counts.shots += 1;
                self.overdue.push(Reverse((until + OVERDUE, place, task.turn, shot)));
                let until = until.max(now);
                out.push(Output::Send { task, shot, host, errand, until, begin_by, held });
            }
            Action::Cancel { task, shot } => out.push(Output::Cancel { task: id(&self.lives, task), shot }),
            Action::Release { task, reason } => {
                let task = id(&self.lives, task);
                let Some(life) = self.life(task) else { return };
                // What a read may have left is told of again with the end of the task, as it may come yet.
                let held = life.held.take();
                if reason == ReleaseReason::Unanswered {
                    life.released_under_attempt = held.clone();
                }
                let left = if reason == ReleaseReason::Unused { &[] } else { &life.left[..] };
                let known = |left: &&Held| held.as_ref().is_none_or(|held| held.state != left.state);
                let all = left.iter().filter(known).cloned().chain(held.clone());
                out.extend(all.map(|held| Output::Release { held, sure: true, reason }));
            }
            Action::Bounce { task, come_back } => {
                let task = id(&self.lives, task);
                if self.end(task) {
                    self.counts.bounced += 1;
                    out.push(Output::Bounce { task, come_back });
                }
            }
            Action::BreakOff { task } => {
                let task = id(&self.lives, task);
                if self.end(task) {
                    self.counts.broken_off += 1;
                    out.push(Output::BreakOff { task });
                }
            }
            Action::Timer { at, token } => self.timers.push(Reverse((at, token))),
            Action::Note { host, what } => out.push(Output::Note { host, what }),
            Action::Forget { task: place } => {
                let task = id(&self.lives, place);
                if let Some(life) = self.life(task) {
                    life.live = false;
                    let left = std::mem::take(&mut life.left);
                    self.in_hand -= 1;
                    self.forgotten.push(place);
                    let reason = ReleaseReason::Ended;
                    out.extend(left.into_iter().map(|held| Output::Release { held, sure: false, reason }));
                    out.push(Output::Forget { task });
                }
            }
            // The list is pushed or read from a file; a stream is moved by no deployment yet.
            Action::AskList | Action::Move { .. } => {}
        }
    }

    /// Whether the task had no final answer until now.
    fn end(&mut self, task: TaskId) -> bool {
        self.life(task).is_some_and(|life| !std::mem::replace(&mut life.ended, true))
    }
}

/// Terms as a map of JSON values, for records.
fn terms_as_json(terms: &Terms) -> serde_json::Value {
    let value = |term: &Term| match term {
        Term::Flag(flag) => serde_json::json!(flag),
        Term::Number(number) => serde_json::json!(number),
        Term::Text(text) => serde_json::json!(text),
    };
    terms.0.iter().map(|(name, term)| (name.clone(), value(term))).collect()
}

fn terms_from_json(json: &serde_json::Value) -> Option<Terms> {
    let mut terms = Terms::default();
    for (name, value) in json.as_object()? {
        let term = match value {
            serde_json::Value::Bool(flag) => Term::Flag(*flag),
            serde_json::Value::Number(number) => Term::Number(number.as_f64()?),
            serde_json::Value::String(text) => Term::Text(text.clone()),
            _ => return None,
        };
        terms.0.insert(name.clone(), term);
    }
    Some(terms)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A second final answer, whoever asks for it, is not put out: each way to end a task before each other.
    #[test]
    fn one_final_answer_leaves_the_core() {
        let bounce = |task| Action::Bounce { task, come_back: None };
        let break_off = |task| Action::BreakOff { task };
        type Ends = fn(u32) -> Action;
        let ends: [Ends; 2] = [bounce, break_off];
        for first in ends {
            for second in ends {
                let (mut core, mut out) = (Core::new(1, Terms::default()), Vec::new());
                let task = core.enter();
                core.carry(Duration::ZERO, first(task.place), &mut out);
                assert_eq!(out.len(), 1, "{out:?}");
                core.carry(Duration::ZERO, second(task.place), &mut out);
                assert_eq!(out.len(), 1, "{out:?}");
                assert_eq!(core.counts.bounced + core.counts.broken_off, 1);
            }
        }
        // Nor after its client left or its answer was delivered.
        for end in ends {
            let (mut core, mut out) = (Core::new(1, Terms::default()), Vec::new());
            let task = core.enter();
            core.on(Duration::ZERO, Input::Gone { task }, &mut out);
            core.carry(Duration::ZERO, end(task.place), &mut out);
            assert!(out.is_empty(), "{out:?}");
        }
    }
}
