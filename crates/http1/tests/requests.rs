//! Requests, responses and events: what is accepted and what is rejected does not depend on how the bytes are split.

use proptest::prelude::*;
use tulipstall_http1::{Limits, RequestError, RequestEvent, RequestReader, ResponseReader, sse};

/// Feeds `bytes` to a reader in parts of `part` bytes. Returns `METHOD path [body]` for each request, `100` where the
/// client waits for it, and the status code of a refusal, after which reading ends.
fn read(bytes: &[u8], part: usize) -> Vec<String> {
    let limits = Limits { max_head_bytes: 512, max_line_bytes: 200, max_header_lines: 8, max_body_bytes: 64 };
    let mut reader = RequestReader::new(limits);
    let mut out = Vec::new();
    for part in bytes.chunks(part.max(1)) {
        reader.feed(part);
        loop {
            match reader.poll() {
                Ok(RequestEvent::Request(head, body)) => {
                    out.push(format!("{} {} [{}]", head.method, head.path(), String::from_utf8_lossy(&body)));
                }
                Ok(RequestEvent::Continue) => out.push("100".to_owned()),
                Ok(RequestEvent::NeedMore { .. }) => break,
                Err(refusal) => {
                    out.push(refusal.status().to_string());
                    return out;
                }
            }
        }
    }
    out
}

#[test]
fn requests_are_read_or_refused() {
    let long_line = format!("GET /{} HTTP/1.1\r\nhost: a\r\n\r\n", "x".repeat(300));
    let empty_lines = |count: usize| "\r\n".repeat(count) + "GET / HTTP/1.1\r\nhost: x\r\n\r\n";
    let (as_many_as_a_head, one_more) = (empty_lines(256), empty_lines(257));
    let many = format!("GET / HTTP/1.1\r\nhost: a\r\n{}\r\n", "a: b\r\n".repeat(9));
    let cases: Vec<(&str, &str, Vec<&str>)> = vec![
        ("plain", "GET /a?b HTTP/1.1\r\nhost: x\r\n\r\n", vec!["GET /a []"]),
        (
            "two in a row",
            "GET /a HTTP/1.1\r\nhost: x\r\n\r\nGET /b HTTP/1.1\r\nhost: x\r\n\r\n",
            vec!["GET /a []", "GET /b []"],
        ),
        ("by length", "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\n\r\nabc", vec!["POST / [abc]"]),
        (
            "chunked",
            "POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n2;x=y\r\nab\r\n1\r\nc\r\n0\r\nt: u\r\n\r\n",
            vec!["POST / [abc]"],
        ),
        ("empty lines first", "\r\n\r\nGET / HTTP/1.1\r\nhost: x\r\n\r\n", vec!["GET / []"]),
        ("as many empty lines as a head may have bytes", &as_many_as_a_head, vec!["GET / []"]),
        ("one empty line more", &one_more, vec!["400"]),
        (
            "both lengths",
            "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
            vec!["400"],
        ),
        (
            "two lengths",
            "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\ncontent-length: 3\r\n\r\nabc",
            vec!["400"],
        ),
        ("a list of lengths", "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 3, 3\r\n\r\nabc", vec!["400"]),
        ("a signed length", "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: +3\r\n\r\nabc", vec!["400"]),
        (
            "a length beyond 64 bits",
            "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 99999999999999999999\r\n\r\n",
            vec!["400"],
        ),
        (
            "space before the colon",
            "POST / HTTP/1.1\r\nhost: x\r\ncontent-length : 3\r\n\r\nabc",
            vec!["400"],
        ),
        ("a folded line", "GET / HTTP/1.1\r\nhost: x\r\na: b\r\n c\r\n\r\n", vec!["400"]),
        ("bare LF", "GET / HTTP/1.1\nhost: x\n\n", vec!["400"]),
        ("bare LF in one line", "GET / HTTP/1.1\r\nhost: x\na: b\r\n\r\n", vec!["400"]),
        ("bare CR", "GET / HTTP/1.1\r\nhost: x\ra: b\r\n\r\n", vec!["400"]),
        (
            "another coding",
            "POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: gzip, chunked\r\n\r\n",
            vec!["501"],
        ),
        (
            "chunked twice",
            "POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n\r\n",
            vec!["400"],
        ),
        ("xchunked", "POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: xchunked\r\n\r\n", vec!["501"]),
        ("chunked in 1.0", "POST / HTTP/1.0\r\ntransfer-encoding: chunked\r\n\r\n", vec!["400"]),
        ("no host", "GET / HTTP/1.1\r\n\r\n", vec!["400"]),
        ("two hosts", "GET / HTTP/1.1\r\nhost: x\r\nhost: y\r\n\r\n", vec!["400"]),
        ("HTTP/2.0", "GET / HTTP/2.0\r\nhost: x\r\n\r\n", vec!["505"]),
        (
            "a chunk without a size",
            "POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n\r\n",
            vec!["400"],
        ),
        (
            "a chunk longer than declared",
            "POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n2\r\nabc\r\n0\r\n\r\n",
            vec!["400"],
        ),
        (
            "a chunk ended by LF",
            "POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n2\nab\r\n0\r\n\r\n",
            vec!["400"],
        ),
        (
            "a body too long by length",
            "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 65\r\n\r\n",
            vec!["413"],
        ),
        (
            "a body too long in chunks",
            "POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n41\r\n",
            vec!["413"],
        ),
        (
            "waits for 100 Continue",
            "POST / HTTP/1.1\r\nhost: x\r\nexpect: 100-continue\r\ncontent-length: 1\r\n\r\n",
            vec!["100"],
        ),
        ("a long line", &long_line, vec!["431"]),
        ("many headers", &many, vec!["431"]),
        ("a NUL", "GET / HTTP/1.1\r\nhost: x\0\r\n\r\n", vec!["400"]),
    ];
    for (name, bytes, expected) in cases {
        for part in [1, 2, 3, 7, 1000] {
            assert_eq!(read(bytes.as_bytes(), part), expected, "{name}, in parts of {part}");
        }
    }
}

#[test]
fn a_refusal_is_permanent() {
    let mut reader = RequestReader::new(Limits::default());
    reader.feed(b"BAD\r\n\r\n");
    assert!(matches!(reader.poll(), Err(RequestError::Malformed(_))));
    reader.feed(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n");
    assert!(matches!(reader.poll(), Err(RequestError::Malformed(_))));
}

/// Reads `bytes` as events in parts of `part` bytes; `None` if a part is rejected.
fn events(bytes: &[u8], part: usize) -> Option<Vec<sse::Event>> {
    let (mut reader, mut out) = (sse::EventReader::new(1000), Vec::new());
    for part in bytes.chunks(part.max(1)) {
        reader.feed(part, &mut out).ok()?;
    }
    Some(out)
}

proptest! {
    #[test]
    fn any_bytes_are_read_alike_at_any_split(bytes in proptest::collection::vec(any::<u8>(), 0..300), part in 1usize..50) {
        prop_assert_eq!(read(&bytes, part).last().cloned(), read(&bytes, 1000).last().cloned());
    }

    #[test]
    fn a_request_with_one_changed_byte_is_read_alike_at_any_split(at in 0usize..120, byte in any::<u8>(), part in 1usize..40) {
        let mut bytes =
            b"POST /v1 HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\nGET / HTTP/1.1\r\nhost: x\r\n\r\n".to_vec();
        let at = at % bytes.len();
        bytes[at] = byte;
        prop_assert_eq!(read(&bytes, part), read(&bytes, 1000));
    }

    #[test]
    fn written_events_are_read_again_at_any_split(texts in proptest::collection::vec("[^\r\n]{0,40}", 1..8), part in 1usize..30) {
        let mut bytes = Vec::new();
        for text in &texts {
            sse::write_event("delta", text, &mut bytes);
        }
        let got = events(&bytes, part).unwrap_or_default();
        let data: Vec<String> = got.iter().map(|event| event.data.clone()).collect();
        prop_assert_eq!(data, texts);
    }

    #[test]
    fn arbitrary_bytes_as_events_or_as_a_response_body_are_handled(bytes in proptest::collection::vec(any::<u8>(), 0..2000), part in 1usize..99) {
        let _ = events(&bytes, part);
        let mut reader = ResponseReader::new(Limits::default());
        reader.feed(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
        let mut out = Vec::new();
        for part in bytes.chunks(part) {
            reader.feed(part);
            if reader.head().is_err() || reader.body(&mut out).is_err() {
                break;
            }
        }
        prop_assert!(out.len() <= bytes.len());
    }
}
