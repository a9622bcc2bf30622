//! Seeded runs of the program beside floods, crowds and signals, to the kill that the platform may send at the earliest.
//!
//! Runs a few seeds; `TULIPSTALL_SOAK=<first seed>,<number of seeds>` runs others.

#[path = "../../node/tests/platform/mod.rs"]
mod platform;

mod running;

use platform::*;
use running::answer::NoAnswer;
use running::flood::{Flood, FloodProcess, run_if_flooding_peer};
use running::kept_client::{self, Exchange};
use running::late::{Lateness, latest, start_timed_streams};
use running::limited::LimitedNode;
use running::ms;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// The process of a flooding peer.
#[test]
fn flooding_peer() {
    run_if_flooding_peer();
}

/// Seeds of a run without others named.
const FIRST_SEED: u64 = 1;
const SEEDS: u64 = 6;
const MEMORY_MB: u64 = 80;
/// When SIGTERM is sent.
const STOP_AT: Duration = ms(3000);
/// From SIGTERM to SIGKILL at the earliest: the longest deadline and 0.7 s.
const KILL_AFTER: Duration = ms(3700);
const FLOOD_SECONDS: u64 = 7;
const USUAL_CLIENTS: u64 = 8;
/// The time that usual clients grant, and what an answer may be late without being lost.
const TIME_LEFT: Duration = ms(2500);
const LATE: Duration = ms(500);
const STREAMS: usize = 4;
const EVENTS: usize = 60;
/// Idle and slow connections of a crowd.
const CROWD: usize = 500;
const CLIENT_FLOODS: usize = 10;

/// A small generator of random numbers (xorshift64*).
struct Random(u64);

impl Random {
    fn new(seed: u64) -> Random {
        Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    /// A number below `limit`.
    fn below(&mut self, limit: u64) -> u64 {
        self.0 ^= self.0 >> 12;
        self.0 ^= self.0 << 25;
        self.0 ^= self.0 >> 27;
        (self.0.wrapping_mul(0x2545_f491_4f6c_dd1d) >> 33) % limit
    }
}

/// What happens in the run of a seed.
#[derive(Debug)]
struct Plan {
    sockets: usize,
    floods: Vec<(Flood, usize)>,
    has_flooding_host: bool,
    has_crowd: bool,
    reloads: u64,
    /// Milliseconds between the signals to stop, of which there may be several.
    stop_signals: Vec<u64>,
}

impl Plan {
    fn new(random: &mut Random) -> Plan {
        let client_floods: Vec<Flood> =
            Flood::ALL.into_iter().filter(|flood| !flood.is_server()).take(CLIENT_FLOODS).collect();
        let mut flood = || {
            let flood = client_floods[random.below(client_floods.len() as u64) as usize];
            (flood, [1, 1, 5, 30][random.below(4) as usize])
        };
        let floods = vec![flood(), flood()];
        Plan {
            sockets: if random.below(3) == 0 { 256 } else { 768 },
            floods,
            has_flooding_host: random.below(3) == 0,
            has_crowd: random.below(3) == 0,
            reloads: random.below(4),
            stop_signals: (0..=random.below(3)).map(|_| 1 + random.below(300)).collect(),
        }
    }
}

/// Connections of which half say nothing and half stop within a request.
fn start_crowd(node: &LimitedNode) -> Vec<TcpStream> {
    let connect = |number: usize| {
        let mut stream = TcpStream::connect(node.address).ok()?;
        if number.is_multiple_of(2) {
            let _ = stream.write_all(b"POST /v1/chat/completions HTTP/1.1\r\nHost");
        }
        Some(stream)
    };
    (0..CROWD).filter_map(connect).collect()
}

fn start_usual_clients(
    node: &LimitedNode,
    random: &mut Random,
    ended: &Arc<AtomicBool>,
) -> Vec<JoinHandle<Vec<Exchange>>> {
    let mut start = |number| {
        let (address, pause, ended) = (node.address, ms(5 + random.below(60)), ended.clone());
        let class = if number % 2 == 0 { "chat" } else { "once" };
        thread::spawn(move || kept_client::run(address, &format!("{class}{number}"), class, pause, &ended))
    };
    (0..USUAL_CLIENTS).map(&mut start).collect()
}

/// Replies of the writers beside the streams: some take their time.
fn script_delays(node: &LimitedNode, random: &mut Random) {
    let replies = (0..4000).map(|_| match random.below(4) {
        0 => ScriptedReply::DelayMs(random.below(400)),
        1 => ScriptedReply::PauseMs(random.below(800)),
        _ => ScriptedReply::DelayMs(0),
    });
    node.writes.lock().expect("no panic").extend(replies.collect::<Vec<_>>());
}

/// How often each request was sent to a writer.
fn runs_by_id(node: &LimitedNode) -> BTreeMap<String, usize> {
    let mut runs = BTreeMap::new();
    for host in &node.hosts[1..] {
        for (call, id, _) in host.calls() {
            *runs.entry(id).or_default() += usize::from(call.starts_with("POST"));
        }
    }
    runs
}

/// What is wrong with an exchange, if anything.
fn fault(exchange: &Exchange, runs: &BTreeMap<String, usize>, killed: Instant) -> Option<&'static str> {
    let took = exchange.ended - exchange.sent;
    match exchange.end {
        // The time to the end of a stream includes the pauses of its host.
        Ok(_) if took > TIME_LEFT + LATE + ms(800) => Some("answered late"),
        Ok(_) => None,
        Err(NoAnswer::Cut) => Some("cut off"),
        Err(NoAnswer::Silent) => Some("not answered"),
        Err(NoAnswer::Closed) if exchange.ended >= killed => Some("unanswered at the kill"),
        Err(NoAnswer::Closed) if runs.contains_key(&exchange.id) => Some("taken and closed unanswered"),
        // Closed between requests: its client sends the request once more.
        Err(NoAnswer::Closed) => None,
    }
}

/// Runs one seed; returns what went wrong.
fn run(seed: u64) -> Vec<String> {
    let mut random = Random::new(seed);
    let plan = Plan::new(&mut random);
    let once = r#"{"Name":"once","TargetUs":1500000,"HardLimitUs":3000000,"Idempotency":"side_effect","Group":"all"}"#;
    let with_class = |config: &str| config.replace("\"Profiles\":[", &format!("\"Profiles\":[{once},"));
    let mut node = LimitedNode::start_with(&format!("soak{seed}"), MEMORY_MB, plan.sockets, with_class);
    let streams = start_timed_streams(node.address, &node.writes, STREAMS, EVENTS);
    script_delays(&node, &mut random);
    let ended = Arc::new(AtomicBool::new(false));
    let clients = start_usual_clients(&node, &mut random, &ended);
    let started = Instant::now();
    let mut peers: Vec<FloodProcess> = plan
        .floods
        .iter()
        .map(|(flood, connections)| FloodProcess::client(*flood, FLOOD_SECONDS, node.address, *connections))
        .collect();
    if plan.has_flooding_host {
        let peer = FloodProcess::server(Flood::InterimResponses, FLOOD_SECONDS);
        node.registry.publish(line_in_cell("r9", peer.server_address(), ("a", 0), "reads", "active"));
        peers.push(peer);
    }
    let crowd = if plan.has_crowd { start_crowd(&node) } else { Vec::new() };
    let mut highest_kib = 0;
    let mut watch_until = |node: &LimitedNode, until: Instant| {
        while Instant::now() < until {
            highest_kib = highest_kib.max(node.process.anonymous_memory_kib());
            thread::sleep(ms(5));
        }
    };
    for _ in 0..plan.reloads {
        watch_until(&node, Instant::now() + ms(1 + random.below(500)));
        node.process.signal("-HUP");
    }
    watch_until(&node, started + STOP_AT);
    let stopped = Instant::now();
    for pause in &plan.stop_signals {
        if !node.process.has_exited() {
            node.process.signal("-TERM");
        }
        watch_until(&node, Instant::now() + ms(*pause));
    }
    while stopped.elapsed() < KILL_AFTER && !node.process.has_exited() {
        thread::sleep(ms(5));
    }
    let took = stopped.elapsed();
    let exited = node.process.has_exited();
    let killed = Instant::now();
    node.process.kill();
    ended.store(true, Ordering::Relaxed);
    drop((peers, crowd));
    let streams: Vec<Lateness> = streams.into_iter().map(|stream| stream.join().expect("no panic")).collect();
    let exchanges: Vec<Exchange> =
        clients.into_iter().flat_map(|client| client.join().expect("no panic")).collect();
    let runs = runs_by_id(&node);
    // An exit of its own ends all connections as well; what it leaves unanswered was taken or is asked again.
    let kill_counts_from = if exited { killed + Duration::from_secs(60) } else { killed };
    let mut faults: Vec<String> = exchanges
        .iter()
        .filter_map(|exchange| {
            let what = fault(exchange, &runs, kill_counts_from)?;
            let since_stop = exchange.sent.saturating_duration_since(stopped);
            Some(format!("{what}: {exchange:?}, sent {since_stop:?} after the stop"))
        })
        .collect();
    let repeated = runs.iter().filter(|(id, count)| id.starts_with("once") && **count > 1);
    faults.extend(repeated.map(|(id, count)| format!("{id} ran {count} times")));
    if !exited {
        faults.push("the stop did not end before the kill".to_owned());
    }
    let streams = latest(&streams);
    if !streams.is_in_time() {
        faults.push(format!("streams: {streams}"));
    }
    if !(1..=MEMORY_MB * 1024).contains(&highest_kib) {
        faults.push(format!("memory: {highest_kib} KiB"));
    }
    let answered = exchanges.iter().filter(|exchange| exchange.end.is_ok()).count();
    let served =
        exchanges.iter().filter(|exchange| exchange.end.is_ok_and(|answer| answer.status == 200)).count();
    let closed = |exchange: &&Exchange| exchange.end == Err(NoAnswer::Closed) && exchange.ended < stopped;
    let closed = exchanges.iter().filter(closed).count();
    eprintln!(
        "seed {seed}: {plan:?}: {} sent, {answered} answered, {served} served, {closed} closed unread before the stop, {streams}, highest {highest_kib} KiB, \
         ended {took:?} after the stop by itself: {exited}, {} faults",
        exchanges.len(),
        faults.len()
    );
    faults
}

/// The first seed and the number of seeds.
fn seeds() -> (u64, u64) {
    let named = std::env::var("TULIPSTALL_SOAK").ok();
    let parse = |text: String| {
        let (first, count) = text.split_once(',')?;
        Some((first.parse().ok()?, count.parse().ok()?))
    };
    named.and_then(parse).unwrap_or((FIRST_SEED, SEEDS))
}

#[test]
fn floods_crowds_and_signals_break_no_rule() {
    let _exclusive = EXCLUSIVE.lock().unwrap_or_else(PoisonError::into_inner);
    if std::env::var("TULIPSTALL_TEST_FLOOD").is_ok() {
        return;
    }
    let (first, count) = seeds();
    let mut failed = Vec::new();
    for seed in first..first + count {
        let faults = run(seed);
        if !faults.is_empty() {
            eprintln!("seed {seed}: {faults:#?}");
            failed.push((seed, faults));
        }
    }
    assert!(failed.is_empty(), "{} of {count} seeds failed: {failed:#?}", failed.len());
}
