//! The dispatcher against a stand-in platform on loopback: what crosses the sockets is judged, faults are injected.

mod platform;

use platform::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Whatever hosts do before a first event costs a shot, not the task; later the client's connection ends without its
/// last chunk. What is more than an answer is nobody's.
#[test]
fn spoilt_answers_cost_a_shot_or_end_the_connection() {
    let p = start_platform(256);
    let close = "Connection: close\r\n";
    let noise = "\x01\x02noise noise noise noise";
    let second = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno";
    let cases: [(&str, bool, ScriptedReply, bool); 13] = [
        ("noise", false, ScriptedReply::Raw(noise), true),
        ("endless head", false, ScriptedReply::Raw(HEADS), true),
        ("bad head", false, ScriptedReply::Raw("HTTP/1.1 2x0 OK\r\n\r\n"), true),
        (
            "no size",
            false,
            ScriptedReply::Raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\ndata: a\n\n"),
            true,
        ),
        (
            "3 GB ahead",
            false,
            ScriptedReply::Raw(
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nc0000000\r\ndata: a\n\n",
            ),
            true,
        ),
        ("no event", false, ScriptedReply::Raw("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabcd"), true),
        ("writer breaks", false, ScriptedReply::Disconnect, true),
        ("reader breaks", true, ScriptedReply::Disconnect, true),
        (
            "1xx",
            false,
            ScriptedReply::Prefixed(
                "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n",
            ),
            true,
        ),
        ("second answer", false, ScriptedReply::Suffixed(second), true),
        ("bad size later", false, ScriptedReply::RawAfterFirstEvent("xyz\r\ndata: a\n\n\r\n"), false),
        (
            "3 GB later",
            false,
            ScriptedReply::RawAfterFirstEvent("c0000000\r\ndata: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"),
            false,
        ),
        ("wrong size later", false, ScriptedReply::RawAfterFirstEvent("4\r\ndata: aaaa\n\n\r\n"), false),
    ];
    for (i, (name, reads, does, good)) in cases.into_iter().enumerate() {
        if reads {
            p.r1.script_replies(&[does]);
        } else {
            p.w1.script_replies(&[does]);
        }
        let id = format!("spoilt{i:04}");
        let from = Instant::now();
        let answer = exchange(p.node.address(), &request_text(&id, close));
        assert!(from.elapsed() < Duration::from_secs(5), "{name}: {:?}", from.elapsed());
        if good {
            assert!(is_complete_stream(&answer, &id), "{name}: {answer}");
        } else {
            assert!(answer.starts_with("HTTP/1.1 200") && !answer.ends_with("0\r\n\r\n"), "{name}: {answer}");
        }
        // A wrong answer left on a kept connection would be the next task's.
        for k in 0..5 {
            let id = format!("after{i:04}{k}");
            let answer = exchange(p.node.address(), &request_text(&id, close));
            assert!(is_complete_stream(&answer, &id), "after {name}: {answer}");
        }
    }
}

/// A stream that stops, its host still there: its client is not left waiting, and the answer does not seem whole.
#[test]
fn a_stream_that_stops_ends_its_client() {
    let p = start_platform(256);
    p.w1.script_replies(&[ScriptedReply::PauseMs(20_000)]);
    let from = Instant::now();
    let answer = exchange(p.node.address(), &request_text("stops", ""));
    assert!(from.elapsed() < Duration::from_secs(5), "{:?}", from.elapsed());
    assert!(answer.starts_with("HTTP/1.1 200") && !answer.ends_with("0\r\n\r\n"), "{answer}");
    // One that is only slow is passed on whole.
    p.w1.script_replies(&[ScriptedReply::PauseMs(3500)]);
    assert!(is_complete_stream(
        &exchange(p.node.address(), &request_text("slow", "Connection: close\r\n")),
        "slow"
    ));
}

const HEADS: &str = concat!("HTTP/1.1 200 OK\r\nx: 1\r\nx: 1\r\nx: 1\r\n", "y");

/// What can't be read is answered with an error or a close, and no host hears of it.
#[test]
fn bad_calls_reach_no_host() {
    let p = start_platform(256);
    let good = request_text("a0", "");
    let big = "x".repeat(300_000);
    let cases: Vec<(&str, String)> = vec![
        ("no id", good.replace("X-Txn: a0\r\n", "")),
        ("empty id", good.replace("X-Txn: a0", "X-Txn: ")),
        ("two ids", good.replace("X-Txn: a0", "X-Txn: a0\r\nX-Txn: b0")),
        ("an id that is a path", good.replace("X-Txn: a0", "X-Txn: ../a0")),
        ("no such class", good.replace("X-Lane: chat", "X-Lane: other")),
        ("no class", good.replace("X-Lane: chat\r\n", "")),
        ("time is no number", good.replace("2500", "soon")),
        ("time is negative", good.replace("2500", "-2500")),
        ("a length is negative", good.replace("prompt_len=20", "prompt_len=-20")),
        ("body is no JSON", good.replace("{\"model\"", "[\"model\"")),
        ("negative length", good.replace("Content-Length: 7", "Content-Length: -7")),
        ("huge length", good.replace("Content-Length: 7", "Content-Length: 99999999999999999999997")),
        ("two lengths", good.replace("Content-Length", "Content-Length: 3\r\nContent-Length")),
        (
            "a request inside a body",
            good.replace("Content-Length", "Transfer-Encoding: chunked\r\nContent-Length")
                .replace(BODY, &format!("0\r\n\r\n{}", request_text("hidden", ""))),
        ),
        (
            "a body that is too large",
            good.replace(&format!("Length: {}", BODY.len()), "Length: 300000") + &big,
        ),
        ("a head without end", format!("POST / HTTP/1.1\r\nHost: x\r\nx: {big}")),
        ("half a request", good[..good.len() - 10].to_owned()),
        ("nothing", String::new()),
    ];
    thread::scope(|scope| {
        for (name, text) in &cases {
            let address = p.node.address();
            scope.spawn(move || {
                let from = Instant::now();
                let answer = exchange(address, text);
                let refused = answer.starts_with("HTTP/1.1 4") || answer.starts_with("HTTP/1.1 5");
                assert!(answer.is_empty() || refused, "{name}: {answer}");
                assert!(from.elapsed() < Duration::from_secs(3), "{name}: {:?}", from.elapsed());
            });
        }
    });
    for host in [&p.r1, &p.w1, &p.w2] {
        assert!(host.calls().is_empty(), "{}: {:?}", host.name, host.calls());
    }
    // An id that is in hand is no other client's.
    p.w1.script_replies(&[ScriptedReply::PauseMs(400)]);
    let (address, first) = (p.node.address(), request_text("same", "Connection: close\r\n"));
    let other = thread::spawn({
        let first = first.clone();
        move || exchange(address, &first)
    });
    thread::sleep(Duration::from_millis(200));
    assert!(exchange(address, &first).starts_with("HTTP/1.1 409"));
    assert!(is_complete_stream(&other.join().expect("no panic"), "same"));
}

/// Connections that say nothing, or asked once and stay, never keep a call out: they are let go for it.
#[test]
fn silent_connections_make_room() {
    let p = start_platform(128);
    let address = p.node.address();
    let mut stay = Vec::new();
    for i in 0..200 {
        let mut stream = connect(address);
        if i % 2 == 0 {
            let _ = stream.write_all(b"GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n");
        }
        stay.push(stream);
        if i % 10 == 9 {
            let id = format!("room{i:04}");
            let answer = exchange(address, &request_text(&id, "Connection: close\r\n"));
            assert!(is_complete_stream(&answer, &id), "{i}: {answer}");
        }
    }
}

/// Connections that their hosts have forgotten cost some shots until that is seen, and no task.
#[test]
fn lost_connections_are_used_no_more() {
    let p = start_platform(256);
    let hosts = [&p.r1, &p.w1, &p.w2];
    let serve = |from: usize, tasks: usize| {
        for i in from..from + tasks {
            let id = format!("kept{i:04}");
            let answer = exchange(p.node.address(), &request_text(&id, "Connection: close\r\n"));
            assert!(is_complete_stream(&answer, &id), "{i}: {answer}");
        }
    };
    serve(0, 40);
    hosts.iter().for_each(|host| host.drops_reused.store(true, Ordering::SeqCst));
    let calls = |path: &str| -> usize {
        hosts.iter().map(|host| host.calls().iter().filter(|(call, ..)| call.starts_with(path)).count()).sum()
    };
    let before = calls("POST");
    serve(40, 60);
    // Two shots a task, and a lost one or two for each span of idleness met; each went over a new connection else.
    let shots = calls("POST") - before;
    assert!((120..=140).contains(&shots), "{shots} shots for 60 tasks");
}

/// Two calls sent at once over one connection get their own answers, in order.
#[test]
fn pipelined_calls_are_answered_in_order() {
    let p = start_platform(256);
    p.w1.script_replies(&[ScriptedReply::PauseMs(100)]);
    let text =
        [request_text("one", ""), request_text("two", ""), request_text("three", "Connection: close\r\n")]
            .concat();
    let answer = exchange(p.node.address(), &text);
    let at = |id: &str| answer.find(id).unwrap_or_else(|| panic!("{id}: {answer}"));
    assert!(at("one") < at("two") && at("two") < at("three"));
    assert_eq!(answer.matches("0\r\n\r\n").count(), 3, "{answer}");
}

/// Nothing new goes to a host once it is told to drain, a client that leaves takes its shots along and what is held
/// for it is let go.
#[test]
fn drains_and_leaving_clients() {
    let p = start_platform(256);
    let address = p.node.address();
    p.registry.publish(registry_line(&p.w1, "leaving"));
    thread::sleep(Duration::from_millis(250));
    let told = Instant::now();
    for i in 0..20 {
        let id = format!("drain{i:03}");
        assert!(is_complete_stream(&exchange(address, &request_text(&id, "Connection: close\r\n")), &id));
    }
    assert!(p.w1.calls().iter().all(|(.., at)| *at < told), "{:?}", p.w1.calls());
    // The reader is silent, its client leaves: the read may end well all the same.
    p.r1.script_replies(&[ScriptedReply::NoAnswer]);
    let mut stream = connect(address);
    let _ = stream.write_all(request_text("leaves", "").as_bytes());
    thread::sleep(Duration::from_millis(200));
    drop(stream);
    let until = Instant::now() + Duration::from_millis(1300);
    let freed =
        |host: &Host| host.calls().iter().any(|(call, ..)| call == "DELETE /internal/reservations/leaves");
    while ![&p.r1, &p.w1, &p.w2].into_iter().any(freed) {
        assert!(Instant::now() < until, "what is held is not let go");
        thread::sleep(Duration::from_millis(10));
    }
}

/// The registry moves, then the dispatcher stops: what was taken is answered, what comes soon after is, nobody else is
/// kept waiting.
#[test]
fn a_moved_registry_and_a_stop() {
    let p = start_platform(256);
    let address = p.node.address();
    let w3 = Host::start("w3", &Script::default());
    let registry = Registry::start(&[&p.r1, &w3]);
    p.node.moved(registry.address);
    let until = Instant::now() + Duration::from_secs(2);
    while w3.calls().is_empty() {
        assert!(Instant::now() < until, "the other registry's list is not taken");
        assert!(is_complete_stream(
            &exchange(
                address,
                &request_text(&format!("m{:?}", until.elapsed().as_nanos()), "Connection: close\r\n")
            ),
            "m"
        ));
    }
    w3.script_replies(&[ScriptedReply::PauseMs(1500)]);
    let taken = thread::spawn(move || exchange(address, &request_text("taken", "")));
    let mut idle = connect(address);
    thread::sleep(Duration::from_millis(300));
    thread::scope(|scope| {
        let stops = scope.spawn(|| {
            let from = Instant::now();
            p.node.stop();
            from.elapsed()
        });
        thread::sleep(Duration::from_millis(200));
        assert!(is_complete_stream(&exchange(address, &request_text("late", "")), "late"));
        assert_eq!(idle.read(&mut [0; 16]).unwrap_or(0), 0, "an idle connection is closed");
        assert!(is_complete_stream(&taken.join().expect("no panic"), "taken"));
        let took = stops.join().expect("no panic");
        assert!(took < Duration::from_secs(4), "{took:?}");
    });
    assert!(TcpStream::connect(address).is_err(), "new connections are refused");
}

/// Clients that ask again the moment a long answer ends are told of the stop by the end of their connection: what they
/// ask then reaches no host, as the platform's kill would come into its answer.
#[test]
fn a_stop_ends_connections_behind_long_answers() {
    let p = start_platform(256);
    let address = p.node.address();
    p.w1.script_replies(&[ScriptedReply::PauseMs(900); 8]);
    let (ready, clients) = (Arc::new(AtomicBool::new(false)), 0..8);
    let asks: Vec<_> = clients
        .map(|i| {
            let ready = ready.clone();
            thread::spawn(move || {
                let mut stream = connect(address);
                let _ = stream.write_all(request_text(&format!("first{i}"), "").as_bytes());
                let (mut out, mut buffer) = (Vec::new(), [0; 4096]);
                while !out.ends_with(b"0\r\n\r\n") {
                    let got = stream.read(&mut buffer).unwrap_or(0);
                    assert!(got > 0, "the answer under way is cut off: {}", String::from_utf8_lossy(&out));
                    out.extend_from_slice(&buffer[..got]);
                }
                assert!(ready.load(Ordering::SeqCst), "the answer was over before the stop");
                let _ = stream.write_all(request_text(&format!("second{i}"), "").as_bytes());
                let mut rest = Vec::new();
                let _ = stream.read_to_end(&mut rest);
                String::from_utf8_lossy(&rest).into_owned()
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(300));
    ready.store(true, Ordering::SeqCst);
    p.node.stop();
    for ask in asks {
        // At most a bounce, where it was read before the connection was closed.
        let rest = ask.join().expect("whole answers");
        assert!(rest.is_empty() || rest.starts_with("HTTP/1.1 503"), "{rest}");
    }
    let calls = [&p.r1, &p.w1, &p.w2].map(Host::calls).concat();
    let first = calls.iter().filter(|(call, id, _)| call.starts_with("POST") && id.starts_with("first"));
    assert_eq!(first.count(), 16, "each is read once and written once: {calls:?}");
    assert!(calls.iter().all(|(_, id, _)| !id.starts_with("second")), "{calls:?}");
}

/// A call that was read ahead of its turn when a stop ends its connection is answered all the same, and reaches no host.
#[test]
fn what_was_read_ahead_of_a_stop_is_bounced() {
    let p = start_platform(256);
    let address = p.node.address();
    p.w1.script_replies(&[ScriptedReply::PauseMs(900)]);
    let both = [request_text("under_way", ""), request_text("ahead", "")].concat();
    let asks = thread::spawn(move || exchange(address, &both));
    thread::sleep(Duration::from_millis(300));
    p.node.stop();
    let answer = asks.join().expect("no panic");
    let (first, second) = answer.split_once("0\r\n\r\n").expect("a whole stream");
    assert!(first.starts_with("HTTP/1.1 200") && first.contains("under_way"), "{answer}");
    assert!(second.starts_with("HTTP/1.1 503") && second.contains("Retry-After"), "{answer}");
    let calls = [&p.r1, &p.w1, &p.w2].map(Host::calls).concat();
    assert!(calls.iter().all(|(_, id, _)| id != "ahead"), "{calls:?}");
}

/// A registry falls silent and comes back with a host that drains: the host gets nothing once the grace is over, by
/// which time what the registry has counts as told.
#[test]
fn a_registry_that_comes_back_is_heard_inside_the_grace() {
    let p = start_platform(256);
    let address = p.node.address();
    p.registry.down.store(true, Ordering::SeqCst);
    // Silent for longer than an open watch may be.
    thread::sleep(Duration::from_millis(2300));
    p.registry.state.0.lock().expect("no panic")[0] =
        [registry_line(&p.r1, "active"), registry_line(&p.w1, "leaving"), registry_line(&p.w2, "active")]
            .join(",");
    let back = Instant::now();
    p.registry.down.store(false, Ordering::SeqCst);
    for i in 0.. {
        let id = format!("back{i:03}");
        assert!(is_complete_stream(&exchange(address, &request_text(&id, "Connection: close\r\n")), &id));
        if back.elapsed() > Duration::from_millis(2000) {
            break;
        }
    }
    let late = |(.., at): &(String, String, Instant)| *at > back + Duration::from_millis(250);
    let late = p.w1.calls().iter().filter(|call| late(call)).count();
    assert_eq!(late, 0, "calls after the grace");
    assert!(!p.w2.calls().is_empty());
}

/// A zone is cut off while many tasks hold states there: whoever of the other zone can be reached is told in time, and
/// not one host by all.
#[test]
fn states_behind_a_cut_are_let_go_of_elsewhere() {
    let _exclusive = EXCLUSIVE.lock().unwrap_or_else(PoisonError::into_inner);
    let (reads, writes) = (Script::default(), Script::default());
    let there = ["a1", "a2", "a3", "r1", "r2"]
        .map(|name| Host::start_in("b", name, if name.starts_with('r') { &reads } else { &writes }));
    // Hosts of a kind that gets no shots, so that none of them has failed one: they differ by chance alone.
    let here = ["x8", "x9"].map(|name| Host::start(name, &writes));
    writes.lock().expect("no panic").extend([ScriptedReply::NoAnswer; 1000]);
    let all: Vec<&Host> = there.iter().chain(&here).collect();
    let node = start_node(&Registry::start(&all), 256);
    let ends: Vec<(String, Instant)> = thread::scope(|scope| {
        let asks = (0..40).map(|i| {
            let (id, address) = (format!("cut{i:03}"), node.address());
            let call = request_text(&id, "Connection: close\r\n")
                .replace("Remaining-Ms: 2500", "Remaining-Ms: 1200");
            scope.spawn(move || {
                let answer = exchange(address, &call);
                assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
                (id, Instant::now())
            })
        });
        let asks: Vec<_> = asks.collect();
        thread::sleep(Duration::from_millis(400));
        let read = there.iter().flat_map(Host::calls).filter(|(call, ..)| call.starts_with("POST")).count();
        assert!(read >= 40, "{read} calls before the cut");
        there.iter().for_each(|host| host.unreachable.store(true, Ordering::SeqCst));
        asks.into_iter().map(|ask| ask.join().expect("no panic")).collect()
    });
    // The stated time is a second from the last outcome.
    thread::sleep(Duration::from_secs(1));
    let told = here.each_ref().map(Host::calls);
    for (id, ended) in &ends {
        let path = format!("DELETE /internal/reservations/{id}");
        let at = told.iter().flatten().filter(|(call, ..)| *call == path).map(|(.., at)| *at).min();
        let at = at.unwrap_or_else(|| panic!("{id} is still held"));
        assert!(at < *ended + Duration::from_millis(500), "{id}: {:?} late", at - *ended);
    }
    // Each host has its part, and all of it stays within a few calls for each of two releases of forty states.
    let releases = |calls: &Vec<_>| calls.iter().filter(is_release).count();
    let counts = told.each_ref().map(releases);
    let all: usize = counts.iter().sum();
    assert!(all <= 2 * 40 * 4, "{counts:?}");
    for (host, count) in here.iter().zip(counts) {
        assert!((all..=9 * all).contains(&(10 * count)), "{}: {counts:?}", host.name);
    }
}

fn is_release((call, ..): &&(String, String, Instant)) -> bool {
    call.starts_with("DELETE")
}

/// A dispatcher that stops has not ended before what it holds is let go of, nor where no host can be reached does it
/// wait for ever.
#[test]
fn a_stop_waits_for_what_is_held() {
    for (back, told) in [(Some(Duration::from_millis(1200)), true), (None, false)] {
        let p = start_platform(256);
        let hosts = [p.r1.clone(), p.w1.clone(), p.w2.clone()];
        p.w1.script_replies(&[ScriptedReply::NoAnswer; 50]);
        let address = p.node.address();
        let call = request_text("held", "").replace("Remaining-Ms: 2500", "Remaining-Ms: 600");
        let asks = thread::spawn(move || exchange(address, &call));
        thread::sleep(Duration::from_millis(300));
        hosts.iter().for_each(|host| host.unreachable.store(true, Ordering::SeqCst));
        thread::spawn({
            let hosts = hosts.clone();
            move || {
                thread::sleep(back.unwrap_or(Duration::from_secs(20)));
                hosts.iter().for_each(|host| host.unreachable.store(false, Ordering::SeqCst));
            }
        });
        let from = Instant::now();
        p.node.stop();
        assert!(from.elapsed() < Duration::from_secs(6), "{:?}", from.elapsed());
        assert!(asks.join().expect("no panic").starts_with("HTTP/1.1 503"));
        let freed = |host: &Host| host.calls().iter().any(|(call, ..)| call.ends_with("reservations/held"));
        assert_eq!(hosts.iter().any(freed), told, "{back:?}");
    }
}

/// A fleet of 1,024 hosts for one of 1,024 dispatchers, six in ten of which are replaced under new names at once.
#[test]
fn a_thousand_hosts_are_listed_and_replaced() {
    let _exclusive = EXCLUSIVE.lock().unwrap_or_else(PoisonError::into_inner);
    let script = Script::default();
    let (reader, writer) = (Host::start("r", &script), Host::start("w", &script));
    let named = |i: usize| {
        let host = if i.is_multiple_of(2) { &reader } else { &writer };
        Host { name: Box::leak(format!("{}{i:04}", host.name).into_boxed_str()), ..host.clone() }
    };
    let memory = || -> u64 {
        let status = std::fs::read_to_string("/proc/self/status").expect("what the system tells");
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or_default();
        line.trim().trim_end_matches(" kB").parse().expect("a number")
    };
    let hosts: Vec<Host> = (0..1024).map(named).collect();
    let registry = Registry::start(&hosts.iter().collect::<Vec<_>>());
    let before = memory();
    let node = start_fleet_node(&registry, 256, 1024);
    let serve = |from: usize| {
        for i in from..from + 40 {
            let id = format!("many{i:04}");
            let answer = exchange(node.address(), &request_text(&id, "Connection: close\r\n"));
            assert!(is_complete_stream(&answer, &id), "{i}: {answer}");
        }
    };
    serve(0);
    let from = Instant::now();
    for (i, host) in hosts.iter().enumerate().take(614) {
        registry.publish(format!(
            "{},{}",
            registry_line(host, "left"),
            registry_line(&named(2000 + i), "active")
        ));
    }
    serve(40);
    serve(80);
    let (took, grown) = (from.elapsed(), memory().saturating_sub(before));
    assert!(took < Duration::from_secs(10), "{took:?}");
    // With the stand-in hosts' own threads and buffers, in a debug build.
    assert!(grown < 48 << 10, "{grown} kB");
    println!("1,024 hosts, 614 replaced: {took:?}, {grown} kB more");
}
