//! Listening sockets.

use crate::polled_socket::PolledSocket;
use crate::turn::Turn;
use crate::{Link, errors, watch};
use socket2::{Domain, SockRef, Socket, Type};
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

/// Connections that the system accepts ahead. A client whose connection finds no room tries again a second later.
const ACCEPT_QUEUE: i32 = 256;

/// How often a listener that drains still looks for a connection: more often than the system's queue holds connections, which
/// are served in order. Further ones came later, perhaps from clients that were closed.
const MAX_DRAINING_ACCEPTS: usize = ACCEPT_QUEUE as usize + 32;

/// A listening socket.
pub struct Listener {
    io: Arc<PolledSocket<TcpListener>>,
    /// `accept` returns the connections that are pending, then the listener closes.
    draining: AtomicBool,
    /// How often it has looked for a connection since then.
    draining_accepts: AtomicUsize,
    closed: AtomicBool,
    turn: Turn,
}

impl Listener {
    pub fn bind(address: SocketAddr) -> io::Result<Listener> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        // A restarted process can bind the address while connections of the one before still end.
        socket.set_reuse_address(true)?;
        socket.bind(&address.into())?;
        socket.listen(ACCEPT_QUEUE)?;
        let io = PolledSocket::new(TcpListener::from(socket))?;
        let (draining, closed) = (AtomicBool::new(false), AtomicBool::new(false));
        Ok(Listener { io, draining, draining_accepts: AtomicUsize::new(0), closed, turn: Turn::default() })
    }

    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.io.inner().local_addr()
    }

    /// Accepts the next connection. An error is final if [`Listener::is_closed`] holds.
    pub fn accept(&self) -> io::Result<(Link, SocketAddr)> {
        self.turn.end_if_used_up();
        loop {
            let draining = self.draining.load(Ordering::Acquire);
            if draining && self.draining_accepts.fetch_add(1, Ordering::Relaxed) >= MAX_DRAINING_ACCEPTS {
                self.close();
            }
            if self.is_closed() {
                return Err(io::ErrorKind::NotConnected.into());
            }
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
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.turn.note_wait();
                    self.io.wait();
                }
                Err(error) => return Err(error),
            }
        }
    }

    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Acquire)
    }

    /// Closes the listener once [`Listener::accept`] has returned all connections that the system has already accepted, as
    /// their clients may have sent requests, and not many more.
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
