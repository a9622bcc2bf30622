//! A stand-in platform on loopback: hosts, a registry and clients that judge by what crosses the sockets, faults injected.
#![allow(dead_code)] // each test file uses its part

pub mod proxy;

use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock, PoisonError};
use std::thread;
use std::time::{Duration, Instant};
use tulipstall_http1::{Limits, RequestReader, Step};
use tulipstall_node::Node;
use tulipstall_platform::start::Start;

/// What a host does with its next call, by default all goes well.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Does {
    /// These bytes in place of an answer.
    Says(&'static str),
    /// A good answer behind these bytes.
    Ahead(&'static str),
    /// A good answer with these bytes right behind.
    Behind(&'static str),
    /// A good stream up to its second event, then these bytes.
    Then(&'static str),
    /// Nothing, for ever.
    Silent,
    /// The connection breaks with no answer.
    Breaks,
    /// As that, so many milliseconds later.
    BreaksIn(u64),
    /// A good answer up to so many bytes, then the connection breaks.
    Cut(usize),
    /// So many events at once.
    Long(usize),
    /// The second event comes so many milliseconds later.
    Pauses(u64),
    /// A good answer, so many milliseconds later.
    Late(u64),
    /// So many events, so many milliseconds apart, each with the microseconds of its writing, in pieces, or two at once.
    Timed(usize, u64, Wrote),
}

/// How a host writes its events.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Wrote {
    Whole,
    /// Byte by byte, over some milliseconds.
    InPieces,
    /// Two events in one chunk.
    ByTwo,
}

/// Microseconds on a clock that hosts and clients share.
pub fn micros() -> u64 {
    static START: OnceLock<Instant> = OnceLock::new();
    START.get_or_init(Instant::now).elapsed().as_micros() as u64
}

#[derive(Default)]
pub struct Seen {
    /// Method and path, id, when.
    pub calls: Vec<(String, String, Instant)>,
    /// By id, the marks by which a host would know a repeat.
    pub keys: Vec<(String, Option<String>)>,
}

/// What those who share it do with their next calls.
pub type Script = Arc<Mutex<VecDeque<Does>>>;

#[derive(Clone)]
pub struct Host {
    pub name: &'static str,
    pub address: SocketAddr,
    pub seen: Arc<Mutex<Seen>>,
    pub script: Script,
    /// Drops whatever comes over a connection that was used before.
    pub forgets: Arc<AtomicBool>,
    /// Nothing that comes gets to it, nothing that it says gets out.
    pub cut: Arc<AtomicBool>,
    /// Takes no further connection than the next.
    pub shut: Arc<AtomicBool>,
    pub zone: &'static str,
}

pub fn event(text: &str) -> String {
    let event = format!("data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{text}\"}}}}]}}\n\n");
    format!("{:x}\r\n{event}\r\n", event.len())
}

pub const DONE: &str = "e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n";
pub const STREAM: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

impl Host {
    /// A reader's name begins with r.
    pub fn start(name: &'static str, script: &Script) -> Host {
        Self::start_in("a", name, script)
    }

    pub fn start_in(zone: &'static str, name: &'static str, script: &Script) -> Host {
        Self::start_on(TcpListener::bind("127.0.0.1:0").expect("a port"), zone, name, script)
    }

    /// On a listener of its own, whose queue may be full.
    pub fn start_on(listener: TcpListener, zone: &'static str, name: &'static str, script: &Script) -> Host {
        let address = listener.local_addr().expect("an address");
        let seen = Arc::new(Mutex::new(Seen::default()));
        let forgets = Arc::new(AtomicBool::new(false));
        let (cut, shut) = (Arc::default(), Arc::default());
        let host = Host { name, address, seen, script: script.clone(), forgets, cut, shut, zone };
        let about = host.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = about.clone();
                thread::spawn(move || serving.serve(stream));
                while about.shut.load(Ordering::SeqCst) {
                    thread::sleep(Duration::from_millis(5));
                }
            }
        });
        host
    }

    pub fn serve(&self, mut stream: TcpStream) {
        let Host { name, seen, script, forgets, .. } = self;
        let mut reader = RequestReader::new(Limits::default());
        let mut buffer = [0; 65_536];
        let mut used = false;
        loop {
            let (head, _) = match reader.poll() {
                Ok(Step::Request(head, body)) => (head, body),
                Ok(_) => match stream.read(&mut buffer) {
                    Ok(got) if got > 0 => {
                        reader.feed(&buffer[..got]);
                        continue;
                    }
                    _ => return,
                },
                Err(_) => return,
            };
            while self.cut.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(5));
            }
            let call = format!("{} {}", head.method, head.target);
            let id = head.text("x-txn").unwrap_or_default().to_owned();
            {
                let mut seen = seen.lock().expect("no panic");
                seen.calls.push((call.clone(), id.clone(), Instant::now()));
                seen.keys.push((id.clone(), head.text("idempotency-key").map(str::to_owned)));
            }
            if std::mem::replace(&mut used, true) && forgets.load(Ordering::SeqCst) {
                return;
            }
            let next = || script.lock().expect("no panic").pop_front();
            let does = if call.starts_with("POST") { next() } else { None };
            let good = if call.starts_with("DELETE") {
                "HTTP/1.1 204 No Content\r\n\r\n".to_owned()
            } else if name.starts_with('r') {
                "HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\n\r\n{\"cached_tokens\":7}".to_owned()
            } else {
                format!("{STREAM}{}{}{DONE}", event(&id), event("more"))
            };
            let half = format!("{STREAM}{}", event(&id));
            let sent = match does {
                None => stream.write_all(good.as_bytes()),
                Some(Does::Says(bytes)) => stream.write_all(bytes.as_bytes()),
                Some(Does::Ahead(bytes)) => stream.write_all(format!("{bytes}{good}").as_bytes()),
                Some(Does::Behind(bytes)) => stream.write_all(format!("{good}{bytes}").as_bytes()),
                Some(Does::Then(bytes)) => {
                    let _ = stream.write_all(half.as_bytes());
                    thread::sleep(Duration::from_millis(50));
                    stream.write_all(bytes.as_bytes())
                }
                Some(Does::Pauses(ms)) => {
                    let _ = stream.write_all(half.as_bytes());
                    thread::sleep(Duration::from_millis(ms));
                    stream.write_all(format!("{}{DONE}", event("more")).as_bytes())
                }
                Some(Does::Timed(events, ms, wrote)) => {
                    let mut sent =
                        stream.set_nodelay(true).and_then(|()| stream.write_all(STREAM.as_bytes()));
                    for _ in 0..events {
                        let text = format!("at {} ", micros());
                        let bytes = match wrote {
                            Wrote::ByTwo => {
                                let two = |text: &str| {
                                    let event = event(text);
                                    event
                                        .split_once("\r\n")
                                        .expect("a chunk")
                                        .1
                                        .trim_end_matches("\r\n")
                                        .to_owned()
                                };
                                let both = two(&text) + &two(&text);
                                format!("{:x}\r\n{both}\r\n", both.len())
                            }
                            Wrote::Whole | Wrote::InPieces => event(&text),
                        };
                        let size = if wrote == Wrote::InPieces { 9 } else { bytes.len() };
                        for piece in bytes.as_bytes().chunks(size) {
                            sent = sent.and_then(|()| stream.write_all(piece));
                            if wrote == Wrote::InPieces {
                                thread::sleep(Duration::from_micros(300));
                            }
                        }
                        thread::sleep(Duration::from_millis(ms));
                    }
                    sent.and_then(|()| stream.write_all(DONE.as_bytes()))
                }
                Some(Does::Late(ms)) => {
                    thread::sleep(Duration::from_millis(ms));
                    stream.write_all(good.as_bytes())
                }
                Some(Does::Silent) => Ok(()),
                Some(Does::Long(events)) => {
                    stream.write_all(format!("{half}{}{DONE}", event("more").repeat(events)).as_bytes())
                }
                Some(Does::Cut(bytes)) => {
                    let _ = stream.write_all(&good.as_bytes()[..bytes.min(good.len())]);
                    return;
                }
                Some(Does::Breaks) => return,
                Some(Does::BreaksIn(ms)) => return thread::sleep(Duration::from_millis(ms)),
            };
            if sent.is_err() {
                return;
            }
        }
    }

    pub fn does(&self, does: &[Does]) {
        self.script.lock().expect("no panic").extend(does);
    }

    pub fn calls(&self) -> Vec<(String, String, Instant)> {
        self.seen.lock().expect("no panic").calls.clone()
    }
}

/// How a registry fails a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fails {
    Silent,
    /// A byte now and then.
    Trickles,
    Resets,
    Rubbish,
    /// The first list that it ever had.
    Older,
}

/// A registry: versions of one list, whole or by what changed.
#[derive(Clone)]
pub struct Registry {
    pub address: SocketAddr,
    /// What is asked goes unanswered for ever, as does what waited for news.
    pub down: Arc<AtomicBool>,
    pub state: Arc<(Mutex<Vec<String>>, Condvar)>,
    /// What becomes of its next answers.
    pub script: Arc<Mutex<VecDeque<Fails>>>,
    /// New calls that it takes in any second, where it is bounded: a call more is refused, and counts all the same. Those
    /// that go on with a watch are no new ones.
    pub takes: Arc<AtomicUsize>,
    /// When each new call came, and whether it was taken.
    pub new_calls: Arc<Mutex<Vec<(Instant, bool)>>>,
}

impl Registry {
    pub fn start(hosts: &[&Host]) -> Registry {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let registry = Registry {
            address: listener.local_addr().expect("an address"),
            down: Arc::default(),
            script: Arc::default(),
            takes: Arc::new(AtomicUsize::new(usize::MAX)),
            new_calls: Arc::default(),
            state: Arc::new((
                Mutex::new(vec![hosts.iter().map(|h| line(h, "active")).collect::<Vec<_>>().join(",")]),
                Condvar::new(),
            )),
        };
        let about = registry.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let about = about.clone();
                thread::spawn(move || about.serve(stream));
            }
        });
        registry
    }

    /// Whether a new call is taken.
    fn is_taken(&self) -> bool {
        let now = Instant::now();
        let mut calls = self.new_calls.lock().expect("no panic");
        let of_late = calls.iter().rev().take_while(|(at, _)| now - *at < Duration::from_secs(1)).count();
        let taken = of_late < self.takes.load(Ordering::SeqCst);
        calls.push((now, taken));
        taken
    }

    pub fn serve(&self, mut stream: TcpStream) {
        let mut reader = RequestReader::new(Limits::default());
        let mut buffer = [0; 4096];
        let mut watched: Option<Instant> = None;
        loop {
            match reader.poll() {
                Ok(Step::Request(head, _)) => {
                    let after = head.target.split("index=").nth(1).and_then(|rest| rest.split('&').next());
                    let after: Option<usize> = after.and_then(|text| text.parse().ok());
                    let goes_on = watched.is_some_and(|at| at.elapsed() < Duration::from_millis(200));
                    if !goes_on && !self.is_taken() {
                        let refusal = "HTTP/1.1 503 Busy\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
                        let _ = stream.write_all(refusal.as_bytes());
                        return;
                    }
                    let (versions, changed) = &*self.state;
                    let mut versions = versions.lock().expect("no panic");
                    let body = match after {
                        None => {
                            let (seq, hosts) = (versions.len(), now(&versions));
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
                    let fails = self.script.lock().expect("no panic").pop_front();
                    let body = match fails {
                        None => body,
                        Some(Fails::Silent) => continue,
                        Some(Fails::Resets) => return,
                        Some(Fails::Rubbish) => "{\"seq\":3,\"whole\":".to_owned(),
                        Some(Fails::Trickles) => " ".repeat(1000),
                        Some(Fails::Older) => {
                            let first = self.state.0.lock().expect("no panic")[0].clone();
                            format!("{{\"seq\":1,\"whole\":true,\"hosts\":[{first}]}}")
                        }
                    };
                    let mut text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
                        .into_bytes();
                    if fails == Some(Fails::Trickles) {
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
                    watched = after.map(|_| Instant::now());
                }
                Ok(_) => match stream.read(&mut buffer) {
                    Ok(got) if got > 0 => reader.feed(&buffer[..got]),
                    _ => return,
                },
                Err(_) => return,
            }
        }
    }

    pub fn tell(&self, line: String) {
        self.state.0.lock().expect("no panic").push(line);
        self.state.1.notify_all();
    }
}

/// The list as all versions together make it.
fn now(versions: &[String]) -> String {
    let mut hosts = std::collections::BTreeMap::new();
    for version in versions {
        let lines: Vec<serde_json::Value> = serde_json::from_str(&format!("[{version}]")).expect("lines");
        hosts.extend(lines.into_iter().map(|line| (line["host"].to_string(), line)));
    }
    serde_json::Value::from(hosts.into_values().collect::<Vec<_>>()).to_string()
}

pub fn line(host: &Host, health: &str) -> String {
    let class = match host.name.as_bytes()[0] {
        b'r' => "reads",
        b'x' => "does neither",
        _ => "writes",
    };
    format!(
        "{{\"host\":\"{}\",\"dial\":\"{}\",\"site\":\"{}\",\"class\":\"{class}\",\"block\":0,\"health\":\"{health}\",\"share\":1.0,\"born_ms\":0}}",
        host.name, host.address, host.zone
    )
}

pub fn node(registry: &Registry, sockets: usize) -> Node {
    node_of(registry, sockets, 1)
}

/// One of so many dispatchers.
pub fn node_of(registry: &Registry, sockets: usize, dispatchers: usize) -> Node {
    node_with(&config(registry, sockets, dispatchers))
}

/// What it is told at start.
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

pub fn node_with(config: &str) -> Node {
    let node = Node::start(&Start::read(config).expect("a configuration")).expect("a node");
    let until = Instant::now() + Duration::from_secs(5);
    while !ask(node.address(), "GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        .starts_with("HTTP/1.1 200")
    {
        assert!(Instant::now() < until, "never ready");
        thread::sleep(Duration::from_millis(10));
    }
    node
}

pub const BODY: &str = r#"{"model":"chat","stream":true,"messages":[{"role":"user","content":"x"}]}"#;

pub fn call(id: &str, more: &str) -> String {
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

/// All that comes until the connection ends.
pub fn ask(address: SocketAddr, text: &str) -> String {
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

pub fn whole(answer: &str, id: &str) -> bool {
    let clean =
        answer.starts_with("HTTP/1.1 200") && answer.contains("[DONE]") && answer.ends_with("0\r\n\r\n");
    clean && answer.contains(id) && answer.matches("data:").count() == 3
}

/// One at a time: how many sockets are held is counted for the whole process.
pub static ALONE: Mutex<()> = Mutex::new(());

pub struct Platform {
    pub _alone: MutexGuard<'static, ()>,
    pub r1: Host,
    pub w1: Host,
    pub w2: Host,
    pub registry: Registry,
    pub node: Node,
}

pub fn platform(sockets: usize) -> Platform {
    let alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let (reads, writes) = (Script::default(), Script::default());
    let (r1, w1, w2) = (Host::start("r1", &reads), Host::start("w1", &writes), Host::start("w2", &writes));
    let registry = Registry::start(&[&r1, &w1, &w2]);
    let node = node(&registry, sockets);
    Platform { _alone: alone, r1, w1, w2, registry, node }
}
