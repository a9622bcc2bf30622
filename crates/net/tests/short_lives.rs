//! Connections and coroutines that end right after a wait, on far more workers than cores, so that the system preempts
//! workers at every point. Without deferred drops `may` reads and writes freed memory: seen here as a crash, elsewhere as
//! waits that never end (docs/coroutines.md).

use std::net::SocketAddr;
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use tulipstall_net::{Link, Listener, spawn};

const ROUNDS: usize = 600;
const CLIENTS: usize = 20;
/// Pause between rounds. It bounds the sockets that wait for their deferred drop to some 4,000 file descriptors.
const ROUND_PAUSE: Duration = Duration::from_millis(4);

fn exchange(address: &SocketAddr) -> bool {
    let until = Instant::now() + Duration::from_secs(30);
    let mut byte = [0; 1];
    Link::connect(address, Duration::from_secs(30)).is_ok_and(|link| {
        link.write(b"x", until).is_ok()
            && link.read(&mut byte, until) == Ok(1)
            && byte == *b"y"
            && link.read(&mut byte, until) == Ok(0)
    })
}

/// Environment variable of glibc that fills freed memory with a byte, so that a later access fails at once. Other C libraries
/// ignore it.
const FILL_FREED: (&str, &str) = ("MALLOC_PERTURB_", "165");

#[test]
fn freed_sockets_and_coroutines_are_not_accessed() {
    if std::env::var(FILL_FREED.0).is_err() {
        let program = std::env::current_exe().expect("a test program");
        let status = Command::new(program).env(FILL_FREED.0, FILL_FREED.1).stdout(Stdio::null()).status();
        assert!(status.expect("a second run").success());
        return;
    }
    may::config().set_workers(24).set_stack_size((64 << 10) / size_of::<usize>());
    // Busy threads that compete for the cores.
    for _ in 0..4 {
        std::thread::spawn(|| while std::hint::black_box(true) {});
    }
    let listener = Arc::new(Listener::bind("127.0.0.1:0".parse().expect("an address")).expect("a port"));
    let address = listener.local_addr().expect("an address");
    let served = Arc::new(AtomicUsize::new(0));
    let (acceptor, served_count) = (listener.clone(), served.clone());
    let accepting = spawn(move || {
        while let Ok((link, _)) = acceptor.accept() {
            let served_count = served_count.clone();
            spawn(move || {
                let until = Instant::now() + Duration::from_secs(30);
                if link.read(&mut [0; 1], until) == Ok(1) && link.write(b"y", until).is_ok() {
                    served_count.fetch_add(1, Ordering::Relaxed);
                }
            });
        }
    });
    for _ in 0..ROUNDS {
        let (result, results) = may::sync::mpsc::channel();
        for _ in 0..CLIENTS {
            let result = result.clone();
            spawn(move || {
                // This coroutine ends as soon as it is woken.
                let (exchanged, exchange_result) = may::sync::mpsc::channel();
                spawn(move || exchanged.send(exchange(&address)));
                let _ = result.send(exchange_result.recv() == Ok(true));
            });
        }
        drop(result);
        assert_eq!(results.iter().filter(|succeeded| *succeeded).count(), CLIENTS);
        std::thread::sleep(ROUND_PAUSE);
    }
    assert_eq!(served.load(Ordering::Relaxed), ROUNDS * CLIENTS);
    listener.close();
    assert!(accepting.join().is_ok());
}
