//! Tells hosts to let go of what they hold for a task, until one has answered.

use crate::Shared;
use crate::hosts::Way;
use crate::shot::give_back;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tulipstall::interface::ReleaseReason;
use tulipstall_net::{Fault, Reply};
use tulipstall_platform::host::{self, ANSWER};
use tulipstall_platform::letting_go::{left_after_it_is_owed, once_more, pause, within};

/// Counted from the moment that it is owed, so that nothing stops before it is done.
pub struct LettingGo {
    shared: Arc<Shared>,
    id: String,
    /// Who holds it, or may.
    at: String,
    sure: bool,
    reason: ReleaseReason,
}

impl LettingGo {
    pub fn new(shared: Arc<Shared>, id: String, at: String, sure: bool, reason: ReleaseReason) -> Self {
        shared.unsettled.fetch_add(1, Ordering::SeqCst);
        let counts = &shared.releases;
        counts.owed.fetch_add(1, Ordering::Relaxed);
        if reason == ReleaseReason::Unanswered {
            counts.unanswered.fetch_add(1, Ordering::Relaxed);
            tracing::info!(id, at, "released while an attempt is unanswered");
        }
        LettingGo { shared, id, at, sure, reason }
    }

    pub fn run(self) {
        let from = Instant::now();
        self.tell(from);
        if !self.sure {
            // The read may have ended well after that, where its host could not see that nobody waits any more.
            tulipstall_net::sleep(once_more(self.shared.release).saturating_sub(from.elapsed()));
            self.shared.releases.owed.fetch_add(1, Ordering::Relaxed);
            self.tell(Instant::now());
        }
    }

    fn tell(&self, from: Instant) {
        let shared = &self.shared;
        let within = within(shared.release);
        let (mut in_vain, mut why): (Vec<Arc<Way>>, _) = (Vec::new(), Fault::NoConnection);
        let mut tries = 0;
        while let Some(wait) = pause(tries, shared.release) {
            tulipstall_net::sleep(wait);
            tries += 1;
            let Some(way) = shared.hosts.next_told(&self.at, &in_vain) else {
                // Nobody on the list runs: it takes what a host that does not answer would, and there may be one then.
                tulipstall_net::sleep(within);
                continue;
            };
            let answer = self.ask(&way, within);
            way.answers(answer.is_ok());
            let (id, host, ms) = (&self.id, &way.name, from.elapsed().as_millis() as u64);
            let reason = self.reason;
            tracing::debug!(id, host, at = self.at, sure = self.sure, ?reason, ?answer, tries, ms, "let go");
            match answer {
                Ok(()) => return self.done(from),
                Err(fault) => {
                    why = fault;
                    in_vain.push(way);
                }
            }
        }
        shared.releases.abandoned.fetch_add(1, Ordering::Relaxed);
        let (id, ms) = (&self.id, from.elapsed().as_millis() as u64);
        tracing::warn!(id, at = self.at, tries, ms, ?why, "what is held could not be let go of");
    }

    /// A server has released it.
    fn done(&self, from: Instant) {
        let shared = &self.shared;
        shared.releases.done.fetch_add(1, Ordering::Relaxed);
        if from.elapsed() > left_after_it_is_owed(shared.release) {
            shared.releases.late.fetch_add(1, Ordering::Relaxed);
            let (id, ms) = (&self.id, from.elapsed().as_millis() as u64);
            tracing::warn!(id, at = self.at, sure = self.sure, ms, "a held state was released late");
        }
    }

    fn ask(&self, way: &Way, within: Duration) -> Result<(), Fault> {
        let (shared, until) = (&self.shared, Instant::now() + within);
        let (link, _) = shared.link(way, within)?;
        // Told to drain or gone meanwhile.
        if !way.open() {
            return Err(Fault::NoConnection);
        }
        link.write(host::release(&way.name, &self.id).as_bytes(), until)?;
        let mut reply = Reply::new(link, ANSWER);
        let head = reply.head(until)?;
        reply.whole_body(until)?;
        give_back(shared, way, reply);
        if head.status < 300 { Ok(()) } else { Err(Fault::Rubbish) }
    }
}

impl Drop for LettingGo {
    fn drop(&mut self) {
        self.shared.unsettled.fetch_sub(1, Ordering::SeqCst);
    }
}
