//! Stand-ins for the platform, its model hosts and its clients, and what all cases of this review share.
//! Only the standard library; every address is a loopback one.

use std::collections::{HashMap, HashSet};
use std::fmt::Write as _;
use std::fs;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// What was sent, answered and run, with the time in milliseconds since the start of the case.
pub struct Record {
    start: Instant,
    lines: Mutex<Vec<(Duration, String)>>,
}

impl Record {
    pub fn new() -> Arc<Record> {
        Arc::new(Record { start: Instant::now(), lines: Mutex::default() })
    }

    pub fn add(&self, text: impl Into<String>) {
        let at = self.start.elapsed();
        self.lines.lock().unwrap().push((at, text.into()));
    }

    pub fn save(&self, file: &Path) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort();
        let mut text = String::new();
        for (at, line) in lines {
            let _ = writeln!(text, "{:>10.3} {line}", at.as_secs_f64() * 1e3);
        }
        let _ = fs::write(file, text);
    }
}

/// A connection with the bytes that were read and not used yet.
pub struct Wire {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

/// A message's first line, its header lines (names in lower case) and its body.
pub struct Message {
    pub first: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// The status of an answer.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }
}

fn closed() -> io::Error {
    io::ErrorKind::UnexpectedEof.into()
}

impl Wire {
    pub fn new(stream: TcpStream) -> Wire {
        let _ = stream.set_nodelay(true);
        Wire { stream, buffer: Vec::new() }
    }

    pub fn connect(address: SocketAddr) -> io::Result<Wire> {
        Ok(Wire::new(TcpStream::connect_timeout(&address, ms(1000))?))
    }

    fn more(&mut self) -> io::Result<()> {
        let mut bytes = [0; 8192];
        match self.stream.read(&mut bytes)? {
            0 => Err(closed()),
            got => {
                self.buffer.extend_from_slice(&bytes[..got]);
                Ok(())
            }
        }
    }

    /// Whether the other side has closed the connection.
    pub fn is_closed(&self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let closed = match self.stream.peek(&mut [0; 1]) {
            Ok(got) => got == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        };
        let _ = self.stream.set_nonblocking(false);
        closed
    }

    /// Waits for the first byte of the next message.
    fn wait(&mut self) -> io::Result<()> {
        if self.buffer.is_empty() { self.more() } else { Ok(()) }
    }

    fn until(&mut self, mark: &[u8]) -> io::Result<Vec<u8>> {
        loop {
            if let Some(at) = self.buffer.windows(mark.len()).position(|part| part == mark) {
                return Ok(self.buffer.drain(..at + mark.len()).collect());
            }
            self.more()?;
        }
    }

    fn exactly(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            self.more()?;
        }
        Ok(self.buffer.drain(..count).collect())
    }

    pub fn head(&mut self) -> io::Result<Message> {
        let bytes = self.until(b"\r\n\r\n")?;
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let mut lines = text.split("\r\n");
        let first = lines.next().unwrap_or_default().to_owned();
        let headers = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        Ok(Message { first, headers, body: Vec::new() })
    }

    /// A whole request or plain answer, its length told by `Content-Length`.
    pub fn message(&mut self) -> io::Result<Message> {
        let mut message = self.head()?;
        let length = message.header("content-length").parse().unwrap_or(0);
        message.body = self.exactly(length)?;
        Ok(message)
    }

    /// The next chunk of a chunked body; empty at its end.
    pub fn chunk(&mut self) -> io::Result<Vec<u8>> {
        let line = self.until(b"\r\n")?;
        let size = usize::from_str_radix(String::from_utf8_lossy(&line).trim(), 16).map_err(|_| closed())?;
        let mut data = self.exactly(size + 2)?;
        data.truncate(size);
        Ok(data)
    }
}

/// One line of discovery's list.
#[derive(Clone)]
pub struct Listed {
    pub name: String,
    pub dial: SocketAddr,
    pub class: &'static str,
    pub zone: &'static str,
    pub block: u32,
    pub health: &'static str,
    pub born_ms: u64,
}

impl Listed {
    fn json(&self) -> String {
        let Listed { name, dial, class, zone, block, health, born_ms } = self;
        format!(
            "{{\"host\":\"{name}\",\"dial\":\"{dial}\",\"site\":\"{zone}\",\"class\":\"{class}\",\"block\":{block},\
             \"health\":\"{health}\",\"share\":1.0,\"born_ms\":{born_ms}}}"
        )
    }
}

/// How a writer streams one answer.
#[derive(Clone, Copy)]
pub struct Answer {
    /// A 1xx answer comes ahead, as soon as the request has come whole.
    pub hint_ahead: bool,
    /// How long the request waits for a slot, before its state is fetched.
    pub wait: Duration,
    /// From there to the first event.
    pub first: Duration,
    pub events: u32,
    pub gap: Duration,
    /// After this many events comes one that never ends: so many bytes of it at a time, with this pause.
    pub endless: Option<(u32, usize, Duration)>,
}

/// How the hosts of a case behave: the time of a read, and the answer to a request, by host and id.
pub trait Plays: Send + Sync + 'static {
    fn read_time(&self, host: &str, id: &str) -> Duration;
    fn answer(&self, host: &str, id: &str) -> Answer;
    /// A request has come whole to a host, its first byte at this time.
    fn arrived(&self, _host: &str, _id: &str, _first_byte: Instant) {}
}

/// What discovery tells one dispatcher, each at an address of its own.
pub struct Agent {
    pub address: SocketAddr,
    /// Calls that are to be refused still, as discovery is crowded, and when the last one was.
    refusals: Mutex<(u32, Option<Instant>)>,
    /// Since when another address is named in its place.
    retired: Mutex<Option<Instant>>,
    /// When each version of the list was written to the dispatcher.
    told: Mutex<Vec<(u64, Instant)>>,
}

impl Agent {
    /// When the dispatcher was told of this version or a later one.
    pub fn told_at(&self, seq: u64) -> Option<Instant> {
        self.told.lock().unwrap().iter().filter(|(version, _)| *version >= seq).map(|(_, at)| *at).min()
    }

    /// Takes no new connection from now on, and closes the open ones after 1.5 s.
    pub fn retire(&self) {
        *self.retired.lock().unwrap() = Some(Instant::now());
    }

    fn is_retired_for(&self, span: Duration) -> bool {
        self.retired.lock().unwrap().is_some_and(|since| since.elapsed() >= span)
    }

    /// Refuses this many calls from now on.
    pub fn refuse(&self, calls: u32) {
        *self.refusals.lock().unwrap() = (calls, None);
    }

    /// How many calls are to be refused still, and when the last one was refused.
    pub fn refusals(&self) -> (u32, Option<Instant>) {
        *self.refusals.lock().unwrap()
    }
}

/// What model hosts hold for a request.
#[derive(Default)]
struct Held {
    /// The host that holds its state.
    state: Option<String>,
    /// Attempts that have come whole to a host and are neither answered nor closed.
    out: u32,
    /// When the state was made, or the last attempt ended.
    since: Option<Instant>,
    is_noted: bool,
}

/// An attempt at a host, out until it is dropped.
struct Attempt<'a>(&'a Platform, &'a str);

impl<'a> Attempt<'a> {
    fn new(platform: &'a Platform, id: &'a str) -> Self {
        platform.requests.lock().unwrap().entry(id.to_owned()).or_default().out += 1;
        Attempt(platform, id)
    }
}

impl Drop for Attempt<'_> {
    fn drop(&mut self) {
        let mut requests = self.0.requests.lock().unwrap();
        let held = requests.entry(self.1.to_owned()).or_default();
        (held.out, held.since) = (held.out - 1, Some(Instant::now()));
    }
}

/// The list of hosts: each with the version in which its line changed last.
struct List {
    seq: u64,
    lines: Vec<(u64, Listed)>,
}

/// The platform: discovery with its list, and the states that model hosts hold.
pub struct Platform {
    pub record: Arc<Record>,
    list: Mutex<List>,
    changed: Condvar,
    /// What is held and out for each request, by its id.
    requests: Mutex<HashMap<String, Held>>,
    /// Hosts whose process has ended.
    ended: Mutex<HashSet<String>>,
    pub agents: Vec<Agent>,
}

fn now_nanos() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as u64
}

fn now_ms() -> u64 {
    now_nanos() / 1_000_000
}

impl Platform {
    /// Starts discovery for so many dispatchers, and model hosts: `readers` and `writers`, in two zones with one
    /// rack each. The last `spare` of both kinds are not listed yet.
    pub fn start(
        record: &Arc<Record>,
        dispatchers: usize,
        (readers, writers, spare): (usize, usize, usize),
        plays: Arc<dyn Plays>,
    ) -> Arc<Platform> {
        let listeners: Vec<TcpListener> =
            (0..dispatchers).map(|_| TcpListener::bind("127.0.0.1:0").expect("a port")).collect();
        let agent = |listener: &TcpListener| Agent {
            address: listener.local_addr().expect("an address"),
            refusals: Mutex::default(),
            retired: Mutex::default(),
            told: Mutex::default(),
        };
        let platform = Arc::new(Platform {
            record: record.clone(),
            list: Mutex::new(List { seq: 41, lines: Vec::new() }),
            changed: Condvar::new(),
            requests: Mutex::default(),
            ended: Mutex::default(),
            agents: listeners.iter().map(agent).collect(),
        });
        for (class, count) in [("prefill", readers + spare), ("decode", writers + spare)] {
            let reads = class == "prefill";
            for number in 0..count {
                let second = number % 2 == 1;
                let host = TcpListener::bind("127.0.0.1:0").expect("a port");
                let listed = number < if reads { readers } else { writers };
                let line = Listed {
                    name: format!("s-{}{number}", if reads { "r" } else { "w" }),
                    dial: host.local_addr().expect("an address"),
                    class,
                    zone: if second { "lat-krabang" } else { "bangna" },
                    block: u32::from(second),
                    health: if listed { "active" } else { "left" },
                    born_ms: 0,
                };
                let (name, platform, plays) = (line.name.clone(), platform.clone(), plays.clone());
                platform.list.lock().unwrap().lines.push((41, line));
                thread::spawn(move || {
                    for stream in host.incoming().flatten() {
                        if platform.has_ended(&name) {
                            return;
                        }
                        let (name, platform, plays) = (name.clone(), platform.clone(), plays.clone());
                        thread::spawn(move || {
                            let _ = serve_host(&platform, &*plays, &name, reads, Wire::new(stream));
                        });
                    }
                });
            }
        }
        for (number, listener) in listeners.into_iter().enumerate() {
            let served = platform.clone();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let served = served.clone();
                    if served.agents[number].is_retired_for(Duration::ZERO) {
                        continue;
                    }
                    thread::spawn(move || {
                        let _ = serve_discovery(&served, number, Wire::new(stream));
                    });
                }
            });
        }
        platform
    }

    /// Changes the health of a host in the list, and its start if it becomes active; returns the new version.
    pub fn set_health(&self, name: &str, health: &'static str) -> u64 {
        let mut list = self.list.lock().unwrap();
        list.seq += 1;
        let seq = list.seq;
        for (changed, line) in list.lines.iter_mut().filter(|(_, line)| line.name == name) {
            (*changed, line.health) = (seq, health);
            line.born_ms = if health == "active" { now_ms() } else { line.born_ms };
        }
        self.record.add(format!("discovery: {name} is {health}, version {seq}"));
        self.changed.notify_all();
        seq
    }

    /// Ends the process of a host: its connections break, and new ones are refused.
    pub fn end_host(&self, name: &str) {
        self.record.add(format!("host {name}: its process ends"));
        self.ended.lock().unwrap().insert(name.to_owned());
        let dial = self
            .list
            .lock()
            .unwrap()
            .lines
            .iter()
            .find(|(_, line)| line.name == name)
            .map(|(_, line)| line.dial);
        // Wakes the thread that accepts.
        dial.map(TcpStream::connect);
    }

    fn has_ended(&self, name: &str) -> bool {
        self.ended.lock().unwrap().contains(name)
    }

    fn hold(&self, id: &str, host: &str) {
        let mut requests = self.requests.lock().unwrap();
        let held = requests.entry(id.to_owned()).or_default();
        (held.state, held.since) = (Some(host.to_owned()), Some(Instant::now()));
    }

    /// Takes the state of a request, or lets go of it; returns the host that held it.
    fn take_state(&self, id: &str) -> Option<String> {
        self.requests.lock().unwrap().get_mut(id)?.state.take()
    }

    /// Whether a host holds the state of a request.
    pub fn holds(&self, id: &str) -> bool {
        self.requests.lock().unwrap().get(id).is_some_and(|held| held.state.is_some())
    }

    /// States that have been held for longer than this while no attempt of their request was out, each once.
    pub fn overdue_states(&self, limit: Duration) -> Vec<(String, String)> {
        let mut overdue = Vec::new();
        for (id, held) in self.requests.lock().unwrap().iter_mut() {
            let is_late = held.out == 0 && held.since.is_some_and(|since| since.elapsed() > limit);
            if let (Some(host), true, false) = (&held.state, is_late, held.is_noted) {
                held.is_noted = true;
                overdue.push((id.clone(), host.clone()));
            }
        }
        overdue
    }

    /// The whole list, or the lines that changed after a version, with the version of the list.
    fn list_json(&self, newer_than: Option<u64>) -> (u64, String) {
        let list = self.list.lock().unwrap();
        let is_told = |(changed, line): &&(u64, Listed)| match newer_than {
            Some(seq) => *changed > seq,
            None => line.health != "left",
        };
        let lines: Vec<String> = list.lines.iter().filter(is_told).map(|(_, line)| line.json()).collect();
        let (seq, whole) = (list.seq, newer_than.is_none());
        (seq, format!("{{\"seq\":{seq},\"whole\":{whole},\"hosts\":[{}]}}", lines.join(",")))
    }
}

fn serve_discovery(platform: &Platform, number: usize, mut wire: Wire) -> io::Result<()> {
    let agent = &platform.agents[number];
    while !agent.is_retired_for(ms(1500)) {
        let request = wire.message()?;
        let target = request.first.split(' ').nth(1).unwrap_or_default().to_owned();
        let field = |name: &str| -> Option<u64> {
            target.split(['?', '&']).find_map(|part| part.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
        };
        let is_refused = {
            let mut refusals = agent.refusals.lock().unwrap();
            let refused = refusals.0 > 0;
            if refused {
                *refusals = (refusals.0 - 1, Some(Instant::now()));
            }
            refused
        };
        if is_refused {
            platform.record.add(format!("discovery {number}: refuses {target}"));
            wire.stream.write_all(plain("503 Service Unavailable", "", "").as_bytes())?;
            continue;
        }
        let index = field("index");
        if let (Some(index), Some(wait)) = (index, field("wait")) {
            let list = platform.list.lock().unwrap();
            drop(platform.changed.wait_timeout_while(list, ms(wait.min(60_000)), |list| list.seq <= index));
        }
        let (seq, body) = platform.list_json(index);
        wire.stream.write_all(plain("200 OK", "Content-Type: application/json\r\n", &body).as_bytes())?;
        agent.told.lock().unwrap().push((seq, Instant::now()));
        if index != Some(seq) {
            platform.record.add(format!("discovery {number}: tells version {seq}"));
        }
    }
    Ok(())
}

/// One event of a stream: it names the request that it was made for.
fn event(id: &str, number: u32, host: &str) -> String {
    format!(
        "data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"for {id} by {host} {number} \"}},\"finish_reason\":null}}]}}\n\n"
    )
}

fn chunk_of(data: &str) -> String {
    format!("{:x}\r\n{data}\r\n", data.len())
}

const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

fn stream_end() -> String {
    let usage = "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":1200,\"completion_tokens\":100,\
                 \"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\n";
    chunk_of(usage) + &chunk_of("data: [DONE]\n\n") + "0\r\n\r\n"
}

fn plain(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}

fn serve_host(
    platform: &Platform,
    plays: &dyn Plays,
    host: &str,
    reads: bool,
    mut wire: Wire,
) -> io::Result<()> {
    // Looks for the end of the process now and then.
    wire.stream.set_read_timeout(Some(ms(50)))?;
    loop {
        match wire.wait() {
            Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {}
            other => other?,
        }
        if platform.has_ended(host) {
            return Ok(());
        }
        if !wire.buffer.is_empty() {
            let first_byte = Instant::now();
            wire.stream.set_read_timeout(None)?;
            let request = wire.message()?;
            answer_request(platform, plays, host, reads, &mut wire, &request, first_byte)?;
            wire.stream.set_read_timeout(Some(ms(50)))?;
        }
    }
}

fn answer_request(
    platform: &Platform,
    plays: &dyn Plays,
    host: &str,
    reads: bool,
    wire: &mut Wire,
    request: &Message,
    first_byte: Instant,
) -> io::Result<()> {
    let record = &platform.record;
    let send = |wire: &mut Wire, text: &str| wire.stream.write_all(text.as_bytes());
    if request.first.starts_with("DELETE ") {
        let id = request.first.split(' ').nth(1).and_then(|path| path.rsplit('/').next()).unwrap_or_default();
        let had = platform.take_state(id);
        record.add(format!("host {host}: let go of {id}, held at {}", had.unwrap_or("none".into())));
        return send(wire, "HTTP/1.1 204 No Content\r\n\r\n");
    }
    let (id, left) = (request.header("x-txn"), request.header("x-remaining-ms"));
    plays.arrived(host, id, first_byte);
    record.add(format!("host {host}: request {id} came whole, told {left} ms left"));
    let _attempt = Attempt::new(platform, id);
    if reads {
        thread::sleep(plays.read_time(host, id));
        if wire.is_closed() {
            record.add(format!("host {host}: read of {id} ended for nobody"));
            return Err(closed());
        }
        platform.hold(id, host);
        record.add(format!("host {host}: read {id}"));
        return send(wire, &plain("202 Accepted", "", "{\"cached_tokens\":0}"));
    }
    let answer = plays.answer(host, id);
    if answer.hint_ahead {
        record.add(format!("host {host}: 102 ahead of the answer to {id}"));
        send(wire, "HTTP/1.1 102 Processing\r\n\r\n")?;
    }
    let slot_at = Instant::now() + answer.wait;
    while Instant::now() < slot_at {
        thread::sleep(ms(5));
        if wire.is_closed() {
            record.add(format!("host {host}: {id} was closed while it waited for a slot, and is dropped"));
            return Err(closed());
        }
    }
    if platform.take_state(id).is_none() {
        record.add(format!("host {host}: no state for {id}"));
        return send(wire, &plain("410 Gone", "X-Turned-Away: 1\r\n", ""));
    }
    thread::sleep(answer.first);
    send(wire, STREAM_HEAD)?;
    record.add(format!("host {host}: stream for {id} begins"));
    for number in 0..answer.events {
        if let Some((after, bytes, pause)) = answer.endless
            && number == after
        {
            record.add(format!("host {host}: an event for {id} begins that never ends"));
            send(wire, &chunk_of("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\""))?;
            loop {
                thread::sleep(pause);
                if let Err(error) = send(wire, &chunk_of(&"x".repeat(bytes))) {
                    record.add(format!("host {host}: stream for {id} was closed"));
                    return Err(error);
                }
            }
        }
        if platform.has_ended(host) {
            record.add(format!("host {host}: stream for {id} breaks with the process"));
            return Err(closed());
        }
        send(wire, &chunk_of(&event(id, number, host)))?;
        thread::sleep(answer.gap);
    }
    send(wire, &stream_end())?;
    record.add(format!("host {host}: stream for {id} is whole"));
    Ok(())
}

/// How an answer ended, as its client saw it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum End {
    /// With the last chunk.
    Whole,
    /// A plain answer of this status.
    Status(u16),
    /// The connection ended before the answer was whole.
    Cut,
    /// Nothing more came in the time that the client allowed.
    Silent,
}

/// One answer as its client saw it.
pub struct Seen {
    pub end: End,
    pub events: Vec<(Instant, String)>,
    /// When the answer ended.
    pub at: Instant,
}

/// The bytes of a client's request, with a prompt of so many tokens, four characters each.
pub fn request_text(id: &str, session: &str, remaining_ms: u64, tokens: usize) -> String {
    let prompt = "ferry? ".repeat(tokens * 4 / 7);
    let body = format!(
        "{{\"model\":\"chat\",\"stream\":true,\"max_tokens\":200,\"messages\":[{{\"role\":\"user\",\"content\":\"{prompt}\"}}]}}"
    );
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nX-Txn: {id}\r\nX-Lane: chat-reply\r\nX-Org: andaman-blue\r\n\
         X-Entity: {session}\r\nX-Remaining-Ms: {remaining_ms}\r\n\
         X-Labels: prompt_len={tokens},prefix_len=0,max_out=200\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Reads one answer; waits at most `patience` for each part of it.
pub fn read_answer(wire: &mut Wire, patience: Duration) -> Seen {
    let _ = wire.stream.set_read_timeout(Some(patience));
    let mut events = Vec::new();
    let mut read = || -> io::Result<End> {
        let head = wire.head()?;
        if head.header("transfer-encoding").is_empty() {
            let length = head.header("content-length").parse().unwrap_or(0);
            wire.exactly(length)?;
            return Ok(End::Status(head.status()));
        }
        loop {
            let data = wire.chunk()?;
            if data.is_empty() {
                return Ok(End::Whole);
            }
            events.push((Instant::now(), String::from_utf8_lossy(&data).into_owned()));
        }
    };
    let end = read().unwrap_or_else(|error| match error.kind() {
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => End::Silent,
        _ => End::Cut,
    });
    Seen { end, events, at: Instant::now() }
}

/// What a case sets for its dispatchers.
pub struct Setup {
    pub dispatchers: usize,
    /// `pure`, `token` or `side_effect`.
    pub effect: &'static str,
    pub deadline_ms: u64,
    /// `pushed` or `on_request`.
    pub registry: &'static str,
    /// Grace of drains, and time for which a state may be held.
    pub drain_ms: u64,
    pub release_ms: u64,
    pub memory_mb: u32,
    pub sockets: u32,
}

/// The settings of a deployment with the figures of `bkk-chat-drafts`, as the operators' pages give them.
fn settings(setup: &Setup, me: usize) -> String {
    let Setup { dispatchers, effect, deadline_ms, registry, drain_ms, release_ms, .. } = setup;
    format!(
        r#"{{"Accounts":[{{"Name":"andaman-blue","QuotaPerS":20.0,"Share":1.0}}],"Balancers":{dispatchers},
"Clients":{{"MarksRetry":true}},
"Domain":{{"AimUsPer1000PromptTokens":[40000.0],"EarlyPairing":true,"KindMemoryTokens":[200000,140000],"MoveFee":0.04,
"ReadInPlace":false,"ReleaseUs":{release_ms}000,"Resume":false,"RoleByKind":["read","write"],"TokenAimUs":[60000.0]}},
"DomainType":"twostage","Kinds":["prefill","decode"],"Me":{me},"OverShareWorth":0.2,
"Permissions":{{"Cancel":true,"ConnectTimeoutUs":250000,"CpuUsPerRequest":0.0,"CpuUsPerS":500000,"KeepaliveUs":15000000,
"MaxAttempts":6,"MaxOpen":30000,"MaxRetryAfterUs":1000000,"MayProbe":false,"Peers":false,"RetryAfter":true,
"SecondCopies":true,"StreamsPerConn":100}},
"Prices":{{"CrossZone":0.016,"LateFail":0.03,"Probe":0.0,"Waste":0.08}},
"Profiles":[{{"Credit":1.0,"Group":"all","HardLimitUs":{}000,"Idempotency":"{effect}","LateWorth":0.3,"Name":"chat-reply",
"Stream":true,"TargetUs":1500000,"WindowUs":5000000}}],
"RegistryMode":"{registry}","Report":{{"Fields":[],"Source":"none"}},
"Rules":{{"AnswerSlackUs":16000,"AskWithinUs":10000000,"ColdFrom":0.3,"FallUs":3000000,"OverloadFactor":2.5,
"StopSendingWithinUs":{drain_ms}000,"WarmUpUs":14000000}},
"ScoreParts":{{"Whole":0.8,"WorstClass":0.0,"WorstTenant":0.1,"WorstWindow":0.1}},"Stage":0,"Stages":["draft-fleet"],
"TickUs":4000,"WeightKind":"none","WorthBy":"work","Zone":"{}","Zones":["bangna","lat-krabang"]}}"#,
        deadline_ms,
        if me % 2 == 0 { "bangna" } else { "lat-krabang" }
    )
}

/// The dispatchers of a case, ended with it.
pub struct Dispatchers {
    children: Vec<Child>,
    pub addresses: Vec<SocketAddr>,
    folder: PathBuf,
}

/// Why a case could not run.
pub type Unfit = String;

impl Dispatchers {
    /// Starts them by `run` in the deploy file, and returns once all are ready.
    pub fn start(platform: &Platform, setup: &Setup) -> Result<Dispatchers, Unfit> {
        let to_text = |error: io::Error| error.to_string();
        let deploy = fs::read_to_string("deploy/balancer.toml").map_err(to_text)?;
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")?.split('"').next());
        let run = run.ok_or("the deploy file has no run")?;
        let folder = std::env::temp_dir().join(format!("tulipstall-review-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(to_text)?;
        let mut all = Dispatchers { children: Vec::new(), addresses: Vec::new(), folder: folder.clone() };
        for me in 0..setup.dispatchers {
            let free = TcpListener::bind("127.0.0.1:0").map_err(to_text)?;
            let listen = free.local_addr().map_err(to_text)?;
            drop(free);
            all.addresses.push(listen);
            all.configure(platform, setup, me, me).map_err(to_text)?;
            let (file, discovery) = (all.file(me), platform.agents[me].address);
            let log = fs::File::create(folder.join(format!("log-{me}.txt"))).map_err(to_text)?;
            let child = Command::new("/bin/sh")
                .args(["-c", run])
                .env("EDGE_NAME", format!("n{me}"))
                .env("EDGE_LISTEN", listen.to_string())
                .env("EDGE_DISCOVERY", discovery.to_string())
                .env("EDGE_CONFIG", &file)
                .env("TMPDIR", &folder)
                .stdin(Stdio::null())
                .stdout(Stdio::null())
                .stderr(log)
                .spawn()
                .map_err(to_text)?;
            STARTED.lock().unwrap().push(child.id());
            all.children.push(child);
        }
        for address in &all.addresses {
            let until = Instant::now() + ms(10_000);
            while !is_ready(*address) {
                if Instant::now() > until {
                    return Err("a dispatcher is not ready within 10 s".into());
                }
                thread::sleep(ms(20));
            }
        }
        Ok(all)
    }

    fn file(&self, me: usize) -> PathBuf {
        self.folder.join(format!("config-{me}.json"))
    }

    /// Writes the configuration of one dispatcher, which follows discovery at this agent.
    fn configure(&self, platform: &Platform, setup: &Setup, me: usize, agent: usize) -> io::Result<()> {
        // New with each start, as the pages have it.
        let seed = now_nanos().wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ me as u64;
        let (listen, discovery, (_, known)) =
            (self.addresses[me], platform.agents[agent].address, platform.list_json(None));
        let config = format!(
            "{{\"name\":\"n{me}\",\"listen\":\"{listen}\",\"discovery\":\"{discovery}\",\"seed\":\"{seed:016x}\",\
             \"limits\":{{\"cores\":0.5,\"memory_mb\":{},\"sockets\":{}}},\"known\":{known},\"settings\":{}}}",
            setup.memory_mb,
            setup.sockets,
            settings(setup, me)
        );
        let new = self.folder.join(format!("new-{me}.json"));
        fs::write(&new, config)?;
        fs::rename(new, self.file(me))
    }

    /// Replaces the configuration of one dispatcher by one that names another address of discovery, and tells it by
    /// SIGHUP; returns when.
    pub fn move_discovery(
        &self,
        platform: &Platform,
        setup: &Setup,
        me: usize,
        agent: usize,
    ) -> Result<Instant, Unfit> {
        self.configure(platform, setup, me, agent).map_err(|error| error.to_string())?;
        self.signal(me, "-HUP")
    }

    /// Sends a signal to one dispatcher; returns when.
    pub fn signal(&self, me: usize, signal: &str) -> Result<Instant, Unfit> {
        let at = Instant::now();
        let sent = Command::new("kill").args([signal, &self.children[me].id().to_string()]).status();
        if sent.is_ok_and(|status| status.success()) {
            Ok(at)
        } else {
            Err("a signal could not be sent".into())
        }
    }

    /// KiB of memory that one dispatcher has taken: anonymous pages alone, without those of files and of the kernel.
    pub fn memory_kib(&self, me: usize) -> u64 {
        let status =
            fs::read_to_string(format!("/proc/{}/status", self.children[me].id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
        line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
    }

    /// Whether all of them still run.
    pub fn all_run(&mut self) -> bool {
        self.children.iter_mut().all(|child| matches!(child.try_wait(), Ok(None)))
    }
}

fn is_ready(address: SocketAddr) -> bool {
    let ask = || -> io::Result<u16> {
        let mut wire = Wire::connect(address)?;
        wire.stream.set_read_timeout(Some(ms(500)))?;
        wire.stream.write_all(b"GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
        Ok(wire.message()?.status())
    };
    ask().is_ok_and(|status| status == 200)
}

impl Drop for Dispatchers {
    fn drop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
            STARTED.lock().unwrap().retain(|id| *id != child.id());
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Processes that were started and have not been waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// A case's folder and whether the disruption is played, from the command line.
pub struct Call {
    pub folder: PathBuf,
    pub trouble: bool,
}

/// Writes the record of a case and exits with its result: the breaks of the rule that were seen.
fn finish(call: &Call, record: &Record, result: Result<Vec<String>, Unfit>) -> ! {
    let (code, text) = match result {
        Ok(breaks) if breaks.is_empty() => (0, "the rule held".to_owned()),
        Ok(breaks) => {
            breaks.iter().for_each(|text| record.add(format!("BREAK {text}")));
            (1, format!("the rule was broken {} times; first: {}", breaks.len(), breaks[0]))
        }
        Err(why) => (2, format!("the case could not run: {why}")),
    };
    record.add(format!("RESULT {text}"));
    record.save(&call.folder.join("record.txt"));
    println!("{text}");
    std::process::exit(code);
}

/// Runs a case, for 115 s at most.
pub fn play(call: Call, case: impl FnOnce(&Call, &Arc<Record>) -> Result<Vec<String>, Unfit>) -> ! {
    let (record, call) = (Record::new(), Arc::new(call));
    let (late_record, late_call) = (record.clone(), call.clone());
    thread::spawn(move || {
        thread::sleep(ms(115_000));
        for id in STARTED.lock().unwrap().iter() {
            let _ = Command::new("kill").args(["-KILL", &id.to_string()]).status();
        }
        finish(&late_call, &late_record, Err("it took longer than 115 s".into()));
    });
    let result = catch_unwind(AssertUnwindSafe(|| case(&call, &record)));
    finish(&call, &record, result.unwrap_or_else(|_| Err("a stand-in has failed".into())))
}
