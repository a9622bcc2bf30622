//! One attempt (shot) at one host, from connecting to the outcome that its end proves. Nothing is retried
//! here: what follows an end is decided by the rules.

use crate::front::Message;
use crate::hosts::Way;
use crate::owner::Post;
use crate::task::{Out, Task};
use crate::{Shared, lock};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tulipstall::interface::Outcome;
use tulipstall_core::{End, Input, TaskId};
use tulipstall_net::{Fault, Link, Reply, sockets_held};
use tulipstall_platform::host::{self, ANSWER, Events, Says};
use tulipstall_platform::kept::Kept;
use tulipstall_platform::{patience, release};

pub struct Attempt {
    pub shared: Arc<Shared>,
    pub id: TaskId,
    pub task: Arc<Task>,
    pub number: u32,
    pub host: u32,
    pub reads: bool,
    pub out: Arc<Out>,
    pub until: Instant,
    pub begin_by: Instant,
}

/// A stream whose first event has arrived, handed to the client's coroutine with everything needed to end it.
pub struct Begun {
    pub attempt: Closing,
    pub way: Arc<Way>,
    pub reply: Reply,
    pub events: Events,
    /// Events that have been received and not yet passed on.
    pub bytes: Vec<u8>,
    pub ended: bool,
}

/// Reports the end of an attempt to the decisions, exactly once: dropped without a report, as by a panic, it
/// reports the attempt as broken.
pub struct Closing {
    shared: Arc<Shared>,
    id: TaskId,
    number: u32,
    told: bool,
    /// The endpoint that the attempt is counted at as in flight.
    at: Option<Arc<Way>>,
}

impl Closing {
    /// Counts the attempt as in flight: its request is written after this.
    fn is_out(&mut self, way: &Arc<Way>) {
        way.out.fetch_add(1, Ordering::Relaxed);
        self.at = Some(way.clone());
    }

    pub fn close(mut self, outcome: Outcome, end: End) {
        self.tell(outcome, end);
    }

    fn tell(&mut self, outcome: Outcome, end: End) {
        self.told = true;
        if let Some(way) = self.at.take() {
            way.out.fetch_sub(1, Ordering::Relaxed);
        }
        let (task, shot) = (self.id, self.number);
        self.shared.posts.post(Post::Told(Input::Closed { task, shot, outcome, end }));
    }
}

impl Drop for Closing {
    fn drop(&mut self) {
        if !self.told {
            self.tell(Outcome::Broken, End::default());
        }
    }
}

enum Done {
    Ended(Outcome, End),
    Begins(Box<(Reply, Events, Vec<u8>, bool)>),
}

/// Outcome without an answer, or with one that cannot be read: the host may have started.
fn unanswered(fault: Fault) -> Outcome {
    match fault {
        Fault::TimedOut => Outcome::TimedOut,
        Fault::Rubbish => Outcome::Spoilt,
        Fault::Broken | Fault::NoConnection | Fault::OwnMachine => Outcome::Broken,
    }
}

/// Outcome without a connection: provably nothing has run. The host is blamed only for its own faults.
fn unconnected(fault: Fault) -> Outcome {
    if fault == Fault::OwnMachine { Outcome::Moot } else { Outcome::NoConnection }
}

/// Delay before another try to connect after a local shortage.
const AGAIN: Duration = Duration::from_millis(10);

/// For how long a local shortage is retried.
const AGAIN_FOR: Duration = Duration::from_millis(50);

fn left(until: Instant) -> Duration {
    until.saturating_duration_since(Instant::now())
}

impl Shared {
    /// A pooled connection to a host that is worth using, and how long it was idle.
    fn kept(&self, way: &Way) -> Option<(Link, Duration)> {
        let now = self.now();
        way.pool.idle_if(|idle| lock(&self.kept).trusts(now, idle))
    }

    /// A pooled connection, with its idle time; otherwise a new one.
    pub fn link(&self, way: &Way, within: Duration) -> Result<(Link, Option<Duration>), Fault> {
        match self.kept(way) {
            Some((link, idle)) => Ok((link, Some(idle))),
            None => Ok((self.new_link(way, within)?, None)),
        }
    }

    /// A new connection. A local shortage of descriptors or ports may pass in a moment, so connecting is
    /// retried, but only for a short time: a long delay would make the host appear slow.
    pub fn new_link(&self, way: &Way, within: Duration) -> Result<Link, Fault> {
        let within = self.connect.min(within);
        let (until, again_until) = (Instant::now() + within, Instant::now() + within.min(AGAIN_FOR));
        loop {
            let link = Link::connect(&way.address(), left(until));
            if !matches!(link, Err(Fault::OwnMachine)) {
                return link;
            }
            if left(again_until).is_zero() {
                return Err(Fault::OwnMachine);
            }
            tracing::debug!(host = way.name, "no connection for want of something of the own machine");
            tulipstall_net::sleep(AGAIN);
            if left(until).is_zero() {
                return Err(Fault::OwnMachine);
            }
        }
    }

    /// Whether an attempt can get a connection. Closes the idle ones if there is no descriptor left for a new
    /// one.
    fn has_room(&self, way: &Way) -> bool {
        let room = || self.room.connects(sockets_held());
        way.pool.any() || room() || {
            self.hosts.clear();
            room()
        }
    }
}

/// Returns a connection to the pool once its answer has ended properly.
pub fn give_back(shared: &Shared, way: &Way, reply: Reply) {
    if reply.reader.reusable() {
        shared.hosts.keep(shared, way, reply.link);
    }
}

impl Attempt {
    pub fn run(self, way: Option<Arc<Way>>) {
        let (shared, id, number) = (self.shared.clone(), self.id, self.number);
        let mut closing = Closing { shared, id, number, told: false, at: None };
        let Some(way) = way else { return closing.close(Outcome::Moot, End::default()) };
        let sent = Instant::now();
        let done = self.shoot(&way, &mut closing);
        self.out.hold(None);
        match done {
            Ok(Done::Ended(outcome, end)) => {
                self.note(&way, outcome, sent, end.kept_tokens);
                closing.close(outcome, end);
            }
            Err(outcome) => {
                let outcome = self.seen(outcome);
                self.note(&way, outcome, sent, 0);
                // The host may have read the prompt all the same, and then it holds a state.
                let state = (self.reads && !outcome.never_ran()).then(|| self.task.call.id.clone());
                closing.close(outcome, End { state, host: self.host, ..End::default() });
            }
            Ok(Done::Begins(begins)) => {
                if !self.out.begin() || !self.task.take(self.number) {
                    // Another answer was first: this one is discarded, and the end of its connection informs
                    // the writer.
                    begins.0.link.shut();
                    return closing.close(Outcome::Cancelled, End::default());
                }
                self.note(&way, Outcome::Delivered, sent, 0);
                self.shared.posts.post(Post::Told(Input::Began { task: self.id, shot: self.number }));
                let (reply, events, bytes, ended) = *begins;
                let begun = Begun { attempt: closing, way, reply, events, bytes, ended };
                let _ = self.task.inbox.send(Message::Begun { id: self.id, begun: Box::new(begun) });
            }
        }
    }

    fn note(&self, way: &Way, outcome: Outcome, sent: Instant, kept: u32) {
        if let Some(it_does) = release::answers(outcome) {
            way.answers(it_does);
        }
        let (ms, after) = (sent.elapsed().as_millis() as u64, (sent - self.task.arrived).as_millis() as u64);
        let (id, host) = (&self.task.call.id, &way.name);
        tracing::debug!(
            id,
            shot = self.number,
            host,
            reads = self.reads,
            ?outcome,
            after,
            ms,
            kept,
            "attempt ended"
        );
    }

    /// The outcome to report: a cancelled attempt ends as cancelled, whatever its socket returned.
    fn seen(&self, outcome: Outcome) -> Outcome {
        match outcome {
            Outcome::Moot | Outcome::NoConnection => outcome,
            _ if self.out.cancelled() => Outcome::Cancelled,
            _ => outcome,
        }
    }

    /// Whether the client has disconnected, read from its connection directly: on a loaded core the coroutine
    /// that reads there may not have been scheduled yet. If so the task is ended.
    fn client_is_gone(&self) -> bool {
        let gone = self.task.client_is_gone();
        if gone && self.task.close() {
            self.shared.posts.post(Post::Gone(self.task.clone()));
            let _ = self.task.inbox.send(Message::Gone { id: self.id });
        }
        gone
    }

    fn shoot(&self, way: &Arc<Way>, closing: &mut Closing) -> Result<Done, Outcome> {
        // Drained or removed since the decision, or cancelled: provably never sent.
        let may = || (way.open() && !self.out.cancelled()).then_some(()).ok_or(Outcome::Moot);
        may()?;
        let within = left(self.until.min(self.begin_by));
        if within.is_zero() || !self.shared.has_room(way) {
            return Err(Outcome::Moot);
        }
        let (link, idle) = self.shared.link(way, within).map_err(unconnected)?;
        self.out.hold(Some(&link));
        may()?;
        let task = &self.task;
        let request = {
            let Some(body) = task.body() else { return Err(Outcome::Moot) };
            host::request(&task.call, left(self.until), &body)
        };
        if self.client_is_gone() || left(self.begin_by).is_zero() {
            return Err(Outcome::Moot);
        }
        closing.is_out(way);
        // Nobody runs a request before its last byte is written.
        link.write(&request, self.until.min(self.begin_by)).map_err(|_| Outcome::NoConnection)?;
        let (id, bytes, idle_ms) = (&task.call.id, request.len(), idle.map(|idle| idle.as_millis() as u64));
        tracing::debug!(id, attempt = self.number, host = way.name, bytes, idle_ms, "attempt written");
        drop(request);
        let (written, mut reply) = (Instant::now(), Reply::new(link, ANSWER));
        let head = reply.head_begun(self.until, patience::BEGUN);
        let broke = matches!(head, Err(Fault::Broken));
        let lost = broke && !reply.reader.any() && Kept::was_lost(written.elapsed());
        if let Some(idle) = idle
            && !self.out.cancelled()
        {
            lock(&self.shared.kept).used(self.shared.now(), idle, lost);
            if lost {
                // It may have run all the same; the host is not blamed for a fault of the connection.
                return Err(Outcome::Stale);
            }
        }
        let head = head.map_err(unanswered)?;
        match host::says(&head) {
            Says::Streams => self.first_event(reply),
            Says::Read => {
                let body = reply.whole_body(self.until).map_err(unanswered)?;
                give_back(&self.shared, way, reply);
                let Some(kept_tokens) = host::kept(&body) else { return Err(Outcome::Error) };
                let state = Some(task.call.id.clone());
                let (prompt_tokens, host) = (task.ask.prompt_tokens, self.host);
                let end = End { kept_tokens, prompt_tokens, state, host, ..End::default() };
                Ok(Done::Ended(Outcome::Read, end))
            }
            Says::Ended(outcome) => {
                // The head is enough for an answer: no task waits for the rest, which may never arrive.
                if reply.reader.body(&mut Vec::new()).is_ok_and(|ended| ended) {
                    give_back(&self.shared, way, reply);
                }
                Err(outcome)
            }
        }
    }

    fn first_event(&self, mut reply: Reply) -> Result<Done, Outcome> {
        let (mut events, mut bytes, mut got) = (Events::default(), Vec::new(), Vec::new());
        let by = self.until.min(Instant::now() + patience::BEGUN);
        loop {
            got.clear();
            // The head of the answer has arrived, so the attempt has run: whatever happens to the rest, its
            // state is gone.
            let ended = reply.body(&mut got, by).map_err(|_| Outcome::Spoilt)?;
            events.take(&got, &mut bytes).map_err(|_| Outcome::Spoilt)?;
            if events.any {
                return Ok(Done::Begins(Box::new((reply, events, bytes, ended))));
            }
            if ended {
                return Err(Outcome::Spoilt);
            }
        }
    }
}
