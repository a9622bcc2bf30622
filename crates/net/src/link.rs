//! Connections: reads and complete writes with deadlines.

use crate::errors::{self, Cause};
use crate::polled_socket::PolledSocket;
use crate::turn::Turn;
use crate::{Fault, hang_up, sleep, watch};
use socket2::{Domain, Socket, Type};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

/// A connection that one coroutine reads, one writes and any other may shut.
///
/// Waits have no time-out of their own: a link has one deadline for reads and one for writes, and [`watch`](crate::watch) shuts it when
/// either has passed. A link that timed out cannot be used any more.
#[derive(Clone)]
pub struct Link {
    inner: Arc<Inner>,
}

/// State that the clones of a [`Link`] share.
pub struct Inner {
    stream: Arc<PolledSocket<TcpStream>>,
    /// Shut by a holder or by an expired deadline: waits end at once.
    shut: AtomicBool,
    /// A duplicate of the socket, made for the first write that has to wait: `may` wakes only one coroutine for each
    /// socket, and another may be waiting to read.
    write_socket: OnceLock<Option<Arc<PolledSocket<TcpStream>>>>,
    /// In microseconds since the start of [`watch`](crate::watch); `NO_DEADLINE` while no read waits.
    read_deadline: AtomicU64,
    /// As `read_deadline`, for writes.
    write_deadline: AtomicU64,
    /// A deadline has passed, and the link is shut or about to be.
    timed_out: AtomicBool,
    read_turn: Turn,
    write_turn: Turn,
}

const NO_DEADLINE: u64 = u64::MAX;

/// Delay before a write is retried for which the system had no buffer.
const NO_BUFFER_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Linux error number: a non-blocking connect is in progress.
const EINPROGRESS: i32 = 115;

impl Inner {
    /// Shuts the link and wakes its reader and writer; further waits end at once.
    fn shut(&self) {
        self.shut.store(true, Ordering::Release);
        let _ = self.stream.inner().shutdown(Shutdown::Both);
        self.stream.wake();
        if let Some(Some(write_socket)) = self.write_socket.get() {
            write_socket.wake();
        }
    }

    fn is_shut(&self) -> bool {
        self.shut.load(Ordering::Acquire)
    }

    /// Whether the read or the write deadline has passed.
    fn is_expired(&self, now: u64) -> bool {
        self.read_deadline.load(Ordering::SeqCst).min(self.write_deadline.load(Ordering::SeqCst)) <= now
    }

    /// Shuts the link if a deadline has passed, unless the waiting coroutine resumes meanwhile. Either this function sees
    /// that the deadline was cleared, or the coroutine sees `timed_out`, as each stores before it loads. Without this,
    /// bytes that arrive just at the deadline would be read from a link that is then shut, and could not be answered.
    pub fn shut_if_expired(&self, now: u64) {
        self.shut_if_still_expired(now, || {});
    }

    /// As [`Inner::shut_if_expired`]; `between` runs between the two checks of the deadline, for tests.
    fn shut_if_still_expired(&self, now: u64, between: impl FnOnce()) {
        if self.is_expired(now) && !self.timed_out.swap(true, Ordering::SeqCst) {
            between();
            if self.is_expired(now) {
                self.shut();
            } else {
                self.timed_out.store(false, Ordering::SeqCst);
            }
        }
    }

    /// Whether bytes that were read may be returned: the link is neither shut nor timed out.
    fn is_usable(&self) -> bool {
        !self.is_shut() && !self.timed_out.load(Ordering::SeqCst)
    }
}

impl Drop for Inner {
    fn drop(&mut self) {
        let _ = self.stream.inner().shutdown(Shutdown::Both);
        watch::defer_drop(Box::new((self.stream.clone(), self.write_socket.take())));
    }
}

impl Link {
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        let link = Self::new_unwatched(stream)?;
        watch::add(&link.inner);
        Ok(link)
    }

    /// A link whose deadlines are not watched yet.
    fn new_unwatched(stream: TcpStream) -> io::Result<Self> {
        // Stream deltas are small and must be sent at once. Without the option the link still works.
        let _ = stream.set_nodelay(true);
        let (read_deadline, write_deadline) = (AtomicU64::new(NO_DEADLINE), AtomicU64::new(NO_DEADLINE));
        let (stream, write_socket) = (PolledSocket::new(stream)?, OnceLock::new());
        let (shut, timed_out) = (AtomicBool::new(false), AtomicBool::new(false));
        Ok(Link {
            inner: Arc::new(Inner {
                stream,
                shut,
                write_socket,
                read_deadline,
                write_deadline,
                timed_out,
                read_turn: Turn::default(),
                write_turn: Turn::default(),
            }),
        })
    }

    /// Connects to an address.
    pub fn connect(address: &SocketAddr, timeout: Duration) -> Result<Link, Fault> {
        if timeout.is_zero() {
            return Err(Fault::NoConnection);
        }
        let fault = |error: io::Error| match errors::cause(&error) {
            Cause::NoDescriptor | Cause::LocalMachine => Fault::LocalMachine,
            Cause::Transient | Cause::Peer => Fault::NoConnection,
        };
        Self::connect_until(address, Instant::now() + timeout).map_err(fault)
    }

    fn connect_until(address: &SocketAddr, until: Instant) -> io::Result<Link> {
        let socket = Socket::new(Domain::for_address(*address), Type::STREAM, None)?;
        socket.set_nonblocking(true)?;
        if let Err(error) = socket.connect(&(*address).into())
            && error.raw_os_error() != Some(EINPROGRESS)
            // An interrupted connect continues in the background.
            && error.kind() != io::ErrorKind::Interrupted
        {
            return Err(error);
        }
        let link = Link::new(socket.into())?;
        let stream = &link.inner.stream;
        loop {
            if let Some(error) = stream.inner().take_error()? {
                return Err(error);
            }
            if stream.inner().peer_addr().is_ok() {
                return Ok(link);
            }
            if link.inner.is_shut() || until <= Instant::now() {
                return Err(io::ErrorKind::TimedOut.into());
            }
            link.set_read_deadline(Some(until));
            stream.wait();
            link.set_read_deadline(None);
        }
    }

    /// Shuts the link in both directions. A waiting read or write returns an error.
    pub fn shut(&self) {
        self.inner.shut();
    }

    /// Shuts the write direction, so that the peer sees the end after all bytes written before. Reads fail from now on.
    pub fn shut_write(&self) {
        self.inner.shut.store(true, Ordering::SeqCst);
        let _ = self.inner.stream.inner().shutdown(Shutdown::Write);
        self.inner.stream.wake();
    }

    /// Shuts the write direction, and closes the link once the peer has closed its side or `timeout` has passed. No coroutine
    /// waits meanwhile. Closing a socket with unread input would discard what was written last, if it is in transit.
    pub fn close_gracefully(&self, timeout: Duration) {
        self.shut_write();
        watch::close_later(self.clone(), timeout);
    }

    /// Sets or clears the deadline of a read that is waiting.
    pub fn set_read_deadline(&self, until: Option<Instant>) {
        self.inner.read_deadline.store(until.map_or(NO_DEADLINE, watch::deadline_micros), Ordering::SeqCst);
    }

    /// Brings the deadline of a waiting read forward to `until`. Does nothing if the deadline is earlier already, or if no
    /// read is waiting with one.
    pub fn shorten_read_deadline(&self, until: Instant) {
        let new = watch::deadline_micros(until);
        let shortened = |current: u64| (current != NO_DEADLINE && current > new).then_some(new);
        let _ = self.inner.read_deadline.fetch_update(Ordering::SeqCst, Ordering::SeqCst, shortened);
    }

    fn fault(&self) -> Fault {
        if self.inner.timed_out.load(Ordering::Acquire) { Fault::TimedOut } else { Fault::Broken }
    }

    /// Reads the bytes that have arrived, at least one; 0 at the end of the stream. A link that is shut returns an error even
    /// if bytes have arrived: the holder that shuts it relies on that.
    pub fn read(&self, into: &mut [u8], until: Instant) -> Result<usize, Fault> {
        self.read_until(into, Some(until))
    }

    /// As [`Link::read`]; without a deadline it waits for as long as it takes.
    pub fn read_until(&self, into: &mut [u8], until: Option<Instant>) -> Result<usize, Fault> {
        self.read_with_moving_deadline(into, || until)
    }

    /// As [`Link::read_until`], with a deadline that may be brought forward during the wait. To do so, change the state that
    /// `deadline` reads and then call [`Link::shorten_read_deadline`]. `deadline` is evaluated again once it has been set,
    /// so that a change at that very moment is not missed.
    pub fn read_with_moving_deadline(
        &self,
        into: &mut [u8],
        deadline: impl Fn() -> Option<Instant>,
    ) -> Result<usize, Fault> {
        let (stream, turn) = (&self.inner.stream, &self.inner.read_turn);
        if turn.end_if_used_up() && deadline().is_some_and(|until| until <= Instant::now()) {
            // Bytes that go on arriving do not prolong the wait.
            return Err(Fault::TimedOut);
        }
        loop {
            if !self.inner.is_usable() {
                return Err(self.fault());
            }
            match stream.inner().read(into) {
                Ok(got) if got == 0 || self.inner.is_usable() => {
                    turn.count_bytes(got);
                    return Ok(got);
                }
                Ok(_) => return Err(self.fault()),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                // Waiting for an event needs no exclusive access to the socket, so that others can shut it.
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    let until = deadline();
                    if until.is_some_and(|until| until <= Instant::now()) {
                        return Err(Fault::TimedOut);
                    }
                    // Without a deadline of its own, the read leaves in force one that was set by `set_read_deadline`.
                    if until.is_some() {
                        self.set_read_deadline(until);
                        deadline().into_iter().for_each(|until| self.shorten_read_deadline(until));
                    }
                    turn.note_wait();
                    stream.wait();
                    self.set_read_deadline(None);
                }
                Err(_) => return Err(self.fault()),
            }
        }
    }

    /// Writes all bytes. Returns `NoConnection` if provably no byte was sent.
    pub fn write(&self, bytes: &[u8], until: Instant) -> Result<(), Fault> {
        let written = self.write_all(bytes, until);
        // Not before the write: what its caller has checked must still hold then.
        self.inner.write_turn.count_bytes(bytes.len());
        self.inner.write_turn.end_if_used_up();
        written
    }

    fn write_all(&self, mut bytes: &[u8], until: Instant) -> Result<(), Fault> {
        let mut sent_any = false;
        while !bytes.is_empty() {
            let written = match self.inner.stream.inner().write(bytes) {
                // The send buffer is full: waits on the duplicate socket, as a reader may be waiting on the first.
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    if until <= Instant::now() {
                        return Err(if sent_any { Fault::TimedOut } else { Fault::NoConnection });
                    }
                    self.inner.write_deadline.store(watch::deadline_micros(until), Ordering::Release);
                    let written = self.write_when_ready(bytes);
                    self.inner.write_deadline.store(NO_DEADLINE, Ordering::Release);
                    written
                }
                written => written,
            };
            match written {
                Ok(0) => return Err(if sent_any { self.fault() } else { Fault::NoConnection }),
                Ok(count) => {
                    sent_any = true;
                    bytes = &bytes[count..];
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if errors::is_transient_write_error(&error) && Instant::now() < until => {
                    sleep(NO_BUFFER_RETRY_DELAY);
                }
                Err(_) => return Err(if sent_any { self.fault() } else { Fault::NoConnection }),
            }
        }
        Ok(())
    }

    /// Waits for room in the send buffer and writes into it. An event that came while no coroutine waited stays pending, so
    /// that the first wait may return at once with no room.
    fn write_when_ready(&self, bytes: &[u8]) -> io::Result<usize> {
        let write_socket = self
            .inner
            .write_socket
            .get_or_init(|| self.inner.stream.inner().try_clone().and_then(PolledSocket::new).ok());
        let Some(write_socket) = write_socket else { return Err(io::ErrorKind::NotConnected.into()) };
        loop {
            self.inner.write_turn.note_wait();
            write_socket.wait();
            match write_socket.inner().write(bytes) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock && !self.inner.is_shut() => {}
                written => return written,
            }
        }
    }

    /// Writes as many bytes as the socket takes without waiting, and returns their number.
    pub fn write_available(&self, bytes: &[u8]) -> usize {
        self.inner.stream.inner().write(bytes).unwrap_or(0)
    }

    /// Whether the peer has closed or reset the connection. It is seen here at once, even if the reading coroutine has not
    /// been scheduled yet, or has not read all bytes that arrived before.
    pub fn is_closed_by_peer(&self) -> bool {
        match self.inner.stream.inner().peek(&mut [0; 1]) {
            Ok(0) => true,
            Ok(_) => hang_up::has_hung_up(self.inner.stream.inner()),
            Err(error) => !matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted),
        }
    }

    /// As [`Link::is_closed_by_peer`], and all bytes that arrived before have been read.
    pub fn is_closed_by_peer_and_read(&self) -> bool {
        !self.has_unread_input() && self.is_closed_by_peer()
    }

    /// Whether bytes have arrived that have not been read.
    pub fn has_unread_input(&self) -> bool {
        self.inner.stream.inner().peek(&mut [0; 1]).is_ok_and(|got| got > 0)
    }

    /// Whether the peer has closed an idle connection or sent unrequested bytes: it must not be reused in either case.
    pub fn is_stale(&self) -> bool {
        let mut byte = [0; 1];
        // The socket is non-blocking: `WouldBlock` means open and with nothing to read.
        !matches!(self.inner.stream.inner().peek(&mut byte), Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }
}

#[cfg(test)]
mod tests;
