//! Clients' connections. Each has two coroutines: one reads requests and notices when the client disconnects,
//! the other answers them in order.

use crate::attempt::Begun;
use crate::owner::Post;
use crate::task::Task;
use crate::{Shared, lock, relay};
use may::sync::mpsc::{Receiver, Sender, channel};
use slab::Slab;
use std::collections::VecDeque;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tulipstall_core::TaskId;
use tulipstall_http1::{Head, Limits, Refusal, RequestReader, Step};
use tulipstall_net::errors::{self, Tells};
use tulipstall_net::{Fault, Link, Listener, READ, sockets_held, spawn};
use tulipstall_platform::call::{self, BODY, Refused};
use tulipstall_platform::host::Passed;
use tulipstall_platform::room::{AHEAD, FIRST, Goes, Idle, LINGERS, REQUEST, SAYS_NOTHING, SWALLOWS};

const REQUESTS: Limits = Limits { head: 8192, line: 4096, headers: 48, body: BODY };

/// Clients send one request at a time; unread requests far ahead would hide whether the client is still
/// connected.
const TOO_MANY: Refusal = Refusal::Malformed("too many requests at once");

/// Time limit for a write to a client that does not read.
const STALL: Duration = Duration::from_secs(5);

/// Messages to the coroutine that answers.
pub enum Message {
    Request(Box<Head>, Vec<u8>),
    /// The client waits for `100 Continue` before it sends its body.
    Continue,
    Refused(Refusal),
    /// The client has disconnected, was idle for too long, or took too long to send a request.
    Left {
        late: bool,
    },
    Begun {
        id: TaskId,
        begun: Box<Begun>,
    },
    Bounced {
        id: TaskId,
        come_back: Option<Duration>,
    },
    BrokenOff {
        id: TaskId,
    },
    /// An attempt noticed that the client has disconnected, and closed its task.
    Gone {
        id: TaskId,
    },
}

/// State of a connection that its two coroutines share with the eviction of clients.
pub struct Client {
    link: Link,
    left: AtomicBool,
    /// Requests that are read and not answered yet, and flags; zero if the connection is idle.
    busy: AtomicUsize,
    /// The number of answered requests.
    answered: AtomicUsize,
    /// The host connection of the stream that the client receives, shut when the client disconnects.
    host: Mutex<Option<Link>>,
    /// When the connection was accepted; later, when its last answer ended.
    since: Mutex<Instant>,
}

/// Flag in `busy`: the connection was closed as idle, and requests read from then on are ignored.
const ENDED: usize = 1 << (usize::BITS - 1);
/// Flag in `busy`: part of a request has been received; once it is whole it has to be answered.
const PART: usize = ENDED >> 1;
/// Mask of `busy` for the number of whole requests.
const WHOLE: usize = PART - 1;

impl Client {
    pub fn new(link: Link) -> Arc<Client> {
        Arc::new(Client {
            link,
            left: AtomicBool::new(false),
            busy: AtomicUsize::new(0),
            answered: AtomicUsize::new(0),
            host: Mutex::new(None),
            since: Mutex::new(Instant::now()),
        })
    }

    pub fn write(&self, bytes: &[u8]) -> Result<(), Fault> {
        self.link.write(bytes, Instant::now() + STALL)
    }

    pub fn left(&self) -> bool {
        self.left.load(Ordering::Acquire)
    }

    /// Whether the client has disconnected, even if its reader has not noticed yet.
    pub fn gone(&self) -> bool {
        self.left() || self.link.ended()
    }

    /// Changes `busy` unless the connection has been ended.
    fn counts(&self, change: impl Fn(usize) -> usize) -> Option<usize> {
        let change = |busy: usize| (busy & ENDED == 0).then(|| change(busy));
        self.busy.fetch_update(Ordering::SeqCst, Ordering::SeqCst, change).ok()
    }

    /// Counts one more request: returns how many are open with it, or `None` if the connection has been
    /// ended.
    fn takes(&self) -> Option<usize> {
        self.counts(|busy| (busy & !PART) + 1).map(|before| (before & WHOLE) + 1)
    }

    /// Records whether part of a request has been received; false if the connection has been ended.
    fn has_part(&self, part: bool) -> bool {
        self.counts(|busy| if part { busy | PART } else { busy & !PART }).is_some()
    }

    /// Records an answer: returns whether another request waits, and whether part of one has been received.
    fn answered(&self) -> (bool, bool) {
        self.answered.fetch_add(1, Ordering::Relaxed);
        *lock(&self.since) = Instant::now();
        let before = self.busy.fetch_sub(1, Ordering::SeqCst);
        ((before & WHOLE) > 1, before & PART != 0)
    }

    /// Whether part of a request has been received.
    fn is_part(&self) -> bool {
        self.busy.load(Ordering::SeqCst) & PART != 0
    }

    /// Whether a whole request waits for its answer.
    fn waits(&self) -> bool {
        self.busy.load(Ordering::SeqCst) & WHOLE > 0
    }

    fn since(&self) -> Instant {
        *lock(&self.since)
    }

    fn ends_if(&self, ends: impl Fn(usize) -> bool) -> bool {
        let ended = |busy| ends(busy).then_some(ENDED);
        let before = self.busy.fetch_update(Ordering::SeqCst, Ordering::SeqCst, ended);
        if let Ok(before) = before {
            if before & PART != 0 {
                let _ = self.link.write_now(plain(408, "too many connections", false, None).as_bytes());
            }
            self.left.store(true, Ordering::Release);
            self.link.shut();
        }
        before.is_ok()
    }

    /// Ends the connection if no part of a request has been received; if a request arrives at the same
    /// moment, only one of the two takes effect.
    fn end_if_idle(&self) -> bool {
        self.ends_if(|busy| busy == 0)
    }

    /// Like [`Client::end_if_idle`], also if part of a request has been received: then the client gets an
    /// answer that says so.
    fn end_if_nothing_whole(&self) -> bool {
        self.ends_if(|busy| busy & !PART == 0)
    }

    /// Reads and discards input up to a limit, so that the client's disconnect is noticed; ends when the
    /// requests read before have been answered, as that closes the connection.
    fn swallow(&self) {
        let (mut buffer, mut left) = ([0; READ], SWALLOWS);
        while left > 0 {
            match self.link.read_until(&mut buffer, None) {
                Ok(got) if got > 0 => left = left.saturating_sub(got),
                _ => return,
            }
        }
    }

    pub fn streams(&self, host: Option<&Link>) {
        *lock(&self.host) = host.cloned();
        if let (Some(host), true) = (host, self.left()) {
            host.shut();
        }
    }

    fn leaves(&self) {
        self.left.store(true, Ordering::Release);
        if let Some(host) = &*lock(&self.host) {
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
    fn enter(&self, client: Arc<Client>) -> usize {
        lock(&self.open).insert(client)
    }

    pub fn count(&self) -> usize {
        lock(&self.open).len()
    }

    /// The number of clients without those that are being closed.
    fn present(&self) -> usize {
        lock(&self.open).iter().filter(|(_, client)| !client.left()).count()
    }

    /// Closes every connection without a request. One that was just accepted is left open for the time in
    /// which its client sends the first request.
    pub fn close_idle(&self) {
        for (_, client) in lock(&self.open).iter() {
            let asks = client.answered.load(Ordering::Relaxed) == 0 && client.since().elapsed() < FIRST;
            if !asks {
                client.end_if_idle();
            }
        }
    }

    /// Evicts a client to make room for one more; returns whether one could be evicted.
    fn make_room(&self, shared: &Shared) -> bool {
        let open = lock(&self.open);
        let idle = open.iter().filter(|(_, client)| !client.waits() && !client.left());
        let idle = idle.map(|(at, client)| {
            let since = client.since().saturating_duration_since(shared.start);
            (at, Idle { since, part: client.is_part(), known: client.answered.load(Ordering::Relaxed) > 0 })
        });
        shared.room.goes(idle).is_some_and(|at| open[at].end_if_nothing_whole())
    }
}

impl Shared {
    /// Lets the coroutines of an evicted client run. Its descriptor is free within moments: when descriptors
    /// are short, many connections arriving at once must not outrun that; otherwise there is nothing to wait
    /// for, and other coroutines in the queue take their turn.
    fn lets_go(&self) {
        if self.room.is_short(sockets_held()) {
            tulipstall_net::sleep(Duration::from_millis(2));
        } else {
            may::coroutine::yield_now();
        }
    }
}

/// Records that the accepting coroutine has ended, which a stop waits for.
struct Accepts(Arc<Shared>);

impl Drop for Accepts {
    fn drop(&mut self) {
        self.0.accepts.store(false, Ordering::SeqCst);
    }
}

pub fn start(shared: Arc<Shared>, listener: Arc<Listener>) {
    let about = shared.clone();
    spawn(move || {
        let _over = Accepts(shared.clone());
        while !listener.is_closed() {
            let link = match listener.accept() {
                Ok((link, _)) => link,
                Err(error) => {
                    // Closing idle connections helps only against a lack of descriptors; other errors pass by
                    // themselves.
                    if errors::tells(&error) == Tells::NoDescriptor {
                        shared.hosts.clear();
                    }
                    tracing::debug!(%error, "accepting a connection failed");
                    tulipstall_net::sleep(Duration::from_millis(10));
                    continue;
                }
            };
            let (clients, held) = (shared.clients.present() + 1, sockets_held());
            // Evicts only after accepting: room made for a connection that may come later is lost to others.
            let goes = shared.room.must_go(clients, held);
            let made = match goes {
                None => true,
                Some(Goes::Client) => shared.clients.make_room(&shared),
                Some(Goes::IdleHosts) => {
                    shared.hosts.clear();
                    true
                }
            };
            if !made {
                tracing::debug!(clients, held, "client rejected: no socket left");
                let come_back = shared.advice(Duration::from_millis(200));
                let _ = link.write_now(plain(503, "too many connections", false, come_back).as_bytes());
                link.shut();
                shared.lets_go();
                continue;
            }
            let client = Client::new(link);
            let out = CountOut { shared: shared.clone(), at: shared.clients.enter(client.clone()) };
            spawn(move || serve(&Arc::new(out), client));
            if goes.is_some() {
                shared.lets_go();
            }
        }
    });
    spawn(move || {
        loop {
            tulipstall_net::sleep(Duration::from_secs(1));
            about.hosts.trim();
            about.releases.report();
        }
    });
}

/// Reads requests until the client disconnects.
fn read(shared: &Shared, client: &Client, inbox: &Sender<Message>) -> Message {
    let mut reader = RequestReader::new(REQUESTS);
    let mut since: Option<Instant> = None;
    let mut first = true;
    loop {
        match reader.poll() {
            Err(refusal) => return Message::Refused(refusal),
            Ok(Step::Request(head, body)) => {
                (since, first) = (None, false);
                match client.takes() {
                    Some(in_hand) if in_hand > 1 + AHEAD => return Message::Refused(TOO_MANY),
                    Some(_) if inbox.send(Message::Request(head, body)).is_ok() => {}
                    _ => return Message::Left { late: false },
                }
            }
            Ok(Step::Continue) => {
                let _ = inbox.send(Message::Continue);
            }
            Ok(Step::More { begun }) => {
                if !client.has_part(begun) {
                    return Message::Left { late: false };
                }
                if begun && since.is_none() {
                    since = Some(if first { client.since() } else { Instant::now() });
                }
                // Timed from the end of the answer before: while an answer is pending its connection is not
                // ended.
                let waits = client.waits();
                let until = match since {
                    Some(since) => since.max(client.since()) + REQUEST,
                    None if first => client.since() + SAYS_NOTHING,
                    None => Instant::now() + shared.room.idle(shared.clients.count()),
                };
                let mut buffer = [0; READ];
                // No time limit while an answer is pending: the end of the last answer sets it.
                match client.link.read_until(&mut buffer, (!waits).then_some(until)) {
                    Ok(got) if got > 0 => reader.feed(&buffer[..got]),
                    Err(Fault::TimedOut) => return Message::Left { late: since.is_some() },
                    _ => return Message::Left { late: false },
                }
            }
        }
    }
}

/// Informs the answering coroutine that the reading one has ended, for whatever reason.
struct Reading {
    client: Arc<Client>,
    to: Sender<Message>,
}

impl Drop for Reading {
    fn drop(&mut self) {
        self.client.leaves();
        let _ = self.to.send(Message::Left { late: false });
    }
}

/// Closes the connection when the answering coroutine ends, for whatever reason.
struct Answering(Arc<Client>);

impl Drop for Answering {
    fn drop(&mut self) {
        self.0.leaves();
        self.0.link.shut();
    }
}

fn serve(out: &Arc<CountOut>, client: Arc<Client>) {
    let (sender, inbox) = channel();
    let shared = &out.shared;
    let (about, reading) = (out.clone(), Reading { client: client.clone(), to: sender.clone() });
    spawn(move || {
        let end = read(&about.shared, &reading.client, &reading.to);
        let refused = matches!(end, Message::Refused(_));
        let _ = reading.to.send(end);
        if refused {
            // Requests read before are still answered, but for nobody once the client disconnects or keeps on
            // sending.
            reading.client.swallow();
        }
    });
    let answering = Answering(client.clone());
    let mut connection =
        Connection { shared: shared.clone(), client, inbox, sender, waiting: VecDeque::new() };
    connection.answer_all();
    let client = &answering.0;
    let had_left = client.left();
    client.leaves();
    if !had_left && shared.room.lingers(sockets_held()) {
        // Closing a socket with unread input would also discard the answer in transit. That input stays
        // unread: a client whose request crosses the close sends it again elsewhere.
        client.link.finish();
        for _ in 0..LINGERS.as_millis() / 10 {
            tulipstall_net::sleep(Duration::from_millis(10));
            if client.link.ended() {
                break;
            }
        }
    }
}

/// Removes a client from the list once both its coroutines have ended, also if one panics.
struct CountOut {
    shared: Arc<Shared>,
    at: usize,
}

impl Drop for CountOut {
    fn drop(&mut self) {
        lock(&self.shared.clients.open).try_remove(self.at);
    }
}

/// Releases what an open task holds, once its client has had its last byte.
struct InHand<'a> {
    shared: &'a Shared,
    id: String,
}

impl Drop for InHand<'_> {
    fn drop(&mut self) {
        lock(&self.shared.ids).ends(self.shared.now(), std::mem::take(&mut self.id));
        self.shared.in_hand.fetch_sub(1, Ordering::SeqCst);
    }
}

/// A complete answer that is not a stream.
fn plain(status: u16, why: &str, keep_alive: bool, come_back: Option<Duration>) -> String {
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
        come_back.map_or(String::new(), |after| format!("Retry-After: {:.3}\r\n", after.as_secs_f64()));
    let close = if keep_alive { "" } else { "Connection: close\r\n" };
    let length = body.len();
    format!(
        "HTTP/1.1 {status} {reason}\r\nContent-Type: application/json\r\n{after}{close}Content-Length: {length}\r\n\r\n{body}"
    )
}

struct Connection {
    shared: Arc<Shared>,
    client: Arc<Client>,
    inbox: Receiver<Message>,
    sender: Sender<Message>,
    /// Messages that arrived while a task was in hand.
    waiting: VecDeque<Message>,
}

impl Connection {
    fn answer_all(&mut self) {
        loop {
            let message = match self.waiting.pop_front() {
                Some(message) => message,
                None => match self.inbox.recv() {
                    Ok(message) => message,
                    Err(_) => return,
                },
            };
            let keeps = match message {
                Message::Request(head, body) => {
                    let keeps = self.answer(&head, body);
                    if let (false, part) = self.client.answered() {
                        let idle = self.shared.room.idle(self.shared.clients.count());
                        let left = if part { REQUEST } else { idle };
                        self.client.link.read_by(Some(Instant::now() + left));
                    }
                    keeps && !self.stops()
                }
                Message::Continue => self.client.write(b"HTTP/1.1 100 Continue\r\n\r\n").is_ok(),
                Message::Refused(refusal) => {
                    let _ = self.say(refusal.status(), refusal.why(), false, None);
                    false
                }
                Message::Left { late } => {
                    if late {
                        let _ = self.client.link.write_now(plain(408, "too slow", false, None).as_bytes());
                    }
                    false
                }
                // Of a task that has already been answered.
                Message::Begun { .. }
                | Message::Bounced { .. }
                | Message::BrokenOff { .. }
                | Message::Gone { .. } => true,
            };
            if !keeps {
                return;
            }
        }
    }

    fn say(&self, status: u16, why: &str, keep_alive: bool, come_back: Option<Duration>) -> bool {
        if status != 200 {
            let (clients, in_hand) =
                (self.shared.clients.count(), self.shared.in_hand.load(Ordering::Relaxed));
            tracing::debug!(status, why, clients, in_hand, held = sockets_held(), "request rejected");
        }
        self.client.write(plain(status, why, keep_alive, come_back).as_bytes()).is_ok() && keep_alive
    }

    /// Whether the connection stays open after an answer that ends now: not once a stop has begun, however
    /// long before that the answer began.
    fn keeps(&self, head: &Head) -> bool {
        head.keep_alive && !self.shared.draining.load(Ordering::Acquire)
    }

    /// Whether a stop has begun, so that the connection ends here. Without this, clients that send the next
    /// request the moment a long answer ends would have that one cut off by the platform's kill. A request
    /// that was read ahead meanwhile is rejected with advice to retry; the rest of a partly received one is
    /// waited for.
    fn stops(&mut self) -> bool {
        if !self.shared.draining.load(Ordering::Acquire) || self.client.is_part() {
            return false;
        }
        let mut ahead = std::mem::take(&mut self.waiting).into_iter().chain(self.inbox.try_iter());
        if ahead.any(|message| matches!(message, Message::Request(..))) {
            self.refuse_stopping();
        }
        true
    }

    fn refuse_stopping(&self) -> bool {
        self.say(503, "stopping: ask again", false, self.shared.advice(Duration::from_millis(200)))
    }

    /// Answers one request; returns whether the connection continues.
    fn answer(&mut self, head: &Head, body: Vec<u8>) -> bool {
        let keeps = self.keeps(head);
        match (head.method.as_str(), head.path()) {
            ("POST", call::PATH) => self.call(head, body),
            ("GET", call::READY) => {
                // A cached list suffices where the registry is silent for long.
                let listed = self.shared.listed.load(Ordering::Acquire);
                let ready = listed || self.shared.start.elapsed() > Duration::from_secs(2);
                if ready && !self.shared.draining.load(Ordering::Acquire) {
                    self.say(200, "", keeps, None)
                } else {
                    self.say(503, "not ready", keeps, None)
                }
            }
            ("GET", call::LIVE) => self.say(200, "", keeps, None),
            _ => self.say(404, "there is nothing here", keeps, None),
        }
    }

    fn call(&mut self, head: &Head, body: Vec<u8>) -> bool {
        let shared = self.shared.clone();
        if self.client.gone() {
            return false;
        }
        let call = match call::read(head, &body, &shared.names) {
            Ok(call) => call,
            Err(Refused { status, why }) => return self.say(status, why, false, None),
        };
        if !lock(&shared.ids).take(shared.now(), &call.id) {
            return self.say(409, "the id is in use", false, None);
        }
        shared.in_hand.fetch_add(1, Ordering::SeqCst);
        let in_hand = InHand { shared: &shared, id: call.id.clone() };
        // After the check of its id: while a request with this id is open, no answer may say that a retry is
        // harmless.
        if shared.refuses.load(Ordering::SeqCst) {
            drop(in_hand);
            return self.refuse_stopping();
        }
        if shared.in_hand.load(Ordering::SeqCst) > shared.room.tasks() {
            drop(in_hand);
            let come_back = shared.advice(Duration::from_millis(300));
            return self.say(503, "too many requests", self.keeps(head), come_back);
        }
        let host = head.text("host").unwrap_or_default().to_owned();
        let from = (Arc::downgrade(&self.client), self.sender.clone());
        let passed = Passed { target: head.target.clone(), host, id: call.id, key: call.key };
        let task = Task::new(passed, call.ask, body, from);
        let task = Arc::new(task);
        shared.unsettled.fetch_add(1, Ordering::SeqCst);
        shared.posts.post(Post::Arrive(task.clone()));
        let waited = catch_unwind(AssertUnwindSafe(|| self.wait_for_answer(&task, head)));
        let (answer, keeps) = waited.unwrap_or_else(|_| {
            // A stream that had begun ends without its last chunk, and so does any other answer in progress.
            tracing::error!(id = task.call.id, "panic while answering; task aborted");
            task.close();
            shared.posts.post(Post::Gone(task.clone()));
            ("broken off", false)
        });
        let ms = task.arrived.elapsed().as_millis() as u64;
        let (prompt, session, shared) = (task.ask.prompt_tokens, &task.ask.session, &task.ask.shared);
        let (session, shared) = (session.as_deref().unwrap_or(""), shared.as_deref().unwrap_or(""));
        tracing::debug!(id = task.call.id, answer, ms, prompt, session, shared, "task ended");
        keeps
    }

    /// The one final answer of the task, by its name in the log, and whether the connection continues.
    fn wait_for_answer(&mut self, task: &Arc<Task>, head: &Head) -> (&'static str, bool) {
        loop {
            let Ok(message) = self.inbox.recv() else { return ("client left", false) };
            match message {
                Message::Begun { id, begun } if Some(id) == task.place() => {
                    let (answer, whole) = relay::relay(&self.shared, &self.client, *begun);
                    return (answer, whole && head.keep_alive);
                }
                Message::Bounced { id, come_back } if Some(id) == task.place() => {
                    let why = "no host can answer in time: ask again";
                    return ("bounced", self.say(503, why, self.keeps(head), come_back));
                }
                Message::BrokenOff { id } if Some(id) == task.place() => {
                    let why = "broken off: it may have been run";
                    return ("broken off", self.say(500, why, self.keeps(head), None));
                }
                Message::Left { .. } if task.close() => {
                    self.shared.posts.post(Post::Gone(task.clone()));
                    return ("client left", false);
                }
                Message::Gone { id } if Some(id) == task.place() => return ("client left", false),
                // An answer, a bounce or a break-off is already on its way; writing it will show that the
                // client is gone.
                Message::Left { late } => self.waiting.push_back(Message::Left { late }),
                Message::Begun { .. }
                | Message::Bounced { .. }
                | Message::BrokenOff { .. }
                | Message::Gone { .. } => {}
                other => self.waiting.push_back(other),
            }
        }
    }
}

#[cfg(test)]
mod tests;
