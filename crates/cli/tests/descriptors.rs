//! The program under the system's descriptor limit: idle clients must leave it the descriptors that it needs to work.

#[path = "../../node/tests/platform/mod.rs"]
mod platform;

mod running;

use platform::*;
use running::{NodeProcess, ms};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Instant;

/// Idle clients and clients with half a request try to take all descriptors while the registry is down. Without reserved
/// descriptors, requests fail, the registry's return goes unnoticed past the drain grace, a new registry address is not
/// read on SIGHUP, or the process does not exit on SIGTERM.
#[test]
fn idle_clients_leave_descriptors_for_requests_and_the_registry() {
    const DESCRIPTOR_LIMIT: usize = 128;
    let script = Script::default();
    let (r1, w1, w2) = (Host::start("r1", &script), Host::start("w1", &script), Host::start("w2", &script));
    let registry = Registry::start(&[&r1, &w1, &w2]);
    let mut process = NodeProcess::start("descriptors", &registry, DESCRIPTOR_LIMIT).wait_ready();
    let address = process.address;
    registry.down.store(true, Ordering::SeqCst);
    // Twice as many connections as there are descriptors; more follow as the process closes idle ones.
    let mut idle_clients: Vec<TcpStream> = Vec::new();
    let connect_idle_clients = |idle_clients: &mut Vec<TcpStream>, count: usize| {
        for i in 0..count {
            let mut stream = connect(address);
            let _ = stream.write_all(if i % 2 == 0 {
                &b""[..]
            } else {
                b"POST /v1/chat/completions HTTP/1.1\r\nHost"
            });
            idle_clients.push(stream);
        }
    };
    let serve = |id: &str| {
        let answer = exchange(address, &request_text(id, "Connection: close\r\n"));
        assert!(is_complete_stream(&answer, id), "{id}: {answer}");
    };
    for round in 0..4 {
        connect_idle_clients(&mut idle_clients, DESCRIPTOR_LIMIT / 2);
        for i in 0..5 {
            serve(&format!("down{round}x{i}"));
        }
    }
    // The registry returns with a draining host after the dispatcher has given up the watch that was open.
    registry.publish(registry_line(&w1, "leaving"));
    thread::sleep(ms(2000));
    registry.down.store(false, Ordering::SeqCst);
    let registry_back = Instant::now();
    let mut i = 0;
    while registry_back.elapsed() < ms(1500) {
        connect_idle_clients(&mut idle_clients, 10);
        serve(&format!("back{i}"));
        i += 1;
    }
    let after_grace = |(.., at): &(String, String, Instant)| *at > registry_back + ms(300);
    let last_call =
        w1.calls().iter().filter(|call| after_grace(call)).map(|(.., at)| *at - registry_back).max();
    assert_eq!(last_call, None, "the draining host still got requests after the grace");
    // The registry moves while descriptors are as scarce as before.
    let w3 = Host::start("w3", &script);
    let other_registry = Registry::start(&[&r1, &w3]);
    process.write(&process.config_with_registry(&registry, &other_registry));
    process.signal("-HUP");
    let config_changed = Instant::now();
    while w3.calls().is_empty() {
        assert!(config_changed.elapsed() < ms(4000), "the new registry address was not read");
        connect_idle_clients(&mut idle_clients, 10);
        let _ = exchange(address, &request_text(&format!("moved{i}"), "Connection: close\r\n"));
        i += 1;
    }
    process.signal("-TERM");
    let (status, _) = process.wait_for_exit(ms(6000));
    assert!(status.success(), "{status}");
    for mut stream in idle_clients {
        let _ = stream.set_read_timeout(Some(ms(200)));
        assert!(
            stream.read(&mut [0; 512]).is_ok_and(|read| read < 512),
            "a connection is still open after the exit"
        );
    }
}

/// The system allows fewer descriptors than the configuration states, so that connections can neither be accepted nor
/// opened. Without the distinction between local and remote faults, hosts are suspected for it. Once descriptors are free,
/// requests are served again.
#[test]
fn no_host_is_suspected_for_a_local_lack_of_descriptors() {
    const DESCRIPTOR_LIMIT: usize = 40;
    let script = Script::default();
    let (r1, w1, w2) = (Host::start("r1", &script), Host::start("w1", &script), Host::start("w2", &script));
    let registry = Registry::start(&[&r1, &w1, &w2]);
    let more_sockets = |config: &str| config.replace("\"sockets\":40", "\"sockets\":512");
    let process = NodeProcess::start_with("lacks", &registry, DESCRIPTOR_LIMIT, more_sockets).wait_ready();
    let address = process.address;
    script.lock().expect("no panic").extend([ScriptedReply::DelayMs(150); 200]);
    let requests: Vec<_> = (0..2 * DESCRIPTOR_LIMIT)
        .map(|i| {
            thread::spawn(move || {
                exchange(address, &request_text(&format!("lacks{i:03}"), "Connection: close\r\n"))
            })
        })
        .collect();
    let answers: Vec<String> =
        requests.into_iter().map(|request| request.join().expect("no panic")).collect();
    assert!(answers.iter().all(|answer| answer.starts_with("HTTP/1.1 ")), "{answers:?}");
    let log = process.log();
    assert!(log.contains("local resources exhausted"), "the descriptors were never exhausted");
    assert!(!log.contains("suspected"), "{log}");
    script.lock().expect("no panic").clear();
    let answer = exchange(address, &request_text("after", "Connection: close\r\n"));
    assert!(is_complete_stream(&answer, "after"), "{answer}");
}
