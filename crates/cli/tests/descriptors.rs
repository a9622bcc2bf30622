//! The program under the system's own bound on descriptors: whoever takes them idly leaves room for what keeps it going.

#[path = "../../node/tests/platform/mod.rs"]
mod platform;

mod running;

use platform::*;
use running::{Running, ms};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Instant;

/// Idle clients, and such as send half a request, press for all descriptors while the registry is down: requests are
/// served, the registry is heard at its return inside the grace, its move is read on SIGHUP, and all ends on SIGTERM.
#[test]
fn idle_clients_leave_descriptors_for_what_keeps_it_going() {
    const SOCKETS: usize = 128;
    let script = Script::default();
    let (r1, w1, w2) = (Host::start("r1", &script), Host::start("w1", &script), Host::start("w2", &script));
    let registry = Registry::start(&[&r1, &w1, &w2]);
    let mut running = Running::start("descriptors", &registry, SOCKETS).ready();
    let address = running.address;
    registry.down.store(true, Ordering::SeqCst);
    // Twice as many as there are descriptors, taken anew as they are let go.
    let mut stay: Vec<TcpStream> = Vec::new();
    let press = |stay: &mut Vec<TcpStream>, many: usize| {
        for i in 0..many {
            let mut stream = connect(address);
            let _ = stream.write_all(if i % 2 == 0 {
                &b""[..]
            } else {
                b"POST /v1/chat/completions HTTP/1.1\r\nHost"
            });
            stay.push(stream);
        }
    };
    let serve = |id: &str| {
        let answer = exchange(address, &request_text(id, "Connection: close\r\n"));
        assert!(is_complete_stream(&answer, id), "{id}: {answer}");
    };
    for round in 0..4 {
        press(&mut stay, SOCKETS / 2);
        for i in 0..5 {
            serve(&format!("down{round}x{i}"));
        }
    }
    // Back with a host that drains, after the watch that was open then has been given up.
    registry.publish(registry_line(&w1, "leaving"));
    thread::sleep(ms(2000));
    registry.down.store(false, Ordering::SeqCst);
    let back = Instant::now();
    let mut i = 0;
    while back.elapsed() < ms(1500) {
        press(&mut stay, 10);
        serve(&format!("back{i}"));
        i += 1;
    }
    let late = |(.., at): &(String, String, Instant)| *at > back + ms(300);
    let last = w1.calls().iter().filter(|call| late(call)).map(|(.., at)| *at - back).max();
    assert_eq!(last, None, "the registry was not heard");
    // Moved, with descriptors as short as before.
    let w3 = Host::start("w3", &script);
    let elsewhere = Registry::start(&[&r1, &w3]);
    running.write(&running.told_of(&registry, &elsewhere));
    running.signal("-HUP");
    let moved = Instant::now();
    while w3.calls().is_empty() {
        assert!(moved.elapsed() < ms(4000), "the move was not read");
        press(&mut stay, 10);
        let _ = exchange(address, &request_text(&format!("moved{i}"), "Connection: close\r\n"));
        i += 1;
    }
    running.signal("-TERM");
    let (status, _) = running.ends(ms(6000));
    assert!(status.success(), "{status}");
    for mut stream in stay {
        let _ = stream.set_read_timeout(Some(ms(200)));
        assert!(stream.read(&mut [0; 512]).is_ok_and(|got| got < 512), "nobody is left waiting");
    }
}

/// The system gives fewer descriptors than the configuration says, so that connections can neither be taken nor opened: no
/// host is suspected for it, and all is well once there are some again.
#[test]
fn no_host_is_blamed_for_what_the_own_machine_lacks() {
    const BOUND: usize = 40;
    let script = Script::default();
    let (r1, w1, w2) = (Host::start("r1", &script), Host::start("w1", &script), Host::start("w2", &script));
    let registry = Registry::start(&[&r1, &w1, &w2]);
    let told = |told: &str| told.replace("\"sockets\":40", "\"sockets\":512");
    let running = Running::start_with("lacks", &registry, BOUND, told).ready();
    let address = running.address;
    script.lock().expect("no panic").extend([ScriptedReply::DelayMs(150); 200]);
    let asks: Vec<_> = (0..2 * BOUND)
        .map(|i| {
            thread::spawn(move || {
                exchange(address, &request_text(&format!("lacks{i:03}"), "Connection: close\r\n"))
            })
        })
        .collect();
    let answers: Vec<String> = asks.into_iter().map(|ask| ask.join().expect("no panic")).collect();
    assert!(answers.iter().all(|answer| answer.starts_with("HTTP/1.1 ")), "{answers:?}");
    let log = running.log();
    assert!(log.contains("for want of something of the own machine"), "descriptors never ran short");
    assert!(!log.contains("suspected"), "{log}");
    script.lock().expect("no panic").clear();
    let answer = exchange(address, &request_text("after", "Connection: close\r\n"));
    assert!(is_complete_stream(&answer, "after"), "{answer}");
}
