//! The program under the memory limit of its configuration: whatever clients make it hold, it stays below the limit, usual
//! clients are served, and bad clients get an error or a close in time.

#[path = "../../node/tests/platform/mod.rs"]
mod platform;

mod running;

use platform::*;
use running::limited::*;
use running::ms;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// An unfinished request with its length replaced by the chunked coding.
fn chunked(unfinished: &str) -> String {
    let (head, body) = unfinished.split_once("\r\n\r\n").expect("a head");
    let lines = head.split("\r\n").filter(|line| !line.starts_with("Content-Length"));
    let head = lines.collect::<Vec<_>>().join("\r\n");
    format!("{head}\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{body}", body.len() + 4)
}

/// Starts clients that send all but the last bytes of large requests and stay.
fn start_unfinished_requests(address: SocketAddr) -> Vec<JoinHandle<Duration>> {
    let unfinished = |i: usize| {
        let mut text = request_of(&format!("unfinished{i:03}"), MAX_BODY_BYTES, 5000);
        text.truncate(text.len() - 4);
        if i.is_multiple_of(2) { text } else { chunked(&text) }
    };
    (0..BAD_CLIENTS).map(|i| start_bad_client(address, unfinished(i))).collect()
}

/// Unfinished requests fill the memory. Without a budget for what is received, the process grows by a body for each of
/// them and is killed, and every usual client loses its request.
#[test]
fn unfinished_requests_stay_within_the_memory_limit() {
    for (name, memory_mb, sockets) in [("unfinished80", 80, 1024), ("unfinished48", 48, 1024)] {
        let node = LimitedNode::start(name, memory_mb, sockets);
        check(name, &node, || start_unfinished_requests(node.address));
    }
}

/// Large usual requests arrive while unfinished ones hold all the memory that large ones may have. Unless those are rejected
/// for them, they are turned away for as long as their senders stay.
#[test]
fn unfinished_requests_give_way_to_large_ones() {
    let node = LimitedNode::start("give-way", 48, 1024);
    let bad_clients = start_unfinished_requests(node.address);
    // The memory is full, and no bad client has been answered for its time yet.
    thread::sleep(ms(700));
    for i in 0..10 {
        let id = format!("large{i}");
        let answer = exchange(node.address, &last_request_of(&id, MAX_BODY_BYTES));
        assert!(is_served(&answer, &id), "{id}: {}", answer.lines().last().unwrap_or_default());
    }
    let slowest = slowest(bad_clients);
    assert!(slowest < BAD_CLIENT_LIMIT, "a bad client waited for {slowest:?}");
}

/// Starts clients that send several large requests at once, of which the first, a small one, is answered slowly.
fn start_requests_ahead(node: &LimitedNode, delay_ms: u64) -> Vec<JoinHandle<Duration>> {
    const CLIENTS: usize = BAD_CLIENTS / 2;
    node.writes.lock().expect("no panic").extend([ScriptedReply::DelayMs(delay_ms); CLIENTS]);
    let text = |i: usize| -> String {
        let first = request_of(&format!("ahead{i:03}"), 1000, 2500);
        let others = (0..3).map(|k| request_of(&format!("ahead{i:03}x{k}"), MAX_BODY_BYTES, 2500));
        first + &others.collect::<String>()
    };
    (0..CLIENTS).map(|i| start_bad_client(node.address, text(i))).collect()
}

/// Clients send several large requests at once, while the first of them is pending. Without a limit for what is read
/// ahead, each connection holds up to four bodies.
#[test]
fn requests_read_ahead_stay_within_the_memory_limit() {
    let node = LimitedNode::start("ahead", 48, 512);
    check("ahead", &node, || start_requests_ahead(&node, 300));
}

/// Large usual requests arrive while others are read ahead, which cannot be rejected as long as one before them is pending.
/// Unless what is read ahead has a limit of its own, there is no memory for the usual ones.
#[test]
fn requests_read_ahead_leave_memory_to_large_ones() {
    let node = LimitedNode::start("ahead-large", 48, 512);
    let bad_clients = start_requests_ahead(&node, 1500);
    thread::sleep(ms(400));
    for number in 0..3 {
        assert!(usual_client_is_served(node.address, number, MAX_BODY_BYTES), "large request {number}");
    }
    let slowest = slowest(bad_clients);
    assert!(slowest < BAD_CLIENT_LIMIT, "a bad client waited for {slowest:?}");
}

/// Large whole requests whose hosts answer slowly are kept to be sent again. What does not fit is turned away at once;
/// usual requests still are served.
#[test]
fn requests_kept_for_retries_stay_within_the_memory_limit() {
    let node = LimitedNode::start("kept", 48, 512);
    node.writes.lock().expect("no panic").extend([ScriptedReply::DelayMs(700); 200]);
    check("kept", &node, || {
        let text = |i: usize| request_of(&format!("kept{i:03}"), MAX_BODY_BYTES, 2500);
        (0..BAD_CLIENTS).map(|i| start_bad_client(node.address, text(i))).collect()
    });
}

/// Clients do not read their long answers. What is relayed waits in the buffers of the system, not in the process.
#[test]
fn unread_answers_stay_within_the_memory_limit() {
    let node = LimitedNode::start("unread", 48, 512);
    node.writes.lock().expect("no panic").extend([ScriptedReply::ManyEvents(3000); 150]);
    let mut silent_clients = Vec::new();
    check("unread", &node, || {
        for i in 0..150 {
            let mut stream = connect(node.address);
            let _ = stream.write_all(request_of(&format!("unread{i:03}"), 1000, 2500).as_bytes());
            silent_clients.push(stream);
        }
        // They wait for nothing.
        Vec::new()
    });
}

/// Clients name a new session and a new shared text with each request. Without a limit from the configuration, up to
/// 65,536 names of each are kept, which takes some 50 MB.
#[test]
fn names_of_sessions_stay_within_the_memory_limit() {
    const CLIENTS: usize = 8;
    const REQUESTS: usize = 7000;
    let node = LimitedNode::start("names", 32, 256);
    let (name, address) = ("n".repeat(110), node.address);
    let client = |c: usize| {
        let name = name.clone();
        thread::spawn(move || {
            let mut stream = connect(address);
            for i in 0..REQUESTS {
                let id = format!("names{c}x{i:05}");
                let labels = format!("X-Entity: {id}{name}\r\nX-Labels: prefix={id}{name},prompt_len=20");
                let text = request_text(&id, "").replacen("X-Labels: prompt_len=20", &labels, 1);
                let mut answer = Vec::new();
                let mut buffer = [0; 4096];
                let _ = stream.write_all(text.as_bytes());
                while !answer.ends_with(b"0\r\n\r\n") && !answer.starts_with(b"HTTP/1.1 503") {
                    let got = stream.read(&mut buffer).expect("an answer");
                    assert!(got > 0, "the connection was closed");
                    answer.extend_from_slice(&buffer[..got]);
                }
            }
        })
    };
    let clients: Vec<_> = (0..CLIENTS).map(client).collect();
    let mut highest = 0;
    while clients.iter().any(|client| !client.is_finished()) {
        highest = highest.max(node.memory_within_limit());
        thread::sleep(ms(5));
    }
    clients.into_iter().for_each(|client| client.join().expect("no panic"));
    eprintln!("names: highest {highest} KiB");
}
