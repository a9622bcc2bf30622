//! A task and its shots as the coroutines share them: who may answer the client is settled by one exchange.

use crate::front::Message;
use may::sync::mpsc::Sender;
use std::sync::atomic::{AtomicU8, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tulipstall::interface::Ran;
use tulipstall_core::{Ask, TaskId};
use tulipstall_engine::Prompt;
use tulipstall_net::Link;

/// Nobody has answered yet.
const OPEN: u32 = 0;
/// The owner has: bounced or broken off, or the client has left.
const CLOSED: u32 = 1;
/// From here on: the shot whose answer the client gets.
const SHOT: u32 = 2;

pub struct Task {
    /// The request's id, in logs and towards engines.
    pub name: String,
    pub offering: usize,
    pub prompt: Prompt,
    pub arrived: Instant,
    /// When its client gives this try up, but for an answer that has begun to stream.
    pub until: Instant,
    /// What was asked, for asking again where its writer is lost.
    pub ask: Ask,
    /// The connection's own number for it: an answer for an earlier one is not taken for this one's.
    pub ticket: u64,
    pub inbox: Sender<Message>,
    /// Whose lost answer it goes on with.
    pub goes_on: Option<Arc<Task>>,
    /// The first shot that may have run, once its answer is broken off.
    ran: Mutex<Option<Ran>>,
    place: AtomicU64,
    answer: AtomicU32,
}

impl Task {
    pub fn new(name: String, prompt: Prompt, ask: Ask, ticket: u64, inbox: Sender<Message>) -> Self {
        let arrived = Instant::now();
        Task {
            name,
            offering: ask.offering as usize,
            prompt,
            arrived,
            until: arrived + ask.left,
            ask,
            ticket,
            inbox,
            goes_on: None,
            ran: Mutex::new(None),
            place: AtomicU64::new(u64::MAX),
            answer: AtomicU32::new(OPEN),
        }
    }

    pub fn set_ran(&self, ran: Ran) {
        if let Ok(mut own) = self.ran.lock() {
            *own = Some(ran);
        }
    }

    pub fn ran(&self) -> Option<Ran> {
        self.ran.lock().ok().and_then(|ran| *ran)
    }

    pub fn set_id(&self, id: TaskId) {
        self.place.store(u64::from(id.place) << 32 | u64::from(id.turn), Ordering::Release);
    }

    /// Its place with the decisions, once it has one.
    pub fn id(&self) -> Option<TaskId> {
        let place = self.place.load(Ordering::Acquire);
        (place != u64::MAX).then_some(TaskId { place: (place >> 32) as u32, turn: place as u32 })
    }

    fn settle(&self, answer: u32) -> bool {
        self.answer.compare_exchange(OPEN, answer, Ordering::AcqRel, Ordering::Acquire).is_ok()
    }

    /// The final answer is not a shot's; false if a shot's answer has begun.
    pub fn close(&self) -> bool {
        self.settle(CLOSED)
    }

    /// This shot's answer is the client's; false if there is another answer.
    pub fn take(&self, shot: u32) -> bool {
        self.settle(SHOT + shot)
    }
}

const PENDING: u8 = 0;
const BEGUN: u8 = 1;
const CANCELLED: u8 = 2;

/// A shot that is out.
#[derive(Default)]
pub struct Out {
    state: AtomicU8,
    link: Mutex<Option<Link>>,
}

impl Out {
    fn settle(&self, state: u8) -> bool {
        self.state.compare_exchange(PENDING, state, Ordering::AcqRel, Ordering::Acquire).is_ok()
    }

    /// Calls it off, unless its answer has begun.
    pub fn cancel(&self) {
        if self.settle(CANCELLED) {
            self.shut();
        }
    }

    /// Ends whatever it is at.
    pub fn shut(&self) {
        if let Ok(link) = self.link.lock()
            && let Some(link) = &*link
        {
            link.shut();
        }
    }

    /// Its answer begins; false if it was called off before.
    pub fn begin(&self) -> bool {
        self.settle(BEGUN)
    }

    pub fn cancelled(&self) -> bool {
        self.state.load(Ordering::Acquire) == CANCELLED
    }

    pub fn hold(&self, link: &Link) {
        if let Ok(mut held) = self.link.lock() {
            *held = Some(link.clone());
        }
    }
}

/// What is left until a moment, for whom nothing is none.
pub fn left(until: Instant) -> Duration {
    until.saturating_duration_since(Instant::now())
}

#[cfg(test)]
mod tests {
    use super::*;
    use may::sync::mpsc::channel;

    /// Calling off crosses a first token, a bounce crosses an answer: in any order one of them holds, and only one.
    #[test]
    fn one_of_two_that_cross_holds() {
        type Move = fn(&Out) -> bool;
        let begin: Move = Out::begin;
        let cancel: Move = |out| {
            out.cancel();
            out.cancelled()
        };
        for (moves, wanted) in [
            ([begin, cancel], [true, false]),
            ([cancel, begin], [true, false]),
            ([begin, begin], [true, false]),
            ([cancel, cancel], [true, true]),
        ] {
            let out = Out::default();
            assert_eq!(moves.map(|one| one(&out)), wanted);
        }
        type Claim = fn(&Task) -> bool;
        let close: Claim = Task::close;
        let (first, second): (Claim, Claim) = (|task| task.take(0), |task| task.take(1));
        for claims in [[close, first, second], [second, first, close], [first, close, second]] {
            let task = Task::new("req_1".into(), Prompt::default(), Ask::default(), 1, channel().0);
            assert_eq!(claims.map(|claim| claim(&task)), [true, false, false]);
        }
    }
}
