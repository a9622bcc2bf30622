//! The life cycle of a task (one client request inside the dispatcher), without I/O. Inputs with a time go in, outputs come
//! out; there is no socket, no clock and no randomness of its own, so that the same inputs always give the same outputs.
//!
//! [`tulipstall::Rules`] alone decides what to do. [`Core`] translates inputs to its events, keeps track of the shots
//! (attempts at servers) and server-side states of each task, and translates its actions to outputs.

mod record;

pub use record::{JsonLinesRecorder, Recorder, Replay, replay};

use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;
use tulipstall::Rules;
use tulipstall::interface::{
    Action, Closed, Config, ConfigValue, Event, HostEstimate, HostStatus, ListedHost, LoadReport, Order,
    Outcome, PossibleRun, ReleaseReason, Role,
};
use tulipstall::names::NameRegistry;
use tulipstall_prefix::chain::BLOCK_TOKENS;
use tulipstall_prefix::{CachedPrefix, PrefixIndex};

/// Identifies a task in progress: its slot, and the generation of the slot, which changes each time the slot is reused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TaskId {
    #[serde(rename = "place")]
    pub slot: u32,
    #[serde(rename = "turn")]
    pub generation: u32,
}

/// One entry of a host list, with names instead of indices (see [`ListedHost`]).
#[derive(Clone, Debug, PartialEq)]
pub struct HostRow {
    pub host: String,
    pub kind: String,
    pub zone: String,
    pub cell: u32,
    /// Relative capacity among hosts of its kind.
    pub weight: f64,
    /// Uptime of the server process; absent if it has been up for long or is not known.
    pub uptime: Option<Duration>,
    pub status: HostStatus,
}

/// The request of a client, with names instead of indices (see [`Order`]).
#[derive(Clone, Debug, Default)]
pub struct TaskRequest {
    pub offering: u32,
    pub customer: Option<u32>,
    pub session: Option<String>,
    /// Name of the start of the prompt that several sessions have in common.
    pub shared: Option<String>,
    /// Time left until the client gives up on this request.
    pub time_left: Duration,
    pub prompt_tokens: u32,
    /// Length of the shared start of the prompt.
    pub shared_tokens: u32,
    /// Upper limit for the tokens of the answer.
    pub max_answer_tokens: u32,
    /// The client repeats a request that it has made before.
    pub is_repeat: bool,
    /// Estimate of the answer's length, as time at the offering's token rate; if absent, the average of earlier answers is
    /// used.
    pub expected_duration: Option<Duration>,
    /// The first shot that may have run of the interrupted answer that this request continues.
    pub earlier_run: Option<PossibleRun>,
    /// The prompt as a chain of hashed blocks (`tulipstall_prefix::chain`).
    pub chain: Arc<[u64]>,
}

/// What the answer to a shot reported.
#[derive(Clone, Debug, Default)]
pub struct ShotReport {
    /// Prompt tokens that the server found in its prefix cache.
    pub cached_tokens: u32,
    /// All prompt tokens as the engine counted them; 0 if it did not report them.
    pub prompt_tokens: u32,
    /// Tokens of the complete answer, if it was delivered.
    pub answer_tokens: u32,
    pub load: Option<LoadReport>,
    /// The reader's name for the state (KV cache of the prompt) that it holds now, or may hold if the read did not report
    /// success.
    pub state: Option<String>,
    /// The reader that holds the state.
    pub host: u32,
}

/// A state (KV cache of a prompt) that a reader holds until a writer fetches it or it is released.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldState {
    pub host: u32,
    /// The reader's name for the state.
    pub state: String,
    /// Prompt tokens that the reader found in its prefix cache.
    pub cached_tokens: u32,
}

/// An input of [`Core`].
#[derive(Clone, Debug)]
pub enum Input {
    /// A host list was received.
    HostList {
        /// The list is complete: hosts that are not on it are gone. Otherwise it holds changes only.
        complete: bool,
        rows: Vec<HostRow>,
    },
    /// The answer of a shot has begun.
    AnswerBegan { task: TaskId, shot: u32 },
    /// A shot has ended.
    Closed { task: TaskId, shot: u32, outcome: Outcome, end: ShotReport },
    /// The client closed its connection, or the task was aborted from outside: it needs no answer.
    ClientGone { task: TaskId },
    /// Time has passed: expires timers.
    Tick,
}

/// The work of a shot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShotKind {
    /// Prefill the prompt and hold the state for a writer.
    Read,
    /// Fetch the state from its reader and stream the answer.
    Write,
    /// Prefill the prompt and stream the answer at one host.
    ReadAndWrite,
}

/// An output of [`Core`], to be carried out by its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Start a shot at a host.
    Send {
        task: TaskId,
        shot: u32,
        host: u32,
        kind: ShotKind,
        /// Deadline of the shot.
        deadline: Duration,
        /// Latest time to send the first byte; after that the shot is not sent at all.
        send_by: Duration,
        /// The state to fetch.
        held: Option<HeldState>,
    },
    /// Cancel a shot that is in progress.
    Cancel { task: TaskId, shot: u32 },
    /// Release a state at its reader.
    Release {
        held: HeldState,
        /// This release is enough: the reader reported the state, or the state is released again when the task ends.
        /// Otherwise the state may not exist, and may still be created later if the reader cannot be reached.
        confirmed: bool,
        reason: ReleaseReason,
    },
    /// Reject the request, with the advice that a repeat is safe.
    Bounce {
        task: TaskId,
        /// Delay to suggest to the client before it retries.
        retry_after: Option<Duration>,
    },
    /// Abort the request: a shot may have had an effect that must not occur twice.
    BreakOff { task: TaskId },
    /// A log line for the operator.
    Note { host: u32, what: &'static str },
    /// The first shot of the task that may have run, as known so far. A request that continues the answer of this task
    /// passes it on in [`TaskRequest::earlier_run`].
    FirstPossibleRun { task: TaskId, run: PossibleRun },
    /// The task is over and no further output names it.
    Forget { task: TaskId },
}

#[derive(Clone, Copy, Default)]
struct Shot {
    host: u32,
    sent: Duration,
    is_read: bool,
    active: bool,
    answer_began: bool,
}

#[derive(Default)]
struct TaskEntry {
    /// How many tasks the slot has had, including this one.
    generation: u32,
    /// The slot has a task.
    live: bool,
    offering: u32,
    /// The task has its final answer, or its client has disconnected.
    ended: bool,
    /// The shot whose answer the client gets.
    answering_shot: Option<u32>,
    shots: Vec<Shot>,
    /// The last shot of kind [`ShotKind::ReadAndWrite`].
    last_combined_shot: Option<u32>,
    /// The prompt as a chain of hashed blocks.
    chain: Arc<[u64]>,
    /// Estimate of what hosts have cached of the chain: host and blocks.
    estimated_blocks: Vec<(u32, u32)>,
    /// The first shot that may have run, of this task and of the one whose answer it continues.
    first_possible_run: Option<PossibleRun>,
    /// The state for the next writer.
    held: Option<HeldState>,
    /// The state that was released while an attempt was in progress. The attempt may have been waiting for it at the server,
    /// so it is released again if the attempt ends without having used it.
    released_under_attempt: Option<HeldState>,
    /// States that may exist because a read did not report success, or reported it late. Released with the task.
    unconfirmed: Vec<HeldState>,
}

impl TaskEntry {
    /// Adds a state that a read may have left, once for each name.
    fn add_unconfirmed(&mut self, held: Option<HeldState>) {
        let known = |held: &HeldState| self.unconfirmed.iter().any(|other| other.state == held.state);
        self.unconfirmed.extend(held.filter(|held| !known(held)));
    }

    /// Notes a shot that may have run. Returns whether it is now the first one.
    fn note_possible_run(&mut self, run: PossibleRun) -> bool {
        let first = self.first_possible_run.is_none_or(|first| run.sent < first.sent);
        if first {
            self.first_possible_run = Some(run);
        }
        first
    }
}

/// Moving average of the answer lengths of one offering.
#[derive(Clone, Copy, Default)]
struct AnswerLengths {
    mean_tokens: f64,
    samples: u32,
}

impl AnswerLengths {
    fn add(&mut self, tokens: f64) {
        self.samples = self.samples.saturating_add(1);
        // The arithmetic mean of the first 20 answers, then an exponential average with weight 1/20, which follows a
        // change within a few dozen answers.
        self.mean_tokens += (tokens - self.mean_tokens) / f64::from(self.samples.min(20));
    }
}

/// How long after its deadline a shot may still report its end: one or two scheduler ticks, well inside the margin by which
/// answers precede the client's own deadline.
const OVERDUE_GRACE: Duration = Duration::from_millis(8);

/// Counters that only grow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Tasks accepted.
    pub taken: u64,
    /// Tasks whose answer was delivered completely.
    pub delivered: u64,
    /// Tasks rejected with retry advice.
    pub bounced: u64,
    /// Tasks aborted, or whose answer ended early.
    pub broken_off: u64,
    /// Tasks whose client disconnected before the end.
    pub client_left: u64,
    /// Shots started.
    pub shots: u64,
    /// Shots that had not reported their end by their deadline.
    pub overdue: u64,
    /// Prompt tokens in blocks, over all reads.
    pub read_tokens: u64,
    /// Of those, tokens that were estimated to be cached where they were read.
    pub thought_tokens: u64,
    /// Of those, tokens that the server did find cached.
    pub found_tokens: u64,
    /// How many times a host was found to have lost its cache.
    pub forgot: u64,
}

/// The source of estimates of which host has which prompt prefix cached.
pub enum PrefixSource {
    /// The decisions' own table of sessions and shared texts.
    Table,
    /// An index of prompt contents.
    Content(Box<PrefixIndex>),
    /// No estimates at all, as a baseline for comparison.
    Disabled,
}

/// The tasks of one dispatcher, with its decision logic.
pub struct Core {
    names: NameRegistry,
    rules: Rules,
    /// Seconds per answer token, by offering.
    token_pace_s: Vec<f64>,
    answer_lengths: Vec<AnswerLengths>,
    /// The tasks by slot.
    entries: Vec<TaskEntry>,
    free_slots: Vec<u32>,
    /// Slots of ended tasks, not free until the outputs that name these tasks have been carried out.
    ended_slots: Vec<u32>,
    active_tasks: usize,
    prefix_source: PrefixSource,
    /// Buffer for one prompt's estimates.
    cached: Vec<CachedPrefix>,
    /// For each host, when its process started, and whether it is listed.
    process_starts: Vec<(Duration, bool)>,
    timers: BinaryHeap<Reverse<(Duration, u64)>>,
    /// When each shot becomes overdue: time, slot, generation, shot.
    overdue_at: BinaryHeap<Reverse<(Duration, u32, u32, u32)>>,
    host_roles: Vec<Role>,
    /// Buffer for the actions of one event.
    actions: Vec<Action>,
    recorder: Option<Box<dyn Recorder>>,
    counts: Counts,
}

impl Core {
    pub fn new(seed: u64, mut config: Config) -> Self {
        let names = NameRegistry::from_config(&mut config);
        let pace = |i: usize| config.number(&format!("service.token_pace_us.{i}")).unwrap_or(50_000.0) / 1e6;
        let offerings = config.list_len("offerings").max(1);
        Core {
            token_pace_s: (0..offerings).map(pace).collect(),
            answer_lengths: vec![AnswerLengths::default(); offerings],
            rules: Rules::new(seed, &config),
            names,
            entries: Vec::new(),
            free_slots: Vec::new(),
            ended_slots: Vec::new(),
            active_tasks: 0,
            prefix_source: PrefixSource::Table,
            cached: Vec::new(),
            process_starts: Vec::new(),
            timers: BinaryHeap::new(),
            overdue_at: BinaryHeap::new(),
            host_roles: Vec::new(),
            actions: Vec::new(),
            recorder: None,
            counts: Counts::default(),
        }
    }

    /// Sets the source of prefix estimates. Call it before the first input only.
    pub fn set_prefix_source(&mut self, source: PrefixSource) {
        self.prefix_source = source;
    }

    /// Limits how many names of sessions, and how many of shared texts, are kept. Call it before the first input only.
    pub fn limit_names(&mut self, max_names: usize) {
        self.names.sessions.limit(max_names);
        self.names.shared_texts.limit(max_names);
    }

    /// The index of prompt contents, if it is in use.
    pub fn prefixes(&self) -> Option<&PrefixIndex> {
        match &self.prefix_source {
            PrefixSource::Content(prefixes) => Some(prefixes),
            PrefixSource::Table | PrefixSource::Disabled => None,
        }
    }

    /// The current estimate of what each host has cached of a chain, longest first, as the decisions would get it.
    pub fn cached_estimates(&mut self, now: Duration, chain: &[u64]) -> Vec<CachedPrefix> {
        let mut cached = Vec::new();
        if let PrefixSource::Content(prefixes) = &mut self.prefix_source {
            prefixes.estimate(now, chain, &mut cached);
        }
        cached
    }

    /// Like [`Core::new`], and passes every event and its actions to a recorder.
    pub fn with_recorder(seed: u64, config: Config, mut recorder: Box<dyn Recorder>) -> Self {
        recorder.start(seed, &config);
        let mut core = Core::new(seed, config);
        core.recorder = Some(recorder);
        core
    }

    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// How many tasks are in progress.
    pub fn active_tasks(&self) -> usize {
        self.active_tasks
    }

    /// The decisions' current estimate of each host that is running or has shots in progress, by its index.
    pub fn host_estimates(&self, now: Duration) -> impl Iterator<Item = (u32, HostEstimate)> {
        (0..self.host_roles.len() as u32)
            .filter_map(move |host| Some((host, self.rules.host_estimate(host, now)?)))
    }

    pub fn host_name(&self, host: u32) -> Option<&str> {
        self.names.hosts.name(host)
    }

    pub fn host_index(&self, name: &str) -> Option<u32> {
        self.names.hosts.find(name)
    }

    /// When the next [`Input::Tick`] is due.
    pub fn next_timer(&self) -> Option<Duration> {
        let timer = self.timers.peek().map(|Reverse((at, _))| *at);
        let overdue = self.overdue_at.peek().map(|Reverse((at, ..))| *at);
        [timer, overdue].into_iter().flatten().min()
    }

    fn entry(&mut self, task: TaskId) -> Option<&mut TaskEntry> {
        self.entries
            .get_mut(task.slot as usize)
            .filter(|entry| entry.live && entry.generation == task.generation)
    }

    /// Notes that all outputs so far have been carried out: the slots of ended tasks may be reused.
    pub fn outputs_carried_out(&mut self) {
        self.free_slots.append(&mut self.ended_slots);
    }

    /// Assigns a slot to a new task, which counts as in progress from here on. [`Core::start_task`] then starts it.
    pub fn reserve_slot(&mut self) -> TaskId {
        let slot = self.free_slots.pop().unwrap_or_else(|| {
            self.entries.push(TaskEntry::default());
            self.entries.len() as u32 - 1
        });
        let entry = &mut self.entries[slot as usize];
        let (mut shots, mut estimated_blocks) =
            (std::mem::take(&mut entry.shots), std::mem::take(&mut entry.estimated_blocks));
        shots.clear();
        estimated_blocks.clear();
        *entry = TaskEntry {
            generation: entry.generation.wrapping_add(1),
            live: true,
            shots,
            estimated_blocks,
            ..TaskEntry::default()
        };
        self.active_tasks += 1;
        TaskId { slot, generation: entry.generation }
    }

    /// Passes a new task to the decisions.
    pub fn start_task(&mut self, now: Duration, task: TaskId, request: &TaskRequest, out: &mut Vec<Output>) {
        let Some(entry) = self.entry(task) else { return };
        (entry.offering, entry.first_possible_run) = (request.offering, request.earlier_run);
        entry.chain = request.chain.clone();
        self.counts.taken += 1;
        self.estimate_cached(now, task, request, out);
        let offering = request.offering as usize;
        let known = self.answer_lengths.get(offering).filter(|lengths| lengths.samples > 0);
        let pace = self.token_pace_s.get(offering).copied().unwrap_or(0.05);
        let order = Order {
            task: task.slot,
            offering: Some(request.offering),
            customer: request.customer,
            session: request.session.as_deref().map(|name| self.names.sessions.intern(name)),
            shared: request.shared.as_deref().map(|name| self.names.shared_texts.intern(name)),
            time_left: request.time_left,
            expected_duration: request.expected_duration.or_else(|| {
                known.map(|lengths| Duration::from_secs_f64((lengths.mean_tokens * pace).clamp(0.0, 1e6)))
            }),
            prompt_tokens: request.prompt_tokens,
            shared_tokens: request.shared_tokens.min(request.prompt_tokens),
            max_answer_tokens: request.max_answer_tokens,
            is_repeat: request.is_repeat,
            earlier_run: request.earlier_run,
        };
        self.apply_event(now, Event::Order(order), out);
    }

    /// Passes the decisions an estimate of what hosts have cached of a prompt, weighted by confidence.
    fn estimate_cached(&mut self, now: Duration, task: TaskId, request: &TaskRequest, out: &mut Vec<Output>) {
        match &mut self.prefix_source {
            PrefixSource::Table => return,
            PrefixSource::Disabled => self.cached.clear(),
            PrefixSource::Content(prefixes) => prefixes.estimate(now, &request.chain, &mut self.cached),
        }
        let tokens =
            |cached: &CachedPrefix| (f64::from(cached.blocks * BLOCK_TOKENS) * cached.confidence) as u32;
        let estimates = self
            .cached
            .iter()
            .map(|cached| (cached.host, tokens(cached).min(request.prompt_tokens)))
            .collect();
        if let Some(entry) = self.entries.get_mut(task.slot as usize) {
            entry.estimated_blocks.extend(self.cached.iter().map(|cached| (cached.host, cached.blocks)));
        }
        self.apply_event(now, Event::CachedPrompt { cached: estimates }, out);
    }

    /// A prompt was read at a host. Compares the cached part that the host reported with the estimate; the host has all of
    /// the prompt cached now.
    fn record_read(&mut self, now: Duration, task: TaskId, host: u32, end: &ShotReport) {
        let Some(entry) = self.entries.get(task.slot as usize) else { return };
        let PrefixSource::Content(prefixes) = &mut self.prefix_source else { return };
        let estimated =
            entry.estimated_blocks.iter().find(|(other, _)| *other == host).map_or(0, |(_, blocks)| *blocks);
        // The engine's tokens differ from the estimated ones, so the cached share of its prompt is used.
        let share = f64::from(end.cached_tokens) / f64::from(end.prompt_tokens.max(1));
        let found = (share.min(1.0) * entry.chain.len() as f64).round() as u32;
        if end.prompt_tokens > 0 {
            let forgot = prefixes.record_read(now, host, &entry.chain, estimated, found);
            let tokens = |blocks: u32| u64::from(blocks) * u64::from(BLOCK_TOKENS);
            self.counts.read_tokens += tokens(entry.chain.len() as u32);
            self.counts.thought_tokens += tokens(estimated);
            self.counts.found_tokens += tokens(found.min(estimated));
            self.counts.forgot += u64::from(forgot);
        }
    }

    /// Handles one input, after expiring the timers that are due by then. Outputs are appended to `out`.
    pub fn handle(&mut self, now: Duration, input: Input, out: &mut Vec<Output>) {
        self.tick(now, out);
        match input {
            Input::Tick => {}
            Input::HostList { complete, rows } => self.update_hosts(now, complete, rows, out),
            Input::ClientGone { task } => {
                let Some(entry) = self.entry(task).filter(|entry| !entry.ended) else { return };
                entry.ended = true;
                self.counts.client_left += 1;
                self.cancel_shots(task, None, out);
                self.apply_event(now, Event::ClientGone { task: task.slot }, out);
            }
            Input::AnswerBegan { task, shot } => self.answer_began(now, task, shot, out),
            Input::Closed { task, shot, outcome, end } => {
                self.shot_closed(now, task, shot, outcome, end, out)
            }
        }
    }

    fn tick(&mut self, now: Duration, out: &mut Vec<Output>) {
        while let Some(Reverse((at, token))) =
            self.timers.peek().copied().filter(|Reverse((at, _))| *at <= now)
        {
            self.timers.pop();
            self.apply_event(at.max(now), Event::Timer { token }, out);
        }
        while let Some(Reverse((_, slot, generation, shot))) =
            self.overdue_at.peek().copied().filter(|Reverse((at, ..))| *at <= now)
        {
            self.overdue_at.pop();
            self.shot_overdue(now, TaskId { slot, generation }, shot, out);
        }
    }

    /// Closes a shot that should have ended by its deadline; what it still reports is ignored. Without this, a stuck socket
    /// or coroutine would keep the task from being answered.
    fn shot_overdue(&mut self, now: Duration, task: TaskId, shot: u32, out: &mut Vec<Output>) {
        let Some(entry) = self.entry(task) else { return };
        if !entry.shots.get(shot as usize).is_some_and(|shot| shot.active && !shot.answer_began) {
            return;
        }
        self.counts.overdue += 1;
        out.push(Output::Cancel { task, shot });
        self.shot_closed(now, task, shot, Outcome::TimedOut, ShotReport::default(), out);
    }

    fn update_hosts(&mut self, now: Duration, complete: bool, rows: Vec<HostRow>, out: &mut Vec<Output>) {
        if complete {
            self.process_starts.iter_mut().for_each(|(_, listed)| *listed = false);
        }
        let mut listed = Vec::with_capacity(rows.len());
        for row in &rows {
            let line = ListedHost {
                uptime: row.uptime,
                cell: row.cell,
                weight: row.weight,
                status: row.status,
                ..ListedHost::default()
            };
            let Some(line) = self.names.resolve(&row.host, &row.kind, &row.zone, line) else { continue };
            self.host_roles.resize(self.host_roles.len().max(line.host as usize + 1), Role::Unknown);
            self.host_roles[line.host as usize] = line.role;
            self.update_process_start(now, &line);
            listed.push(line);
        }
        if complete {
            self.names.hosts.retain_listed(&listed);
        }
        self.apply_event(now, Event::Hosts { complete, listed }, out);
    }

    /// Clears the cache index of a host whose process has restarted, or may have restarted while the host was gone.
    fn update_process_start(&mut self, now: Duration, line: &ListedHost) {
        let host = line.host as usize;
        self.process_starts.resize(self.process_starts.len().max(host + 1), (Duration::ZERO, false));
        let (start, was_listed) = self.process_starts[host];
        let started = line.uptime.map_or(Duration::ZERO, |up| now.saturating_sub(up));
        // Clocks may differ by up to 250 ms between two reports of one start. With a smaller tolerance, the index would be
        // cleared for no reason.
        let restarted = started > start + Duration::from_millis(250);
        let present = line.status != HostStatus::Gone;
        self.process_starts[host] = (if restarted { started } else { start }, present);
        let PrefixSource::Content(prefixes) = &mut self.prefix_source else { return };
        let max_blocks = line.memory_tokens.map(|tokens| (tokens / f64::from(BLOCK_TOKENS)) as u32);
        prefixes.update_host(line.host, max_blocks, restarted || !present || !was_listed);
    }

    /// Cancels all shots in progress except one.
    fn cancel_shots(&mut self, task: TaskId, except: Option<u32>, out: &mut Vec<Output>) {
        let Some(entry) = self.entry(task) else { return };
        for (i, shot) in (0..).zip(&entry.shots) {
            if shot.active && Some(i) != except {
                out.push(Output::Cancel { task, shot: i });
            }
        }
    }

    fn answer_began(&mut self, now: Duration, task: TaskId, shot: u32, out: &mut Vec<Output>) {
        let Some(entry) = self.entry(task) else { return };
        let ended = entry.ended;
        let Some(started) = entry.shots.get_mut(shot as usize).filter(|shot| shot.active) else { return };
        started.answer_began = true;
        if ended || entry.answering_shot.is_some_and(|answering| answering != shot) {
            out.push(Output::Cancel { task, shot });
            return;
        }
        entry.answering_shot = Some(shot);
        let run =
            PossibleRun { host: entry.shots[shot as usize].host, sent: entry.shots[shot as usize].sent };
        out.extend(entry.note_possible_run(run).then_some(Output::FirstPossibleRun { task, run }));
        // The writer has fetched the state.
        entry.held = None;
        entry.released_under_attempt = None;
        self.cancel_shots(task, Some(shot), out);
        self.apply_event(now, Event::Started { task: task.slot, shot }, out);
    }

    fn shot_closed(
        &mut self,
        now: Duration,
        task: TaskId,
        shot: u32,
        outcome: Outcome,
        mut end: ShotReport,
        out: &mut Vec<Output>,
    ) {
        let state = end.state.take();
        let held = state.map(|state| HeldState { host: end.host, state, cached_tokens: end.cached_tokens });
        let Some(entry) = self.entry(task) else {
            // The shot was overdue and its slot may have been reused, so the state has to be released here.
            let (confirmed, reason) = (outcome == Outcome::Read, ReleaseReason::Ended);
            return out.extend(held.map(|held| Output::Release { held, confirmed, reason }));
        };
        let (ended, answering, offering) = (entry.ended, entry.answering_shot, entry.offering as usize);
        let Some(closed_shot) = entry.shots.get_mut(shot as usize).filter(|shot| shot.active) else {
            return entry.add_unconfirmed(held);
        };
        closed_shot.active = false;
        let (host, is_read) = (closed_shot.host, closed_shot.is_read);
        if !closed_shot.is_read && !outcome.never_ran() {
            let run = PossibleRun { host, sent: closed_shot.sent };
            out.extend(entry.note_possible_run(run).then_some(Output::FirstPossibleRun { task, run }));
        }
        let combined = outcome == Outcome::Delivered && entry.last_combined_shot == Some(shot);
        if (is_read && outcome == Outcome::Read) || combined {
            self.record_read(now, task, host, &end);
        }
        let Some(entry) = self.entry(task) else { return };
        let released = entry.released_under_attempt.take();
        if !matches!(outcome, Outcome::Delivered | Outcome::Spoilt | Outcome::NoState) {
            entry.add_unconfirmed(released);
        }
        match outcome {
            Outcome::Delivered | Outcome::Spoilt => entry.held = None,
            // The writer found no state, but the reader may still hold it. Without this, a state would stay at a reader that
            // only this writer cannot reach.
            Outcome::NoState => {
                let held = entry.held.take();
                entry.add_unconfirmed(held);
            }
            _ => {}
        }
        if outcome == Outcome::Read {
            entry.held = held;
        } else {
            entry.add_unconfirmed(held);
        }
        // The answer that the client receives ends with its shot, complete or not.
        let ends = answering == Some(shot) && !ended;
        if ends {
            entry.ended = true;
        }
        if ends && outcome == Outcome::Delivered {
            self.counts.delivered += 1;
            if let Some(lengths) = self.answer_lengths.get_mut(offering) {
                lengths.add(f64::from(end.answer_tokens));
            }
        } else if ends {
            self.counts.broken_off += 1;
        }
        let closed = Closed {
            task: task.slot,
            shot,
            outcome,
            finished: ended || ends,
            cached_tokens: end.cached_tokens,
            load: end.load,
        };
        self.apply_event(now, Event::Closed(closed), out);
    }

    /// Passes an event to the decisions, records it, and carries out the actions that it calls for.
    fn apply_event(&mut self, now: Duration, event: Event, out: &mut Vec<Output>) {
        let mut actions = std::mem::take(&mut self.actions);
        self.rules.handle(now, &event, &mut actions);
        if let Some(recorder) = &mut self.recorder {
            recorder.event(now, &event, &actions);
        }
        for action in actions.drain(..) {
            self.apply_action(now, action, out);
        }
        self.actions = actions;
    }

    /// Carries out one action. An action that no longer applies to its task is ignored.
    fn apply_action(&mut self, now: Duration, action: Action, out: &mut Vec<Output>) {
        let id = |entries: &[TaskEntry], slot: u32| {
            let generation = entries.get(slot as usize).map_or(0, |entry| entry.generation);
            TaskId { slot, generation }
        };
        match action {
            Action::Send { task: slot, host, deadline, send_by } => {
                let task = id(&self.entries, slot);
                let role = self.host_roles.get(host as usize).copied().unwrap_or_default();
                let Some(entry) = self.entry(task) else { return };
                let shot = entry.shots.len() as u32;
                let held = entry.held.clone();
                let kind = match (role, &held) {
                    (Role::Reader, _) => ShotKind::Read,
                    (_, Some(_)) => ShotKind::Write,
                    (_, None) => ShotKind::ReadAndWrite,
                };
                let is_read = kind == ShotKind::Read;
                entry.shots.push(Shot { host, sent: now, is_read, active: true, answer_began: false });
                entry.last_combined_shot =
                    if kind == ShotKind::ReadAndWrite { Some(shot) } else { entry.last_combined_shot };
                self.counts.shots += 1;
                self.overdue_at.push(Reverse((deadline + OVERDUE_GRACE, slot, task.generation, shot)));
                let deadline = deadline.max(now);
                out.push(Output::Send { task, shot, host, kind, deadline, send_by, held });
            }
            Action::Cancel { task, shot } => out.push(Output::Cancel { task: id(&self.entries, task), shot }),
            Action::Release { task, reason } => {
                let task = id(&self.entries, task);
                let Some(entry) = self.entry(task) else { return };
                // Unconfirmed states are released again at the end of the task, as they may still be created.
                let held = entry.held.take();
                if reason == ReleaseReason::Unanswered {
                    entry.released_under_attempt = held.clone();
                }
                let unconfirmed = if reason == ReleaseReason::Unused { &[] } else { &entry.unconfirmed[..] };
                let not_held =
                    |other: &&HeldState| held.as_ref().is_none_or(|held| held.state != other.state);
                let all = unconfirmed.iter().filter(not_held).cloned().chain(held.clone());
                out.extend(all.map(|held| Output::Release { held, confirmed: true, reason }));
            }
            Action::Bounce { task, retry_after } => {
                let task = id(&self.entries, task);
                if self.set_ended(task) {
                    self.counts.bounced += 1;
                    out.push(Output::Bounce { task, retry_after });
                }
            }
            Action::BreakOff { task } => {
                let task = id(&self.entries, task);
                if self.set_ended(task) {
                    self.counts.broken_off += 1;
                    out.push(Output::BreakOff { task });
                }
            }
            Action::Timer { at, token } => self.timers.push(Reverse((at, token))),
            Action::Note { host, what } => out.push(Output::Note { host, what }),
            Action::Forget { task: slot } => {
                let task = id(&self.entries, slot);
                if let Some(entry) = self.entry(task) {
                    entry.live = false;
                    let unconfirmed = std::mem::take(&mut entry.unconfirmed);
                    self.active_tasks -= 1;
                    self.ended_slots.push(slot);
                    let reason = ReleaseReason::Ended;
                    out.extend(unconfirmed.into_iter().map(|held| Output::Release {
                        held,
                        confirmed: false,
                        reason,
                    }));
                    out.push(Output::Forget { task });
                }
            }
            // Lists are pushed or read from a file, and no deployment moves streams yet.
            Action::RequestHostList | Action::EndStream { .. } => {}
        }
    }

    /// Marks the task as ended. Returns whether it had not ended before.
    fn set_ended(&mut self, task: TaskId) -> bool {
        self.entry(task).is_some_and(|entry| !std::mem::replace(&mut entry.ended, true))
    }
}

/// The configuration as a JSON object, for records.
fn config_as_json(config: &Config) -> serde_json::Value {
    let as_json = |value: &ConfigValue| match value {
        ConfigValue::Flag(flag) => serde_json::json!(flag),
        ConfigValue::Number(number) => serde_json::json!(number),
        ConfigValue::Text(text) => serde_json::json!(text),
    };
    config.0.iter().map(|(name, value)| (name.clone(), as_json(value))).collect()
}

fn config_from_json(json: &serde_json::Value) -> Option<Config> {
    let mut config = Config::default();
    for (name, value) in json.as_object()? {
        let value = match value {
            serde_json::Value::Bool(flag) => ConfigValue::Flag(*flag),
            serde_json::Value::Number(number) => ConfigValue::Number(number.as_f64()?),
            serde_json::Value::String(text) => ConfigValue::Text(text.clone()),
            _ => return None,
        };
        config.0.insert(name.clone(), value);
    }
    Some(config)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A task gets one final answer at most, for each order of the two ways to end it.
    #[test]
    fn a_task_gets_one_final_answer() {
        let bounce = |task| Action::Bounce { task, retry_after: None };
        let break_off = |task| Action::BreakOff { task };
        type Ends = fn(u32) -> Action;
        let ends: [Ends; 2] = [bounce, break_off];
        for first in ends {
            for second in ends {
                let (mut core, mut out) = (Core::new(1, Config::default()), Vec::new());
                let task = core.reserve_slot();
                core.apply_action(Duration::ZERO, first(task.slot), &mut out);
                assert_eq!(out.len(), 1, "{out:?}");
                core.apply_action(Duration::ZERO, second(task.slot), &mut out);
                assert_eq!(out.len(), 1, "{out:?}");
                assert_eq!(core.counts.bounced + core.counts.broken_off, 1);
            }
        }
        // No final answer after the client has disconnected.
        for end in ends {
            let (mut core, mut out) = (Core::new(1, Config::default()), Vec::new());
            let task = core.reserve_slot();
            core.handle(Duration::ZERO, Input::ClientGone { task }, &mut out);
            core.apply_action(Duration::ZERO, end(task.slot), &mut out);
            assert!(out.is_empty(), "{out:?}");
        }
    }
}
