//! What hosts are asked and what they answer.

use crate::call::{ID, KEY, LEFT};
use serde::Deserialize;
use std::fmt::Write;
use std::time::Duration;
use tulipstall::interface::Outcome;
use tulipstall_http1::{Limits, ResponseHead};

const NOT_RUN: &str = "x-turned-away";

/// A host's answer: a head of some lines; a stream is a body, which the platform bounds.
pub const ANSWER: Limits = Limits { head: 8192, line: 4096, headers: 64, body: 256 << 10 };

/// An event of a stream: some tokens' text, or the figures.
const EVENT: usize = 16 << 10;

/// A client's call as it is passed on to hosts.
#[derive(Clone, Debug, Default)]
pub struct Passed {
    pub target: String,
    pub host: String,
    pub id: String,
    pub key: Option<String>,
}

/// The same call to a host, with the time that it is waited for.
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

/// Lets go of all that any host holds for a task.
pub fn release(host: &str, id: &str) -> String {
    format!("DELETE /internal/reservations/{id} HTTP/1.1\r\nHost: {host}\r\n\r\n")
}

/// What an answer's head says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Says {
    /// A stream follows.
    Streams,
    /// The prompt has been read; the body tells what was found kept.
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
        // Its time was over when it came: that says nothing of the host.
        504 if not_run => Says::Ended(Outcome::Moot),
        _ => Says::Ended(Outcome::Error),
    }
}

#[derive(Default, Deserialize)]
struct Kept {
    #[serde(default)]
    cached_tokens: u32,
}

/// Prompt tokens that a reader found kept.
pub fn kept(body: &[u8]) -> Option<u32> {
    serde_json::from_slice::<Kept>(body).ok().map(|kept| kept.cached_tokens)
}

/// What could not be an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Spoilt;

/// A stream's bytes as whole events, unchanged: what is no event is never passed on.
#[derive(Default)]
pub struct Events {
    part: Vec<u8>,
    pub any: bool,
    /// The mark of the end has come.
    pub done: bool,
}

impl Events {
    /// Takes bytes and appends the whole events of them.
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

    /// Whether a stream that has ended is whole.
    pub fn whole(&self) -> bool {
        self.done && self.part.is_empty()
    }
}
