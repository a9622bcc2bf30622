//! Time limits for requests to the registry, and the deadlines that the platform sets.

use std::time::Duration;
use tulipstall::interface::Config;

/// How long a change may stay unread after the registry had it and could be reached: after that the platform
/// counts the dispatcher as informed of it.
pub const CHANGE_READ_DEADLINE: Duration = Duration::from_secs(6);

/// As [`CHANGE_READ_DEADLINE`], from the signal that announces a new configuration.
pub const RELOAD_READ_DEADLINE: Duration = Duration::from_secs(4);

/// How long before these deadlines a list must be received: the rest is for a busy dispatcher to process it.
pub const READ_MARGIN: Duration = Duration::from_millis(350);

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
    /// Requests are expensive for the registry: pauses and limits grow while it fails them, as far as the
    /// deadlines allow.
    pub backs_off: bool,
    /// Wait of the first request of a new watch that resumes from a known version, if it does: newer changes
    /// are returned at once, the requests that follow continue the watch, and the registry serves one request
    /// instead of two.
    pub resume_wait: Option<Duration>,
}

/// Limit for the start of any answer, a wait included, however long requests have not been answered.
pub const MAX_ANSWER_START: Duration = Duration::from_secs(3);

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
                backs_off: true,
                resume_wait: Some(ms(1000)),
            };
        }
        // Two fifths and one fifth of the grace: the rest is for a busy dispatcher to process the list. The
        // lower bounds are the time of round trips.
        let grace = config.duration("rules.drain_grace_us").unwrap_or(ms(250));
        RegistryTimeouts {
            watch_wait: ms(1000),
            watch_slack: ms(500),
            answer_start: (grace * 2 / 5).clamp(ms(20), ms(400)),
            answer_rest: ms(500),
            retry_pause: (grace / 5).clamp(ms(10), ms(100)),
            backs_off: false,
            resume_wait: None,
        }
    }

    /// Limit for the start of an answer after this many consecutive requests that were not answered: a busy
    /// registry takes longer, and each abandoned request adds to its load.
    pub fn answer_start_after(&self, unanswered: u32) -> Duration {
        if !self.backs_off {
            return self.answer_start;
        }
        (self.answer_start * 2_u32.saturating_pow(unanswered.min(MAX_DOUBLINGS))).min(MAX_ANSWER_START)
    }

    /// The pause that doubles with each of this many steps.
    pub fn backoff(&self, steps: u32) -> Duration {
        self.retry_pause * 2_u32.saturating_pow(steps.min(MAX_DOUBLINGS))
    }
}

/// Bounds the growth of pauses and limits long after their caps.
const MAX_DOUBLINGS: u32 = 10;
