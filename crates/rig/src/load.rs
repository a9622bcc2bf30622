//! An open-loop load: each request is due at its time whatever became of those before, and its latency counts from
//! when it was due.

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

/// Whom the load is put on.
#[derive(Clone)]
pub enum Target {
    /// A dispatcher, by the messages API.
    Dispatcher(SocketAddr),
    /// A host that reads and writes, by the engines' protocol, past any dispatcher.
    Host(SocketAddr),
}

#[derive(Clone)]
pub struct Load {
    pub target: Target,
    pub model: String,
    pub per_second: f64,
    pub seconds: f64,
    /// Tokens of each answer, and bytes of each prompt.
    pub tokens: u32,
    pub prompt_bytes: usize,
    pub stream: bool,
    /// A header with a key, where the dispatcher wants one.
    pub key: Option<String>,
    /// The host's connections, kept as a dispatcher keeps its own.
    pub pool: Option<Arc<Pool>>,
}

pub struct Report {
    pub sent: u64,
    pub answers: BTreeMap<String, u64>,
    /// Microseconds from when a request was due to its first token, and to its end.
    pub first: Histogram<u64>,
    pub whole: Histogram<u64>,
    /// How late requests were sent: the generator's own fault.
    pub lag: Histogram<u64>,
    pub tokens: u64,
    pub took: Duration,
}

fn histogram() -> io::Result<Histogram<u64>> {
    // From a microsecond to ten minutes, to three digits.
    Histogram::new_with_bounds(1, 600_000_000, 3).map_err(io::Error::other)
}

struct One {
    first: Option<Duration>,
    tokens: u64,
    answer: String,
}

pub fn run(load: &Load) -> io::Result<Report> {
    let report = Report {
        sent: 0,
        answers: BTreeMap::new(),
        first: histogram()?,
        whole: histogram()?,
        lag: histogram()?,
        tokens: 0,
        took: Duration::ZERO,
    };
    let report = Arc::new(Mutex::new(report));
    let (owned, to) = (load.clone(), report.clone());
    let began = Instant::now();
    let all = spawn(move || generate(&owned, &to));
    all.join().map_err(|_| io::Error::other("the load failed"))?;
    let mut report = Arc::try_unwrap(report)
        .map_err(|_| io::Error::other("a client is still at it"))?
        .into_inner()
        .map_err(|_| io::Error::other("a client failed"))?;
    report.took = began.elapsed();
    Ok(report)
}

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
                let one = send_request(&load, number, due);
                let whole = due.elapsed();
                let Ok(mut report) = report.lock() else { return };
                report.sent += 1;
                report.tokens += one.tokens;
                // What lies beyond the bounds counts at them.
                report.lag.saturating_record(sent.saturating_duration_since(due).as_micros() as u64);
                if let Some(first) = one.first {
                    report.first.saturating_record(first.as_micros() as u64);
                    report.whole.saturating_record(whole.as_micros() as u64);
                }
                *report.answers.entry(one.answer).or_default() += 1;
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
}

fn prompt(load: &Load, number: u64) -> String {
    // All alike but for their end, so that they are kept and reading is not what is measured.
    format!("{} [[len:{}]] [[task:{number}.0]]", "x".repeat(load.prompt_bytes), load.tokens)
}

fn send_request(load: &Load, number: u64, due: Instant) -> One {
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
            One { first: response.first_token.map(|first| first + late), tokens: response.usage[2], answer }
        }
        Target::Host(_) => {
            let mut one = One { first: None, tokens: 0, answer: "Cut".to_owned() };
            straight(load, number, due, &mut one);
            one
        }
    }
}

/// The same question to a host itself; nothing at whatever fault.
fn straight(load: &Load, number: u64, due: Instant, one: &mut One) -> Option<()> {
    let pool = load.pool.as_ref()?;
    let until = Instant::now() + Duration::from_secs(60);
    let link: Link = pool.take(Duration::from_secs(1)).ok()?;
    let asked = engine::Prompt {
        model: load.model.clone(),
        text: prompt(load, number),
        most_tokens: load.tokens,
        ..engine::Prompt::default()
    };
    let body = engine::body(&asked, engine::Stage::Whole);
    let request = engine::request(&pool.address().to_string(), "load", &number.to_string(), &asked, &body);
    link.write(&request, until).ok()?;
    let mut reply = Reply::new(link, Limits { body: 1 << 30, ..Limits::default() });
    let head = reply.head(until).ok()?;
    one.answer = head.status.to_string();
    let (mut reader, mut bytes, mut events) = (sse::Reader::new(65_536), Vec::new(), Vec::new());
    loop {
        bytes.clear();
        let ended = reply.body(&mut bytes, until).ok()?;
        reader.feed(&bytes, &mut events).ok()?;
        for event in events.drain(..).filter(|event| event.data != engine::DONE) {
            one.first.get_or_insert_with(|| due.elapsed());
            one.tokens += u64::from(!engine::piece(&event.data)?.text.is_empty());
        }
        if ended {
            break;
        }
    }
    if head.status == 200 {
        one.answer = "Delivered".to_owned();
    }
    if reply.reader.reusable() {
        pool.put(reply.link);
    }
    Some(())
}

impl Report {
    pub fn delivered(&self) -> u64 {
        self.answers.get("Delivered").copied().unwrap_or(0)
    }

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
        for (name, times) in
            [("first token", &self.first), ("whole answer", &self.whole), ("sent late by", &self.lag)]
        {
            let at = |part: f64| times.value_at_quantile(part) as f64 / 1e3;
            let figures = [at(0.5), at(0.9), at(0.99), at(0.999), times.max() as f64 / 1e3];
            write!(out, "{name:24}")?;
            for figure in figures {
                write!(out, "{figure:>10.2}")?;
            }
            writeln!(out)?;
        }
        writeln!(out, "{:.0} tokens a second", self.tokens as f64 / self.took.as_secs_f64())
    }
}
