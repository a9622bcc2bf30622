//! What a stand-in does with a request.

use crate::text;
use crate::{Host, Mid, Role, Waiting};
use serde::Deserialize;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tulipstall_engine as engine;
use tulipstall_http1::body::{LAST_CHUNK, write_chunk};
use tulipstall_http1::{Head, Limits, RequestReader, Step};
use tulipstall_judge::What;
use tulipstall_net::sleep;
use tulipstall_net::{Link, Pool, READ, Reply};

const LIMITS: Limits = Limits { head: 16_384, line: 8192, headers: 64, body: 16 << 20 };
/// A connection without a word for so long is closed.
const IDLE: Duration = Duration::from_secs(15);

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

/// One request with its way back.
struct Asked<'a> {
    host: &'a Arc<Host>,
    link: &'a Link,
    life: u64,
    mark: String,
    from: String,
    /// The mark by which repeats of a referenced task are discarded.
    reference: Option<String>,
}

pub fn connection(host: &Arc<Host>, link: &Link, life: u64) {
    let mut reader = RequestReader::new(LIMITS);
    let dear = host.trouble().dear_ms;
    if dear > 0 {
        sleep(Duration::from_millis(dear));
    }
    let mut buffer = [0; READ];
    loop {
        match reader.poll() {
            Ok(Step::Request(head, body)) => {
                let keeps = answer(host, link, life, &head, &body);
                if !keeps || !head.keep_alive || host.life.load(Ordering::SeqCst) != life {
                    break;
                }
            }
            Ok(_) => match link.read(&mut buffer, Instant::now() + IDLE) {
                Ok(got) if got > 0 => reader.feed(&buffer[..got]),
                _ => break,
            },
            Err(_) => break,
        }
    }
    link.shut();
}

/// Answers one request; whether the connection is good for another.
fn answer(host: &Arc<Host>, link: &Link, life: u64, head: &Head, body: &[u8]) -> bool {
    host.expire();
    let path = head.path().to_owned();
    let from = head.text("via").and_then(|via| via.split(' ').nth(1)).unwrap_or("").to_owned();
    let reference = head.text(engine::REFERENCE).map(str::to_owned);
    let mut asked = Asked { host, link, life, mark: String::new(), from, reference };
    match (head.method.as_str(), path.as_str()) {
        ("POST", engine::COMPLETIONS) => match serde_json::from_slice::<Completion>(body) {
            Ok(completion) => {
                asked.mark = text::mark(&completion.prompt).unwrap_or_default().to_owned();
                asked.complete(&completion)
            }
            Err(error) => asked.reply(400, &[], &json!({"error": {"message": error.to_string()}})),
        },
        ("DELETE", path) if path.starts_with(engine::STATES) => {
            let id = &path[engine::STATES.len()..];
            let state = host.inside().states.remove(id);
            if let Some(state) = &state {
                host.note(&state.mark, &state.from, What::StateLetGo(id.to_owned()));
            }
            asked.reply(if state.is_some() { 200 } else { 404 }, &[], &json!({}))
        }
        ("POST", path) if path.starts_with(engine::STATES) => {
            let id = path[engine::STATES.len()..].trim_end_matches("/take");
            let state = host.inside().states.remove(id);
            let Some(state) = state else { return asked.reply(404, &[], &json!({})) };
            host.note(&state.mark, &state.from, What::StateTaken(id.to_owned()));
            let slow = host.trouble().slow_links;
            let rate = host.spec.link_per_s;
            asked.reply(
                200,
                &[],
                &json!({"tokens": state.tokens, "rate": rate / slow, "blocks": state.blocks.len()}),
            )
        }
        _ => asked.reply(404, &[], &json!({})),
    }
}

impl Asked<'_> {
    fn until(&self) -> Instant {
        Instant::now() + Duration::from_secs(5)
    }

    fn reply(&self, status: u16, headers: &[(&str, &str)], body: &Value) -> bool {
        let body = body.to_string();
        let mut head = format!(
            "HTTP/1.1 {status} \r\ncontent-type: application/json\r\ncontent-length: {}\r\n{}",
            body.len(),
            self.load()
        );
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        self.link.write(format!("{head}\r\n{body}").as_bytes(), self.until()).is_ok()
    }

    /// The load header, with the figures that the operators' hosts tell.
    fn load(&self) -> String {
        let inside = self.host.inside();
        let held: u64 = inside.streams.values().sum::<u64>()
            + inside.states.values().map(|state| u64::from(state.tokens)).sum::<u64>();
        let memory = held as f64 / self.host.spec.memory_tokens.max(1) as f64;
        let wait =
            inside.read_until.map_or(0.0, |at| at.saturating_duration_since(Instant::now()).as_secs_f64());
        let to_read = wait * self.host.spec.read_per_s / 1000.0;
        let tasks = inside.streams.len() as u32 + inside.reading;
        format!(
            "{}: JSON {{\"mem_utilization\":{memory:.4},\"named_metrics\":{{\"inflight\":{tasks},\
             \"thousands_to_read\":{to_read:.3}}}}}\r\n",
            engine::LOAD_HEADER
        )
    }

    fn refuse(&self, status: u16, why: &str) -> bool {
        self.end(true);
        self.reply(status, &[(engine::WHY, why)], &json!({"error": {"message": why}}))
    }

    fn note(&self, what: What) {
        self.host.note(&self.mark, &self.from, what);
    }

    fn end(&self, refused: bool) {
        self.note(What::Ended { refused });
    }

    /// Whether the process that took this still lives and somebody still listens.
    fn wanted(&self) -> bool {
        self.host.life.load(Ordering::SeqCst) == self.life && !self.link.stale()
    }

    /// Sleeps in steps, so that a death or a client that left is noticed.
    fn pass(&self, time: Duration) -> bool {
        let until = Instant::now() + time;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return self.wanted();
            }
            sleep(left.min(Duration::from_millis(50)));
            if !self.wanted() {
                return false;
            }
        }
    }

    fn complete(&self, completion: &Completion) -> bool {
        let flag = |name: &str| {
            completion.kv_transfer_params.as_ref().is_some_and(|params| params[name] == Value::Bool(true))
        };
        let reads = flag("do_remote_decode");
        self.note(if reads { What::Read } else { What::Write });
        self.host.pushed();
        let trouble = self.host.trouble();
        if !self.host.is_up() {
            self.end(false);
            return false;
        }
        let fails = trouble.fail > 0.0 && {
            let drawn = text::hash((&self.mark, &self.host.name)) % 1000;
            (drawn as f64) < trouble.fail * 1000.0
        };
        if fails {
            self.end(false);
            return self.reply(500, &[], &json!({"error": {"message": "out of order"}}));
        }
        if trouble.draining {
            return self.refuse(503, "draining");
        }
        if trouble.hang || trouble.unanswered.as_deref() == Some(&completion.model) {
            // A minute: longer than anyone waits.
            self.pass(Duration::from_secs(60));
            self.end(false);
            return false;
        }
        if reads {
            self.read(completion, trouble.slow)
        } else {
            self.write(completion, flag("do_remote_prefill"))
        }
    }

    /// Reads one prompt after the other; gives how many of its tokens were kept, or nothing if refused.
    fn read_prompt(&self, prompt: &str, slow: f64) -> Option<(u32, u32, Vec<u64>)> {
        let (blocks, tokens) = text::blocks(prompt);
        let spec = &self.host.spec;
        let (wait, kept) = {
            let mut inside = self.host.inside();
            let held: u64 = inside.states.values().map(|state| u64::from(state.tokens)).sum();
            if inside.reading >= spec.slots + spec.queue || held + u64::from(tokens) > spec.memory_tokens {
                return None;
            }
            let kept = (inside.kept.read(&blocks) * text::BLOCK) as u32;
            let now = Instant::now();
            let takes = f64::from(tokens - kept.min(tokens) + 16) / spec.read_per_s * slow;
            let done = inside.read_until.unwrap_or(now).max(now) + Duration::from_secs_f64(takes.min(3600.0));
            inside.read_until = Some(done);
            inside.reading += 1;
            (done - now, kept)
        };
        self.pass(wait);
        let mut inside = self.host.inside();
        inside.reading = inside.reading.saturating_sub(1);
        Some((tokens, kept.min(tokens), blocks))
    }

    fn read(&self, completion: &Completion, slow: f64) -> bool {
        if self.host.spec.role == Role::Write {
            return self.refuse(503, "full");
        }
        let Some((tokens, kept, blocks)) = self.read_prompt(&completion.prompt, slow) else {
            return self.refuse(429, "full");
        };
        if !self.wanted() {
            self.end(false);
            return false;
        }
        let id = format!("s{:08x}", self.host.serial.fetch_add(1, Ordering::SeqCst));
        let (mark, from) = (self.mark.clone(), self.from.clone());
        let state = Waiting { tokens, blocks, mark, from, since: Instant::now() };
        self.host.inside().states.insert(id.clone(), state);
        self.note(What::StateMade(id.clone()));
        self.end(false);
        let told = self.reply(
            200,
            &[],
            &json!({
                "object": "text_completion",
                "choices": [{"index": 0, "text": "", "finish_reason": "length"}],
                "usage": {"prompt_tokens": tokens, "completion_tokens": 1, "total_tokens": tokens + 1,
                          "prompt_tokens_details": {"cached_tokens": kept}},
                "kv_transfer_params": {"do_remote_prefill": true, "do_remote_decode": false,
                    "remote_engine_id": self.host.name, "remote_host": self.host.address.ip().to_string(),
                    "remote_port": self.host.address.port(), "state_id": id},
            }),
        );
        if !told && self.host.inside().states.remove(&id).is_some() {
            self.note(What::StateLetGo(id));
        }
        told
    }

    /// Fetches a state over a socket from the reader that holds it; its prompt's tokens, or nothing.
    fn fetch(&self, params: &Value) -> Option<u32> {
        let state: engine::State = serde_json::from_value(params.clone()).ok()?;
        let address = format!("{}:{}", state.remote_host, state.remote_port).parse().ok()?;
        let pool = Pool::new(address, 0, Duration::ZERO);
        let link = pool.take(Duration::from_millis(250)).ok()?;
        let request = format!(
            "POST {}{}/take HTTP/1.1\r\nhost: {address}\r\ncontent-length: 0\r\n\r\n",
            engine::STATES,
            state.state_id
        );
        link.write(request.as_bytes(), self.until()).ok()?;
        let mut reply = Reply::new(link, LIMITS);
        let head = reply.head(self.until()).ok().filter(|head| head.status == 200)?;
        drop(head);
        let body: Value = serde_json::from_slice(&reply.whole_body(self.until()).ok()?).ok()?;
        let (tokens, rate) = (body["tokens"].as_u64()?, body["rate"].as_f64()?);
        self.pass(Duration::from_secs_f64((tokens as f64 / rate.max(1.0)).min(60.0)));
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
        let slot = self.host.serial.fetch_add(1, Ordering::SeqCst);
        self.host.inside().streams.insert(slot, 0);
        let keeps = self.stream(completion, fetches, slot);
        self.host.inside().streams.remove(&slot);
        keeps
    }

    /// Waits for a slot in the queue; false if that is full or nobody waits any more.
    fn wait_for_slot(&self) -> bool {
        let spec = &self.host.spec;
        let free = |streams: &BTreeMap<u64, u64>| {
            streams.len() < spec.slots as usize && streams.values().sum::<u64>() < spec.memory_tokens
        };
        {
            let mut inside = self.host.inside();
            if free(&inside.streams) && inside.queued == 0 {
                return true;
            }
            if inside.queued >= spec.queue {
                return false;
            }
            inside.queued += 1;
        }
        let mut got = false;
        while !got && self.pass(Duration::from_millis(5)) {
            got = free(&self.host.inside().streams);
        }
        let mut inside = self.host.inside();
        inside.queued = inside.queued.saturating_sub(1);
        got
    }

    fn stream(&self, completion: &Completion, fetches: bool, slot: u64) -> bool {
        let (prompt_tokens, kept) = if fetches {
            match completion.kv_transfer_params.as_ref().and_then(|params| self.fetch(params)) {
                Some(tokens) => (tokens, tokens),
                None => return self.refuse(424, "no-state"),
            }
        } else {
            match self.read_prompt(&completion.prompt, self.host.trouble().slow) {
                Some((tokens, kept, _)) => (tokens, kept),
                None => return self.refuse(429, "full"),
            }
        };
        if !self.wanted() {
            self.end(false);
            return false;
        }
        let repeat = self.reference.as_ref().is_some_and(|mark| self.host.discards(mark));
        self.note(if repeat { What::Repeat } else { What::Ran });
        let keeps = self.tokens(completion, prompt_tokens, kept, slot);
        self.end(false);
        keeps
    }

    fn tokens(&self, completion: &Completion, prompt_tokens: u32, kept: u32, slot: u64) -> bool {
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n{}\r\n",
            self.load()
        );
        if self.link.write(head.as_bytes(), self.until()).is_err() {
            return false;
        }
        // An answer that goes on is that of the prompt before it, from its position on.
        let answered = completion.resume.map_or(0, |resume| resume.answer_bytes);
        let original =
            completion.prompt.get(..completion.prompt.len().saturating_sub(answered)).unwrap_or("");
        let from = completion.resume.map_or(0, |resume| resume.from);
        let most = from + completion.max_tokens;
        let tokens = text::Tokens::of(original);
        let length = tokens.count().min(most);
        let natural = tokens.count() <= most;
        let (mut said, mut finish, mut stopped) = (Vec::new(), None, None);
        for at in from.. {
            if !self.step(slot, u64::from(prompt_tokens) + u64::from(at)) {
                return false;
            }
            let trouble = self.host.trouble();
            let mid = trouble.mid.filter(|(after, _)| at >= *after).map(|(_, mid)| mid);
            if mid.is_some() {
                self.host.broke.fetch_add(1, Ordering::SeqCst);
            }
            match mid {
                None | Some(Mid::TooMany) => {}
                Some(Mid::Silent) => {
                    self.pass(Duration::from_secs(60));
                    return false;
                }
                Some(Mid::Rubbish) => {
                    let _ = self.link.write(b"7\r\n\x00\xff{{{\n\n\r\n", self.until());
                    return self.piece("data: {\"choices\":[{\"text\":", false);
                }
                Some(Mid::EndlessLine) => {
                    let line = "data: ".to_owned() + &"x".repeat(1 << 17);
                    return self.piece(&line, false);
                }
                Some(Mid::EndsWithoutMark) => {
                    let _ = self.link.write(LAST_CHUNK, self.until());
                    return true;
                }
                Some(Mid::Reset) => {
                    self.link.shut();
                    return false;
                }
            }
            let word = tokens.token(at);
            said.extend_from_slice(&word);
            if let Some(stop) = completion.stop.iter().find(|stop| said.ends_with(stop.as_bytes())) {
                (finish, stopped) = (Some("stop"), Some(stop.clone()));
            } else if at + 1 == length && mid != Some(Mid::TooMany) {
                finish = Some(if natural { "stop" } else { "length" });
            }
            let (text, bytes) = match std::str::from_utf8(&word) {
                Ok(text) => (text, None),
                Err(_) => ("", Some(&word)),
            };
            let event = json!({
                "object": "text_completion",
                "choices": [{"index": 0, "text": text, "bytes": bytes, "position": at, "finish_reason": finish,
                             "stop_reason": stopped}],
                "usage": {"prompt_tokens": prompt_tokens, "completion_tokens": at + 1 - from,
                          "prompt_tokens_details": {"cached_tokens": kept}},
            });
            if !self.piece(&format!("data: {event}\n\n"), true) {
                return false;
            }
            if finish.is_some() {
                break;
            }
        }
        let mut end = Vec::new();
        write_chunk(format!("data: {}\n\n", engine::DONE).as_bytes(), &mut end);
        end.extend_from_slice(LAST_CHUNK);
        self.link.write(&end, self.until()).is_ok()
    }

    fn piece(&self, text: &str, goes_on: bool) -> bool {
        let mut chunk = Vec::with_capacity(text.len() + 16);
        write_chunk(text.as_bytes(), &mut chunk);
        self.link.write(&chunk, self.until()).is_ok() && goes_on
    }

    /// The time of one token: slower with more streams. When memory ends the newest stream is pushed out, waits
    /// for room and is read anew.
    fn step(&self, slot: u64, tokens: u64) -> bool {
        let spec = &self.host.spec;
        let slow = self.host.trouble().slow;
        let (load, pushed_out) = {
            let mut inside = self.host.inside();
            inside.streams.insert(slot, tokens);
            let newest = inside.streams.keys().next_back() == Some(&slot);
            let full = inside.streams.values().sum::<u64>() > spec.memory_tokens;
            (inside.streams.len() as f64 / f64::from(spec.slots.max(1)), newest && full)
        };
        if pushed_out {
            self.host.inside().streams.insert(slot, 0);
            loop {
                let held = self.host.inside().streams.values().sum::<u64>();
                if held + tokens <= spec.memory_tokens || held == 0 {
                    break;
                }
                if !self.pass(Duration::from_millis(20)) {
                    return false;
                }
            }
            self.pass(Duration::from_secs_f64(tokens as f64 / spec.read_per_s));
        }
        self.pass(Duration::from_secs_f64(spec.token_ms * (1.0 + load) * slow / 1e3))
    }
}
