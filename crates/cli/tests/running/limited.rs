//! A dispatcher process under a memory limit, with usual clients beside bad ones.
#![allow(dead_code)] // each test file uses a part of this module

use crate::platform::*;
use crate::running::{NodeProcess, ms};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// The platform's limit for a body.
pub const MAX_BODY_BYTES: usize = 256 << 10;
/// The platform's time limit for an answer to a bad client, or the close of its connection.
pub const BAD_CLIENT_LIMIT: Duration = Duration::from_secs(3);
/// Size of the body of a usual request: 5,000 tokens of four characters.
const USUAL_BODY_BYTES: usize = 20_000;
/// Bad clients at once.
pub const BAD_CLIENTS: usize = 300;
/// For how long the memory is watched.
const WATCHED: Duration = Duration::from_secs(4);
/// The refusal of a request that its hosts cannot answer in time.
const HOSTS_BUSY: &str = "no host can answer in time";
/// How often a usual client asks in all, and the pause in between.
const USUAL_ATTEMPTS: usize = 8;
const USUAL_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Interval between the requests of usual clients.
const USUAL_INTERVAL: Duration = Duration::from_millis(100);

/// A valid chat request with a body of `body_bytes` bytes.
pub fn request_of(id: &str, body_bytes: usize, remaining_ms: u64) -> String {
    let frame = BODY.replace("\"x\"", "\"\"").len();
    let text = "x".repeat(body_bytes - frame);
    let body = BODY.replace("\"x\"", &format!("\"{text}\""));
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nX-Txn: {id}\r\nX-Lane: chat\r\n\
         X-Remaining-Ms: {remaining_ms}\r\nX-Labels: prompt_len=5000,max_out=10\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// The time that a usual request grants, in milliseconds.
pub const TIME_LEFT_MS: u64 = 2500;

/// A valid chat request after whose answer the connection is closed.
pub fn last_request_of(id: &str, body_bytes: usize) -> String {
    request_of(id, body_bytes, TIME_LEFT_MS).replacen("X-Lane", "Connection: close\r\nX-Lane", 1)
}

/// A dispatcher with a memory limit, one reader and two writers, and usual clients in the background.
pub struct LimitedNode {
    pub process: NodeProcess,
    pub address: SocketAddr,
    pub memory_mb: u64,
    /// Replies of the reader.
    pub reads: Script,
    /// Replies of the writers.
    pub writes: Script,
    pub registry: Registry,
    /// The reader and both writers.
    pub hosts: [Host; 3],
}

/// Whether an answer is a complete stream for the request with this id, of any length.
pub fn is_served(answer: &str, id: &str) -> bool {
    answer.starts_with("HTTP/1.1 200") && answer.contains(id) && answer.ends_with("0\r\n\r\n")
}

/// Whether a usual client gets its answer. The hosts may be busy with the burst of other clients: then it asks again, as it
/// is told to. Any other refusal counts as a failure.
pub fn usual_client_is_served(address: SocketAddr, number: usize, body_bytes: usize) -> bool {
    let mut answer = String::new();
    for attempt in 0..USUAL_ATTEMPTS {
        let id = format!("usual{number:05}x{attempt}");
        answer = exchange(address, &last_request_of(&id, body_bytes));
        if is_served(&answer, &id) {
            return true;
        }
        if !answer.contains(HOSTS_BUSY) {
            break;
        }
        thread::sleep(USUAL_RETRY_DELAY);
    }
    eprintln!("usual client {number}: {}", answer.lines().last().unwrap_or_default());
    false
}

/// Figures of the usual clients.
#[derive(Default)]
pub struct UsualCounts {
    pub sent: AtomicUsize,
    pub served: AtomicUsize,
}

impl LimitedNode {
    pub fn start(name: &str, memory_mb: u64, sockets: usize) -> LimitedNode {
        Self::start_with(name, memory_mb, sockets, str::to_owned)
    }

    /// Like `start`, with the configuration text passed through `change`.
    pub fn start_with(
        name: &str,
        memory_mb: u64,
        sockets: usize,
        change: impl Fn(&str) -> String,
    ) -> LimitedNode {
        let (reads, writes) = (Script::default(), Script::default());
        let r1 = Host::start("r1", &reads);
        let (w1, w2) = (Host::start("w1", &writes), Host::start("w2", &writes));
        let registry = Registry::start(&[&r1, &w1, &w2]);
        let limited = |config: &str| {
            change(config).replace("\"limits\":{", &format!("\"limits\":{{\"memory_mb\":{memory_mb},"))
        };
        let process = NodeProcess::start_with(name, &registry, sockets, limited).wait_ready();
        let address = process.address;
        LimitedNode { process, address, memory_mb, reads, writes, registry, hosts: [r1, w1, w2] }
    }

    /// The memory of the process in KiB, which must not exceed the limit.
    pub fn memory_within_limit(&self) -> u64 {
        let kib = self.process.anonymous_memory_kib();
        assert!(kib <= self.memory_mb * 1024, "{kib} KiB with a limit of {} MB", self.memory_mb);
        kib
    }

    /// Runs `trouble` beside usual clients and watches the memory for `within`.
    pub fn watch(&self, within: Duration, trouble: impl FnOnce()) -> (u64, Arc<UsualCounts>) {
        let (counts, ended) = (Arc::new(UsualCounts::default()), Arc::new(AtomicBool::new(false)));
        let usual = self.start_usual_clients(&counts, &ended);
        trouble();
        let (since, mut highest) = (Instant::now(), 0);
        while since.elapsed() < within {
            highest = highest.max(self.memory_within_limit());
            thread::sleep(ms(5));
        }
        ended.store(true, Ordering::SeqCst);
        usual.join().expect("no panic");
        (highest, counts)
    }

    fn start_usual_clients(&self, counts: &Arc<UsualCounts>, ended: &Arc<AtomicBool>) -> JoinHandle<()> {
        let (address, counts, ended) = (self.address, counts.clone(), ended.clone());
        thread::spawn(move || {
            let mut clients = Vec::new();
            while !ended.load(Ordering::SeqCst) {
                let (number, counts) = (counts.sent.fetch_add(1, Ordering::SeqCst), counts.clone());
                clients.push(thread::spawn(move || {
                    let served = usual_client_is_served(address, number, USUAL_BODY_BYTES);
                    counts.served.fetch_add(usize::from(served), Ordering::SeqCst);
                }));
                thread::sleep(USUAL_INTERVAL);
            }
            clients.into_iter().for_each(|client| client.join().expect("no panic"));
        })
    }
}

/// Starts a client that sends `text` at full speed and then waits for an error or a close; returns the time that this
/// took since the last byte that it could send.
pub fn start_bad_client(address: SocketAddr, text: String) -> JoinHandle<Duration> {
    let client = move || {
        let Ok(mut stream) = TcpStream::connect(address) else { return Duration::ZERO };
        let _ = stream.set_read_timeout(Some(2 * BAD_CLIENT_LIMIT));
        let _ = stream.write_all(text.as_bytes());
        let since = Instant::now();
        let _ = stream.read(&mut [0; 512]);
        since.elapsed()
    };
    thread::Builder::new().stack_size(128 << 10).spawn(client).expect("a thread")
}

pub fn slowest(clients: Vec<JoinHandle<Duration>>) -> Duration {
    clients.into_iter().map(|client| client.join().expect("no panic")).max().unwrap_or_default()
}

/// Checks that memory stays within the limit beside the bad clients, that all usual clients are served, and that every bad client got its error or close in time.
pub fn check(name: &str, node: &LimitedNode, start_bad_clients: impl FnOnce() -> Vec<JoinHandle<Duration>>) {
    let mut bad_clients = Vec::new();
    let (highest, usual) = node.watch(WATCHED, || bad_clients = start_bad_clients());
    let slowest = slowest(bad_clients);
    let (sent, served) = (usual.sent.load(Ordering::SeqCst), usual.served.load(Ordering::SeqCst));
    eprintln!("{name}: highest {highest} KiB, usual {served} of {sent}, slowest bad client {slowest:?}");
    assert!(slowest < BAD_CLIENT_LIMIT, "{name}: a bad client waited for {slowest:?}");
    assert_eq!(served, sent, "{name}: usual requests were not served");
}
