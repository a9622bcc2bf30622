//! Ids of requests: one that was taken is no other request's, also once it has been answered: what was sent for it may still
//! run, and its own client never uses it again.

use std::collections::{HashSet, VecDeque};
use std::time::Duration;

/// Ended ones that are kept, far above what a dispatcher ends in the time that they are kept for.
const MOST: usize = 8192;

pub struct Ids {
    taken: HashSet<String>,
    ended: VecDeque<(Duration, String)>,
    keeps: Duration,
}

impl Ids {
    /// Ended ones are kept for so long.
    pub fn new(keeps: Duration) -> Self {
        Ids { taken: HashSet::new(), ended: VecDeque::new(), keeps }
    }

    /// Whether a request may have this id; it has it from now on.
    pub fn take(&mut self, now: Duration, id: &str) -> bool {
        while self.ended.len() > MOST || self.ended.front().is_some_and(|(at, _)| *at + self.keeps <= now) {
            if let Some((_, id)) = self.ended.pop_front() {
                self.taken.remove(&id);
            }
        }
        !self.taken.contains(id) && self.taken.insert(id.to_owned())
    }

    /// Its request has had its answer, or its client has left.
    pub fn ends(&mut self, now: Duration, id: String) {
        self.ended.push_back((now, id));
    }
}

#[cfg(test)]
mod tests;
