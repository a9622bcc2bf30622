//! Relays a begun stream from its host to its client, in the client's coroutine: a client that does not read
//! slows down its own host and no other.

use crate::Shared;
use crate::attempt::{BegunStream, return_to_pool};
use crate::client::Client;
use std::time::Instant;
use tulipstall::interface::Outcome;
use tulipstall_core::ShotReport;
use tulipstall_http1::body::{LAST_CHUNK, write_chunk};
use tulipstall_net::Fault;
use tulipstall_platform::timeouts::StreamProgress;

const STREAM_HEAD: &[u8] =
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-store\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Relays a stream; returns the name of the result, and whether the stream was complete and the client's
/// connection can be used again.
pub fn relay(shared: &Shared, client: &Client, mut begun: BegunStream) -> (&'static str, bool) {
    let mut output = Vec::with_capacity(begun.bytes.len() + 256);
    output.extend_from_slice(STREAM_HEAD);
    let (mut bytes, mut received) = (std::mem::take(&mut begun.bytes), Vec::new());
    let (mut last_event, mut last_bytes) = (Instant::now(), Instant::now());
    client.set_stream_host(Some(&begun.reply.link));
    let endpoint = begun.endpoint.clone();
    let _stream_entry = endpoint.register_stream(&begun.reply.link);
    let (outcome, result) = loop {
        write_chunk(&bytes, &mut output);
        if begun.ended && begun.events.is_complete() {
            output.extend_from_slice(LAST_CHUNK);
        }
        if !output.is_empty() && client.write(&output).is_err() {
            // The host is not at fault.
            break (Outcome::Cancelled, "client left");
        }
        if !output.is_empty() {
            last_event = Instant::now();
        }
        if begun.ended {
            let whole = begun.events.is_complete();
            break if whole { (Outcome::Delivered, "delivered") } else { (Outcome::Broken, "cut short") };
        }
        output.clear();
        bytes.clear();
        received.clear();
        let progress = StreamProgress {
            last_event,
            slow_event_bytes_at: begun.events.has_slow_event().then_some(last_bytes),
            end_marker_seen: begun.events.end_marker_seen,
        };
        let deadline = || progress.deadline(begun.endpoint.removed_at());
        match begun.reply.body_with_moving_deadline(&mut received, &deadline) {
            Ok(ended) => begun.ended = ended,
            Err(_) if client.has_left() => break (Outcome::Cancelled, "client left"),
            Err(Fault::TimedOut) => break (Outcome::Broken, "silent"),
            Err(Fault::Malformed) => break (Outcome::Spoilt, "spoilt"),
            Err(_) => break (Outcome::Broken, "broken"),
        }
        last_bytes = Instant::now();
        if begun.events.feed(&received, &mut bytes).is_err() {
            break (Outcome::Spoilt, "spoilt");
        }
    };
    client.set_stream_host(None);
    let whole = outcome == Outcome::Delivered;
    if whole {
        return_to_pool(shared, &begun.endpoint, begun.reply);
    } else {
        begun.reply.link.shut();
    }
    begun.reporter.close(outcome, ShotReport::default());
    (result, whole)
}
