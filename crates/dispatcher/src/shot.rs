//! One shot (attempt of a task at one host), from connecting to its outcome. Nothing is retried here: the decision core
//! decides what follows.

use crate::Shared;
use crate::front::ConnectionMessage;
use crate::hosts::Endpoint;
use crate::owner::OwnerMessage;
use crate::task::{ShotControl, Task, time_left};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tulipstall::interface::{LoadReport, Outcome};
use tulipstall_core::{HeldState, Input, ShotKind, ShotReport, TaskId};
use tulipstall_engine::{self as engine, Piece, Stage, State, Usage};
use tulipstall_http1::{Limits, sse};
use tulipstall_net::{Fault, Link, Reply};

/// Limits for an engine's response. Its head is limited like a client's; a stream is limited by its number of tokens, so
/// the limit in bytes is large.
const RESPONSE_LIMITS: Limits =
    Limits { max_head_bytes: 16_384, max_line_bytes: 8192, max_header_lines: 64, max_body_bytes: 1 << 30 };
/// Maximum size of one event of a stream. An event with a token's text and its token counts is many times smaller.
pub const MAX_EVENT_BYTES: usize = 65_536;

/// One attempt of a task at one host.
pub struct Shot {
    pub shared: Arc<Shared>,
    pub id: TaskId,
    pub task: Arc<Task>,
    pub number: u32,
    pub host: u32,
    pub control: Arc<ShotControl>,
    pub deadline: Instant,
    pub send_by: Instant,
}

/// An answer whose first piece has arrived. It is handed to the client's coroutine, which relays the rest and reports the
/// shot's end.
pub struct BegunAnswer {
    pub shot: ShotEndGuard,
    pub endpoint: Arc<Endpoint>,
    pub reply: Reply,
    pub events: sse::EventReader,
    pub pieces: Vec<Piece>,
    pub done: bool,
    pub usage: Usage,
    /// Cached tokens as the reader counted them, if the writer fetched the reader's state.
    pub reader_cached_tokens: Option<u32>,
    pub load: Option<LoadReport>,
}

/// Guard that reports the end of a shot to the decision core, as broken if it is dropped without a report. Without this,
/// a panic would leave the shot open in the core.
pub struct ShotEndGuard {
    shared: Arc<Shared>,
    id: TaskId,
    number: u32,
    reported: bool,
}

impl ShotEndGuard {
    pub fn close(mut self, outcome: Outcome, end: ShotReport) {
        self.report(outcome, end);
    }

    fn report(&mut self, outcome: Outcome, end: ShotReport) {
        self.reported = true;
        let (task, shot) = (self.id, self.number);
        self.shared.owner_queue.send(OwnerMessage::CoreInput(Input::Closed { task, shot, outcome, end }));
    }
}

impl Drop for ShotEndGuard {
    fn drop(&mut self) {
        if !self.reported {
            self.report(Outcome::Broken, ShotReport::default());
        }
    }
}

impl Shot {
    pub fn run(
        self,
        endpoint: Option<Arc<Endpoint>>,
        kind: ShotKind,
        state: Option<(HeldState, Arc<Endpoint>)>,
    ) {
        let end_guard =
            ShotEndGuard { shared: self.shared.clone(), id: self.id, number: self.number, reported: false };
        let Some(endpoint) = endpoint else { return end_guard.close(Outcome::Moot, ShotReport::default()) };
        let reader_cached_tokens = state.as_ref().map(|(held, _)| held.cached_tokens);
        match self.attempt(&endpoint, kind, state) {
            Ok(ShotResult::Ended(outcome, end)) => end_guard.close(outcome, end),
            Err(outcome) => end_guard.close(self.final_outcome(outcome), ShotReport::default()),
            Ok(ShotResult::StreamBegun(load, reply, events, pieces, done)) => {
                if !self.control.begin() {
                    return end_guard.close(Outcome::Cancelled, ShotReport::default());
                }
                if !self.task.claim(self.number) {
                    // Another answer was first: closing the connection tells the writer to stop.
                    reply.link.shut();
                    return end_guard.close(Outcome::Cancelled, ShotReport::default());
                }
                self.shared
                    .owner_queue
                    .send(OwnerMessage::CoreInput(Input::AnswerBegan { task: self.id, shot: self.number }));
                self.shared.metrics.first_token.observe(self.task.arrived.elapsed().as_secs_f64());
                let begun = BegunAnswer {
                    shot: end_guard,
                    endpoint,
                    reply,
                    events,
                    pieces,
                    done,
                    usage: Usage { prompt_tokens: self.task.request.prompt_tokens, ..Usage::default() },
                    reader_cached_tokens,
                    load,
                };
                let _ = self
                    .task
                    .inbox
                    .send(ConnectionMessage::Begun { ticket: self.task.ticket, begun: Box::new(begun) });
            }
        }
    }

    /// The outcome to report: a cancelled shot counts as cancelled, whatever error its connection gave, unless the
    /// request was never sent.
    fn final_outcome(&self, outcome: Outcome) -> Outcome {
        match outcome {
            Outcome::Moot | Outcome::NoConnection => outcome,
            _ if self.control.cancelled() => Outcome::Cancelled,
            _ => outcome,
        }
    }

    /// Whether the client has disconnected, read from its connection directly. If so the task is ended.
    fn client_is_gone(&self) -> bool {
        let gone = self.task.client_has_disconnected();
        if gone && self.task.close() {
            self.shared.owner_queue.send(OwnerMessage::ClientGone(self.task.clone()));
            let _ = self.task.inbox.send(ConnectionMessage::ClientGone { ticket: self.task.ticket });
        }
        gone
    }

    fn attempt(
        &self,
        endpoint: &Endpoint,
        kind: ShotKind,
        state: Option<(HeldState, Arc<Endpoint>)>,
    ) -> Result<ShotResult, Outcome> {
        let connect_timeout = Duration::from_millis(self.shared.settings.times.connect_ms);
        // If the host has begun to drain or is gone since the decision, or the shot was cancelled, the request was
        // certainly never sent.
        let check_sendable =
            |()| (endpoint.is_open() && !self.control.cancelled()).then_some(()).ok_or(Outcome::Moot);
        check_sendable(())?;
        let send_by = self.deadline.min(self.send_by);
        if time_left(send_by).is_zero() {
            return Err(Outcome::Moot);
        }
        let link =
            endpoint.pool.take(connect_timeout.min(time_left(send_by))).map_err(|fault| match fault {
                // A lack of local resources is not the host's fault.
                Fault::LocalMachine => Outcome::Moot,
                _ => Outcome::NoConnection,
            })?;
        self.control.set_link(&link);
        check_sendable(())?;
        let state = state.map(|(held, reader)| State {
            remote_engine_id: reader.name.clone(),
            remote_host: reader.pool.address().ip().to_string(),
            remote_port: reader.pool.address().port(),
            state_id: held.state,
        });
        let stage = match (kind, &state) {
            (ShotKind::Read, _) => Stage::Read,
            (ShotKind::Write, Some(state)) => Stage::Write(state),
            _ => Stage::Whole,
        };
        let body = engine::body(&self.task.engine_request, stage);
        let request = engine::request(
            &endpoint.name,
            &self.shared.settings.name,
            &self.task.request_id,
            &self.task.engine_request,
            &body,
        );
        check_sendable(())?;
        if time_left(send_by).is_zero() || self.client_is_gone() {
            return Err(Outcome::Moot);
        }
        link.write(&request, send_by).map_err(|fault| match fault {
            Fault::NoConnection => Outcome::NoConnection,
            Fault::TimedOut => Outcome::TimedOut,
            _ => Outcome::Broken,
        })?;
        let mut reply = Reply::new(link, RESPONSE_LIMITS);
        let head = reply.head(self.deadline).map_err(outcome_without_response)?;
        let load = engine::load(&head.headers, &self.shared.load_names);
        if head.status != 200 {
            let outcome = engine::error_outcome(head.status, head.header(engine::REASON_HEADER));
            // The head tells why; the body is read only so that the connection can be reused.
            if reply.whole_body(self.deadline.min(Instant::now() + connect_timeout)).is_ok() {
                return_connection(endpoint, reply);
            }
            return Ok(ShotResult::Ended(outcome, ShotReport { load, ..ShotReport::default() }));
        }
        if kind == ShotKind::Read {
            let body = reply.whole_body(self.deadline).map_err(outcome_without_response)?;
            return_connection(endpoint, reply);
            return Ok(parse_read_answer(&body, load, self.host));
        }
        self.first_piece(reply, load)
    }

    /// Waits for the first piece with text or a finish reason.
    fn first_piece(&self, mut reply: Reply, load: Option<LoadReport>) -> Result<ShotResult, Outcome> {
        let mut events = sse::EventReader::new(MAX_EVENT_BYTES);
        let (mut bytes, mut received) = (Vec::new(), Vec::new());
        loop {
            bytes.clear();
            let ended = reply.body(&mut bytes, self.deadline).map_err(outcome_without_response)?;
            events.feed(&bytes, &mut received).map_err(|_| Outcome::Error)?;
            let (mut pieces, mut done) = (Vec::new(), false);
            for event in received.drain(..) {
                if event.data == engine::END_OF_STREAM {
                    done = true;
                } else {
                    pieces
                        .push(engine::piece(&event.data).filter(|piece| !piece.error).ok_or(Outcome::Error)?);
                }
            }
            let has_output = |piece: &Piece| !piece.text_bytes().is_empty() || piece.finish.is_some();
            if pieces.iter().any(has_output) {
                return Ok(ShotResult::StreamBegun(load, reply, events, pieces, done));
            }
            if ended || done {
                return Err(Outcome::Broken);
            }
        }
    }
}

/// What became of a shot's request.
enum ShotResult {
    /// The shot is over.
    Ended(Outcome, ShotReport),
    /// The answer streams: load report, connection, event reader, first pieces, and whether the end mark has come.
    StreamBegun(Option<LoadReport>, Reply, sse::EventReader, Vec<Piece>, bool),
}

/// The outcome where no readable response arrived: the engine may have run the request.
fn outcome_without_response(fault: Fault) -> Outcome {
    match fault {
        Fault::TimedOut => Outcome::TimedOut,
        Fault::Malformed => Outcome::Error,
        Fault::Broken | Fault::NoConnection | Fault::LocalMachine => Outcome::Broken,
    }
}

/// The result of a read (prefill) request.
fn parse_read_answer(body: &[u8], load: Option<LoadReport>, host: u32) -> ShotResult {
    let piece = std::str::from_utf8(body).ok().and_then(engine::piece).filter(|piece| !piece.error);
    let Some(Piece { state: Some(state), usage, .. }) = piece else {
        return ShotResult::Ended(Outcome::Error, ShotReport { load, ..ShotReport::default() });
    };
    let (cached_tokens, prompt_tokens) =
        usage.map_or((0, 0), |usage| (usage.cached_tokens, usage.prompt_tokens));
    ShotResult::Ended(
        Outcome::Read,
        ShotReport {
            cached_tokens,
            prompt_tokens,
            load,
            state: Some(state.state_id),
            host,
            ..ShotReport::default()
        },
    )
}

/// Returns a connection to its pool if its response was complete and the host is still open.
pub fn return_connection(endpoint: &Endpoint, reply: Reply) {
    if reply.reader.is_reusable() && endpoint.is_open() {
        endpoint.pool.put(reply.link);
    }
}

/// Sends a request and reads the response within a time. Returns its head, or `None` on any failure.
fn send_request(
    shared: &Shared,
    endpoint: &Endpoint,
    request: &str,
    within: Duration,
    fresh_connection: bool,
) -> Option<tulipstall_http1::ResponseHead> {
    let deadline = Instant::now() + within;
    let connect_timeout = Duration::from_millis(shared.settings.times.connect_ms).min(within);
    // All idle connections may be dead.
    let link = if fresh_connection {
        Link::connect(&endpoint.pool.address(), connect_timeout)
    } else {
        endpoint.pool.take(connect_timeout)
    };
    let link = link.ok()?;
    link.write(request.as_bytes(), deadline).ok()?;
    let mut reply = Reply::new(link, RESPONSE_LIMITS);
    let head = reply.head(deadline).ok()?;
    reply.whole_body(deadline).ok()?;
    return_connection(endpoint, reply);
    Some(head)
}

/// Releases a state held at a host. Up to three tries, as a connection may break. The time limit for a release applies to
/// sending the request, not to the host's response.
pub fn release(shared: &Shared, endpoint: &Endpoint, state: &str) {
    let request =
        format!("DELETE {}{state} HTTP/1.1\r\nhost: {}\r\n\r\n", engine::STATES_PATH, endpoint.name);
    // The decisions leave three tenths of the release time for this, so each try gets one tenth.
    let within = Duration::from_millis(shared.settings.rules.release_ms) / 10;
    for fresh_connection in [false, true, true] {
        if send_request(shared, endpoint, &request, within, fresh_connection).is_some() {
            return;
        }
    }
    tracing::warn!(host = endpoint.name, state, "a state could not be let go of");
}
