//! Signals that arrive during a start, a stop, requests or a partial write of the configuration file.

#[path = "../../node/tests/platform/mod.rs"]
mod platform;
mod running;

use platform::*;
use running::{NodeProcess, ms};
use std::io::Write;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

const CLOSE: &str = "Connection: close\r\n";

fn hosts() -> (Host, Host, Host) {
    let (reads, writes) = (Script::default(), Script::default());
    (Host::start("r1", &reads), Host::start("w1", &writes), Host::start("w2", &writes))
}

/// SIGTERM starts the stop at once in every state of the process. Without this, a pending reload, an earlier stop or an
/// unfinished start delays the exit, or an accepted request loses its answer.
#[test]
fn a_stop_waits_only_for_accepted_requests() {
    #[derive(Clone, Copy, Debug)]
    enum Condition {
        Nothing,
        /// The configuration file is half written when SIGHUP arrives.
        HalfWritten,
        /// SIGHUP arrives 20 times in a row.
        RepeatedReload,
        /// SIGTERM was sent before, this many milliseconds ago.
        AlreadyStopping(u64),
        /// Not ready yet, because the registry does not answer.
        Starting,
    }
    use Condition::*;
    thread::scope(|scope| {
        for (i, condition) in
            [Nothing, HalfWritten, RepeatedReload, AlreadyStopping(50), AlreadyStopping(600), Starting]
                .into_iter()
                .enumerate()
        {
            scope.spawn(move || {
                let (r1, w1, w2) = hosts();
                let registry = Registry::start(&[&r1, &w1, &w2]);
                registry.down.store(matches!(condition, Starting), Ordering::SeqCst);
                let mut process = NodeProcess::start(&format!("stops{i}"), &registry, 256);
                let mut stream = None;
                if !matches!(condition, Starting) {
                    process = process.wait_ready();
                    // The answer ends about 1.2 s after SIGTERM.
                    w1.script_replies(&[ScriptedReply::PauseMs(1300)]);
                    let mut request = connect(process.address);
                    request.write_all(request_text("owed", CLOSE).as_bytes()).expect("a call");
                    thread::sleep(ms(100));
                    stream = Some(request);
                }
                match condition {
                    Nothing | Starting => {}
                    HalfWritten => {
                        process.write(&process.config_text[..process.config_text.len() / 2]);
                        process.signal("-HUP");
                        thread::sleep(ms(100));
                    }
                    RepeatedReload => (0..20).for_each(|_| {
                        process.signal("-HUP");
                        thread::sleep(ms(5));
                    }),
                    AlreadyStopping(span) => {
                        process.signal("-TERM");
                        thread::sleep(ms(span));
                    }
                }
                process.signal("-TERM");
                let (status, took) = process.wait_for_exit(ms(8000));
                assert!(status.success(), "{condition:?}: {status}");
                // 450 ms in which requests are still accepted, the answer, and 600 ms of margin for a busy machine.
                let limit = if stream.is_some() { ms(1200 + 600) } else { ms(450 + 600) };
                assert!(took < limit, "{condition:?}: {took:?}");
                if let Some(mut stream) = stream {
                    let mut answer = String::new();
                    let _ = std::io::Read::read_to_string(&mut stream, &mut answer);
                    assert!(is_complete_stream(&answer, "owed"), "{condition:?}: {answer}");
                }
            });
        }
    });
}

/// Time from `published`, when the current registry got the drain, to the last request sent to this host.
fn last_request_after(host: &Host, published: Instant) -> Duration {
    let calls = host.calls().into_iter().filter(|(call, ..)| call.starts_with("POST"));
    calls.map(|(.., at)| at.saturating_duration_since(published)).max().unwrap_or_default()
}

/// The configuration names a new registry while something else happens. Without this, a drain that the new registry
/// publishes takes effect late or never, and requests still go to the draining host.
#[test]
fn a_new_registry_takes_effect_whatever_happens_meanwhile() {
    #[derive(Clone, Copy, Debug, PartialEq)]
    enum Concurrent {
        Nothing,
        /// The file is complete only this many milliseconds after SIGHUP.
        WrittenInParts(u64),
        /// The address changes back and forth every 20 ms, then stays at the new one.
        BackAndForth,
        /// The old registry has just stopped answering, with a watch open.
        OldRegistrySilent,
        /// Lists are requested, and the old registry has refused requests: the next one is due seconds later.
        OldRegistryRefuses,
        /// The new registry answers only this many milliseconds later.
        NewRegistryDown(u64),
        /// A stop is in progress, with unanswered requests.
        Stop,
    }
    use Concurrent::*;
    thread::scope(|scope| {
        let cases = [
            Nothing,
            WrittenInParts(1000),
            WrittenInParts(3000),
            BackAndForth,
            OldRegistrySilent,
            OldRegistryRefuses,
            NewRegistryDown(1500),
            Stop,
        ];
        for (i, concurrent) in cases.into_iter().enumerate() {
            scope.spawn(move || {
                let (r1, w1, w2) = hosts();
                let registry = Registry::start(&[&r1, &w1, &w2]);
                let new_registry = Registry::start(&[&r1, &w1, &w2]);
                let settings = |config: &str| match concurrent {
                    OldRegistryRefuses => {
                        config.replace("\"settings\":{", "\"settings\":{\"RegistryMode\":\"on_request\",")
                    }
                    _ => config.to_owned(),
                };
                let process = NodeProcess::start_with(&format!("moves{i}"), &registry, 256, settings);
                let mut process = process.wait_ready();
                let serve = |id: &str| {
                    let answer = exchange(process.address, &request_text(id, CLOSE));
                    assert!(is_complete_stream(&answer, id), "{concurrent:?}: {answer}");
                };
                (0..10).for_each(|k| serve(&format!("before{k}")));
                let new_config = process.config_with_registry(&registry, &new_registry);
                let write_and_reload = |text: &str| {
                    process.write(text);
                    process.signal("-HUP");
                };
                new_registry.publish(registry_line(&w1, "leaving"));
                let mut published = Instant::now();
                match concurrent {
                    Nothing => write_and_reload(&new_config),
                    WrittenInParts(span) => {
                        write_and_reload(&new_config[..new_config.len() / 3]);
                        thread::sleep(ms(span));
                        process.write(&new_config);
                        published += ms(span).saturating_sub(ms(100));
                    }
                    BackAndForth => {
                        for text in [
                            &new_config,
                            &process.config_text,
                            &new_config,
                            &process.config_text,
                            &new_config,
                        ] {
                            write_and_reload(text);
                            thread::sleep(ms(20));
                        }
                    }
                    OldRegistrySilent => {
                        registry.down.store(true, Ordering::SeqCst);
                        write_and_reload(&new_config);
                    }
                    OldRegistryRefuses => {
                        let refusals = [RegistryFault::Refusal(Refusal::with_status(503)); 5];
                        registry.script.lock().expect("no panic").extend(refusals);
                        while !registry.script.lock().expect("no panic").is_empty() {
                            thread::sleep(ms(10));
                        }
                        thread::sleep(ms(300));
                        published = Instant::now();
                        write_and_reload(&new_config);
                    }
                    NewRegistryDown(span) => {
                        new_registry.down.store(true, Ordering::SeqCst);
                        write_and_reload(&new_config);
                        thread::sleep(ms(span));
                        new_registry.down.store(false, Ordering::SeqCst);
                    }
                    Stop => {
                        // The reads end after the move, so that each writer is chosen from the new list.
                        r1.script_replies(&[ScriptedReply::DelayMs(1500); 8]);
                        let answers: Vec<_> = (0..8)
                            .map(|k| {
                                let mut stream = connect(process.address);
                                stream
                                    .write_all(request_text(&format!("reads{k}"), CLOSE).as_bytes())
                                    .expect("a call");
                                stream
                            })
                            .collect();
                        thread::sleep(ms(100));
                        process.signal("-TERM");
                        thread::sleep(ms(100));
                        write_and_reload(&new_config);
                        let (status, _) = process.wait_for_exit(ms(6000));
                        assert!(status.success(), "{status}");
                        for (k, mut stream) in answers.into_iter().enumerate() {
                            let mut answer = String::new();
                            let _ = std::io::Read::read_to_string(&mut stream, &mut answer);
                            assert!(is_complete_stream(&answer, &format!("reads{k}")), "{answer}");
                        }
                        assert!(
                            last_request_after(&w1, published) < ms(800),
                            "{:?}",
                            last_request_after(&w1, published)
                        );
                        return;
                    }
                }
                let end = published.max(Instant::now()) + ms(4000);
                let mut k = 0;
                while Instant::now() < end {
                    serve(&format!("after{k}"));
                    k += 1;
                    thread::sleep(ms(10));
                }
                let last_request = last_request_after(&w1, published);
                // The configuration is checked every 50 ms; the complete list follows at once.
                let limit = if let NewRegistryDown(span) = concurrent { ms(span + 400) } else { ms(600) };
                assert!(last_request < limit, "{concurrent:?}: {last_request:?}");
                process.signal("-TERM");
                assert!(process.wait_for_exit(ms(6000)).0.success(), "{concurrent:?}");
            });
        }
    });
}
