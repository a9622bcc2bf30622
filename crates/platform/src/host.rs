//! Requests to hosts and the parsing of their answers.

use crate::call::{ID_HEADER, IDEMPOTENCY_KEY_HEADER, TIME_LEFT_HEADER};
use serde::Deserialize;
use std::fmt::Write;
use std::time::Duration;
use tulipstall::interface::Outcome;
use tulipstall_http1::sse::EventSizes;
use tulipstall_http1::{Limits, ResponseHead};

const NOT_RUN_HEADER: &str = "x-turned-away";

/// Limits of a host's answer: a head of some lines; a stream is a body, whose size the platform limits.
pub const ANSWER_LIMITS: Limits =
    Limits { max_head_bytes: 8192, max_line_bytes: 4096, max_header_lines: 64, max_body_bytes: 256 << 10 };

/// Limit for one event of a stream: the text of some tokens, or the usage figures.
const MAX_EVENT_BYTES: usize = 16 << 10;

/// A client's request as it is forwarded to hosts.
#[derive(Clone, Debug, Default)]
pub struct ForwardedCall {
    /// Path and query.
    pub target: String,
    /// Value of the `Host` header.
    pub host: String,
    pub id: String,
    /// Idempotency key, if the client sent one.
    pub key: Option<String>,
}

/// The head of a request to a host, with the time for which its answer is awaited.
pub fn request_head(call: &ForwardedCall, time_left: Duration, body_bytes: usize) -> Vec<u8> {
    let ForwardedCall { target, host, id, key } = call;
    let mut head = String::with_capacity(256);
    // Writing to a string cannot fail.
    let _ = write!(
        head,
        "POST {target} HTTP/1.1\r\nHost: {host}\r\n{ID_HEADER}: {id}\r\n{TIME_LEFT_HEADER}: {}\r\nContent-Type: application/json\r\n\
         Content-Length: {body_bytes}\r\n",
        time_left.as_millis()
    );
    if let Some(key) = key {
        let _ = write!(head, "{IDEMPOTENCY_KEY_HEADER}: {key}\r\n");
    }
    head.push_str("\r\n");
    head.into_bytes()
}

/// The request that releases everything any host holds for a task.
pub fn release_request(host: &str, id: &str) -> String {
    format!("DELETE /internal/reservations/{id} HTTP/1.1\r\nHost: {host}\r\n\r\n")
}

/// What the head of an answer means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerKind {
    /// A stream follows.
    Stream,
    /// The prompt has been read; the body gives the number of cached tokens.
    Read,
    /// The attempt has ended with this outcome.
    Ended(Outcome),
}

/// Classifies an answer by its head.
pub fn classify(head: &ResponseHead) -> AnswerKind {
    let not_run = head.header(NOT_RUN_HEADER).is_some();
    match head.status {
        200 => AnswerKind::Stream,
        202 => AnswerKind::Read,
        410 if not_run => AnswerKind::Ended(Outcome::NoState),
        503 if not_run => AnswerKind::Ended(Outcome::Full),
        // The task's time was over when the request arrived: this says nothing about the host.
        504 if not_run => AnswerKind::Ended(Outcome::Moot),
        _ => AnswerKind::Ended(Outcome::Error),
    }
}

#[derive(Default, Deserialize)]
struct ReadAnswer {
    #[serde(default)]
    cached_tokens: u32,
}

/// Prompt tokens that a reader found in its cache.
pub fn cached_tokens(body: &[u8]) -> Option<u32> {
    serde_json::from_slice::<ReadAnswer>(body).ok().map(|answer| answer.cached_tokens)
}

/// Input that cannot be an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed;

/// Splits the bytes of a stream into whole events, unchanged; nothing else is passed on.
#[derive(Default)]
pub struct EventSplitter {
    partial: Vec<u8>,
    sizes: EventSizes,
    pub any_event: bool,
    /// The end marker has been received.
    pub end_marker_seen: bool,
}

impl EventSplitter {
    /// Consumes bytes and appends the events that are complete to `out`.
    pub fn feed(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<(), Malformed> {
        self.partial.extend_from_slice(bytes);
        let mut consumed = 0;
        while let Some(at) = self.partial[consumed..].windows(2).position(|two| two == b"\n\n") {
            let event = &self.partial[consumed..consumed + at + 2];
            if !event.starts_with(b"data:") || self.end_marker_seen {
                return Err(Malformed);
            }
            self.end_marker_seen = event[5..].trim_ascii() == b"[DONE]";
            self.any_event = true;
            self.sizes.record(event.len());
            out.extend_from_slice(event);
            consumed += at + 2;
        }
        self.partial.drain(..consumed);
        let may_be_event = self.partial.iter().zip(b"data:").all(|(a, b)| a == b);
        if self.partial.len() > MAX_EVENT_BYTES || !may_be_event { Err(Malformed) } else { Ok(()) }
    }

    /// Whether part of an event has arrived that may be one that is written slowly.
    pub fn has_slow_event(&self) -> bool {
        self.sizes.may_be_slow(&self.partial)
    }

    /// Whether a stream that has ended is complete.
    pub fn is_complete(&self) -> bool {
        self.end_marker_seen && self.partial.is_empty()
    }
}
