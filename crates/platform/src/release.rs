//! Selects the servers to ask for the release of what is held for a request, when, and how often. Any running
//! server accepts such a call and forwards it. A call may be lost, and connections may fall silent without an
//! error: so calls are sent in growing waves until one is answered. The reader of the prompt may be behind
//! the network fault that ended the read, and so may its whole zone: so the next server should share as
//! little as possible with those that did not answer.

use std::collections::BTreeMap;
use std::time::Duration;
use tulipstall::interface::Outcome;

/// A server that may be asked.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Candidate {
    pub zone: u32,
    /// In the dispatcher's own zone, which stays reachable when zones are cut off from each other.
    pub in_own_zone: bool,
    /// The last request to it failed.
    pub suspected: bool,
    /// A connection to it is open.
    pub connected: bool,
    /// How often it has been asked for this request.
    pub attempts: u32,
}

/// Calls that are sent in parallel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wave {
    pub calls: u32,
    /// How long to wait for an answer to any call so far before the next wave.
    pub answer_wait: Duration,
}

/// The release time is divided into this many steps. The decisions leave at least three of them: the first
/// waves fit into these.
const STEPS_PER_RELEASE: u32 = 20;

/// Calls of the first waves, which are one step apart: with half of all connections silent, one release in
/// two thousand gets no answer to these.
const FIRST_WAVE_CALLS: [u32; 4] = [1, 2, 4, 4];

/// Calls of each later wave. By then all servers are silent, as when the dispatcher's own network is cut off.
const LATER_WAVE_CALLS: u32 = 2;

/// Limit of waves: after these, at about three times the release time, servers free the rest by themselves.
const MAX_WAVES: u32 = 17;

/// Steps that one server may take to answer.
const ANSWER_STEPS: u32 = 2;

/// Whether the end of an attempt shows that its server can be reached; `None` if it shows neither.
pub fn reachability(outcome: Outcome) -> Option<bool> {
    use Outcome::*;
    match outcome {
        Read | Delivered | Full | NoState | Error | Spoilt => Some(true),
        Broken | NoConnection | TimedOut | Cancelled => Some(false),
        Stale | Moot => None,
    }
}

/// The part of the release time that is left when the decisions request a release: one that takes longer is
/// late.
pub fn time_left_when_owed(release_time: Duration) -> Duration {
    release_time * 3 / STEPS_PER_RELEASE
}

/// How long one server may take to answer.
pub fn call_timeout(release_time: Duration) -> Duration {
    release_time * ANSWER_STEPS / STEPS_PER_RELEASE
}

/// The wave that follows `before` waves; `None` means that the release is abandoned.
pub fn wave(before: u32, release_time: Duration) -> Option<Wave> {
    let step = release_time / STEPS_PER_RELEASE;
    match FIRST_WAVE_CALLS.get(before as usize) {
        Some(calls) => Some(Wave { calls: *calls, answer_wait: step }),
        None if before < MAX_WAVES => Some(Wave { calls: LATER_WAVE_CALLS, answer_wait: 5 * step }),
        None => None,
    }
}

/// Whether a call uses a new connection even if a pooled one is available: never in the first wave, then
/// every second call, as pooled connections may all have fallen silent.
pub fn wants_new_connection(wave: u32, call: u32) -> bool {
    wave > 0 && call % 2 == 1
}

/// Delay of the repeated release after a read that ended in silence: where the server was cut off, the read
/// may still have been in transit when the first release arrived. Well within the release time.
pub fn repeat_delay(release_time: Duration) -> Duration {
    release_time / 3
}

/// The server to ask next: the holder if it is neither suspected nor tried; otherwise the first by fewest
/// attempts, not suspected, fewest failures in its zone, own zone, open connection. Ties are broken at random,
/// so that dispatchers do not all choose the same server.
pub fn next_server(
    servers: &[Candidate],
    holder: Option<usize>,
    mut random: impl FnMut() -> u32,
) -> Option<usize> {
    let is_eligible =
        |index: &usize| servers.get(*index).is_some_and(|server| !server.suspected && server.attempts == 0);
    if let Some(index) = holder.filter(is_eligible) {
        return Some(index);
    }
    let mut failures_by_zone: BTreeMap<u32, u32> = BTreeMap::new();
    for server in servers {
        *failures_by_zone.entry(server.zone).or_default() += server.attempts + u32::from(server.suspected);
    }
    let rank = |(index, server): (usize, &Candidate)| {
        (
            (
                server.attempts,
                server.suspected,
                failures_by_zone[&server.zone],
                !server.in_own_zone,
                !server.connected,
                random(),
            ),
            index,
        )
    };
    servers.iter().enumerate().map(rank).min().map(|(_, index)| index)
}

#[cfg(test)]
mod tests;
