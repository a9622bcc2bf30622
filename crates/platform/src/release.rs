//! Which servers are asked to release what is held for a request, when, and how often. Any running server can be asked, and
//! passes it on. A call that was written may never arrive, and connections fall silent without an error: so calls go out in
//! waves that widen until one is answered. Who read the prompt may be behind the very cut that ended the read, and so may
//! all of its zone: hence the next to be asked should share as little as possible with those that did not answer.

use std::collections::BTreeMap;
use std::time::Duration;
use tulipstall::interface::Outcome;

/// A server that may be asked.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Server {
    pub zone: u32,
    /// Of the own zone: what cuts zones apart leaves these.
    pub near: bool,
    /// The last that was wanted of it failed.
    pub doubted: bool,
    /// A connection to it is open.
    pub ready: bool,
    /// How often it was asked for this request.
    pub tried: u32,
}

/// Calls that go out side by side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wave {
    pub calls: u32,
    /// How long to wait for an answer to any call so far before the next wave.
    pub lasts: Duration,
}

/// The decisions leave three twentieths of the stated time at the least: the first waves fit into it.
const STEPS: u32 = 20;

/// The calls of the first waves, a step apart: with half of all connections silent one release in two thousand gets no
/// answer to these.
const WIDENS: [u32; 4] = [1, 2, 4, 4];

/// All that is left then is silence on all sides, as when the own way out is cut: further waves have so many calls.
const LATER: u32 = 2;

/// Waves at most: after that, some three times the stated time, servers free by themselves what is left.
const MOST: u32 = 17;

/// One server may take two steps to answer.
const ANSWER_STEPS: u32 = 2;

/// What the end of an attempt tells of whether its server can be reached, if anything.
pub fn answers(outcome: Outcome) -> Option<bool> {
    use Outcome::*;
    match outcome {
        Read | Delivered | Full | NoState | Error | Spoilt => Some(true),
        Broken | NoConnection | TimedOut | Cancelled => Some(false),
        Stale | Moot => None,
    }
}

/// What is left of the stated time once the decisions ask for a release: one that takes longer is late.
pub fn left_after_it_is_owed(release: Duration) -> Duration {
    release * 3 / STEPS
}

/// How long one server may take to answer.
pub fn within(release: Duration) -> Duration {
    release * ANSWER_STEPS / STEPS
}

/// The wave after so many; absent: the release is given up.
pub fn wave(before: u32, release: Duration) -> Option<Wave> {
    let step = release / STEPS;
    match WIDENS.get(before as usize) {
        Some(calls) => Some(Wave { calls: *calls, lasts: step }),
        None if before < MOST => Some(Wave { calls: LATER, lasts: 5 * step }),
        None => None,
    }
}

/// Whether a call goes over a new connection even if one is kept: of the first wave none, then every second one, as kept
/// connections may all have fallen silent.
pub fn wants_new_connection(wave: u32, call: u32) -> bool {
    wave > 0 && call % 2 == 1
}

/// After a read that ended in silence: it may still have been under way when its server was asked, where that was cut off.
/// Asked once more then, well inside the time.
pub fn once_more(release: Duration) -> Duration {
    release / 3
}

/// Whom to ask: who holds it, if it answers; else the one least tried, of a zone tried least, that is not doubted, near,
/// and needs no new connection; of those alike one by chance, so that not all dispatchers meet at one server.
pub fn next(servers: &[Server], holds: Option<usize>, mut chance: impl FnMut() -> u32) -> Option<usize> {
    let is_sound = |at: &usize| servers.get(*at).is_some_and(|server| !server.doubted && server.tried == 0);
    if let Some(at) = holds.filter(is_sound) {
        return Some(at);
    }
    let mut in_vain: BTreeMap<u32, u32> = BTreeMap::new();
    for server in servers {
        *in_vain.entry(server.zone).or_default() += server.tried + u32::from(server.doubted);
    }
    let rank = |(at, server): (usize, &Server)| {
        ((server.tried, server.doubted, in_vain[&server.zone], !server.near, !server.ready, chance()), at)
    };
    servers.iter().enumerate().map(rank).min().map(|(_, at)| at)
}

#[cfg(test)]
mod tests;
