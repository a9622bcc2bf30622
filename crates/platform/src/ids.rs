//! Ids of requests in use. An id stays reserved for some time after its request has been answered: an attempt
//! sent for it may still be running, and its own client never uses the id again.

use std::collections::{HashSet, VecDeque};
use std::time::Duration;

/// Limit for ids of ended requests, far above what a dispatcher completes within the retention time.
const MOST: usize = 8192;

pub struct Ids {
    taken: HashSet<String>,
    ended: VecDeque<(Duration, String)>,
    keeps: Duration,
}

impl Ids {
    /// Ids of ended requests stay reserved for `retention`.
    pub fn new(keeps: Duration) -> Self {
        Ids { taken: HashSet::new(), ended: VecDeque::new(), keeps }
    }

    /// Reserves an id; false if it is already reserved.
    pub fn take(&mut self, now: Duration, id: &str) -> bool {
        while self.ended.len() > MOST || self.ended.front().is_some_and(|(at, _)| *at + self.keeps <= now) {
            if let Some((_, id)) = self.ended.pop_front() {
                self.taken.remove(&id);
            }
        }
        !self.taken.contains(id) && self.taken.insert(id.to_owned())
    }

    /// Its request has been answered, or its client has disconnected: the retention time begins.
    pub fn ends(&mut self, now: Duration, id: String) {
        self.ended.push_back((now, id));
    }
}

#[cfg(test)]
mod tests;
