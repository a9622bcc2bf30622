//! Peers that send at full speed, each as a process of its own: the test program runs itself again. In the same process they
//! would share the processor time of the clients whose answers are timed.
#![allow(dead_code)] // each test file uses a part of this module

use crate::running::answer;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, ChildStdout, Command, Stdio};
use std::str::FromStr;
use std::thread;
use std::time::{Duration, Instant};

/// Environment variable that tells a process of the test program to be a flooding peer: `<flood> <seconds> [<address> <connections>]`.
const FLOOD_VARIABLE: &str = "TULIPSTALL_TEST_FLOOD";
/// Environment variable with the hosts that a flooding registry lists.
const HOSTS_VARIABLE: &str = "TULIPSTALL_TEST_HOSTS";
/// The test in which the process runs as a flooding peer.
const FLOOD_TEST: &str = "flooding_peer";
/// Begins the line on which a flooding server prints its address.
const LISTENING: &str = "flooding peer listens on ";
/// Size of the buffers of bytes that are sent again and again.
const FLOOD_BUFFER_BYTES: usize = 32 << 10;

/// What a flooding peer sends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Flood {
    /// Clients.
    EmptyLines,
    /// Whole requests for a path that does not exist, the next one as soon as one is answered.
    UnknownPaths,
    /// Whole requests that are rejected without being forwarded, the next one as soon as one is answered.
    HealthChecks,
    /// Requests that cannot be parsed, all on one connection, and on a new one when that ends.
    Malformed,
    /// Valid requests with ever new ids, sessions and prefixes, the next one as soon as one is answered.
    NewNames,
    /// The same, without waiting for answers.
    PipelinedNewNames,
    /// A body in chunks of one byte.
    OneByteChunks,
    /// A malformed request, followed by bytes without end.
    AfterRejection,
    /// Header lines one byte at a time.
    OneByteWrites,
    /// New connections that are closed at once.
    Connections,
    /// Requests for metrics without waiting for answers, which are read and discarded.
    PipelinedMetrics,
    /// Servers: interim responses without end.
    InterimResponses,
    /// Complete reads, and interim responses without end to releases.
    InterimResponsesToReleases,
    /// A stream with one event, followed by an event without end in chunks of one byte.
    EndlessChunks,
    /// A stream with one event, followed by comment lines without end.
    CommentLines,
    /// A registry that answers every watch at once with a new version.
    NewVersions,
    /// A registry that sends a list in chunks of one byte.
    ListInOneByteChunks,
}

impl Flood {
    pub const ALL: [Flood; 17] = [
        Flood::EmptyLines,
        Flood::UnknownPaths,
        Flood::HealthChecks,
        Flood::Malformed,
        Flood::NewNames,
        Flood::PipelinedNewNames,
        Flood::OneByteChunks,
        Flood::AfterRejection,
        Flood::OneByteWrites,
        Flood::Connections,
        Flood::PipelinedMetrics,
        Flood::InterimResponses,
        Flood::InterimResponsesToReleases,
        Flood::EndlessChunks,
        Flood::CommentLines,
        Flood::NewVersions,
        Flood::ListInOneByteChunks,
    ];

    pub fn is_server(self) -> bool {
        matches!(
            self,
            Flood::InterimResponses
                | Flood::InterimResponsesToReleases
                | Flood::EndlessChunks
                | Flood::CommentLines
                | Flood::NewVersions
                | Flood::ListInOneByteChunks
        )
    }
}

impl FromStr for Flood {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, String> {
        let found = Flood::ALL.into_iter().find(|flood| format!("{flood:?}") == name);
        found.ok_or_else(|| format!("no such flood: {name}"))
    }
}

/// A flooding peer's process, killed on drop.
pub struct FloodProcess {
    child: Child,
    /// Where it listens, if it is a server.
    pub address: Option<SocketAddr>,
    /// Kept open, as the process writes to it at its end.
    _output: Option<BufReader<ChildStdout>>,
}

impl Drop for FloodProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl FloodProcess {
    fn spawn(arguments: String, hosts: &str) -> Child {
        let program = std::env::current_exe().expect("a test program");
        let mut command = Command::new(program);
        command
            .args(["--exact", FLOOD_TEST, "--nocapture"])
            .env(FLOOD_VARIABLE, arguments)
            .env(HOSTS_VARIABLE, hosts);
        command.stdout(Stdio::piped()).spawn().expect("a process")
    }

    /// Starts a client that floods `address` over some connections for some seconds.
    pub fn client(flood: Flood, seconds: u64, address: SocketAddr, connections: usize) -> FloodProcess {
        assert!(!flood.is_server(), "{flood:?} is a server");
        let child = Self::spawn(format!("{flood:?} {seconds} {address} {connections}"), "");
        FloodProcess { child, address: None, _output: None }
    }

    /// Starts a server that floods whoever sends it a request, for some seconds.
    pub fn server(flood: Flood, seconds: u64) -> FloodProcess {
        Self::registry(flood, seconds, "")
    }

    /// Starts a registry that floods and lists these hosts.
    pub fn registry(flood: Flood, seconds: u64, hosts: &str) -> FloodProcess {
        assert!(flood.is_server(), "{flood:?} is a client");
        let mut child = Self::spawn(format!("{flood:?} {seconds}"), hosts);
        let mut output = BufReader::new(child.stdout.take().expect("an output"));
        let mut line = String::new();
        let address = loop {
            line.clear();
            assert!(output.read_line(&mut line).is_ok_and(|got| got > 0), "{flood:?} does not listen");
            if let Some((_, address)) = line.split_once(LISTENING) {
                break address.trim().parse().expect("an address");
            }
        };
        FloodProcess { child, address: Some(address), _output: Some(output) }
    }

    pub fn server_address(&self) -> SocketAddr {
        self.address.expect("a server")
    }
}

/// Floods, if this process was started as a flooding peer; returns at once otherwise.
pub fn run_if_flooding_peer() {
    let Ok(arguments) = std::env::var(FLOOD_VARIABLE) else { return };
    let mut arguments = arguments.split(' ');
    let mut argument = || arguments.next().expect("an argument");
    let flood: Flood = argument().parse().expect("a flood");
    let until = Instant::now() + Duration::from_secs(argument().parse().expect("seconds"));
    if flood.is_server() {
        serve_flood(flood, until);
    } else {
        let address: SocketAddr = argument().parse().expect("an address");
        let connections: usize = argument().parse().expect("a number");
        thread::scope(|scope| {
            for connection in 0..connections {
                scope.spawn(move || flood_as_client(flood, until, address, connection));
            }
        });
    }
}

fn repeated(text: &str) -> Vec<u8> {
    text.repeat(FLOOD_BUFFER_BYTES / text.len()).into_bytes()
}

/// Sends these bytes again and again until the connection ends or the time is over.
fn send_until(stream: &mut TcpStream, bytes: &[u8], until: Instant) {
    while Instant::now() < until && stream.write_all(bytes).is_ok() {}
}

/// A request with names that have not been used before.
fn request_with_new_names(connection: usize, number: usize) -> String {
    let process = format!("{}c{connection}", std::process::id());
    let body = r#"{"model":"chat","stream":true,"messages":[{"role":"user","content":"x"}]}"#;
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nX-Txn: f{process}x{number}\r\nX-Lane: chat\r\n\
         X-Entity: session{process}x{number}\r\nX-Remaining-Ms: 2500\r\n\
         X-Labels: prefix=p{process}x{number},prompt_len=20,prefix_len=10,max_out=10\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn flood_as_client(flood: Flood, until: Instant, address: SocketAddr, connection: usize) {
    let mut number = 0;
    while Instant::now() < until {
        let Ok(mut stream) = TcpStream::connect(address) else { continue };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
        let _ = stream.set_nodelay(true);
        let mut ask = |text: &dyn Fn(usize) -> String| {
            loop {
                number += 1;
                let sent = stream.write_all(text(number).as_bytes()).is_ok();
                if !sent
                    || !answer::read(&mut stream).is_ok_and(|answer| answer.keeps_open)
                    || Instant::now() >= until
                {
                    break;
                }
            }
        };
        let begun = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
        match flood {
            Flood::UnknownPaths => ask(&|number| format!("GET /{number} HTTP/1.1\r\nHost: x\r\n\r\n")),
            Flood::HealthChecks => ask(&|_| "GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n".to_owned()),
            Flood::NewNames => ask(&|number| request_with_new_names(connection, number)),
            Flood::PipelinedNewNames => {
                while Instant::now() < until {
                    number += 1;
                    if stream.write_all(request_with_new_names(connection, number).as_bytes()).is_err() {
                        break;
                    }
                }
            }
            Flood::EmptyLines => send_until(&mut stream, &repeated("\r\n"), until),
            Flood::Malformed => send_until(&mut stream, &repeated("GET / HTTP/1.1\r\nHost x\r\n\r\n"), until),
            Flood::OneByteChunks => {
                let _ = stream.write_all(begun.as_bytes());
                send_until(&mut stream, &repeated("1\r\nx\r\n"), until);
            }
            Flood::AfterRejection => {
                let _ = stream.write_all(b"GET / HTTP/1.1\r\n\r\n");
                send_until(&mut stream, &repeated("x"), until);
            }
            Flood::PipelinedMetrics => {
                let mut answers = stream.try_clone().expect("a second handle");
                thread::spawn(move || while answers.read(&mut [0; 65_536]).is_ok_and(|got| got > 0) {});
                send_until(&mut stream, &repeated("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n"), until);
            }
            Flood::OneByteWrites => {
                let lines =
                    "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n".to_owned() + &"X: y\r\n".repeat(40);
                for byte in lines.as_bytes() {
                    if stream.write_all(&[*byte]).is_err() {
                        break;
                    }
                }
            }
            _ => {}
        }
    }
}

fn serve_flood(flood: Flood, until: Instant) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    println!("{LISTENING}{}", listener.local_addr().expect("an address"));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || answer_with_flood(flood, stream, until));
        }
    });
    thread::sleep(until.saturating_duration_since(Instant::now()));
}

fn answer_with_flood(flood: Flood, mut stream: TcpStream, until: Instant) {
    let _ = stream.set_nodelay(true);
    let event = "data: {\"choices\":[{\"index\":0,\"text\":\"x\"}]}\n\n";
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    let stream_begins = format!("{head}{:x}\r\n{event}\r\n", event.len());
    let (mut sequence, mut request) = (1_000_000, [0; 65_536]);
    while let Ok(got) = stream.read(&mut request)
        && got > 0
    {
        match flood {
            Flood::InterimResponsesToReleases if request.starts_with(b"POST") => {
                let read = "HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\n\r\n{\"cached_tokens\":7}";
                let _ = stream.write_all(read.as_bytes());
            }
            Flood::InterimResponses | Flood::InterimResponsesToReleases => {
                send_until(&mut stream, &repeated("HTTP/1.1 103 Early Hints\r\n\r\n"), until);
            }
            Flood::EndlessChunks => {
                let _ = stream.write_all(stream_begins.as_bytes());
                let _ = stream.write_all(b"6\r\ndata: \r\n");
                send_until(&mut stream, &repeated("1\r\nx\r\n"), until);
            }
            Flood::CommentLines => {
                let _ = stream.write_all(stream_begins.as_bytes());
                send_until(&mut stream, &repeated("3\r\n:x\n\r\n"), until);
            }
            Flood::NewVersions => {
                sequence += 1;
                let is_watch = String::from_utf8_lossy(&request[..got]).contains("index=");
                let hosts =
                    if is_watch { String::new() } else { std::env::var(HOSTS_VARIABLE).unwrap_or_default() };
                let body = format!("{{\"seq\":{sequence},\"whole\":{},\"hosts\":[{hosts}]}}", !is_watch);
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                let _ = stream.write_all((head + &body).as_bytes());
            }
            Flood::ListInOneByteChunks => {
                let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                let _ = stream.write_all(head.as_bytes());
                send_until(&mut stream, &repeated("1\r\n \r\n"), until);
            }
            _ => return,
        }
    }
}
