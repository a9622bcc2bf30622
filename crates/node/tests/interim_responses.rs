//! Interim (1xx) responses ahead of an answer, and answers whose head never comes whole.

mod platform;

use platform::*;
use std::thread;
use std::time::{Duration, Instant};

const INTERIM: &str = "HTTP/1.1 102 Processing\r\n\r\n";
const TWO_INTERIMS: &str = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n";
const CLOSE: &str = "Connection: close\r\n";

fn posts(host: &Host, id: &str) -> usize {
    host.calls().iter().filter(|(call, of, _)| call.starts_with("POST") && of == id).count()
}

fn releases(host: &Host, id: &str) -> usize {
    host.calls().iter().filter(|(call, ..)| call == &format!("DELETE /internal/reservations/{id}")).count()
}

/// The head of a good answer comes long after interim responses, which come whole, many at once, or in pieces. Unless they are
/// told from the head, the attempt is given up 0.3 s after the first of them, and its request fails or runs again.
#[test]
fn a_good_answer_may_come_long_after_interim_responses() {
    let p = start_platform(256);
    let forms = [
        ScriptedReply::AfterPieces(&[INTERIM], 600),
        ScriptedReply::AfterPieces(&[INTERIM, INTERIM], 450),
        ScriptedReply::AfterPieces(&[TWO_INTERIMS], 600),
        ScriptedReply::AfterPieces(&["HTTP/1.1 10", "2 Processing\r\nX-A: b", "\r\n\r\n"], 250),
    ];
    for at_reader in [false, true] {
        for (number, reply) in forms.into_iter().enumerate() {
            let id = format!("interim{at_reader}{number}");
            if at_reader { &p.r1 } else { &p.w1 }.script_replies(&[reply]);
            let answer = exchange(p.node.address(), &request_text(&id, CLOSE));
            assert!(is_complete_stream(&answer, &id), "{id}: {answer}");
            let attempts = (posts(&p.r1, &id), posts(&p.w1, &id) + posts(&p.w2, &id));
            assert_eq!(attempts, (1, 1), "{id}: attempts at readers and writers");
        }
    }
}

/// A host sends interim responses, or pieces of one, without end. Unless the time of the attempt ends the wait, the client is
/// never answered.
#[test]
fn interim_responses_without_end_do_not_prolong_the_wait() {
    let p = start_platform(256);
    for (number, reply) in [
        ScriptedReply::Endless(INTERIM, 5),
        ScriptedReply::Endless(INTERIM, 0),
        ScriptedReply::Endless("HTTP/1.1 102 Processing\r\nX-A: b\r\n", 100),
    ]
    .into_iter()
    .enumerate()
    {
        for at_reader in [false, true] {
            if at_reader { &p.r1 } else { &p.w1 }.script_replies(&[reply; 6]);
            let id = format!("endless{at_reader}{number}");
            let from = Instant::now();
            let answer = exchange(p.node.address(), &request_text(&id, CLOSE));
            assert!(from.elapsed() < Duration::from_millis(2900), "{id}: {:?}", from.elapsed());
            assert!(answer.starts_with("HTTP/1.1 "), "{id}: {answer}");
            p.r1.script.lock().expect("no panic").clear();
            p.w1.script.lock().expect("no panic").clear();
        }
    }
}

/// The head of a writer's answer never comes whole. It does not prove that the state was fetched: unless the state is still
/// taken as held, nobody releases it.
#[test]
fn an_answer_without_a_whole_head_leaves_its_state_to_be_released() {
    for reply in [
        ScriptedReply::Raw("HTTP/1.1 200 OK\r\nContent-Type: text/event"),
        ScriptedReply::Raw("\x01\x02noise noise noise"),
        ScriptedReply::AfterPieces(&[INTERIM, "HTTP/1.1 200 OK\r\nContent"], 2000),
    ] {
        let exclusive = EXCLUSIVE.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let (reads, writes) = (Script::default(), Script::default());
        let (r1, w1) = (Host::start("r1", &reads), Host::start("w1", &writes));
        let registry = Registry::start(&[&r1, &w1]);
        let single_use = config(&registry, 256, 1).replace("\"pure\"", "\"side_effect\"");
        let node = start_node_with(&single_use);
        w1.script_replies(&[reply]);
        let answer = exchange(node.address(), &request_text("headless", CLOSE));
        assert!(answer.starts_with("HTTP/1.1 500"), "{reply:?}: {answer}");
        thread::sleep(Duration::from_millis(1200));
        assert!(releases(&r1, "headless") + releases(&w1, "headless") > 0, "{reply:?}: nothing was released");
        drop((node, exclusive));
    }
}

/// Discovery sends an interim response ahead of its answers. Unless it is told from the head, the answer is given up, and what
/// it says about a draining host is not known in time.
#[test]
fn an_interim_response_from_discovery_does_not_fail_the_call() {
    let p = start_platform(256);
    // The watch that is open is answered soon.
    thread::sleep(Duration::from_millis(600));
    let calls_before = p.registry.new_calls.lock().expect("no panic").len();
    p.registry.script.lock().expect("no panic").push_back(RegistryFault::InterimFirst);
    thread::sleep(Duration::from_millis(2500));
    assert!(p.registry.script.lock().expect("no panic").is_empty(), "the fault was not played");
    let calls = p.registry.new_calls.lock().expect("no panic").len();
    assert_eq!(calls, calls_before, "the watch was given up and opened anew");
}
