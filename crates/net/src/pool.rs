//! Idle connections that are kept for further requests.

use crate::{Fault, Link};
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Idle connections to one peer.
pub struct Pool {
    address: SocketAddr,
    max_idle: usize,
    max_idle_time: Duration,
    idle: Mutex<Vec<(Link, Instant)>>,
}

impl Pool {
    pub fn new(address: SocketAddr, max_idle: usize, max_idle_time: Duration) -> Self {
        Pool { address, max_idle, max_idle_time, idle: Mutex::new(Vec::new()) }
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes an idle connection that is neither too old nor stale.
    pub fn take_idle(&self) -> Option<Link> {
        self.take_idle_if(|_| true).map(|(link, _)| link)
    }

    /// Takes the most recently used idle connection whose idle time `is_acceptable` admits, and returns it with that time.
    pub fn take_idle_if(&self, is_acceptable: impl Fn(Duration) -> bool) -> Option<(Link, Duration)> {
        let now = Instant::now();
        loop {
            let (link, since) = {
                let mut idle = self.idle.lock().ok()?;
                let index = idle.iter().rposition(|(_, since)| is_acceptable(now.duration_since(*since)))?;
                idle.remove(index)
            };
            let idle_time = now.duration_since(since);
            if idle_time < self.max_idle_time && !link.is_stale() {
                return Some((link, idle_time));
            }
        }
    }

    /// Takes an idle connection, or opens a new one.
    pub fn take(&self, timeout: Duration) -> Result<Link, Fault> {
        match self.take_idle() {
            Some(link) => Ok(link),
            None => Link::connect(&self.address, timeout),
        }
    }

    /// Whether the pool holds any connection.
    pub fn has_idle(&self) -> bool {
        self.idle.lock().is_ok_and(|idle| !idle.is_empty())
    }

    /// Returns a connection to the pool; closes it if the pool is full.
    pub fn put(&self, link: Link) {
        if let Ok(mut idle) = self.idle.lock()
            && idle.len() < self.max_idle
        {
            idle.push((link, Instant::now()));
        }
    }

    /// Closes connections that have been idle for too long or are stale.
    pub fn trim(&self) {
        let now = Instant::now();
        if let Ok(mut idle) = self.idle.lock() {
            idle.retain(|(link, since)| now.duration_since(*since) < self.max_idle_time && !link.is_stale());
        }
    }

    pub fn clear(&self) {
        if let Ok(mut idle) = self.idle.lock() {
            idle.clear();
        }
    }
}
