//! Relays a begun answer from its writer to its client, in one coroutine: a client that does not read slows down its own
//! writer and nobody else.

use crate::Shared;
use crate::front::{Client, Connection, is_repeatable};
use crate::hosts::GONE_STALL_TIMEOUT;
use crate::reply::{self, ResponseOptions};
use crate::shot::{BegunAnswer, return_connection};
use crate::task::{Task, time_left};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tulipstall::interface::{LoadReport, Outcome};
use tulipstall_core::ShotReport;
use tulipstall_engine::{self as engine, Piece, Usage};
use tulipstall_http1::body::{LAST_CHUNK, write_chunk};
use tulipstall_messages::{AnswerWriter, ApiError, ErrorKind, TokenCounts, stop_reason};
use tulipstall_net::Fault;
use tulipstall_recovery::pace::{MoveReason, PaceMeans, StreamPace};
use tulipstall_recovery::silence::slow_event_ends;
use tulipstall_recovery::{self as recovery, PieceRejected, RepeatPolicy};
use tulipstall_settings::Effect;

/// How the client wants its answer.
#[derive(Clone, Copy)]
pub struct ResponseForm {
    /// As a stream of events, not as one response.
    pub streamed: bool,
    /// HTTP/1.0: no chunked coding, the end of the connection ends the stream.
    pub http10: bool,
}

/// How the relaying from one writer ended.
enum Ended {
    /// The answer is complete.
    Complete,
    /// The writer was lost or sent malformed data; another one may continue.
    Lost(&'static str),
    /// The writer still sends, but another one would be better for this reason.
    Move(MoveReason),
    /// The writer sent an invalid answer that no other writer could continue.
    Invalid(&'static str),
    /// The answer is not streamed and was not complete by the client's deadline.
    TimedOut,
    /// The client has disconnected or does not read.
    ClientGone,
}

/// State of one answer over all its writers.
struct Relay {
    shared: Arc<Shared>,
    client: Arc<Client>,
    answer: AnswerWriter,
    /// The answer so far, from all writers.
    answer_so_far: recovery::ResumableAnswer,
    /// The token position at which the current writer began.
    start_position: u32,
    form: ResponseForm,
    /// Token counts for the client.
    token_counts: TokenCounts,
    /// Cached tokens as the reader counted them.
    reader_cached_tokens: Option<u32>,
    finish_reason: Option<String>,
    stop_sequence: Option<String>,
    stop_sequences: Vec<String>,
    /// The text so far, if the answer is not streamed.
    text: String,
    /// Events that have not been written yet.
    out: Vec<u8>,
    /// Pings may be sent: the end of the stream has not been written.
    may_ping: bool,
    /// The response head has been written, if the answer is streamed.
    head_sent: bool,
    /// When relaying began, right after the first token.
    first_token_at: Option<Instant>,
    /// The first task's arrival, deadline for an answer that is not streamed, and token limit. They hold for all
    /// continuations.
    arrived: Instant,
    deadline: Instant,
    max_tokens: u32,
    /// A move to a better writer is tried only once.
    may_move: bool,
}

/// How long the search for a better writer may take, as a multiple of the mean time until another writer's first token.
/// After that the old writer is the better one.
const MOVE_TIMEOUT_GAPS: f64 = 4.0;
/// The search may take at least this long.
const MIN_MOVE_TIMEOUT: Duration = Duration::from_millis(100);

/// A ping event in a chunk of its own.
pub fn ping_chunk() -> Vec<u8> {
    let (mut event, mut chunk) = (Vec::new(), Vec::new());
    AnswerWriter::ping(&mut event);
    write_chunk(&event, &mut chunk);
    chunk
}

/// An error event and the end of a stream, for a stream whose relaying panicked.
pub fn stream_error_end(error: &ApiError, request: &str, form: ResponseForm) -> Vec<u8> {
    let (mut event, mut out) = (Vec::new(), Vec::new());
    AnswerWriter::error(error, request, &mut event);
    if form.http10 {
        return event;
    }
    write_chunk(&event, &mut out);
    out.extend_from_slice(LAST_CHUNK);
    out
}

fn log_loss(task: &Task, begun: &BegunAnswer, why: &str) {
    let (host, slot) = (&begun.endpoint.name, task.id().map(|id| id.slot));
    tracing::warn!(request_id = task.request_id, task = slot, host, why, "stream lost");
}

/// Relays an answer until its end, over several writers if some are lost. Returns the answer's name in metrics and whether
/// the connection stays open.
pub fn relay(
    connection: &mut Connection,
    task: &Arc<Task>,
    mut begun: BegunAnswer,
    form: ResponseForm,
    options: ResponseOptions,
) -> (&'static str, bool) {
    let shared = connection.shared.clone();
    let repeat_policy = match shared.settings.offerings[task.offering].effect {
        Effect::Replayable => RepeatPolicy::Always,
        // The window is counted from the task's arrival, which is before any shot. The core knows the shot and enforces the
        // window and the group from there.
        Effect::Referenced => {
            let window = Duration::from_millis(shared.settings.offerings[task.offering].window_ms);
            RepeatPolicy::Until(task.arrived.saturating_duration_since(shared.start) + window)
        }
        Effect::SingleUse => RepeatPolicy::Never,
    };
    let token_counts = TokenCounts { prompt_tokens: begun.usage.prompt_tokens, ..TokenCounts::default() };
    let id = format!("msg_{}", task.request_id.trim_start_matches("req_"));
    let mut relay = Relay {
        client: connection.client.clone(),
        answer: AnswerWriter { id, model: task.engine_request.model.clone() },
        answer_so_far: recovery::ResumableAnswer::new(
            shared.answers.clone(),
            repeat_policy,
            task.engine_request.max_tokens,
        ),
        start_position: 0,
        form,
        token_counts,
        reader_cached_tokens: begun.reader_cached_tokens,
        finish_reason: None,
        stop_sequence: None,
        stop_sequences: task.engine_request.stop.clone(),
        text: String::new(),
        out: Vec::new(),
        may_ping: true,
        head_sent: false,
        first_token_at: None,
        arrived: task.arrived,
        deadline: task.deadline,
        max_tokens: task.engine_request.max_tokens,
        may_move: true,
        shared,
    };
    let mut current = task.clone();
    let ended = loop {
        let ended = relay.relay_from(&current, &mut begun, options);
        if let Ended::Move(why) = ended {
            let unneeded = relay.try_move(connection, task, &mut current, &mut begun, why);
            unneeded
                .into_iter()
                .for_each(|unneeded| unneeded.shot.close(Outcome::Cancelled, ShotReport::default()));
            continue;
        }
        let Ended::Lost(why) = ended else { break ended };
        log_loss(&current, &begun, why);
        begun.reply.link.shut();
        begun.shot.close(Outcome::Broken, relay.shot_report(begun.load));
        let hard_stop = Duration::from_millis(relay.shared.settings.offerings[task.offering].hard_stop_ms);
        let within = if form.streamed { hard_stop } else { time_left(task.deadline) };
        let search_began = Instant::now();
        match connection.continue_answer(task, &current, &mut relay.answer_so_far, within) {
            Ok((next, next_begun)) => {
                if let Ok(mut paces) = relay.shared.paces.lock() {
                    paces.record_gap(search_began.elapsed());
                }
                relay.shared.metrics.streams_lost.with_label_values(&["went on"]).inc();
                tracing::info!(
                    request_id = task.request_id,
                    host = next_begun.endpoint.name,
                    tokens = relay.answer_so_far.tokens(),
                    "goes on"
                );
                relay.start_position = next.engine_request.resume.map_or(0, |resume| resume.from);
                (current, begun) = (next, *next_begun);
            }
            Err(then) => {
                relay.shared.metrics.streams_lost.with_label_values(&[then]).inc();
                if relay.client.gone.load(Ordering::Acquire) {
                    relay.end_pings();
                    return ("client left", false);
                }
                return relay.abort_lost(task, why, options);
            }
        }
    };
    relay.end_pings();
    let keep_open = options.keep_alive && !(form.streamed && form.http10);
    let end = relay.shot_report(begun.load);
    relay.shared.metrics.answer_tokens.inc_by(u64::from(relay.token_counts.output_tokens));
    match ended {
        Ended::Complete => {
            begun.shot.close(Outcome::Delivered, end);
            let token_counts = &relay.token_counts;
            relay
                .shared
                .record_delivered(token_counts.prompt_tokens.saturating_add(token_counts.output_tokens));
            return_connection(&begun.endpoint, begun.reply);
            let sent = relay.finish(options);
            (if sent { "delivered" } else { "client left" }, sent && keep_open)
        }
        Ended::Move(_) => {
            // Not reached: moves are handled in the loop above.
            begun.reply.link.shut();
            begun.shot.close(Outcome::Cancelled, end);
            relay.abort_lost(task, "moved", options)
        }
        Ended::Lost(why) | Ended::Invalid(why) => {
            begun.reply.link.shut();
            log_loss(&current, &begun, why);
            begun.shot.close(Outcome::Broken, end);
            relay.abort_lost(task, why, options)
        }
        Ended::TimedOut => {
            begun.reply.link.shut();
            // Reported as cancelled: an answer that takes longer than its client waits is not the writer's fault.
            begun.shot.close(Outcome::Cancelled, end);
            let error = ApiError::new(ErrorKind::Timeout, "broken off: the answer was not whole in time");
            let sent = relay.send_abort(task, &error, options);
            ("broken off", sent && keep_open)
        }
        Ended::ClientGone => {
            begun.reply.link.shut();
            // Reported as cancelled: the writer is not at fault.
            begun.shot.close(Outcome::Cancelled, end);
            relay.client.link.shut();
            ("client left", false)
        }
    }
}

impl Relay {
    /// The report of a shot's end, with the token counts.
    fn shot_report(&self, load: Option<LoadReport>) -> ShotReport {
        let (cached_tokens, answer_tokens) =
            (self.token_counts.cached_tokens, self.token_counts.output_tokens);
        ShotReport {
            cached_tokens,
            prompt_tokens: self.token_counts.prompt_tokens,
            answer_tokens,
            load,
            ..ShotReport::default()
        }
    }

    /// Stops the pings, so that the end of the stream can be written.
    fn end_pings(&mut self) {
        self.may_ping = false;
        if let Ok(mut stream) = self.client.stream.lock() {
            // From here on the end of the stream is being written.
            (stream.last_write, stream.started) = (None, false);
        }
    }

    /// Aborts the answer, as its writer was lost for good.
    fn abort_lost(&mut self, task: &Task, why: &str, options: ResponseOptions) -> (&'static str, bool) {
        self.end_pings();
        let error = ApiError::new(ErrorKind::Api, format!("broken off: the answer's host was lost ({why})"));
        let sent = self.send_abort(task, &error, options);
        ("broken off", sent && options.keep_alive && !self.form.streamed)
    }

    /// Looks for a better writer while the current one still sends. Returns the one that is not needed, with its
    /// connection shut.
    fn try_move(
        &mut self,
        connection: &mut Connection,
        task: &Arc<Task>,
        current: &mut Arc<Task>,
        begun: &mut BegunAnswer,
        why: MoveReason,
    ) -> Option<BegunAnswer> {
        self.may_move = false;
        let means = self.pace_means(task.offering);
        let gap = means.map_or(Duration::ZERO, |means| {
            Duration::from_secs_f64((means.gap_seconds * MOVE_TIMEOUT_GAPS).clamp(0.0, 60.0))
        });
        let search_began = Instant::now();
        let host = begun.endpoint.name.clone();
        let found = connection.find_better_writer(task, &mut self.answer_so_far, gap.max(MIN_MOVE_TIMEOUT));
        // Moving to the same host, or to one that is draining or gone, gains nothing.
        let better = found
            .as_ref()
            .is_some_and(|(_, next_begun)| next_begun.endpoint.name != host && next_begun.endpoint.is_open());
        let move_counter = self
            .shared
            .metrics
            .streams_moved
            .with_label_values(&[why.name(), if better { "moved" } else { "stayed" }]);
        move_counter.inc();
        let (next, next_begun) = found?;
        if !better {
            next_begun.reply.link.shut();
            return Some(*next_begun);
        }
        if let Ok(mut paces) = self.shared.paces.lock() {
            paces.record_gap(search_began.elapsed());
        }
        let tokens = self.answer_so_far.tokens();
        tracing::info!(
            request_id = task.request_id,
            from = host,
            host = next_begun.endpoint.name,
            tokens,
            why = why.name(),
            "moves"
        );
        self.answer_so_far.moved();
        self.start_position = next.engine_request.resume.map_or(0, |resume| resume.from);
        *current = next;
        let previous = std::mem::replace(begun, *next_begun);
        previous.reply.link.shut();
        Some(previous)
    }

    fn pace_means(&self, offering: usize) -> Option<PaceMeans> {
        self.shared.paces.lock().ok()?.means(offering)
    }

    /// Relays from one writer until it ends or is given up. The writer's connection is shut if the client disconnects.
    fn relay_from(&mut self, task: &Task, begun: &mut BegunAnswer, options: ResponseOptions) -> Ended {
        if let Ok(mut writer) = self.client.writer.lock() {
            *writer = Some(begun.reply.link.clone());
        }
        // The client may have disconnected before the writer's connection was registered above.
        let client_gone = self.client.gone.load(Ordering::Acquire);
        let endpoint = begun.endpoint.clone();
        let _registered = endpoint.register_stream(&begun.reply.link);
        let ended = if client_gone { Ended::ClientGone } else { self.relay_pieces(task, begun, options) };
        if let Ok(mut writer) = self.client.writer.lock() {
            *writer = None;
        }
        match ended {
            Ended::Lost(_) if self.client.gone.load(Ordering::Acquire) => Ended::ClientGone,
            ended => ended,
        }
    }

    /// The relay loop for one writer.
    fn relay_pieces(&mut self, task: &Task, begun: &mut BegunAnswer, options: ResponseOptions) -> Ended {
        let times = &self.shared.settings.times;
        let host_drain = Duration::from_millis(times.host_drain_ms);
        let max_stall = Duration::from_millis(times.writer_stall_ms);
        let token_pace = self.shared.settings.offerings[task.offering].token_pace_ms / 1e3;
        let token_pace = Duration::from_secs_f64(token_pace.clamp(0.0, 1e6));
        let stall_timeout =
            self.shared.silence.lock().map_or(max_stall, |silence| silence.timeout(token_pace, max_stall));
        let means = self
            .pace_means(task.offering)
            .filter(|_| self.may_move && self.answer_so_far.may_move().is_some());
        let mut stream_pace: Option<StreamPace> = None;
        let mut longest_pause = Duration::ZERO;
        let mut pieces = std::mem::take(&mut begun.pieces);
        let (mut bytes, mut events, mut ended) = (Vec::new(), Vec::new(), false);
        let first_writer = !self.head_sent;
        if let Some(usage) = pieces.iter().find_map(|piece| piece.usage).filter(|_| first_writer) {
            self.update_token_counts(usage);
            self.token_counts.output_tokens = 0;
        }
        if self.form.streamed && first_writer {
            let mut head = reply::head(200, "text/event-stream; charset=utf-8", options);
            head.push_str("cache-control: no-cache\r\n");
            head.push_str(if self.form.http10 { "\r\n" } else { "transfer-encoding: chunked\r\n\r\n" });
            if let Ok(mut stream) = self.client.stream.lock() {
                stream.started = true;
            }
            if self.client.write(head.as_bytes()).is_err() {
                return Ended::ClientGone;
            }
            self.answer.start(&self.token_counts, &mut self.out);
        }
        self.head_sent = true;
        let first_token_at = *self.first_token_at.get_or_insert_with(Instant::now);
        // Bytes of an event that never ends are no progress, and a client that reads slowly is no silence of the host.
        let (mut last_progress, mut last_bytes) = (Instant::now(), Instant::now());
        loop {
            let has_pieces = !pieces.is_empty();
            for piece in pieces.drain(..) {
                match self.process_piece(piece) {
                    Ok(false) => {}
                    Ok(true) => {
                        let sent = self.flush();
                        return if sent.is_ok() { Ended::Complete } else { Ended::ClientGone };
                    }
                    Err(rejected @ (PieceRejected::TooManyTokens | PieceRejected::AfterEnd)) => {
                        return Ended::Invalid(rejected.reason());
                    }
                    Err(rejected) => return Ended::Lost(rejected.reason()),
                }
            }
            if self.flush().is_err() {
                return Ended::ClientGone;
            }
            if has_pieces {
                last_progress = Instant::now();
            }
            if begun.done || (ended && self.all_received()) {
                return if self.all_received() {
                    if let Ok(mut silence) = self.shared.silence.lock() {
                        silence.record_pause(longest_pause);
                    }
                    if let Ok(mut paces) = self.shared.paces.lock() {
                        let waited = first_token_at.saturating_duration_since(self.arrived);
                        paces.record_answer(
                            task.offering,
                            self.answer_so_far.tokens(),
                            waited,
                            first_token_at.elapsed(),
                        );
                    }
                    Ended::Complete
                } else {
                    Ended::Lost("ended without a reason")
                };
            }
            // After the last token only the end mark is missing, so a move makes no sense.
            if let Some(means) = &means
                && self.finish_reason.is_none()
                && self.answer_so_far.may_move().is_some()
            {
                let (at, tokens) = (self.shared.now(), self.answer_so_far.tokens());
                let first_token = first_token_at.saturating_duration_since(self.shared.start);
                let stream_pace = stream_pace.get_or_insert_with(|| StreamPace::new(first_token, at, tokens));
                let drain_left =
                    begun.endpoint.draining_since().map(|since| host_drain.saturating_sub(since.elapsed()));
                if let Some(why) =
                    stream_pace.check(at, tokens, self.max_tokens, token_pace, means, drain_left)
                {
                    return Ended::Move(why);
                }
            }
            bytes.clear();
            let read_began = Instant::now();
            // If the host leaves the list during the wait, `Endpoint::set_standing` shortens it.
            let mut read_deadline = last_progress + stall_timeout;
            // Another writer that may resume the answer is faster than an event that is written slowly.
            if begun.events.has_slow_event() && !self.answer_so_far.may_resume(self.shared.now()) {
                read_deadline = slow_event_ends(read_deadline, last_progress, last_bytes);
            }
            if begun.endpoint.is_gone() {
                read_deadline = read_deadline.min(read_began + GONE_STALL_TIMEOUT);
            }
            if !self.form.streamed {
                read_deadline = read_deadline.min(self.deadline);
            }
            ended = match begun.reply.body(&mut bytes, read_deadline) {
                Ok(ended) => ended,
                // The answer is complete even without its end mark.
                Err(Fault::TimedOut | Fault::Broken) if self.all_received() => return Ended::Complete,
                Err(Fault::TimedOut) if !self.form.streamed && time_left(self.deadline).is_zero() => {
                    return Ended::TimedOut;
                }
                Err(Fault::TimedOut) if begun.endpoint.is_gone() => return Ended::Lost("gone from the list"),
                Err(Fault::TimedOut) => return Ended::Lost("silent"),
                Err(Fault::Malformed) => return Ended::Lost("rubbish"),
                Err(_) => return Ended::Lost("broken"),
            };
            longest_pause = longest_pause.max(read_began.elapsed());
            last_bytes = Instant::now();
            if begun.events.feed(&bytes, &mut events).is_err() {
                return Ended::Lost("rubbish");
            }
            for event in events.drain(..) {
                if event.data == engine::END_OF_STREAM {
                    begun.done = true;
                    continue;
                }
                match engine::piece(&event.data) {
                    Some(piece) if piece.error => return Ended::Lost("an error"),
                    Some(piece) => pieces.push(piece),
                    None => return Ended::Lost("rubbish"),
                }
            }
            if ended
                && !begun.done
                && !self.all_received()
                && pieces.iter().all(|piece| piece.finish.is_none())
            {
                return Ended::Lost("ended without its mark");
            }
        }
    }

    /// Takes over a writer's token counts. A writer that fetched the reader's state did not compute the prompt, so the
    /// cached tokens are those that the reader counted. A writer that continues an answer counts from where it began, and
    /// its prompt includes the answer so far.
    fn update_token_counts(&mut self, usage: Usage) {
        if self.answer_so_far.losses() == 0 {
            self.token_counts.prompt_tokens = usage.prompt_tokens;
            self.token_counts.cached_tokens = self.reader_cached_tokens.unwrap_or(usage.cached_tokens);
        }
        self.token_counts.output_tokens = self.start_position + usage.completion_tokens;
    }

    /// Processes one piece. True if the answer ends here by a stop sequence that spans two writers, so that neither has
    /// seen it whole.
    fn process_piece(&mut self, piece: Piece) -> Result<bool, PieceRejected> {
        #[cfg(test)]
        assert_ne!(piece.text, "panic", "panic requested by a test");
        if piece.is_token() {
            if self.finish_reason.is_some() {
                return Err(PieceRejected::AfterEnd);
            }
            let new = self.answer_so_far.push_piece(piece.position, piece.text_bytes())?;
            if self.form.streamed && !new.is_empty() {
                AnswerWriter::delta(new, &mut self.out);
            } else if !self.form.streamed {
                self.text.push_str(new);
            }
        }
        match piece.usage {
            Some(usage) => self.update_token_counts(usage),
            None => self.token_counts.output_tokens = self.answer_so_far.tokens(),
        }
        if self.answer_so_far.losses() > 0 && self.answer_so_far.may_end() && piece.finish.is_none() {
            let stop =
                self.stop_sequences.iter().find(|stop| self.answer_so_far.text().ends_with(stop.as_str()));
            if let Some(stop) = stop {
                (self.finish_reason, self.stop_sequence) = (Some("stop".to_owned()), Some(stop.clone()));
                return Ok(true);
            }
        }
        if piece.finish.is_some() {
            (self.finish_reason, self.stop_sequence) = (piece.finish, piece.stop);
        }
        Ok(false)
    }

    /// Whether the last token and the finish reason have arrived.
    fn all_received(&self) -> bool {
        self.finish_reason.is_some() && self.answer_so_far.may_end()
    }

    /// Writes the pending events to the client.
    fn flush(&mut self) -> Result<(), Fault> {
        if self.out.is_empty() {
            return Ok(());
        }
        let chunk = if self.form.http10 {
            std::mem::take(&mut self.out)
        } else {
            let mut chunk = Vec::with_capacity(self.out.len() + 16);
            write_chunk(&self.out, &mut chunk);
            self.out.clear();
            chunk
        };
        // A coroutine lock: waiting for it yields, so it may be held during the write.
        let Ok(mut stream) = self.client.stream.lock() else { return Err(Fault::Broken) };
        let pending_ping = std::mem::take(&mut stream.pending_ping);
        if !pending_ping.is_empty() {
            self.client.write(&pending_ping)?;
        }
        self.client.write(&chunk)?;
        // A ping is a chunk, so only HTTP/1.1 streams get pings.
        stream.last_write = (self.may_ping && !self.form.http10).then(Instant::now);
        Ok(())
    }

    /// Sends the end of a complete answer. False if the client did not receive it.
    fn finish(&mut self, options: ResponseOptions) -> bool {
        let stop = stop_reason(self.finish_reason.as_deref(), self.stop_sequence.as_deref());
        if !self.form.streamed {
            let message = self.answer.message(&self.text, &self.token_counts, &stop);
            return self.client.write(&reply::json(options, &message)).is_ok();
        }
        AnswerWriter::end(&self.token_counts, &stop, &mut self.out);
        self.flush().is_ok() && (self.form.http10 || self.client.write(LAST_CHUNK).is_ok())
    }

    /// Sends an error as the end of the answer. False if the client did not receive it.
    fn send_abort(&mut self, task: &Task, error: &ApiError, options: ResponseOptions) -> bool {
        if !self.form.streamed {
            let options =
                ResponseOptions { should_retry: Some(is_repeatable(&self.shared, task)), ..options };
            return self.client.write(&reply::error(error, options)).is_ok();
        }
        AnswerWriter::error(error, &task.request_id, &mut self.out);
        self.flush().is_ok() && (self.form.http10 || self.client.write(LAST_CHUNK).is_ok())
    }
}
