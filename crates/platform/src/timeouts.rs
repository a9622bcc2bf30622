//! Time limits for an answer that has begun. The decisions limit the time to the first event of an attempt;
//! these limits are for the bytes of one answer, which a host writes at once.

use std::time::Duration;

/// From the first byte of an answer to the end of its head, and from there to its first event: bytes written
/// at once arrive within a round trip, and a busy dispatcher may be paused for some 100 ms between the two.
pub const ANSWER_START_TIMEOUT: Duration = Duration::from_millis(300);

/// How long a host may be silent during a stream: its client must not be left waiting for 5 s, and a slow
/// host that still sends must not be cut off.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(4500);

/// The same for a host that was removed from the list: its last bytes are at most in transit.
const REMOVED_HOST_SILENCE_TIMEOUT: Duration = Duration::from_secs(2);

/// How long the end of a stream may take after its end marker: the platform requires it to be passed on
/// within a second.
const STREAM_END_TIMEOUT: Duration = Duration::from_millis(800);

/// How long a stream may be silent before it is aborted.
pub fn silence_timeout(end_marker_seen: bool, host_removed: bool) -> Duration {
    match (end_marker_seen, host_removed) {
        (true, _) => STREAM_END_TIMEOUT,
        (false, true) => REMOVED_HOST_SILENCE_TIMEOUT,
        (false, false) => SILENCE_TIMEOUT,
    }
}

#[cfg(test)]
mod tests;
