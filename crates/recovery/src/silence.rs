//! How long a writer may send nothing during an answer before it counts as lost: clearly longer than other writers ever
//! pause. Smoothed like retransmission time-outs (RFC 6298, section 2) by a mean and a mean deviation, here of the longest
//! pause in each answer that was completed. No I/O and no clock: the caller passes durations.

use std::time::{Duration, Instant};

/// Smoothing factors of RFC 6298: an eighth for the mean, a quarter for the deviation, and four deviations.
const MEAN_GAIN: f64 = 0.125;
const DEVIATION_GAIN: f64 = 0.25;
const DEVIATION_FACTOR: f64 = 4.0;

/// Multiple of the longest usual pause: a false alarm costs reading a prompt again, waiting longer costs only that time.
const SAFETY_FACTOR: f64 = 4.0;

/// Lower bound of the time-out: a writer whose process is suspended for a quarter of a second is not lost.
const MIN_TIMEOUT: Duration = Duration::from_millis(250);

/// Lower bound of the time-out as a multiple of the agreed time per token: a client tolerates such a pause.
const MIN_TOKEN_TIMES: u32 = 8;

/// Completed answers needed before the time-out is derived from them.
const MIN_ANSWERS: u32 = 20;

/// How long an event may take that arrives slowly: counted from the event before it.
const SLOW_EVENT_TIMEOUT: Duration = Duration::from_secs(20);

/// Longest pause between bytes of such an event once a silence would have ended: a host that stopped within an event must
/// not hold its client for longer than any silent one may.
const SLOW_EVENT_PAUSE: Duration = Duration::from_millis(500);

/// When a writer is given up within an event that arrives slowly, by the times of the event before it and of its last bytes.
/// Never earlier than `silence_ends`, when a silent one would be.
pub fn slow_event_ends(silence_ends: Instant, last_event: Instant, last_bytes: Instant) -> Instant {
    silence_ends.max((last_bytes + SLOW_EVENT_PAUSE).min(last_event + SLOW_EVENT_TIMEOUT))
}

/// Estimates the time-out from the pauses in completed answers.
#[derive(Debug, Default)]
pub struct SilenceTimeout {
    mean_seconds: f64,
    deviation_seconds: f64,
    answers: u32,
}

impl SilenceTimeout {
    /// Records a completed answer, with the longest time between two of its pieces.
    pub fn record_pause(&mut self, longest: Duration) {
        let longest_seconds = longest.as_secs_f64();
        if self.answers == 0 {
            (self.mean_seconds, self.deviation_seconds) = (longest_seconds, longest_seconds / 2.0);
        } else {
            self.deviation_seconds +=
                DEVIATION_GAIN * ((self.mean_seconds - longest_seconds).abs() - self.deviation_seconds);
            self.mean_seconds += MEAN_GAIN * (longest_seconds - self.mean_seconds);
        }
        self.answers = self.answers.saturating_add(1);
    }

    /// The time-out for an answer with this agreed time per token. At most `max`, which is also the result while too few
    /// answers are known.
    pub fn timeout(&self, pace: Duration, max: Duration) -> Duration {
        if self.answers < MIN_ANSWERS {
            return max;
        }
        let timeout_seconds = SAFETY_FACTOR * (self.mean_seconds + DEVIATION_FACTOR * self.deviation_seconds);
        Duration::from_secs_f64(timeout_seconds.min(1e6))
            .max(MIN_TIMEOUT)
            .max(pace * MIN_TOKEN_TIMES)
            .min(max)
    }
}
