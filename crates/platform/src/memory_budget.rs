//! The budget of memory. Over its memory limit the process is killed, so whatever clients can make it hold is
//! bounded together: their connections and tasks by number, the requests that are being received or held by
//! bytes. All decisions depend on counts, sizes and times alone.

use std::time::Duration;

const MIB: usize = 1 << 20;

/// Memory of the process without hosts, clients and requests: threads, buffers of the log, kept stacks, reserved ids.
const PROCESS_BYTES: usize = 6 * MIB;

/// Memory of one listed host: its endpoint, idle connections and what the decisions keep of it.
const HOST_BYTES: usize = 4 << 10;

/// Memory of one client connection: the touched stacks of two coroutines, its channel and its socket.
const CLIENT_BYTES: usize = 24 << 10;

/// Memory of one task beside its request: the touched stacks of its attempts, and buffers of its answer. As much as
/// for a release that is owed: its own stack and those of its calls.
const TASK_BYTES: usize = 32 << 10;

/// Memory of one name of a session or a shared text, with what is known of it.
const NAME_BYTES: usize = 768;

/// Least memory for requests: a few of the largest, whatever the configuration grants.
const MIN_REQUEST_BYTES: usize = 4 * crate::call::MAX_BODY_BYTES;

/// Requests up to this size may use all of the memory for requests; larger ones leave a quarter of it, so that
/// a few hundred large requests do not shut out all others.
const SMALL_REQUEST_BYTES: usize = 64 << 10;

/// Shortest idle time that counts in a comparison of unfinished requests: between two reads of a sound client.
const MIN_IDLE: Duration = Duration::from_millis(1);

/// How the memory of the process is divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryBudget {
    /// Memory for clients, tasks, names, hosts and requests together.
    shared_bytes: usize,
}

/// What a request's memory is charged to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// The only request of its connection.
    Next,
    /// Read ahead, while another request of its connection is pending.
    Ahead,
}

/// Limits for the bytes of all requests together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    total: usize,
}

impl MemoryBudget {
    pub fn new(memory_mb: usize) -> Self {
        MemoryBudget { shared_bytes: memory_mb.saturating_mul(MIB).saturating_sub(PROCESS_BYTES) }
    }

    /// Limit of client connections: a quarter of the memory.
    pub fn max_clients(&self) -> usize {
        self.shared_bytes / 4 / CLIENT_BYTES
    }

    /// Limit of tasks that are not settled and of releases that are owed, together: a quarter of the memory.
    pub fn max_tasks(&self) -> usize {
        self.shared_bytes / 4 / TASK_BYTES
    }

    /// Limit of names of sessions, and of those of shared texts: a sixteenth of the memory each.
    pub fn max_names(&self) -> usize {
        self.shared_bytes / 16 / NAME_BYTES
    }

    /// Limits for requests beside this many clients, tasks and hosts. A quarter of what is left is not used, as
    /// freed memory is not always fit for what is needed next.
    pub fn request_limits(&self, clients: usize, tasks: usize, hosts: usize) -> RequestLimits {
        let names = 2 * self.max_names() * NAME_BYTES;
        let others = clients * CLIENT_BYTES + tasks * TASK_BYTES + hosts * HOST_BYTES + names;
        let left = self.shared_bytes.saturating_sub(others);
        RequestLimits { total: (left / 4 * 3).max(MIN_REQUEST_BYTES) }
    }
}

impl RequestLimits {
    /// Limit for the bytes of all requests together, below which a request may grow to `bytes`.
    pub fn for_request(&self, bytes: usize) -> usize {
        if bytes <= SMALL_REQUEST_BYTES { self.total } else { self.total / 4 * 3 }
    }

    /// Limit for the bytes of all requests that were read ahead: usual clients send one at a time.
    pub fn read_ahead(&self) -> usize {
        self.total / 8
    }
}

/// A client connection with an unfinished request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnfinishedRequest {
    /// Memory that the request occupies so far.
    pub bytes: usize,
    /// Time since its last bytes arrived.
    pub idle: Duration,
}

/// Selects the unfinished request to reject when memory is short: the one that has kept the most memory idle for
/// the longest, as the product of both. Sound clients send without pauses.
pub fn request_to_reject(candidates: impl Iterator<Item = (usize, UnfinishedRequest)>) -> Option<usize> {
    let cost = |request: &UnfinishedRequest| request.bytes as u128 * request.idle.max(MIN_IDLE).as_micros();
    candidates.max_by_key(|(_, request)| cost(request)).map(|(index, _)| index)
}

#[cfg(test)]
mod tests;
