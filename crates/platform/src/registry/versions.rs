//! Versions of the registry's lists: which answer is too old to be applied.

use std::time::Duration;

/// For how long answers with an older version than one seen before are ignored: they come from a registry
/// replica that lags behind, or from a registry that has restarted, and only the second continues to send
/// them. Leaves time for one watch and two further requests.
pub const OLDER_VERSIONS_IGNORED_FOR: Duration = Duration::from_millis(800);

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
