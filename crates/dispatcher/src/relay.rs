//! A begun answer on its way from its writer to its client, in one coroutine: a client that does not read holds
//! its own writer back and nobody else's.

use crate::Shared;
use crate::front::{Client, Connection, repeatable};
use crate::hosts::GONE;
use crate::reply::{self, With};
use crate::shot::{Begun, give_back};
use crate::task::{Task, left};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tulipstall::interface::{Load, Outcome};
use tulipstall_core::End;
use tulipstall_engine::{self as engine, Piece, Usage};
use tulipstall_http1::body::{LAST_CHUNK, write_chunk};
use tulipstall_messages::{Answer, ApiError, Counted, Kind, stop_reason};
use tulipstall_net::Fault;
use tulipstall_recovery::pace::{Stream, Usual, Why};
use tulipstall_recovery::{self as recovery, Again, Refused};
use tulipstall_settings::Effect;

#[derive(Clone, Copy)]
pub struct Form {
    pub stream: bool,
    /// HTTP/1.0: no chunks, the end of the connection ends the stream.
    pub old: bool,
}

/// How an answer ended.
enum Ended {
    Whole,
    /// The writer was lost, or what it sent could not be an answer.
    Lost(&'static str),
    /// The writer speaks on, but another would be better for this reason.
    Moves(Why),
    /// What it sent is no answer that anyone could go on with.
    Wrong(&'static str),
    /// A plain call, whose client's time is up before the whole answer is there.
    Late,
    /// The client takes nothing any more.
    Client,
}

struct Relay {
    shared: Arc<Shared>,
    client: Arc<Client>,
    answer: Answer,
    /// What the client has, over all writers.
    so_far: recovery::Answer,
    /// The position at which this writer began.
    from: u32,
    form: Form,
    counted: Counted,
    read_kept: Option<u32>,
    finish: Option<String>,
    stop: Option<String>,
    stops: Vec<String>,
    /// The whole text, where it is not streamed.
    text: String,
    /// Events on their way out.
    out: Vec<u8>,
    /// The stream has not come to its end.
    pings: bool,
    /// The head has been written.
    headed: bool,
    /// When the first token came, and how long another writer may take to be found; it is tried once.
    first: Option<Instant>,
    arrived: Instant,
    /// Until when the client waits for a plain answer, and the most tokens of a whole one: the first task's, whichever
    /// goes on with it.
    until: Instant,
    most: u32,
    may_move: bool,
}

/// Times the usual gap that a move may take, and no less than this: past it the old writer is the better one.
const MOVE_GAPS: f64 = 4.0;
const MOVE_LEAST: Duration = Duration::from_millis(100);

/// A ping as a chunk of its own.
pub fn ping() -> Vec<u8> {
    let (mut event, mut chunk) = (Vec::new(), Vec::new());
    Answer::ping(&mut event);
    write_chunk(&event, &mut chunk);
    chunk
}

/// An error event and the end of a stream that somebody else had begun.
pub fn last_words(error: &ApiError, request: &str, form: Form) -> Vec<u8> {
    let (mut event, mut out) = (Vec::new(), Vec::new());
    Answer::error(error, request, &mut event);
    if form.old {
        return event;
    }
    write_chunk(&event, &mut out);
    out.extend_from_slice(LAST_CHUNK);
    out
}

fn note_loss(task: &Task, begun: &Begun, why: &str) {
    let (host, place) = (&begun.way.name, task.id().map(|id| id.place));
    tracing::warn!(request_id = task.name, task = place, host, why, "stream lost");
}

pub fn relay(
    connection: &mut Connection,
    task: &Arc<Task>,
    mut begun: Begun,
    form: Form,
    with: With,
) -> (&'static str, bool) {
    let shared = connection.shared.clone();
    let again = match shared.settings.offerings[task.offering].effect {
        Effect::Replayable => Again::Harmless,
        // From its arrival, before any shot: the decisions know the shot, and hold the window and the group to it.
        Effect::Referenced => {
            let window = Duration::from_millis(shared.settings.offerings[task.offering].window_ms);
            Again::Until(task.arrived.saturating_duration_since(shared.start) + window)
        }
        Effect::SingleUse => Again::Harmful,
    };
    let counted = Counted { prompt_tokens: begun.usage.prompt_tokens, ..Counted::default() };
    let id = format!("msg_{}", task.name.trim_start_matches("req_"));
    let mut relay = Relay {
        client: connection.client.clone(),
        answer: Answer { id, model: task.prompt.model.clone() },
        so_far: recovery::Answer::new(shared.answers.clone(), again, task.prompt.most_tokens),
        from: 0,
        form,
        counted,
        read_kept: begun.read_kept,
        finish: None,
        stop: None,
        stops: task.prompt.stop.clone(),
        text: String::new(),
        out: Vec::new(),
        pings: true,
        headed: false,
        first: None,
        arrived: task.arrived,
        until: task.until,
        most: task.prompt.most_tokens,
        may_move: true,
        shared,
    };
    let mut now = task.clone();
    let ended = loop {
        let ended = relay.with(&now, &mut begun, with);
        if let Ended::Moves(why) = ended {
            let left = relay.goes_over(connection, task, &mut now, &mut begun, why);
            left.into_iter().for_each(|left| left.shot.close(Outcome::Cancelled, End::default()));
            continue;
        }
        let Ended::Lost(why) = ended else { break ended };
        note_loss(&now, &begun, why);
        begun.reply.link.shut();
        begun.shot.close(Outcome::Broken, relay.end(begun.load));
        let stop = Duration::from_millis(relay.shared.settings.offerings[task.offering].hard_stop_ms);
        let within = if form.stream { stop } else { left(task.until) };
        let asked = Instant::now();
        match connection.go_on(task, &now, &mut relay.so_far, within) {
            Ok((next, on)) => {
                if let Ok(mut paces) = relay.shared.paces.lock() {
                    paces.went_on(asked.elapsed());
                }
                relay.shared.metrics.lost.with_label_values(&["went on"]).inc();
                tracing::info!(
                    request_id = task.name,
                    host = on.way.name,
                    tokens = relay.so_far.tokens(),
                    "goes on"
                );
                relay.from = next.prompt.resume.map_or(0, |resume| resume.from);
                (now, begun) = (next, *on);
            }
            Err(then) => {
                relay.shared.metrics.lost.with_label_values(&[then]).inc();
                if relay.client.left.load(Ordering::Acquire) {
                    relay.no_more_pings();
                    return ("client left", false);
                }
                return relay.lost(task, why, with);
            }
        }
    };
    relay.no_more_pings();
    let keep = with.keep_alive && !(form.stream && form.old);
    let end = relay.end(begun.load);
    relay.shared.metrics.tokens.inc_by(u64::from(relay.counted.output_tokens));
    match ended {
        Ended::Whole => {
            begun.shot.close(Outcome::Delivered, end);
            let counted = &relay.counted;
            relay.shared.delivered(counted.prompt_tokens.saturating_add(counted.output_tokens));
            give_back(&begun.way, begun.reply);
            let sent = relay.finish(with);
            (if sent { "delivered" } else { "client left" }, sent && keep)
        }
        Ended::Moves(_) => {
            // Not from here: a move is tried above.
            begun.reply.link.shut();
            begun.shot.close(Outcome::Cancelled, end);
            relay.lost(task, "moved", with)
        }
        Ended::Lost(why) | Ended::Wrong(why) => {
            begun.reply.link.shut();
            note_loss(&now, &begun, why);
            begun.shot.close(Outcome::Broken, end);
            relay.lost(task, why, with)
        }
        Ended::Late => {
            begun.reply.link.shut();
            // That the whole answer took longer than its client waits says nothing of the writer.
            begun.shot.close(Outcome::Cancelled, end);
            let error = ApiError::new(Kind::Timeout, "broken off: the answer was not whole in time");
            let sent = relay.break_off(task, &error, with);
            ("broken off", sent && keep)
        }
        Ended::Client => {
            begun.reply.link.shut();
            // The writer did nothing wrong.
            begun.shot.close(Outcome::Cancelled, end);
            relay.client.link.shut();
            ("client left", false)
        }
    }
}

impl Relay {
    fn end(&self, load: Option<Load>) -> End {
        let (kept_tokens, answer_tokens) = (self.counted.cached_tokens, self.counted.output_tokens);
        End { kept_tokens, prompt_tokens: self.counted.prompt_tokens, answer_tokens, load, ..End::default() }
    }

    fn no_more_pings(&mut self) {
        self.pings = false;
        if let Ok(mut stream) = self.client.stream.lock() {
            // From here on the stream's end is being written.
            (stream.last, stream.begun) = (None, false);
        }
    }

    /// Broken off, as its writer was lost for good.
    fn lost(&mut self, task: &Task, why: &str, with: With) -> (&'static str, bool) {
        self.no_more_pings();
        let error = ApiError::new(Kind::Api, format!("broken off: the answer's host was lost ({why})"));
        let sent = self.break_off(task, &error, with);
        ("broken off", sent && with.keep_alive && !self.form.stream)
    }

    /// Tries to find a better writer while the one there speaks; gives the one that is not needed, its connection shut.
    fn goes_over(
        &mut self,
        connection: &mut Connection,
        task: &Arc<Task>,
        now: &mut Arc<Task>,
        begun: &mut Begun,
        why: Why,
    ) -> Option<Begun> {
        self.may_move = false;
        let usual = self.usual(task.offering);
        let gap = usual.map_or(Duration::ZERO, |usual| {
            Duration::from_secs_f64((usual.gap * MOVE_GAPS).clamp(0.0, 60.0))
        });
        let asked = Instant::now();
        let host = begun.way.name.clone();
        let found = connection.move_on(task, &mut self.so_far, gap.max(MOVE_LEAST));
        // The same host once more, or one that it has been told to leave: nothing is won.
        let better = found.as_ref().is_some_and(|(_, on)| on.way.name != host && on.way.open());
        let moved = self
            .shared
            .metrics
            .moved
            .with_label_values(&[why.name(), if better { "moved" } else { "stayed" }]);
        moved.inc();
        let (next, on) = found?;
        if !better {
            on.reply.link.shut();
            return Some(*on);
        }
        if let Ok(mut paces) = self.shared.paces.lock() {
            paces.went_on(asked.elapsed());
        }
        let tokens = self.so_far.tokens();
        tracing::info!(
            request_id = task.name,
            from = host,
            host = on.way.name,
            tokens,
            why = why.name(),
            "moves"
        );
        self.so_far.moved();
        self.from = next.prompt.resume.map_or(0, |resume| resume.from);
        *now = next;
        let left = std::mem::replace(begun, *on);
        left.reply.link.shut();
        Some(left)
    }

    fn usual(&self, offering: usize) -> Option<Usual> {
        self.shared.paces.lock().ok()?.usual(offering)
    }

    /// Relays what one writer says.
    fn with(&mut self, task: &Task, begun: &mut Begun, with: With) -> Ended {
        if let Ok(mut writer) = self.client.writer.lock() {
            *writer = Some(begun.reply.link.clone());
        }
        // The client may have left before its writer could be told by that.
        let gone = self.client.left.load(Ordering::Acquire);
        let way = begun.way.clone();
        let _streams = way.streams(&begun.reply.link);
        let ended = if gone { Ended::Client } else { self.run(task, begun, with) };
        if let Ok(mut writer) = self.client.writer.lock() {
            *writer = None;
        }
        match ended {
            Ended::Lost(_) if self.client.left.load(Ordering::Acquire) => Ended::Client,
            ended => ended,
        }
    }

    fn run(&mut self, task: &Task, begun: &mut Begun, with: With) -> Ended {
        let times = &self.shared.settings.times;
        let drain = Duration::from_millis(times.host_drain_ms);
        let most = Duration::from_millis(times.writer_stall_ms);
        let pace = self.shared.settings.offerings[task.offering].token_pace_ms / 1e3;
        let pace = Duration::from_secs_f64(pace.clamp(0.0, 1e6));
        let stall = self.shared.silence.lock().map_or(most, |silence| silence.bears(pace, most));
        let usual = self.usual(task.offering).filter(|_| self.may_move && self.so_far.may_move().is_some());
        let mut stream: Option<Stream> = None;
        let mut longest = Duration::ZERO;
        let mut pieces = std::mem::take(&mut begun.pieces);
        let (mut bytes, mut events, mut ended) = (Vec::new(), Vec::new(), false);
        let first = !self.headed;
        if let Some(usage) = pieces.iter().find_map(|piece| piece.usage).filter(|_| first) {
            self.count(usage);
            self.counted.output_tokens = 0;
        }
        if self.form.stream && first {
            let mut head = reply::head(200, "text/event-stream; charset=utf-8", with);
            head.push_str("cache-control: no-cache\r\n");
            head.push_str(if self.form.old { "\r\n" } else { "transfer-encoding: chunked\r\n\r\n" });
            if let Ok(mut stream) = self.client.stream.lock() {
                stream.begun = true;
            }
            if self.client.write(head.as_bytes()).is_err() {
                return Ended::Client;
            }
            self.answer.start(&self.counted, &mut self.out);
        }
        self.headed = true;
        let first = *self.first.get_or_insert_with(Instant::now);
        loop {
            for piece in pieces.drain(..) {
                match self.take(piece) {
                    Ok(false) => {}
                    Ok(true) => {
                        let sent = self.flush();
                        return if sent.is_ok() { Ended::Whole } else { Ended::Client };
                    }
                    Err(refused @ (Refused::TooMany | Refused::AfterEnd)) => {
                        return Ended::Wrong(refused.why());
                    }
                    Err(refused) => return Ended::Lost(refused.why()),
                }
            }
            if self.flush().is_err() {
                return Ended::Client;
            }
            if begun.done || (ended && self.said_all()) {
                return if self.said_all() {
                    if let Ok(mut silence) = self.shared.silence.lock() {
                        silence.note(longest);
                    }
                    if let Ok(mut paces) = self.shared.paces.lock() {
                        let waited = first.saturating_duration_since(self.arrived);
                        paces.note(task.offering, self.so_far.tokens(), waited, first.elapsed());
                    }
                    Ended::Whole
                } else {
                    Ended::Lost("ended without a reason")
                };
            }
            // One that has said its last token only has its end mark to come.
            if let Some(usual) = &usual
                && self.finish.is_none()
                && self.so_far.may_move().is_some()
            {
                let (at, tokens) = (self.shared.now(), self.so_far.tokens());
                let first = first.saturating_duration_since(self.shared.start);
                let stream = stream.get_or_insert_with(|| Stream::new(first, at, tokens));
                let stays = begun.way.drains().map(|since| drain.saturating_sub(since.elapsed()));
                if let Some(why) = stream.look(at, tokens, self.most, pace, usual, stays) {
                    return Ended::Moves(why);
                }
            }
            bytes.clear();
            let since = Instant::now();
            // One that goes while this waits shortens the wait (`Way::stands`).
            let mut until = since + if begun.way.gone() { GONE.min(stall) } else { stall };
            if !self.form.stream {
                until = until.min(self.until);
            }
            ended = match begun.reply.body(&mut bytes, until) {
                Ok(ended) => ended,
                // All has been said: that the end mark is missing takes nothing from it.
                Err(Fault::TimedOut | Fault::Broken) if self.said_all() => return Ended::Whole,
                Err(Fault::TimedOut) if !self.form.stream && left(self.until).is_zero() => {
                    return Ended::Late;
                }
                Err(Fault::TimedOut) if begun.way.gone() => return Ended::Lost("gone from the list"),
                Err(Fault::TimedOut) => return Ended::Lost("silent"),
                Err(Fault::Rubbish) => return Ended::Lost("rubbish"),
                Err(_) => return Ended::Lost("broken"),
            };
            longest = longest.max(since.elapsed());
            if begun.events.feed(&bytes, &mut events).is_err() {
                return Ended::Lost("rubbish");
            }
            for event in events.drain(..) {
                if event.data == engine::DONE {
                    begun.done = true;
                    continue;
                }
                match engine::piece(&event.data) {
                    Some(piece) if piece.error => return Ended::Lost("an error"),
                    Some(piece) => pieces.push(piece),
                    None => return Ended::Lost("rubbish"),
                }
            }
            if ended && !begun.done && !self.said_all() && pieces.iter().all(|piece| piece.finish.is_none()) {
                return Ended::Lost("ended without its mark");
            }
        }
    }

    /// A writer that fetched the state has computed nothing of the prompt: what was kept is the reader's to tell. One
    /// that goes on counts from where it began, and its prompt is longer by the answer so far.
    fn count(&mut self, usage: Usage) {
        if self.so_far.losses() == 0 {
            self.counted.prompt_tokens = usage.prompt_tokens;
            self.counted.cached_tokens = self.read_kept.unwrap_or(usage.cached_tokens);
        }
        self.counted.output_tokens = self.from + usage.completion_tokens;
    }

    /// Takes one piece; true where a stop sequence ends the answer that no single writer has seen whole.
    fn take(&mut self, piece: Piece) -> Result<bool, Refused> {
        #[cfg(test)]
        assert_ne!(piece.text, "panic", "as the test wants");
        if piece.is_token() {
            if self.finish.is_some() {
                return Err(Refused::AfterEnd);
            }
            let new = self.so_far.piece(piece.position, piece.said())?;
            if self.form.stream && !new.is_empty() {
                Answer::delta(new, &mut self.out);
            } else if !self.form.stream {
                self.text.push_str(new);
            }
        }
        match piece.usage {
            Some(usage) => self.count(usage),
            None => self.counted.output_tokens = self.so_far.tokens(),
        }
        if self.so_far.losses() > 0 && self.so_far.may_end() && piece.finish.is_none() {
            let stop = self.stops.iter().find(|stop| self.so_far.text().ends_with(stop.as_str()));
            if let Some(stop) = stop {
                (self.finish, self.stop) = (Some("stop".to_owned()), Some(stop.clone()));
                return Ok(true);
            }
        }
        if piece.finish.is_some() {
            (self.finish, self.stop) = (piece.finish, piece.stop);
        }
        Ok(false)
    }

    /// The last token has come, with why it is the last.
    fn said_all(&self) -> bool {
        self.finish.is_some() && self.so_far.may_end()
    }

    fn flush(&mut self) -> Result<(), Fault> {
        if self.out.is_empty() {
            return Ok(());
        }
        let chunk = if self.form.old {
            std::mem::take(&mut self.out)
        } else {
            let mut chunk = Vec::with_capacity(self.out.len() + 16);
            write_chunk(&self.out, &mut chunk);
            self.out.clear();
            chunk
        };
        // A lock of the coroutines: whoever waits for it yields, so that it may be held over the write.
        let Ok(mut stream) = self.client.stream.lock() else { return Err(Fault::Broken) };
        let rest = std::mem::take(&mut stream.rest);
        if !rest.is_empty() {
            self.client.write(&rest)?;
        }
        self.client.write(&chunk)?;
        // Chunks of HTTP/1.1 only: a ping is one.
        stream.last = (self.pings && !self.form.old).then(Instant::now);
        Ok(())
    }

    /// The end of a whole answer; false if the client did not take it.
    fn finish(&mut self, with: With) -> bool {
        let stop = stop_reason(self.finish.as_deref(), self.stop.as_deref());
        if !self.form.stream {
            let message = self.answer.message(&self.text, &self.counted, &stop);
            return self.client.write(&reply::json(with, &message)).is_ok();
        }
        Answer::end(&self.counted, &stop, &mut self.out);
        self.flush().is_ok() && (self.form.old || self.client.write(LAST_CHUNK).is_ok())
    }

    fn break_off(&mut self, task: &Task, error: &ApiError, with: With) -> bool {
        if !self.form.stream {
            let with = With { should_retry: Some(repeatable(&self.shared, task)), ..with };
            return self.client.write(&reply::error(error, with)).is_ok();
        }
        Answer::error(error, &task.name, &mut self.out);
        self.flush().is_ok() && (self.form.old || self.client.write(LAST_CHUNK).is_ok())
    }
}
