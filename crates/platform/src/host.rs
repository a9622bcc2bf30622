//! Requests to hosts and the parsing of their answers.

use crate::call::{ID, KEY, LEFT};
use serde::Deserialize;
use std::fmt::Write;
use std::time::Duration;
use tulipstall::interface::Outcome;
use tulipstall_http1::{Limits, ResponseHead};

const NOT_RUN: &str = "x-turned-away";

/// Limits of a host's answer: a head of some lines; a stream is a body, whose size the platform limits.
pub const ANSWER: Limits = Limits { head: 8192, line: 4096, headers: 64, body: 256 << 10 };

/// Limit for one event of a stream: the text of some tokens, or the usage figures.
const EVENT: usize = 16 << 10;

/// A client's request as it is forwarded to hosts.
#[derive(Clone, Debug, Default)]
pub struct Passed {
    pub target: String,
    pub host: String,
    pub id: String,
    pub key: Option<String>,
}

/// The request to a host, with the time for which its answer is awaited.
pub fn request(call: &Passed, left: Duration, body: &[u8]) -> Vec<u8> {
    let Passed { target, host, id, key } = call;
    let mut head = String::with_capacity(256);
    // Writing to a string cannot fail.
    let _ = write!(
        head,
        "POST {target} HTTP/1.1\r\nHost: {host}\r\n{ID}: {id}\r\n{LEFT}: {}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\n",
        left.as_millis(),
        body.len()
    );
    if let Some(key) = key {
        let _ = write!(head, "{KEY}: {key}\r\n");
    }
    head.push_str("\r\n");
    let mut request = head.into_bytes();
    request.extend_from_slice(body);
    request
}

/// The request that releases everything any host holds for a task.
pub fn release(host: &str, id: &str) -> String {
    format!("DELETE /internal/reservations/{id} HTTP/1.1\r\nHost: {host}\r\n\r\n")
}

/// What the head of an answer means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Says {
    /// A stream follows.
    Streams,
    /// The prompt has been read; the body gives the number of cached tokens.
    Read,
    Ended(Outcome),
}

pub fn says(head: &ResponseHead) -> Says {
    let not_run = head.text(NOT_RUN).is_some();
    match head.status {
        200 => Says::Streams,
        202 => Says::Read,
        410 if not_run => Says::Ended(Outcome::NoState),
        503 if not_run => Says::Ended(Outcome::Full),
        // The task's time was over when the request arrived: this says nothing about the host.
        504 if not_run => Says::Ended(Outcome::Moot),
        _ => Says::Ended(Outcome::Error),
    }
}

#[derive(Default, Deserialize)]
struct Kept {
    #[serde(default)]
    cached_tokens: u32,
}

/// Prompt tokens that a reader found in its cache.
pub fn kept(body: &[u8]) -> Option<u32> {
    serde_json::from_slice::<Kept>(body).ok().map(|kept| kept.cached_tokens)
}

/// Input that cannot be an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Spoilt;

/// Splits the bytes of a stream into whole events, unchanged; nothing else is passed on.
#[derive(Default)]
pub struct Events {
    part: Vec<u8>,
    pub any: bool,
    /// The end marker has been received.
    pub done: bool,
}

impl Events {
    /// Consumes bytes and appends the events that are complete to `out`.
    pub fn take(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<(), Spoilt> {
        self.part.extend_from_slice(bytes);
        let mut from = 0;
        while let Some(at) = self.part[from..].windows(2).position(|two| two == b"\n\n") {
            let event = &self.part[from..from + at + 2];
            if !event.starts_with(b"data:") || self.done {
                return Err(Spoilt);
            }
            self.done = event[5..].trim_ascii() == b"[DONE]";
            self.any = true;
            out.extend_from_slice(event);
            from += at + 2;
        }
        self.part.drain(..from);
        let begins = self.part.iter().zip(b"data:").all(|(a, b)| a == b);
        if self.part.len() > EVENT || !begins { Err(Spoilt) } else { Ok(()) }
    }

    /// Whether a stream that has ended is complete.
    pub fn whole(&self) -> bool {
        self.done && self.part.is_empty()
    }
}
