//! The platform's acceptance conditions, each tested over sockets with the fault that it names injected (docs/service.md
//! lists them).

mod platform;

use platform::*;
use socket2::{Domain, Socket, Type};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

const CLOSE: &str = "Connection: close\r\n";

/// Arrival times of the POST requests at this host whose id begins with `id`.
fn post_times(host: &Host, id: &str) -> Vec<Instant> {
    let calls = host.calls().into_iter();
    calls
        .filter(|(call, request_id, _)| call.starts_with("POST") && request_id.starts_with(id))
        .map(|(.., at)| at)
        .collect()
}

/// A writer with the shortest accept queue. Once it is paused and the queue is full, the system drops further connection
/// attempts and repeats them a second later.
fn writer_with_short_queue(script: &Script) -> Host {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    socket.bind(&any.into()).and_then(|()| socket.listen(0)).expect("a port");
    Host::start_on(TcpListener::from(socket), "a", "w1", script)
}

/// Pauses the host and fills its accept queue; returns the connections that fill it.
fn fill_accept_queue(host: &Host) -> Vec<std::io::Result<TcpStream>> {
    host.accept_paused.store(true, Ordering::SeqCst);
    // One that is accepted, one that waits in the queue, and further ones that find it full.
    (0..4).map(|_| TcpStream::connect_timeout(&host.address, ms(50))).collect()
}

/// A writer breaks its connection and accepts the next one late. Without a check when that connection opens, an attempt is
/// sent after the repeat window of its idempotency key is over, or after its client has left.
#[test]
fn no_attempt_is_sent_late_on_a_connection_that_opens_late() {
    let _exclusive = EXCLUSIVE.lock().unwrap_or_else(PoisonError::into_inner);
    // When the client leaves, how long other work occupies the core after the first half second, and the expected attempts.
    for (name, window_us, client_leaves, core_busy_ms, attempts) in [
        ("repeat window over", 600_000, None, 0, 1),
        ("repeat window still open", 5_000_000, None, 0, 2),
        ("client has left", 5_000_000, Some(ms(0)), 0, 1),
        ("client has left, not yet noticed on a busy core", 5_000_000, Some(ms(900)), 1100, 1),
    ] {
        let script = Script::default();
        let (r1, w1) = (Host::start("r1", &Script::default()), writer_with_short_queue(&script));
        let registry = Registry::start(&[&r1, &w1]);
        let keyed = format!("\"Idempotency\":\"token\",\"WindowUs\":{window_us}");
        let config = config(&registry, 256, 1).replace("\"Idempotency\":\"pure\"", &keyed);
        let node =
            start_node_with(&config.replace("\"ConnectTimeoutUs\":250000", "\"ConnectTimeoutUs\":2000000"));
        w1.script_replies(&[ScriptedReply::DisconnectAfterMs(200)]);
        let mut stream = connect(node.address());
        stream.write_all(request_text("keyed", CLOSE).as_bytes()).expect("a call");
        thread::sleep(ms(100));
        assert_eq!(post_times(&w1, "keyed").len(), 1, "{name}: the first attempt");
        let pending_connections = fill_accept_queue(&w1);
        thread::sleep(ms(400));
        drop(pending_connections);
        w1.accept_paused.store(false, Ordering::SeqCst);
        tulipstall_net::spawn(move || {
            let until = Instant::now() + ms(core_busy_ms);
            while Instant::now() < until {
                std::hint::black_box(0);
            }
        });
        if let Some(client_leaves) = client_leaves {
            thread::sleep(client_leaves);
            drop(stream);
            thread::sleep(ms(1500));
        } else {
            let mut answer = String::new();
            let _ = stream.read_to_string(&mut answer);
            let as_expected = if attempts == 2 {
                is_complete_stream(&answer, "keyed")
            } else {
                answer.starts_with("HTTP/1.1 503")
            };
            assert!(as_expected, "{name}: {answer}");
        }
        assert_eq!(post_times(&w1, "keyed").len(), attempts, "{name}");
    }
}

/// A client that has left gets no further attempt, wherever its request waits. Without this, hosts compute answers that
/// nobody reads.
#[test]
fn nothing_begins_for_a_client_that_has_left() {
    let p = start_platform(256);
    let address = p.node.address();
    let requests =
        |id: &str, n: usize| (0..n).map(|i| request_text(&format!("{id}{i}"), "")).collect::<String>();
    // What the client sends at once; the writers' reply to the first request; how many requests may reach a host at all.
    let cases = [
        ("two requests behind a long one", requests("two", 3), ScriptedReply::PauseMs(700), 1),
        ("300 requests at once", requests("flood", 300), ScriptedReply::PauseMs(700), 1),
        (
            "malformed bytes behind a request whose host disconnects",
            request_text("junk0", "") + "no request at all\r\n\r\n",
            ScriptedReply::DisconnectAfterMs(500),
            1,
        ),
        (
            "partial request behind a request whose host disconnects",
            request_text("half0", "") + "POST /v1",
            ScriptedReply::DisconnectAfterMs(500),
            1,
        ),
    ];
    for (name, text, reply, limit) in cases {
        let id: String =
            text.split("X-Txn: ").nth(1).expect("an id").chars().take_while(|c| c.is_alphabetic()).collect();
        p.w1.script_replies(&[reply]);
        let mut stream = connect(address);
        let _ = stream.write_all(text.as_bytes());
        thread::sleep(ms(150));
        drop(stream);
        let left = Instant::now();
        thread::sleep(ms(1500));
        let hosts = [&p.r1, &p.w1, &p.w2];
        let late =
            hosts.iter().flat_map(|host| post_times(host, &id)).filter(|at| *at > left + ms(100)).count();
        assert_eq!(late, 0, "{name}: attempts sent after the client had left");
        let ids: std::collections::BTreeSet<String> = hosts
            .iter()
            .flat_map(|host| host.calls())
            .filter(|(call, request_id, _)| call.starts_with("POST") && request_id.starts_with(&id))
            .map(|(_, request_id, _)| request_id)
            .collect();
        assert!(ids.len() <= limit, "{name}: {ids:?}");
        p.w1.script.lock().expect("no panic").clear();
    }
}

/// How long after its client had left the latest attempt began, on a core taken by 80 ms bursts. Each client sends a request
/// and `behind` it, and leaves at once.
fn latest_attempt_for_leaving_clients(name: &str, behind: &str, bursts: usize) -> Duration {
    let p = start_platform(256);
    let address = p.node.address();
    let finished = Arc::new(AtomicBool::new(false));
    for _ in 0..bursts {
        let finished = finished.clone();
        tulipstall_net::spawn(move || {
            while !finished.load(Ordering::SeqCst) {
                let until = Instant::now() + ms(80);
                while Instant::now() < until {
                    std::hint::black_box(0);
                }
                tulipstall_net::sleep(ms(1));
            }
        });
    }
    let clients: Vec<(String, Instant)> = thread::scope(|scope| {
        let clients = (0..120).map(|i| {
            scope.spawn(move || {
                thread::sleep(ms(i * 17));
                let id = format!("{name}{i:03}");
                let mut stream = connect(address);
                let _ = stream.write_all((request_text(&id, "") + behind).as_bytes());
                thread::sleep(ms(i * 7 % 60));
                drop(stream);
                (id, Instant::now())
            })
        });
        let clients: Vec<_> = clients.collect();
        clients.into_iter().map(|client| client.join().expect("no panic")).collect()
    });
    thread::sleep(ms(1500));
    finished.store(true, Ordering::SeqCst);
    let mut longest = Duration::ZERO;
    for (id, left) in &clients {
        for host in [&p.r1, &p.w1, &p.w2] {
            let after = post_times(host, id).iter().map(|at| at.saturating_duration_since(*left)).max();
            longest = longest.max(after.unwrap_or_default());
        }
    }
    let has_begun = |id: &str| [&p.r1, &p.w1, &p.w2].iter().any(|host| !post_times(host, id).is_empty());
    let begun = clients.iter().filter(|(id, _)| has_begun(id)).count();
    println!("{name}: {begun} begun, the latest attempt {longest:?} after its client had left");
    longest
}

/// On a loaded core the coroutines that read a connection, answer it and run its shot each wait to be scheduled, while
/// clients send a request and leave at once. If the shots do not check for themselves, they begin after the client left.
#[test]
fn at_a_loaded_core_nothing_begins_for_clients_that_have_left() {
    for (name, bursts) in [("loaded", 3), ("busy", 1)] {
        let longest = latest_attempt_for_leaving_clients(name, "", bursts);
        assert!(longest < ms(100), "{name}: {longest:?}");
    }
}

/// The same with much unread behind the request: the end of the connection stands behind it.
#[test]
fn nothing_begins_for_clients_that_have_left_with_much_unread() {
    for (name, bytes) in [("little", 20_000), ("much", 200_000), ("most", 2_000_000)] {
        let more =
            request_text(name, "").replace("Content-Length: ", "Content-Length: 250000\r\nX-Old-Length: ");
        let longest = latest_attempt_for_leaving_clients(name, &(more + &"x".repeat(bytes)), 1);
        assert!(longest < ms(100), "{name}: {longest:?}");
    }
}

/// The registry fails one call or more, in either mode. Without time-outs and retries that fit the drain grace, requests
/// still go to a draining host after the grace.
#[test]
fn a_drain_takes_effect_in_time_when_registry_calls_fail() {
    let _exclusive = EXCLUSIVE.lock().unwrap_or_else(PoisonError::into_inner);
    use RegistryFault::*;
    let cases: [&[RegistryFault]; 8] = [
        &[NoAnswer],
        &[SlowBody],
        &[Disconnect],
        &[MalformedJson],
        &[FirstList],
        &[NoAnswer, NoAnswer],
        &[NoAnswer, Disconnect, MalformedJson],
        &[SlowBody, FirstList],
    ];
    thread::scope(|scope| {
        for mode in ["pushed", "on_request"] {
            for faults in cases {
                scope.spawn(move || {
                    let name = format!("{mode}, {faults:?}");
                    let script = Script::default();
                    let (r1, w1) = (Host::start("r1", &script), Host::start("w1", &script));
                    let w2 = Host::start("w2", &script);
                    let registry = Registry::start(&[&r1, &w1, &w2]);
                    let config = config(&registry, 1024, 1);
                    let settings = format!("\"settings\":{{\"RegistryMode\":\"{mode}\",\"Rules\":{{\"StopSendingWithinUs\":250000}},");
                    let node = start_node_with(&config.replace("\"settings\":{", &settings));
                    let serve = |id: &str| {
                        let answer = exchange(node.address(), &request_text(id, CLOSE));
                        assert!(is_complete_stream(&answer, id), "{name}: {answer}");
                    };
                    serve("first");
                    // The faults hit the open watch and the calls that follow it.
                    registry.script.lock().expect("no panic").extend(faults);
                    thread::sleep(ms(600));
                    registry.publish(registry_line(&w1, "leaving"));
                    let published = Instant::now();
                    for i in 0.. {
                        serve(&format!("then{i}"));
                        thread::sleep(ms(10));
                        if published.elapsed() > ms(7500) {
                            break;
                        }
                    }
                    let last_post = post_times(&w1, "then").into_iter().max().map_or(Duration::ZERO, |at| at - published);
                    // Pushed: the time-outs of two failing calls, and the grace.
                    let limit = if mode == "pushed" { ms(3300) } else { ms(6250) };
                    assert!(last_post < limit, "{name}: {last_post:?} after the registry published the drain");
                    assert!(!post_times(&w2, "then").is_empty(), "{name}");
                });
            }
        }
    });
}

/// A registry answer older than an earlier one must not undo a later drain. Without this, requests go to the draining host
/// again.
#[test]
fn an_older_list_does_not_undo_a_drain() {
    let p = start_platform(256);
    p.registry.publish(registry_line(&p.w1, "leaving"));
    thread::sleep(ms(200));
    let drain_applied = Instant::now();
    p.registry.script.lock().expect("no panic").extend([
        RegistryFault::Disconnect,
        RegistryFault::FirstList,
        RegistryFault::NoAnswer,
    ]);
    for i in 0..100 {
        let id = format!("older{i:03}");
        assert!(is_complete_stream(&exchange(p.node.address(), &request_text(&id, CLOSE)), &id));
        thread::sleep(ms(10));
    }
    assert!(p.registry.script.lock().expect("no panic").is_empty(), "not every scripted fault was used");
    assert!(p.w1.calls().iter().all(|(.., at)| *at < drain_applied), "{:?}", p.w1.calls());
}

/// Requests that arrive just as a stop closes idle connections. Each has a complete answer or a rejection, or reaches no
/// host. Without this, a host computes an answer whose connection is already closed.
#[test]
fn requests_that_arrive_as_their_connection_closes_are_answered_or_reach_no_host() {
    for round in 0..3 {
        let p = start_platform(512);
        let address = p.node.address();
        let idle_connections: Vec<TcpStream> = (0..60)
            .map(|_| {
                let mut stream = connect(address);
                stream.write_all(b"GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n").expect("a health request");
                let mut buffer = [0; 512];
                assert!(stream.read(&mut buffer).expect("an answer") > 0);
                stream
            })
            .collect();
        let from = Instant::now();
        let answers: Vec<(String, String)> = thread::scope(|scope| {
            let clients = idle_connections.into_iter().enumerate().map(|(i, mut stream)| {
                let id = format!("cross{round}x{i:03}");
                scope.spawn(move || {
                    // Around the closing of idle connections, 450 ms after the stop begins.
                    thread::sleep(
                        (ms(440) + Duration::from_micros(i as u64 * 400)).saturating_sub(from.elapsed()),
                    );
                    let _ = stream.write_all(request_text(&id, "").as_bytes());
                    let mut answer = Vec::new();
                    let _ = stream.read_to_end(&mut answer);
                    (id, String::from_utf8_lossy(&answer).into_owned())
                })
            });
            let clients: Vec<_> = clients.collect();
            p.node.stop();
            clients.into_iter().map(|client| client.join().expect("no panic")).collect()
        });
        for (id, answer) in &answers {
            let sent = [&p.r1, &p.w1, &p.w2].into_iter().any(|host| !post_times(host, id).is_empty());
            let answered = is_complete_stream(answer, id) || answer.starts_with("HTTP/1.1 503");
            assert!(answered || (answer.is_empty() && !sent), "{id}: sent {sent}, {answer:?}");
        }
        let answered = answers.iter().filter(|(id, answer)| is_complete_stream(answer, id)).count();
        assert!(
            (1..60).contains(&answered),
            "the stop should come between the requests; answered: {answered}"
        );
    }
}

/// The last answer of a connection arrives complete although its client has sent more bytes that are never read. Without
/// this, closing the socket with unread bytes resets the connection and the client loses the end of the answer.
#[test]
fn an_answer_is_not_cut_off_by_what_its_client_sent_beyond() {
    let p = start_platform(256);
    for i in 0..10 {
        // A new id each time, because a used id is rejected.
        let text = request_text(&format!("last{i}"), CLOSE) + &"x".repeat(20_000);
        p.w1.script_replies(&[ScriptedReply::ManyEvents(2500)]);
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        // A small receive buffer: the rest of the answer waits in the dispatcher's socket.
        let _ = socket.set_recv_buffer_size(4096);
        socket.connect(&p.node.address().into()).expect("a connection");
        let mut stream = TcpStream::from(socket);
        let _ = stream.write_all(text.as_bytes());
        // A client that is slow to read.
        thread::sleep(ms(60));
        let mut answer = Vec::new();
        let result = stream.read_to_end(&mut answer);
        let answer = String::from_utf8_lossy(&answer);
        assert!(result.is_ok() && answer.ends_with("0\r\n\r\n"), "{result:?}: {} bytes", answer.len());
    }
}

/// Answers of readers and writers end after every possible number of bytes. Each request is answered promptly: completely,
/// by a rejection, or by a stream without its last chunk. Without this, a client takes a truncated answer for a complete
/// one.
#[test]
fn answers_truncated_at_any_byte_never_look_complete() {
    let p = start_platform(256);
    let address = p.node.address();
    // Upper bounds of the length of a reader's answer and of a writer's.
    for (host, longest) in [(&p.r1, 80), (&p.w1, 420)] {
        let (mut complete, mut truncated) = (0, 0);
        for length in 0..longest {
            host.script_replies(&[ScriptedReply::TruncateAt(length)]);
            let id = format!("cut{}x{length:03}", host.name);
            let from = Instant::now();
            let answer = exchange(address, &request_text(&id, CLOSE));
            assert!(from.elapsed() < ms(1500), "{id}: {:?}", from.elapsed());
            let visibly_truncated = answer.starts_with("HTTP/1.1 200") && !answer.ends_with("0\r\n\r\n");
            assert!(
                is_complete_stream(&answer, &id) || visibly_truncated || answer.starts_with("HTTP/1.1 503"),
                "{id}: {answer}"
            );
            // Complete answers earn retry budget. Without it there is no retry, and each truncated answer would be waited for.
            for i in 0..5 {
                let id = format!("good{}x{length:03}x{i}", host.name);
                assert!(is_complete_stream(&exchange(address, &request_text(&id, CLOSE)), &id), "{id}");
            }
            complete += usize::from(is_complete_stream(&answer, &id));
            truncated += usize::from(visibly_truncated);
            host.script.lock().expect("no panic").clear();
        }
        assert!(
            complete > 0 && (host.name == "r1") == (truncated == 0),
            "{}: {complete} complete, {truncated} truncated",
            host.name
        );
    }
}

/// The dispatcher becomes ready although the registry does not answer, the configured list of hosts is long and old, and
/// clients connect from the start.
#[test]
fn ready_with_a_silent_registry_a_long_list_and_early_clients() {
    let _exclusive = EXCLUSIVE.lock().unwrap_or_else(PoisonError::into_inner);
    let script = Script::default();
    let (r1, w1) = (Host::start("r1", &script), Host::start("w1", &script));
    let registry = Registry::start(&[&r1, &w1]);
    registry.down.store(true, Ordering::SeqCst);
    let hosts: Vec<String> = (0..1024)
        .map(|i| {
            let host = if i % 2 == 0 { &r1 } else { &w1 };
            registry_line(
                &Host { name: Box::leak(format!("{}{i}", host.name).into_boxed_str()), ..host.clone() },
                "active",
            )
        })
        .collect();
    let known =
        format!("\"known\":{{\"seq\":1,\"whole\":true,\"hosts\":[{}]}},\"settings\":", hosts.join(","));
    // The address is chosen before the start, because the clients connect at once.
    let address = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("an address");
    let config = config(&registry, 256, 350).replace("\"settings\":", &known);
    let config = config.replacen("127.0.0.1:0", &address.to_string(), 1);
    let finished = Arc::new(AtomicBool::new(false));
    thread::scope(|scope| {
        for i in 0..60 {
            let finished = finished.clone();
            scope.spawn(move || {
                for attempt in 0.. {
                    if finished.load(Ordering::SeqCst) {
                        break;
                    }
                    if let Ok(mut stream) = TcpStream::connect(address) {
                        let _ = stream.set_read_timeout(Some(ms(300)));
                        let text = request_text(&format!("press{i}x{attempt}"), CLOSE);
                        let _ = stream.write_all(if i % 3 == 0 {
                            &text.as_bytes()[..50]
                        } else {
                            text.as_bytes()
                        });
                        let _ = stream.read(&mut [0; 512]);
                    }
                    thread::sleep(ms(20));
                }
            });
        }
        let from = Instant::now();
        let node = start_node_with(&config);
        let took = from.elapsed();
        finished.store(true, Ordering::SeqCst);
        println!("ready after {took:?}");
        assert!(took < ms(5000), "{took:?}");
        drop(node);
    });
}
