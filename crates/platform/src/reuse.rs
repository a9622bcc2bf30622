//! Whether a pooled connection may be used again. Hosts, and devices between, drop idle connections without
//! notice: a request that is written to one is lost, while a new connection costs a few round trips. The idle
//! time that is too long is learnt from the outcome of earlier uses.

use std::time::Duration;

/// Buckets of idle time: below 1 ms, then doubling up to about a minute.
const BUCKETS: usize = 17;

/// Time constant of the exponential decay in seconds: some hundred tasks, so that a change has effect soon.
const DECAY_SECONDS: f64 = 20.0;

/// A lost request costs about ten times as much as a new connection: above a loss of one in ten, new
/// connections are cheaper.
const MAX_LOSS_RATIO: f64 = 0.1;

/// Counts as this many successful uses, so that one loss among few uses does not rule a bucket out.
const PRIOR_USES: f64 = 4.0;

/// A reset within this time after the last byte, with nothing answered, means that the connection was stale.
/// A host that dies takes longer on average to be noticed, and its new connections fail as well.
const STALE_RESET_WITHIN: Duration = Duration::from_millis(10);

/// Decayed counts of one bucket.
#[derive(Clone, Copy, Default)]
struct Bucket {
    used: f64,
    lost: f64,
    updated_at: Duration,
}

/// The outcomes of reused connections by idle time.
#[derive(Default)]
pub struct ReuseHistory {
    buckets: [Bucket; BUCKETS],
}

fn bucket_index(idle: Duration) -> usize {
    let ms = idle.as_millis().min(1 << 20) as u32;
    ((32 - ms.leading_zeros()) as usize).min(BUCKETS - 1)
}

impl ReuseHistory {
    fn decayed(&self, index: usize, now: Duration) -> Bucket {
        let before = self.buckets[index];
        let remaining = (-now.saturating_sub(before.updated_at).as_secs_f64() / DECAY_SECONDS).exp();
        Bucket { used: before.used * remaining, lost: before.lost * remaining, updated_at: now }
    }

    /// Whether a connection that was idle for this long is worth using. Where a bucket has no recent uses the
    /// next shorter one decides: a longer idle time does not make a connection safer.
    pub fn worth_using(&self, now: Duration, idle: Duration) -> bool {
        let mut decayed_buckets = (0..=bucket_index(idle)).rev().map(|index| self.decayed(index, now));
        decayed_buckets
            .find(|bucket| bucket.used >= 0.5)
            .is_none_or(|bucket| bucket.lost <= MAX_LOSS_RATIO * (bucket.used + PRIOR_USES))
    }

    /// Records the use of a connection that was idle for this long, and whether the request was lost.
    pub fn record_use(&mut self, now: Duration, idle: Duration, lost: bool) {
        let index = bucket_index(idle);
        let mut bucket = self.decayed(index, now);
        bucket.used += 1.0;
        bucket.lost += f64::from(u8::from(lost));
        self.buckets[index] = bucket;
    }

    /// Whether a connection that broke this long after a request was written to it, with nothing answered,
    /// was already dead: then its host is not at fault.
    pub fn was_stale(after: Duration) -> bool {
        after < STALE_RESET_WITHIN
    }
}

#[cfg(test)]
mod tests;
