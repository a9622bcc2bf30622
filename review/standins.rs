//! Stand-ins for the review's cases: discovery, model hosts and clients, each on loopback. One program, one
//! sub-command a case. Built by `rustc` alone; the dispatcher is started as a process of its own by the command
//! `run` of deploy/balancer.toml.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

mod cases;

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Small generator of random numbers (splitmix64), seeded by the case.
pub struct Random(AtomicU64);

impl Random {
    pub fn new(seed: u64) -> Random {
        Random(AtomicU64::new(seed))
    }

    pub fn next(&self) -> u64 {
        let state = self.0.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
        let mut z = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// From `low` to `high`, both included.
    pub fn between(&self, low: u64, high: u64) -> u64 {
        low + self.next() % (high - low + 1)
    }
}

/// The record of what was sent, answered and run.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn new(path: &Path) -> Arc<Record> {
        let file = File::create(path).expect("record.txt");
        Arc::new(Record { start: Instant::now(), file: Mutex::new(file) })
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.4} {text}");
    }

    /// To the record and to standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

/// Bytes of one connection, read message by message.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

pub struct Message {
    pub start: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        Reader { stream, buffer: Vec::new() }
    }

    fn more(&mut self) -> Option<()> {
        let mut bytes = [0; 16384];
        match self.stream.read(&mut bytes) {
            Ok(got) if got > 0 => {
                self.buffer.extend_from_slice(&bytes[..got]);
                Some(())
            }
            _ => None,
        }
    }

    pub fn line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|two| two == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Some(line);
            }
            self.more()?;
        }
    }

    fn exactly(&mut self, count: usize) -> Option<Vec<u8>> {
        while self.buffer.len() < count {
            self.more()?;
        }
        Some(self.buffer.drain(..count).collect())
    }

    pub fn head(&mut self) -> Option<Message> {
        let start = self.line()?;
        let mut headers = HashMap::new();
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Some(Message { start, headers, body: Vec::new() });
            }
            if let Some((name, value)) = line.split_once(':') {
                headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
            }
        }
    }

    /// One message with its body, by length or in chunks. The second value tells whether it came whole.
    pub fn message(&mut self) -> Option<(Message, bool)> {
        let mut message = self.head()?;
        let mut whole = true;
        if message.headers.get("transfer-encoding").is_some_and(|coding| coding == "chunked") {
            loop {
                let size = self.line().and_then(|line| usize::from_str_radix(line.trim(), 16).ok());
                let Some(chunk) = size.and_then(|size| self.exactly(size + 2).map(|bytes| (size, bytes))) else {
                    whole = false;
                    break;
                };
                if chunk.0 == 0 {
                    break;
                }
                message.body.extend_from_slice(&chunk.1[..chunk.0]);
            }
        } else if let Some(length) = message.headers.get("content-length").and_then(|l| l.parse().ok()) {
            match self.exactly(length) {
                Some(body) => message.body = body,
                None => whole = false,
            }
        }
        Some((message, whole))
    }
}

/// Listens on a free port of a loopback address and serves each connection on a thread of its own.
pub fn listen(address: &str, serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind((address, 0)).expect("a free port");
    let at = listener.local_addr().unwrap();
    let serve = Arc::new(serve);
    let accept = move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            let _ = stream.set_nodelay(true);
            thread::Builder::new().stack_size(128 << 10).spawn(move || serve(stream)).expect("a thread");
        }
    };
    thread::Builder::new().stack_size(64 << 10).spawn(accept).expect("a thread");
    at
}

pub fn free_address(address: &str) -> SocketAddr {
    TcpListener::bind((address, 0)).expect("a free port").local_addr().unwrap()
}

/// One line of discovery's list. `born_ms` 0 means a start long ago.
#[derive(Clone)]
pub struct Listed {
    pub host: String,
    pub dial: SocketAddr,
    pub site: &'static str,
    pub class: &'static str,
    pub block: u32,
    pub health: &'static str,
}

pub fn list_line(h: &Listed, born_ms: u64) -> String {
    format!(
        "{{\"host\":\"{}\",\"dial\":\"{}\",\"site\":\"{}\",\"class\":\"{}\",\"block\":{},\"health\":\"{}\",\
         \"share\":1.0,\"born_ms\":{born_ms}}}",
        h.host, h.dial, h.site, h.class, h.block, h.health
    )
}

/// The changes that discovery has to tell, each a version of its own.
pub type Changes = Arc<(Mutex<Vec<String>>, Condvar)>;

/// Discovery's version before the first change.
const FIRST_VERSION: usize = 41;

/// Discovery: the whole list without a version, and watches, which end once something newer exists or their wait
/// is over, with all that changed.
pub fn start_discovery(hosts: Vec<Listed>, changes: Changes) -> SocketAddr {
    let whole: Vec<String> = hosts.iter().map(|host| list_line(host, 0)).collect();
    listen("127.0.0.1", move |stream| {
        let mut reader = Reader::new(stream);
        while let Some((call, _)) = reader.message() {
            let value = |name: &str| {
                let text = call.start.split(name).nth(1)?;
                text.split([' ', '&']).next()?.parse::<usize>().ok()
            };
            let (told, changed) = &*changes;
            let body = match (value("index="), value("wait=")) {
                (Some(index), Some(wait)) => {
                    let nothing_newer = |told: &mut Vec<String>| FIRST_VERSION + told.len() <= index;
                    let until = ms(wait as u64);
                    let (told, _) = changed.wait_timeout_while(told.lock().unwrap(), until, nothing_newer).unwrap();
                    let newer = told[(index - FIRST_VERSION).min(told.len())..].join(",");
                    format!("{{\"seq\":{},\"whole\":false,\"hosts\":[{newer}]}}", FIRST_VERSION + told.len())
                }
                _ => {
                    let told = told.lock().unwrap();
                    let mut all: BTreeMap<&str, &str> = BTreeMap::new();
                    for line in whole.iter().chain(told.iter()) {
                        let name = line.split("\",").next().unwrap();
                        if line.contains("\"health\":\"left\"") {
                            all.remove(name);
                        } else {
                            all.insert(name, line);
                        }
                    }
                    let all = all.into_values().collect::<Vec<_>>().join(",");
                    format!("{{\"seq\":{},\"whole\":true,\"hosts\":[{all}]}}", FIRST_VERSION + told.len())
                }
            };
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            if reader.stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    })
}

/// The settings of a small deployment, in the form and with the figures of the pages' example.
pub fn settings(dispatchers: usize, me: usize, effect: &str) -> String {
    format!(
        r#"{{"Accounts":[{{"Name":"andaman-blue","QuotaPerS":20.0,"Share":0.6}},{{"Name":"gulf-star","QuotaPerS":20.0,"Share":0.4}}],
"Balancers":{dispatchers},"Clients":{{"MarksRetry":true}},
"Domain":{{"AimUsPer1000PromptTokens":[40000.0],"EarlyPairing":true,"KindMemoryTokens":[197820,123629],"MoveFee":0.04,"ReadInPlace":false,"ReleaseUs":1000000,"Resume":false,"RoleByKind":["read","write"],"TokenAimUs":[60000.0]}},
"DomainType":"twostage","Kinds":["prefill","decode"],"Me":{me},"OverShareWorth":0.2,
"Permissions":{{"Cancel":true,"ConnectTimeoutUs":250000,"CpuUsPerRequest":0.0,"CpuUsPerS":756098,"KeepaliveUs":15000000,"MaxAttempts":6,"MaxOpen":30243,"MaxRetryAfterUs":1000000,"MayProbe":false,"Peers":false,"RetryAfter":true,"SecondCopies":true,"StreamsPerConn":100}},
"Profiles":[{{"Credit":1.0,"Group":"all","HardLimitUs":6000000,"Idempotency":"{effect}","LateWorth":0.3,"Name":"chat-reply","Stream":true,"TargetUs":1500000,"WindowUs":5000000}}],
"RegistryMode":"pushed","Report":{{"Fields":[],"Source":"none"}},
"Rules":{{"AnswerSlackUs":16000,"AskWithinUs":10000000,"ColdFrom":0.3,"FallUs":3000000,"OverloadFactor":2.5,"StopSendingWithinUs":250000,"WarmUpUs":14000000}},
"Stage":0,"Stages":["draft-fleet"],"TickUs":4000,"WeightKind":"none","WorthBy":"work","Zone":"bangna","Zones":["bangna","lat-krabang"]}}"#
    )
}

/// The dispatcher as a process of its own. It is killed when the value is dropped.
pub struct Node {
    pub child: Child,
    pub address: SocketAddr,
    pub log: PathBuf,
}

impl Node {
    pub fn start(root: &Path, folder: &Path, name: &str, discovery: SocketAddr, limits: &str, settings: &str) -> Node {
        let deploy = std::fs::read_to_string(root.join("deploy/balancer.toml")).expect("the deploy file");
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")).expect("run");
        let run = run.split('"').next().unwrap();
        let address = free_address("127.0.0.1");
        let seed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos() as u64;
        let config = format!(
            "{{\"name\":\"{name}\",\"listen\":\"{address}\",\"discovery\":\"{discovery}\",\"seed\":\"{seed:016x}\",\
             \"limits\":{limits},\"settings\":{settings}}}"
        );
        let (file, log, tmp) =
            (folder.join(format!("{name}.json")), folder.join(format!("{name}.log")), folder.join(name));
        std::fs::create_dir_all(&tmp).expect("a folder");
        std::fs::write(&file, config).expect("the configuration");
        let child = Command::new("/bin/sh")
            .args(["-c", run])
            .current_dir(root)
            .env("EDGE_NAME", name)
            .env("EDGE_LISTEN", address.to_string())
            .env("EDGE_DISCOVERY", discovery.to_string())
            .env("EDGE_CONFIG", &file)
            .env("TMPDIR", &tmp)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(File::create(&log).expect("a log"))
            .spawn()
            .expect("the dispatcher");
        Node { child, address, log }
    }

    /// Whether it answers 200 to the readiness check within 15 s.
    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + ms(15_000);
        while Instant::now() < until {
            if let Ok(mut stream) = TcpStream::connect(self.address) {
                let _ = stream.set_read_timeout(Some(ms(1000)));
                let call = "GET /health/ready HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n";
                let _ = stream.write_all(call.as_bytes());
                if Reader::new(stream).head().is_some_and(|head| head.start.contains(" 200 ")) {
                    return true;
                }
            }
            thread::sleep(ms(50));
        }
        false
    }

    /// A figure of /proc/PID/status in kB.
    pub fn memory_kb(&self, field: &str) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with(field))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// States that readers hold, by request.
#[derive(Default)]
pub struct States {
    held: Mutex<HashSet<String>>,
}

impl States {
    pub fn add(&self, id: &str) {
        self.held.lock().unwrap().insert(id.to_owned());
    }

    pub fn take(&self, id: &str) -> bool {
        self.held.lock().unwrap().remove(id)
    }
}

pub fn txn(message: &Message) -> String {
    message.headers.get("x-txn").cloned().unwrap_or_default()
}

pub const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// One event with some tokens. It names its request, so that a client can tell whose it is.
pub fn event(id: &str, number: usize) -> String {
    format!("data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{id} {number} \"}},\"finish_reason\":null}}]}}\n\n")
}

pub fn last_events() -> String {
    "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"\"},\"finish_reason\":\"stop\"}]}\n\n\
     data: {\"choices\":[],\"usage\":{\"prompt_tokens\":1200,\"completion_tokens\":24,\
     \"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\ndata: [DONE]\n\n"
        .to_owned()
}

/// The request of a usual client.
pub fn request(id: &str, session: &str, remaining_ms: u64, body: &str) -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nX-Txn: {id}\r\nX-Lane: chat-reply\r\n\
         X-Org: andaman-blue\r\nX-Entity: {session}\r\nX-Remaining-Ms: {remaining_ms}\r\n\
         X-Labels: prompt_len=1200,prefix_len=0,max_out=60\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

pub fn usual_body() -> String {
    format!(
        "{{\"model\":\"chat\",\"stream\":true,\"max_tokens\":60,\"messages\":[{{\"role\":\"user\",\"content\":\"{}\"}}]}}",
        "when does the ferry go ".repeat(200)
    )
}

pub fn count(counter: &AtomicUsize) -> usize {
    counter.load(Ordering::SeqCst)
}

pub fn flag(value: bool) -> Arc<AtomicBool> {
    Arc::new(AtomicBool::new(value))
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, folder, scratch] = arguments.as_slice() else {
        eprintln!("usage: standins CASE ROOT FOLDER SCRATCH");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::new(&Path::new(folder).join("record.txt"));
    record.say(&format!("case {case}, disruption {}", if trouble { "on" } else { "off" }));
    let code = cases::run(case, Path::new(root), Path::new(scratch), trouble, &record);
    record.say(match code {
        0 => "result: the rule held",
        1 => "result: the rule was broken",
        _ => "result: the case could not run",
    });
    std::process::exit(code);
}
