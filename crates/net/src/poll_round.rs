//! Lets a coroutine wait until every worker has polled for socket events.
//!
//! A worker of `may` polls only when no coroutine is ready to run on it. A coroutine that yields, or that a timer or a
//! channel wakes, may be ready again before that. An event that only a poll can deliver proves that there was one: each
//! worker has an event descriptor, and a round ends once the events of all of them have arrived.

use crate::polled_socket::wait_for_event;
use crate::waiter::Waiter;
use may::coroutine::is_coroutine;
use may::io::CoIo;
use nix::sys::eventfd::{EfdFlags, EventFd};
use std::collections::VecDeque;
use std::io;
use std::os::fd::AsRawFd;
use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

/// Wait that stands in for a round where the process could not get event descriptors at its start.
const FALLBACK_WAIT: Duration = Duration::from_millis(1);

/// Coroutines that one round resumes. Further ones wait for later rounds, in their order, so that socket events wait for a
/// few turns however many sockets are busy.
const MAX_RESUMED: usize = 16;

/// Suspends the calling coroutine until each worker has run the coroutines that are ready and has polled for socket events
/// after that, and until those that came before it have been resumed. Does nothing outside of coroutines.
pub fn wait_for_turn() {
    wait_for_round(PollRounds::join_last);
}

/// As [`wait_for_turn`], ahead of all that wait for their turn: waits for as long as socket events do.
pub fn wait_for_poll() {
    wait_for_round(PollRounds::join_first);
}

fn wait_for_round(join: fn(&PollRounds, Waiter)) {
    if !is_coroutine() {
        return;
    }
    let Some(rounds) = poll_rounds() else { return crate::sleep(FALLBACK_WAIT) };
    let waiter = Waiter::current();
    join(rounds, waiter.clone());
    waiter.wait();
}

/// The event descriptors of the workers, and the round in progress.
struct PollRounds {
    poll_events: Vec<CoIo<EventFd>>,
    state: Mutex<State>,
}

struct State {
    /// By worker: the round in progress waits for its poll. None does between rounds.
    awaited: Vec<bool>,
    /// Coroutines that the end of the round in progress resumes.
    current: Vec<Waiter>,
    /// Coroutines that came during that round, after the poll of some worker perhaps, or are too many for it.
    next: VecDeque<Waiter>,
}

fn poll_rounds() -> Option<&'static PollRounds> {
    static ROUNDS: OnceLock<Option<PollRounds>> = OnceLock::new();
    static COROUTINES: OnceLock<()> = OnceLock::new();
    let rounds = ROUNDS.get_or_init(|| PollRounds::new(may::config().get_workers()).ok()).as_ref()?;
    COROUTINES.get_or_init(|| {
        for worker in 0..rounds.poll_events.len() {
            crate::spawn(move || rounds.follow_polls(worker));
        }
    });
    Some(rounds)
}

/// Makes an event descriptor for each worker. `may` polls a descriptor at the worker of its number modulo the workers.
fn event_of_each_worker(workers: usize) -> io::Result<Vec<EventFd>> {
    let mut by_worker: Vec<Option<EventFd>> = (0..workers).map(|_| None).collect();
    // Kept until the end, so that the next descriptor has another number.
    let mut unneeded = Vec::new();
    while by_worker.iter().any(Option::is_none) {
        let event = EventFd::from_flags(EfdFlags::EFD_CLOEXEC | EfdFlags::EFD_NONBLOCK)?;
        let place = &mut by_worker[event.as_raw_fd() as usize % workers];
        unneeded.extend(place.replace(event));
    }
    Ok(by_worker.into_iter().flatten().collect())
}

impl PollRounds {
    fn new(workers: usize) -> io::Result<Self> {
        let events = event_of_each_worker(workers)?;
        let poll_events = events.into_iter().map(CoIo::new).collect::<Result<_, _>>()?;
        let state = State { awaited: vec![false; workers], current: Vec::new(), next: VecDeque::new() };
        Ok(PollRounds { poll_events, state: Mutex::new(state) })
    }

    /// Locked only for moments, never over a wait.
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a coroutine behind all that wait for a round, and begins one if none is in progress.
    fn join_last(&self, waiter: Waiter) {
        let mut state = self.lock();
        state.next.push_back(waiter);
        self.begin_if_due(&mut state);
    }

    /// As [`PollRounds::join_last`], ahead of them.
    fn join_first(&self, waiter: Waiter) {
        let mut state = self.lock();
        state.next.push_front(waiter);
        self.begin_if_due(&mut state);
    }

    /// Begins the next round unless one is in progress or nobody waits for it.
    fn begin_if_due(&self, state: &mut State) {
        if state.next.is_empty() || state.awaited.contains(&true) {
            return;
        }
        let resumed = state.next.len().min(MAX_RESUMED);
        state.current = state.next.drain(..resumed).collect();
        state.awaited.fill(true);
        for event in &self.poll_events {
            // The counter never overflows, and each write is an event, as it is never read.
            let _ = event.inner().write(1);
        }
    }

    /// Notes each poll of a worker.
    fn follow_polls(&self, worker: usize) {
        loop {
            wait_for_event(&self.poll_events[worker]);
            self.end_poll(worker).iter().for_each(Waiter::resume);
        }
    }

    /// Notes that a worker has polled; returns the coroutines to resume if that ends the round.
    fn end_poll(&self, worker: usize) -> Vec<Waiter> {
        let mut state = self.lock();
        let was_awaited = std::mem::replace(&mut state.awaited[worker], false);
        if !was_awaited || state.awaited.contains(&true) {
            return Vec::new();
        }
        let resumed = std::mem::take(&mut state.current);
        self.begin_if_due(&mut state);
        resumed
    }
}

#[cfg(test)]
mod tests;
