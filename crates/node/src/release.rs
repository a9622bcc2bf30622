//! Asks servers to release what they hold for a request, until one has answered.

use crate::attempt::return_to_pool;
use crate::hosts::Endpoint;
use crate::{Shared, lock};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tulipstall::interface::ReleaseReason;
use tulipstall_net::{Fault, Reply, open_sockets, spawn};
use tulipstall_platform::host::{self, ANSWER_LIMITS};
use tulipstall_platform::release::{self, Wave};

/// What is released: the state of one request.
pub struct Held {
    /// The request's id.
    pub id: String,
    /// The server that holds it, or may hold it.
    pub server: String,
    /// Its reader has confirmed it; otherwise it may exist, or may be created later.
    pub confirmed: bool,
}

/// One release that is owed. Counted until it is dropped, so that the process does not stop before it is
/// done.
pub struct Release {
    shared: Arc<Shared>,
    held: Arc<Held>,
    reason: ReleaseReason,
}

/// The results of the calls of one release.
struct Calls {
    is_answered: AtomicBool,
    last_fault: Mutex<Fault>,
}

/// One call of a release, counted until it has ended.
struct CallInFlight {
    shared: Arc<Shared>,
}

impl CallInFlight {
    fn new(shared: Arc<Shared>) -> Self {
        shared.release_calls.fetch_add(1, Ordering::SeqCst);
        CallInFlight { shared }
    }
}

impl Drop for CallInFlight {
    fn drop(&mut self) {
        self.shared.release_calls.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Shared {
    /// Whether a wave may send more than one call: each takes a descriptor and a stack.
    fn may_send_extra_call(&self) -> bool {
        self.socket_budget.may_connect(open_sockets())
            && self.release_calls.load(Ordering::SeqCst) < self.max_unsettled
    }
}

/// How often the results of a wave are polled: a tenth of a wave at the usual release time of one second.
const ANSWER_POLL_INTERVAL: Duration = Duration::from_millis(5);

impl Release {
    pub fn new(shared: Arc<Shared>, held: Held, reason: ReleaseReason) -> Self {
        shared.unsettled.fetch_add(1, Ordering::SeqCst);
        if reason == ReleaseReason::Unanswered {
            shared.releases.unanswered.fetch_add(1, Ordering::Relaxed);
            let Held { id, server, .. } = &held;
            tracing::info!(id, server, "released while an attempt is unanswered");
        }
        Release { shared, held: Arc::new(held), reason }
    }

    pub fn run(self) {
        let started = Instant::now();
        self.ask_in_waves();
        if !self.held.confirmed {
            // The read may have ended well after the first release, where its server could not notice that
            // nobody waits any more.
            tulipstall_net::sleep(
                release::repeat_delay(self.shared.release_time).saturating_sub(started.elapsed()),
            );
            self.ask_in_waves();
        }
    }

    /// Asks more and more servers until one answers.
    fn ask_in_waves(&self) {
        let counts = &self.shared.releases;
        counts.owed.fetch_add(1, Ordering::Relaxed);
        let started = Instant::now();
        let calls =
            Calls { is_answered: AtomicBool::new(false), last_fault: Mutex::new(Fault::NoConnection) };
        let calls = Arc::new(calls);
        let mut asked: Vec<Arc<Endpoint>> = Vec::new();
        let mut number = 0;
        while let Some(wave) = release::wave(number, self.shared.release_time) {
            self.send(wave, number, &mut asked, &calls);
            if calls.is_answered_within(wave.answer_wait) {
                return self.note_done(started);
            }
            number += 1;
        }
        counts.abandoned.fetch_add(1, Ordering::Relaxed);
        let Held { id, server, .. } = &*self.held;
        let (calls_sent, why) = (asked.len(), *lock(&calls.last_fault));
        let ms = started.elapsed().as_millis() as u64;
        tracing::warn!(id, server, calls_sent, ms, ?why, "a held state could not be released");
    }

    /// Sends one wave of calls: a single call if descriptors or memory are short, and none if no server is listed.
    fn send(&self, wave: Wave, number: u32, asked: &mut Vec<Arc<Endpoint>>, calls: &Arc<Calls>) {
        let shared = &self.shared;
        for call in 0..wave.calls {
            if call > 0 && !shared.may_send_extra_call() {
                return;
            }
            let Some(endpoint) = shared.hosts.next_to_ask(&self.held.server, asked) else { return };
            asked.push(endpoint.clone());
            let (held, calls) = (self.held.clone(), calls.clone());
            let (reason, new) = (self.reason, release::wants_new_connection(number, call));
            let in_flight = CallInFlight::new(shared.clone());
            spawn(move || {
                let shared = &in_flight.shared;
                let started = Instant::now();
                let answer = send_call(shared, &endpoint, &held.id, new);
                calls.record(&endpoint, answer);
                let (Held { id, server, confirmed }, host) = (&*held, &endpoint.name);
                let ms = started.elapsed().as_millis() as u64;
                tracing::debug!(
                    id,
                    server,
                    sure = confirmed,
                    ?reason,
                    host,
                    number,
                    new,
                    ?answer,
                    ms,
                    "release"
                );
            });
        }
    }

    fn note_done(&self, started: Instant) {
        let (shared, took) = (&self.shared, started.elapsed());
        shared.releases.done.fetch_add(1, Ordering::Relaxed);
        if took > release::time_left_when_owed(shared.release_time) {
            shared.releases.late.fetch_add(1, Ordering::Relaxed);
            let Held { id, server, confirmed } = &*self.held;
            tracing::warn!(
                id,
                server,
                sure = confirmed,
                ms = took.as_millis() as u64,
                "a held state was released late"
            );
        }
    }
}

impl Drop for Release {
    fn drop(&mut self) {
        self.shared.unsettled.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Calls {
    fn record(&self, endpoint: &Endpoint, answer: Result<(), Fault>) {
        if answer != Err(Fault::LocalMachine) {
            endpoint.set_reachable(answer.is_ok());
        }
        match answer {
            Ok(()) => self.is_answered.store(true, Ordering::Release),
            Err(fault) => *lock(&self.last_fault) = fault,
        }
    }

    /// Waits until any call is answered, at most for `span`; returns whether one was.
    fn is_answered_within(&self, span: Duration) -> bool {
        let until = Instant::now() + span;
        loop {
            if self.is_answered.load(Ordering::Acquire) {
                return true;
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return false;
            }
            tulipstall_net::sleep(left.min(ANSWER_POLL_INTERVAL));
        }
    }
}

/// Sends one call to one server, over a new connection if requested. Only an answer shows that the call has
/// arrived.
fn send_call(shared: &Shared, endpoint: &Endpoint, id: &str, new: bool) -> Result<(), Fault> {
    let within = release::call_timeout(shared.release_time);
    let until = Instant::now() + within;
    let link = if new { shared.new_link(endpoint, within)? } else { shared.link(endpoint, within)?.0 };
    // Drained or removed meanwhile.
    if !endpoint.is_open() {
        return Err(Fault::NoConnection);
    }
    link.write(host::release_request(&endpoint.name, id).as_bytes(), until)?;
    let mut reply = Reply::new(link, ANSWER_LIMITS);
    let head = reply.head(until)?;
    reply.whole_body(until)?;
    return_to_pool(shared, endpoint, reply);
    if head.status < 300 { Ok(()) } else { Err(Fault::Malformed) }
}
