//! The one owner of the decisions: takes what happened in order from a bounded queue, hands out what to do.

use crate::Shared;
use crate::front::Message;
use crate::hosts::Way;
use crate::shot;
use crate::task::{Out, Task};
use may::sync::mpsc::Receiver;
use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tulipstall::interface::Outcome;
use tulipstall_core::{Ask, Core, Input, Lines, Output, Prefix, TaskId};
use tulipstall_net::spawn;
use tulipstall_prefix::Prefixes;
use tulipstall_settings::PrefixBy;

pub enum Post {
    Arrive(Arc<Task>, Box<Ask>),
    Gone(Arc<Task>),
    /// For the decisions as it stands.
    Told(Input),
    /// Every task in hand is broken off.
    BreakAll,
    /// Somebody asks what is known; nothing is changed by it.
    Look(Look),
}

/// A question to the core, which sends its answer itself.
pub type Look = Box<dyn FnOnce(&mut Core, Duration) + Send>;

/// Lines of a record that may wait for the disk before recording gives up rather than fill the memory.
const RECORD_BACKLOG: usize = 100_000;

/// A thread writes the record: files block.
fn record(path: PathBuf) -> io::Result<Lines<impl FnMut(String) + Send>> {
    let mut file = BufWriter::new(File::create(&path)?);
    let (sender, lines) = std::sync::mpsc::sync_channel::<String>(RECORD_BACKLOG);
    std::thread::Builder::new().name("record".into()).spawn(move || {
        loop {
            let written = match lines.recv_timeout(Duration::from_millis(100)) {
                Ok(line) => writeln!(file, "{line}"),
                Err(std::sync::mpsc::RecvTimeoutError::Timeout) => file.flush(),
                Err(std::sync::mpsc::RecvTimeoutError::Disconnected) => return file.flush(),
            };
            if let Err(error) = written {
                tracing::error!(path = %path.display(), %error, "recording ends");
                return Err(error);
            }
        }
    })?;
    let mut sender = Some(sender);
    Ok(Lines(move |line: String| {
        // A record with a gap would replay to other actions: it ends instead.
        if sender.as_ref().is_some_and(|sender| sender.try_send(line).is_err()) {
            tracing::error!("the disk is too slow: recording ends");
            sender = None;
        }
    }))
}

pub fn start(shared: Arc<Shared>, posts: Receiver<Post>, record_to: Option<PathBuf>) -> io::Result<()> {
    let terms = shared.settings.terms();
    let seed = shared.settings.seed.unwrap_or(shared.run);
    let mut core = match record_to {
        Some(path) => Core::recorded(seed, terms, Box::new(record(path)?)),
        None => Core::new(seed, terms),
    };
    core.set_prefix(match shared.settings.prefixes.by {
        PrefixBy::Content => Prefix::Content(Box::new(Prefixes::new(shared.settings.prefixes.bytes))),
        PrefixBy::Table => Prefix::Table,
        PrefixBy::Nothing => Prefix::Nothing,
    });
    let mut owner =
        Owner { shared, core, tasks: Vec::new(), ways: Vec::new(), out: Vec::new(), read_tokens: 0 };
    // A thread: its waits have time-outs, which are not sound in coroutines (docs/coroutines.md).
    std::thread::Builder::new().name("owner".into()).spawn(move || owner.run(&posts))?;
    Ok(())
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
    /// As it was told last.
    read_tokens: u64,
}

impl Owner {
    fn run(&mut self, posts: &Receiver<Post>) {
        loop {
            let now = self.shared.now();
            // An hour: nothing is timed, so anything will do.
            let wait = self.core.next_timer().map_or(Duration::from_secs(3600), |at| at.saturating_sub(now));
            let post = if wait.is_zero() { posts.try_recv().ok() } else { posts.recv_timeout(wait).ok() };
            if post.is_some() {
                self.shared.posts.room.post();
            }
            let before = Instant::now();
            let mut out = std::mem::take(&mut self.out);
            self.decide(self.shared.now(), post, &mut out);
            self.shared.metrics.deciding.inc_by(before.elapsed().as_nanos() as u64);
            self.shared.metrics.events.inc();
            self.shared.metrics.overdue.set(self.core.counts().overdue as i64);
            self.tell_prefixes();
            for output in out.drain(..) {
                self.carry_out(output);
            }
            self.core.carried_out();
            self.out = out;
        }
    }

    /// What reads bore out of the index, where that has changed.
    fn tell_prefixes(&mut self) {
        let counts = self.core.counts();
        if counts.read_tokens == self.read_tokens {
            return;
        }
        self.read_tokens = counts.read_tokens;
        for (what, count) in [
            ("read", counts.read_tokens),
            ("thought", counts.thought_tokens),
            ("found", counts.found_tokens),
            ("hosts forgot", counts.forgot),
        ] {
            self.shared.metrics.prefixes.with_label_values(&[what]).set(count as i64);
        }
    }

    fn decide(&mut self, now: Duration, post: Option<Post>, out: &mut Vec<Output>) {
        let input = match post {
            None => Input::Tick,
            Some(Post::Arrive(task, ask)) => return self.arrive(now, task, &ask, out),
            Some(Post::Gone(task)) => match task.id() {
                Some(id) => Input::Gone { task: id },
                None => return,
            },
            Some(Post::Told(input)) => input,
            Some(Post::BreakAll) => return self.break_all(now, out),
            Some(Post::Look(look)) => return look(&mut self.core, now),
        };
        if let Input::Closed { outcome, .. } = &input {
            self.shared.metrics.shots.with_label_values(&[outcome_name(*outcome)]).inc();
        }
        self.core.on(now, input, out);
    }

    fn arrive(&mut self, now: Duration, task: Arc<Task>, ask: &Ask, out: &mut Vec<Output>) {
        self.core.on(now, Input::Tick, out);
        let id = self.core.enter();
        task.set_id(id);
        let place = id.place as usize;
        self.tasks.resize_with(self.tasks.len().max(place + 1), || None);
        self.tasks[place] = Some(InHand { id, task, shots: Vec::new() });
        // What it goes on with has been closed before: that was told by the same coroutine. It binds whatever goes on
        // with this one too: a second loss must not lead out of the first one's group.
        let held = self.tasks[place].as_ref();
        let ran = held.and_then(|held| {
            let ran = held.task.goes_on.as_ref()?.ran()?;
            held.task.set_ran(ran);
            Some(ran)
        });
        self.core.arrive(now, id, &Ask { ran, ..ask.clone() }, out);
    }

    fn break_all(&mut self, now: Duration, out: &mut Vec<Output>) {
        let all: Vec<TaskId> = self.tasks.iter().flatten().map(|held| held.id).collect();
        for id in all {
            let Some(held) = self.held(id) else { continue };
            if held.task.close() {
                let _ = held.task.inbox.send(Message::BrokenOff { ticket: held.task.ticket });
            } else {
                held.shots.iter().for_each(|shot| shot.shut());
            }
            self.core.on(now, Input::Gone { task: id }, out);
        }
    }

    fn held(&mut self, id: TaskId) -> Option<&mut InHand> {
        self.tasks.get_mut(id.place as usize)?.as_mut().filter(|held| held.id == id)
    }

    /// The way to a host, by its index.
    fn way(&mut self, host: u32) -> Option<Arc<Way>> {
        let at = host as usize;
        self.ways.resize_with(self.ways.len().max(at + 1), || None);
        let name = self.core.host_name(host);
        // A place may have a new owner.
        if self.ways[at].as_ref().is_none_or(|way| Some(way.name.as_str()) != name) {
            self.ways[at] = name.and_then(|name| self.shared.hosts.way(name));
        }
        self.ways[at].clone()
    }

    fn carry_out(&mut self, output: Output) {
        let shared = self.shared.clone();
        match output {
            Output::Send { task, shot, host, errand, until, begin_by, held } => {
                let way = self.way(host);
                let from = held.as_ref().and_then(|held| self.way(held.host));
                let Some(in_hand) = self.held(task) else { return };
                let out = Arc::new(Out::default());
                in_hand.shots.push(out.clone());
                let state = held.zip(from);
                let about = in_hand.task.clone();
                let (until, begin_by) = (shared.start + until, shared.start + begin_by);
                let shot =
                    shot::Shot { shared, id: task, task: about, number: shot, host, out, until, begin_by };
                spawn(move || shot.run(way, errand, state));
            }
            Output::Cancel { task, shot } => {
                if let Some(out) = self.held(task).and_then(|held| held.shots.get(shot as usize)) {
                    out.cancel();
                }
            }
            Output::Release { held, .. } => {
                if let Some(way) = self.way(held.host) {
                    spawn(move || shot::release(&shared, &way, &held.state));
                }
            }
            Output::Bounce { task, come_back } => {
                let Some(held) = self.held(task) else { return };
                if held.task.close() {
                    let _ = held.task.inbox.send(Message::Bounced { ticket: held.task.ticket, come_back });
                }
            }
            Output::BreakOff { task } => {
                let Some(held) = self.held(task) else { return };
                if held.task.close() {
                    let _ = held.task.inbox.send(Message::BrokenOff { ticket: held.task.ticket });
                }
            }
            Output::Note { host, what } => {
                let name = self.core.host_name(host).unwrap_or("a host");
                shared.metrics.notes.with_label_values(&[name, what]).inc();
                tracing::info!(host = name, "{what}");
            }
            Output::Ran { task, ran } => {
                if let Some(held) = self.held(task) {
                    held.task.set_ran(ran);
                }
            }
            Output::Forget { task } => {
                if self.held(task).is_some() {
                    self.tasks[task.place as usize] = None;
                }
            }
        }
    }
}

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
