//! Whether a pooled connection may be used again. Hosts, and devices between, drop idle connections without
//! notice: a request that is written to one is lost, while a new connection costs a few round trips. The idle
//! time that is too long is learnt from the outcome of earlier uses.

use std::time::Duration;

/// Buckets of idle time: below 1 ms, then doubling up to about a minute.
const SPANS: usize = 17;

/// Time constant of the exponential decay in seconds: some hundred tasks, so that a change has effect soon.
const FADES: f64 = 20.0;

/// A lost request costs about ten times as much as a new connection: above a loss of one in ten, new
/// connections are cheaper.
const LOST: f64 = 0.1;

/// Counts as this many successful uses, so that one loss among few uses does not rule a bucket out.
const GRACE: f64 = 4.0;

/// A reset within this time after the last byte, with nothing answered, means that the connection was stale.
/// A host that dies takes longer on average to be noticed, and its new connections fail as well.
const SOON: Duration = Duration::from_millis(10);

#[derive(Clone, Copy, Default)]
struct Span {
    used: f64,
    lost: f64,
    at: Duration,
}

#[derive(Default)]
pub struct Kept {
    spans: [Span; SPANS],
}

fn span(idle: Duration) -> usize {
    let ms = idle.as_millis().min(1 << 20) as u32;
    ((32 - ms.leading_zeros()) as usize).min(SPANS - 1)
}

impl Kept {
    fn now(&self, span: usize, now: Duration) -> Span {
        let was = self.spans[span];
        let left = (-now.saturating_sub(was.at).as_secs_f64() / FADES).exp();
        Span { used: was.used * left, lost: was.lost * left, at: now }
    }

    /// Whether a connection that was idle for this long is worth using. Where a bucket has no recent uses the
    /// next shorter one decides: a longer idle time does not make a connection safer.
    pub fn trusts(&self, now: Duration, idle: Duration) -> bool {
        let mut told = (0..=span(idle)).rev().map(|at| self.now(at, now));
        told.find(|span| span.used >= 0.5).is_none_or(|span| span.lost <= LOST * (span.used + GRACE))
    }

    /// Records the use of a connection that was idle for this long, and whether the request was lost.
    pub fn used(&mut self, now: Duration, idle: Duration, lost: bool) {
        let at = span(idle);
        let mut span = self.now(at, now);
        span.used += 1.0;
        span.lost += f64::from(u8::from(lost));
        self.spans[at] = span;
    }

    /// Whether a connection that broke this long after a request was written to it, with nothing answered,
    /// was already dead: then its host is not at fault.
    pub fn was_lost(after: Duration) -> bool {
        after < SOON
    }
}

#[cfg(test)]
mod tests;
