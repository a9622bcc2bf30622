//! A usual client that keeps its connection and sends one request at a time over it, as long as it can.
#![allow(dead_code)] // each test file uses a part of this module

use crate::platform::request_text;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Time for which a client waits for the rest of its answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(6);

/// What became of a request that was written whole.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum End {
    /// A whole answer with this status.
    Answered(u16),
    /// The connection ended within the answer.
    Cut,
    /// The connection ended without an answer.
    Closed,
    /// Nothing came for [`ANSWER_TIMEOUT`].
    Silent,
}

/// One request and its end.
#[derive(Clone, Debug)]
pub struct Exchange {
    pub id: String,
    pub sent: Instant,
    pub ended: Instant,
    pub end: End,
}

/// The status of an answer once it is whole.
fn whole_status(answer: &[u8]) -> Option<u16> {
    let text = String::from_utf8_lossy(answer);
    let (head, body) = text.split_once("\r\n\r\n")?;
    let length = head.split("Content-Length: ").nth(1).and_then(|rest| rest.lines().next());
    let is_whole = match length.and_then(|length| length.trim().parse::<usize>().ok()) {
        Some(length) => body.len() >= length,
        None => body.ends_with("0\r\n\r\n"),
    };
    is_whole.then(|| head.get(9..12)?.parse().ok()).flatten()
}

fn read_end(stream: &mut TcpStream, answer: &mut Vec<u8>) -> End {
    let mut buffer = [0; 4096];
    loop {
        match stream.read(&mut buffer) {
            Ok(got) if got > 0 => answer.extend_from_slice(&buffer[..got]),
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                return End::Silent;
            }
            _ => return if answer.is_empty() { End::Closed } else { End::Cut },
        }
        if let Some(status) = whole_status(answer) {
            return End::Answered(status);
        }
    }
}

/// Sends requests of a class until `ended`, with `pause` between an answer and the next request.
pub fn run(
    address: SocketAddr,
    name: &str,
    class: &str,
    pause: Duration,
    ended: &AtomicBool,
) -> Vec<Exchange> {
    let mut exchanges = Vec::new();
    while !ended.load(Ordering::Relaxed) {
        thread::sleep(pause);
        let Ok(mut stream) = TcpStream::connect(address) else { continue };
        let _ = stream.set_read_timeout(Some(ANSWER_TIMEOUT));
        let mut is_open = true;
        while is_open && !ended.load(Ordering::Relaxed) {
            let id = format!("{name}x{}", exchanges.len());
            let text = request_text(&id, "").replace("X-Lane: chat", &format!("X-Lane: {class}"));
            if stream.write_all(text.as_bytes()).is_err() {
                break;
            }
            let (sent, mut answer) = (Instant::now(), Vec::new());
            let end = read_end(&mut stream, &mut answer);
            exchanges.push(Exchange { id, sent, ended: Instant::now(), end });
            is_open = matches!(end, End::Answered(_))
                && !String::from_utf8_lossy(&answer).contains("Connection: close");
            thread::sleep(pause);
        }
    }
    exchanges
}
