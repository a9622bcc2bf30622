//! The dispatcher in a large fleet, most of which is replaced at once while the registry reports each change as it comes.

mod platform;

use platform::*;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

/// The most hosts that a dispatcher is told of.
const HOSTS: usize = 3200;
/// Six in ten of them are replaced, which takes this long; the others and the successors serve throughout.
const REPLACED: usize = HOSTS * 6 / 10;
const REPLACED_WITHIN: Duration = Duration::from_secs(7);
/// From the first line of a host's drain to the start of its successor, and to its own end.
const SUCCESSOR_AFTER: Duration = Duration::from_millis(500);
const DRAIN: Duration = Duration::from_millis(3000);
/// Interval between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
/// The time that a client leaves for the start of its answer, and what is allowed beyond it.
const TIME_LEFT: Duration = Duration::from_millis(2500);
const SLACK: Duration = Duration::from_millis(550);

/// The registry's line of a host. All readers have the address of one server, and so have all writers.
fn line(name: &str, number: usize, addresses: [SocketAddr; 2], health: &str) -> String {
    let (class, address) = [("reads", addresses[0]), ("writes", addresses[1])][number % 2];
    line_in_cell(&format!("{name}{number}"), address, ("a", number / 10), class, health)
}

/// The changes of the replacement in their order, with their times.
fn replacement(addresses: [SocketAddr; 2]) -> Vec<(Duration, String)> {
    let mut changes = Vec::new();
    for number in 0..REPLACED {
        let at = REPLACED_WITHIN * number as u32 / REPLACED as u32;
        changes.push((at, line("old", number, addresses, "leaving")));
        changes.push((at + SUCCESSOR_AFTER, line("new", number, addresses, "active")));
        changes.push((at + DRAIN, line("old", number, addresses, "left")));
    }
    changes.sort_by_key(|(at, _)| *at);
    changes
}

/// Time from the last byte of a request to the first of its answer, and whether it is served.
fn request(address: SocketAddr, id: &str) -> (Duration, bool) {
    let mut stream = connect(address);
    let _ = stream.write_all(request_text(id, "Connection: close\r\n").as_bytes());
    let (written, mut start) = (Instant::now(), [0; 12]);
    let is_served = stream.read_exact(&mut start).is_ok() && start == *b"HTTP/1.1 200";
    (written.elapsed(), is_served)
}

/// Requests that arrive while a large fleet is replaced are answered in time. Without this, requests, outcomes and timers
/// wait for seconds in the queue behind thousands of lists, each of which costs work for all hosts.
#[test]
fn requests_do_not_wait_behind_lists() {
    let (reads, writes) = (Script::default(), Script::default());
    let (reader, writer) = (Host::start("r1", &reads), Host::start("w1", &writes));
    let addresses = [reader.address, writer.address];
    let registry = Registry::start(&[]);
    let all: Vec<String> = (0..HOSTS).map(|number| line("old", number, addresses, "active")).collect();
    registry.state.0.lock().expect("no panic")[0] = all.join(",");
    let node = start_fleet_node(&registry, 512, 600);
    let address = node.address();
    let (started, changes) = (Instant::now(), replacement(addresses));
    let last_change = changes.last().expect("changes").0;
    let publisher = thread::spawn(move || {
        for (at, line) in changes {
            thread::sleep(at.saturating_sub(started.elapsed()));
            registry.publish(line);
        }
    });
    let mut clients = Vec::new();
    while started.elapsed() < last_change + Duration::from_secs(2) {
        let id = format!("fleet{:04}", clients.len());
        clients.push(thread::spawn(move || request(address, &id)));
        thread::sleep(REQUEST_INTERVAL);
    }
    publisher.join().expect("no panic");
    let answers: Vec<(Duration, bool)> =
        clients.into_iter().map(|client| client.join().expect("no panic")).collect();
    let slowest = answers.iter().map(|(took, _)| *took).max().unwrap_or_default();
    let served = answers.iter().filter(|(_, is_served)| *is_served).count();
    eprintln!("{served} of {} served, slowest answer after {slowest:?}", answers.len());
    assert!(slowest < TIME_LEFT + SLACK, "an answer began after {slowest:?}");
    assert!(served * 10 >= answers.len() * 9, "only {served} of {} requests were served", answers.len());
}
