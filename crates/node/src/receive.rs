//! Reads the requests of one client connection.

use crate::Shared;
use crate::client::{Client, OUT_OF_MEMORY};
use crate::front::Message;
use crate::memory::{Body, MemoryLease};
use std::time::{Duration, Instant};
use tulipstall_http1::{Limits, RequestError, RequestEvent, RequestHead, RequestReader};
use tulipstall_net::channel::Sender;
use tulipstall_net::{Fault, READ_BUFFER_BYTES};
use tulipstall_platform::call::{MAX_BODY_BYTES, Rejection};
use tulipstall_platform::memory_budget::RequestKind;
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

/// How often a request that waits for the memory of a rejected one looks whether it is free, and the interval.
const MEMORY_POLLS: u32 = 5;
const MEMORY_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// A request that has been read completely, with its memory.
pub struct ReceivedRequest {
    pub head: Box<RequestHead>,
    pub body: Body,
    /// Memory of the head.
    _lease: MemoryLease,
}

/// The request that is being read on a connection.
struct Receiver<'a> {
    shared: &'a Shared,
    client: &'a Client,
    reader: RequestReader,
    lease: MemoryLease,
}

impl Receiver<'_> {
    /// Leases memory for the next bytes of the request; false if there is none.
    fn lease_for_next_read(&mut self) -> bool {
        let bytes = self.reader.memory_bytes_after(READ_BUFFER_BYTES);
        self.client.set_unfinished(bytes);
        self.grow_lease(bytes)
    }

    /// Enlarges the lease. While memory is short, other unfinished requests that deserve it less are rejected.
    fn grow_lease(&mut self, bytes: usize) -> bool {
        // The answers to the requests before it may have ended meanwhile.
        let kind = if self.client.has_request() { RequestKind::Ahead } else { RequestKind::Next };
        if self.lease.kind() != kind {
            self.lease = self.shared.request_memory.lease(kind);
        }
        while !self.lease.try_resize(bytes) {
            if kind == RequestKind::Ahead || !self.shared.clients.reject_unfinished_request(self.client) {
                self.shared.request_memory.count_rejected();
                return false;
            }
            self.shared.request_memory.count_rejected();
            self.await_memory(bytes);
        }
        true
    }

    /// Waits for a rejected request to free its memory.
    fn await_memory(&mut self, bytes: usize) {
        for _ in 0..MEMORY_POLLS {
            tulipstall_net::sleep(MEMORY_POLL_INTERVAL);
            if self.lease.try_resize(bytes) {
                return;
            }
        }
    }

    /// Moves the lease to a request that has been read; `None` if there is no memory for it.
    fn complete(&mut self, head: Box<RequestHead>, body: Vec<u8>) -> Option<ReceivedRequest> {
        self.client.set_unfinished(0);
        let body_bytes = body.capacity();
        if !self.grow_lease(head.memory_bytes() + body_bytes) {
            return None;
        }
        let next_lease = self.shared.request_memory.lease(RequestKind::Next);
        let mut lease = std::mem::replace(&mut self.lease, next_lease);
        let body = Body::new(body, lease.split_off(body_bytes));
        Some(ReceivedRequest { head, body, _lease: lease })
    }

    /// No part of a request has been received.
    fn release(&mut self) {
        self.client.set_unfinished(0);
        self.lease.shrink(0);
    }
}

fn rejected(error: RequestError) -> Message {
    Message::Rejected(Rejection { status: error.status(), reason: error.reason() })
}

/// Reads requests until the client disconnects.
pub fn read_requests(shared: &Shared, client: &Client, inbox: &Sender<Message>) -> Message {
    let lease = shared.request_memory.lease(RequestKind::Next);
    let mut receiver = Receiver { shared, client, reader: RequestReader::new(REQUEST_LIMITS), lease };
    let mut begun_at: Option<Instant> = None;
    let mut is_first = true;
    loop {
        match receiver.reader.poll() {
            Err(error) => return rejected(error),
            Ok(RequestEvent::Request(head, body)) => {
                (begun_at, is_first) = (None, false);
                let Some(request) = receiver.complete(head, body) else {
                    return Message::Rejected(OUT_OF_MEMORY);
                };
                match client.begin_request() {
                    Some(in_hand) if in_hand > 1 + MAX_READ_AHEAD => return rejected(TOO_FAR_AHEAD),
                    Some(_) if inbox.send(Message::Request(Box::new(request))).is_ok() => {}
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
                if !begun {
                    receiver.release();
                } else if !receiver.lease_for_next_read() {
                    return Message::Rejected(OUT_OF_MEMORY);
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
                    Ok(got) if got > 0 => receiver.reader.feed(&buffer[..got]),
                    Err(Fault::TimedOut) => return Message::Disconnected { timed_out: begun_at.is_some() },
                    _ => return Message::Disconnected { timed_out: false },
                }
            }
        }
    }
}
