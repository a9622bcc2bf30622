//! The platform's terms for every version, each on sockets with its fault injected (docs/service.md names them).

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

fn posts(host: &Host, id: &str) -> Vec<Instant> {
    let calls = host.calls().into_iter();
    calls.filter(|(call, by, _)| call.starts_with("POST") && by.starts_with(id)).map(|(.., at)| at).collect()
}

/// A writer that takes no connection once it is shut: the system drops what asks for one, and asks again a second later.
fn late_writer(script: &Script) -> Host {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    socket.bind(&any.into()).and_then(|()| socket.listen(0)).expect("a port");
    Host::start_on(TcpListener::from(socket), "a", "w1", script)
}

fn fill(host: &Host) -> Vec<std::io::Result<TcpStream>> {
    host.accept_paused.store(true, Ordering::SeqCst);
    // The one that is accepted, the one that waits, and one that shows that no more do.
    (0..4).map(|_| TcpStream::connect_timeout(&host.address, ms(50))).collect()
}

/// A keyed class whose writer breaks, and takes the next connection so late that the window is over: nothing is sent. Nor
/// to one whose client leaves meanwhile.
#[test]
fn nothing_begins_late_over_a_connection_that_comes_up_late() {
    let _exclusive = EXCLUSIVE.lock().unwrap_or_else(PoisonError::into_inner);
    // When the client leaves, and for how long after the first half second the core is taken by others.
    for (name, window_us, leaves, taken, sends) in [
        ("the window is over", 600_000, None, 0, 1),
        ("the window is long", 5_000_000, None, 0, 2),
        ("the client has left", 5_000_000, Some(ms(0)), 0, 1),
        ("the client has left, unseen at a loaded core", 5_000_000, Some(ms(900)), 1100, 1),
    ] {
        let script = Script::default();
        let (r1, w1) = (Host::start("r1", &Script::default()), late_writer(&script));
        let registry = Registry::start(&[&r1, &w1]);
        let keyed = format!("\"Idempotency\":\"token\",\"WindowUs\":{window_us}");
        let config = config(&registry, 256, 1).replace("\"Idempotency\":\"pure\"", &keyed);
        let node =
            start_node_with(&config.replace("\"ConnectTimeoutUs\":250000", "\"ConnectTimeoutUs\":2000000"));
        w1.script_replies(&[ScriptedReply::DisconnectAfterMs(200)]);
        let mut stream = connect(node.address());
        stream.write_all(request_text("keyed", CLOSE).as_bytes()).expect("a call");
        thread::sleep(ms(100));
        assert_eq!(posts(&w1, "keyed").len(), 1, "{name}: the first attempt");
        let queue = fill(&w1);
        thread::sleep(ms(400));
        drop(queue);
        w1.accept_paused.store(false, Ordering::SeqCst);
        tulipstall_net::spawn(move || {
            let until = Instant::now() + ms(taken);
            while Instant::now() < until {
                std::hint::black_box(0);
            }
        });
        if let Some(leaves) = leaves {
            thread::sleep(leaves);
            drop(stream);
            thread::sleep(ms(1500));
        } else {
            let mut answer = String::new();
            let _ = stream.read_to_string(&mut answer);
            let wanted = if sends == 2 {
                is_complete_stream(&answer, "keyed")
            } else {
                answer.starts_with("HTTP/1.1 503")
            };
            assert!(wanted, "{name}: {answer}");
        }
        assert_eq!(posts(&w1, "keyed").len(), sends, "{name}");
    }
}

/// Clients that leave, whatever they have sent and wherever their request waits: no attempt for them begins later.
#[test]
fn nothing_begins_for_a_client_that_has_left() {
    let p = start_platform(256);
    let address = p.node.address();
    let many = |id: &str, n: usize| (0..n).map(|i| request_text(&format!("{id}{i}"), "")).collect::<String>();
    // What is sent at once; what the writers do with the first; how many requests may reach a host at all.
    let cases = [
        ("two behind a long one", many("two", 3), ScriptedReply::PauseMs(700), 1),
        ("hundreds at once", many("flood", 300), ScriptedReply::PauseMs(700), 1),
        (
            "junk behind one that breaks",
            request_text("junk0", "") + "no request at all\r\n\r\n",
            ScriptedReply::DisconnectAfterMs(500),
            1,
        ),
        (
            "half a one behind one that breaks",
            request_text("half0", "") + "POST /v1",
            ScriptedReply::DisconnectAfterMs(500),
            1,
        ),
    ];
    for (name, text, does, most) in cases {
        let id: String =
            text.split("X-Txn: ").nth(1).expect("an id").chars().take_while(|c| c.is_alphabetic()).collect();
        p.w1.script_replies(&[does]);
        let mut stream = connect(address);
        let _ = stream.write_all(text.as_bytes());
        thread::sleep(ms(150));
        drop(stream);
        let left = Instant::now();
        thread::sleep(ms(1500));
        let hosts = [&p.r1, &p.w1, &p.w2];
        let late = hosts.iter().flat_map(|host| posts(host, &id)).filter(|at| *at > left + ms(100)).count();
        assert_eq!(late, 0, "{name}: begun after the client had left");
        let ids: std::collections::BTreeSet<String> = hosts
            .iter()
            .flat_map(|host| host.calls())
            .filter(|(call, by, _)| call.starts_with("POST") && by.starts_with(&id))
            .map(|(_, by, _)| by)
            .collect();
        assert!(ids.len() <= most, "{name}: {ids:?}");
        p.w1.script.lock().expect("no panic").clear();
    }
}

/// A core that others want: whoever reads a connection, who answers it and its shot each wait for their turn, while
/// clients ask and leave at once. Each shot looks for itself.
#[test]
fn at_a_loaded_core_nothing_begins_for_clients_that_have_left() {
    let p = start_platform(256);
    let address = p.node.address();
    let over = Arc::new(AtomicBool::new(false));
    for _ in 0..3 {
        let over = over.clone();
        tulipstall_net::spawn(move || {
            while !over.load(Ordering::SeqCst) {
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
                let id = format!("loaded{i:03}");
                let mut stream = connect(address);
                let _ = stream.write_all(request_text(&id, "").as_bytes());
                thread::sleep(ms(i * 7 % 60));
                drop(stream);
                (id, Instant::now())
            })
        });
        let clients: Vec<_> = clients.collect();
        clients.into_iter().map(|client| client.join().expect("no panic")).collect()
    });
    thread::sleep(ms(1500));
    over.store(true, Ordering::SeqCst);
    let mut longest = Duration::ZERO;
    for (id, left) in &clients {
        for host in [&p.r1, &p.w1, &p.w2] {
            let after = posts(host, id).iter().map(|at| at.saturating_duration_since(*left)).max();
            longest = longest.max(after.unwrap_or_default());
        }
    }
    println!("an attempt began {longest:?} after its client had left at the latest");
    assert!(longest < ms(100), "{longest:?}");
}

/// However a registry fails a call or two, in either mode: a drain is heard before it counts as told, with the grace.
#[test]
fn a_drain_is_heard_whatever_call_of_the_registry_fails() {
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
            for fails in cases {
                scope.spawn(move || {
                    let name = format!("{mode}, {fails:?}");
                    let script = Script::default();
                    let (r1, w1) = (Host::start("r1", &script), Host::start("w1", &script));
                    let w2 = Host::start("w2", &script);
                    let registry = Registry::start(&[&r1, &w1, &w2]);
                    let config = config(&registry, 1024, 1);
                    let told = format!("\"settings\":{{\"RegistryMode\":\"{mode}\",\"Rules\":{{\"StopSendingWithinUs\":250000}},");
                    let node = start_node_with(&config.replace("\"settings\":{", &told));
                    let serve = |id: &str| {
                        let answer = exchange(node.address(), &request_text(id, CLOSE));
                        assert!(is_complete_stream(&answer, id), "{name}: {answer}");
                    };
                    serve("first");
                    // The watch that is open, and what follows it.
                    registry.script.lock().expect("no panic").extend(fails);
                    thread::sleep(ms(600));
                    registry.publish(registry_line(&w1, "leaving"));
                    let had = Instant::now();
                    for i in 0.. {
                        serve(&format!("then{i}"));
                        thread::sleep(ms(10));
                        if had.elapsed() > ms(7500) {
                            break;
                        }
                    }
                    let last = posts(&w1, "then").into_iter().max().map_or(Duration::ZERO, |at| at - had);
                    // Pushed: two calls that fail each in their time, and the grace.
                    let most = if mode == "pushed" { ms(3300) } else { ms(6250) };
                    assert!(last < most, "{name}: {last:?} after the registry had it");
                    assert!(!posts(&w2, "then").is_empty(), "{name}");
                });
            }
        }
    });
}

/// An answer that is older than one before opens no host again that was told to drain since.
#[test]
fn an_older_list_opens_no_host_again() {
    let p = start_platform(256);
    p.registry.publish(registry_line(&p.w1, "leaving"));
    thread::sleep(ms(200));
    let told = Instant::now();
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
    assert!(p.registry.script.lock().expect("no panic").is_empty(), "the older lists were told");
    assert!(p.w1.calls().iter().all(|(.., at)| *at < told), "{:?}", p.w1.calls());
}

/// Requests that arrive in the very moment in which a stop ends resting connections: each is answered whole or with a
/// bounce, or reaches no host.
#[test]
fn requests_that_cross_the_end_of_their_connection_are_answered_or_never_taken() {
    for round in 0..3 {
        let p = start_platform(512);
        let address = p.node.address();
        let resting: Vec<TcpStream> = (0..60)
            .map(|_| {
                let mut stream = connect(address);
                stream.write_all(b"GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n").expect("a look");
                let mut buffer = [0; 512];
                assert!(stream.read(&mut buffer).expect("an answer") > 0);
                stream
            })
            .collect();
        let from = Instant::now();
        let answers: Vec<(String, String)> = thread::scope(|scope| {
            let asks = resting.into_iter().enumerate().map(|(i, mut stream)| {
                let id = format!("cross{round}x{i:03}");
                scope.spawn(move || {
                    // Around the moment in which idle connections are closed, 450 ms after the stop begins.
                    thread::sleep(
                        (ms(440) + Duration::from_micros(i as u64 * 400)).saturating_sub(from.elapsed()),
                    );
                    let _ = stream.write_all(request_text(&id, "").as_bytes());
                    let mut answer = Vec::new();
                    let _ = stream.read_to_end(&mut answer);
                    (id, String::from_utf8_lossy(&answer).into_owned())
                })
            });
            let asks: Vec<_> = asks.collect();
            p.node.stop();
            asks.into_iter().map(|ask| ask.join().expect("no panic")).collect()
        });
        for (id, answer) in &answers {
            let sent = [&p.r1, &p.w1, &p.w2].into_iter().any(|host| !posts(host, id).is_empty());
            let answered = is_complete_stream(answer, id) || answer.starts_with("HTTP/1.1 503");
            assert!(answered || (answer.is_empty() && !sent), "{id}: sent {sent}, {answer:?}");
        }
        let answered = answers.iter().filter(|(id, answer)| is_complete_stream(answer, id)).count();
        assert!((1..60).contains(&answered), "the stop came between them: {answered}");
    }
}

/// An answer that ends a connection arrives whole, though its client has sent more that nobody reads.
#[test]
fn an_answer_is_not_cut_off_by_what_its_client_sent_beyond() {
    let p = start_platform(256);
    for i in 0..10 {
        // A new id each time: one that was taken is nobody's any more.
        let text = request_text(&format!("last{i}"), CLOSE) + &"x".repeat(20_000);
        p.w1.script_replies(&[ScriptedReply::ManyEvents(2500)]);
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        // What does not fit here waits at the dispatcher's socket.
        let _ = socket.set_recv_buffer_size(4096);
        socket.connect(&p.node.address().into()).expect("a connection");
        let mut stream = TcpStream::from(socket);
        let _ = stream.write_all(text.as_bytes());
        // A client that is slow to read.
        thread::sleep(ms(60));
        let mut answer = Vec::new();
        let end = stream.read_to_end(&mut answer);
        let answer = String::from_utf8_lossy(&answer);
        assert!(end.is_ok() && answer.ends_with("0\r\n\r\n"), "{end:?}: {} bytes", answer.len());
    }
}

/// Answers of readers and writers that are cut at every byte: each request has one answer at once, whole, none, or one
/// that is seen to be cut; never one that seems whole.
#[test]
fn answers_cut_at_every_byte_never_seem_whole() {
    let p = start_platform(256);
    let address = p.node.address();
    // A reader's answer and a writer's, with room for both to be longer than thought.
    for (host, longest) in [(&p.r1, 80), (&p.w1, 420)] {
        let (mut whole_ones, mut cut) = (0, 0);
        for bytes in 0..longest {
            host.script_replies(&[ScriptedReply::TruncateAt(bytes)]);
            let id = format!("cut{}x{bytes:03}", host.name);
            let from = Instant::now();
            let answer = exchange(address, &request_text(&id, CLOSE));
            assert!(from.elapsed() < ms(1500), "{id}: {:?}", from.elapsed());
            let seen = answer.starts_with("HTTP/1.1 200") && !answer.ends_with("0\r\n\r\n");
            assert!(
                is_complete_stream(&answer, &id) || seen || answer.starts_with("HTTP/1.1 503"),
                "{id}: {answer}"
            );
            // Answers earn what a further attempt costs: without, each cut one would be waited for.
            for i in 0..5 {
                let id = format!("good{}x{bytes:03}x{i}", host.name);
                assert!(is_complete_stream(&exchange(address, &request_text(&id, CLOSE)), &id), "{id}");
            }
            whole_ones += usize::from(is_complete_stream(&answer, &id));
            cut += usize::from(seen);
            host.script.lock().expect("no panic").clear();
        }
        assert!(
            whole_ones > 0 && (host.name == "r1") == (cut == 0),
            "{}: {whole_ones} whole, {cut} cut",
            host.name
        );
    }
}

/// Ready though the registry says nothing, its list is long and old, and clients already press.
#[test]
fn ready_with_a_silent_registry_a_long_list_and_clients_that_press() {
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
    // The address is needed before the start: clients do not wait.
    let address = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("an address");
    let config = config(&registry, 256, 350).replace("\"settings\":", &known);
    let config = config.replacen("127.0.0.1:0", &address.to_string(), 1);
    let over = Arc::new(AtomicBool::new(false));
    thread::scope(|scope| {
        for i in 0..60 {
            let over = over.clone();
            scope.spawn(move || {
                for k in 0.. {
                    if over.load(Ordering::SeqCst) {
                        break;
                    }
                    if let Ok(mut stream) = TcpStream::connect(address) {
                        let _ = stream.set_read_timeout(Some(ms(300)));
                        let text = request_text(&format!("press{i}x{k}"), CLOSE);
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
        over.store(true, Ordering::SeqCst);
        println!("ready after {took:?}");
        assert!(took < ms(5000), "{took:?}");
        drop(node);
    });
}
