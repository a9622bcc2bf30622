//! An open-loop load generator: each request has a scheduled time that does not depend on earlier responses, and its
//! latency counts from that time.

use crate::client::{self, ClientOptions, Request};
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tulipstall_engine as engine;
use tulipstall_http1::{Limits, sse};
use tulipstall_judge::Answer;
use tulipstall_net::{Link, Pool, Reply, spawn};

/// The receiver of the load.
#[derive(Clone)]
pub enum Target {
    /// A dispatcher, by the messages API.
    Dispatcher(SocketAddr),
    /// A mixed host, by the engines' protocol, without a dispatcher.
    Host(SocketAddr),
}

/// What load to generate.
#[derive(Clone)]
pub struct Load {
    pub target: Target,
    pub model: String,
    pub per_second: f64,
    pub seconds: f64,
    /// Tokens of each answer.
    pub tokens: u32,
    /// Bytes of each prompt.
    pub prompt_bytes: usize,
    pub stream: bool,
    /// The API key, for a dispatcher that requires one.
    pub key: Option<String>,
    /// The connection pool for a host, as a dispatcher has one.
    pub pool: Option<Arc<Pool>>,
}

/// The results of a load.
pub struct Report {
    pub sent: u64,
    /// The number of answers by kind.
    pub answers: BTreeMap<String, u64>,
    /// Microseconds from the scheduled time of a request to its first token.
    pub first_token_us: Histogram<u64>,
    /// Microseconds from the scheduled time of a request to its end.
    pub total_us: Histogram<u64>,
    /// How late requests were sent, in microseconds. This delay is the generator's own.
    pub send_delay_us: Histogram<u64>,
    pub tokens: u64,
    pub took: Duration,
}

fn histogram() -> io::Result<Histogram<u64>> {
    // From one microsecond to ten minutes, with three significant digits.
    Histogram::new_with_bounds(1, 600_000_000, 3).map_err(io::Error::other)
}

/// The result of one request.
struct RequestResult {
    /// Time from the scheduled time to the first token.
    first_token: Option<Duration>,
    tokens: u64,
    answer: String,
}

/// Generates the load and waits for all answers.
pub fn run(load: &Load) -> io::Result<Report> {
    let report = Report {
        sent: 0,
        answers: BTreeMap::new(),
        first_token_us: histogram()?,
        total_us: histogram()?,
        send_delay_us: histogram()?,
        tokens: 0,
        took: Duration::ZERO,
    };
    let report = Arc::new(Mutex::new(report));
    let (own_load, own_report) = (load.clone(), report.clone());
    let began = Instant::now();
    let generator = spawn(move || generate(&own_load, &own_report));
    generator.join().map_err(|_| io::Error::other("the load failed"))?;
    let mut report = Arc::try_unwrap(report)
        .map_err(|_| io::Error::other("a client is still running"))?
        .into_inner()
        .map_err(|_| io::Error::other("a client failed"))?;
    report.took = began.elapsed();
    Ok(report)
}

/// Sends the requests at their scheduled times and waits for all of them.
fn generate(load: &Load, report: &Arc<Mutex<Report>>) {
    let count = (load.per_second * load.seconds) as u64;
    let began = Instant::now();
    let clients: Vec<_> = (0..count)
        .map(|number| {
            let due = began + Duration::from_secs_f64(number as f64 / load.per_second);
            let wait = due.saturating_duration_since(Instant::now());
            if wait > Duration::from_micros(200) {
                tulipstall_net::sleep(wait);
            }
            let (load, report) = (load.clone(), report.clone());
            spawn(move || {
                let sent = Instant::now();
                let result = send(&load, number, due);
                let total = due.elapsed();
                let Ok(mut report) = report.lock() else { return };
                report.sent += 1;
                report.tokens += result.tokens;
                // Values beyond the bounds count at the bounds.
                report
                    .send_delay_us
                    .saturating_record(sent.saturating_duration_since(due).as_micros() as u64);
                if let Some(first_token) = result.first_token {
                    report.first_token_us.saturating_record(first_token.as_micros() as u64);
                    report.total_us.saturating_record(total.as_micros() as u64);
                }
                *report.answers.entry(result.answer).or_default() += 1;
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
}

fn prompt(load: &Load, number: u64) -> String {
    // The same text but for the end, so that prompts are cached and reading does not dominate the result.
    format!("{} [[len:{}]] [[task:{number}.0]]", "x".repeat(load.prompt_bytes), load.tokens)
}

/// Sends one request and waits for its end.
fn send(load: &Load, number: u64, due: Instant) -> RequestResult {
    match &load.target {
        Target::Dispatcher(address) => {
            let mut request = Request::new(&load.model, &prompt(load, number));
            (request.most_tokens, request.stream) = (load.tokens.max(1), load.stream);
            if let Some(key) = &load.key {
                request = request.with("x-api-key", key);
            }
            let late = due.elapsed();
            let response = client::send_request(*address, &request, ClientOptions::default());
            let answer = match &response.answer {
                Answer::Wrong(why) => format!("wrong: {why}"),
                other => format!("{other:?}"),
            };
            RequestResult {
                first_token: response.first_token.map(|first_token| first_token + late),
                tokens: response.usage[2],
                answer,
            }
        }
        Target::Host(_) => {
            let mut result = RequestResult { first_token: None, tokens: 0, answer: "Cut".to_owned() };
            send_to_host(load, number, due, &mut result);
            result
        }
    }
}

/// Sends the same request to a host directly. Stops at any fault; `result` then has what was received.
fn send_to_host(load: &Load, number: u64, due: Instant, result: &mut RequestResult) -> Option<()> {
    let pool = load.pool.as_ref()?;
    let until = Instant::now() + Duration::from_secs(60);
    let link: Link = pool.take(Duration::from_secs(1)).ok()?;
    let engine_prompt = engine::EngineRequest {
        model: load.model.clone(),
        text: prompt(load, number),
        max_tokens: load.tokens,
        ..engine::EngineRequest::default()
    };
    let body = engine::body(&engine_prompt, engine::Stage::Whole);
    let request =
        engine::request(&pool.address().to_string(), "load", &number.to_string(), &engine_prompt, &body);
    link.write(&request, until).ok()?;
    let mut reply = Reply::new(link, Limits { max_body_bytes: 1 << 30, ..Limits::default() });
    let head = reply.head(until).ok()?;
    result.answer = head.status.to_string();
    let (mut reader, mut bytes, mut events) = (sse::EventReader::new(65_536), Vec::new(), Vec::new());
    loop {
        bytes.clear();
        let ended = reply.body(&mut bytes, until).ok()?;
        reader.feed(&bytes, &mut events).ok()?;
        for event in events.drain(..).filter(|event| event.data != engine::END_OF_STREAM) {
            result.first_token.get_or_insert_with(|| due.elapsed());
            result.tokens += u64::from(!engine::piece(&event.data)?.text.is_empty());
        }
        if ended {
            break;
        }
    }
    if head.status == 200 {
        result.answer = "Delivered".to_owned();
    }
    if reply.reader.is_reusable() {
        pool.put(reply.link);
    }
    Some(())
}

impl Report {
    pub fn delivered(&self) -> u64 {
        self.answers.get("Delivered").copied().unwrap_or(0)
    }

    /// Writes the report as text.
    pub fn print(&self, out: &mut impl Write) -> io::Result<()> {
        writeln!(out, "{} sent in {:.1} s", self.sent, self.took.as_secs_f64())?;
        for (answer, count) in &self.answers {
            writeln!(out, "  {answer}: {count}")?;
        }
        writeln!(
            out,
            "{:24}{:>10}{:>10}{:>10}{:>10}{:>10}",
            "milliseconds from due", "p50", "p90", "p99", "p99.9", "max"
        )?;
        for (name, times) in [
            ("first token", &self.first_token_us),
            ("whole answer", &self.total_us),
            ("sent late by", &self.send_delay_us),
        ] {
            let at = |part: f64| times.value_at_quantile(part) as f64 / 1e3;
            let quantiles_ms = [at(0.5), at(0.9), at(0.99), at(0.999), times.max() as f64 / 1e3];
            write!(out, "{name:24}")?;
            for quantile_ms in quantiles_ms {
                write!(out, "{quantile_ms:>10.2}")?;
            }
            writeln!(out)?;
        }
        writeln!(out, "{:.0} tokens a second", self.tokens as f64 / self.took.as_secs_f64())
    }
}
