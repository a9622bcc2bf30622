//! One attempt (shot) at one host, from connecting to the outcome that its end proves. Nothing is retried
//! here: what follows an end is decided by the rules.

use crate::front::Message;
use crate::hosts::Endpoint;
use crate::owner::OwnerMessage;
use crate::task::{ShotHandle, Task};
use crate::{Shared, lock};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tulipstall::interface::Outcome;
use tulipstall_core::{Input, ShotReport, TaskId};
use tulipstall_net::{Fault, Link, Reply, open_sockets};
use tulipstall_platform::host::{self, ANSWER_LIMITS, AnswerKind, EventSplitter};
use tulipstall_platform::reuse::ReuseHistory;
use tulipstall_platform::{release, timeouts};

/// One attempt of a task at one host.
pub struct Attempt {
    pub shared: Arc<Shared>,
    pub id: TaskId,
    pub task: Arc<Task>,
    /// Number of the attempt within its task.
    pub number: u32,
    /// Index of the host in the decisions.
    pub host: u32,
    /// Whether it only reads the prompt.
    pub reads: bool,
    pub handle: Arc<ShotHandle>,
    /// Time limit for the whole attempt.
    pub deadline: Instant,
    /// Latest time at which its request may be written.
    pub send_by: Instant,
}

/// A stream whose first event has arrived, handed to the client's coroutine with everything needed to end it.
pub struct BegunStream {
    pub reporter: EndReporter,
    pub endpoint: Arc<Endpoint>,
    pub reply: Reply,
    pub events: EventSplitter,
    /// Events that have been received and not yet passed on.
    pub bytes: Vec<u8>,
    pub ended: bool,
}

/// Reports the end of an attempt to the decisions, exactly once: dropped without a report, as by a panic, it
/// reports the attempt as broken.
pub struct EndReporter {
    shared: Arc<Shared>,
    id: TaskId,
    number: u32,
    reported: bool,
    /// The endpoint that the attempt is counted at as in flight.
    in_flight_at: Option<Arc<Endpoint>>,
}

impl EndReporter {
    /// Counts the attempt as in flight: its request is written after this.
    fn mark_in_flight(&mut self, endpoint: &Arc<Endpoint>) {
        endpoint.in_flight.fetch_add(1, Ordering::Relaxed);
        self.in_flight_at = Some(endpoint.clone());
    }

    pub fn close(mut self, outcome: Outcome, end: ShotReport) {
        self.report(outcome, end);
    }

    fn report(&mut self, outcome: Outcome, end: ShotReport) {
        self.reported = true;
        if let Some(endpoint) = self.in_flight_at.take() {
            endpoint.in_flight.fetch_sub(1, Ordering::Relaxed);
        }
        let (task, shot) = (self.id, self.number);
        self.shared.owner_queue.send(OwnerMessage::Input(Input::Closed { task, shot, outcome, end }));
    }
}

impl Drop for EndReporter {
    fn drop(&mut self) {
        if !self.reported {
            self.report(Outcome::Broken, ShotReport::default());
        }
    }
}

enum ShotResult {
    Ended(Outcome, ShotReport),
    /// The reply, its events, the bytes not yet passed on, and whether the answer has ended.
    StreamBegun(Box<(Reply, EventSplitter, Vec<u8>, bool)>),
}

/// Outcome without an answer, or with one that cannot be read: the host may have started. Without a whole head, nothing
/// proves that the attempt has fetched a state.
fn outcome_without_answer(fault: Fault) -> Outcome {
    match fault {
        Fault::TimedOut => Outcome::TimedOut,
        Fault::Malformed => Outcome::Error,
        Fault::Broken | Fault::NoConnection | Fault::LocalMachine => Outcome::Broken,
    }
}

/// Outcome without a connection: provably nothing has run. The host is blamed only for its own faults.
fn outcome_without_connection(fault: Fault) -> Outcome {
    if fault == Fault::LocalMachine { Outcome::Moot } else { Outcome::NoConnection }
}

/// Delay before another try to connect after a local shortage.
const LOCAL_RETRY_DELAY: Duration = Duration::from_millis(10);

/// For how long a local shortage is retried.
const LOCAL_RETRY_WINDOW: Duration = Duration::from_millis(50);

/// How often an attempt looks whether its client's input has been read.
const CLIENT_INPUT_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Bytes of a body that are copied behind the request's head, to be sent with it.
const MAX_COPIED_BODY_BYTES: usize = 32 << 10;

fn time_left(until: Instant) -> Duration {
    until.saturating_duration_since(Instant::now())
}

impl Shared {
    /// A pooled connection that is worth using, and how long it was idle.
    fn pooled_link(&self, endpoint: &Endpoint) -> Option<(Link, Duration)> {
        let now = self.now();
        endpoint.pool.take_idle_if(|idle| lock(&self.reuse_history).worth_using(now, idle))
    }

    /// A pooled connection, with its idle time; otherwise a new one.
    pub fn link(&self, endpoint: &Endpoint, within: Duration) -> Result<(Link, Option<Duration>), Fault> {
        match self.pooled_link(endpoint) {
            Some((link, idle)) => Ok((link, Some(idle))),
            None => Ok((self.new_link(endpoint, within)?, None)),
        }
    }

    /// A new connection. A local shortage of descriptors or ports may pass in a moment, so connecting is
    /// retried, but only for a short time: a long delay would make the host appear slow.
    pub fn new_link(&self, endpoint: &Endpoint, within: Duration) -> Result<Link, Fault> {
        let within = self.connect_timeout.min(within);
        let (until, retry_until) = (Instant::now() + within, Instant::now() + within.min(LOCAL_RETRY_WINDOW));
        loop {
            let link = Link::connect(&endpoint.address(), time_left(until));
            if !matches!(link, Err(Fault::LocalMachine)) {
                return link;
            }
            if time_left(retry_until).is_zero() {
                return Err(Fault::LocalMachine);
            }
            tracing::debug!(host = endpoint.name, "no connection: local resources exhausted, retrying");
            tulipstall_net::sleep(LOCAL_RETRY_DELAY);
            if time_left(until).is_zero() {
                return Err(Fault::LocalMachine);
            }
        }
    }

    /// Whether an attempt can get a connection. Closes the idle ones if there is no descriptor left for a new
    /// one.
    fn can_connect(&self, endpoint: &Endpoint) -> bool {
        let within_budget = || self.socket_budget.may_connect(open_sockets());
        endpoint.pool.has_idle() || within_budget() || {
            self.hosts.close_idle();
            within_budget()
        }
    }
}

/// Returns a connection to the pool once its answer has ended properly.
pub fn return_to_pool(shared: &Shared, endpoint: &Endpoint, reply: Reply) {
    if reply.reader.is_reusable() {
        shared.hosts.pool_link(shared, endpoint, reply.link);
    }
}

impl Attempt {
    pub fn run(self, endpoint: Option<Arc<Endpoint>>) {
        let (shared, id, number) = (self.shared.clone(), self.id, self.number);
        let mut reporter = EndReporter { shared, id, number, reported: false, in_flight_at: None };
        let Some(endpoint) = endpoint else { return reporter.close(Outcome::Moot, ShotReport::default()) };
        let sent = Instant::now();
        let result = self.send(&endpoint, &mut reporter);
        self.handle.set_link(None);
        match result {
            Ok(ShotResult::Ended(outcome, end)) => {
                self.record_end(&endpoint, outcome, sent, end.cached_tokens);
                reporter.close(outcome, end);
            }
            Err(outcome) => {
                let outcome = self.outcome_to_report(outcome);
                self.record_end(&endpoint, outcome, sent, 0);
                // The host may have read the prompt all the same, and then it holds a state.
                let state = (self.reads && !outcome.never_ran()).then(|| self.task.call.id.clone());
                reporter.close(outcome, ShotReport { state, host: self.host, ..ShotReport::default() });
            }
            Ok(ShotResult::StreamBegun(stream)) => {
                if !self.handle.begin() || !self.task.claim(self.number) {
                    // Another answer was first: this one is discarded, and the end of its connection informs
                    // the writer.
                    stream.0.link.shut();
                    return reporter.close(Outcome::Cancelled, ShotReport::default());
                }
                self.record_end(&endpoint, Outcome::Delivered, sent, 0);
                self.shared
                    .owner_queue
                    .send(OwnerMessage::Input(Input::AnswerBegan { task: self.id, shot: self.number }));
                let (reply, events, bytes, ended) = *stream;
                let begun = BegunStream { reporter, endpoint, reply, events, bytes, ended };
                let _ = self.task.inbox.send(Message::Begun { id: self.id, begun: Box::new(begun) });
            }
        }
    }

    fn record_end(&self, endpoint: &Endpoint, outcome: Outcome, sent: Instant, cached_tokens: u32) {
        if let Some(reachable) = release::reachability(outcome) {
            endpoint.set_reachable(reachable);
        }
        let (ms, after) = (sent.elapsed().as_millis() as u64, (sent - self.task.arrived).as_millis() as u64);
        let (id, host) = (&self.task.call.id, &endpoint.name);
        tracing::debug!(
            id,
            shot = self.number,
            host,
            reads = self.reads,
            ?outcome,
            after,
            ms,
            kept = cached_tokens,
            "attempt ended"
        );
    }

    /// The outcome to report: a cancelled attempt ends as cancelled, whatever its socket returned.
    fn outcome_to_report(&self, outcome: Outcome) -> Outcome {
        match outcome {
            Outcome::Moot | Outcome::NoConnection => outcome,
            _ if self.handle.cancelled() => Outcome::Cancelled,
            _ => outcome,
        }
    }

    /// Whether the client has disconnected, read from its connection directly: on a loaded core the coroutine
    /// that reads there may not have been scheduled yet. If so the task is ended.
    fn client_is_gone(&self) -> bool {
        let gone = self.task.client_is_gone();
        if gone && self.task.close() {
            self.shared.owner_queue.send(OwnerMessage::ClientGone(self.task.clone()));
            let _ = self.task.inbox.send(Message::ClientGone { id: self.id });
        }
        gone
    }

    /// Waits until the reading coroutine has read what the client has sent: the end of the connection may stand behind it.
    fn await_client_input(&self) {
        while self.task.client_has_unread_input()
            && !self.task.client_is_gone()
            && !self.handle.cancelled()
            && !time_left(self.send_by).is_zero()
        {
            tulipstall_net::sleep(CLIENT_INPUT_POLL_INTERVAL);
        }
    }

    fn send(&self, endpoint: &Arc<Endpoint>, reporter: &mut EndReporter) -> Result<ShotResult, Outcome> {
        // Drained or removed since the decision, or cancelled: provably never sent.
        let check_open =
            || (endpoint.is_open() && !self.handle.cancelled()).then_some(()).ok_or(Outcome::Moot);
        check_open()?;
        let within = time_left(self.deadline.min(self.send_by));
        if within.is_zero() || !self.shared.can_connect(endpoint) {
            return Err(Outcome::Moot);
        }
        let (link, idle) = self.shared.link(endpoint, within).map_err(outcome_without_connection)?;
        self.handle.set_link(Some(&link));
        self.await_client_input();
        check_open()?;
        let task = &self.task;
        let Some(body) = task.body() else { return Err(Outcome::Moot) };
        let mut start = host::request_head(&task.call, time_left(self.deadline), body.len());
        // Most requests go out in one write; the rest of a large body is not copied.
        let (body_start, body_rest) = body.split_at(body.len().min(MAX_COPIED_BODY_BYTES));
        start.extend_from_slice(body_start);
        if self.client_is_gone() || time_left(self.send_by).is_zero() {
            return Err(Outcome::Moot);
        }
        reporter.mark_in_flight(endpoint);
        // Nobody runs a request before its last byte is written.
        let write_until = self.deadline.min(self.send_by);
        for part in [&start, body_rest] {
            link.write(part, write_until).map_err(|_| Outcome::NoConnection)?;
        }
        let (id, idle_ms) = (&task.call.id, idle.map(|idle| idle.as_millis() as u64));
        let bytes = start.len() + body_rest.len();
        tracing::debug!(id, attempt = self.number, host = endpoint.name, bytes, idle_ms, "attempt written");
        drop((start, body));
        let (written, mut reply) = (Instant::now(), Reply::new(link, ANSWER_LIMITS));
        let head = reply.head_within(self.deadline, timeouts::ANSWER_START_TIMEOUT);
        let broken = matches!(head, Err(Fault::Broken));
        let stale = broken && !reply.reader.has_received_data() && ReuseHistory::was_stale(written.elapsed());
        if let Some(idle) = idle
            && !self.handle.cancelled()
        {
            lock(&self.shared.reuse_history).record_use(self.shared.now(), idle, stale);
            if stale {
                // It may have run all the same; the host is not blamed for a fault of the connection.
                return Err(Outcome::Stale);
            }
        }
        let head = head.map_err(outcome_without_answer)?;
        match host::classify(&head) {
            AnswerKind::Stream => self.first_event(reply),
            AnswerKind::Read => {
                let body = reply.whole_body(self.deadline).map_err(outcome_without_answer)?;
                return_to_pool(&self.shared, endpoint, reply);
                let Some(cached_tokens) = host::cached_tokens(&body) else { return Err(Outcome::Error) };
                let state = Some(task.call.id.clone());
                let (prompt_tokens, host) = (task.request.prompt_tokens, self.host);
                let end = ShotReport { cached_tokens, prompt_tokens, state, host, ..ShotReport::default() };
                Ok(ShotResult::Ended(Outcome::Read, end))
            }
            AnswerKind::Ended(outcome) => {
                // The head is enough for an answer: no task waits for the rest, which may never arrive.
                if reply.reader.body(&mut Vec::new()).is_ok_and(|ended| ended) {
                    return_to_pool(&self.shared, endpoint, reply);
                }
                Err(outcome)
            }
        }
    }

    fn first_event(&self, mut reply: Reply) -> Result<ShotResult, Outcome> {
        let (mut events, mut bytes, mut received) = (EventSplitter::default(), Vec::new(), Vec::new());
        let mut first_event_until = self.deadline.min(Instant::now() + timeouts::ANSWER_START_TIMEOUT);
        loop {
            received.clear();
            // The head of the answer has arrived, so the attempt has run and any state that it fetched is used
            // up, whatever happens to the rest.
            let ended = reply.body(&mut received, first_event_until).map_err(|_| Outcome::Spoilt)?;
            events.feed(&received, &mut bytes).map_err(|_| Outcome::Spoilt)?;
            if events.any_event {
                return Ok(ShotResult::StreamBegun(Box::new((reply, events, bytes, ended))));
            }
            if ended {
                return Err(Outcome::Spoilt);
            }
            if events.has_slow_event() {
                first_event_until = self.deadline.min(Instant::now() + timeouts::ANSWER_START_TIMEOUT);
            }
        }
    }
}
