//! Tells whether a peer has closed its side of a connection while bytes that it sent before are unread.

use nix::poll::{PollFd, PollFlags, PollTimeout, poll};
use std::net::TcpStream;
use std::os::fd::AsFd;

/// Linux: the peer has shut its write direction. Hang-ups and errors are reported in any case.
const POLLRDHUP: PollFlags = PollFlags::from_bits_retain(0x2000);

/// Whether the peer has closed, shut its write direction or reset the connection, whatever is unread.
pub fn has_hung_up(stream: &TcpStream) -> bool {
    let mut descriptors = [PollFd::new(stream.as_fd(), POLLRDHUP)];
    poll(&mut descriptors, PollTimeout::ZERO).is_ok_and(|ready| ready > 0)
}
