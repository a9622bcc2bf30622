//! The one owner of the decisions: takes events in order from a bounded queue, and carries out the resulting
//! outputs.

use crate::Shared;
use crate::attempt::Attempt;
use crate::front::Message;
use crate::hosts::Way;
use crate::release::{Held, Release};
use crate::task::{Out, Task};
use may::sync::mpsc::Receiver;
use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;
use tulipstall::interface::Belief;
use tulipstall_core::{Core, Errand, Input, Output, TaskId};
use tulipstall_net::spawn;

pub enum Post {
    Arrive(Arc<Task>),
    Gone(Arc<Task>),
    /// An input for the decisions, passed on unchanged.
    Told(Input),
}

pub fn start(shared: Arc<Shared>, posts: Receiver<Post>, core: Core) -> io::Result<JoinHandle<()>> {
    let mut owner = Owner {
        shared,
        core,
        tasks: Vec::new(),
        ways: Vec::new(),
        out: Vec::new(),
        compared: Duration::ZERO,
    };
    // A thread: its waits have time-outs, which are not sound in coroutines (docs/coroutines.md).
    std::thread::Builder::new().name("owner".into()).spawn(move || owner.run(&posts))
}

struct InHand {
    id: TaskId,
    task: Arc<Task>,
    shots: Vec<Arc<Out>>,
}

struct Owner {
    shared: Arc<Shared>,
    core: Core,
    tasks: Vec<Option<InHand>>,
    ways: Vec<Option<Arc<Way>>>,
    out: Vec<Output>,
    /// When the beliefs were last logged.
    compared: Duration,
}

/// Interval between log lines of the beliefs.
const COMPARE: Duration = Duration::from_secs(1);

impl Owner {
    fn run(&mut self, posts: &Receiver<Post>) {
        loop {
            let now = self.shared.now();
            // An hour: no timer is set, so any wait will do.
            let wait = self.core.next_timer().map_or(Duration::from_secs(3600), |at| at.saturating_sub(now));
            let post = if wait.is_zero() { posts.try_recv().ok() } else { posts.recv_timeout(wait).ok() };
            if post.is_some() {
                self.shared.posts.room.post();
            }
            let mut out = std::mem::take(&mut self.out);
            self.decide(self.shared.now(), post, &mut out);
            for output in out.drain(..) {
                self.carry_out(output);
            }
            self.core.carried_out();
            self.compare();
            self.out = out;
        }
    }

    /// Logs what the decisions believe of each host, next to the attempts that are in flight on its sockets,
    /// if debug lines are enabled.
    fn compare(&mut self) {
        let now = self.shared.now();
        if now < self.compared + COMPARE || !tracing::enabled!(tracing::Level::DEBUG) {
            return;
        }
        self.compared = now;
        for (host, belief) in self.core.beliefs(now) {
            let Some(Some(way)) = self.ways.get(host as usize) else { continue };
            let (name, out) = (&way.name, way.out.load(Ordering::Relaxed));
            let Belief { shots, reading, writing, doubt, slow } = belief;
            let zone = way.zone;
            tracing::debug!(host = name, zone, shots, out, reading, writing, doubt, slow, "beliefs");
        }
    }

    fn decide(&mut self, now: Duration, post: Option<Post>, out: &mut Vec<Output>) {
        let input = match post {
            None => Input::Tick,
            Some(Post::Arrive(task)) => return self.arrive(now, task, out),
            Some(Post::Gone(task)) => match task.place() {
                Some(id) => Input::Gone { task: id },
                None => return,
            },
            Some(Post::Told(input)) => input,
        };
        self.core.on(now, input, out);
    }

    fn arrive(&mut self, now: Duration, task: Arc<Task>, out: &mut Vec<Output>) {
        self.core.on(now, Input::Tick, out);
        let id = self.core.enter();
        task.set_place(id);
        let place = id.place as usize;
        self.tasks.resize_with(self.tasks.len().max(place + 1), || None);
        self.tasks[place] = Some(InHand { id, task: task.clone(), shots: Vec::new() });
        self.core.arrive(now, id, &task.ask, out);
    }

    fn held(&mut self, id: TaskId) -> Option<&mut InHand> {
        self.tasks.get_mut(id.place as usize)?.as_mut().filter(|held| held.id == id)
    }

    /// The endpoint of a host, by its index.
    fn way(&mut self, host: u32) -> Option<Arc<Way>> {
        let at = host as usize;
        self.ways.resize_with(self.ways.len().max(at + 1), || None);
        let name = self.core.host_name(host);
        // A host that returned at another address has another endpoint, and an index may have been reused.
        if self.ways[at].as_ref().is_none_or(|way| !way.open() || Some(way.name.as_str()) != name) {
            self.ways[at] = name.and_then(|name| self.shared.hosts.way(name));
        }
        self.ways[at].clone()
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::Send { task, shot, host, errand, until, begin_by, .. } => {
                let way = self.way(host);
                let shared = self.shared.clone();
                let Some(in_hand) = self.held(task) else { return };
                let out = Arc::new(Out::default());
                in_hand.shots.push(out.clone());
                let (about, reads) = (in_hand.task.clone(), errand == Errand::Read);
                let (until, begin_by) = (shared.start + until, shared.start + begin_by);
                let attempt = Attempt {
                    shared,
                    id: task,
                    task: about,
                    number: shot,
                    host,
                    reads,
                    out,
                    until,
                    begin_by,
                };
                spawn(move || attempt.run(way));
            }
            Output::Cancel { task, shot } => {
                if let Some(out) = self.held(task).and_then(|held| held.shots.get(shot as usize)) {
                    out.cancel();
                }
            }
            // A state has the id of its task.
            Output::Release { held, sure, reason } => {
                let server = self.core.host_name(held.host).unwrap_or_default().to_owned();
                let release =
                    Release::new(self.shared.clone(), Held { id: held.state, server, sure }, reason);
                spawn(move || release.run());
            }
            Output::Bounce { task, come_back } => {
                let Some(held) = self.held(task) else { return };
                if held.task.close() {
                    let _ = held.task.inbox.send(Message::Bounced { id: task, come_back });
                }
            }
            Output::BreakOff { task } => {
                let Some(held) = self.held(task) else { return };
                if held.task.close() {
                    let (id, attempts) = (&held.task.call.id, held.shots.len());
                    let ms = held.task.arrived.elapsed().as_millis() as u64;
                    tracing::info!(id, attempts, ms, "broken off: an attempt may have run");
                    let _ = held.task.inbox.send(Message::BrokenOff { id: task });
                }
            }
            Output::Ran { .. } => {}
            Output::Note { host, what } => {
                tracing::info!(host = self.core.host_name(host).unwrap_or("a host"), "{what}");
            }
            Output::Forget { task } => {
                if self.held(task).is_some() {
                    self.tasks[task.place as usize] = None;
                    self.shared.unsettled.fetch_sub(1, Ordering::SeqCst);
                }
            }
        }
    }
}
