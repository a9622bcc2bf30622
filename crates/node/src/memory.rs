//! Accounts for the memory that clients' requests occupy, from their first byte until their last attempt has been
//! written. The limits are those of the memory budget.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tulipstall_platform::memory_budget::{MemoryBudget, RequestKind};

/// The bytes of all requests.
pub struct RequestMemory {
    budget: MemoryBudget,
    max_clients: usize,
    /// Tasks that are not settled and releases that are owed.
    max_unsettled: usize,
    /// Highest number of hosts that were listed at once: freed memory of hosts may stay with the process.
    hosts: AtomicUsize,
    held: AtomicUsize,
    /// Of these, bytes of requests that were read ahead.
    read_ahead: AtomicUsize,
    /// Highest value of `held`.
    highest: AtomicUsize,
    /// Requests rejected for lack of memory.
    rejected: AtomicUsize,
}

impl RequestMemory {
    pub fn new(budget: MemoryBudget, max_clients: usize, max_unsettled: usize) -> Arc<Self> {
        Arc::new(RequestMemory {
            budget,
            max_clients,
            max_unsettled,
            hosts: AtomicUsize::new(0),
            held: AtomicUsize::new(0),
            read_ahead: AtomicUsize::new(0),
            highest: AtomicUsize::new(0),
            rejected: AtomicUsize::new(0),
        })
    }

    /// Records the number of listed hosts, whose memory is not available to requests.
    pub fn set_hosts(&self, hosts: usize) {
        self.hosts.fetch_max(hosts, Ordering::Relaxed);
    }

    /// Bytes of all requests now.
    pub fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// Counts a request that is rejected for lack of memory.
    pub fn count_rejected(&self) {
        self.rejected.fetch_add(1, Ordering::Relaxed);
    }

    /// Logs the highest use since the last report, as a warning if requests have been rejected since then.
    pub fn report(&self) {
        let rejected = self.rejected.swap(0, Ordering::Relaxed);
        let highest = self.highest.swap(self.held(), Ordering::Relaxed);
        if rejected > 0 {
            let (held, read_ahead) = (self.held(), self.read_ahead.load(Ordering::Relaxed));
            tracing::warn!(rejected, highest, held, read_ahead, "memory for requests is short");
        } else {
            tracing::debug!(highest, "memory of requests");
        }
    }

    /// A lease of no bytes yet.
    pub fn lease(self: &Arc<Self>, kind: RequestKind) -> MemoryLease {
        MemoryLease { memory: self.clone(), kind, bytes: 0 }
    }

    /// Adds `more` bytes for a request of `bytes` bytes in all, if the limits allow it.
    fn try_add(&self, kind: RequestKind, bytes: usize, more: usize) -> bool {
        let hosts = self.hosts.load(Ordering::Relaxed);
        let limits = self.budget.request_limits(self.max_clients, self.max_unsettled, hosts);
        if kind == RequestKind::Ahead && !add_within(&self.read_ahead, more, limits.read_ahead()) {
            return false;
        }
        let added = add_within(&self.held, more, limits.for_request(bytes));
        if !added && kind == RequestKind::Ahead {
            self.read_ahead.fetch_sub(more, Ordering::Relaxed);
        }
        self.highest.fetch_max(self.held(), Ordering::Relaxed);
        added
    }

    fn give_back(&self, kind: RequestKind, bytes: usize) {
        self.held.fetch_sub(bytes, Ordering::Relaxed);
        if kind == RequestKind::Ahead {
            self.read_ahead.fetch_sub(bytes, Ordering::Relaxed);
        }
    }
}

/// Adds to a counter unless that takes it past the limit; returns whether it was added.
fn add_within(counter: &AtomicUsize, more: usize, limit: usize) -> bool {
    let add = |count: usize| count.checked_add(more).filter(|sum| *sum <= limit);
    counter.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add).is_ok()
}

/// Memory of one request, given back on drop.
pub struct MemoryLease {
    memory: Arc<RequestMemory>,
    kind: RequestKind,
    bytes: usize,
}

impl MemoryLease {
    pub fn kind(&self) -> RequestKind {
        self.kind
    }

    /// Gives back all but `bytes`.
    pub fn shrink(&mut self, bytes: usize) {
        let excess = self.bytes.saturating_sub(bytes);
        self.memory.give_back(self.kind, excess);
        self.bytes -= excess;
    }

    /// Changes the size of the lease. False, and nothing is changed, if the limits do not allow it to grow.
    #[must_use]
    pub fn try_resize(&mut self, bytes: usize) -> bool {
        if bytes <= self.bytes {
            self.shrink(bytes);
            return true;
        }
        let added = self.memory.try_add(self.kind, bytes, bytes - self.bytes);
        if added {
            self.bytes = bytes;
        }
        added
    }

    /// Splits off the memory of a part of the request that is freed on its own.
    pub fn split_off(&mut self, bytes: usize) -> MemoryLease {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        MemoryLease { memory: self.memory.clone(), kind: self.kind, bytes }
    }
}

impl Drop for MemoryLease {
    fn drop(&mut self) {
        self.memory.give_back(self.kind, self.bytes);
    }
}

/// The body of a request, with its memory.
pub struct Body {
    bytes: Vec<u8>,
    _lease: MemoryLease,
}

impl Body {
    pub fn new(bytes: Vec<u8>, lease: MemoryLease) -> Self {
        Body { bytes, _lease: lease }
    }
}

impl std::ops::Deref for Body {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}

#[cfg(test)]
mod tests;
