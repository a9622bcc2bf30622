//! The thread that owns the decision core. It takes events from a bounded queue in order and carries out the actions
//! that the core returns.

use crate::Shared;
use crate::front::ConnectionMessage;
use crate::hosts::Endpoint;
use crate::shot;
use crate::task::{ShotControl, Task};
use may::sync::mpsc::Receiver;
use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tulipstall::interface::Outcome;
use tulipstall_core::{Core, Input, JsonLinesRecorder, Output, PrefixSource, TaskId, TaskRequest};
use tulipstall_net::spawn;
use tulipstall_prefix::PrefixIndex;
use tulipstall_settings::PrefixBy;

/// A message to the owner of the decisions.
pub enum OwnerMessage {
    /// A new task.
    Arrive(Arc<Task>, Box<TaskRequest>),
    /// The task's client has left, or answering it panicked.
    ClientGone(Arc<Task>),
    /// An input for the core, passed on unchanged.
    CoreInput(Input),
    /// Abort all running tasks.
    AbortAll,
    /// Read the core's state without changing it.
    Query(Query),
}

/// A query that runs on the owner's thread and sends its own result.
pub type Query = Box<dyn FnOnce(&mut Core, Duration) + Send>;

/// Lines of the record that may wait for the disk. With more, recording stops rather than fill the memory.
const RECORD_BACKLOG_LINES: usize = 100_000;

/// Starts a thread that writes the record, as file I/O would block the owner.
fn start_recording(path: PathBuf) -> io::Result<JsonLinesRecorder<impl FnMut(String) + Send>> {
    let mut file = BufWriter::new(File::create(&path)?);
    let (sender, lines) = std::sync::mpsc::sync_channel::<String>(RECORD_BACKLOG_LINES);
    std::thread::Builder::new().name("record".into()).spawn(move || {
        loop {
            let written = match lines.recv_timeout(Duration::from_millis(100)) {
                Ok(line) => writeln!(file, "{line}"),
                Err(std::sync::mpsc::RecvTimeoutError::Timeout) => file.flush(),
                Err(std::sync::mpsc::RecvTimeoutError::Disconnected) => return file.flush(),
            };
            if let Err(error) = written {
                tracing::error!(path = %path.display(), %error, "cannot write the record: recording stops");
                return Err(error);
            }
        }
    })?;
    let mut sender = Some(sender);
    Ok(JsonLinesRecorder(move |line: String| {
        // A record with a gap would replay to different actions, so recording stops for good.
        if sender.as_ref().is_some_and(|sender| sender.try_send(line).is_err()) {
            tracing::error!("the disk is too slow for the record: recording stops");
            sender = None;
        }
    }))
}

/// Starts the owner's thread. It writes a record if `record_path` is given.
pub fn start(
    shared: Arc<Shared>,
    messages: Receiver<OwnerMessage>,
    record_path: Option<PathBuf>,
) -> io::Result<()> {
    let config = shared.settings.to_config();
    let seed = shared.settings.seed.unwrap_or(shared.run_id);
    let mut core = match record_path {
        Some(path) => Core::with_recorder(seed, config, Box::new(start_recording(path)?)),
        None => Core::new(seed, config),
    };
    core.set_prefix_source(match shared.settings.prefixes.by {
        PrefixBy::Content => {
            PrefixSource::Content(Box::new(PrefixIndex::new(shared.settings.prefixes.bytes)))
        }
        PrefixBy::Table => PrefixSource::Table,
        PrefixBy::Nothing => PrefixSource::Disabled,
    });
    let mut owner = Owner {
        shared,
        core,
        tasks: Vec::new(),
        endpoints: Vec::new(),
        outputs: Vec::new(),
        reported_read_tokens: 0,
    };
    // A thread, as it waits with time-outs, which are not sound in coroutines (docs/coroutines.md).
    std::thread::Builder::new().name("owner".into()).spawn(move || owner.run(&messages))?;
    Ok(())
}

/// A running task with its shots, in the order of their numbers.
struct ActiveTask {
    id: TaskId,
    task: Arc<Task>,
    shots: Vec<Arc<ShotControl>>,
}

struct Owner {
    shared: Arc<Shared>,
    core: Core,
    tasks: Vec<Option<ActiveTask>>,
    endpoints: Vec<Option<Arc<Endpoint>>>,
    outputs: Vec<Output>,
    /// The core's count of read tokens when the prefix metrics were last updated.
    reported_read_tokens: u64,
}

impl Owner {
    fn run(&mut self, messages: &Receiver<OwnerMessage>) {
        loop {
            let now = self.shared.now();
            // Without a timer there is nothing to wake up for, so any long wait will do.
            let wait = self.core.next_timer().map_or(Duration::from_secs(3600), |at| at.saturating_sub(now));
            let message =
                if wait.is_zero() { messages.try_recv().ok() } else { messages.recv_timeout(wait).ok() };
            if message.is_some() {
                self.shared.owner_queue.free_slots.release();
            }
            let decision_start = Instant::now();
            let mut outputs = std::mem::take(&mut self.outputs);
            self.decide(self.shared.now(), message, &mut outputs);
            self.shared.metrics.decision_nanoseconds.inc_by(decision_start.elapsed().as_nanos() as u64);
            self.shared.metrics.events.inc();
            self.shared.metrics.overdue.set(self.core.counts().overdue as i64);
            self.update_prefix_metrics();
            for output in outputs.drain(..) {
                self.execute(output);
            }
            self.core.outputs_carried_out();
            self.outputs = outputs;
        }
    }

    /// Updates the metrics of the prefix index if tokens have been read since the last update.
    fn update_prefix_metrics(&mut self) {
        let counts = self.core.counts();
        if counts.read_tokens == self.reported_read_tokens {
            return;
        }
        self.reported_read_tokens = counts.read_tokens;
        for (what, count) in [
            ("read", counts.read_tokens),
            ("thought", counts.thought_tokens),
            ("found", counts.found_tokens),
            ("hosts forgot", counts.forgot),
        ] {
            self.shared.metrics.prefix_index.with_label_values(&[what]).set(count as i64);
        }
    }

    fn decide(&mut self, now: Duration, message: Option<OwnerMessage>, outputs: &mut Vec<Output>) {
        let input = match message {
            None => Input::Tick,
            Some(OwnerMessage::Arrive(task, request)) => {
                return self.start_task(now, task, &request, outputs);
            }
            Some(OwnerMessage::ClientGone(task)) => match task.id() {
                Some(id) => Input::ClientGone { task: id },
                None => return,
            },
            Some(OwnerMessage::CoreInput(input)) => input,
            Some(OwnerMessage::AbortAll) => return self.abort_all(now, outputs),
            Some(OwnerMessage::Query(query)) => return query(&mut self.core, now),
        };
        if let Input::Closed { outcome, .. } = &input {
            self.shared.metrics.shots.with_label_values(&[outcome_name(*outcome)]).inc();
        }
        self.core.handle(now, input, outputs);
    }

    /// Gives a new task its id and submits it to the core.
    fn start_task(
        &mut self,
        now: Duration,
        task: Arc<Task>,
        request: &TaskRequest,
        outputs: &mut Vec<Output>,
    ) {
        self.core.handle(now, Input::Tick, outputs);
        let id = self.core.reserve_slot();
        task.set_id(id);
        let slot = id.slot as usize;
        self.tasks.resize_with(self.tasks.len().max(slot + 1), || None);
        self.tasks[slot] = Some(ActiveTask { id, task, shots: Vec::new() });
        // The shot of the lost answer that this task continues is already closed: the same coroutine reported it before.
        // The group of that shot binds this task and every later continuation: without this, a second loss could lead
        // out of the first one's group.
        let active = self.tasks[slot].as_ref();
        let earlier_run = active.and_then(|active| {
            let run = active.task.continues.as_ref()?.first_possible_run()?;
            active.task.set_first_possible_run(run);
            Some(run)
        });
        self.core.start_task(now, id, &TaskRequest { earlier_run, ..request.clone() }, outputs);
    }

    /// Aborts all running tasks and shuts the streams of those whose answer has begun.
    fn abort_all(&mut self, now: Duration, outputs: &mut Vec<Output>) {
        let all: Vec<TaskId> = self.tasks.iter().flatten().map(|active| active.id).collect();
        for id in all {
            let Some(active) = self.active(id) else { continue };
            if active.task.close() {
                let _ = active.task.inbox.send(ConnectionMessage::Aborted { ticket: active.task.ticket });
            } else {
                active.shots.iter().for_each(|shot| shot.shut());
            }
            self.core.handle(now, Input::ClientGone { task: id }, outputs);
        }
    }

    fn active(&mut self, id: TaskId) -> Option<&mut ActiveTask> {
        self.tasks.get_mut(id.slot as usize)?.as_mut().filter(|active| active.id == id)
    }

    /// The endpoint of a host, by the host's index in the core.
    fn endpoint(&mut self, host: u32) -> Option<Arc<Endpoint>> {
        let index = host as usize;
        self.endpoints.resize_with(self.endpoints.len().max(index + 1), || None);
        let name = self.core.host_name(host);
        // An index may have been reassigned to another host.
        if self.endpoints[index].as_ref().is_none_or(|endpoint| Some(endpoint.name.as_str()) != name) {
            self.endpoints[index] = name.and_then(|name| self.shared.hosts.endpoint(name));
        }
        self.endpoints[index].clone()
    }

    /// Carries out one action of the core.
    fn execute(&mut self, output: Output) {
        let shared = self.shared.clone();
        match output {
            Output::Send { task, shot, host, kind, deadline, send_by, held } => {
                let endpoint = self.endpoint(host);
                let reader = held.as_ref().and_then(|held| self.endpoint(held.host));
                let Some(active) = self.active(task) else { return };
                let control = Arc::new(ShotControl::default());
                active.shots.push(control.clone());
                let state = held.zip(reader);
                let active_task = active.task.clone();
                let (deadline, send_by) = (shared.start + deadline, shared.start + send_by);
                let shot = shot::Shot {
                    shared,
                    id: task,
                    task: active_task,
                    number: shot,
                    host,
                    control,
                    deadline,
                    send_by,
                };
                spawn(move || shot.run(endpoint, kind, state));
            }
            Output::Cancel { task, shot } => {
                if let Some(control) = self.active(task).and_then(|active| active.shots.get(shot as usize)) {
                    control.cancel();
                }
            }
            Output::Release { held, .. } => {
                if let Some(endpoint) = self.endpoint(held.host) {
                    spawn(move || shot::release(&shared, &endpoint, &held.state));
                }
            }
            Output::Bounce { task, retry_after } => {
                let Some(active) = self.active(task) else { return };
                if active.task.close() {
                    let _ = active
                        .task
                        .inbox
                        .send(ConnectionMessage::Bounced { ticket: active.task.ticket, retry_after });
                }
            }
            Output::BreakOff { task } => {
                let Some(active) = self.active(task) else { return };
                if active.task.close() {
                    let _ = active.task.inbox.send(ConnectionMessage::Aborted { ticket: active.task.ticket });
                }
            }
            Output::Note { host, what } => {
                let name = self.core.host_name(host).unwrap_or("a host");
                shared.metrics.notes.with_label_values(&[name, what]).inc();
                tracing::info!(host = name, "{what}");
            }
            Output::FirstPossibleRun { task, run } => {
                if let Some(active) = self.active(task) {
                    active.task.set_first_possible_run(run);
                }
            }
            Output::Forget { task } => {
                if self.active(task).is_some() {
                    self.tasks[task.slot as usize] = None;
                }
            }
        }
    }
}

/// The outcome's name in metrics.
pub fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Delivered => "delivered",
        Outcome::Read => "read",
        Outcome::Full => "full",
        Outcome::NoState => "no-state",
        Outcome::Error => "error",
        Outcome::Spoilt => "spoilt",
        Outcome::Broken => "broken",
        Outcome::Stale => "stale",
        Outcome::NoConnection => "no-connection",
        Outcome::TimedOut => "timed-out",
        Outcome::Cancelled => "cancelled",
        Outcome::Moot => "never-sent",
    }
}
