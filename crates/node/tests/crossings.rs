//! What is owed in the instant in which something ends, each crossing forced on sockets (docs/service.md has the table).

mod platform;

use platform::*;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError, mpsc};
use std::thread;
use std::time::{Duration, Instant};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

const CLOSE: &str = "Connection: close\r\n";

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// All that comes until the connection ends, and whether it ended in good order.
fn rest(stream: &mut TcpStream) -> (String, bool) {
    let mut out = Vec::new();
    let good = stream.read_to_end(&mut out).is_ok();
    (String::from_utf8_lossy(&out).into_owned(), good)
}

/// Takes the one worker for so long: nothing that is due there happens meanwhile.
fn takes_the_core(span: Duration) {
    tulipstall_net::spawn(move || {
        let until = Instant::now() + span;
        while Instant::now() < until {
            std::hint::black_box(0);
        }
    });
}

/// Whether it is a whole stream, or says that it is harmless to ask again.
fn answered(answer: &str, id: &str) -> bool {
    is_complete_stream(answer, id) || answer.starts_with("HTTP/1.1 503")
}

/// A stop finds requests at every point before they are whole. Each that becomes whole on a connection that was there
/// has its answer: what does in the time in which all is taken is served, later ones are told at once to ask again.
#[test]
fn a_stop_loses_no_request_that_is_not_whole_yet() {
    let p = start_platform(512);
    let address = p.node.address();
    // When the connection comes up, the first bytes and the last come, in ms from the stop on (less than 0: before it);
    // how many bytes come first; whether it is served.
    let cases: [(&str, i64, i64, i64, usize, bool); 8] = [
        ("half before, half after the listener closed", -100, -50, 700, 60, false),
        ("half before, half while all is taken", -100, -50, 250, 60, true),
        ("a byte before, the rest much later", -100, -50, 1800, 1, false),
        ("all but a byte of the body", -100, 300, 900, usize::MAX, false),
        ("a new connection that asks while all is taken", 100, 120, 130, 60, true),
        ("a new connection that asks right after the listener closed", 420, 500, 510, 60, false),
        ("a new connection that begins right before and ends later", 420, 440, 1200, 60, false),
        ("whole in the last moment", 300, 400, 405, 60, true),
    ];
    let from = Instant::now() + ms(300);
    let at = |after: i64| if after < 0 { from - ms(-after as u64) } else { from + ms(after as u64) };
    let answers: Vec<_> = thread::scope(|scope| {
        let asks = cases.iter().enumerate().map(|(i, (name, up, first, last, bytes, served))| {
            scope.spawn(move || {
                let id = format!("half{i}");
                let text = request_text(&id, "");
                sleep_until(at(*up));
                let mut stream = connect(address);
                let _ = stream.set_nodelay(true);
                sleep_until(at(*first));
                let (before, after) = text.as_bytes().split_at((*bytes).min(text.len() - 1));
                let sent = stream.write_all(before).is_ok();
                sleep_until(at(*last));
                let sent = sent && stream.write_all(after).is_ok();
                let asked = Instant::now();
                let (answer, good) = rest(&mut stream);
                (*name, id, *served, sent && good, answer, asked.elapsed())
            })
        });
        let asks: Vec<_> = asks.collect();
        sleep_until(from);
        p.node.stop();
        asks.into_iter().map(|ask| ask.join().expect("no panic")).collect()
    });
    for (name, id, served, good, answer, took) in answers {
        assert!(good && answered(&answer, &id), "{name}: {good} {answer:?}");
        assert!(is_complete_stream(&answer, &id) == served, "{name}: {answer:?}");
        assert!(took < ms(400), "{name}: {took:?}");
    }
    assert!(from.elapsed() < ms(3000), "the stop waits for nobody else: {:?}", from.elapsed());
}

/// A stop closes the listener while the core is taken by others: what the system had accepted until then is answered.
#[test]
fn a_stop_answers_what_the_system_had_accepted() {
    let p = start_platform(512);
    let address = p.node.address();
    let from = Instant::now();
    let answers: Vec<(String, String, bool)> = thread::scope(|scope| {
        let asks = (0..40).map(|i| {
            scope.spawn(move || {
                let id = format!("queue{i:02}");
                // Before the listener closes, 450 ms after the stop; nobody accepts from 350 ms to 700 ms.
                sleep_until(from + ms(380 + i));
                let mut stream = connect(address);
                let _ = stream.write_all(request_text(&id, CLOSE).as_bytes());
                let (answer, good) = rest(&mut stream);
                (id, answer, good)
            })
        });
        let asks: Vec<_> = asks.collect();
        let stops = scope.spawn(|| p.node.stop());
        sleep_until(from + ms(350));
        takes_the_core(ms(350));
        let answers = asks.into_iter().map(|ask| ask.join().expect("no panic")).collect();
        stops.join().expect("no panic");
        answers
    });
    for (id, answer, good) in answers {
        assert!(good && answered(&answer, &id), "{id}: {good} {answer:?}");
    }
    assert!(TcpStream::connect(address).is_err(), "closed behind them");
}

/// A client has sent part of its next request while it waits for an answer: the answer is not cut off, and the next
/// request has its time from there on.
#[test]
fn an_answer_is_not_cut_off_by_part_of_the_next_request() {
    let p = start_platform(256);
    // Pauses of the first answer; when the rest of the next request comes, if at all.
    for (i, (pause, rest_at)) in
        [(3000, Some(3300)), (2600, None), (1000, Some(2500))].into_iter().enumerate()
    {
        let (first, next) = (format!("part{i}a"), format!("part{i}b"));
        p.w1.script_replies(&[ScriptedReply::PauseMs(pause)]);
        let mut stream = connect(p.node.address());
        let text = request_text(&next, CLOSE);
        let (before, after) = text.split_at(40);
        let from = Instant::now();
        stream.write_all((request_text(&first, "") + before).as_bytes()).expect("a request and a part");
        let mut late = stream.try_clone().expect("a second hold");
        let after = after.to_owned();
        let writes = thread::spawn(move || {
            if let Some(at) = rest_at {
                sleep_until(from + ms(at));
                let _ = late.write_all(after.as_bytes());
            }
        });
        let (answer, _) = rest(&mut stream);
        writes.join().expect("no panic");
        let end = answer.find("0\r\n\r\n").map_or(0, |at| at + 5);
        assert!(is_complete_stream(&answer[..end], &first), "{first}: {answer}");
        match rest_at {
            Some(_) => assert!(is_complete_stream(&answer[end..], &next), "{next}: {answer}"),
            // Nothing more comes of it: it ends in the time that a request may take.
            None => assert!(from.elapsed() < ms(pause + 2600), "{:?}", from.elapsed()),
        }
    }
}

/// A host that goes from the list under a stream that has stopped: its client waits for what such hosts have, not for
/// what listed ones have, whichever is told when the wait has begun already.
#[test]
fn a_stream_of_a_host_that_goes_meanwhile_ends_sooner() {
    for (name, tells_after) in [("before the wait", 0), ("in the wait", 500)] {
        let p = start_platform(256);
        p.w1.script_replies(&[ScriptedReply::PauseMs(20_000)]);
        let mut stream = connect(p.node.address());
        stream.write_all(request_text("goes", "").as_bytes()).expect("a call");
        let mut head = [0; 16];
        stream.read_exact(&mut head).expect("it begins");
        let from = Instant::now();
        thread::sleep(ms(tells_after));
        let at = if p.w1.calls().is_empty() { &p.w2 } else { &p.w1 };
        p.registry.publish(registry_line(at, "left"));
        let (answer, _) = rest(&mut stream);
        let took = from.elapsed();
        assert!(!answer.ends_with("0\r\n\r\n"), "{name}: {answer}");
        assert!((ms(1900)..ms(tells_after + 2700)).contains(&took), "{name}: {took:?}");
    }
}

/// Where clients may not be told when to come back nobody tells them, whoever refuses.
#[test]
fn advice_is_given_where_it_may_be_and_no_longer_than_clients_take() {
    let _exclusive = EXCLUSIVE.lock().unwrap_or_else(PoisonError::into_inner);
    for (told, advised) in [
        ("\"RetryAfter\":false,\"MaxRetryAfterUs\":1000000", None),
        ("\"MaxRetryAfterUs\":1000000", None),
        ("\"RetryAfter\":true,\"MaxRetryAfterUs\":100000", Some(0.1)),
        ("\"RetryAfter\":true,\"MaxRetryAfterUs\":1000000", Some(0.3)),
    ] {
        let script = Script::default();
        let (r1, w1) = (Host::start("r1", &script), Host::start("w1", &script));
        let registry = Registry::start(&[&r1, &w1]);
        // Room for eight sockets: three requests at once.
        let config = config(&registry, 32, 1);
        let node = start_node_with(&config.replace("\"RetryAfter\":true,\"MaxRetryAfterUs\":1000000", told));
        script.lock().expect("no panic").extend([ScriptedReply::NoAnswer; 8]);
        let mut answers = Vec::new();
        let mut held = Vec::new();
        for i in 0..4 {
            let mut stream = connect(node.address());
            let _ = stream.write_all(request_text(&format!("many{i}"), "").as_bytes());
            thread::sleep(ms(30));
            held.push(stream);
        }
        answers.push(("too many", rest(&mut held[3]).0));
        let mut late = connect(node.address());
        let text = request_text("late", "");
        let _ = late.write_all(&text.as_bytes()[..50]);
        let stops = thread::spawn(move || {
            node.stop();
            node
        });
        thread::sleep(ms(700));
        let _ = late.write_all(&text.as_bytes()[50..]);
        answers.push(("stopping", rest(&mut late).0));
        for (name, answer) in answers {
            let after = answer.lines().find_map(|line| line.strip_prefix("Retry-After: "));
            let after: Option<f64> = after.map(|text| text.parse().expect("a number"));
            assert!(answer.starts_with("HTTP/1.1 503"), "{name}: {answer}");
            assert_eq!(after.is_some(), advised.is_some(), "{told}, {name}: {answer}");
            assert!(after.unwrap_or(0.0) <= advised.unwrap_or(0.0) + 1e-6, "{told}, {name}: {answer}");
        }
        drop(held);
        drop(stops.join().expect("no panic"));
    }
}

/// Every event is passed on as it comes: whatever its host writes at once or in pieces, however many streams there are,
/// and whoever does not read beside them.
#[test]
fn events_are_passed_on_as_they_come() {
    let p = start_platform(1024);
    let address: SocketAddr = p.node.address();
    // A client that never reads, its host's stream far larger than what the sockets between them hold.
    p.w1.script_replies(&[ScriptedReply::ManyEvents(60_000)]);
    let mut slow = connect(address);
    slow.write_all(request_text("slow", "").as_bytes()).expect("a call");
    thread::sleep(ms(200));
    let streams = 100;
    let wrote = [EventFraming::OnePerChunk, EventFraming::SmallPieces, EventFraming::TwoPerChunk];
    p.w1.script_replies(
        &(0..streams).map(|i| ScriptedReply::TimedEvents(40, 30, wrote[i % 3])).collect::<Vec<_>>(),
    );
    let (results, all) = mpsc::channel();
    for i in 0..streams {
        let results = results.clone();
        thread::spawn(move || {
            thread::sleep(ms(i as u64 * 2));
            let id = format!("timed{i:03}");
            let mut stream = connect(address);
            let _ = stream.write_all(request_text(&id, CLOSE).as_bytes());
            let (mut answer, mut buffer, mut late, mut lumps) = (Vec::new(), [0; 16_384], 0, 0);
            while let Ok(got) = stream.read(&mut buffer) {
                if got == 0 {
                    break;
                }
                let now = micros();
                let text = String::from_utf8_lossy(&buffer[..got]).into_owned();
                answer.extend_from_slice(&buffer[..got]);
                let times: Vec<u64> = text
                    .split("at ")
                    .skip(1)
                    .filter_map(|rest| rest.split_once(' ')?.0.parse().ok())
                    .collect();
                late = times.iter().map(|at| now.saturating_sub(*at)).fold(late, u64::max);
                let apart: std::collections::BTreeSet<u64> = times.into_iter().collect();
                lumps += apart.len().saturating_sub(1);
            }
            let answer = String::from_utf8_lossy(&answer).into_owned();
            let events = answer.matches("data:").count();
            let _ = results.send((id, events, answer.ends_with("0\r\n\r\n"), late, lumps));
        });
    }
    drop(results);
    let all: Vec<_> = all.iter().collect();
    let late = all.iter().map(|(_, _, _, late, _)| *late).max().unwrap_or(u64::MAX);
    let lumps: usize = all.iter().map(|(.., lumps)| lumps).sum();
    println!(
        "the latest of {} events came {late} us after it was written; {lumps} came with one before",
        40 * streams
    );
    // Which stream a client got is the hosts' affair.
    let many =
        |wanted: usize| all.iter().filter(|(_, events, ended, ..)| *ended && *events == wanted).count();
    assert_eq!((many(41), many(81)), (streams - streams / 3, streams / 3), "whole streams, by their events");
    assert_eq!(all.len(), streams);
    assert!(late < 300_000, "{late} us");
    // A stream in twenty may be late by the platform's word; here hardly an event in twenty may wait for the next.
    assert!(lumps < 40 * streams / 20, "{lumps} lumped");
}

/// A client that ends only its sending has left, as the platform has it: its connection ends, and nothing begins later.
#[test]
fn a_client_that_ends_its_sending_has_left() {
    let p = start_platform(256);
    p.r1.script_replies(&[ScriptedReply::DisconnectAfterMs(400)]);
    let mut stream = connect(p.node.address());
    stream.write_all(request_text("ends", "").as_bytes()).expect("a call");
    thread::sleep(ms(100));
    stream.shutdown(Shutdown::Write).expect("a half close");
    let from = Instant::now();
    let (answer, _) = rest(&mut stream);
    assert!(answer.is_empty() && from.elapsed() < ms(300), "{answer} {:?}", from.elapsed());
    thread::sleep(ms(800));
    let posts = |host: &Host| host.calls().iter().filter(|(call, ..)| call.starts_with("POST")).count();
    assert_eq!((posts(&p.r1), posts(&p.w1) + posts(&p.w2)), (1, 0));
}

/// Two customers in one process, names that are words of the house or the protocol, of other scripts, or parts of each
/// other: each request has the class, the deadline and the effect of its own.
#[test]
fn nothing_of_one_customer_reaches_another() {
    let _exclusive = EXCLUSIVE.lock().unwrap_or_else(PoisonError::into_inner);
    let class = |name: &str, stop_ms: u64, effect: &str| {
        format!(
            "{{\"Name\":\"{name}\",\"TargetUs\":400000,\"HardLimitUs\":{},\"Idempotency\":\"{effect}\",\"Group\":\"all\",\"WindowUs\":5000000}}",
            stop_ms * 1000
        )
    };
    let start = |classes: &[String], customers: &[&str]| {
        let script = Script::default();
        let (r1, w1, w2) =
            (Host::start("r1", &script), Host::start("w1", &script), Host::start("w2", &script));
        let registry = Registry::start(&[&r1, &w1, &w2]);
        let accounts: Vec<String> =
            customers.iter().map(|name| format!("{{\"Name\":\"{name}\",\"Share\":0.5}}")).collect();
        let told = config(&registry, 256, 1);
        let (head, _) = told.split_once("\"Profiles\":").expect("classes");
        let config =
            format!("{head}\"Accounts\":[{}],\"Profiles\":[{}]}}}}", accounts.join(","), classes.join(","));
        (start_node_with(&config), script, w1, w2)
    };
    // The same names in another order, with other effects and deadlines.
    let one = start(
        &[class("pure", 800, "side_effect"), class("token", 2000, "pure"), class("chat", 600, "pure")],
        &["säge", "säge-süd", "token"],
    );
    let two = start(
        &[
            class("chat", 2000, "side_effect"),
            class("pure", 600, "pure"),
            class("chat-2", 800, "side_effect"),
        ],
        &["token", "chat", "säge"],
    );
    let ask_as = |node: &tulipstall_node::Node, id: &str, class: &str, org: &str| {
        let text =
            request_text(id, CLOSE).replace("X-Lane: chat", &format!("X-Lane: {class}\r\nX-Org: {org}"));
        let from = Instant::now();
        (exchange(node.address(), &text), from.elapsed())
    };
    for (round, org) in ["säge", "säge-süd", "token", "nobody's"].into_iter().enumerate() {
        for (n, (node, script, w1, w2), classes) in [
            (1, &one, [("pure", 800, false), ("token", 2000, true), ("chat", 600, true)]),
            (2, &two, [("chat", 2000, false), ("pure", 600, true), ("chat-2", 800, false)]),
        ]
        .map(|(n, node, classes)| (n, node, classes))
        {
            for (class, stop, repeats) in classes {
                let id = format!("c{n}{class}{round}");
                let (answer, _) = ask_as(node, &id, class, org);
                assert!(is_complete_stream(&answer, &id), "{n} {class} {org}: {answer}");
                // Its writer breaks: it is repeated where its own effect allows that, and has one answer.
                script
                    .lock()
                    .expect("no panic")
                    .extend([ScriptedReply::Prefixed(""), ScriptedReply::Disconnect]);
                let id = format!("b{n}{class}{round}");
                let (answer, _) = ask_as(node, &id, class, org);
                assert!(
                    if repeats {
                        is_complete_stream(&answer, &id)
                    } else {
                        answer.starts_with("HTTP/1.1 500")
                    },
                    "{n} {class} {org}: {answer}"
                );
                let sent: Vec<_> = [w1, w2].into_iter().flat_map(|host| host.calls()).collect();
                let sent = sent.iter().filter(|(call, by, _)| call.starts_with("POST") && *by == id).count();
                assert_eq!(sent, 1 + usize::from(repeats), "{n} {class} {org}");
                // Nobody answers: it has its answer by its own deadline.
                if round == 0 {
                    script.lock().expect("no panic").extend([ScriptedReply::NoAnswer; 12]);
                    let (answer, took) = ask_as(node, &format!("s{n}{class}{round}"), class, org);
                    assert!(answer.starts_with("HTTP/1.1 50"), "{n} {class}: {answer}");
                    assert!(took < ms(stop + 100), "{n} {class} {org}: {took:?}");
                    script.lock().expect("no panic").clear();
                    // Suspicion fades, and credit is earned again.
                    for i in 0..60 {
                        let _ = ask_as(node, &format!("w{n}{class}{i}"), class, org);
                        thread::sleep(ms(20));
                    }
                }
            }
            // Nobody else's class.
            let other = if n == 1 { "chat-2" } else { "token" };
            assert!(
                ask_as(node, &format!("o{n}{round}"), other, org).0.starts_with("HTTP/1.1 400"),
                "{n} {other}"
            );
        }
    }
}

/// A release meets hosts that answer it with rubbish, an error, or not at all, and a list without any host that may be
/// told: the state is let go of in time by whoever answers next.
#[test]
fn a_release_outlasts_whoever_does_not_answer_it() {
    let _exclusive = EXCLUSIVE.lock().unwrap_or_else(PoisonError::into_inner);
    let script = Script::default();
    let (r1, w1) = (Host::start("r1", &script), Host::start("w1", &Script::default()));
    let registry = Registry::start(&[&r1, &w1]);
    let node = start_node(&registry, 256);
    assert!(is_complete_stream(&exchange(node.address(), &request_text("warm", CLOSE)), "warm"));
    // The client leaves as its read ends; in that moment no host on the list runs.
    w1.script_replies(&[ScriptedReply::NoAnswer]);
    let mut stream = connect(node.address());
    stream.write_all(request_text("held", "").as_bytes()).expect("a call");
    thread::sleep(ms(100));
    registry.publish([registry_line(&r1, "leaving"), registry_line(&w1, "leaving")].join(","));
    thread::sleep(ms(100));
    drop(stream);
    let from = Instant::now();
    thread::sleep(ms(300));
    registry.publish([registry_line(&r1, "active"), registry_line(&w1, "active")].join(","));
    thread::sleep(ms(900));
    let told = |host: &Host| {
        host.calls().into_iter().find(|(call, ..)| call.starts_with("DELETE") && call.ends_with("/held"))
    };
    let at = [&r1, &w1].into_iter().filter_map(told).map(|(.., at)| at).min();
    let took = at.map(|at| at.saturating_duration_since(from));
    assert!(took.is_some_and(|took| took < ms(1000)), "let go of after {took:?}");
    drop(Arc::new(node));
}

/// A key by which hosts know repeats goes with every attempt as it came, to readers and writers alike; two are none.
#[test]
fn a_key_goes_with_every_attempt() {
    let p = start_platform(256);
    let address = p.node.address();
    for (i, key) in
        [Some("55eea92578f58952cd886e01772b8d3e"), Some("\"a b; c\""), None].into_iter().enumerate()
    {
        p.w1.script_replies(&[ScriptedReply::Disconnect]);
        let id = format!("keyed{i}");
        let more = key.map_or(String::new(), |key| format!("Idempotency-Key: {key}\r\n"));
        let answer = exchange(address, &request_text(&id, &(more + CLOSE)));
        assert!(is_complete_stream(&answer, &id), "{answer}");
        for (hosts, attempts) in [(&[&p.r1][..], 1), (&[&p.w1, &p.w2], 2)] {
            let seen = hosts
                .iter()
                .flat_map(|host| host.received.lock().expect("no panic").idempotency_keys.clone());
            let keys: Vec<_> = seen.filter(|(by, _)| *by == id).map(|(_, key)| key).collect();
            assert!(
                keys.len() >= attempts && keys.iter().all(|seen| seen.as_deref() == key),
                "{id}: {keys:?}"
            );
        }
    }
    let two = request_text("two", "Idempotency-Key: a\r\nIdempotency-Key: b\r\n");
    assert!(exchange(address, &two).starts_with("HTTP/1.1 400"));
}

/// Processes that all lose a registry which takes few new calls at once, where lists are asked for: none is refused for
/// long, as whoever is refused or not heard presses less and less, and what drains then is heard by all.
#[test]
fn a_registry_that_refuses_is_not_pressed_until_it_refuses_all() {
    let _exclusive = EXCLUSIVE.lock().unwrap_or_else(PoisonError::into_inner);
    const PROCESSES: usize = 24;
    const TAKES: usize = 12;
    let script = Script::default();
    let (r1, w1, w2) = (Host::start("r1", &script), Host::start("w1", &script), Host::start("w2", &script));
    let registry = Registry::start(&[&r1, &w1, &w2]);
    let known = format!(
        "\"known\":{{\"seq\":1,\"whole\":true,\"hosts\":[{}]}},\"settings\":{{",
        [&r1, &w1, &w2].map(|host| registry_line(host, "active")).join(",")
    );
    let nodes: Vec<_> = (0..PROCESSES)
        .map(|me| {
            let told = config(&registry, 4096, PROCESSES)
                .replace("8c1f30d27a5be964", &format!("{:016x}", me * 77 + 5));
            let told = told.replace("\"settings\":{", &format!("{known}\"RegistryMode\":\"on_request\","));
            tulipstall_node::Node::start(
                &tulipstall_platform::start::Start::read(&told).expect("a configuration"),
            )
            .expect("a node")
        })
        .collect();
    thread::sleep(ms(1500));
    // All watches end at once, and what follows is bounded.
    registry.max_new_calls_per_s.store(TAKES, Ordering::SeqCst);
    registry.new_calls.lock().expect("no panic").clear();
    registry.script.lock().expect("no panic").extend([RegistryFault::Disconnect; PROCESSES]);
    let lost = Instant::now();
    thread::sleep(ms(8000));
    let calls = registry.new_calls.lock().expect("no panic").clone();
    let taken = calls.iter().filter(|(_, taken)| *taken).count();
    let refused = calls.len() - taken;
    println!("{} calls taken, {} refused in 8 s", taken, refused);
    assert!(taken >= PROCESSES && calls.len() < 6 * PROCESSES, "{} taken, {} refused", taken, refused);
    // Whoever was refused is heard of again: nothing is asked anew any more.
    registry.publish(registry_line(&w1, "leaving"));
    thread::sleep(ms(300));
    for (me, node) in nodes.iter().enumerate() {
        for i in 0..8 {
            let id = format!("heard{me}x{i}");
            assert!(is_complete_stream(&exchange(node.address(), &request_text(&id, CLOSE)), &id), "{id}");
        }
    }
    let late =
        w1.calls().into_iter().filter(|(call, id, _)| call.starts_with("POST") && id.starts_with("heard"));
    assert_eq!(
        late.count(),
        0,
        "sent to a host that drains, {:?} after the watches were lost",
        lost.elapsed()
    );
}

/// An id that somebody else's request has, or had: what may have run for it is not sent again, nor is it said that asking
/// again is harmless, also while the process stops.
#[test]
fn nobody_else_asks_by_an_id_that_was_taken() {
    let _exclusive = EXCLUSIVE.lock().unwrap_or_else(PoisonError::into_inner);
    for stops in [false, true] {
        let script = Script::default();
        let (r1, w1) = (Host::start("r1", &Script::default()), Host::start("w1", &script));
        let registry = Registry::start(&[&r1, &w1]);
        let told =
            config(&registry, 256, 1).replace("\"Idempotency\":\"pure\"", "\"Idempotency\":\"side_effect\"");
        let node = Arc::new(start_node_with(&told));
        let address = node.address();
        let posts =
            || w1.calls().iter().filter(|(call, id, _)| call.starts_with("POST") && id == "taken").count();
        // Its writer has it and says nothing; another asks by its id, over a connection that is there already.
        script.lock().expect("no panic").push_back(ScriptedReply::NoAnswer);
        let mut first = connect(address);
        first.write_all(request_text("taken", "").as_bytes()).expect("a call");
        let text = request_text("taken", CLOSE);
        let mut other = connect(address);
        other.write_all(&text.as_bytes()[..40]).expect("a part");
        thread::sleep(ms(100));
        assert_eq!(posts(), 1);
        let about = node.clone();
        let stopping = stops.then(|| thread::spawn(move || about.stop()));
        thread::sleep(ms(if stops { 700 } else { 50 }));
        other.write_all(&text.as_bytes()[40..]).expect("the rest");
        let (answer, _) = rest(&mut other);
        assert!(answer.starts_with("HTTP/1.1 409"), "in hand, stops {stops}: {answer}");
        if !stops {
            // Its client has left; its writer may still be at it.
            drop(first);
            thread::sleep(ms(200));
            let answer = exchange(address, &text);
            assert!(answer.starts_with("HTTP/1.1 409"), "left: {answer}");
            // One that was answered whole.
            assert!(is_complete_stream(&exchange(address, &request_text("ended", CLOSE)), "ended"));
            assert!(exchange(address, &request_text("ended", CLOSE)).starts_with("HTTP/1.1 409"));
        }
        assert_eq!(posts(), 1, "stops {stops}");
        if let Some(stopping) = stopping {
            stopping.join().expect("no panic");
        }
    }
}
