//! Relays a begun stream from its host to its client, in the client's coroutine: a client that does not read
//! slows down its own host and no other.

use crate::Shared;
use crate::attempt::{Begun, give_back};
use crate::front::Client;
use std::time::Instant;
use tulipstall::interface::Outcome;
use tulipstall_core::End;
use tulipstall_http1::body::{LAST_CHUNK, write_chunk};
use tulipstall_net::Fault;
use tulipstall_platform::patience;

const HEAD: &[u8] =
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-store\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Relays a stream; returns the name of the result, and whether the stream was complete and the client's
/// connection can be used again.
pub fn relay(shared: &Shared, client: &Client, mut begun: Begun) -> (&'static str, bool) {
    let mut out = Vec::with_capacity(begun.bytes.len() + 256);
    out.extend_from_slice(HEAD);
    let (mut bytes, mut got) = (std::mem::take(&mut begun.bytes), Vec::new());
    let mut last = Instant::now();
    client.streams(Some(&begun.reply.link));
    let way = begun.way.clone();
    let _streams = way.streams(&begun.reply.link);
    let (outcome, said) = loop {
        write_chunk(&bytes, &mut out);
        if begun.ended && begun.events.whole() {
            out.extend_from_slice(LAST_CHUNK);
        }
        if !out.is_empty() && client.write(&out).is_err() {
            // The host is not at fault.
            break (Outcome::Cancelled, "client left");
        }
        if begun.ended {
            let whole = begun.events.whole();
            break if whole { (Outcome::Delivered, "delivered") } else { (Outcome::Broken, "cut short") };
        }
        out.clear();
        bytes.clear();
        got.clear();
        let (done, way) = (begun.events.done, &begun.way);
        match begun.reply.body_while(&mut got, &|| last + patience::silent(done, way.gone())) {
            Ok(ended) => begun.ended = ended,
            Err(_) if client.left() => break (Outcome::Cancelled, "client left"),
            Err(Fault::TimedOut) => break (Outcome::Broken, "silent"),
            Err(Fault::Rubbish) => break (Outcome::Spoilt, "spoilt"),
            Err(_) => break (Outcome::Broken, "broken"),
        }
        last = Instant::now();
        if begun.events.take(&got, &mut bytes).is_err() {
            break (Outcome::Spoilt, "spoilt");
        }
    };
    client.streams(None);
    let whole = outcome == Outcome::Delivered;
    if whole {
        give_back(shared, &begun.way, begun.reply);
    } else {
        begun.reply.link.shut();
    }
    begun.attempt.close(outcome, End::default());
    (said, whole)
}
