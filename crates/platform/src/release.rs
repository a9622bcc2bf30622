//! Who is told next to let go of what hosts hold for a task, and how long that may take. Any running host can be told, and
//! passes it on. Who read the prompt may be behind the very cut that ended the read, and so may all of its zone: hence
//! the next to be told should share as little as possible with those that did not answer.

use std::collections::BTreeMap;
use std::time::Duration;
use tulipstall::interface::Outcome;

/// A host that may be told.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Host {
    pub zone: u32,
    /// Of the own zone: what cuts zones apart leaves these.
    pub near: bool,
    /// The last that was wanted of it failed.
    pub doubted: bool,
    /// A connection to it is open.
    pub ready: bool,
    /// How often it was asked in vain for this task.
    pub tried: u32,
}

/// The decisions leave three tenths of the time: a tenth for each try lets three of them fail.
const TRIES: u32 = 10;

/// Tries that follow at once. All that is left then is silence on all sides, as when the own way out is cut.
const AT_ONCE: u32 = 6;

/// How often it is told at most: after that, some three times the stated time, hosts free by themselves what is left.
const MOST: u32 = 16;

/// What a shot's end tells of whether its host can be reached, if anything.
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
    release * 3 / TRIES
}

/// How long one host may take to answer.
pub fn within(release: Duration) -> Duration {
    release / TRIES
}

/// How long to wait before another try after so many; absent: it is given up.
pub fn pause(tries: u32, release: Duration) -> Option<Duration> {
    match tries {
        MOST.. => None,
        AT_ONCE.. => Some(release / 5),
        _ => Some(Duration::ZERO),
    }
}

/// After a read that ended in silence: it may still have been under way when its host was told, where that was cut off.
/// Told once more then, well inside the time.
pub fn once_more(release: Duration) -> Duration {
    release / 3
}

/// Whom to tell: who holds it, if it answers; else the one least tried, of a zone tried least, that is not doubted, near,
/// and needs no new connection; of those alike one by chance, so that not all dispatchers meet at one host.
pub fn next(hosts: &[Host], holds: Option<usize>, mut chance: impl FnMut() -> u32) -> Option<usize> {
    if let Some(at) = holds.filter(|at| hosts.get(*at).is_some_and(|host| !host.doubted && host.tried == 0)) {
        return Some(at);
    }
    let mut in_vain: BTreeMap<u32, u32> = BTreeMap::new();
    for host in hosts {
        *in_vain.entry(host.zone).or_default() += host.tried + u32::from(host.doubted);
    }
    let rank = |(at, host): (usize, &Host)| {
        ((host.tried, host.doubted, in_vain[&host.zone], !host.near, !host.ready, chance()), at)
    };
    hosts.iter().enumerate().map(rank).min().map(|(_, at)| at)
}

#[cfg(test)]
mod tests;
