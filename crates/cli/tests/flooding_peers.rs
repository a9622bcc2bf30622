//! Peers that send at full speed must not take the worker's time from others: events and ends of streams are forwarded in
//! time, other clients are answered in time, and no limit is exceeded.

#[path = "../../node/tests/platform/mod.rs"]
mod platform;

mod running;

use platform::*;
use running::flood::{Flood, FloodProcess, run_if_flooding_peer};
use running::late::{Lateness, latest, start_timed_streams};
use running::limited::{LimitedNode, TIME_LEFT_MS, is_served, last_request_of};
use running::ms;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::PoisonError;
use std::thread;
use std::time::{Duration, Instant};

/// The process of a flooding peer.
#[test]
fn flooding_peer() {
    run_if_flooding_peer();
}

/// Flooding peers at once.
const PEERS: usize = 3;
/// For how long they flood: past the ends of the streams.
const FLOOD_SECONDS: u64 = 6;
const MEMORY_MB: u64 = 80;
const SOCKETS: usize = 768;
/// Streams that are watched, and their events.
const STREAMS: usize = 4;
const EVENTS: usize = 90;
/// By how much the platform's protocol extends each time limit on sockets.
const SOCKET_TOLERANCE_MS: u64 = 50;
/// Within which a usual client has its answer.
const USUAL_LIMIT: Duration = ms(TIME_LEFT_MS + SOCKET_TOLERANCE_MS);
/// For how long usual clients ask.
const USUAL_SECONDS: u64 = 4;
const USUAL_INTERVAL: Duration = ms(100);
const USUAL_BODY_BYTES: usize = 4000;
/// Clients that leave, and the delay of writers beside them.
const LEAVING_CLIENTS: usize = 2000;
const WRITER_DELAY_MS: u64 = 100;

/// What usual clients need beside a flood.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Need {
    /// The answer of a host.
    Served,
    /// A final answer: some hosts flood and serve nobody.
    Answered,
}

/// Whether a usual request got what it needs, and how long it took.
fn ask(address: SocketAddr, number: usize, need: Need) -> (bool, Duration) {
    let (id, started) = (format!("usual{number:05}"), Instant::now());
    let answer = exchange(address, &last_request_of(&id, USUAL_BODY_BYTES));
    let is_good = match need {
        Need::Served => is_served(&answer, &id),
        Need::Answered => !answer.is_empty(),
    };
    if !is_good {
        eprintln!("{id}: {}", answer.lines().last().unwrap_or("no answer"));
    }
    (is_good, started.elapsed())
}

/// The longest wait of socket events that the node's log tells, in milliseconds.
fn longest_poll_lag_ms(node: &LimitedNode) -> u64 {
    let log = node.process.log();
    let waits = log.lines().filter_map(|line| line.split_once("longest_ms=")?.1.trim().parse().ok());
    waits.max().unwrap_or_default()
}

/// Checks the streams and usual clients beside peers that flood.
fn check_beside(name: &str, node: &LimitedNode, need: Need, start_flood: impl FnOnce() -> Vec<FloodProcess>) {
    let streams = start_timed_streams(node.address, &node.writes, STREAMS, EVENTS);
    let peers = start_flood();
    let (started, mut usual, mut highest_kib) = (Instant::now(), Vec::new(), 0);
    while started.elapsed() < Duration::from_secs(USUAL_SECONDS) {
        let (address, number) = (node.address, usual.len());
        usual.push(thread::spawn(move || ask(address, number, need)));
        highest_kib = highest_kib.max(node.process.anonymous_memory_kib());
        thread::sleep(USUAL_INTERVAL);
    }
    let streams: Vec<Lateness> = streams.into_iter().map(|stream| stream.join().expect("no panic")).collect();
    let usual: Vec<_> = usual.into_iter().map(|client| client.join().expect("no panic")).collect();
    drop(peers);
    let streams = latest(&streams);
    let good = usual.iter().filter(|(is_good, _)| *is_good).count();
    let slowest = usual.iter().map(|(_, took)| *took).max().unwrap_or_default();
    let figures = format!(
        "{name}: {streams}, usual {good} of {}, slowest {slowest:?}, \
         highest {highest_kib} KiB, longest wait of socket events {} ms",
        usual.len(),
        longest_poll_lag_ms(node)
    );
    eprintln!("{figures}");
    assert!(streams.is_in_time(), "streams were late: {figures}");
    assert!(good == usual.len() && slowest < USUAL_LIMIT, "usual clients were not {need:?}: {figures}");
    assert!((1..=MEMORY_MB * 1024).contains(&highest_kib), "over the memory limit: {figures}");
}

/// Checks the node beside clients that flood over a connection each.
fn check_clients(flood: Flood) {
    check_clients_with(flood, 1);
}

/// Checks the node beside clients that flood over this many connections each.
fn check_clients_with(flood: Flood, connections: usize) {
    let _exclusive = EXCLUSIVE.lock().unwrap_or_else(PoisonError::into_inner);
    let node = LimitedNode::start(&format!("flood-{flood:?}"), MEMORY_MB, SOCKETS);
    check_beside(&format!("{flood:?} {connections}"), &node, Need::Served, || {
        (0..PEERS).map(|_| FloodProcess::client(flood, FLOOD_SECONDS, node.address, connections)).collect()
    });
}

/// Checks the node beside hosts of this class that flood whoever sends them a request.
fn check_hosts(flood: Flood, class: &str, start_others: impl FnOnce(&LimitedNode)) {
    let _exclusive = EXCLUSIVE.lock().unwrap_or_else(PoisonError::into_inner);
    let name = format!("flood-{flood:?}-{class}");
    let node = LimitedNode::start(&name, MEMORY_MB, SOCKETS);
    check_beside(&name, &node, Need::Answered, || {
        let start = |number| {
            let peer = FloodProcess::server(flood, FLOOD_SECONDS);
            let name = format!("{}-flooding{number}", &class[..1]);
            node.registry.publish(line_in_cell(&name, peer.server_address(), ("a", 0), class, "active"));
            peer
        };
        let peers = (0..PEERS).map(start).collect();
        start_others(&node);
        peers
    });
}

/// Starts clients that leave while their writer is silent, so that their states have to be released.
fn start_leaving_clients(node: &LimitedNode) {
    node.writes.lock().expect("no panic").extend([ScriptedReply::DelayMs(WRITER_DELAY_MS); LEAVING_CLIENTS]);
    let address = node.address;
    thread::spawn(move || {
        for number in 0..LEAVING_CLIENTS {
            let Ok(mut stream) = TcpStream::connect(address) else { return };
            let _ = stream.write_all(request_text(&format!("leaving{number}"), "").as_bytes());
            thread::sleep(ms(2));
        }
    });
}

/// Checks the node beside a registry that floods.
fn check_registry(flood: Flood) {
    let _exclusive = EXCLUSIVE.lock().unwrap_or_else(PoisonError::into_inner);
    let node = LimitedNode::start(&format!("flood-{flood:?}"), MEMORY_MB, SOCKETS);
    check_beside(&format!("{flood:?}"), &node, Need::Served, || {
        let hosts = node.registry.state.0.lock().expect("no panic").join(",");
        let peer = FloodProcess::registry(flood, FLOOD_SECONDS, &hosts);
        let old = node.registry.address.to_string();
        node.process.write(&node.process.config_text.replace(&old, &peer.server_address().to_string()));
        node.process.signal("-HUP");
        vec![peer]
    });
}

#[test]
fn empty_lines_at_full_speed_delay_nobody() {
    check_clients(Flood::EmptyLines);
}

#[test]
fn small_requests_at_full_speed_delay_nobody() {
    check_clients(Flood::HealthChecks);
    check_clients(Flood::UnknownPaths);
}

#[test]
fn malformed_requests_at_full_speed_delay_nobody() {
    check_clients(Flood::Malformed);
}

#[test]
fn requests_under_new_names_at_full_speed_delay_nobody() {
    check_clients(Flood::NewNames);
    check_clients(Flood::PipelinedNewNames);
}

#[test]
fn chunks_of_one_byte_at_full_speed_delay_nobody() {
    check_clients(Flood::OneByteChunks);
    check_clients(Flood::OneByteWrites);
}

#[test]
fn bytes_behind_a_rejected_request_delay_nobody() {
    check_clients(Flood::AfterRejection);
}

#[test]
fn new_connections_at_full_speed_delay_nobody() {
    check_clients(Flood::Connections);
}

#[test]
fn interim_responses_without_end_delay_nobody() {
    check_hosts(Flood::InterimResponses, "reads", |_| {});
    check_hosts(Flood::InterimResponses, "writes", |_| {});
}

#[test]
fn interim_responses_to_releases_delay_nobody() {
    check_hosts(Flood::InterimResponsesToReleases, "reads", start_leaving_clients);
}

#[test]
fn events_without_end_in_chunks_of_one_byte_delay_nobody() {
    check_hosts(Flood::EndlessChunks, "writes", |_| {});
}

#[test]
fn comment_lines_without_end_delay_nobody() {
    check_hosts(Flood::CommentLines, "writes", |_| {});
}

#[test]
fn a_registry_that_answers_at_full_speed_delays_nobody() {
    check_registry(Flood::NewVersions);
    check_registry(Flood::ListInOneByteChunks);
    check_registry(Flood::InterimResponses);
}

/// Connections of a peer in a crowd.
const CROWD_CONNECTIONS: usize = 60;

#[test]
fn crowds_at_full_speed_delay_nobody() {
    for flood in [
        Flood::EmptyLines,
        Flood::HealthChecks,
        Flood::Malformed,
        Flood::NewNames,
        Flood::OneByteChunks,
        Flood::AfterRejection,
        Flood::OneByteWrites,
        Flood::Connections,
    ] {
        check_clients_with(flood, CROWD_CONNECTIONS);
    }
}
