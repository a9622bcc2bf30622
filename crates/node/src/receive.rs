//! Reads the requests of one client connection.

use crate::Shared;
use crate::client::Client;
use crate::front::Message;
use may::sync::mpsc::Sender;
use std::time::Instant;
use tulipstall_http1::{Limits, RequestError, RequestEvent, RequestReader};
use tulipstall_net::{Fault, READ_BUFFER_BYTES};
use tulipstall_platform::call::MAX_BODY_BYTES;
use tulipstall_platform::socket_budget::{FIRST_BYTE_TIMEOUT, MAX_READ_AHEAD, REQUEST_TIMEOUT};

const REQUEST_LIMITS: Limits = Limits {
    max_head_bytes: 8192,
    max_line_bytes: 4096,
    max_header_lines: 48,
    max_body_bytes: MAX_BODY_BYTES,
};

/// The answer to a client that has sent too many requests ahead. Clients send one at a time, and unread
/// requests would hide whether the client is still connected.
const TOO_FAR_AHEAD: RequestError = RequestError::Malformed("too many requests at once");

/// Reads requests until the client disconnects.
pub fn read_requests(shared: &Shared, client: &Client, inbox: &Sender<Message>) -> Message {
    let mut reader = RequestReader::new(REQUEST_LIMITS);
    let mut begun_at: Option<Instant> = None;
    let mut is_first = true;
    loop {
        match reader.poll() {
            Err(error) => return Message::Rejected(error),
            Ok(RequestEvent::Request(head, body)) => {
                (begun_at, is_first) = (None, false);
                match client.begin_request() {
                    Some(in_hand) if in_hand > 1 + MAX_READ_AHEAD => return Message::Rejected(TOO_FAR_AHEAD),
                    Some(_) if inbox.send(Message::Request(head, body)).is_ok() => {}
                    _ => return Message::Disconnected { timed_out: false },
                }
            }
            Ok(RequestEvent::Continue) => {
                let _ = inbox.send(Message::Continue);
            }
            Ok(RequestEvent::NeedMore { begun }) => {
                if !client.set_partial(begun) {
                    return Message::Disconnected { timed_out: false };
                }
                if begun && begun_at.is_none() {
                    begun_at = Some(if is_first { client.since() } else { Instant::now() });
                }
                // Timed from the end of the answer before: while an answer is pending its connection is not
                // ended.
                let pending = client.has_request();
                let until = match begun_at {
                    Some(since) => since.max(client.since()) + REQUEST_TIMEOUT,
                    None if is_first => client.since() + FIRST_BYTE_TIMEOUT,
                    None => Instant::now() + shared.socket_budget.idle_timeout(shared.clients.count()),
                };
                let mut buffer = [0; READ_BUFFER_BYTES];
                // No time limit while an answer is pending: the end of the last answer sets it.
                match client.link.read_until(&mut buffer, (!pending).then_some(until)) {
                    Ok(got) if got > 0 => reader.feed(&buffer[..got]),
                    Err(Fault::TimedOut) => return Message::Disconnected { timed_out: begun_at.is_some() },
                    _ => return Message::Disconnected { timed_out: false },
                }
            }
        }
    }
}
