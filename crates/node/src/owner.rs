//! The one owner of the decisions: takes events in order from a bounded queue, and carries out the resulting
//! outputs.

use crate::Shared;
use crate::attempt::Attempt;
use crate::front::Message;
use crate::hosts::Endpoint;
use crate::release::{Held, Release};
use crate::task::{ShotHandle, Task};
use may::sync::mpsc::Receiver;
use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;
use tulipstall::interface::HostEstimate;
use tulipstall_core::{Core, Input, Output, ShotKind, TaskId};
use tulipstall_net::spawn;

/// Messages to the owner of the decisions.
pub enum OwnerMessage {
    TaskArrived(Arc<Task>),
    ClientGone(Arc<Task>),
    /// Changes of the host list are pending.
    HostsChanged,
    /// An input for the decisions, passed on unchanged.
    Input(Input),
}

/// Starts the thread that owns the decisions.
pub fn start(
    shared: Arc<Shared>,
    messages: Receiver<OwnerMessage>,
    core: Core,
) -> io::Result<JoinHandle<()>> {
    let mut owner = Owner {
        shared,
        core,
        tasks: Vec::new(),
        endpoints: Vec::new(),
        outputs: Vec::new(),
        estimates_logged_at: Duration::ZERO,
        hosts_changed: false,
        next_list_at: Duration::ZERO,
    };
    // A thread: its waits have time-outs, which are not sound in coroutines (docs/coroutines.md).
    std::thread::Builder::new().name("owner".into()).spawn(move || owner.run(&messages))
}

/// A task that the core tracks, with the handles of its shots.
struct TrackedTask {
    id: TaskId,
    task: Arc<Task>,
    shots: Vec<Arc<ShotHandle>>,
}

struct Owner {
    shared: Arc<Shared>,
    core: Core,
    tasks: Vec<Option<TrackedTask>>,
    endpoints: Vec<Option<Arc<Endpoint>>>,
    outputs: Vec<Output>,
    /// When the host estimates were last logged.
    estimates_logged_at: Duration,
    /// Changes of the host list are pending.
    hosts_changed: bool,
    /// When the next changes of the host list are passed on, so that requests, outcomes and timers get most of
    /// the time.
    next_list_at: Duration,
}

/// Pause between two lists, as a multiple of the time that the first one took.
const LIST_PAUSE_FACTOR: u32 = 4;

/// Limit of that pause: connections to hosts that drain or are gone are closed before it begins.
const MAX_LIST_PAUSE: Duration = Duration::from_millis(50);

/// Wait for a message while nothing is due: any wait will do.
const IDLE_WAIT: Duration = Duration::from_secs(3600);

/// Interval between log lines of the host estimates.
const ESTIMATE_LOG_INTERVAL: Duration = Duration::from_secs(1);

impl Owner {
    fn run(&mut self, messages: &Receiver<OwnerMessage>) {
        loop {
            let wait = self.time_to_next_event();
            let message =
                if wait.is_zero() { messages.try_recv().ok() } else { messages.recv_timeout(wait).ok() };
            if message.is_some() {
                self.shared.owner_queue.free_slots.release();
            }
            self.step(message);
            self.take_host_changes();
            self.log_host_estimates();
        }
    }

    /// Time until the next timer or list is due.
    fn time_to_next_event(&self) -> Duration {
        let next_list = self.hosts_changed.then_some(self.next_list_at);
        let next = [self.core.next_timer(), next_list].into_iter().flatten().min();
        next.map_or(IDLE_WAIT, |at| at.saturating_sub(self.shared.now()))
    }

    /// Passes on one message, or the timers that are due, and carries out what is decided.
    fn step(&mut self, message: Option<OwnerMessage>) {
        let mut outputs = std::mem::take(&mut self.outputs);
        self.decide(self.shared.now(), message, &mut outputs);
        for output in outputs.drain(..) {
            self.carry_out(output);
        }
        self.core.outputs_carried_out();
        self.outputs = outputs;
    }

    /// Passes on the pending changes of the host list once they are due. A complete list is due at once.
    fn take_host_changes(&mut self) {
        let started = self.shared.now();
        let is_due = started >= self.next_list_at || self.shared.host_changes.is_complete();
        if !(self.hosts_changed && is_due) {
            return;
        }
        self.hosts_changed = false;
        let Some(list) = self.shared.host_changes.take() else { return };
        self.step(Some(OwnerMessage::Input(list)));
        let ended = self.shared.now();
        let pause = ((ended - started) * LIST_PAUSE_FACTOR).min(MAX_LIST_PAUSE);
        self.next_list_at = ended + pause;
        tracing::debug!(took_us = (ended - started).as_micros() as u64, "host list applied");
    }

    /// Logs the decisions' estimates of each host, next to the attempts that are in flight on its sockets,
    /// if debug lines are enabled.
    fn log_host_estimates(&mut self) {
        let now = self.shared.now();
        if now < self.estimates_logged_at + ESTIMATE_LOG_INTERVAL || !tracing::enabled!(tracing::Level::DEBUG)
        {
            return;
        }
        self.estimates_logged_at = now;
        for (host, estimate) in self.core.host_estimates(now) {
            let Some(Some(endpoint)) = self.endpoints.get(host as usize) else { continue };
            let (name, out) = (&endpoint.name, endpoint.in_flight.load(Ordering::Relaxed));
            let HostEstimate {
                shots_in_progress: shots,
                pending_read_tokens: reading,
                stream_tokens: writing,
                suspicion: doubt,
                slowdown: slow,
            } = estimate;
            let zone = endpoint.zone;
            tracing::debug!(host = name, zone, shots, out, reading, writing, doubt, slow, "host estimates");
        }
    }

    fn decide(&mut self, now: Duration, message: Option<OwnerMessage>, outputs: &mut Vec<Output>) {
        let input = match message {
            None => Input::Tick,
            Some(OwnerMessage::TaskArrived(task)) => return self.start_task(now, task, outputs),
            Some(OwnerMessage::ClientGone(task)) => match task.id() {
                Some(id) => Input::ClientGone { task: id },
                None => return,
            },
            Some(OwnerMessage::HostsChanged) => {
                self.hosts_changed = true;
                Input::Tick
            }
            Some(OwnerMessage::Input(input)) => input,
        };
        self.core.handle(now, input, outputs);
    }

    fn start_task(&mut self, now: Duration, task: Arc<Task>, outputs: &mut Vec<Output>) {
        self.core.handle(now, Input::Tick, outputs);
        let id = self.core.reserve_slot();
        task.set_id(id);
        let slot = id.slot as usize;
        self.tasks.resize_with(self.tasks.len().max(slot + 1), || None);
        self.tasks[slot] = Some(TrackedTask { id, task: task.clone(), shots: Vec::new() });
        self.core.start_task(now, id, &task.request, outputs);
    }

    fn tracked_task(&mut self, id: TaskId) -> Option<&mut TrackedTask> {
        self.tasks.get_mut(id.slot as usize)?.as_mut().filter(|tracked| tracked.id == id)
    }

    /// The endpoint of a host, by its index.
    fn endpoint(&mut self, host: u32) -> Option<Arc<Endpoint>> {
        let index = host as usize;
        self.endpoints.resize_with(self.endpoints.len().max(index + 1), || None);
        let name = self.core.host_name(host);
        // A host that returned at another address has another endpoint, and an index may have been reused.
        if self.endpoints[index]
            .as_ref()
            .is_none_or(|endpoint| !endpoint.is_open() || Some(endpoint.name.as_str()) != name)
        {
            self.endpoints[index] = name.and_then(|name| self.shared.hosts.endpoint(name));
        }
        self.endpoints[index].clone()
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::Send { task, shot, host, kind, deadline, send_by, .. } => {
                let endpoint = self.endpoint(host);
                let shared = self.shared.clone();
                let Some(tracked) = self.tracked_task(task) else { return };
                let handle = Arc::new(ShotHandle::default());
                tracked.shots.push(handle.clone());
                let (shot_task, reads) = (tracked.task.clone(), kind == ShotKind::Read);
                let (deadline, send_by) = (shared.start + deadline, shared.start + send_by);
                let attempt = Attempt {
                    shared,
                    id: task,
                    task: shot_task,
                    number: shot,
                    host,
                    reads,
                    handle,
                    deadline,
                    send_by,
                };
                spawn(move || attempt.run(endpoint));
            }
            Output::Cancel { task, shot } => {
                if let Some(handle) =
                    self.tracked_task(task).and_then(|tracked| tracked.shots.get(shot as usize))
                {
                    handle.cancel();
                }
            }
            // A held state is identified by the id of its request.
            Output::Release { held, confirmed, reason } => {
                let server = self.core.host_name(held.host).unwrap_or_default().to_owned();
                let release =
                    Release::new(self.shared.clone(), Held { id: held.state, server, confirmed }, reason);
                spawn(move || release.run());
            }
            Output::Bounce { task, retry_after } => {
                let Some(tracked) = self.tracked_task(task) else { return };
                if tracked.task.close() {
                    let _ = tracked.task.inbox.send(Message::Bounced { id: task, retry_after });
                }
            }
            Output::BreakOff { task } => {
                let Some(tracked) = self.tracked_task(task) else { return };
                if tracked.task.close() {
                    let (id, attempts) = (&tracked.task.call.id, tracked.shots.len());
                    let ms = tracked.task.arrived.elapsed().as_millis() as u64;
                    tracing::info!(id, attempts, ms, "broken off: an attempt may have run");
                    let _ = tracked.task.inbox.send(Message::BrokenOff { id: task });
                }
            }
            Output::FirstPossibleRun { .. } => {}
            Output::Note { host, what } => {
                tracing::info!(host = self.core.host_name(host).unwrap_or("a host"), "{what}");
            }
            Output::Forget { task } => {
                if self.tracked_task(task).is_some() {
                    self.tasks[task.slot as usize] = None;
                    self.shared.unsettled.fetch_sub(1, Ordering::SeqCst);
                }
            }
        }
    }
}
