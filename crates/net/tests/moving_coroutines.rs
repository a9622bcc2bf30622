//! Coroutines that move between workers while they wait and wake each other.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};
use tulipstall_net::channel::channel;
use tulipstall_net::{Link, configure_coroutines, spawn};

const WORKERS: usize = 4;
/// Sockets whose input is never exhausted for long, echoes, and pairs of coroutines that wake each other.
const COUNT_OF_EACH: usize = 16;
/// Pause of the peers of busy sockets between their writes, so that their coroutines also wait.
const PEER_PAUSE: Duration = Duration::from_micros(300);
const CHECKS: usize = 8;
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Ends no wait while the test runs.
const LONG: Duration = Duration::from_secs(600);

/// Counts the steps of one coroutine.
#[derive(Clone)]
struct Progress {
    name: String,
    steps: Arc<AtomicUsize>,
}

impl Progress {
    fn new(name: String) -> Self {
        Progress { name, steps: Arc::default() }
    }

    fn count(&self) {
        self.steps.fetch_add(1, Ordering::Relaxed);
    }
}

fn pair() -> (Link, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let peer = TcpStream::connect(listener.local_addr().expect("an address")).expect("a connection");
    (Link::new(listener.accept().expect("a connection").0).expect("a link"), peer)
}

fn start_busy_reader(progress: Progress) {
    let (link, mut peer) = pair();
    thread::spawn(move || {
        while peer.write_all(&[b'x'; 4096]).is_ok() {
            thread::sleep(PEER_PAUSE);
        }
    });
    spawn(move || {
        while link.read(&mut [0; 512], Instant::now() + LONG).is_ok_and(|got| got > 0) {
            progress.count();
        }
    });
}

fn start_echo(progress: Progress) {
    let (link, mut peer) = pair();
    spawn(move || {
        let mut byte = [0; 1];
        while link.read(&mut byte, Instant::now() + LONG) == Ok(1) {
            let _ = link.write(&byte, Instant::now() + LONG);
        }
    });
    thread::spawn(move || {
        while peer.write_all(b"?").is_ok() && peer.read_exact(&mut [0; 1]).is_ok() {
            progress.count();
        }
    });
}

/// Two coroutines that pass a message to and fro.
fn start_message_pair(progress: Progress) {
    let (request, requests) = channel();
    let (answer, answers) = channel();
    spawn(move || {
        loop {
            requests.recv();
            let _ = answer.send(());
        }
    });
    spawn(move || {
        loop {
            let _ = request.send(());
            answers.recv();
            tulipstall_net::sleep(PEER_PAUSE);
            progress.count();
        }
    });
}

#[test]
fn no_coroutine_stands_still_while_others_move_between_workers() {
    configure_coroutines(WORKERS, 128 << 10);
    type Start = fn(Progress);
    let kinds: [(&str, Start); 3] =
        [("reader", start_busy_reader), ("echo", start_echo), ("message pair", start_message_pair)];
    let mut all = Vec::new();
    for (kind, start) in kinds {
        for number in 0..COUNT_OF_EACH {
            let progress = Progress::new(format!("{kind} {number}"));
            start(progress.clone());
            all.push(progress);
        }
    }
    for check in 0..CHECKS {
        thread::sleep(CHECK_INTERVAL);
        let stands_still = |progress: &&Progress| progress.steps.swap(0, Ordering::Relaxed) == 0;
        let standing: Vec<&str> =
            all.iter().filter(stands_still).map(|progress| progress.name.as_str()).collect();
        assert!(standing.is_empty(), "no step in second {check}: {standing:?}");
    }
}
