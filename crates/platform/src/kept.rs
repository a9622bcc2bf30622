//! Whether a connection that was kept may be written to. Hosts, and what stands between, drop idle connections without a
//! word: a request that is written to one is lost, and a new connection costs a few round trips. How long is too long
//! is learnt from what became of those used before.

use std::time::Duration;

/// Spans of idleness: under 1 ms, and by doubling up to a minute.
const SPANS: usize = 17;

/// Seconds in which what was learnt fades by a factor of e: some hundred tasks, so that a change shows soon.
const FADES: f64 = 20.0;

/// A lost request costs some ten times what a new connection does: over a tenth lost, and new ones are cheaper.
const LOST: f64 = 0.1;

/// As if so many requests had come through: one lost among few doesn't condemn.
const GRACE: f64 = 4.0;

/// A reset this soon after the last byte, with nothing answered, is the connection's; a host that dies takes longer on
/// average to be noticed, and takes its new connections along.
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

    /// Whether one that was idle for so long is worth writing to. Of spans that tell nothing of late the shorter one
    /// tells: idleness does a connection no good.
    pub fn trusts(&self, now: Duration, idle: Duration) -> bool {
        let mut told = (0..=span(idle)).rev().map(|at| self.now(at, now));
        told.find(|span| span.used >= 0.5).is_none_or(|span| span.lost <= LOST * (span.used + GRACE))
    }

    /// One that was idle for so long has been used; whether it was lost by that.
    pub fn used(&mut self, now: Duration, idle: Duration, lost: bool) {
        let at = span(idle);
        let mut span = self.now(at, now);
        span.used += 1.0;
        span.lost += f64::from(u8::from(lost));
        self.spans[at] = span;
    }

    /// Whether a connection that broke so long after a request was written to it, with nothing answered, had been lost
    /// before: says nothing of its host.
    pub fn was_lost(after: Duration) -> bool {
        after < SOON
    }
}

#[cfg(test)]
mod tests;
