//! Sockets for coroutines of `may`: reads and complete writes with deadlines, and pools of idle connections.

pub mod channel;
pub mod errors;
mod hang_up;
mod link;
mod listener;
mod notify;
pub mod poll_lag;
mod poll_round;
mod polled_socket;
mod pool;
mod reply;
mod sleep;
pub mod sync;
mod turn;
mod waiter;
mod watch;

pub use link::Link;
pub use listener::Listener;
pub use may::coroutine::JoinHandle;
pub use notify::Notify;
pub use polled_socket::open_sockets;
pub use pool::Pool;
pub use reply::Reply;
pub use sleep::sleep;
pub use watch::closing_links;

use may::coroutine::{self, Coroutine};
use std::fmt;

/// Size of read buffers in bytes: a burst of stream events fits.
pub const READ_BUFFER_BYTES: usize = 4096;

/// Why communication with a peer failed.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// No connection could be made in time, or at all. Nothing was written.
    NoConnection,
    /// The local machine lacks a file descriptor, a port, memory or a route. Nothing was written, and the error says
    /// nothing about the peer.
    LocalMachine,
    /// The deadline passed.
    TimedOut,
    /// The connection ended or broke. The peer may have processed part of the request.
    Broken,
    /// The response is malformed.
    Malformed,
}

/// Prints names that are values of log fields and must not change with the names of the variants.
impl fmt::Debug for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Fault::NoConnection => "NoConnection",
            Fault::LocalMachine => "OwnMachine",
            Fault::TimedOut => "TimedOut",
            Fault::Broken => "Broken",
            Fault::Malformed => "Rubbish",
        })
    }
}

/// Starts a coroutine. All coroutines have to be started by this function: it keeps the coroutine's handle for a while
/// after the end, as `may` may still write to it then (docs/coroutines.md).
pub fn spawn<T: Send + 'static>(body: impl FnOnce() -> T + Send + 'static) -> JoinHandle<T> {
    struct DropGuard(Coroutine);
    impl Drop for DropGuard {
        fn drop(&mut self) {
            watch::defer_drop(Box::new(self.0.clone()));
        }
    }
    may::go!(move || {
        let _guard = DropGuard(coroutine::current());
        body()
    })
}

/// Number of ended coroutines whose stacks are kept for new ones. Kept stacks stay touched as deep as they were used, so
/// that a burst of coroutines would keep its memory for good; a few save most of the mapping.
const MAX_KEPT_STACKS: usize = 32;

/// Configures the coroutine runtime. Must be called before the first coroutine starts. With a single worker the thread
/// that resumes a coroutine is also the one that suspended it, so that drops are deferred for a shorter time
/// (docs/coroutines.md).
pub fn configure_coroutines(workers: usize, stack_bytes: usize) {
    let config = may::config();
    config.set_workers(workers).set_stack_size(stack_bytes / size_of::<usize>());
    config.set_pool_capacity(MAX_KEPT_STACKS);
    // A pinned worker waits whenever another thread occupies its core.
    config.set_worker_pin(false);
    watch::set_drop_delay(workers);
}
