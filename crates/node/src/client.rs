//! Clients' connections as their coroutines and the eviction of clients share them.

use crate::{Shared, lock};
use slab::Slab;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tulipstall_net::{Fault, Link, READ_BUFFER_BYTES};
use tulipstall_platform::call::Rejection;
use tulipstall_platform::memory_budget::{self, UnfinishedRequest};
use tulipstall_platform::socket_budget::{EvictionCandidate, MAX_DISCARDED_BYTES, NEW_CONNECTION_GRACE};

/// Time limit for a write to a client that does not read.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// The answer to a client whose request does not fit into the memory.
pub const OUT_OF_MEMORY: Rejection = Rejection { status: 503, reason: "out of memory: ask again" };

/// The answer to a client with part of a request whose connection makes room for another one.
const TOO_MANY_CONNECTIONS: Rejection = Rejection { status: 408, reason: "too many connections" };

/// A complete answer that is not a stream.
pub fn plain_response(status: u16, why: &str, keep_alive: bool, retry_after: Option<Duration>) -> String {
    let reason = match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        409 => "Conflict",
        503 => "Service Unavailable",
        _ => "Error",
    };
    let body = if status == 200 { String::new() } else { format!("{{\"error\":\"{why}\"}}") };
    let after =
        retry_after.map_or(String::new(), |after| format!("Retry-After: {:.3}\r\n", after.as_secs_f64()));
    let close = if keep_alive { "" } else { "Connection: close\r\n" };
    let length = body.len();
    format!(
        "HTTP/1.1 {status} {reason}\r\nContent-Type: application/json\r\n{after}{close}Content-Length: {length}\r\n\r\n{body}"
    )
}

/// State of a connection that its two coroutines share with the eviction of clients.
pub struct Client {
    pub link: Link,
    has_left: AtomicBool,
    /// Requests that are read and not answered yet, and flags; zero if the connection is idle.
    busy: AtomicUsize,
    /// The number of answered requests.
    answered: AtomicUsize,
    /// The host connection of the stream that the client receives, shut when the client disconnects.
    stream_host: Mutex<Option<Link>>,
    /// When the connection was accepted; later, when its last answer ended.
    since: Mutex<Instant>,
    /// Memory of the request that is being received, and when its last bytes arrived.
    unfinished: Mutex<(usize, Instant)>,
}

/// Flag in `busy`: the connection was closed as idle, and requests read from then on are ignored.
const ENDED_FLAG: usize = 1 << (usize::BITS - 1);
/// Flag in `busy`: part of a request has been received; once it is whole it has to be answered.
const PARTIAL_FLAG: usize = ENDED_FLAG >> 1;
/// Mask of `busy` for the number of whole requests.
const COUNT_MASK: usize = PARTIAL_FLAG - 1;

impl Client {
    pub fn new(link: Link) -> Arc<Client> {
        Arc::new(Client {
            link,
            has_left: AtomicBool::new(false),
            busy: AtomicUsize::new(0),
            answered: AtomicUsize::new(0),
            stream_host: Mutex::new(None),
            since: Mutex::new(Instant::now()),
            unfinished: Mutex::new((0, Instant::now())),
        })
    }

    pub fn write(&self, bytes: &[u8]) -> Result<(), Fault> {
        self.link.write(bytes, Instant::now() + WRITE_TIMEOUT)
    }

    pub fn has_left(&self) -> bool {
        self.has_left.load(Ordering::Acquire)
    }

    /// Whether the client has disconnected, even if its reader has not noticed yet.
    pub fn is_gone(&self) -> bool {
        self.has_left() || self.link.is_closed_by_peer()
    }

    /// Changes `busy` unless the connection has been ended.
    fn update_busy(&self, change: impl Fn(usize) -> usize) -> Option<usize> {
        let change = |busy: usize| (busy & ENDED_FLAG == 0).then(|| change(busy));
        self.busy.fetch_update(Ordering::SeqCst, Ordering::SeqCst, change).ok()
    }

    /// Counts one more request: returns how many are open with it, or `None` if the connection has been
    /// ended.
    pub fn begin_request(&self) -> Option<usize> {
        self.update_busy(|busy| (busy & !PARTIAL_FLAG) + 1).map(|before| (before & COUNT_MASK) + 1)
    }

    /// Records whether part of a request has been received; false if the connection has been ended.
    pub fn set_partial(&self, partial: bool) -> bool {
        self.update_busy(|busy| if partial { busy | PARTIAL_FLAG } else { busy & !PARTIAL_FLAG }).is_some()
    }

    /// Records an answer: returns whether another request waits, and whether part of one has been received.
    pub fn end_request(&self) -> (bool, bool) {
        self.answered.fetch_add(1, Ordering::Relaxed);
        *lock(&self.since) = Instant::now();
        let before = self.busy.fetch_sub(1, Ordering::SeqCst);
        ((before & COUNT_MASK) > 1, before & PARTIAL_FLAG != 0)
    }

    /// Whether part of a request has been received.
    pub fn has_partial(&self) -> bool {
        self.busy.load(Ordering::SeqCst) & PARTIAL_FLAG != 0
    }

    /// Whether a whole request waits for its answer.
    pub fn has_request(&self) -> bool {
        self.busy.load(Ordering::SeqCst) & COUNT_MASK > 0
    }

    pub fn since(&self) -> Instant {
        *lock(&self.since)
    }

    /// Records the memory of the request that is being received, as bytes of it have just arrived.
    pub fn set_unfinished(&self, bytes: usize) {
        *lock(&self.unfinished) = (bytes, Instant::now());
    }

    fn unfinished_request(&self) -> UnfinishedRequest {
        let (bytes, since) = *lock(&self.unfinished);
        UnfinishedRequest { bytes, idle: since.elapsed() }
    }

    fn eviction_candidate(&self, shared: &Shared) -> EvictionCandidate {
        EvictionCandidate {
            since: self.since().saturating_duration_since(shared.start),
            partial: self.has_partial(),
            answered_before: self.answered.load(Ordering::Relaxed) > 0,
        }
    }

    /// Ends the connection if `ends` holds for `busy`; returns whether it did. A client that has sent part of a
    /// request gets `answer`.
    fn end_if(&self, ends: impl Fn(usize) -> bool, answer: &str) -> bool {
        let ended = |busy| ends(busy).then_some(ENDED_FLAG);
        let before = self.busy.fetch_update(Ordering::SeqCst, Ordering::SeqCst, ended);
        if let Ok(before) = before {
            if before & PARTIAL_FLAG != 0 {
                let _ = self.link.write_available(answer.as_bytes());
            }
            self.has_left.store(true, Ordering::Release);
            self.link.shut();
        }
        before.is_ok()
    }

    /// Ends the connection if no part of a request has been received; if a request arrives at the same
    /// moment, only one of the two takes effect.
    pub fn end_if_idle(&self) -> bool {
        self.end_if(|busy| busy == 0, "")
    }

    /// Like [`Client::end_if_idle`], also if part of a request has been received: then the client gets this
    /// answer.
    fn end_if_no_whole_request(&self, Rejection { status, reason }: Rejection) -> bool {
        self.end_if(|busy| busy & !PARTIAL_FLAG == 0, &plain_response(status, reason, false, None))
    }

    /// Reads and discards input up to a limit, so that the client's disconnect is noticed; ends when the
    /// requests read before have been answered, as that closes the connection.
    // Never inlined: keeps the buffer off the stack of a coroutine that only reads requests.
    #[inline(never)]
    pub fn discard_input(&self) {
        let (mut buffer, mut remaining) = ([0; READ_BUFFER_BYTES], MAX_DISCARDED_BYTES);
        while remaining > 0 {
            match self.link.read_until(&mut buffer, None) {
                Ok(got) if got > 0 => remaining = remaining.saturating_sub(got),
                _ => return,
            }
        }
    }

    pub fn set_stream_host(&self, host: Option<&Link>) {
        *lock(&self.stream_host) = host.cloned();
        if let (Some(host), true) = (host, self.has_left()) {
            host.shut();
        }
    }

    pub fn mark_left(&self) {
        self.has_left.store(true, Ordering::Release);
        if let Some(host) = &*lock(&self.stream_host) {
            host.shut();
        }
    }
}

/// All clients' connections.
#[derive(Default)]
pub struct Clients {
    open: Mutex<Slab<Arc<Client>>>,
}

impl Clients {
    pub fn add(&self, client: Arc<Client>) -> usize {
        lock(&self.open).insert(client)
    }

    pub fn remove(&self, index: usize) {
        lock(&self.open).try_remove(index);
    }

    /// The number of clients, including those whose coroutines have not ended yet.
    pub fn count(&self) -> usize {
        lock(&self.open).len()
    }

    /// Closes every connection without a request. One that was just accepted is left open for the time in
    /// which its client sends the first request.
    pub fn close_idle(&self) {
        for (_, client) in lock(&self.open).iter() {
            let is_new = client.answered.load(Ordering::Relaxed) == 0
                && client.since().elapsed() < NEW_CONNECTION_GRACE;
            if !is_new {
                client.end_if_idle();
            }
        }
    }

    /// Evicts a client to make room for one more; returns whether one could be evicted.
    pub fn evict_for_new_client(&self, shared: &Shared) -> bool {
        let open = lock(&self.open);
        let Some(index) = Self::client_to_evict(&open, shared) else { return false };
        let evicted = &open[index];
        // Looked at before the connection is shut.
        let (age_ms, partial) = (evicted.since().elapsed().as_millis() as u64, evicted.has_partial());
        let has_unread_input = evicted.link.has_unread_input();
        let has_ended = evicted.end_if_no_whole_request(TOO_MANY_CONNECTIONS);
        tracing::debug!(age_ms, partial, has_unread_input, has_ended, "client evicted");
        has_ended
    }

    /// The client to evict for a new one. Input that has arrived and is not read yet counts as part of a request; it is
    /// looked for only where it matters.
    fn client_to_evict(open: &Slab<Arc<Client>>, shared: &Shared) -> Option<usize> {
        let may_be_evicted = |client: &Client| !client.has_request() && !client.has_left();
        let candidates = open.iter().filter(|(_, client)| may_be_evicted(client));
        let mut candidates: BTreeMap<usize, EvictionCandidate> =
            candidates.map(|(index, client)| (index, client.eviction_candidate(shared))).collect();
        loop {
            let all = candidates.iter().map(|(index, candidate)| (*index, *candidate));
            let index = shared.socket_budget.client_to_evict(shared.now(), all)?;
            match candidates.get_mut(&index) {
                Some(candidate) if !candidate.partial && open[index].link.has_unread_input() => {
                    candidate.partial = true;
                }
                _ => return Some(index),
            }
        }
    }

    /// Rejects the unfinished request of a client to free its memory for the one of `own`; false if that one has
    /// to be rejected itself. Connections with a whole request are left alone: it has to be answered.
    pub fn reject_unfinished_request(&self, own: &Client) -> bool {
        let open = lock(&self.open);
        let may_be_rejected =
            |client: &Client| std::ptr::eq(client, own) || !(client.has_request() || client.has_left());
        let candidates = open.iter().filter(|(_, client)| may_be_rejected(client) && client.has_partial());
        let candidates = candidates.map(|(index, client)| (index, client.unfinished_request()));
        let Some(index) = memory_budget::request_to_reject(candidates) else { return false };
        !std::ptr::eq(&*open[index], own) && open[index].end_if_no_whole_request(OUT_OF_MEMORY)
    }
}

#[cfg(test)]
mod tests;
