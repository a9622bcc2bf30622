//! Clients' connections. Each has two coroutines: one reads requests and notices when the client disconnects,
//! the other answers them in order.

use crate::attempt::BegunStream;
use crate::client::{Client, plain_response};
use crate::memory::Body;
use crate::owner::OwnerMessage;
use crate::receive::{ReceivedRequest, read_requests};
use crate::task::Task;
use crate::{Shared, lock, metrics, relay};
use std::collections::VecDeque;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tulipstall_core::TaskId;
use tulipstall_http1::RequestHead;
use tulipstall_net::channel::{Receiver, Sender, channel};
use tulipstall_net::errors::{self, Cause};
use tulipstall_net::{Listener, open_sockets, spawn};
use tulipstall_platform::call::{self, Rejection};
use tulipstall_platform::host::ForwardedCall;
use tulipstall_platform::ids::{EndedRequest, ReserveError};
use tulipstall_platform::socket_budget::{Eviction, LINGER_TIMEOUT, REQUEST_TIMEOUT};

/// Advice of when to retry, where another dispatcher or a moment later will do.
const RETRY_SOON: Duration = Duration::from_millis(200);

/// The same where all requests in hand have to end first.
const RETRY_LATER: Duration = Duration::from_millis(300);

/// Pause after a connection was rejected, or accepted in place of another. Clients that connect again at once must not take
/// the time of those that are connected: as long as any coroutine is ready to run, the worker of `may` does not look for
/// events on sockets, so that yielding is not enough.
const FULL_PAUSE: Duration = Duration::from_millis(1);
/// The same while descriptors are short.
const SHORTAGE_PAUSE: Duration = Duration::from_millis(2);

/// Messages to the coroutine that answers.
pub enum Message {
    Request(Box<ReceivedRequest>),
    /// The client waits for `100 Continue` before it sends its body.
    Continue,
    Rejected(Rejection),
    /// The client has disconnected, was idle for too long, or took too long to send a request.
    Disconnected {
        timed_out: bool,
    },
    Begun {
        id: TaskId,
        begun: Box<BegunStream>,
    },
    Bounced {
        id: TaskId,
        retry_after: Option<Duration>,
    },
    BrokenOff {
        id: TaskId,
    },
    /// An attempt noticed that the client has disconnected, and closed its task.
    ClientGone {
        id: TaskId,
    },
}

impl Shared {
    /// Whether the tasks in hand, the newest one included, are more than the budgets allow. Tasks whose clients have left
    /// count until their attempts have ended and what servers hold for them is released.
    fn has_too_many_tasks(&self) -> bool {
        self.in_hand.load(Ordering::SeqCst) > self.socket_budget.max_tasks()
            || self.unsettled.load(Ordering::SeqCst) >= self.max_unsettled
    }

    /// Lets the coroutines of an evicted client run. Its descriptor is free within moments: when descriptors
    /// are short, many connections arriving at once must not outrun that.
    fn let_evicted_close(&self) {
        let is_short = self.socket_budget.is_nearly_exhausted(open_sockets());
        tulipstall_net::sleep(if is_short { SHORTAGE_PAUSE } else { FULL_PAUSE });
    }
}

/// Records that the accepting coroutine has ended, which a stop waits for.
struct AcceptingGuard(Arc<Shared>);

impl Drop for AcceptingGuard {
    fn drop(&mut self) {
        self.0.accepting.store(false, Ordering::SeqCst);
    }
}

/// Starts accepting clients, the periodic closing of idle connections to hosts, and the reports of figures.
pub fn start(shared: Arc<Shared>, listener: Arc<Listener>) {
    let housekeeping_shared = shared.clone();
    tulipstall_net::poll_lag::start_measuring();
    spawn(move || {
        let _accepting = AcceptingGuard(shared.clone());
        while !listener.is_closed() {
            let link = match listener.accept() {
                Ok((link, _)) => link,
                Err(error) => {
                    // Closing idle connections helps only against a lack of descriptors; other errors pass by
                    // themselves.
                    if errors::cause(&error) == Cause::NoDescriptor {
                        shared.hosts.close_idle();
                    }
                    tracing::debug!(%error, "accepting a connection failed");
                    tulipstall_net::sleep(Duration::from_millis(10));
                    continue;
                }
            };
            let (clients, held) = (shared.clients.count() + 1, open_sockets());
            // Evicts only after accepting: room made for a connection that may come later is lost to others.
            let eviction = shared.socket_budget.eviction_for_new_client(clients, held);
            let has_room = match eviction {
                None => true,
                Some(Eviction::Client) => shared.clients.evict_for_new_client(&shared),
                Some(Eviction::IdleHostLinks) => {
                    shared.hosts.close_idle();
                    true
                }
            };
            if !has_room {
                tracing::debug!(clients, held, "client rejected: no socket left");
                let retry_after = shared.retry_advice(RETRY_SOON);
                let _ = link.write_available(
                    plain_response(503, "too many connections", false, retry_after).as_bytes(),
                );
                if shared.socket_budget.may_linger(held) {
                    link.close_gracefully(LINGER_TIMEOUT);
                }
                tulipstall_net::sleep(FULL_PAUSE);
                continue;
            }
            let client = Client::new(link);
            let entry = ClientEntry { shared: shared.clone(), index: shared.clients.add(client.clone()) };
            spawn(move || serve(&Arc::new(entry), client));
            if eviction.is_some() {
                shared.let_evicted_close();
            }
        }
    });
    spawn(move || {
        loop {
            tulipstall_net::sleep(Duration::from_secs(1));
            housekeeping_shared.hosts.trim_idle();
            housekeeping_shared.releases.report();
            housekeeping_shared.request_memory.report();
            metrics::report_poll_lag();
        }
    });
}

/// Informs the answering coroutine that the reading one has ended, for whatever reason.
struct ReadingGuard {
    client: Arc<Client>,
    inbox: Sender<Message>,
}

impl Drop for ReadingGuard {
    fn drop(&mut self) {
        self.client.mark_left();
        let _ = self.inbox.send(Message::Disconnected { timed_out: false });
    }
}

/// Closes the connection when the answering coroutine ends, for whatever reason.
struct AnsweringGuard<'a> {
    shared: &'a Shared,
    client: Arc<Client>,
}

impl Drop for AnsweringGuard<'_> {
    fn drop(&mut self) {
        let had_left = self.client.has_left();
        self.client.mark_left();
        if !had_left && self.shared.socket_budget.may_linger(open_sockets()) {
            // Unread input stays unread: a client whose request crosses the close sends it again elsewhere.
            self.client.link.close_gracefully(LINGER_TIMEOUT);
        } else {
            self.client.link.shut();
        }
    }
}

fn serve(entry: &Arc<ClientEntry>, client: Arc<Client>) {
    let (sender, inbox) = channel();
    let shared = &entry.shared;
    let (reader_entry, reading) =
        (entry.clone(), ReadingGuard { client: client.clone(), inbox: sender.clone() });
    spawn(move || {
        let end = read_requests(&reader_entry.shared, &reading.client, &reading.inbox);
        let rejected = matches!(end, Message::Rejected(_));
        let _ = reading.inbox.send(end);
        if rejected {
            // Requests read before are still answered, but for nobody once the client disconnects or keeps on
            // sending.
            reading.client.discard_input();
        }
    });
    let _answering = AnsweringGuard { shared, client: client.clone() };
    let mut connection =
        Connection { shared: shared.clone(), client, inbox, sender, deferred: VecDeque::new() };
    connection.answer_all();
}

/// Removes a client from the list once both its coroutines have ended, also if one panics.
struct ClientEntry {
    shared: Arc<Shared>,
    index: usize,
}

impl Drop for ClientEntry {
    fn drop(&mut self) {
        self.shared.clients.remove(self.index);
    }
}

/// Releases what an open task holds, once its client has had its last byte.
struct TaskGuard<'a> {
    shared: &'a Shared,
    id: String,
    /// What may still happen for it when it ends.
    request: EndedRequest,
}

impl Drop for TaskGuard<'_> {
    fn drop(&mut self) {
        lock(&self.shared.ids).end(self.shared.now(), &self.id, self.request);
        self.shared.in_hand.fetch_sub(1, Ordering::SeqCst);
    }
}

/// The answering side of a connection.
struct Connection {
    shared: Arc<Shared>,
    client: Arc<Client>,
    inbox: Receiver<Message>,
    sender: Sender<Message>,
    /// Messages that arrived while a task was in hand.
    deferred: VecDeque<Message>,
}

impl Connection {
    fn answer_all(&mut self) {
        loop {
            let message = match self.deferred.pop_front() {
                Some(message) => message,
                None => self.inbox.recv(),
            };
            let keep_open = match message {
                Message::Request(request) => {
                    let keep_open = self.answer(&request.head, request.body);
                    if let (false, partial) = self.client.end_request() {
                        let idle = self.shared.socket_budget.idle_timeout(self.shared.clients.count());
                        let timeout = if partial { REQUEST_TIMEOUT } else { idle };
                        self.client.link.set_read_deadline(Some(Instant::now() + timeout));
                    }
                    keep_open && !self.ends_for_stop()
                }
                Message::Continue => self.client.write(b"HTTP/1.1 100 Continue\r\n\r\n").is_ok(),
                Message::Rejected(Rejection { status, reason }) => {
                    let advice = (status == 503).then(|| self.shared.retry_advice(RETRY_SOON)).flatten();
                    let _ = self.respond(status, reason, false, advice);
                    false
                }
                Message::Disconnected { timed_out } => {
                    if timed_out {
                        let _ = self
                            .client
                            .link
                            .write_available(plain_response(408, "too slow", false, None).as_bytes());
                    }
                    false
                }
                // Of a task that has already been answered.
                Message::Begun { .. }
                | Message::Bounced { .. }
                | Message::BrokenOff { .. }
                | Message::ClientGone { .. } => true,
            };
            if !keep_open {
                return;
            }
        }
    }

    fn respond(&self, status: u16, why: &str, keep_alive: bool, retry_after: Option<Duration>) -> bool {
        if status != 200 {
            let (clients, in_hand) =
                (self.shared.clients.count(), self.shared.in_hand.load(Ordering::Relaxed));
            tracing::debug!(status, why, clients, in_hand, held = open_sockets(), "request rejected");
        }
        self.client.write(plain_response(status, why, keep_alive, retry_after).as_bytes()).is_ok()
            && keep_alive
    }

    /// Whether the connection stays open after an answer that ends now: not once a stop has begun, however
    /// long before that the answer began.
    fn keeps_open(&self, head: &RequestHead) -> bool {
        head.keep_alive && !self.shared.draining.load(Ordering::Acquire)
    }

    /// Whether a stop has begun, so that the connection ends here. Without this, clients that send the next
    /// request the moment a long answer ends would have that one cut off by the platform's kill. A request
    /// that was read ahead meanwhile is rejected with advice to retry; the rest of a partly received one is
    /// waited for.
    fn ends_for_stop(&mut self) -> bool {
        if !self.shared.draining.load(Ordering::Acquire) || self.client.has_partial() {
            return false;
        }
        let mut ahead = std::mem::take(&mut self.deferred)
            .into_iter()
            .chain(std::iter::from_fn(|| self.inbox.try_recv()));
        if ahead.any(|message| matches!(message, Message::Request(..))) {
            self.reject_stopping();
        }
        true
    }

    fn reject_stopping(&self) -> bool {
        self.respond(503, "stopping: ask again", false, self.shared.retry_advice(RETRY_SOON))
    }

    fn reject_overload(&self, head: &RequestHead) -> bool {
        let retry_after = self.shared.retry_advice(RETRY_LATER);
        self.respond(503, "too many requests", self.keeps_open(head), retry_after)
    }

    /// Answers one request; returns whether the connection continues.
    fn answer(&mut self, head: &RequestHead, body: Body) -> bool {
        let keep_open = self.keeps_open(head);
        match (head.method.as_str(), head.path()) {
            ("POST", call::COMPLETIONS_PATH) => self.call(head, body),
            ("GET", call::READY_PATH) => {
                // A cached list suffices where the registry is silent for long.
                let list_received = self.shared.list_received.load(Ordering::Acquire);
                let ready = list_received || self.shared.start.elapsed() > Duration::from_secs(2);
                if ready && !self.shared.draining.load(Ordering::Acquire) {
                    self.respond(200, "", keep_open, None)
                } else {
                    self.respond(503, "not ready", keep_open, None)
                }
            }
            ("GET", call::LIVE_PATH) => self.respond(200, "", keep_open, None),
            _ => self.respond(404, "there is nothing here", keep_open, None),
        }
    }

    fn call(&mut self, head: &RequestHead, body: Body) -> bool {
        let shared = self.shared.clone();
        if self.client.is_gone() {
            return false;
        }
        let call = match call::parse(head, &body, &shared.catalog) {
            Ok(call) => call,
            Err(Rejection { status, reason }) => return self.respond(status, reason, false, None),
        };
        let reserved = lock(&shared.ids).reserve(shared.now(), &call.id);
        match reserved {
            Ok(()) => {}
            Err(ReserveError::InUse) => return self.respond(409, "the id is in use", false, None),
            Err(ReserveError::Full) => return self.reject_overload(head),
        }
        shared.in_hand.fetch_add(1, Ordering::SeqCst);
        let mut guard = TaskGuard { shared: &shared, id: call.id.clone(), request: EndedRequest::Unsent };
        // After the check of its id: while a request with this id is open, no answer may say that a retry is
        // harmless.
        if shared.rejecting.load(Ordering::SeqCst) {
            drop(guard);
            return self.reject_stopping();
        }
        if shared.has_too_many_tasks() {
            drop(guard);
            return self.reject_overload(head);
        }
        guard.request = if shared.catalog.is_repeatable(call.request.offering) {
            EndedRequest::Repeatable
        } else {
            EndedRequest::Unrepeatable
        };
        let host = head.header("host").unwrap_or_default().to_owned();
        let reply_to = (Arc::downgrade(&self.client), self.sender.clone());
        let forwarded = ForwardedCall { target: head.target.clone(), host, id: call.id, key: call.key };
        let task = Task::new(forwarded, call.request, body, reply_to);
        let task = Arc::new(task);
        shared.unsettled.fetch_add(1, Ordering::SeqCst);
        shared.owner_queue.send(OwnerMessage::TaskArrived(task.clone()));
        let waited = catch_unwind(AssertUnwindSafe(|| self.wait_for_answer(&task, head)));
        let (answer, keep_open) = waited.unwrap_or_else(|_| {
            // A stream that had begun ends without its last chunk, and so does any other answer in progress.
            tracing::error!(id = task.call.id, "panic while answering; task aborted");
            task.close();
            shared.owner_queue.send(OwnerMessage::ClientGone(task.clone()));
            ("broken off", false)
        });
        let ms = task.arrived.elapsed().as_millis() as u64;
        let (prompt, session, shared) =
            (task.request.prompt_tokens, &task.request.session, &task.request.shared);
        let (session, shared) = (session.as_deref().unwrap_or(""), shared.as_deref().unwrap_or(""));
        tracing::debug!(id = task.call.id, answer, ms, prompt, session, shared, "task ended");
        keep_open
    }

    /// The one final answer of the task, by its name in the log, and whether the connection continues.
    fn wait_for_answer(&mut self, task: &Arc<Task>, head: &RequestHead) -> (&'static str, bool) {
        loop {
            match self.inbox.recv() {
                Message::Begun { id, begun } if Some(id) == task.id() => {
                    let (answer, whole) = relay::relay(&self.shared, &self.client, *begun);
                    return (answer, whole && head.keep_alive);
                }
                Message::Bounced { id, retry_after } if Some(id) == task.id() => {
                    let why = "no host can answer in time: ask again";
                    return ("bounced", self.respond(503, why, self.keeps_open(head), retry_after));
                }
                Message::BrokenOff { id } if Some(id) == task.id() => {
                    let why = "broken off: it may have been run";
                    return ("broken off", self.respond(500, why, self.keeps_open(head), None));
                }
                Message::Disconnected { .. } if task.close() => {
                    self.shared.owner_queue.send(OwnerMessage::ClientGone(task.clone()));
                    return ("client left", false);
                }
                Message::ClientGone { id } if Some(id) == task.id() => return ("client left", false),
                // An answer, a bounce or a break-off is already on its way; writing it will show that the
                // client is gone.
                Message::Disconnected { timed_out } => {
                    self.deferred.push_back(Message::Disconnected { timed_out })
                }
                Message::Begun { .. }
                | Message::Bounced { .. }
                | Message::BrokenOff { .. }
                | Message::ClientGone { .. } => {}
                other => self.deferred.push_back(other),
            }
        }
    }
}
