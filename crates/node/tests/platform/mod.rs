//! A simulated platform on loopback for integration tests: hosts and a registry that inject scripted faults and record
//! the requests that they receive, and clients for the dispatcher.
#![allow(dead_code)] // each test file uses a part of this module

pub mod proxy;

use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock, PoisonError};
use std::thread;
use std::time::{Duration, Instant};
use tulipstall_http1::{Limits, RequestEvent, RequestReader};
use tulipstall_node::Node;
use tulipstall_platform::start::StartConfig;

/// How a host answers its next POST request. Without an entry in the script it answers normally.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ScriptedReply {
    /// Sends these bytes in place of an answer.
    Raw(&'static str),
    /// Sends these bytes, then a normal answer.
    Prefixed(&'static str),
    /// Sends each of these pieces, then a normal answer, with this many milliseconds after each piece.
    AfterPieces(&'static [&'static str], u64),
    /// Sends these bytes again and again, every so many milliseconds, until the connection ends.
    Endless(&'static str, u64),
    /// Sends a stream's head and first event, and once these have been passed on these bytes again and again, every so many
    /// milliseconds.
    EndlessAfterFirstEvent(&'static str, u64),
    /// Sends a stream's head and first event, then the first of these texts, then the second one again and again, every so
    /// many milliseconds.
    PiecesAfterFirstEvent(&'static str, &'static str, u64),
    /// As `PiecesAfterFirstEvent`, without the first event.
    AfterHead(&'static str, &'static str, u64),
    /// Sends a normal answer; of its events the one with this number is written byte by byte, with this many milliseconds
    /// after each.
    SlowEvent(usize, u64),
    /// Sends a normal answer followed at once by these bytes.
    Suffixed(&'static str),
    /// Sends a stream's head and first event, then these bytes.
    RawAfterFirstEvent(&'static str),
    /// Sends nothing and keeps the connection open.
    NoAnswer,
    /// Closes the connection without an answer.
    Disconnect,
    /// As `Disconnect`, after this many milliseconds.
    DisconnectAfterMs(u64),
    /// Sends this many bytes of a normal answer, then closes the connection.
    TruncateAt(usize),
    /// Sends the first event and this many further events at once.
    ManyEvents(usize),
    /// Sends the second event this many milliseconds after the first.
    PauseMs(u64),
    /// Sends a normal answer after this many milliseconds.
    DelayMs(u64),
    /// Number of events, milliseconds between them, and how they are written. Each event carries the time in
    /// microseconds at which it was written.
    TimedEvents(usize, u64, EventFraming),
}

/// How a host writes timed events.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EventFraming {
    OnePerChunk,
    /// In writes of a few bytes each, over some milliseconds.
    SmallPieces,
    /// Two events in one chunk.
    TwoPerChunk,
}

/// Microseconds on a clock shared by hosts and clients.
pub fn micros() -> u64 {
    static START: OnceLock<Instant> = OnceLock::new();
    START.get_or_init(Instant::now).elapsed().as_micros() as u64
}

/// The requests that a host has received.
#[derive(Default)]
pub struct ReceivedCalls {
    /// Method and path, request id, arrival time.
    pub calls: Vec<(String, String, Instant)>,
    /// Request id and its idempotency key, if any.
    pub idempotency_keys: Vec<(String, Option<String>)>,
}

/// The next replies of the hosts that share this script, first entry first.
pub type Script = Arc<Mutex<VecDeque<ScriptedReply>>>;

/// A simulated host. It is a reader if its name begins with `r`, else a writer.
#[derive(Clone)]
pub struct Host {
    pub name: &'static str,
    pub address: SocketAddr,
    pub received: Arc<Mutex<ReceivedCalls>>,
    pub script: Script,
    /// While set, closes a connection without an answer when a second request arrives on it.
    pub drops_reused: Arc<AtomicBool>,
    /// While set, received requests are not processed and nothing is sent.
    pub unreachable: Arc<AtomicBool>,
    /// While set, accepts no connection after the next one.
    pub accept_paused: Arc<AtomicBool>,
    /// While above zero, requests are read by the KiB, with this many milliseconds after each.
    pub read_pause_ms: Arc<AtomicU64>,
    pub zone: &'static str,
}

/// Time in which a first event has been passed on, also on a loaded machine.
const FIRST_EVENT_PASSED_ON: Duration = Duration::from_millis(300);

/// One server-sent event with this text, as an HTTP chunk.
pub fn event_chunk(text: &str) -> String {
    let event = format!("data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{text}\"}}}}]}}\n\n");
    format!("{:x}\r\n{event}\r\n", event.len())
}

/// The last event and the last chunk of a stream.
pub const STREAM_END: &str = "e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n";
/// The response head of a stream.
pub const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

impl Host {
    /// Starts a host in zone `a`.
    pub fn start(name: &'static str, script: &Script) -> Host {
        Self::start_in("a", name, script)
    }

    pub fn start_in(zone: &'static str, name: &'static str, script: &Script) -> Host {
        Self::start_on(TcpListener::bind("127.0.0.1:0").expect("a port"), zone, name, script)
    }

    /// Starts a host on this listener, for tests that fill its accept queue.
    pub fn start_on(listener: TcpListener, zone: &'static str, name: &'static str, script: &Script) -> Host {
        let address = listener.local_addr().expect("an address");
        let received = Arc::new(Mutex::new(ReceivedCalls::default()));
        let drops_reused = Arc::new(AtomicBool::new(false));
        let (unreachable, accept_paused) = (Arc::default(), Arc::default());
        let host = Host {
            name,
            address,
            received,
            script: script.clone(),
            drops_reused,
            unreachable,
            accept_paused,
            read_pause_ms: Arc::default(),
            zone,
        };
        let server = host.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = server.clone();
                thread::spawn(move || serving.serve(stream));
                while server.accept_paused.load(Ordering::SeqCst) {
                    thread::sleep(Duration::from_millis(5));
                }
            }
        });
        host
    }

    pub fn serve(&self, mut stream: TcpStream) {
        let Host { name, received, script, drops_reused, .. } = self;
        let mut reader = RequestReader::new(Limits::default());
        let mut buffer = [0; 65_536];
        let mut used = false;
        loop {
            let (head, _) = match reader.poll() {
                Ok(RequestEvent::Request(head, body)) => (head, body),
                Ok(_) => match stream.read(self.next_read(&mut buffer)) {
                    Ok(got) if got > 0 => {
                        reader.feed(&buffer[..got]);
                        continue;
                    }
                    _ => return,
                },
                Err(_) => return,
            };
            while self.unreachable.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(5));
            }
            let call = format!("{} {}", head.method, head.target);
            let id = head.header("x-txn").unwrap_or_default().to_owned();
            {
                let mut received = received.lock().expect("no panic");
                received.calls.push((call.clone(), id.clone(), Instant::now()));
                received
                    .idempotency_keys
                    .push((id.clone(), head.header("idempotency-key").map(str::to_owned)));
            }
            if std::mem::replace(&mut used, true) && drops_reused.load(Ordering::SeqCst) {
                return;
            }
            let next = || script.lock().expect("no panic").pop_front();
            let reply = if call.starts_with("POST") { next() } else { None };
            let answer = if call.starts_with("DELETE") {
                "HTTP/1.1 204 No Content\r\n\r\n".to_owned()
            } else if name.starts_with('r') {
                "HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\n\r\n{\"cached_tokens\":7}".to_owned()
            } else {
                format!("{STREAM_HEAD}{}{}{STREAM_END}", event_chunk(&id), event_chunk("more"))
            };
            let begun = format!("{STREAM_HEAD}{}", event_chunk(&id));
            let written = match reply {
                None => stream.write_all(answer.as_bytes()),
                Some(ScriptedReply::Raw(bytes)) => stream.write_all(bytes.as_bytes()),
                Some(ScriptedReply::Prefixed(bytes)) => {
                    stream.write_all(format!("{bytes}{answer}").as_bytes())
                }
                Some(ScriptedReply::SlowEvent(slow, ms)) => {
                    let _ = stream.set_nodelay(true);
                    let mut written = stream.write_all(STREAM_HEAD.as_bytes());
                    for (number, text) in [id.as_str(), "more"].into_iter().enumerate() {
                        let chunk = event_chunk(text);
                        let piece_bytes = if number == slow { 1 } else { chunk.len() };
                        for piece in chunk.as_bytes().chunks(piece_bytes) {
                            written = written.and_then(|()| stream.write_all(piece));
                            thread::sleep(Duration::from_millis(ms));
                        }
                    }
                    written.and_then(|()| stream.write_all(STREAM_END.as_bytes()))
                }
                Some(ScriptedReply::Suffixed(bytes)) => {
                    stream.write_all(format!("{answer}{bytes}").as_bytes())
                }
                Some(ScriptedReply::RawAfterFirstEvent(bytes)) => {
                    let _ = stream.write_all(begun.as_bytes());
                    thread::sleep(Duration::from_millis(50));
                    stream.write_all(bytes.as_bytes())
                }
                Some(ScriptedReply::PauseMs(ms)) => {
                    let _ = stream.write_all(begun.as_bytes());
                    thread::sleep(Duration::from_millis(ms));
                    stream.write_all(format!("{}{STREAM_END}", event_chunk("more")).as_bytes())
                }
                Some(ScriptedReply::TimedEvents(events, ms, framing)) => {
                    let mut written =
                        stream.set_nodelay(true).and_then(|()| stream.write_all(STREAM_HEAD.as_bytes()));
                    for _ in 0..events {
                        let text = format!("at {} ", micros());
                        let bytes = match framing {
                            EventFraming::TwoPerChunk => {
                                let two = |text: &str| {
                                    let event = event_chunk(text);
                                    event
                                        .split_once("\r\n")
                                        .expect("a chunk")
                                        .1
                                        .trim_end_matches("\r\n")
                                        .to_owned()
                                };
                                let events_chunk = two(&text) + &two(&text);
                                format!("{:x}\r\n{events_chunk}\r\n", events_chunk.len())
                            }
                            EventFraming::OnePerChunk | EventFraming::SmallPieces => event_chunk(&text),
                        };
                        let size = if framing == EventFraming::SmallPieces { 9 } else { bytes.len() };
                        for piece in bytes.as_bytes().chunks(size) {
                            written = written.and_then(|()| stream.write_all(piece));
                            if framing == EventFraming::SmallPieces {
                                thread::sleep(Duration::from_micros(300));
                            }
                        }
                        thread::sleep(Duration::from_millis(ms));
                    }
                    written.and_then(|()| stream.write_all(STREAM_END.as_bytes()))
                }
                Some(ScriptedReply::DelayMs(ms)) => {
                    thread::sleep(Duration::from_millis(ms));
                    stream.write_all(answer.as_bytes())
                }
                Some(ScriptedReply::AfterPieces(pieces, ms)) => {
                    for piece in pieces {
                        let _ = stream.write_all(piece.as_bytes());
                        thread::sleep(Duration::from_millis(ms));
                    }
                    stream.write_all(answer.as_bytes())
                }
                Some(ScriptedReply::Endless(bytes, ms)) => return send_endlessly(stream, bytes, ms),
                Some(ScriptedReply::EndlessAfterFirstEvent(bytes, ms)) => {
                    let _ = stream.write_all(begun.as_bytes());
                    thread::sleep(FIRST_EVENT_PASSED_ON);
                    return send_endlessly(stream, bytes, ms);
                }
                Some(ScriptedReply::PiecesAfterFirstEvent(text, bytes, ms)) => {
                    let _ = stream.write_all(format!("{begun}{text}").as_bytes());
                    return send_endlessly(stream, bytes, ms);
                }
                Some(ScriptedReply::AfterHead(text, bytes, ms)) => {
                    let _ = stream.write_all(format!("{STREAM_HEAD}{text}").as_bytes());
                    return send_endlessly(stream, bytes, ms);
                }
                Some(ScriptedReply::NoAnswer) => Ok(()),
                Some(ScriptedReply::ManyEvents(events)) => stream.write_all(
                    format!("{begun}{}{STREAM_END}", event_chunk("more").repeat(events)).as_bytes(),
                ),
                Some(ScriptedReply::TruncateAt(bytes)) => {
                    let _ = stream.write_all(&answer.as_bytes()[..bytes.min(answer.len())]);
                    return;
                }
                Some(ScriptedReply::Disconnect) => return,
                Some(ScriptedReply::DisconnectAfterMs(ms)) => {
                    return thread::sleep(Duration::from_millis(ms));
                }
            };
            if written.is_err() {
                return;
            }
        }
    }

    /// The part of the buffer to read into next; waits if requests are read slowly.
    fn next_read<'a>(&self, buffer: &'a mut [u8]) -> &'a mut [u8] {
        match self.read_pause_ms.load(Ordering::SeqCst) {
            0 => buffer,
            ms => {
                thread::sleep(Duration::from_millis(ms));
                &mut buffer[..1024]
            }
        }
    }

    pub fn script_replies(&self, replies: &[ScriptedReply]) {
        self.script.lock().expect("no panic").extend(replies);
    }

    pub fn calls(&self) -> Vec<(String, String, Instant)> {
        self.received.lock().expect("no panic").calls.clone()
    }
}

/// Sends these bytes every so many milliseconds until the connection ends.
fn send_endlessly(mut stream: TcpStream, bytes: &str, ms: u64) {
    let _ = stream.set_nodelay(true);
    while stream.write_all(bytes.as_bytes()).is_ok() {
        thread::sleep(Duration::from_millis(ms));
    }
}

/// How a registry fails a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RegistryFault {
    NoAnswer,
    /// Sends the body one byte every 50 ms.
    SlowBody,
    Disconnect,
    MalformedJson,
    /// Answers with the first version of the list.
    FirstList,
    /// Sends an interim response, and 0.6 s later the answer.
    InterimFirst,
    /// Refuses the request at once, whether or not it asks for a wait.
    Refusal(Refusal),
    /// Answers after this many milliseconds.
    DelayMs(u64),
}

/// A response that refuses a request to the registry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refusal {
    pub status: u16,
    pub retry_after_s: Option<u32>,
    pub delay_ms: u64,
}

impl Refusal {
    pub fn with_status(status: u16) -> Refusal {
        Refusal { status, retry_after_s: None, delay_ms: 0 }
    }

    fn response(self) -> String {
        let retry_after =
            self.retry_after_s.map_or(String::new(), |seconds| format!("Retry-After: {seconds}\r\n"));
        format!("HTTP/1.1 {} Refused\r\n{retry_after}Content-Length: 0\r\n\r\n", self.status)
    }
}

/// A simulated registry. It serves one list of hosts, complete or as the changes since a version.
#[derive(Clone)]
pub struct Registry {
    pub address: SocketAddr,
    /// While set, no request is answered, including open watches.
    pub down: Arc<AtomicBool>,
    /// The versions of the list, each as its changed lines; the condition variable signals a new version.
    pub state: Arc<(Mutex<Vec<String>>, Condvar)>,
    /// Faults of the next answers, first entry first.
    pub script: Arc<Mutex<VecDeque<RegistryFault>>>,
    /// When the last scripted refusal was sent.
    pub last_refusal: Arc<Mutex<Option<Instant>>>,
    /// New calls that it accepts within any one second. Further calls are refused and count as well. A request that
    /// continues a watch on the same connection is not a new call.
    pub max_new_calls_per_s: Arc<AtomicUsize>,
    /// Arrival time of each new call, and whether it was accepted.
    pub new_calls: Arc<Mutex<Vec<(Instant, bool)>>>,
}

impl Registry {
    pub fn start(hosts: &[&Host]) -> Registry {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let registry = Registry {
            address: listener.local_addr().expect("an address"),
            down: Arc::default(),
            script: Arc::default(),
            last_refusal: Arc::default(),
            max_new_calls_per_s: Arc::new(AtomicUsize::new(usize::MAX)),
            new_calls: Arc::default(),
            state: Arc::new((
                Mutex::new(vec![
                    hosts.iter().map(|h| registry_line(h, "active")).collect::<Vec<_>>().join(","),
                ]),
                Condvar::new(),
            )),
        };
        let server = registry.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        registry
    }

    /// Records a new call; returns whether it is accepted.
    fn accept_new_call(&self) -> bool {
        let now = Instant::now();
        let mut calls = self.new_calls.lock().expect("no panic");
        let recent_calls =
            calls.iter().rev().take_while(|(at, _)| now - *at < Duration::from_secs(1)).count();
        let accepted = recent_calls < self.max_new_calls_per_s.load(Ordering::SeqCst);
        calls.push((now, accepted));
        accepted
    }

    /// The scripted refusal, if one is next.
    fn take_refusal(&self) -> Option<Refusal> {
        let mut script = self.script.lock().expect("no panic");
        let Some(RegistryFault::Refusal(refusal)) = script.front().copied() else { return None };
        script.pop_front();
        Some(refusal)
    }

    pub fn serve(&self, mut stream: TcpStream) {
        let mut reader = RequestReader::new(Limits::default());
        let mut buffer = [0; 4096];
        let mut last_watch_answer: Option<Instant> = None;
        loop {
            match reader.poll() {
                Ok(RequestEvent::Request(head, _)) => {
                    let after = head.target.split("index=").nth(1).and_then(|rest| rest.split('&').next());
                    let after: Option<usize> = after.and_then(|text| text.parse().ok());
                    let continues_watch =
                        last_watch_answer.is_some_and(|at| at.elapsed() < Duration::from_millis(200));
                    if !continues_watch && !self.accept_new_call() {
                        let refusal = "HTTP/1.1 503 Busy\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
                        let _ = stream.write_all(refusal.as_bytes());
                        return;
                    }
                    if let Some(refusal) = self.take_refusal() {
                        thread::sleep(Duration::from_millis(refusal.delay_ms));
                        *self.last_refusal.lock().expect("no panic") = Some(Instant::now());
                        if stream.write_all(refusal.response().as_bytes()).is_err() {
                            return;
                        }
                        continue;
                    }
                    let (versions, changed) = &*self.state;
                    let mut versions = versions.lock().expect("no panic");
                    let body = match after {
                        None => {
                            let (seq, hosts) = (versions.len(), merge_versions(&versions));
                            format!("{{\"seq\":{seq},\"whole\":true,\"hosts\":{hosts}}}")
                        }
                        Some(after) => {
                            let wait = Duration::from_millis(500);
                            (versions, _) = changed
                                .wait_timeout_while(versions, wait, |v| v.len() <= after)
                                .expect("no panic");
                            let new = versions.get(after..).unwrap_or_default().join(",");
                            format!("{{\"seq\":{},\"whole\":false,\"hosts\":[{new}]}}", versions.len())
                        }
                    };
                    drop(versions);
                    if self.down.load(Ordering::SeqCst) {
                        continue;
                    }
                    let fault = self.script.lock().expect("no panic").pop_front();
                    let body = match fault {
                        // A refusal was scripted while the request waited: it concerns the next one.
                        Some(refusal @ RegistryFault::Refusal(_)) => {
                            self.script.lock().expect("no panic").push_front(refusal);
                            body
                        }
                        None => body,
                        Some(RegistryFault::DelayMs(span)) => {
                            thread::sleep(Duration::from_millis(span));
                            body
                        }
                        Some(RegistryFault::NoAnswer) => continue,
                        Some(RegistryFault::Disconnect) => return,
                        Some(RegistryFault::InterimFirst) => {
                            let _ = stream.write_all(b"HTTP/1.1 102 Processing\r\n\r\n");
                            thread::sleep(Duration::from_millis(600));
                            body
                        }
                        Some(RegistryFault::MalformedJson) => "{\"seq\":3,\"whole\":".to_owned(),
                        Some(RegistryFault::SlowBody) => " ".repeat(1000),
                        Some(RegistryFault::FirstList) => {
                            let first = self.state.0.lock().expect("no panic")[0].clone();
                            format!("{{\"seq\":1,\"whole\":true,\"hosts\":[{first}]}}")
                        }
                    };
                    let mut text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
                        .into_bytes();
                    if fault == Some(RegistryFault::SlowBody) {
                        let rest = text.split_off(60);
                        for byte in rest {
                            if stream.write_all(&text).and_then(|()| stream.write_all(&[byte])).is_err() {
                                return;
                            }
                            text.clear();
                            thread::sleep(Duration::from_millis(50));
                        }
                    }
                    if stream.write_all(&text).is_err() {
                        return;
                    }
                    last_watch_answer = after.map(|_| Instant::now());
                }
                Ok(_) => match stream.read(&mut buffer) {
                    Ok(got) if got > 0 => reader.feed(&buffer[..got]),
                    _ => return,
                },
                Err(_) => return,
            }
        }
    }

    /// Adds a version of the list with these changed lines.
    pub fn publish(&self, line: String) {
        self.state.0.lock().expect("no panic").push(line);
        self.state.1.notify_all();
    }
}

/// The complete list: the latest line of each host over all versions.
fn merge_versions(versions: &[String]) -> String {
    // The list of a large fleet takes too long to parse in a debug build.
    if let [only_version] = versions {
        return format!("[{only_version}]");
    }
    let mut hosts = std::collections::BTreeMap::new();
    for version in versions {
        let lines: Vec<serde_json::Value> = serde_json::from_str(&format!("[{version}]")).expect("lines");
        hosts.extend(lines.into_iter().map(|line| (line["host"].to_string(), line)));
    }
    serde_json::Value::from(hosts.into_values().collect::<Vec<_>>()).to_string()
}

/// The registry's line for a host. Names that begin with `x` get a class that neither reads nor writes.
pub fn registry_line(host: &Host, health: &str) -> String {
    let class = match host.name.as_bytes()[0] {
        b'r' => "reads",
        b'x' => "does neither",
        _ => "writes",
    };
    line_in_cell(host.name, host.address, (host.zone, 0), class, health)
}

/// The registry's line for a host of this name and class in a zone and a cell.
pub fn line_in_cell(
    name: &str,
    address: SocketAddr,
    (zone, cell): (&str, usize),
    class: &str,
    health: &str,
) -> String {
    format!(
        "{{\"host\":\"{name}\",\"dial\":\"{address}\",\"site\":\"{zone}\",\"class\":\"{class}\",\"block\":{cell},\"health\":\"{health}\",\"share\":1.0,\"born_ms\":0}}"
    )
}

/// Starts the only dispatcher of its platform and waits until it is ready.
pub fn start_node(registry: &Registry, sockets: usize) -> Node {
    start_fleet_node(registry, sockets, 1)
}

/// Starts one of `dispatchers` dispatchers.
pub fn start_fleet_node(registry: &Registry, sockets: usize, dispatchers: usize) -> Node {
    start_node_with(&config(registry, sockets, dispatchers))
}

/// The dispatcher's start configuration.
pub fn config(registry: &Registry, sockets: usize, dispatchers: usize) -> String {
    format!(
        r#"{{"name":"n1","listen":"127.0.0.1:0","discovery":"{}","seed":"8c1f30d27a5be964","limits":{{"sockets":{sockets}}},
        "settings":{{"Kinds":["reads","writes"],"Zones":["a","b"],"Zone":"a","Balancers":{dispatchers},"Me":0,
          "Domain":{{"RoleByKind":["read","write"],"ReleaseUs":1000000,"TokenAimUs":[60000.0]}},
          "Permissions":{{"Cancel":true,"MaxAttempts":6,"RetryAfter":true,"MaxRetryAfterUs":1000000,"ConnectTimeoutUs":250000,"KeepaliveUs":15000000}},
          "Profiles":[{{"Name":"chat","TargetUs":1500000,"HardLimitUs":3000000,"Idempotency":"pure","Group":"all"}}]}}}}"#,
        registry.address
    )
}

/// Starts a dispatcher with this configuration and waits until it is ready.
pub fn start_node_with(config: &str) -> Node {
    let node = Node::start(&StartConfig::parse(config).expect("a configuration")).expect("a node");
    let until = Instant::now() + Duration::from_secs(5);
    while !exchange(node.address(), "GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        .starts_with("HTTP/1.1 200")
    {
        assert!(Instant::now() < until, "the dispatcher does not become ready within 5 s");
        thread::sleep(Duration::from_millis(10));
    }
    node
}

pub const BODY: &str = r#"{"model":"chat","stream":true,"messages":[{"role":"user","content":"x"}]}"#;

/// A chat request with this id and, in `more`, further header lines.
pub fn request_text(id: &str, more: &str) -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nX-Txn: {id}\r\nX-Lane: chat\r\nX-Remaining-Ms: 2500\r\n\
         X-Labels: prompt_len=20,max_out=10\r\n{more}Content-Length: {}\r\n\r\n{BODY}",
        BODY.len()
    )
}

pub fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("a connection");
    let _ = stream.set_read_timeout(Some(Duration::from_secs(6)));
    stream
}

/// Sends `text` on a new connection and returns everything received until the connection ends.
pub fn exchange(address: SocketAddr, text: &str) -> String {
    let mut stream = connect(address);
    let _ = stream.write_all(text.as_bytes());
    let mut out = Vec::new();
    let mut buffer = [0; 4096];
    while let Ok(got) = stream.read(&mut buffer) {
        if got == 0 {
            break;
        }
        out.extend_from_slice(&buffer[..got]);
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Whether the answer is a complete normal stream for the request with this id.
pub fn is_complete_stream(answer: &str, id: &str) -> bool {
    let clean =
        answer.starts_with("HTTP/1.1 200") && answer.contains("[DONE]") && answer.ends_with("0\r\n\r\n");
    clean && answer.contains(id) && answer.matches("data:").count() == 3
}

/// Held by a test while its dispatcher runs: open sockets are counted for the whole process, so that such tests must not
/// run at the same time.
pub static EXCLUSIVE: Mutex<()> = Mutex::new(());

/// A dispatcher with one reader, two writers that share a script, and a registry.
pub struct Platform {
    pub _exclusive: MutexGuard<'static, ()>,
    pub r1: Host,
    pub w1: Host,
    pub w2: Host,
    pub registry: Registry,
    pub node: Node,
}

pub fn start_platform(sockets: usize) -> Platform {
    let exclusive = EXCLUSIVE.lock().unwrap_or_else(PoisonError::into_inner);
    let (reads, writes) = (Script::default(), Script::default());
    let (r1, w1, w2) = (Host::start("r1", &reads), Host::start("w1", &writes), Host::start("w2", &writes));
    let registry = Registry::start(&[&r1, &w1, &w2]);
    let node = start_node(&registry, sockets);
    Platform { _exclusive: exclusive, r1, w1, w2, registry, node }
}
