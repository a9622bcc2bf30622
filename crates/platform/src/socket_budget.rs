//! The budget of sockets. A dispatcher has a limited number of descriptors; silent connections must not take
//! them from active clients, nor clients from hosts. All decisions depend on counts and times alone.

use std::time::Duration;

/// Descriptors other than connections: standard streams, the listener, event queues, the registry, the signal
/// pipe.
const RESERVED_SOCKETS: usize = 24;

/// Sockets that are used whatever the configuration grants.
const MIN_SOCKETS: usize = 8;

/// Time for the first byte of a new connection and for a whole request. The platform requires an answer to
/// either within 3 s, and a healthy client sends at once.
pub const FIRST_BYTE_TIMEOUT: Duration = Duration::from_millis(1500);
pub const REQUEST_TIMEOUT: Duration = Duration::from_millis(2000);

/// For how long a stop spares a new connection: its client sends the first request at once, at most a few
/// round trips later.
pub const NEW_CONNECTION_GRACE: Duration = Duration::from_millis(150);

/// For how long a newer connection spares a new one in favour of idle ones: where many connect at once, evicting them for
/// each other would leave no time to read any of their requests.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(30);

/// Requests of one connection that may be read ahead while another one is answered.
pub const MAX_READ_AHEAD: usize = 2;

/// Bytes read and discarded from a client whose input is malformed, to notice when it disconnects: four of
/// the largest bodies, which take a moment.
pub const MAX_DISCARDED_BYTES: usize = 4 * crate::call::MAX_BODY_BYTES;

/// How long a connection stays half open after its last answer: a few round trips, so that few
/// descriptors are held by this.
pub const LINGER_TIMEOUT: Duration = Duration::from_millis(100);

/// The number of sockets that connections may use, and how many clients and tasks they allow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SocketBudget {
    sockets: usize,
    max_clients: usize,
    max_tasks: usize,
}

/// State of a client connection, as far as eviction depends on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EvictionCandidate {
    /// When it was accepted, or when its last answer ended, since the dispatcher's start.
    pub since: Duration,
    /// Part of a request has been received, or has arrived and is not read yet.
    pub partial: bool,
    /// At least one request has been answered: the client is likely to send another.
    pub answered_before: bool,
}

impl EvictionCandidate {
    fn is_new(&self, now: Duration) -> bool {
        !self.answered_before && now < self.since + FIRST_REQUEST_GRACE
    }
}

/// What to close to free descriptors.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Eviction {
    /// A client connection without a whole request.
    Client,
    /// Idle connections to hosts: a new one costs one or two round trips.
    IdleHostLinks,
}

impl SocketBudget {
    pub fn new(sockets: usize) -> Self {
        let sockets = sockets.saturating_sub(RESERVED_SOCKETS).max(MIN_SOCKETS);
        SocketBudget { sockets, max_clients: sockets / 2, max_tasks: sockets * 2 / 5 }
    }

    /// The same sockets with lower limits of clients and tasks, if another resource allows fewer of them.
    pub fn limited_to(self, max_clients: usize, max_tasks: usize) -> Self {
        let (max_clients, max_tasks) = (max_clients.max(MIN_SOCKETS / 2), max_tasks.max(MIN_SOCKETS / 2));
        SocketBudget {
            max_clients: self.max_clients.min(max_clients),
            max_tasks: self.max_tasks.min(max_tasks),
            ..self
        }
    }

    /// Limit of client connections, at most half of the sockets: each open task has one connection to a client
    /// and one to a host.
    pub fn max_clients(&self) -> usize {
        self.max_clients
    }

    /// Limit of open tasks: leaves room for clients that are connected without a task.
    pub fn max_tasks(&self) -> usize {
        self.max_tasks
    }

    /// How long a connection stays open between requests: 10 s while less than a quarter of the client limit
    /// is used, as there is no need to close it sooner; otherwise a little more than the 2 s that the
    /// platform guarantees to clients.
    pub fn idle_timeout(&self, clients: usize) -> Duration {
        Duration::from_millis(if clients * 4 < self.max_clients() { 10_000 } else { 2500 })
    }

    /// Whether a connection to a host may be returned to the pool while `held` sockets are open.
    pub fn may_pool(&self, held: usize) -> bool {
        held * 4 < self.sockets * 3
    }

    /// Whether a connection to a host may be opened while `held` sockets are open: the remainder is reserved
    /// for the registry, for release requests and for files that are read on a signal.
    pub fn may_connect(&self, held: usize) -> bool {
        held < self.sockets
    }

    /// Whether a connection that is being closed may wait for its client to notice, while `held` sockets are
    /// open.
    pub fn may_linger(&self, held: usize) -> bool {
        held * 2 < self.sockets
    }

    /// Whether at least seven eighths of the sockets are in use.
    pub fn is_nearly_exhausted(&self, held: usize) -> bool {
        held * 8 >= self.sockets * 7
    }

    /// What to close for the newest of `clients` clients, while `held` sockets are open.
    pub fn eviction_for_new_client(&self, clients: usize, held: usize) -> Option<Eviction> {
        match (clients > self.max_clients(), self.is_nearly_exhausted(held)) {
            (true, _) => Some(Eviction::Client),
            (false, true) => Some(Eviction::IdleHostLinks),
            (false, false) => None,
        }
    }

    /// Selects the client to evict for a new one: of those without a request first the ones that never sent
    /// any, unless they are new, then the one that has been silent longest; those that have sent part of a request
    /// come last. None if every client has a whole request.
    pub fn client_to_evict(
        &self,
        now: Duration,
        candidates: impl Iterator<Item = (usize, EvictionCandidate)>,
    ) -> Option<usize> {
        let rank = |candidate: &EvictionCandidate| {
            (candidate.partial, candidate.is_new(now), candidate.answered_before, candidate.since)
        };
        candidates.min_by_key(|(_, candidate)| rank(candidate)).map(|(index, _)| index)
    }
}

#[cfg(test)]
mod tests;
