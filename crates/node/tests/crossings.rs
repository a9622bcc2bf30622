//! Races between the end of something (a process, connection, host or watch) and a request that is in progress at that
//! moment, each provoked over sockets (docs/service.md lists them).

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

/// Everything received until the connection ends, and whether it ended without an error.
fn read_to_end_of_connection(stream: &mut TcpStream) -> (String, bool) {
    let mut out = Vec::new();
    let closed_cleanly = stream.read_to_end(&mut out).is_ok();
    (String::from_utf8_lossy(&out).into_owned(), closed_cleanly)
}

/// Occupies the only worker thread for this time: no other coroutine runs meanwhile.
fn occupy_core(span: Duration) {
    tulipstall_net::spawn(move || {
        let until = Instant::now() + span;
        while Instant::now() < until {
            std::hint::black_box(0);
        }
    });
}

/// Whether the answer is a complete stream or a rejection that can be retried safely.
fn is_complete_or_rejected(answer: &str, id: &str) -> bool {
    is_complete_stream(answer, id) || answer.starts_with("HTTP/1.1 503")
}

/// A stop begins while requests are partly received. A request on an open connection that becomes complete while the
/// dispatcher still accepts requests is served; a later one is rejected at once. Without this, such requests get no
/// answer.
#[test]
fn a_stop_loses_no_partly_received_request() {
    let p = start_platform(512);
    let address = p.node.address();
    // When the connection opens, the first bytes are sent and the rest is sent, in ms after the stop (negative: before it);
    // the number of bytes sent first; whether the request is served.
    let cases: [(&str, i64, i64, i64, usize, bool); 8] = [
        ("half before the stop, half after the listener closed", -100, -50, 700, 60, false),
        ("half before the stop, half while requests are accepted", -100, -50, 250, 60, true),
        ("one byte before the stop, the rest much later", -100, -50, 1800, 1, false),
        ("all but the last byte while requests are accepted", -100, 300, 900, usize::MAX, false),
        ("a new connection and request while requests are accepted", 100, 120, 130, 60, true),
        ("a new connection that sends right after the listener closed", 420, 500, 510, 60, false),
        (
            "a new connection that starts its request right before and ends it later",
            420,
            440,
            1200,
            60,
            false,
        ),
        ("complete at the last moment", 300, 400, 405, 60, true),
    ];
    let from = Instant::now() + ms(300);
    let at = |after: i64| if after < 0 { from - ms(-after as u64) } else { from + ms(after as u64) };
    let answers: Vec<_> = thread::scope(|scope| {
        let clients =
            cases.iter().enumerate().map(|(i, (name, opens_at, first_at, last_at, split_at, served))| {
                scope.spawn(move || {
                    let id = format!("half{i}");
                    let text = request_text(&id, "");
                    sleep_until(at(*opens_at));
                    let mut stream = connect(address);
                    let _ = stream.set_nodelay(true);
                    sleep_until(at(*first_at));
                    let (before, after) = text.as_bytes().split_at((*split_at).min(text.len() - 1));
                    let sent = stream.write_all(before).is_ok();
                    sleep_until(at(*last_at));
                    let sent = sent && stream.write_all(after).is_ok();
                    let sent_at = Instant::now();
                    let (answer, closed_cleanly) = read_to_end_of_connection(&mut stream);
                    (*name, id, *served, sent && closed_cleanly, answer, sent_at.elapsed())
                })
            });
        let clients: Vec<_> = clients.collect();
        sleep_until(from);
        p.node.stop();
        clients.into_iter().map(|client| client.join().expect("no panic")).collect()
    });
    for (name, id, served, closed_cleanly, answer, took) in answers {
        assert!(
            closed_cleanly && is_complete_or_rejected(&answer, &id),
            "{name}: {closed_cleanly} {answer:?}"
        );
        assert!(is_complete_stream(&answer, &id) == served, "{name}: {answer:?}");
        assert!(took < ms(400), "{name}: {took:?}");
    }
    assert!(from.elapsed() < ms(3000), "the stop took too long: {:?}", from.elapsed());
}

/// A stop closes the listener while other work occupies the core. Without a last look at the accept queue, connections that
/// the system had accepted are closed without an answer.
#[test]
fn a_stop_answers_what_the_system_had_accepted() {
    let p = start_platform(512);
    let address = p.node.address();
    let from = Instant::now();
    let answers: Vec<(String, String, bool)> = thread::scope(|scope| {
        let clients = (0..40).map(|i| {
            scope.spawn(move || {
                let id = format!("queue{i:02}");
                // Before the listener closes, 450 ms after the stop; the dispatcher accepts nothing from 350 ms to 950 ms.
                sleep_until(from + ms(380 + i));
                let mut stream = connect(address);
                let _ = stream.write_all(request_text(&id, CLOSE).as_bytes());
                let (answer, closed_cleanly) = read_to_end_of_connection(&mut stream);
                (id, answer, closed_cleanly)
            })
        });
        let clients: Vec<_> = clients.collect();
        let stopping = scope.spawn(|| p.node.stop());
        sleep_until(from + ms(350));
        occupy_core(ms(600));
        let answers = clients.into_iter().map(|client| client.join().expect("no panic")).collect();
        stopping.join().expect("no panic");
        answers
    });
    for (id, answer, closed_cleanly) in answers {
        assert!(closed_cleanly && is_complete_or_rejected(&answer, &id), "{id}: {closed_cleanly} {answer:?}");
    }
    assert!(TcpStream::connect(address).is_err(), "the listener still accepts connections");
}

/// A client sends part of its next request while it waits for an answer. Without this, the time limit of the incomplete
/// request cuts the answer off. The limit of the next request starts at the end of the answer.
#[test]
fn an_answer_is_not_cut_off_by_part_of_the_next_request() {
    let p = start_platform(256);
    // Pause within the first answer in ms; when the rest of the next request is sent, if at all.
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
        let mut writer = stream.try_clone().expect("a second handle");
        let after = after.to_owned();
        let writes = thread::spawn(move || {
            if let Some(at) = rest_at {
                sleep_until(from + ms(at));
                let _ = writer.write_all(after.as_bytes());
            }
        });
        let (answer, _) = read_to_end_of_connection(&mut stream);
        writes.join().expect("no panic");
        let end = answer.find("0\r\n\r\n").map_or(0, |at| at + 5);
        assert!(is_complete_stream(&answer[..end], &first), "{first}: {answer}");
        match rest_at {
            Some(_) => assert!(is_complete_stream(&answer[end..], &next), "{next}: {answer}"),
            // The rest is never sent: the connection ends after the time limit of a request.
            None => assert!(from.elapsed() < ms(pause + 2600), "{:?}", from.elapsed()),
        }
    }
}

/// A host leaves the list while its stream is stalled. The client waits only for the shorter time limit of unlisted hosts,
/// also if the host leaves when the wait has already begun. Without this, clients wait too long for hosts that are gone.
#[test]
fn a_stalled_stream_ends_sooner_when_its_host_leaves_the_list() {
    for (name, publish_after_ms) in [("before the wait", 0), ("in the wait", 500)] {
        let p = start_platform(256);
        p.w1.script_replies(&[ScriptedReply::PauseMs(20_000)]);
        let mut stream = connect(p.node.address());
        stream.write_all(request_text("goes", "").as_bytes()).expect("a call");
        let mut head = [0; 16];
        stream.read_exact(&mut head).expect("the head of the answer");
        let from = Instant::now();
        thread::sleep(ms(publish_after_ms));
        let host = if p.w1.calls().is_empty() { &p.w2 } else { &p.w1 };
        p.registry.publish(registry_line(host, "left"));
        let (answer, _) = read_to_end_of_connection(&mut stream);
        let took = from.elapsed();
        assert!(!answer.ends_with("0\r\n\r\n"), "{name}: {answer}");
        assert!((ms(1900)..ms(publish_after_ms + 2700)).contains(&took), "{name}: {took:?}");
    }
}

/// Retry advice is given only where the configuration permits it, within the permitted maximum, by every place that rejects
/// requests.
#[test]
fn retry_advice_keeps_to_the_permissions() {
    let _exclusive = EXCLUSIVE.lock().unwrap_or_else(PoisonError::into_inner);
    for (permissions, max_advice_s) in [
        ("\"RetryAfter\":false,\"MaxRetryAfterUs\":1000000", None),
        ("\"MaxRetryAfterUs\":1000000", None),
        ("\"RetryAfter\":true,\"MaxRetryAfterUs\":100000", Some(0.1)),
        ("\"RetryAfter\":true,\"MaxRetryAfterUs\":1000000", Some(0.3)),
    ] {
        let script = Script::default();
        let (r1, w1) = (Host::start("r1", &script), Host::start("w1", &script));
        let registry = Registry::start(&[&r1, &w1]);
        // Eight sockets remain for clients: three requests at a time.
        let config = config(&registry, 32, 1);
        let node =
            start_node_with(&config.replace("\"RetryAfter\":true,\"MaxRetryAfterUs\":1000000", permissions));
        script.lock().expect("no panic").extend([ScriptedReply::NoAnswer; 8]);
        let mut answers = Vec::new();
        let mut connections = Vec::new();
        for i in 0..4 {
            let mut stream = connect(node.address());
            let _ = stream.write_all(request_text(&format!("many{i}"), "").as_bytes());
            thread::sleep(ms(30));
            connections.push(stream);
        }
        answers.push(("too many", read_to_end_of_connection(&mut connections[3]).0));
        let mut late = connect(node.address());
        let text = request_text("late", "");
        let _ = late.write_all(&text.as_bytes()[..50]);
        let stopping = thread::spawn(move || {
            node.stop();
            node
        });
        thread::sleep(ms(700));
        let _ = late.write_all(&text.as_bytes()[50..]);
        answers.push(("stopping", read_to_end_of_connection(&mut late).0));
        for (name, answer) in answers {
            let retry_after = answer.lines().find_map(|line| line.strip_prefix("Retry-After: "));
            let retry_after: Option<f64> = retry_after.map(|text| text.parse().expect("a number"));
            assert!(answer.starts_with("HTTP/1.1 503"), "{name}: {answer}");
            assert_eq!(retry_after.is_some(), max_advice_s.is_some(), "{permissions}, {name}: {answer}");
            assert!(
                retry_after.unwrap_or(0.0) <= max_advice_s.unwrap_or(0.0) + 1e-6,
                "{permissions}, {name}: {answer}"
            );
        }
        drop(connections);
        drop(stopping.join().expect("no panic"));
    }
}

/// Every event is forwarded as it arrives, whether its host writes it whole or in pieces, with many streams open and with a
/// client that does not read. Without this, events are delayed or sent together with later ones.
#[test]
fn events_are_forwarded_as_they_arrive() {
    let p = start_platform(1024);
    let address: SocketAddr = p.node.address();
    // A client that never reads, with a stream far larger than the socket buffers on the way.
    p.w1.script_replies(&[ScriptedReply::ManyEvents(60_000)]);
    let mut slow = connect(address);
    slow.write_all(request_text("slow", "").as_bytes()).expect("a call");
    thread::sleep(ms(200));
    let streams = 100;
    let framings = [EventFraming::OnePerChunk, EventFraming::SmallPieces, EventFraming::TwoPerChunk];
    p.w1.script_replies(
        &(0..streams).map(|i| ScriptedReply::TimedEvents(40, 30, framings[i % 3])).collect::<Vec<_>>(),
    );
    let (results, all_results) = mpsc::channel();
    for i in 0..streams {
        let results = results.clone();
        thread::spawn(move || {
            thread::sleep(ms(i as u64 * 2));
            let id = format!("timed{i:03}");
            let mut stream = connect(address);
            let _ = stream.write_all(request_text(&id, CLOSE).as_bytes());
            let (mut answer, mut buffer, mut latest_us, mut merged_events) = (Vec::new(), [0; 16_384], 0, 0);
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
                latest_us = times.iter().map(|at| now.saturating_sub(*at)).fold(latest_us, u64::max);
                let write_times: std::collections::BTreeSet<u64> = times.into_iter().collect();
                merged_events += write_times.len().saturating_sub(1);
            }
            let answer = String::from_utf8_lossy(&answer).into_owned();
            let events = answer.matches("data:").count();
            let _ = results.send((id, events, answer.ends_with("0\r\n\r\n"), latest_us, merged_events));
        });
    }
    drop(results);
    let all_results: Vec<_> = all_results.iter().collect();
    let latest_us = all_results.iter().map(|(_, _, _, latest_us, _)| *latest_us).max().unwrap_or(u64::MAX);
    let merged_events: usize = all_results.iter().map(|(.., merged_events)| merged_events).sum();
    println!(
        "the latest of {} events arrived {latest_us} us after it was written; {merged_events} arrived with an earlier one",
        40 * streams
    );
    // Which client gets which stream depends on the hosts, so only the totals are checked.
    let streams_with = |expected: usize| {
        all_results.iter().filter(|(_, events, ended, ..)| *ended && *events == expected).count()
    };
    assert_eq!(
        (streams_with(41), streams_with(81)),
        (streams - streams / 3, streams / 3),
        "complete streams, by their number of events"
    );
    assert_eq!(all_results.len(), streams);
    assert!(latest_us < 300_000, "{latest_us} us");
    // The platform allows one late stream in twenty; here fewer than one event in twenty may arrive with an earlier one.
    assert!(merged_events < 40 * streams / 20, "{merged_events} events arrived together with an earlier one");
}

/// A client that half-closes its connection counts as gone by the platform's rules: the connection is closed and no further
/// attempt begins. Without this, hosts compute answers for clients that have left.
#[test]
fn a_client_that_half_closes_its_connection_has_left() {
    let p = start_platform(256);
    p.r1.script_replies(&[ScriptedReply::DisconnectAfterMs(400)]);
    let mut stream = connect(p.node.address());
    stream.write_all(request_text("ends", "").as_bytes()).expect("a call");
    thread::sleep(ms(100));
    stream.shutdown(Shutdown::Write).expect("a half close");
    let from = Instant::now();
    let (answer, _) = read_to_end_of_connection(&mut stream);
    assert!(answer.is_empty() && from.elapsed() < ms(300), "{answer} {:?}", from.elapsed());
    thread::sleep(ms(800));
    let posts = |host: &Host| host.calls().iter().filter(|(call, ..)| call.starts_with("POST")).count();
    assert_eq!((posts(&p.r1), posts(&p.w1) + posts(&p.w2)), (1, 0));
}

/// Two dispatchers in one process, with names of classes and customers that are terms of the code or the protocol,
/// non-ASCII, or prefixes of each other. Each request must get the class, deadline and effect of its own configuration.
/// Without this, a mix-up of names applies another customer's settings.
#[test]
fn settings_of_one_customer_never_apply_to_another() {
    let _exclusive = EXCLUSIVE.lock().unwrap_or_else(PoisonError::into_inner);
    let class = |name: &str, deadline_ms: u64, effect: &str| {
        format!(
            "{{\"Name\":\"{name}\",\"TargetUs\":400000,\"HardLimitUs\":{},\"Idempotency\":\"{effect}\",\"Group\":\"all\",\"WindowUs\":5000000}}",
            deadline_ms * 1000
        )
    };
    let start = |classes: &[String], customers: &[&str]| {
        let script = Script::default();
        let (r1, w1, w2) =
            (Host::start("r1", &script), Host::start("w1", &script), Host::start("w2", &script));
        let registry = Registry::start(&[&r1, &w1, &w2]);
        let accounts: Vec<String> =
            customers.iter().map(|name| format!("{{\"Name\":\"{name}\",\"Share\":0.5}}")).collect();
        let defaults = config(&registry, 256, 1);
        let (head, _) = defaults.split_once("\"Profiles\":").expect("classes");
        let config =
            format!("{head}\"Accounts\":[{}],\"Profiles\":[{}]}}}}", accounts.join(","), classes.join(","));
        (start_node_with(&config), script, w1, w2)
    };
    // The same names in another order, with different effects and deadlines.
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
    let exchange_as = |node: &tulipstall_node::Node, id: &str, class: &str, org: &str| {
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
            for (class, deadline_ms, is_repeatable) in classes {
                let id = format!("c{n}{class}{round}");
                let (answer, _) = exchange_as(node, &id, class, org);
                assert!(is_complete_stream(&answer, &id), "{n} {class} {org}: {answer}");
                // The writer disconnects: the request is repeated only if its own effect permits it, and has one answer.
                script
                    .lock()
                    .expect("no panic")
                    .extend([ScriptedReply::Prefixed(""), ScriptedReply::Disconnect]);
                let id = format!("b{n}{class}{round}");
                let (answer, _) = exchange_as(node, &id, class, org);
                assert!(
                    if is_repeatable {
                        is_complete_stream(&answer, &id)
                    } else {
                        answer.starts_with("HTTP/1.1 500")
                    },
                    "{n} {class} {org}: {answer}"
                );
                let sent: Vec<_> = [w1, w2].into_iter().flat_map(|host| host.calls()).collect();
                let sent = sent
                    .iter()
                    .filter(|(call, request_id, _)| call.starts_with("POST") && *request_id == id)
                    .count();
                assert_eq!(sent, 1 + usize::from(is_repeatable), "{n} {class} {org}");
                // No host answers: the request is answered by its own deadline.
                if round == 0 {
                    script.lock().expect("no panic").extend([ScriptedReply::NoAnswer; 12]);
                    let (answer, took) = exchange_as(node, &format!("s{n}{class}{round}"), class, org);
                    assert!(answer.starts_with("HTTP/1.1 50"), "{n} {class}: {answer}");
                    assert!(took < ms(deadline_ms + 100), "{n} {class} {org}: {took:?}");
                    script.lock().expect("no panic").clear();
                    // Suspicion decays and retry budget builds up again.
                    for i in 0..60 {
                        let _ = exchange_as(node, &format!("w{n}{class}{i}"), class, org);
                        thread::sleep(ms(20));
                    }
                }
            }
            // A class that only the other dispatcher has.
            let other = if n == 1 { "chat-2" } else { "token" };
            assert!(
                exchange_as(node, &format!("o{n}{round}"), other, org).0.starts_with("HTTP/1.1 400"),
                "{n} {other}"
            );
        }
    }
}

/// A release may meet hosts that answer with malformed bytes, an error or nothing, or, as here, a list without a running
/// host. The state must be released in time through the next host that answers. Without retries, it stays held.
#[test]
fn a_release_is_retried_until_a_host_answers() {
    let _exclusive = EXCLUSIVE.lock().unwrap_or_else(PoisonError::into_inner);
    let script = Script::default();
    let (r1, w1) = (Host::start("r1", &script), Host::start("w1", &Script::default()));
    let registry = Registry::start(&[&r1, &w1]);
    let node = start_node(&registry, 256);
    assert!(is_complete_stream(&exchange(node.address(), &request_text("warm", CLOSE)), "warm"));
    // The client leaves as its read ends, while no listed host is running.
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
    let release = |host: &Host| {
        host.calls().into_iter().find(|(call, ..)| call.starts_with("DELETE") && call.ends_with("/held"))
    };
    let released_at = [&r1, &w1].into_iter().filter_map(release).map(|(.., at)| at).min();
    let took = released_at.map(|at| at.saturating_duration_since(from));
    assert!(took.is_some_and(|took| took < ms(1000)), "released after {took:?}");
    drop(Arc::new(node));
}

/// The idempotency key is sent unchanged with every attempt, to readers and writers. A request with two keys is rejected.
/// Without this, hosts cannot recognize a repeat.
#[test]
fn the_idempotency_key_is_sent_with_every_attempt() {
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
            let keys: Vec<_> = seen.filter(|(request_id, _)| *request_id == id).map(|(_, key)| key).collect();
            assert!(
                keys.len() >= attempts && keys.iter().all(|seen| seen.as_deref() == key),
                "{id}: {keys:?}"
            );
        }
    }
    let two_keys = request_text("two", "Idempotency-Key: a\r\nIdempotency-Key: b\r\n");
    assert!(exchange(address, &two_keys).starts_with("HTTP/1.1 400"));
}

/// Many processes in `on_request` mode lose a registry that accepts few new calls per second. Without a growing backoff,
/// their retries keep the registry over its limit, processes stay refused, and they miss a drain.
#[test]
fn clients_of_an_overloaded_registry_back_off() {
    let _exclusive = EXCLUSIVE.lock().unwrap_or_else(PoisonError::into_inner);
    const PROCESSES: usize = 24;
    const MAX_NEW_CALLS_PER_S: usize = 12;
    let script = Script::default();
    let (r1, w1, w2) = (Host::start("r1", &script), Host::start("w1", &script), Host::start("w2", &script));
    let registry = Registry::start(&[&r1, &w1, &w2]);
    let known = format!(
        "\"known\":{{\"seq\":1,\"whole\":true,\"hosts\":[{}]}},\"settings\":{{",
        [&r1, &w1, &w2].map(|host| registry_line(host, "active")).join(",")
    );
    let nodes: Vec<_> = (0..PROCESSES)
        .map(|me| {
            let config_text = config(&registry, 4096, PROCESSES)
                .replace("8c1f30d27a5be964", &format!("{:016x}", me * 77 + 5));
            let config_text =
                config_text.replace("\"settings\":{", &format!("{known}\"RegistryMode\":\"on_request\","));
            tulipstall_node::Node::start(
                &tulipstall_platform::start::StartConfig::parse(&config_text).expect("a configuration"),
            )
            .expect("a node")
        })
        .collect();
    thread::sleep(ms(1500));
    // All watches end at once; from here on the registry limits new calls.
    registry.max_new_calls_per_s.store(MAX_NEW_CALLS_PER_S, Ordering::SeqCst);
    registry.new_calls.lock().expect("no panic").clear();
    registry.script.lock().expect("no panic").extend([RegistryFault::Disconnect; PROCESSES]);
    let watches_lost = Instant::now();
    thread::sleep(ms(8000));
    let calls = registry.new_calls.lock().expect("no panic").clone();
    let accepted = calls.iter().filter(|(_, accepted)| *accepted).count();
    let refused = calls.len() - accepted;
    println!("{} calls accepted, {} refused in 8 s", accepted, refused);
    assert!(
        accepted >= PROCESSES && calls.len() < 6 * PROCESSES,
        "{} accepted, {} refused",
        accepted,
        refused
    );
    // Every process has a watch again and makes no new calls.
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
        watches_lost.elapsed()
    );
}

/// A request reuses the id of another request, in progress or ended. It is not sent to a host, and the rejection (409) does
/// not invite a retry, also while the process stops. Without this, work with a side effect may run twice.
#[test]
fn a_request_with_a_used_id_is_rejected() {
    let _exclusive = EXCLUSIVE.lock().unwrap_or_else(PoisonError::into_inner);
    for stopping_process in [false, true] {
        let script = Script::default();
        let (r1, w1) = (Host::start("r1", &Script::default()), Host::start("w1", &script));
        let registry = Registry::start(&[&r1, &w1]);
        let config_text =
            config(&registry, 256, 1).replace("\"Idempotency\":\"pure\"", "\"Idempotency\":\"side_effect\"");
        let node = Arc::new(start_node_with(&config_text));
        let address = node.address();
        let posts =
            || w1.calls().iter().filter(|(call, id, _)| call.starts_with("POST") && id == "taken").count();
        // The writer has the request and does not answer; another client uses the same id on an already open connection.
        script.lock().expect("no panic").push_back(ScriptedReply::NoAnswer);
        let mut first = connect(address);
        first.write_all(request_text("taken", "").as_bytes()).expect("a call");
        let text = request_text("taken", CLOSE);
        let mut other = connect(address);
        other.write_all(&text.as_bytes()[..40]).expect("a part");
        thread::sleep(ms(100));
        assert_eq!(posts(), 1);
        let node_clone = node.clone();
        let stopping = stopping_process.then(|| thread::spawn(move || node_clone.stop()));
        thread::sleep(ms(if stopping_process { 700 } else { 50 }));
        other.write_all(&text.as_bytes()[40..]).expect("the rest");
        let (answer, _) = read_to_end_of_connection(&mut other);
        assert!(answer.starts_with("HTTP/1.1 409"), "in progress, stopping {stopping_process}: {answer}");
        if !stopping_process {
            // The first client has left; its writer may still be working on the request.
            drop(first);
            thread::sleep(ms(200));
            let answer = exchange(address, &text);
            assert!(answer.starts_with("HTTP/1.1 409"), "left: {answer}");
            // The id of a request that was answered completely.
            assert!(is_complete_stream(&exchange(address, &request_text("ended", CLOSE)), "ended"));
            assert!(exchange(address, &request_text("ended", CLOSE)).starts_with("HTTP/1.1 409"));
        }
        assert_eq!(posts(), 1, "stopping {stopping_process}");
        if let Some(stopping) = stopping {
            stopping.join().expect("no panic");
        }
    }
}
