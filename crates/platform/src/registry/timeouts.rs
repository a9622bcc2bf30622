//! Time limits for requests to the registry.

use std::time::Duration;
use tulipstall::interface::Config;

/// Time limits for requests to the registry, after which it is taken to be silent and asked again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RegistryTimeouts {
    /// How long the registry may hold a watch request open until there is a change.
    pub watch_wait: Duration,
    /// How much later than that its answer may begin.
    pub watch_slack: Duration,
    /// Limit for the start of an answer to a request without a wait, the time to connect included.
    pub answer_start: Duration,
    /// Limit for the rest of an answer that has begun: it is written at once.
    pub answer_rest: Duration,
    /// Pause between two tries: within the 200 ms for which a watch may be interrupted.
    pub retry_pause: Duration,
    /// Limit to which that pause grows while the registry rejects requests.
    pub max_rejected_pause: Duration,
    /// Wait of the first request of a new watch that resumes from a known version, if it does: newer changes
    /// are returned at once, the requests that follow continue the watch, and the registry serves one request
    /// instead of two.
    pub resume_wait: Option<Duration>,
}

/// How long a change after the last good answer may stay unread while the registry can be reached: after that
/// the platform counts the dispatcher as informed of it.
pub const CHANGE_READ_DEADLINE: Duration = Duration::from_secs(6);

impl RegistryTimeouts {
    /// In push mode an agent on the same machine answers for the registry, at once and at no cost, or not at
    /// all until the registry is back. From then on the dispatcher counts as informed of all changes that the
    /// agent has. So it is asked again well within the time for which a draining host may still be used. In
    /// on-request mode each request is expensive and may take long.
    pub fn from_config(config: &Config) -> RegistryTimeouts {
        let ms = Duration::from_millis;
        if config.text("registry_mode") == Some("on_request") {
            // A watch that falls silent at once and a silent successor leave time for a third request, which
            // returns the changes at once.
            return RegistryTimeouts {
                watch_wait: ms(1900),
                watch_slack: ms(700),
                answer_start: ms(700),
                answer_rest: ms(500),
                retry_pause: ms(100),
                max_rejected_pause: ms(6000),
                resume_wait: Some(ms(1000)),
            };
        }
        // Two fifths and one fifth of the grace: the rest is for a busy dispatcher to process the list. The
        // lower bounds are the time of round trips.
        let grace = config.duration("rules.drain_grace_us").unwrap_or(ms(250));
        let answer_start = (grace * 2 / 5).clamp(ms(20), ms(400));
        let retry_pause = (grace / 5).clamp(ms(10), ms(100));
        let (watch_wait, watch_slack, answer_rest) = (ms(1000), ms(500), ms(500));
        RegistryTimeouts {
            watch_wait,
            watch_slack,
            answer_start,
            answer_rest,
            retry_pause,
            max_rejected_pause: retry_pause,
            resume_wait: None,
        }
    }

    /// Whether a registry that fails requests is asked less and less often.
    pub fn backs_off(&self) -> bool {
        self.max_rejected_pause > self.retry_pause
    }

    /// Limit for the start of an answer after this many consecutive time-outs: a busy registry takes longer,
    /// and each abandoned request adds to its load.
    pub fn answer_start_after_timeouts(&self, times: u32) -> Duration {
        (self.answer_start * 2_u32.saturating_pow(times.min(8)))
            .min(self.answer_start.max(self.max_rejected_pause / 2))
    }

    /// Pause after this many consecutive rejections: doubles each time and is randomised. Otherwise all
    /// dispatchers that were rejected at once would return at once, and hundreds that retry often keep a
    /// registry overloaded.
    pub fn pause_after_rejections(&self, times: u32, random_fraction: f64) -> Duration {
        (self.retry_pause * 2_u32.saturating_pow(times.min(8) + 2))
            .min(self.max_rejected_pause)
            .mul_f64(0.5 + random_fraction)
    }
}
