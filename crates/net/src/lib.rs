//! Sockets for coroutines of `may`: reads and complete writes with deadlines, and pools of idle connections.

pub mod channel;
pub mod errors;
mod hang_up;
pub mod poll_lag;
mod poll_round;
mod sleep;
mod turn;
mod watch;

pub use may::coroutine::JoinHandle;
pub use sleep::sleep;
pub use watch::closing_links;

use errors::Cause;
use may::coroutine::{self, Coroutine, is_coroutine};
use may::io::{CoIo, WaitIo};
use may::sync::Mutex;
use socket2::{Domain, SockRef, Socket, Type};
use std::fmt;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::thread;
use std::time::{Duration, Instant};
use tulipstall_http1::{Limits, ResponseHead, ResponseReader};
use turn::Turn;

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

/// A socket that coroutines wait for. The order of the fields matters: the file descriptor is closed only after its events
/// are deregistered. `CoIo` alone closes it first, and then deregisters the events of a new socket that has been given the
/// same descriptor meanwhile.
struct PolledSocket<T: AsRawFd> {
    io: CoIo<Arc<T>>,
    socket: Arc<T>,
    _open: OpenSocket,
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

impl<T: AsRawFd> PolledSocket<T> {
    fn new(socket: T) -> io::Result<Arc<Self>> {
        let socket = Arc::new(socket);
        Ok(Arc::new(PolledSocket { io: CoIo::new(socket.clone())?, socket, _open: OpenSocket::new() }))
    }

    fn inner(&self) -> &T {
        &self.socket
    }

    /// Wakes the waiting coroutine. Needed in addition to a shutdown, which need not raise an event on a socket that is still
    /// connecting.
    fn wake(&self) {
        self.io.waker().wakeup();
    }

    /// Waits for the next event. Spurious wake-ups occur.
    fn wait(&self) {
        if is_coroutine() {
            self.io.wait_io();
        } else {
            // Plain threads are not on the program's usual path, so polling is good enough.
            thread::sleep(Duration::from_millis(1));
        }
    }
}

/// A listening socket.
pub struct Listener {
    io: Arc<PolledSocket<TcpListener>>,
    /// `accept` returns the connections that are pending, then the listener closes.
    draining: AtomicBool,
    closed: AtomicBool,
    turn: Turn,
}

impl Listener {
    pub fn bind(address: SocketAddr) -> io::Result<Listener> {
        let io = PolledSocket::new(TcpListener::bind(address)?)?;
        let (draining, closed) = (AtomicBool::new(false), AtomicBool::new(false));
        Ok(Listener { io, draining, closed, turn: Turn::default() })
    }

    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.io.inner().local_addr()
    }

    /// Accepts the next connection. An error is final if [`Listener::is_closed`] holds.
    pub fn accept(&self) -> io::Result<(Link, SocketAddr)> {
        self.turn.end_if_used_up();
        loop {
            if self.is_closed() {
                return Err(io::ErrorKind::NotConnected.into());
            }
            let draining = self.draining.load(Ordering::Acquire);
            match self.io.inner().accept() {
                Ok((stream, from)) => {
                    self.turn.count_accept();
                    return Ok((Link::new(stream)?, from));
                }
                Err(error) if errors::is_accepted_connection_error(&error) => {
                    self.turn.count_accept();
                    self.turn.end_if_used_up();
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock && draining => self.close(),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => self.io.wait(),
                Err(error) => return Err(error),
            }
        }
    }

    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Acquire)
    }

    /// Closes the listener once [`Listener::accept`] has returned all connections that the system has already accepted, as
    /// their clients may have sent requests.
    pub fn close_when_drained(&self) {
        self.draining.store(true, Ordering::Release);
        self.io.wake();
    }

    /// Refuses new connections from now on; a waiting [`Listener::accept`] returns an error.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Release);
        let _ = SockRef::from(self.io.inner()).shutdown(Shutdown::Both);
        self.io.wake();
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.close();
        watch::defer_drop(Box::new(self.io.clone()));
    }
}

/// A connection that one coroutine reads, one writes and any other may shut.
///
/// Waits have no time-out of their own: a link has one deadline for reads and one for writes, and [`watch`] shuts it when
/// either has passed. A link that timed out cannot be used any more.
#[derive(Clone)]
pub struct Link {
    inner: Arc<Inner>,
}

/// State that the clones of a [`Link`] share.
struct Inner {
    stream: Arc<PolledSocket<TcpStream>>,
    /// Shut by a holder or by an expired deadline: waits end at once.
    shut: AtomicBool,
    /// A duplicate of the socket, made for the first write that has to wait: `may` wakes only one coroutine for each
    /// socket, and another may be waiting to read.
    write_socket: OnceLock<Option<Arc<PolledSocket<TcpStream>>>>,
    /// In microseconds since the start of [`watch`]; `NO_DEADLINE` while no read waits.
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
    fn shut_if_expired(&self, now: u64) {
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

/// One HTTP response that is being received over a link.
pub struct Reply {
    pub link: Link,
    pub reader: ResponseReader,
}

impl Reply {
    pub fn new(link: Link, limits: Limits) -> Self {
        Reply { link, reader: ResponseReader::new(limits) }
    }

    /// Reads more bytes. Once the deadline has passed, bytes that go on arriving do not prolong the wait.
    // Never inlined: keeps the buffer on the stack only during the read.
    #[inline(never)]
    fn read_more(&mut self, until: &dyn Fn() -> Instant) -> Result<(), Fault> {
        if self.reader.has_received_data() && until() <= Instant::now() {
            return Err(Fault::TimedOut);
        }
        let mut buffer = [0; READ_BUFFER_BYTES];
        match self.link.read_with_moving_deadline(&mut buffer, || Some(until()))? {
            0 => Err(Fault::Broken),
            got => {
                self.reader.feed(&buffer[..got]);
                Ok(())
            }
        }
    }

    /// Reads up to the end of the response head. Interim (1xx) responses are skipped.
    pub fn head(&mut self, until: Instant) -> Result<ResponseHead, Fault> {
        self.head_with_timeout(until, None)
    }

    /// As [`Reply::head`]; a final head that has begun to arrive and is not complete within `timeout` counts as malformed.
    /// Interim responses ahead of it do not begin it.
    pub fn head_within(&mut self, until: Instant, timeout: Duration) -> Result<ResponseHead, Fault> {
        self.head_with_timeout(until, Some(timeout))
    }

    fn head_with_timeout(
        &mut self,
        until: Instant,
        timeout: Option<Duration>,
    ) -> Result<ResponseHead, Fault> {
        let mut complete_by: Option<Instant> = None;
        loop {
            if let Some(head) = self.reader.head().map_err(|_| Fault::Malformed)? {
                return Ok(head);
            }
            complete_by = match timeout {
                Some(timeout) if self.reader.has_final_head_begun() => {
                    Some(complete_by.unwrap_or_else(|| Instant::now() + timeout))
                }
                _ => None,
            };
            let deadline = complete_by.map_or(until, |complete_by| complete_by.min(until));
            self.read_more(&|| deadline).map_err(|fault| match fault {
                Fault::TimedOut if deadline < until => Fault::Malformed,
                other => other,
            })?;
        }
    }

    /// Appends the part of the body that has arrived, waiting for at least one byte. Returns true once the body has ended.
    pub fn body(&mut self, out: &mut Vec<u8>, until: Instant) -> Result<bool, Fault> {
        self.body_with_moving_deadline(out, &|| until)
    }

    /// As [`Reply::body`], with a deadline that may be brought forward during the wait, see
    /// [`Link::read_with_moving_deadline`].
    pub fn body_with_moving_deadline(
        &mut self,
        out: &mut Vec<u8>,
        until: &dyn Fn() -> Instant,
    ) -> Result<bool, Fault> {
        let before = out.len();
        loop {
            let done = self.reader.body(out).map_err(|_| Fault::Malformed)?;
            if done || out.len() > before {
                return Ok(done);
            }
            match self.read_more(until) {
                Err(Fault::Broken) if self.reader.ends_with_connection() => return Ok(true),
                other => other?,
            }
        }
    }

    /// Reads the body to its end.
    pub fn whole_body(&mut self, until: Instant) -> Result<Vec<u8>, Fault> {
        let mut out = Vec::new();
        while !self.body(&mut out, until)? {}
        Ok(out)
    }
}

#[cfg(test)]
mod tests;
