//! Ids of requests in use. An id stays reserved for some time after its request has been answered: an attempt
//! sent for it may still be running, and its own client never uses the id again.

use std::collections::{HashSet, VecDeque};
use std::time::Duration;

/// Limit for ids of ended requests, far above what a dispatcher completes within the retention time.
const MAX_ENDED_IDS: usize = 8192;

/// The reserved ids.
pub struct RequestIds {
    reserved: HashSet<String>,
    ended: VecDeque<(Duration, String)>,
    retention: Duration,
}

impl RequestIds {
    /// Ids of ended requests stay reserved for `retention`.
    pub fn new(retention: Duration) -> Self {
        RequestIds { reserved: HashSet::new(), ended: VecDeque::new(), retention }
    }

    /// Reserves an id; false if it is already reserved.
    pub fn reserve(&mut self, now: Duration, id: &str) -> bool {
        while self.ended.len() > MAX_ENDED_IDS
            || self.ended.front().is_some_and(|(at, _)| *at + self.retention <= now)
        {
            if let Some((_, id)) = self.ended.pop_front() {
                self.reserved.remove(&id);
            }
        }
        !self.reserved.contains(id) && self.reserved.insert(id.to_owned())
    }

    /// Its request has been answered, or its client has disconnected: the retention time begins.
    pub fn end(&mut self, now: Duration, id: String) {
        self.ended.push_back((now, id));
    }
}

#[cfg(test)]
mod tests;
