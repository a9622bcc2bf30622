//! Listening sockets.

use crate::polled_socket::PolledSocket;
use crate::turn::Turn;
use crate::{Link, errors, watch};
use socket2::SockRef;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

/// How long connections are still accepted that the system may have accepted before a listener drains: its queue is limited
/// to some hundred, and new ones may take the place of those that were accepted.
const MAX_DRAIN_TIME: Duration = Duration::from_millis(250);

/// A listening socket.
pub struct Listener {
    io: Arc<PolledSocket<TcpListener>>,
    /// `accept` returns the connections that are pending until this time, then the listener closes.
    drains_until: OnceLock<Instant>,
    closed: AtomicBool,
    turn: Turn,
}

impl Listener {
    pub fn bind(address: SocketAddr) -> io::Result<Listener> {
        let io = PolledSocket::new(TcpListener::bind(address)?)?;
        Ok(Listener {
            io,
            drains_until: OnceLock::new(),
            closed: AtomicBool::new(false),
            turn: Turn::default(),
        })
    }

    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.io.inner().local_addr()
    }

    /// Accepts the next connection. An error is final if [`Listener::is_closed`] holds.
    pub fn accept(&self) -> io::Result<(Link, SocketAddr)> {
        self.turn.end_if_used_up();
        loop {
            let drains_until = self.drains_until.get();
            if drains_until.is_some_and(|until| *until <= Instant::now()) {
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
                Err(error) if error.kind() == io::ErrorKind::WouldBlock && drains_until.is_some() => {
                    self.close()
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => self.io.wait(),
                Err(error) => return Err(error),
            }
        }
    }

    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Acquire)
    }

    /// Closes the listener once [`Listener::accept`] has returned all connections that the system has already accepted, as
    /// their clients may have sent requests, within a limited time.
    pub fn close_when_drained(&self) {
        let _ = self.drains_until.set(Instant::now() + MAX_DRAIN_TIME);
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
