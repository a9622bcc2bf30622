//! How long what has begun to come may take to come whole. The decisions time shots by their first event; this is about
//! the bytes of one answer, which a host writes at once.

use std::time::Duration;

/// From an answer's first byte to the end of its head, and from there to its first event: what is written at once is
/// here within a round trip; a busy dispatcher may be halted for some 100 ms between the two.
pub const BEGUN: Duration = Duration::from_millis(300);

/// How silent a host may be under a stream: its client must not be left waiting for 5 s, and a slow host that still
/// speaks must not be cut off.
const SILENT: Duration = Duration::from_millis(4500);

/// One that is gone from the list: its last bytes are under way at most.
const GONE: Duration = Duration::from_secs(2);

/// How long the end of a stream may take once its mark has come: the platform wants it passed on within a second.
const END: Duration = Duration::from_millis(800);

/// How long a stream may be silent before it is given up.
pub fn silent(marked: bool, gone: bool) -> Duration {
    match (marked, gone) {
        (true, _) => END,
        (false, true) => GONE,
        (false, false) => SILENT,
    }
}

#[cfg(test)]
mod tests;
