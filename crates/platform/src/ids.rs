//! Ids of requests in use. An id stays reserved for some time after its request has ended: an attempt sent for it may still
//! be running, and its own client never uses the id again.

use std::collections::{HashSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Limit for ids of ended requests.
const MAX_ENDED_IDS: usize = 16_384;

/// Why an id cannot be reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReserveError {
    /// It is reserved already.
    InUse,
    /// There is no room for further ids.
    Full,
}

/// What may still happen for a request that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndedRequest {
    /// Nothing was sent for it: its id is free at once.
    Unsent,
    /// It may run again without harm: its id is forgotten first when there is no room.
    Repeatable,
    /// It must not run again.
    Unrepeatable,
}

/// Ids of ended requests, oldest first, each with the time of its end.
type EndedIds = VecDeque<(Duration, Arc<str>)>;

/// The reserved ids.
pub struct RequestIds {
    reserved: HashSet<Arc<str>>,
    ended_repeatable: EndedIds,
    ended_unrepeatable: EndedIds,
    retention: Duration,
}

impl RequestIds {
    /// Ids of ended requests stay reserved for `retention`.
    pub fn new(retention: Duration) -> Self {
        RequestIds {
            reserved: HashSet::new(),
            ended_repeatable: VecDeque::new(),
            ended_unrepeatable: VecDeque::new(),
            retention,
        }
    }

    /// Reserves an id. Ids of requests that must not run again are not forgotten for it.
    pub fn reserve(&mut self, now: Duration, id: &str) -> Result<(), ReserveError> {
        self.forget_expired(now);
        if self.reserved.contains(id) {
            return Err(ReserveError::InUse);
        }
        if self.ended_unrepeatable.len() >= MAX_ENDED_IDS {
            return Err(ReserveError::Full);
        }
        self.reserved.insert(id.into());
        Ok(())
    }

    /// Its request has been answered, or its client has disconnected: the retention time begins.
    pub fn end(&mut self, now: Duration, id: &str, request: EndedRequest) {
        let Some(id) = self.reserved.get(id).cloned() else { return };
        match request {
            EndedRequest::Unsent => {
                self.reserved.remove(&id);
            }
            EndedRequest::Repeatable => self.ended_repeatable.push_back((now, id)),
            EndedRequest::Unrepeatable => self.ended_unrepeatable.push_back((now, id)),
        }
        self.forget_surplus();
    }

    /// Forgets ids whose retention time is over.
    fn forget_expired(&mut self, now: Duration) {
        for ended in [&mut self.ended_repeatable, &mut self.ended_unrepeatable] {
            while let Some((_, id)) = ended.pop_front_if(|(at, _)| *at + self.retention <= now) {
                self.reserved.remove(&id);
            }
        }
    }

    /// Forgets the oldest ids of requests that may run again, as long as there are too many.
    fn forget_surplus(&mut self) {
        while self.ended_repeatable.len() + self.ended_unrepeatable.len() > MAX_ENDED_IDS
            && let Some((_, id)) = self.ended_repeatable.pop_front()
        {
            self.reserved.remove(&id);
        }
    }
}

#[cfg(test)]
mod tests;
