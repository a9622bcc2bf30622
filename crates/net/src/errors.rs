//! Classifies errors of socket calls by their cause: the local machine, a single call or connection, or the peer. Numbers
//! and meanings are those of Linux, as documented in accept(2), connect(2) and send(2).

use std::io;

/// The cause of a socket error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// No file descriptor is free, in the process or in the system.
    NoDescriptor,
    /// The local machine lacks another resource: memory, buffers, a local port, a route. It says nothing about the peer.
    LocalMachine,
    /// The call was interrupted, or the connection concerned was aborted: the next call may succeed at once.
    Transient,
    /// The peer or the network path to it.
    Peer,
}

const EPERM: i32 = 1;
const EINTR: i32 = 4;
const ENOMEM: i32 = 12;
const EACCES: i32 = 13;
const ENFILE: i32 = 23;
const EMFILE: i32 = 24;
const ENOSPC: i32 = 28;
const EADDRINUSE: i32 = 98;
const EADDRNOTAVAIL: i32 = 99;
const ENETDOWN: i32 = 100;
const ENETUNREACH: i32 = 101;
const ECONNABORTED: i32 = 103;
const ENOBUFS: i32 = 105;
const EAGAIN: i32 = 11;

/// Classifies the error of a call that opens or uses a connection to a peer.
pub fn cause(error: &io::Error) -> Cause {
    match error.raw_os_error() {
        Some(EMFILE | ENFILE) => Cause::NoDescriptor,
        Some(
            EPERM | EAGAIN | ENOMEM | EACCES | ENOSPC | EADDRINUSE | EADDRNOTAVAIL | ENETDOWN | ENETUNREACH
            | ENOBUFS,
        ) => Cause::LocalMachine,
        Some(EINTR | ECONNABORTED) => Cause::Transient,
        _ => Cause::Peer,
    }
}

/// Whether an error of `accept` concerns the connection being accepted rather than the listener. Linux reports pending
/// network errors of the new connection through `accept`; the caller can accept the next one at once.
pub fn is_accepted_connection_error(error: &io::Error) -> bool {
    const EPROTO: i32 = 71;
    const ENONET: i32 = 64;
    const ENOPROTOOPT: i32 = 92;
    const EOPNOTSUPP: i32 = 95;
    const ECONNRESET: i32 = 104;
    const ETIMEDOUT: i32 = 110;
    const EHOSTDOWN: i32 = 112;
    const EHOSTUNREACH: i32 = 113;
    matches!(
        error.raw_os_error(),
        Some(
            EINTR
                | ECONNABORTED
                | EPROTO
                | ENONET
                | ENOPROTOOPT
                | EOPNOTSUPP
                | ECONNRESET
                | ETIMEDOUT
                | EHOSTDOWN
                | EHOSTUNREACH
                | ENETDOWN
                | ENETUNREACH
        )
    )
}

/// Whether a write that failed with this error may succeed shortly after: the local machine lacks buffers or memory, and
/// the error says nothing about the peer.
pub fn is_transient_write_error(error: &io::Error) -> bool {
    matches!(error.raw_os_error(), Some(ENOBUFS | ENOMEM))
}
