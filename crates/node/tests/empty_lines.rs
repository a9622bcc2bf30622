//! Clients that send empty lines in place of a request.

mod platform;

use platform::*;
use std::io::{Read, Write};
use std::thread;
use std::time::{Duration, Instant};

/// The platform's time limit for an error to a bad client, or the close of its connection.
const BAD_CLIENT_LIMIT: Duration = Duration::from_secs(3);

/// Empty lines begin no request, so that no limit of a request ends them: without one of their own the client is read for as
/// long as it goes on.
#[test]
fn a_client_that_sends_only_empty_lines_gets_an_error() {
    let p = start_platform(256);
    for after_an_answer in [false, true] {
        let mut stream = connect(p.node.address());
        if after_an_answer {
            stream.write_all(b"GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n").expect("a request");
            assert!(stream.read(&mut [0; 4096]).expect("an answer") > 0);
        }
        let mut sender = stream.try_clone().expect("a second handle");
        let started = Instant::now();
        let sending = thread::spawn(move || {
            while started.elapsed() < 2 * BAD_CLIENT_LIMIT
                && sender.write_all(&[b'\r', b'\n'].repeat(1000)).is_ok()
            {}
        });
        let mut answer = [0; 512];
        let got = stream.read(&mut answer).unwrap_or_default();
        assert!(started.elapsed() < BAD_CLIENT_LIMIT, "{after_an_answer}: {:?}", started.elapsed());
        assert!(answer[..got].starts_with(b"HTTP/1.1 400"), "{after_an_answer}: {got} bytes");
        drop(stream);
        sending.join().expect("no panic");
    }
}
