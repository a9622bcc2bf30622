//! Which connections there is room for. A dispatcher has so many descriptors; whoever says nothing must not take
//! them from those who ask, nor clients from hosts. Decided here from counts and times alone.

use std::time::Duration;

/// Held beside connections: standard streams, the listener, event queues, the registry, a signal's pipe.
const OTHERS: usize = 24;

/// A new connection that says nothing is closed, and one that takes longer for a request: the platform wants either
/// answered within 3 s, and a sound client sends at once.
pub const SAYS_NOTHING: Duration = Duration::from_millis(1500);
pub const REQUEST: Duration = Duration::from_millis(2000);

/// How long a connection that has just come up is left alone by a stop: its client sends its first request at once, some
/// round trips later at most.
pub const FIRST: Duration = Duration::from_millis(150);

/// Requests of one connection that may be read ahead of their turn.
pub const AHEAD: usize = 2;

/// Bytes that are read from a client which can't be understood any more, to see whether it is still there: four of the
/// largest bodies, a moment's work.
pub const SWALLOWS: usize = 4 * crate::call::BODY;

/// How long a connection lingers behind its last answer: some round trips, few descriptors.
pub const LINGERS: Duration = Duration::from_millis(100);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Room {
    sockets: usize,
}

/// A client's connection as far as it matters here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Idle {
    pub since: Duration,
    /// Part of a request has come.
    pub part: bool,
    /// It has been answered before: its client may well ask again.
    pub known: bool,
}

/// What makes room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Goes {
    /// A client without a request.
    Client,
    /// Idle connections to hosts: new ones cost a round trip or two.
    IdleHosts,
}

impl Room {
    pub fn new(sockets: usize) -> Self {
        Room { sockets: sockets.saturating_sub(OTHERS).max(8) }
    }

    /// Half for clients: each task in hand has a connection to a client and one to a host.
    pub fn clients(&self) -> usize {
        self.sockets / 2
    }

    /// Tasks in hand: with room beside them for clients who only connect.
    pub fn tasks(&self) -> usize {
        self.sockets * 2 / 5
    }

    /// How long a connection stays open between requests: while less than a quarter of the clients' room is taken
    /// there is no need to close it; else a little over the 2 s that the platform's clients may count on.
    pub fn idle(&self, clients: usize) -> Duration {
        Duration::from_millis(if clients * 4 < self.clients() { 10_000 } else { 2500 })
    }

    /// Whether a connection to a host is kept for later with so many sockets held.
    pub fn keeps(&self, held: usize) -> bool {
        held * 4 < self.sockets * 3
    }

    /// Whether a connection to a host may be opened with so many sockets held: the rest is for the registry, for calls
    /// that let go and for what is read on a signal.
    pub fn connects(&self, held: usize) -> bool {
        held < self.sockets
    }

    /// Whether a connection that ends may wait for its client to see that, with so many sockets held.
    pub fn lingers(&self, held: usize) -> bool {
        held * 2 < self.sockets
    }

    /// Whether few are left with so many held.
    pub fn is_short(&self, held: usize) -> bool {
        held * 8 >= self.sockets * 7
    }

    /// Who must go for the newest of so many clients, with so many sockets held.
    pub fn must_go(&self, clients: usize, held: usize) -> Option<Goes> {
        match (clients > self.clients(), self.is_short(held)) {
            (true, _) => Some(Goes::Client),
            (false, true) => Some(Goes::IdleHosts),
            (false, false) => None,
        }
    }

    /// Who goes for a new client: of those without a request, who never asked before those who did, then who has been
    /// silent for longest; those of whose request a part has come behind all others. None may, if all have a whole one.
    pub fn goes(&self, idle: impl Iterator<Item = (usize, Idle)>) -> Option<usize> {
        idle.min_by_key(|(_, about)| (about.part, about.known, about.since)).map(|(at, _)| at)
    }
}

#[cfg(test)]
mod tests;
