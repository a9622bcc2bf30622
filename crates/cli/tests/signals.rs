//! Signals that cross each other, a start, requests and a configuration that is being written.

#[path = "../../node/tests/platform/mod.rs"]
mod platform;
mod running;

use platform::*;
use running::{Running, ms};
use std::io::Write;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

const CLOSE: &str = "Connection: close\r\n";

fn hosts() -> (Host, Host, Host) {
    let (reads, writes) = (Script::default(), Script::default());
    (Host::start("r1", &reads), Host::start("w1", &writes), Host::start("w2", &writes))
}

/// A stop begins when it is asked for, whatever else the process is at, and what was taken is answered whole.
#[test]
fn a_stop_waits_for_nothing_but_what_is_owed() {
    #[derive(Clone, Copy, Debug)]
    enum Before {
        Nothing,
        /// The configuration is half written, and told of.
        HalfWritten,
        /// Told again and again.
        Pressed,
        /// Told to stop before, so long ago.
        Stopping(u64),
        /// Not ready yet, as the registry is silent.
        Starting,
    }
    use Before::*;
    thread::scope(|scope| {
        for (i, before) in
            [Nothing, HalfWritten, Pressed, Stopping(50), Stopping(600), Starting].into_iter().enumerate()
        {
            scope.spawn(move || {
                let (r1, w1, w2) = hosts();
                let registry = Registry::start(&[&r1, &w1, &w2]);
                registry.down.store(matches!(before, Starting), Ordering::SeqCst);
                let mut running = Running::start(&format!("stops{i}"), &registry, 256);
                let mut stream = None;
                if !matches!(before, Starting) {
                    running = running.ready();
                    // Its answer ends some 1.2 s after the stop was asked for.
                    w1.script_replies(&[ScriptedReply::PauseMs(1300)]);
                    let mut asked = connect(running.address);
                    asked.write_all(request_text("owed", CLOSE).as_bytes()).expect("a call");
                    thread::sleep(ms(100));
                    stream = Some(asked);
                }
                match before {
                    Nothing | Starting => {}
                    HalfWritten => {
                        running.write(&running.told[..running.told.len() / 2]);
                        running.signal("-HUP");
                        thread::sleep(ms(100));
                    }
                    Pressed => (0..20).for_each(|_| {
                        running.signal("-HUP");
                        thread::sleep(ms(5));
                    }),
                    Stopping(span) => {
                        running.signal("-TERM");
                        thread::sleep(ms(span));
                    }
                }
                running.signal("-TERM");
                let (status, took) = running.ends(ms(8000));
                assert!(status.success(), "{before:?}: {status}");
                // 450 ms in which all is taken, the answer, and some room for a busy machine.
                let most = if stream.is_some() { ms(1200 + 600) } else { ms(450 + 600) };
                assert!(took < most, "{before:?}: {took:?}");
                if let Some(mut stream) = stream {
                    let mut answer = String::new();
                    let _ = std::io::Read::read_to_string(&mut stream, &mut answer);
                    assert!(is_complete_stream(&answer, "owed"), "{before:?}: {answer}");
                }
            });
        }
    });
}

/// How long after a drain was told to the registry that counts the last request went to that host.
fn last_after(host: &Host, told: Instant) -> Duration {
    let calls = host.calls().into_iter().filter(|(call, ..)| call.starts_with("POST"));
    calls.map(|(.., at)| at.saturating_duration_since(told)).max().unwrap_or_default()
}

/// The registry moves while something else goes on: what the new one tells is heard in the time that a move may take.
#[test]
fn a_move_is_heard_whatever_it_crosses() {
    #[derive(Clone, Copy, Debug, PartialEq)]
    enum Crosses {
        Nothing,
        /// The file is whole only so long after it was told of.
        Written(u64),
        /// To the next one and back within moments, and then for good.
        BackAndForth,
        /// The old one has just fallen silent, with the watch open.
        Silence,
        /// The new one comes up so long after.
        Away(u64),
        /// A stop is under way, with requests in hand.
        Stop,
    }
    use Crosses::*;
    thread::scope(|scope| {
        let all = [Nothing, Written(1000), Written(3000), BackAndForth, Silence, Away(1500), Stop];
        for (i, crosses) in all.into_iter().enumerate() {
            scope.spawn(move || {
                let (r1, w1, w2) = hosts();
                let registry = Registry::start(&[&r1, &w1, &w2]);
                let next = Registry::start(&[&r1, &w1, &w2]);
                let mut running = Running::start(&format!("moves{i}"), &registry, 256).ready();
                let serve = |id: &str| {
                    let answer = exchange(running.address, &request_text(id, CLOSE));
                    assert!(is_complete_stream(&answer, id), "{crosses:?}: {answer}");
                };
                (0..10).for_each(|k| serve(&format!("before{k}")));
                let moved = running.told_of(&registry, &next);
                let whole_file = |text: &str| {
                    running.write(text);
                    running.signal("-HUP");
                };
                next.publish(registry_line(&w1, "leaving"));
                let mut told = Instant::now();
                match crosses {
                    Nothing => whole_file(&moved),
                    Written(span) => {
                        whole_file(&moved[..moved.len() / 3]);
                        thread::sleep(ms(span));
                        running.write(&moved);
                        told += ms(span).saturating_sub(ms(100));
                    }
                    BackAndForth => {
                        for text in [&moved, &running.told, &moved, &running.told, &moved] {
                            whole_file(text);
                            thread::sleep(ms(20));
                        }
                    }
                    Silence => {
                        registry.down.store(true, Ordering::SeqCst);
                        whole_file(&moved);
                    }
                    Away(span) => {
                        next.down.store(true, Ordering::SeqCst);
                        whole_file(&moved);
                        thread::sleep(ms(span));
                        next.down.store(false, Ordering::SeqCst);
                    }
                    Stop => {
                        // Reads that end after the move: where each answer is written is decided only then.
                        r1.script_replies(&[ScriptedReply::DelayMs(1500); 8]);
                        let answers: Vec<_> = (0..8)
                            .map(|k| {
                                let mut stream = connect(running.address);
                                stream
                                    .write_all(request_text(&format!("reads{k}"), CLOSE).as_bytes())
                                    .expect("a call");
                                stream
                            })
                            .collect();
                        thread::sleep(ms(100));
                        running.signal("-TERM");
                        thread::sleep(ms(100));
                        whole_file(&moved);
                        let (status, _) = running.ends(ms(6000));
                        assert!(status.success(), "{status}");
                        for (k, mut stream) in answers.into_iter().enumerate() {
                            let mut answer = String::new();
                            let _ = std::io::Read::read_to_string(&mut stream, &mut answer);
                            assert!(is_complete_stream(&answer, &format!("reads{k}")), "{answer}");
                        }
                        assert!(last_after(&w1, told) < ms(800), "{:?}", last_after(&w1, told));
                        return;
                    }
                }
                let until = told.max(Instant::now()) + ms(4000);
                let mut k = 0;
                while Instant::now() < until {
                    serve(&format!("after{k}"));
                    k += 1;
                    thread::sleep(ms(10));
                }
                let last = last_after(&w1, told);
                // A move is looked for every 50 ms; then the whole list, at once.
                let most = if let Away(span) = crosses { ms(span + 400) } else { ms(600) };
                assert!(last < most, "{crosses:?}: {last:?}");
                running.signal("-TERM");
                assert!(running.ends(ms(6000)).0.success(), "{crosses:?}");
            });
        }
    });
}
