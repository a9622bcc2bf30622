//! Time limits for an answer that has begun. The decisions limit the time to the first event of an attempt;
//! these limits are for the bytes of one answer, which a host writes at once.

use std::time::{Duration, Instant};
use tulipstall_recovery::silence::slow_event_ends;

/// From the first byte of an answer to the end of its head, and from there to its first event: bytes written
/// at once arrive within a round trip, and a busy dispatcher may be paused for some 100 ms between the two.
pub const ANSWER_START_TIMEOUT: Duration = Duration::from_millis(300);

/// How long a host may be silent during a stream: its client must not be left waiting for 5 s, and a slow
/// host that still sends must not be cut off.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(4500);

/// The same for a host that was removed from the list: its last bytes are at most in transit.
pub const REMOVED_HOST_SILENCE_TIMEOUT: Duration = Duration::from_secs(2);

/// How long the end of a stream may take after its end marker: the platform requires it to be passed on
/// within a second.
const STREAM_END_TIMEOUT: Duration = Duration::from_millis(800);

/// How far a stream has come.
#[derive(Clone, Copy, Debug)]
pub struct StreamProgress {
    /// When its last whole event had been passed on. Bytes of an event that never ends are no progress, and a client that
    /// reads slowly is no silence of the host.
    pub last_event: Instant,
    /// When the last bytes of the next event arrived, if it looks like one that is written slowly.
    pub slow_event_bytes_at: Option<Instant>,
    /// The last event was the end marker.
    pub end_marker_seen: bool,
}

impl StreamProgress {
    /// When the stream is aborted unless a whole event, or its end, arrives. What a host wrote before it was removed has
    /// time to arrive.
    pub fn deadline(self, host_removed_at: Option<Instant>) -> Instant {
        if self.end_marker_seen {
            return self.last_event + STREAM_END_TIMEOUT;
        }
        let mut silence_ends = self.last_event + SILENCE_TIMEOUT;
        if let Some(bytes_at) = self.slow_event_bytes_at {
            silence_ends = slow_event_ends(silence_ends, self.last_event, bytes_at);
        }
        let removal_ends =
            host_removed_at.map(|removed_at| self.last_event.max(removed_at) + REMOVED_HOST_SILENCE_TIMEOUT);
        removal_ends.map_or(silence_ends, |removal_ends| removal_ends.min(silence_ends))
    }
}

#[cfg(test)]
mod tests;
