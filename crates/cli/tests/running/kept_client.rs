//! A usual client that keeps its connection and sends one request at a time over it, as long as it can.
#![allow(dead_code)] // each test file uses a part of this module

use crate::platform::request_text;
use crate::running::answer::{self, Answer, NoAnswer};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Time for which a client waits for the rest of its answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(6);

/// One request and its end.
#[derive(Clone, Debug)]
pub struct Exchange {
    pub id: String,
    pub sent: Instant,
    pub ended: Instant,
    pub end: Result<Answer, NoAnswer>,
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
            let sent = Instant::now();
            let end = answer::read(&mut stream);
            exchanges.push(Exchange { id, sent, ended: Instant::now(), end });
            is_open = end.is_ok_and(|answer| answer.keeps_open);
            thread::sleep(pause);
        }
    }
    exchanges
}
