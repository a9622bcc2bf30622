//! Sockets that never make their coroutine wait, and an echo beside them.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};
use tulipstall_net::{Link, Listener, configure_coroutines, spawn};

/// Busy sockets at once, more than workers.
const BUSY_SOCKETS: usize = 4;
/// For how long an echo beside them is measured.
const MEASURED: Duration = Duration::from_secs(2);
/// The time within which an event has to be forwarded.
const ECHO_LIMIT: Duration = Duration::from_millis(300);
/// Ends waits of a failing test.
const LONG: Duration = Duration::from_secs(10);

fn pair() -> (Link, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let peer = TcpStream::connect(listener.local_addr().expect("an address")).expect("a connection");
    (Link::new(listener.accept().expect("a connection").0).expect("a link"), peer)
}

/// Starts an echo in a coroutine; returns its client's socket.
fn start_echo() -> TcpStream {
    let (link, peer) = pair();
    spawn(move || {
        let mut byte = [0; 1];
        while link.read(&mut byte, Instant::now() + LONG) == Ok(1) {
            let _ = link.write(&byte, Instant::now() + LONG);
        }
    });
    let _ = peer.set_read_timeout(Some(LONG));
    peer
}

/// A coroutine that reads what its peer sends at full speed.
fn start_busy_reader(ended: &Arc<AtomicBool>) {
    let (link, mut peer) = pair();
    let ended = ended.clone();
    thread::spawn(move || while !ended.load(Ordering::Relaxed) && peer.write_all(&[b'x'; 65_536]).is_ok() {});
    spawn(move || while link.read(&mut [0; 512], Instant::now() + LONG).is_ok_and(|got| got > 0) {});
}

/// A coroutine that writes to a peer that reads at full speed.
fn start_busy_writer(ended: &Arc<AtomicBool>) {
    let (link, mut peer) = pair();
    let ended = ended.clone();
    thread::spawn(move || {
        let mut buffer = vec![0; 1 << 20];
        while !ended.load(Ordering::Relaxed) && peer.read(&mut buffer).is_ok_and(|got| got > 0) {}
    });
    spawn(move || while link.write(b"x", Instant::now() + LONG).is_ok() {});
}

/// A coroutine that accepts from peers that connect at full speed.
fn start_busy_listener(ended: &Arc<AtomicBool>) {
    let listener = Listener::bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let (address, ended) = (listener.local_addr().expect("an address"), ended.clone());
    thread::spawn(move || {
        while !ended.load(Ordering::Relaxed) {
            let _ = TcpStream::connect(address);
        }
    });
    spawn(move || while listener.accept().is_ok() {});
}

/// The longest time that an echo takes beside busy sockets.
fn longest_echo(start_busy: fn(&Arc<AtomicBool>)) -> Duration {
    let mut client = start_echo();
    let ended = Arc::new(AtomicBool::new(false));
    (0..BUSY_SOCKETS).for_each(|_| start_busy(&ended));
    let (started, mut longest) = (Instant::now(), Duration::ZERO);
    while started.elapsed() < MEASURED {
        let sent = Instant::now();
        client.write_all(b"?").expect("room");
        client.read_exact(&mut [0; 1]).expect("an echo");
        longest = longest.max(sent.elapsed());
        thread::sleep(Duration::from_millis(10));
    }
    ended.store(true, Ordering::Relaxed);
    longest
}

/// Measures echoes beside each kind of busy sockets, with this number of workers.
pub fn check_echoes_beside_busy_sockets(workers: usize) {
    configure_coroutines(workers, 128 << 10);
    type Start = fn(&Arc<AtomicBool>);
    let cases: [(&str, Start); 3] =
        [("readers", start_busy_reader), ("writers", start_busy_writer), ("listeners", start_busy_listener)];
    for (name, start_busy) in cases {
        let longest = longest_echo(start_busy);
        eprintln!("{workers} workers, busy {name}: the longest echo took {longest:?}");
        assert!(longest < ECHO_LIMIT, "{workers} workers, busy {name}: {longest:?}");
    }
}
