//! Waits end by their moment, whatever the socket does.

use socket2::{Domain, SockRef, Socket, Type};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};
use tulipstall_net::{Fault, Link, Listener, set_up, spawn};

const SHORT: Duration = Duration::from_millis(200);

/// Shutting a socket does not tell whoever waits for it everywhere: not where it is still connecting and the system's
/// calls are led elsewhere. Linux has sockets for which it does not either, those of netlink.
fn deaf() -> Link {
    let socket = Socket::new(Domain::from(16), Type::DGRAM, None).expect("a netlink socket");
    Link::new(TcpStream::from(OwnedFd::from(socket))).expect("a link")
}

/// A listener whose queue is full: it answers no further connection, and refuses none.
fn full() -> (SocketAddr, impl Sized) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    socket.bind(&any.into()).and_then(|()| socket.listen(0)).expect("a port");
    let listener = TcpListener::from(socket);
    let address = listener.local_addr().expect("an address");
    let queue: Vec<_> = (0..4).map(|_| TcpStream::connect_timeout(&address, SHORT)).collect();
    (address, (listener, queue))
}

/// Addresses are listened on and dialled as told, not only those of loopback: the unspecified one is none, and leads
/// there.
#[test]
fn addresses_are_dialled_as_told() {
    set_up(1, 128 << 10);
    let listener = Listener::bind("0.0.0.0:0".parse().expect("an address")).expect("a port");
    let address = listener.local_addr().expect("an address");
    let connected = spawn(move || Link::connect(&address, SHORT).is_ok()).join().expect("no panic");
    assert!(connected && !address.ip().is_loopback());
}

#[test]
fn a_wait_ends_by_its_moment() {
    set_up(1, 128 << 10);
    let (address, _queue) = full();
    let until = || Instant::now() + SHORT;
    type Waits = Box<dyn FnOnce() -> Result<(), Fault> + Send>;
    let cases: [(&str, Waits, Fault); 3] = [
        ("connecting", Box::new(move || Link::connect(&address, SHORT).map(|_| ())), Fault::NoConnection),
        ("reading", Box::new(move || deaf().read(&mut [0], until()).map(|_| ())), Fault::TimedOut),
        (
            "shut by another",
            Box::new(move || {
                let (link, other) = (deaf(), Instant::now() + Duration::from_secs(9));
                let shuts = link.clone();
                spawn(move || {
                    tulipstall_net::sleep(SHORT);
                    shuts.shut();
                });
                link.read(&mut [0], other).map(|_| ())
            }),
            Fault::Broken,
        ),
    ];
    for (name, waits, fault) in cases {
        let from = Instant::now();
        let (tell, told) = channel();
        spawn(move || tell.send(waits()));
        assert_eq!(told.recv_timeout(10 * SHORT), Ok(Err(fault)), "{name}");
        assert!(from.elapsed() < 2 * SHORT, "{name}: {:?}", from.elapsed());
    }
}

fn pair() -> (Link, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let there = TcpStream::connect(listener.local_addr().expect("an address")).expect("a connection");
    (Link::new(listener.accept().expect("a connection").0).expect("a link"), there)
}

/// Bytes that wait at a link when it is shut or finished are read by nobody: whoever shut it counts on that. Bytes that
/// come after are not either, and the peer gets what was written before.
#[test]
fn what_came_to_a_link_that_is_shut_is_nobodys() {
    type Ends = fn(&Link);
    let cases: [(&str, Ends, Option<usize>); 3] =
        [("open", |_| {}, Some(3)), ("shut", Link::shut, None), ("finished", Link::finish, None)];
    for (name, ends, read) in cases {
        let (link, mut there) = pair();
        there.write_all(b"ask").expect("room");
        while !link.stale() {
            std::thread::sleep(Duration::from_millis(1));
        }
        assert!(!link.ended(), "{name}: it only spoke");
        link.write(b"bye", Instant::now() + SHORT).expect("room");
        ends(&link);
        assert_eq!(link.read(&mut [0; 8], Instant::now() + SHORT).ok(), read, "{name}");
        let mut got = [0; 3];
        there.read_exact(&mut got).expect("what was written before");
        assert_eq!(&got, b"bye", "{name}");
    }
}

/// That the peer has left is seen without reading, whichever way it left.
#[test]
fn an_end_is_seen_without_reading() {
    for reset in [false, true] {
        let (link, there) = pair();
        assert!(!link.ended());
        if reset {
            SockRef::from(&there).set_linger(Some(Duration::ZERO)).expect("an option");
        }
        drop(there);
        let until = Instant::now() + SHORT;
        while !link.ended() {
            assert!(Instant::now() < until, "reset: {reset}");
            std::thread::sleep(Duration::from_millis(1));
        }
    }
}
