//! Tasks (one client request each) and their shots (one attempt at one host each), as shared by the coroutines. One
//! atomic exchange decides which of them answers the client.

use crate::front::{Client, ConnectionMessage};
use std::sync::atomic::{AtomicU8, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::time::{Duration, Instant};
use tulipstall::interface::PossibleRun;
use tulipstall_core::{TaskId, TaskRequest};
use tulipstall_engine::EngineRequest;
use tulipstall_net::Link;
use tulipstall_net::channel::Sender;

/// The task has no answer yet.
const ANSWER_OPEN: u32 = 0;
/// The task ends without a shot's answer: it was rejected or aborted, or the client has left.
const ANSWER_CLOSED: u32 = 1;
/// `FIRST_SHOT + n`: the client gets the answer of shot `n`.
const FIRST_SHOT: u32 = 2;

/// One request of a client while the dispatcher works on it.
pub struct Task {
    /// Used in logs and in requests to engines. A continuation has the id of the client's request.
    pub request_id: String,
    pub offering: usize,
    pub engine_request: EngineRequest,
    pub arrived: Instant,
    /// When the client stops waiting. It does not apply to an answer that has begun to stream.
    pub deadline: Instant,
    /// The client's request, kept so that it can be submitted again if the writer is lost.
    pub request: TaskRequest,
    /// Number of this task on its connection. It tells messages about this task from late ones about an earlier task.
    pub ticket: u64,
    /// A weak reference: the connection ends with its coroutines, whatever shots are still running.
    client: Weak<Client>,
    pub inbox: Sender<ConnectionMessage>,
    /// The task whose lost answer this one continues.
    pub continues: Option<Arc<Task>>,
    /// The first shot that may have run; set once its answer is lost.
    first_possible_run: Mutex<Option<PossibleRun>>,
    /// The task's id in the decision core: slot in the upper half, generation in the lower; all ones until it is set.
    packed_id: AtomicU64,
    /// `ANSWER_OPEN`, `ANSWER_CLOSED`, or `FIRST_SHOT` plus the number of the shot that answers.
    answer: AtomicU32,
}

impl Task {
    pub fn new(
        request_id: String,
        engine_request: EngineRequest,
        request: TaskRequest,
        ticket: u64,
        (client, inbox): (Weak<Client>, Sender<ConnectionMessage>),
    ) -> Self {
        let arrived = Instant::now();
        Task {
            request_id,
            offering: request.offering as usize,
            engine_request,
            arrived,
            deadline: arrived + request.time_left,
            request,
            ticket,
            client,
            inbox,
            continues: None,
            first_possible_run: Mutex::new(None),
            packed_id: AtomicU64::new(u64::MAX),
            answer: AtomicU32::new(ANSWER_OPEN),
        }
    }

    /// Whether the client has disconnected, according to its connection.
    pub fn client_has_disconnected(&self) -> bool {
        self.client.upgrade().is_none_or(|client| client.has_disconnected())
    }

    pub fn set_first_possible_run(&self, run: PossibleRun) {
        if let Ok(mut slot) = self.first_possible_run.lock() {
            *slot = Some(run);
        }
    }

    pub fn first_possible_run(&self) -> Option<PossibleRun> {
        self.first_possible_run.lock().ok().and_then(|run| *run)
    }

    pub fn set_id(&self, id: TaskId) {
        self.packed_id.store(u64::from(id.slot) << 32 | u64::from(id.generation), Ordering::Release);
    }

    /// The task's id in the decision core, once it has one.
    pub fn id(&self) -> Option<TaskId> {
        let packed = self.packed_id.load(Ordering::Acquire);
        (packed != u64::MAX).then_some(TaskId { slot: (packed >> 32) as u32, generation: packed as u32 })
    }

    fn transition(&self, answer: u32) -> bool {
        self.answer.compare_exchange(ANSWER_OPEN, answer, Ordering::AcqRel, Ordering::Acquire).is_ok()
    }

    /// Ends the task without a shot's answer. False if a shot's answer has begun or the task has ended.
    pub fn close(&self) -> bool {
        self.transition(ANSWER_CLOSED)
    }

    /// Makes this shot's answer the one that the client gets. False if the task has another answer or has ended.
    pub fn claim(&self, shot: u32) -> bool {
        self.transition(FIRST_SHOT + shot)
    }
}

const SHOT_PENDING: u8 = 0;
const SHOT_BEGUN: u8 = 1;
const SHOT_CANCELLED: u8 = 2;

/// Controls a running shot from outside its coroutine: the owner can cancel it until its answer begins.
#[derive(Default)]
pub struct ShotControl {
    /// `SHOT_PENDING`, `SHOT_BEGUN` or `SHOT_CANCELLED`.
    state: AtomicU8,
    link: Mutex<Option<Link>>,
}

impl ShotControl {
    fn transition(&self, state: u8) -> bool {
        self.state.compare_exchange(SHOT_PENDING, state, Ordering::AcqRel, Ordering::Acquire).is_ok()
    }

    /// Cancels the shot, unless its answer has begun.
    pub fn cancel(&self) {
        if self.transition(SHOT_CANCELLED) {
            self.shut();
        }
    }

    /// Shuts the shot's connection, which ends whatever it waits for.
    pub fn shut(&self) {
        if let Ok(link) = self.link.lock()
            && let Some(link) = &*link
        {
            link.shut();
        }
    }

    /// Marks the answer as begun. False if the shot was cancelled before.
    pub fn begin(&self) -> bool {
        self.transition(SHOT_BEGUN)
    }

    pub fn cancelled(&self) -> bool {
        self.state.load(Ordering::Acquire) == SHOT_CANCELLED
    }

    /// Registers the connection that the shot uses.
    pub fn set_link(&self, link: &Link) {
        if let Ok(mut slot) = self.link.lock() {
            *slot = Some(link.clone());
        }
    }
}

/// The time left until `deadline`, zero once it has passed.
pub fn time_left(deadline: Instant) -> Duration {
    deadline.saturating_duration_since(Instant::now())
}

#[cfg(test)]
mod tests {
    use super::*;
    use tulipstall_net::channel::channel;

    /// A cancellation may race with the first token, and a rejection with an answer. Without exactly one winner in every
    /// order, the client would get two answers or none.
    #[test]
    fn concurrent_transitions_have_one_winner() {
        type Transition = fn(&ShotControl) -> bool;
        let begin: Transition = ShotControl::begin;
        let cancel: Transition = |control| {
            control.cancel();
            control.cancelled()
        };
        for (transitions, expected) in [
            ([begin, cancel], [true, false]),
            ([cancel, begin], [true, false]),
            ([begin, begin], [true, false]),
            ([cancel, cancel], [true, true]),
        ] {
            let control = ShotControl::default();
            assert_eq!(transitions.map(|transition| transition(&control)), expected);
        }
        type Claim = fn(&Task) -> bool;
        let close: Claim = Task::close;
        let (first, second): (Claim, Claim) = (|task| task.claim(0), |task| task.claim(1));
        for claims in [[close, first, second], [second, first, close], [first, close, second]] {
            let reply_to = (Weak::new(), channel().0);
            let task =
                Task::new("req_1".into(), EngineRequest::default(), TaskRequest::default(), 1, reply_to);
            assert_eq!(claims.map(|claim| claim(&task)), [true, false, false]);
        }
    }
}
