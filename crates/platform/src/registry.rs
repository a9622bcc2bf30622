//! The registry's host lists, whole or as changes, and the timing of requests to it.

use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;
use tulipstall::interface::{Config, HostStatus};
use tulipstall_core::HostRow;

/// Path of the list.
pub const LIST_PATH: &str = "/registry/instances";

/// Size limit of a list: many times that of a few thousand hosts.
pub const MAX_LIST_BYTES: usize = 4 << 20;

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

/// For how long answers with an older version than one seen before are ignored: they come from a registry
/// replica that lags behind, or from a registry that has restarted, and only the second continues to send
/// them. Leaves time for one watch and two further requests.
pub const OLDER_VERSIONS_IGNORED_FOR: Duration = Duration::from_millis(800);

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

/// Tracks the versions of lists received.
#[derive(Clone, Copy, Debug, Default)]
pub struct VersionFilter {
    newest: u64,
    /// Since when only older versions have been received.
    older_since: Option<Duration>,
}

impl VersionFilter {
    /// Whether an answer of this version is accepted now.
    pub fn accepts(&mut self, now: Duration, seq: u64) -> bool {
        let since = *self.older_since.get_or_insert(now);
        let accepted = seq >= self.newest || now >= since + OLDER_VERSIONS_IGNORED_FOR;
        if accepted {
            *self = VersionFilter { newest: seq, older_since: None };
        }
        accepted
    }
}

/// A list of hosts, or the changes since a version.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct List {
    pub seq: u64,
    #[serde(default)]
    pub whole: bool,
    #[serde(default)]
    pub hosts: Vec<Line>,
}

/// One host of a list.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Line {
    pub host: String,
    pub dial: SocketAddr,
    #[serde(default)]
    pub site: String,
    #[serde(default)]
    pub class: String,
    #[serde(default)]
    pub block: u32,
    pub health: Health,
    #[serde(default = "one")]
    pub share: f64,
    /// Unix time of its process's start in milliseconds; 0 means long ago.
    #[serde(default)]
    pub born_ms: u64,
}

fn one() -> f64 {
    1.0
}

/// Whether a host takes new requests, drains, or has left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Health {
    Active,
    Leaving,
    Left,
}

/// Parses a list that is part of the configuration.
pub fn parse_value(value: &serde_json::Value) -> Result<List, String> {
    List::deserialize(value).map_err(|error| format!("the list of hosts: {error}"))
}

/// Parses a list; one that is malformed in part is rejected as a whole.
pub fn parse(bytes: &[u8]) -> Result<List, String> {
    serde_json::from_slice(bytes).map_err(|error| format!("the list of hosts: {error}"))
}

/// The request for the whole list, or for changes after a version within a wait.
pub fn list_request(host: SocketAddr, newer_than: Option<(u64, Duration)>) -> String {
    let query =
        newer_than.map_or(String::new(), |(seq, wait)| format!("?index={seq}&wait={}", wait.as_millis()));
    format!("GET {LIST_PATH}{query} HTTP/1.1\r\nHost: {host}\r\n\r\n")
}

impl Line {
    pub fn status(&self) -> HostStatus {
        match self.health {
            Health::Active => HostStatus::Running,
            Health::Leaving => HostStatus::Draining,
            Health::Left => HostStatus::Gone,
        }
    }

    /// Unix time of its process's start; `None` means long ago.
    pub fn started_unix(&self) -> Option<Duration> {
        (self.born_ms > 0).then(|| Duration::from_millis(self.born_ms))
    }

    /// The row for the core, with the age of its process; `None` means long ago.
    pub fn to_row(&self, uptime: Option<Duration>) -> HostRow {
        HostRow {
            host: self.host.clone(),
            kind: self.class.clone(),
            zone: self.site.clone(),
            cell: self.block,
            weight: self.share,
            uptime,
            status: self.status(),
        }
    }
}

#[cfg(test)]
mod tests;
