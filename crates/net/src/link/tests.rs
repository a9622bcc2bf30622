//! A link's deadline against concurrent events, in an order that the test controls.

use super::*;
use crate::configure_coroutines;
use std::net::TcpListener;
use std::sync::atomic::AtomicU32;
use std::thread;

fn connected_link() -> (Link, TcpStream) {
    configure_coroutines(1, 128 << 10);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let peer = TcpStream::connect(listener.local_addr().expect("an address")).expect("a connection");
    (Link::new_unwatched(listener.accept().expect("a connection").0).expect("a link"), peer)
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The watcher checks a deadline, sets the `timed_out` flag and checks again; a woken reader clears its deadline and then
/// checks the flag. In any order of these steps, either the link is shut and the bytes stay unread, or it stays open and the
/// bytes are read. Without this, bytes that arrive at the deadline could be read from a link that is then shut.
#[test]
fn expiry_and_a_concurrent_read_agree() {
    #[derive(Clone, Copy, Debug, PartialEq)]
    enum Action {
        Nothing,
        /// The reader was woken and clears its deadline.
        ClearDeadline,
        /// The reader waits again, with a later deadline.
        ExtendDeadline,
        /// The reader clears its deadline and reads.
        ClearAndRead,
    }
    use Action::*;
    // What the reader does before the first check, between the two, and after the second; whether the link is shut in the
    // end; the result of the last read.
    let cases: [([Action; 3], bool, Result<usize, Fault>); 7] = [
        ([Nothing, Nothing, ClearAndRead], true, Err(Fault::TimedOut)),
        ([Nothing, Nothing, ClearDeadline], true, Err(Fault::TimedOut)),
        ([ClearDeadline, Nothing, ClearAndRead], false, Ok(4)),
        ([ExtendDeadline, Nothing, ClearAndRead], false, Ok(4)),
        ([Nothing, ClearDeadline, ClearAndRead], false, Ok(4)),
        ([Nothing, ExtendDeadline, ClearAndRead], false, Ok(4)),
        // The reader sees the flag between the checks and times out: the bytes stay unread.
        ([Nothing, ClearAndRead, Nothing], false, Err(Fault::TimedOut)),
    ];
    for (steps, shut, wanted) in cases {
        let (link, mut peer) = connected_link();
        peer.write_all(b"come").expect("some bytes");
        while link.is_stale() && link.is_closed_by_peer() {
            thread::sleep(ms(1));
        }
        let past = watch::deadline_micros(Instant::now());
        thread::sleep(ms(2));
        link.inner.read_deadline.store(past, Ordering::SeqCst);
        let last_read = std::cell::Cell::new(None);
        let act = |action: Action| match action {
            Nothing => {}
            ClearDeadline => link.set_read_deadline(None),
            ExtendDeadline => link.set_read_deadline(Some(Instant::now() + ms(60_000))),
            ClearAndRead => {
                link.set_read_deadline(None);
                last_read.set(Some(link.read(&mut [0; 16], Instant::now() + ms(1000))));
            }
        };
        act(steps[0]);
        link.inner.shut_if_still_expired(watch::deadline_micros(Instant::now()), || act(steps[1]));
        act(steps[2]);
        if last_read.get().is_none() {
            last_read.set(Some(link.read(&mut [0; 16], Instant::now() + ms(1000))));
        }
        assert_eq!(link.inner.is_shut(), shut, "{steps:?}");
        assert_eq!(last_read.get(), Some(wanted), "{steps:?}");
    }
}

/// A deadline that is brought forward after `read_with_moving_deadline` has evaluated it and before it is set. Without the
/// second evaluation the read would wait for the old deadline.
#[test]
fn a_deadline_brought_forward_while_it_is_set_holds() {
    let (link, _peer) = connected_link();
    watch::add(&link.inner);
    let (start, evaluations) = (Instant::now(), AtomicU32::new(0));
    let (near_deadline, far_deadline) = (start + ms(100), start + ms(5000));
    let got = link.read_with_moving_deadline(&mut [0; 16], || {
        let is_first = evaluations.fetch_add(1, Ordering::SeqCst) == 0;
        if is_first {
            // No read waits yet, so that this has no effect; the next evaluation returns the nearer deadline.
            link.shorten_read_deadline(near_deadline);
        }
        Some(if is_first { far_deadline } else { near_deadline })
    });
    assert_eq!(got, Err(Fault::TimedOut));
    assert!((ms(90)..ms(1000)).contains(&start.elapsed()), "{:?}", start.elapsed());
}
