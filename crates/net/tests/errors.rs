//! Classification of socket errors, by the error numbers that Linux documents.

use std::io::Error;
use tulipstall_net::errors::{Tells, is_accepted_connection_error, is_transient_write_error, tells};

#[test]
fn errors_are_classified_by_their_cause() {
    // Error number; cause for a connection being opened; whether `accept` continues at once; whether a write is retried.
    for (number, expected, accept_continues, write_retries) in [
        (24, Tells::NoDescriptor, false, false), // EMFILE
        (23, Tells::NoDescriptor, false, false), // ENFILE
        (105, Tells::OwnMachine, false, true),   // ENOBUFS
        (12, Tells::OwnMachine, false, true),    // ENOMEM
        (99, Tells::OwnMachine, false, false),   // EADDRNOTAVAIL
        (101, Tells::OwnMachine, true, false),   // ENETUNREACH
        (100, Tells::OwnMachine, true, false),   // ENETDOWN
        (4, Tells::Transient, true, false),      // EINTR
        (103, Tells::Transient, true, false),    // ECONNABORTED
        (111, Tells::Peer, false, false),        // ECONNREFUSED
        (104, Tells::Peer, true, false),         // ECONNRESET
        (110, Tells::Peer, true, false),         // ETIMEDOUT
        (113, Tells::Peer, true, false),         // EHOSTUNREACH
        (71, Tells::Peer, true, false),          // EPROTO
    ] {
        let error = Error::from_raw_os_error(number);
        let found = (tells(&error), is_accepted_connection_error(&error), is_transient_write_error(&error));
        assert_eq!(found, (expected, accept_continues, write_retries), "{error}");
    }
}
