//! Reads the answers of the program on connections that are kept.

use std::io::{ErrorKind, Read};
use std::net::TcpStream;

/// A whole answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Answer {
    pub status: u16,
    /// Whether the connection can be used again.
    pub keeps_open: bool,
}

/// Why there is no whole answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NoAnswer {
    /// The connection ended within the answer.
    Cut,
    /// The connection ended without an answer.
    Closed,
    /// Nothing came for as long as the socket's time-out.
    Silent,
}

/// The answer in these bytes, once it is whole.
fn whole(bytes: &[u8]) -> Option<Answer> {
    let text = String::from_utf8_lossy(bytes);
    let (head, body) = text.split_once("\r\n\r\n")?;
    let length = head.split("Content-Length: ").nth(1).and_then(|rest| rest.lines().next());
    let is_whole = match length.and_then(|length| length.trim().parse::<usize>().ok()) {
        Some(length) => body.len() >= length,
        None => body.ends_with("0\r\n\r\n"),
    };
    let status = head.get(9..12)?.parse().ok()?;
    is_whole.then(|| Answer { status, keeps_open: !head.contains("Connection: close") })
}

/// Reads one answer.
pub fn read(stream: &mut TcpStream) -> Result<Answer, NoAnswer> {
    let (mut bytes, mut buffer) = (Vec::new(), [0; 4096]);
    loop {
        match stream.read(&mut buffer) {
            Ok(got) if got > 0 => bytes.extend_from_slice(&buffer[..got]),
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                return Err(NoAnswer::Silent);
            }
            _ => return Err(if bytes.is_empty() { NoAnswer::Closed } else { NoAnswer::Cut }),
        }
        if let Some(answer) = whole(&bytes) {
            return Ok(answer);
        }
    }
}
