//! Request handling of a stand-in host.

use crate::text;
use crate::{Host, PendingState, Role, StreamFault};
use serde::Deserialize;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tulipstall_engine as engine;
use tulipstall_http1::body::{LAST_CHUNK, write_chunk};
use tulipstall_http1::{Limits, RequestEvent, RequestHead, RequestReader};
use tulipstall_judge::HostEventKind;
use tulipstall_net::sleep;
use tulipstall_net::{Link, Pool, READ_BUFFER_BYTES, Reply};

const HTTP_LIMITS: Limits =
    Limits { max_head_bytes: 16_384, max_line_bytes: 8192, max_header_lines: 64, max_body_bytes: 16 << 20 };
/// A connection without a request for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

#[derive(Deserialize)]
struct Completion {
    #[serde(default)]
    model: String,
    prompt: String,
    max_tokens: u32,
    #[serde(default)]
    stop: Vec<String>,
    kv_transfer_params: Option<Value>,
    #[serde(rename = "tulipstall_resume")]
    resume: Option<engine::Resume>,
}

/// One request with the connection for its response.
struct Exchange<'a> {
    host: &'a Arc<Host>,
    link: &'a Link,
    generation: u64,
    tag: String,
    dispatcher: String,
    /// The reference by which repeats of a task are discarded.
    reference: Option<String>,
}

/// Serves a connection until it ends.
pub fn connection(host: &Arc<Host>, link: &Link, generation: u64) {
    let mut reader = RequestReader::new(HTTP_LIMITS);
    let connect_delay_ms = host.faults().connect_delay_ms;
    if connect_delay_ms > 0 {
        sleep(Duration::from_millis(connect_delay_ms));
    }
    let mut buffer = [0; READ_BUFFER_BYTES];
    loop {
        match reader.poll() {
            Ok(RequestEvent::Request(head, body)) => {
                let reusable = answer(host, link, generation, &head, &body);
                if !reusable || !head.keep_alive || host.generation.load(Ordering::SeqCst) != generation {
                    break;
                }
            }
            Ok(_) => match link.read(&mut buffer, Instant::now() + IDLE_TIMEOUT) {
                Ok(received) if received > 0 => reader.feed(&buffer[..received]),
                _ => break,
            },
            Err(_) => break,
        }
    }
    link.shut();
}

/// Answers one request. Returns whether the connection can be used for another.
fn answer(host: &Arc<Host>, link: &Link, generation: u64, head: &RequestHead, body: &[u8]) -> bool {
    host.drop_expired_states();
    let path = head.path().to_owned();
    let dispatcher = head.header("via").and_then(|via| via.split(' ').nth(1)).unwrap_or("").to_owned();
    let reference = head.header(engine::REFERENCE_HEADER).map(str::to_owned);
    let mut exchange = Exchange { host, link, generation, tag: String::new(), dispatcher, reference };
    match (head.method.as_str(), path.as_str()) {
        ("POST", engine::COMPLETIONS_PATH) => match serde_json::from_slice::<Completion>(body) {
            Ok(completion) => {
                exchange.tag = text::task_tag(&completion.prompt).unwrap_or_default().to_owned();
                exchange.complete(&completion)
            }
            Err(error) => exchange.reply(400, &[], &json!({"error": {"message": error.to_string()}})),
        },
        ("DELETE", path) if path.starts_with(engine::STATES_PATH) => {
            let id = &path[engine::STATES_PATH.len()..];
            let state = host.inner().states.remove(id);
            if let Some(state) = &state {
                host.record(&state.tag, &state.dispatcher, HostEventKind::StateReleased(id.to_owned()));
            }
            exchange.reply(if state.is_some() { 200 } else { 404 }, &[], &json!({}))
        }
        ("POST", path) if path.starts_with(engine::STATES_PATH) => {
            let id = path[engine::STATES_PATH.len()..].trim_end_matches("/take");
            let state = host.inner().states.remove(id);
            let Some(state) = state else { return exchange.reply(404, &[], &json!({})) };
            host.record(&state.tag, &state.dispatcher, HostEventKind::StateTaken(id.to_owned()));
            let slowdown = host.faults().link_slowdown;
            let rate = host.spec.fetch_tokens_per_s;
            exchange.reply(
                200,
                &[],
                &json!({"tokens": state.tokens, "rate": rate / slowdown, "blocks": state.blocks.len()}),
            )
        }
        _ => exchange.reply(404, &[], &json!({})),
    }
}

impl Exchange<'_> {
    fn write_deadline(&self) -> Instant {
        Instant::now() + Duration::from_secs(5)
    }

    fn reply(&self, status: u16, headers: &[(&str, &str)], body: &Value) -> bool {
        let body = body.to_string();
        let mut head = format!(
            "HTTP/1.1 {status} \r\ncontent-type: application/json\r\ncontent-length: {}\r\n{}",
            body.len(),
            self.load_header_line()
        );
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        self.link.write(format!("{head}\r\n{body}").as_bytes(), self.write_deadline()).is_ok()
    }

    /// The load header line, with the figures that the operators' hosts report.
    fn load_header_line(&self) -> String {
        let inner = self.host.inner();
        let held: u64 = inner.streams.values().sum::<u64>()
            + inner.states.values().map(|state| u64::from(state.tokens)).sum::<u64>();
        let memory = held as f64 / self.host.spec.memory_tokens.max(1) as f64;
        let wait =
            inner.read_until.map_or(0.0, |at| at.saturating_duration_since(Instant::now()).as_secs_f64());
        let to_read = wait * self.host.spec.read_per_s / 1000.0;
        let tasks = inner.streams.len() as u32 + inner.reading;
        format!(
            "{}: JSON {{\"mem_utilization\":{memory:.4},\"named_metrics\":{{\"inflight\":{tasks},\
             \"thousands_to_read\":{to_read:.3}}}}}\r\n",
            engine::LOAD_HEADER
        )
    }

    fn refuse(&self, status: u16, why: &str) -> bool {
        self.record_end(true);
        self.reply(status, &[(engine::REASON_HEADER, why)], &json!({"error": {"message": why}}))
    }

    fn record(&self, kind: HostEventKind) {
        self.host.record(&self.tag, &self.dispatcher, kind);
    }

    fn record_end(&self, refused: bool) {
        self.record(HostEventKind::Ended { refused });
    }

    /// Whether the host has not crashed since and the client is still connected.
    fn still_wanted(&self) -> bool {
        self.host.generation.load(Ordering::SeqCst) == self.generation && !self.link.is_stale()
    }

    /// Sleeps in short steps, so that a crash or a client's disconnect is noticed. Returns whether the request is still
    /// wanted.
    fn sleep_while_wanted(&self, time: Duration) -> bool {
        let until = Instant::now() + time;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return self.still_wanted();
            }
            sleep(left.min(Duration::from_millis(50)));
            if !self.still_wanted() {
                return false;
            }
        }
    }

    fn complete(&self, completion: &Completion) -> bool {
        let flag = |name: &str| {
            completion.kv_transfer_params.as_ref().is_some_and(|params| params[name] == Value::Bool(true))
        };
        let reads = flag("do_remote_decode");
        self.record(if reads { HostEventKind::Read } else { HostEventKind::Write });
        self.host.count_cold_arrival();
        let faults = self.host.faults();
        if !self.host.is_up() {
            self.record_end(false);
            return false;
        }
        let fails = faults.error_share > 0.0 && {
            let drawn = text::hash((&self.tag, &self.host.name)) % 1000;
            (drawn as f64) < faults.error_share * 1000.0
        };
        if fails {
            self.record_end(false);
            return self.reply(500, &[], &json!({"error": {"message": "out of order"}}));
        }
        if faults.draining {
            return self.refuse(503, "draining");
        }
        if faults.hang || faults.unanswered_model.as_deref() == Some(&completion.model) {
            // A minute is longer than any client waits.
            self.sleep_while_wanted(Duration::from_secs(60));
            self.record_end(false);
            return false;
        }
        if reads {
            self.read(completion, faults.slowdown)
        } else {
            self.write(completion, flag("do_remote_prefill"))
        }
    }

    /// Reads prompts one after the other. Returns the tokens of the prompt, how many of them were cached, and the hashes
    /// of its blocks; or none if refused.
    fn read_prompt(&self, prompt: &str, slowdown: f64) -> Option<(u32, u32, Vec<u64>)> {
        let (blocks, tokens) = text::blocks(prompt);
        let spec = &self.host.spec;
        let (wait, cached) = {
            let mut inner = self.host.inner();
            let held: u64 = inner.states.values().map(|state| u64::from(state.tokens)).sum();
            if inner.reading >= spec.slots + spec.queue || held + u64::from(tokens) > spec.memory_tokens {
                return None;
            }
            let cached = (inner.cache.look_up_and_insert(&blocks) * text::BLOCK_TOKENS) as u32;
            let now = Instant::now();
            // Each read takes at least the time of 16 tokens, also where all of the prompt is cached.
            let read_s = f64::from(tokens - cached.min(tokens) + 16) / spec.read_per_s * slowdown;
            let done = inner.read_until.unwrap_or(now).max(now) + Duration::from_secs_f64(read_s.min(3600.0));
            inner.read_until = Some(done);
            inner.reading += 1;
            (done - now, cached)
        };
        self.sleep_while_wanted(wait);
        let mut inner = self.host.inner();
        inner.reading = inner.reading.saturating_sub(1);
        Some((tokens, cached.min(tokens), blocks))
    }

    fn read(&self, completion: &Completion, slowdown: f64) -> bool {
        if self.host.spec.role == Role::Write {
            return self.refuse(503, "full");
        }
        let Some((tokens, cached, blocks)) = self.read_prompt(&completion.prompt, slowdown) else {
            return self.refuse(429, "full");
        };
        if !self.still_wanted() {
            self.record_end(false);
            return false;
        }
        let id = format!("s{:08x}", self.host.next_id.fetch_add(1, Ordering::SeqCst));
        let (tag, dispatcher) = (self.tag.clone(), self.dispatcher.clone());
        let state = PendingState { tokens, blocks, tag, dispatcher, created: Instant::now() };
        self.host.inner().states.insert(id.clone(), state);
        self.record(HostEventKind::StateMade(id.clone()));
        self.record_end(false);
        let sent = self.reply(
            200,
            &[],
            &json!({
                "object": "text_completion",
                "choices": [{"index": 0, "text": "", "finish_reason": "length"}],
                "usage": {"prompt_tokens": tokens, "completion_tokens": 1, "total_tokens": tokens + 1,
                          "prompt_tokens_details": {"cached_tokens": cached}},
                "kv_transfer_params": {"do_remote_prefill": true, "do_remote_decode": false,
                    "remote_engine_id": self.host.name, "remote_host": self.host.address.ip().to_string(),
                    "remote_port": self.host.address.port(), "state_id": id},
            }),
        );
        if !sent && self.host.inner().states.remove(&id).is_some() {
            self.record(HostEventKind::StateReleased(id));
        }
        sent
    }

    /// Fetches a state over a socket from the reader that holds it. Returns the tokens of its prompt.
    fn fetch_state(&self, params: &Value) -> Option<u32> {
        let state: engine::State = serde_json::from_value(params.clone()).ok()?;
        let address = format!("{}:{}", state.remote_host, state.remote_port).parse().ok()?;
        let pool = Pool::new(address, 0, Duration::ZERO);
        let link = pool.take(Duration::from_millis(250)).ok()?;
        let request = format!(
            "POST {}{}/take HTTP/1.1\r\nhost: {address}\r\ncontent-length: 0\r\n\r\n",
            engine::STATES_PATH,
            state.state_id
        );
        link.write(request.as_bytes(), self.write_deadline()).ok()?;
        let mut reply = Reply::new(link, HTTP_LIMITS);
        let head = reply.head(self.write_deadline()).ok().filter(|head| head.status == 200)?;
        drop(head);
        let body: Value = serde_json::from_slice(&reply.whole_body(self.write_deadline()).ok()?).ok()?;
        let (tokens, rate) = (body["tokens"].as_u64()?, body["rate"].as_f64()?);
        self.sleep_while_wanted(Duration::from_secs_f64((tokens as f64 / rate.max(1.0)).min(60.0)));
        Some(tokens as u32)
    }

    fn write(&self, completion: &Completion, fetches: bool) -> bool {
        let spec = &self.host.spec;
        if spec.role == Role::Read || (!fetches && spec.role == Role::Write) {
            return self.refuse(424, "no-state");
        }
        if !self.wait_for_slot() {
            return self.refuse(429, "full");
        }
        let stream_id = self.host.next_id.fetch_add(1, Ordering::SeqCst);
        self.host.inner().streams.insert(stream_id, 0);
        let reusable = self.stream(completion, fetches, stream_id);
        self.host.inner().streams.remove(&stream_id);
        reusable
    }

    /// Waits for a slot. Returns false if the queue is full or the request is no longer wanted.
    fn wait_for_slot(&self) -> bool {
        let spec = &self.host.spec;
        let has_free_slot = |streams: &BTreeMap<u64, u64>| {
            streams.len() < spec.slots as usize && streams.values().sum::<u64>() < spec.memory_tokens
        };
        {
            let mut inner = self.host.inner();
            if has_free_slot(&inner.streams) && inner.queued == 0 {
                return true;
            }
            if inner.queued >= spec.queue {
                return false;
            }
            inner.queued += 1;
        }
        let mut free_slot = false;
        while !free_slot && self.sleep_while_wanted(Duration::from_millis(5)) {
            free_slot = has_free_slot(&self.host.inner().streams);
        }
        let mut inner = self.host.inner();
        inner.queued = inner.queued.saturating_sub(1);
        free_slot
    }

    fn stream(&self, completion: &Completion, fetches: bool, stream_id: u64) -> bool {
        let (prompt_tokens, cached) = if fetches {
            match completion.kv_transfer_params.as_ref().and_then(|params| self.fetch_state(params)) {
                Some(tokens) => (tokens, tokens),
                None => return self.refuse(424, "no-state"),
            }
        } else {
            match self.read_prompt(&completion.prompt, self.host.faults().slowdown) {
                Some((tokens, cached, _)) => (tokens, cached),
                None => return self.refuse(429, "full"),
            }
        };
        if !self.still_wanted() {
            self.record_end(false);
            return false;
        }
        let is_repeat =
            self.reference.as_ref().is_some_and(|reference| self.host.record_reference(reference));
        self.record(if is_repeat { HostEventKind::Repeat } else { HostEventKind::Ran });
        let reusable = self.send_tokens(completion, prompt_tokens, cached, stream_id);
        self.record_end(false);
        reusable
    }

    fn send_tokens(&self, completion: &Completion, prompt_tokens: u32, cached: u32, stream_id: u64) -> bool {
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n{}\r\n",
            self.load_header_line()
        );
        if self.link.write(head.as_bytes(), self.write_deadline()).is_err() {
            return false;
        }
        // A resumed answer is the answer to the original prompt, from the given position on.
        let answered_bytes = completion.resume.map_or(0, |resume| resume.answer_bytes);
        let original =
            completion.prompt.get(..completion.prompt.len().saturating_sub(answered_bytes)).unwrap_or("");
        let from = completion.resume.map_or(0, |resume| resume.from);
        let max_length = from + completion.max_tokens;
        let tokens = text::Tokens::for_prompt(original);
        let length = tokens.count().min(max_length);
        let fits = tokens.count() <= max_length;
        let (mut written, mut finish, mut stop_sequence) = (Vec::new(), None, None);
        for at in from.. {
            if !self.wait_for_token(stream_id, u64::from(prompt_tokens) + u64::from(at)) {
                return false;
            }
            let faults = self.host.faults();
            let fault = faults.mid_stream.filter(|(after, _)| at >= *after).map(|(_, fault)| fault);
            if fault.is_some() {
                self.host.stream_faults.fetch_add(1, Ordering::SeqCst);
            }
            match fault {
                None | Some(StreamFault::ExtraTokens) => {}
                Some(StreamFault::Silent) => {
                    self.sleep_while_wanted(Duration::from_secs(60));
                    return false;
                }
                Some(StreamFault::Malformed) => {
                    let _ = self.link.write(b"7\r\n\x00\xff{{{\n\n\r\n", self.write_deadline());
                    return self.write_text_chunk("data: {\"choices\":[{\"text\":", false);
                }
                Some(StreamFault::EndlessLine) => {
                    let line = "data: ".to_owned() + &"x".repeat(1 << 17);
                    return self.write_text_chunk(&line, false);
                }
                Some(StreamFault::NoEndMarker) => {
                    let _ = self.link.write(LAST_CHUNK, self.write_deadline());
                    return true;
                }
                Some(StreamFault::Reset) => {
                    self.link.shut();
                    return false;
                }
            }
            let word = tokens.token(at);
            written.extend_from_slice(&word);
            if let Some(stop) = completion.stop.iter().find(|stop| written.ends_with(stop.as_bytes())) {
                (finish, stop_sequence) = (Some("stop"), Some(stop.clone()));
            } else if at + 1 == length && fault != Some(StreamFault::ExtraTokens) {
                finish = Some(if fits { "stop" } else { "length" });
            }
            let (text, bytes) = match std::str::from_utf8(&word) {
                Ok(text) => (text, None),
                Err(_) => ("", Some(&word)),
            };
            let event = json!({
                "object": "text_completion",
                "choices": [{"index": 0, "text": text, "bytes": bytes, "position": at, "finish_reason": finish,
                             "stop_reason": stop_sequence}],
                "usage": {"prompt_tokens": prompt_tokens, "completion_tokens": at + 1 - from,
                          "prompt_tokens_details": {"cached_tokens": cached}},
            });
            if !self.write_text_chunk(&format!("data: {event}\n\n"), true) {
                return false;
            }
            if finish.is_some() {
                break;
            }
        }
        let mut end = Vec::new();
        write_chunk(format!("data: {}\n\n", engine::END_OF_STREAM).as_bytes(), &mut end);
        end.extend_from_slice(LAST_CHUNK);
        self.link.write(&end, self.write_deadline()).is_ok()
    }

    fn write_text_chunk(&self, text: &str, reusable: bool) -> bool {
        let mut chunk = Vec::with_capacity(text.len() + 16);
        write_chunk(text.as_bytes(), &mut chunk);
        self.link.write(&chunk, self.write_deadline()).is_ok() && reusable
    }

    /// Sleeps for the time of one token, longer with more streams. When memory runs out, the newest stream is preempted,
    /// waits for memory and has its prompt read again.
    fn wait_for_token(&self, stream_id: u64, tokens: u64) -> bool {
        let spec = &self.host.spec;
        let slowdown = self.host.faults().slowdown;
        let (load, preempted) = {
            let mut inner = self.host.inner();
            inner.streams.insert(stream_id, tokens);
            let newest = inner.streams.keys().next_back() == Some(&stream_id);
            let full = inner.streams.values().sum::<u64>() > spec.memory_tokens;
            (inner.streams.len() as f64 / f64::from(spec.slots.max(1)), newest && full)
        };
        if preempted {
            self.host.inner().streams.insert(stream_id, 0);
            loop {
                let held = self.host.inner().streams.values().sum::<u64>();
                if held + tokens <= spec.memory_tokens || held == 0 {
                    break;
                }
                if !self.sleep_while_wanted(Duration::from_millis(20)) {
                    return false;
                }
            }
            self.sleep_while_wanted(Duration::from_secs_f64(tokens as f64 / spec.read_per_s));
        }
        self.sleep_while_wanted(Duration::from_secs_f64(spec.token_ms * (1.0 + load) * slowdown / 1e3))
    }
}
