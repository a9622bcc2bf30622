//! Waits end by their deadline, whatever the socket does.

use socket2::{Domain, SockRef, Socket, Type};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};
use tulipstall_net::{Fault, Link, Listener, configure_coroutines, spawn};

const SHORT: Duration = Duration::from_millis(200);

/// A link whose socket raises no event when it is shut. Sockets that are still connecting behave so where system calls are
/// intercepted; on Linux netlink sockets do.
fn link_without_shutdown_events() -> Link {
    let socket = Socket::new(Domain::from(16), Type::DGRAM, None).expect("a netlink socket");
    Link::new(TcpStream::from(OwnedFd::from(socket))).expect("a link")
}

/// A listener whose accept queue is full: further connections are neither answered nor refused.
fn listener_with_full_queue() -> (SocketAddr, impl Sized) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    socket.bind(&any.into()).and_then(|()| socket.listen(0)).expect("a port");
    let listener = TcpListener::from(socket);
    let address = listener.local_addr().expect("an address");
    let queue: Vec<_> = (0..4).map(|_| TcpStream::connect_timeout(&address, SHORT)).collect();
    (address, (listener, queue))
}

/// Addresses are listened on and connected to as given, not only those of loopback. The unspecified address is not a
/// loopback address, and connecting to it reaches the local machine.
#[test]
fn addresses_are_used_as_given() {
    configure_coroutines(1, 128 << 10);
    let listener = Listener::bind("0.0.0.0:0".parse().expect("an address")).expect("a port");
    let address = listener.local_addr().expect("an address");
    let connected = spawn(move || Link::connect(&address, SHORT).is_ok()).join().expect("no panic");
    assert!(connected && !address.ip().is_loopback());
}

#[test]
fn a_wait_ends_by_its_deadline() {
    configure_coroutines(1, 128 << 10);
    let (address, _queue) = listener_with_full_queue();
    let until = || Instant::now() + SHORT;
    type Wait = Box<dyn FnOnce() -> Result<(), Fault> + Send>;
    let cases: [(&str, Wait, Fault); 3] = [
        ("connecting", Box::new(move || Link::connect(&address, SHORT).map(|_| ())), Fault::NoConnection),
        (
            "reading",
            Box::new(move || link_without_shutdown_events().read(&mut [0], until()).map(|_| ())),
            Fault::TimedOut,
        ),
        (
            "shut by another",
            Box::new(move || {
                let (link, long_deadline) =
                    (link_without_shutdown_events(), Instant::now() + Duration::from_secs(9));
                let other_holder = link.clone();
                spawn(move || {
                    tulipstall_net::sleep(SHORT);
                    other_holder.shut();
                });
                link.read(&mut [0], long_deadline).map(|_| ())
            }),
            Fault::Broken,
        ),
    ];
    for (name, wait, fault) in cases {
        let start = Instant::now();
        let (sender, result) = channel();
        spawn(move || sender.send(wait()));
        assert_eq!(result.recv_timeout(10 * SHORT), Ok(Err(fault)), "{name}");
        assert!(start.elapsed() < 2 * SHORT, "{name}: {:?}", start.elapsed());
    }
}

fn pair() -> (Link, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let peer = TcpStream::connect(listener.local_addr().expect("an address")).expect("a connection");
    (Link::new(listener.accept().expect("a connection").0).expect("a link"), peer)
}

/// Bytes that are pending at a link when it is shut or finished are not returned by reads, as the holder that shuts it
/// relies on that; nor are bytes that arrive later. The peer gets what was written before.
#[test]
fn a_link_that_is_shut_returns_no_bytes() {
    type EndLink = fn(&Link);
    let cases: [(&str, EndLink, Option<usize>); 3] =
        [("open", |_| {}, Some(3)), ("shut", Link::shut, None), ("finished", Link::shut_write, None)];
    for (name, end_link, expected) in cases {
        let (link, mut peer) = pair();
        peer.write_all(b"ask").expect("room");
        while !link.is_stale() {
            std::thread::sleep(Duration::from_millis(1));
        }
        assert!(!link.is_closed_by_peer(), "{name}: the peer has sent bytes and not closed");
        link.write(b"bye", Instant::now() + SHORT).expect("room");
        end_link(&link);
        assert_eq!(link.read(&mut [0; 8], Instant::now() + SHORT).ok(), expected, "{name}");
        let mut got = [0; 3];
        peer.read_exact(&mut got).expect("what was written before");
        assert_eq!(&got, b"bye", "{name}");
    }
}

/// A close or a reset by the peer is seen without reading, also behind bytes that are unread.
#[test]
fn a_close_by_the_peer_is_seen_without_reading() {
    for (reset, unread) in [(false, 0), (true, 0), (false, 1), (false, 100_000), (true, 100_000)] {
        let (link, mut peer) = pair();
        peer.write_all(&vec![b'x'; unread]).expect("room");
        assert!(!link.is_closed_by_peer(), "{unread} unread bytes");
        if reset {
            SockRef::from(&peer).set_linger(Some(Duration::ZERO)).expect("an option");
        }
        drop(peer);
        let until = Instant::now() + SHORT;
        while !link.is_closed_by_peer() {
            assert!(Instant::now() < until, "reset: {reset}, {unread} unread bytes");
            std::thread::sleep(Duration::from_millis(1));
        }
    }
}

/// Clients that connect again as soon as they are closed never leave the accept queue empty: unless its draining has a time
/// limit, a listener that is to close accepts for as long as they go on.
#[test]
fn a_listener_closes_in_time_though_clients_go_on_connecting() {
    configure_coroutines(1, 128 << 10);
    let listener = Arc::new(Listener::bind("127.0.0.1:0".parse().expect("an address")).expect("a port"));
    let address = listener.local_addr().expect("an address");
    let ended = Arc::new(AtomicBool::new(false));
    for _ in 0..40 {
        let ended = ended.clone();
        std::thread::spawn(move || {
            while !ended.load(Ordering::Relaxed) {
                let _ = TcpStream::connect(address).and_then(|mut stream| stream.read(&mut [0; 1]));
            }
        });
    }
    let (acceptor, (sender, closed)) = (listener.clone(), channel());
    spawn(move || {
        while !acceptor.is_closed() {
            let _ = acceptor.accept();
            // As long as it takes to start serving a client.
            tulipstall_net::sleep(Duration::from_millis(1));
        }
        sender.send(Instant::now())
    });
    std::thread::sleep(SHORT);
    let started = Instant::now();
    listener.close_when_drained();
    let closed = closed.recv_timeout(Duration::from_secs(3));
    ended.store(true, Ordering::Relaxed);
    let took = closed.expect("it does not close").saturating_duration_since(started);
    assert!(took < Duration::from_millis(500), "{took:?}");
}

/// A crowd that connects while the process does not run waits in the queue: a client that finds it full connects a second later.
#[test]
fn a_crowd_connects_while_nobody_accepts() {
    const CROWD: usize = 250;
    let listener = Listener::bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let address = listener.local_addr().expect("an address");
    let connect = |_| TcpStream::connect_timeout(&address, Duration::from_millis(500)).ok();
    let connected: Vec<TcpStream> = (0..CROWD).filter_map(connect).collect();
    assert_eq!(connected.len(), CROWD);
}
