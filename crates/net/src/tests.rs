//! A link's moment, and what crosses it, in an order that the test decides.

use super::*;
use std::sync::atomic::AtomicU32;

fn link() -> (Link, TcpStream) {
    set_up(1, 128 << 10);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let there = TcpStream::connect(listener.local_addr().expect("an address")).expect("a connection");
    (Link::unwatched(listener.accept().expect("a connection").0).expect("a link"), there)
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The watch looks twice and tells in between; whoever waited takes its moment back and then looks. Whatever the order,
/// either the link is shut and what came is nobody's, or it is not and its bytes are read.
#[test]
fn a_moment_and_the_bytes_that_cross_it_agree() {
    #[derive(Clone, Copy, Debug, PartialEq)]
    enum Does {
        Nothing,
        /// Whoever waited was woken: its moment is taken back.
        TakesBack,
        /// It waits anew, for longer.
        WaitsOn,
        /// It has taken its moment back and already reads.
        Reads,
    }
    use Does::*;
    // What whoever waited does before the first look, between the two, and after the second; whether the link is shut
    // in the end, and what the last read gets.
    let cases: [([Does; 3], bool, Result<usize, Fault>); 7] = [
        ([Nothing, Nothing, Reads], true, Err(Fault::TimedOut)),
        ([Nothing, Nothing, TakesBack], true, Err(Fault::TimedOut)),
        ([TakesBack, Nothing, Reads], false, Ok(4)),
        ([WaitsOn, Nothing, Reads], false, Ok(4)),
        ([Nothing, TakesBack, Reads], false, Ok(4)),
        ([Nothing, WaitsOn, Reads], false, Ok(4)),
        // Told late in between it is, and so takes it: the bytes stay unread.
        ([Nothing, Reads, Nothing], false, Err(Fault::TimedOut)),
    ];
    for (steps, shut, wanted) in cases {
        let (link, mut there) = link();
        there.write_all(b"come").expect("some bytes");
        while link.stale() && link.ended() {
            thread::sleep(ms(1));
        }
        let past = watch::at(Instant::now());
        thread::sleep(ms(2));
        link.inner.read_by.store(past, Ordering::SeqCst);
        let last = std::cell::Cell::new(None);
        let does = |what: Does| match what {
            Nothing => {}
            TakesBack => link.read_by(None),
            WaitsOn => link.read_by(Some(Instant::now() + ms(60_000))),
            Reads => {
                link.read_by(None);
                last.set(Some(link.read(&mut [0; 16], Instant::now() + ms(1000))));
            }
        };
        does(steps[0]);
        link.inner.shut_if_still_due(watch::at(Instant::now()), || does(steps[1]));
        does(steps[2]);
        if last.get().is_none() {
            last.set(Some(link.read(&mut [0; 16], Instant::now() + ms(1000))));
        }
        assert_eq!(link.inner.is_shut(), shut, "{steps:?}");
        assert_eq!(last.get(), Some(wanted), "{steps:?}");
    }
}

/// A moment that comes closer in the very instant in which it begins to hold.
#[test]
fn a_moment_that_comes_closer_as_it_is_set_holds() {
    let (link, _there) = link();
    watch::add(&link.inner);
    let (from, looks) = (Instant::now(), AtomicU32::new(0));
    let (near, far) = (from + ms(100), from + ms(5000));
    let got = link.read_while(&mut [0; 16], || {
        let far_yet = looks.fetch_add(1, Ordering::SeqCst) == 0;
        if far_yet {
            // Who moves it finds nobody waiting: what it was made of has changed, and so it is told.
            link.read_by_at_most(near);
        }
        Some(if far_yet { far } else { near })
    });
    assert_eq!(got, Err(Fault::TimedOut));
    assert!((ms(90)..ms(1000)).contains(&from.elapsed()), "{:?}", from.elapsed());
}
