//! Streams whose bytes go on arriving without a whole event, hosts that write an event slowly, and clients that read slowly.

mod platform;

use platform::*;
use std::io::{Read, Write};
use std::thread;
use std::time::{Duration, Instant};

const CLOSE: &str = "Connection: close\r\n";
/// The platform's limit for silence behind a host's last event, with its slack.
const SILENCE_LIMIT: Duration = Duration::from_millis(5050);
/// The same for the end of a stream behind its end marker.
const STREAM_END_LIMIT: Duration = Duration::from_millis(1050);

/// Chunks of an event that never ends, well below the limits of an event and a body.
const ENDLESS_EVENT: &str = "10\r\nxxxxxxxxxxxxxxxx\r\n";
const EVENT_BEGINS: &str = "6\r\ndata: \r\n";

const HALF_EVENT: &str = "9\r\ndata: {\"c\r\n";
const HALF_FIRST_EVENT: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata: {\"c\r\n";

const SPOILT_WITH_FIRST_EVENT: &str =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata: x\n\n\r\n1\r\nd\r\n1\r\nd\r\n";

/// Bytes go on arriving behind the first event, or behind the end marker, and never make a whole event or the end. Unless only
/// these count, the client waits for as long as the host goes on.
#[test]
fn a_client_does_not_wait_behind_bytes_that_end_no_event() {
    for (name, reply, limit) in [
        ("data", ScriptedReply::EndlessAfterFirstEvent("6\r\ndata: \r\n", 240), SILENCE_LIMIT),
        ("data at full speed", ScriptedReply::EndlessAfterFirstEvent("1\r\nd\r\n", 0), SILENCE_LIMIT),
        ("size line", ScriptedReply::EndlessAfterFirstEvent("0", 240), SILENCE_LIMIT),
        (
            "trailers",
            ScriptedReply::PiecesAfterFirstEvent("e\r\ndata: [DONE]\n\n\r\n0\r\n", "X-A: b\r\n", 200),
            STREAM_END_LIMIT,
        ),
        (
            "data behind the end marker",
            ScriptedReply::PiecesAfterFirstEvent("e\r\ndata: [DONE]\n\n\r\n", "1;a=b\r\nd\r\n", 200),
            STREAM_END_LIMIT,
        ),
        ("event", ScriptedReply::PiecesAfterFirstEvent(EVENT_BEGINS, ENDLESS_EVENT, 240), SILENCE_LIMIT),
        ("host that stops within an event", ScriptedReply::RawAfterFirstEvent(HALF_EVENT), SILENCE_LIMIT),
    ] {
        let p = start_platform(256);
        p.w1.script_replies(&[reply]);
        let from = Instant::now();
        let answer = exchange(p.node.address(), &request_text("endless", CLOSE));
        assert!(from.elapsed() < limit + Duration::from_millis(100), "{name}: {:?}", from.elapsed());
        assert!(answer.starts_with("HTTP/1.1 200") && !answer.ends_with("0\r\n\r\n"), "{name}: {answer}");
    }
}

/// Bytes that are no event arrive together with the first event, so that nothing has been passed on: the request runs elsewhere.
#[test]
fn a_stream_that_is_spoilt_along_with_its_first_event_runs_elsewhere() {
    let p = start_platform(256);
    p.w1.script_replies(&[ScriptedReply::Raw(SPOILT_WITH_FIRST_EVENT)]);
    let answer = exchange(p.node.address(), &request_text("spoilt", CLOSE));
    assert!(is_complete_stream(&answer, "spoilt"), "{answer}");
}

/// A host is removed from the list while bytes of an endless event go on arriving: its stream ends as soon as that of a silent one.
#[test]
fn a_removed_host_does_not_hold_its_client_with_bytes_that_end_no_event() {
    let p = start_platform(256);
    p.w1.script_replies(&[ScriptedReply::PiecesAfterFirstEvent(EVENT_BEGINS, ENDLESS_EVENT, 100)]);
    let address = p.node.address();
    let client = thread::spawn(move || exchange(address, &request_text("removed", CLOSE)));
    thread::sleep(Duration::from_millis(500));
    p.registry.publish(registry_line(&p.w1, "left"));
    let from = Instant::now();
    let answer = client.join().expect("no panic");
    assert!(from.elapsed() < Duration::from_millis(2500), "{:?}", from.elapsed());
    assert!(answer.starts_with("HTTP/1.1 200") && !answer.ends_with("0\r\n\r\n"), "{answer}");
}

/// The first event never ends, or its host stops within it: the attempt is given up in the time of a first event, and the request
/// runs elsewhere.
#[test]
fn a_first_event_without_end_is_given_up() {
    for reply in
        [ScriptedReply::AfterHead(EVENT_BEGINS, ENDLESS_EVENT, 50), ScriptedReply::Raw(HALF_FIRST_EVENT)]
    {
        let p = start_platform(256);
        p.w1.script_replies(&[reply]);
        let from = Instant::now();
        let answer = exchange(p.node.address(), &request_text("first", CLOSE));
        assert!(is_complete_stream(&answer, "first"), "{reply:?}: {answer}");
        assert!(from.elapsed() < Duration::from_millis(1500), "{reply:?}: {:?}", from.elapsed());
    }
}

/// A client stops reading a long answer for longer than a host may be silent. Its host has written all the while and is not silent:
/// unless the time runs from when the client took the last event, the stream is cut.
#[test]
fn a_client_that_reads_slowly_gets_its_whole_answer() {
    let p = start_platform(256);
    p.w1.script_replies(&[ScriptedReply::ManyEvents(2000)]);
    let mut stream = connect(p.node.address());
    stream.write_all(request_text("slow", CLOSE).as_bytes()).expect("a request");
    let mut answer = vec![0; 1000];
    stream.read_exact(&mut answer).expect("the beginning");
    thread::sleep(Duration::from_millis(4700));
    let _ = stream.read_to_end(&mut answer);
    let answer = String::from_utf8_lossy(&answer);
    assert!(answer.ends_with("0\r\n\r\n") && answer.contains("[DONE]"), "{} bytes", answer.len());
}

/// A host writes an event byte by byte, for longer than a host may be silent: its stream is not cut off.
#[test]
fn a_stream_with_a_slow_event_is_not_cut_off() {
    for (name, slow, ms) in [("a later event", 1, 110), ("the first event", 0, 15)] {
        let p = start_platform(256);
        p.w1.script_replies(&[ScriptedReply::SlowEvent(slow, ms)]);
        let from = Instant::now();
        // Its client waits for longer than usual for the end.
        let mut stream = connect(p.node.address());
        let _ = stream.set_read_timeout(Some(Duration::from_secs(20)));
        stream.write_all(request_text("slow", CLOSE).as_bytes()).expect("a request");
        let mut answer = String::new();
        let _ = stream.read_to_string(&mut answer);
        assert!(is_complete_stream(&answer, "slow"), "{name}: after {:?}: {answer}", from.elapsed());
        let attempts =
            p.w1.calls().iter().chain(&p.w2.calls()).filter(|(call, ..)| call.starts_with("POST")).count();
        assert_eq!(attempts, 1, "{name}");
        println!("{name}: {:?}", from.elapsed());
    }
}
