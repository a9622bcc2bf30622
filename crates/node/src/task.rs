//! A task and its attempts (shots) as shared between coroutines: one atomic exchange settles which of them
//! answers the client.

use crate::client::Client;
use crate::front::Message;
use crate::lock;
use crate::memory::Body;
use std::sync::atomic::{AtomicU8, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::time::Instant;
use tulipstall_core::{TaskId, TaskRequest};
use tulipstall_net::Link;
use tulipstall_net::channel::Sender;
use tulipstall_platform::host::ForwardedCall;

/// Not answered yet.
const OPEN: u32 = 0;
/// Answered by the owner, by a bounce or a break-off, or the client has disconnected.
const CLOSED: u32 = 1;
/// Values from here on name the shot whose answer the client gets.
const FIRST_SHOT: u32 = 2;

/// One client request inside the dispatcher.
pub struct Task {
    /// Forwarded unchanged to hosts.
    pub call: ForwardedCall,
    /// The request's body, until the task is settled.
    body: Mutex<Option<Arc<Body>>>,
    pub request: TaskRequest,
    pub arrived: Instant,
    /// A weak reference: the connection ends with its coroutines, whatever attempts are still pending.
    client: Weak<Client>,
    pub inbox: Sender<Message>,
    /// Its id in the core as slot and generation; `u64::MAX` until it has one.
    packed_id: AtomicU64,
    /// `OPEN`, `CLOSED`, or the shot that answers the client, counted from `FIRST_SHOT`.
    answer: AtomicU32,
}

impl Task {
    pub fn new(
        call: ForwardedCall,
        request: TaskRequest,
        body: Body,
        (client, inbox): (Weak<Client>, Sender<Message>),
    ) -> Self {
        let body = Mutex::new(Some(Arc::new(body)));
        let (packed_id, answer) = (AtomicU64::new(u64::MAX), AtomicU32::new(OPEN));
        Task { call, body, request, arrived: Instant::now(), client, inbox, packed_id, answer }
    }

    pub fn set_id(&self, id: TaskId) {
        self.packed_id.store(u64::from(id.slot) << 32 | u64::from(id.generation), Ordering::Release);
    }

    /// Its id in the core, once it has one.
    pub fn id(&self) -> Option<TaskId> {
        let packed = self.packed_id.load(Ordering::Acquire);
        (packed != u64::MAX).then_some(TaskId { slot: (packed >> 32) as u32, generation: packed as u32 })
    }

    /// Settles the task. The body is freed: no further host is asked, and a stream or an attempt that has been
    /// cancelled may last far longer than the prompt is needed.
    fn settle(&self, answer: u32) -> bool {
        let settled = self.answer.compare_exchange(OPEN, answer, Ordering::AcqRel, Ordering::Acquire).is_ok();
        if settled {
            *lock(&self.body) = None;
        }
        settled
    }

    /// Settles the task with an answer that is not a shot's; false if a shot's answer has begun.
    pub fn close(&self) -> bool {
        self.settle(CLOSED)
    }

    /// Settles the task with this shot's answer; false if it already has another one.
    pub fn claim(&self, shot: u32) -> bool {
        self.settle(FIRST_SHOT + shot)
    }

    /// Whether the client has disconnected, according to its connection.
    pub fn client_is_gone(&self) -> bool {
        self.client.upgrade().is_none_or(|client| client.is_gone())
    }

    /// Whether the client has sent bytes that have not been read.
    pub fn client_has_unread_input(&self) -> bool {
        self.client.upgrade().is_some_and(|client| client.link.has_unread_input())
    }

    pub fn body(&self) -> Option<Arc<Body>> {
        lock(&self.body).clone()
    }
}

const PENDING: u8 = 0;
const BEGUN: u8 = 1;
const CANCELLED: u8 = 2;

/// A shot that has been sent, as its attempt and the owner share it.
#[derive(Default)]
pub struct ShotHandle {
    state: AtomicU8,
    link: Mutex<Option<Link>>,
}

impl ShotHandle {
    fn settle(&self, state: u8) -> bool {
        self.state.compare_exchange(PENDING, state, Ordering::AcqRel, Ordering::Acquire).is_ok()
    }

    /// Cancels the shot unless its answer has begun.
    pub fn cancel(&self) {
        if self.settle(CANCELLED)
            && let Some(link) = &*lock(&self.link)
        {
            link.shut();
        }
    }

    /// Marks its answer as begun; false if it was cancelled before.
    pub fn begin(&self) -> bool {
        self.settle(BEGUN)
    }

    pub fn cancelled(&self) -> bool {
        self.state.load(Ordering::Acquire) == CANCELLED
    }

    /// Sets the connection that the shot uses, or `None` once it has ended.
    pub fn set_link(&self, link: Option<&Link>) {
        *lock(&self.link) = link.cloned();
    }
}

#[cfg(test)]
mod tests;
