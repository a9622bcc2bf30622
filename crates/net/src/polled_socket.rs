//! Sockets that coroutines wait for, and the count of those that are open.

use may::coroutine::is_coroutine;
use may::io::{CoIo, WaitIo};
use std::io;
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

/// A socket that coroutines wait for. The order of the fields matters: the file descriptor is closed only after its events
/// are deregistered. `CoIo` alone closes it first, and then deregisters the events of a new socket that has been given the
/// same descriptor meanwhile.
pub struct PolledSocket<T: AsRawFd> {
    io: CoIo<Arc<T>>,
    socket: Arc<T>,
    _open: OpenSocket,
}

/// Suspends the calling coroutine until the next event of a descriptor. Spurious wake-ups occur.
// Never inlined, see `Waiter`.
#[inline(never)]
pub fn wait_for_event<T: AsRawFd>(io: &CoIo<T>) {
    io.wait_io();
}

/// Number of [`OpenSocket`] values.
static OPEN_SOCKETS: AtomicUsize = AtomicUsize::new(0);

/// Counts one open socket of the process, including sockets that are shut and wait for their deferred drop.
struct OpenSocket;

impl OpenSocket {
    fn new() -> Self {
        OPEN_SOCKETS.fetch_add(1, Ordering::Relaxed);
        OpenSocket
    }
}

impl Drop for OpenSocket {
    fn drop(&mut self) {
        OPEN_SOCKETS.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Number of open sockets of the process, including those that are shut and wait for their deferred drop.
pub fn open_sockets() -> usize {
    OPEN_SOCKETS.load(Ordering::Relaxed)
}

impl<T: AsRawFd> PolledSocket<T> {
    pub fn new(socket: T) -> io::Result<Arc<Self>> {
        let socket = Arc::new(socket);
        Ok(Arc::new(PolledSocket { io: CoIo::new(socket.clone())?, socket, _open: OpenSocket::new() }))
    }

    pub fn inner(&self) -> &T {
        &self.socket
    }

    /// Wakes the waiting coroutine. Needed in addition to a shutdown, which need not raise an event on a socket that is still
    /// connecting.
    // Never inlined, see `Waiter`.
    #[inline(never)]
    pub fn wake(&self) {
        self.io.waker().wakeup();
    }

    /// Waits for the next event. Spurious wake-ups occur.
    pub fn wait(&self) {
        if is_coroutine() {
            wait_for_event(&self.io);
        } else {
            // Plain threads are not on the program's usual path, so polling is good enough.
            thread::sleep(Duration::from_millis(1));
        }
    }
}
