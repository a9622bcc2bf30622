//! The program under its memory limit beside hundreds of clients that write or read slowly, or stop half way.

#[path = "../../node/tests/platform/mod.rs"]
mod platform;

mod running;

use platform::*;
use running::limited::{LimitedNode, MAX_BODY_BYTES, is_served, last_request_of, request_of};
use running::ms;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Memory limits of the configurations under test.
const MEMORY_LIMITS_MB: [u64; 2] = [32, 80];
const SOCKETS: usize = 1024;
/// Slow clients at once.
const CLIENTS: usize = 400;
/// For how long each configuration is watched.
const WATCHED: Duration = Duration::from_secs(6);
/// Events of a long answer, which take most of the platform's limit for a body.
const LONG_ANSWER_EVENTS: usize = 3000;
const USUAL_INTERVAL: Duration = ms(100);
const USUAL_BODY_BYTES: usize = 4000;
/// Time for which a usual client waits for its answer, with slack.
const USUAL_LIMIT: Duration = ms(3000);

#[derive(Clone, Copy, Debug, PartialEq)]
enum Behaviour {
    /// Sends a large request in small pieces.
    WritesSlowly,
    /// Sends half of a large request and stays.
    StopsHalfWay,
    /// Sends a head of as many short fields as are read, and half of a large body.
    ManyFields,
    /// Reads a long answer in small pieces.
    ReadsSlowly,
}

use Behaviour::*;

/// Adds short fields to a request, up to the limit of header lines.
fn with_many_fields(text: &str) -> String {
    let fields: String = (0..40).map(|number| format!("{number}:\r\n")).collect();
    text.replacen("X-Lane", &format!("{fields}X-Lane"), 1)
}

fn behave(behaviour: Behaviour, stream: &mut TcpStream, id: &str, ended: &AtomicBool) -> std::io::Result<()> {
    let is_ended = || ended.load(Ordering::Relaxed);
    match behaviour {
        WritesSlowly => {
            for piece in request_of(id, MAX_BODY_BYTES, 6000).as_bytes().chunks(2048) {
                stream.write_all(piece)?;
                thread::sleep(ms(12));
                if is_ended() {
                    break;
                }
            }
        }
        StopsHalfWay | ManyFields => {
            let text = request_of(id, MAX_BODY_BYTES, 6000);
            let text = if behaviour == ManyFields { with_many_fields(&text) } else { text };
            stream.write_all(&text.as_bytes()[..text.len() / 2])?;
        }
        ReadsSlowly => stream.write_all(request_of(id, 1000, 6000).as_bytes())?,
    }
    let (piece, pause) = if behaviour == ReadsSlowly { (1024, ms(20)) } else { (4096, ms(0)) };
    let mut buffer = vec![0; piece];
    while !is_ended() && stream.read(&mut buffer)? > 0 {
        thread::sleep(pause);
    }
    Ok(())
}

fn start_slow_clients(
    address: SocketAddr,
    behaviours: &[Behaviour],
    ended: &Arc<AtomicBool>,
) -> Vec<JoinHandle<()>> {
    let start = |client: usize| {
        let (ended, behaviour) = (ended.clone(), behaviours[client % behaviours.len()]);
        let run = move || {
            for number in 0.. {
                if ended.load(Ordering::Relaxed) {
                    return;
                }
                let Ok(mut stream) = TcpStream::connect(address) else { continue };
                let _ = stream.set_read_timeout(Some(ms(500)));
                let _ = behave(behaviour, &mut stream, &format!("slow{client:03}x{number:04}"), &ended);
                thread::sleep(ms(50));
            }
        };
        thread::Builder::new().stack_size(128 << 10).spawn(run).expect("a thread")
    };
    (0..CLIENTS).map(start).collect()
}

/// Whether a usual client gets a final answer in time, and whether it is that of a host.
fn ask(address: SocketAddr, number: usize) -> (bool, bool) {
    let (id, started) = (format!("usual{number:05}"), Instant::now());
    let answer = exchange(address, &last_request_of(&id, USUAL_BODY_BYTES));
    let is_answered = !answer.is_empty() && started.elapsed() < USUAL_LIMIT;
    let is_served = is_served(&answer, &id);
    if !is_served {
        eprintln!("{id}: {:?} {}", started.elapsed(), answer.lines().last().unwrap_or("no answer"));
    }
    (is_answered, is_served)
}

fn check(name: &str, behaviours: &[Behaviour]) {
    let _exclusive = EXCLUSIVE.lock().unwrap_or_else(PoisonError::into_inner);
    for memory_mb in MEMORY_LIMITS_MB {
        let node = LimitedNode::start(&format!("slow-{name}-{memory_mb}"), memory_mb, SOCKETS);
        let reads_slowly = behaviours.contains(&ReadsSlowly);
        let answers = if reads_slowly { CLIENTS * 4 } else { 0 };
        node.writes
            .lock()
            .expect("no panic")
            .extend(std::iter::repeat_n(ScriptedReply::ManyEvents(LONG_ANSWER_EVENTS), answers));
        let ended = Arc::new(AtomicBool::new(false));
        let clients = start_slow_clients(node.address, behaviours, &ended);
        let (started, mut usual, mut highest_kib) = (Instant::now(), Vec::new(), 0);
        let mut next_usual = started;
        while started.elapsed() < WATCHED {
            highest_kib = highest_kib.max(node.process.anonymous_memory_kib());
            if Instant::now() >= next_usual {
                next_usual += USUAL_INTERVAL;
                let (address, number) = (node.address, usual.len());
                usual.push(thread::spawn(move || ask(address, number)));
            }
            thread::sleep(ms(2));
        }
        let usual: Vec<_> = usual.into_iter().map(|client| client.join().expect("no panic")).collect();
        ended.store(true, Ordering::Relaxed);
        clients.into_iter().for_each(|client| client.join().expect("no panic"));
        let answered = usual.iter().filter(|(is_answered, _)| *is_answered).count();
        let served = usual.iter().filter(|(_, is_served)| *is_served).count();
        let figures = format!(
            "{name}, {memory_mb} MB: highest {highest_kib} KiB, usual {served} served, {answered} answered of {}",
            usual.len()
        );
        eprintln!("{figures}");
        assert!((1..=memory_mb * 1024).contains(&highest_kib), "over the memory limit: {figures}");
        assert_eq!(answered, usual.len(), "{figures}");
    }
}

#[test]
fn clients_that_write_slowly_stay_within_the_memory_limit() {
    check("write", &[WritesSlowly]);
}

#[test]
fn clients_that_stop_half_way_stay_within_the_memory_limit() {
    check("stop", &[StopsHalfWay]);
}

#[test]
fn heads_of_many_short_fields_stay_within_the_memory_limit() {
    check("fields", &[ManyFields]);
}

#[test]
fn clients_that_read_slowly_stay_within_the_memory_limit() {
    check("read", &[ReadsSlowly]);
}

#[test]
fn slow_clients_of_all_kinds_stay_within_the_memory_limit() {
    check("all", &[WritesSlowly, StopsHalfWay, ManyFields, ReadsSlowly]);
}
