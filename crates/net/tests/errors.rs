//! Classification of socket errors, by the error numbers that Linux documents.

use std::io::Error;
use tulipstall_net::errors::{Cause, cause, is_accepted_connection_error, is_transient_write_error};

#[test]
fn errors_are_classified_by_their_cause() {
    // Error number; cause for a connection being opened; whether `accept` continues at once; whether a write is retried.
    for (number, expected, accept_continues, write_retries) in [
        (24, Cause::NoDescriptor, false, false), // EMFILE
        (23, Cause::NoDescriptor, false, false), // ENFILE
        (105, Cause::LocalMachine, false, true), // ENOBUFS
        (12, Cause::LocalMachine, false, true),  // ENOMEM
        (99, Cause::LocalMachine, false, false), // EADDRNOTAVAIL
        (101, Cause::LocalMachine, true, false), // ENETUNREACH
        (100, Cause::LocalMachine, true, false), // ENETDOWN
        (4, Cause::Transient, true, false),      // EINTR
        (103, Cause::Transient, true, false),    // ECONNABORTED
        (111, Cause::Peer, false, false),        // ECONNREFUSED
        (104, Cause::Peer, true, false),         // ECONNRESET
        (110, Cause::Peer, true, false),         // ETIMEDOUT
        (113, Cause::Peer, true, false),         // EHOSTUNREACH
        (71, Cause::Peer, true, false),          // EPROTO
    ] {
        let error = Error::from_raw_os_error(number);
        let found = (cause(&error), is_accepted_connection_error(&error), is_transient_write_error(&error));
        assert_eq!(found, (expected, accept_continues, write_retries), "{error}");
    }
}
