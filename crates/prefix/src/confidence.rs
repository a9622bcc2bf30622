//! Confidence in the index. The reads (prefills) of a host confirm or contradict the estimates of what it has
//! cached.
//!
//! A host that clearly contradicts them twice in a row has lost its cache. While many hosts contradict them
//! within a short time, the whole fleet is suspected: one contradiction is then enough for any host, and
//! confidence in hosts without a read since then is lower. When many hosts lose their caches at once, this
//! costs one or two reads per host. Without it, one read per text would be sent to a host that no longer has
//! the text cached.

use std::time::Duration;

/// Estimates of fewer cached blocks than this give no evidence: any eviction may take a block or two.
const MIN_ESTIMATED_BLOCKS: u32 = 4;

/// A read clearly contradicts the index if it found less than this part of the estimated blocks. Eviction
/// takes the ends of texts; the loss of a cache takes their beginnings too.
const CONTRADICTION_PART: f64 = 0.25;

/// A read that found less than this part of the estimated blocks shows an eviction. The blocks are counted in
/// estimated tokens, not in the engine's; in texts of mixed scripts the two counts differ by up to a fifth.
const EVICTION_PART: f64 = 0.8;

/// Clear contradictions in a row after which a host is considered to have lost its cache. With one, a single
/// evicted text would be enough.
const CONTRADICTIONS_FOR_LOSS: u32 = 2;

/// The whole fleet is suspected if at least this part of the hosts with a recent read contradict the index.
const FLEET_CONTRADICTION_PART: f64 = 0.3;

/// How long the last read of a host counts as recent: several reads of each host, and a fraction of the pause
/// between two requests of a session.
const RECENT: Duration = Duration::from_secs(10);

/// Minimum number of hosts with a recent read for suspecting the fleet: with fewer, one contradiction is no
/// evidence.
const MIN_FLEET_HOSTS: usize = 3;

/// Decay of the earlier reads of a host with each new read: about five reads determine its confidence, as in
/// the decision core.
const DECAY: f64 = 0.8;

/// What a read shows about the estimate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// The estimate was too small to show anything.
    TooLittle,
    /// The estimated blocks were cached.
    Confirms,
    /// Fewer blocks were cached: the ends of texts have been evicted.
    Evicted,
    /// Almost nothing was cached, which may be chance.
    Contradicts,
    /// The host has lost what it had cached before.
    CacheLost,
}

#[derive(Clone, Copy, Debug)]
struct Host {
    /// Blocks found and blocks estimated, decaying with each read.
    found: f64,
    estimated: f64,
    /// Clear contradictions in a row.
    contradictions: u32,
    /// Time of the last read that gave evidence.
    last_read: Option<Duration>,
    /// The last read clearly contradicted the index.
    contradicts: bool,
}

impl Default for Host {
    fn default() -> Self {
        // Full confidence until there is evidence against it, with the weight of one read of 16 blocks.
        Host { found: 16.0, estimated: 16.0, contradictions: 0, last_read: None, contradicts: false }
    }
}

/// Confidence in the estimates, by host.
#[derive(Debug, Default)]
pub struct Confidence {
    hosts: Vec<Host>,
    /// Since when the whole fleet has been suspected; absent while it is not.
    fleet_suspected_since: Option<Duration>,
}

impl Confidence {
    /// The entry of a host, created if needed.
    fn host(&mut self, host: u32) -> &mut Host {
        let index = host as usize;
        self.hosts.resize(self.hosts.len().max(index + 1), Host::default());
        &mut self.hosts[index]
    }

    /// Discards the evidence about a host, as its cache is empty.
    pub fn reset(&mut self, host: u32) {
        *self.host(host) = Host::default();
    }

    /// Whether the whole fleet is suspected at present.
    pub fn fleet_suspected(&self) -> bool {
        self.fleet_suspected_since.is_some()
    }

    /// Confidence in the estimates for a host, 0 to 1.
    pub fn of(&self, now: Duration, host: u32) -> f64 {
        let entry = self.hosts.get(host as usize).copied().unwrap_or_default();
        let found_part = (entry.found / entry.estimated).min(1.0);
        match self.fleet_suspected_since {
            // No read since then: as likely to have lost its cache as the hosts with a recent read.
            Some(since) if entry.last_read.is_none_or(|last_read| last_read < since) => {
                found_part * self.consistent_part(now)
            }
            _ => found_part,
        }
    }

    /// Of the hosts with a recent read, the part whose last read did not contradict the index.
    fn consistent_part(&self, now: Duration) -> f64 {
        let recent = self
            .hosts
            .iter()
            .filter(|host| host.last_read.is_some_and(|last_read| last_read + RECENT >= now));
        let (all, contradicting) =
            recent.fold((0.0, 0.0), |sum, host| (sum.0 + 1.0, sum.1 + f64::from(u8::from(host.contradicts))));
        if all > 0.0 { 1.0 - contradicting / all } else { 1.0 }
    }

    /// Records a read: `found` blocks were cached of `estimated` ones.
    pub fn record_read(&mut self, now: Duration, host: u32, estimated: u32, found: u32) -> Evidence {
        if estimated < MIN_ESTIMATED_BLOCKS {
            return Evidence::TooLittle;
        }
        let found = found.min(estimated);
        let contradicts = f64::from(found) < CONTRADICTION_PART * f64::from(estimated);
        let fleet_suspected = self
            .fleet_suspected_since
            .is_some_and(|since| self.host(host).last_read.is_none_or(|last_read| last_read <= since));
        let entry = self.host(host);
        (entry.found, entry.estimated) =
            (entry.found * DECAY + f64::from(found), entry.estimated * DECAY + f64::from(estimated));
        entry.contradictions = if contradicts { entry.contradictions + 1 } else { 0 };
        (entry.last_read, entry.contradicts) = (Some(now), contradicts);
        let cache_lost = entry.contradictions >= CONTRADICTIONS_FOR_LOSS || (contradicts && fleet_suspected);
        if cache_lost {
            // The old holdings are dropped, so that earlier reads are no evidence about new ones.
            (entry.found, entry.estimated, entry.contradictions) = (16.0, 16.0, 0);
        }
        let recent_hosts = self
            .hosts
            .iter()
            .filter(|host| host.last_read.is_some_and(|last_read| last_read + RECENT >= now))
            .count();
        let suspect_fleet =
            recent_hosts >= MIN_FLEET_HOSTS && 1.0 - self.consistent_part(now) >= FLEET_CONTRADICTION_PART;
        self.fleet_suspected_since =
            if suspect_fleet { self.fleet_suspected_since.or(Some(now)) } else { None };
        match (cache_lost, contradicts) {
            (true, _) => Evidence::CacheLost,
            (false, true) => Evidence::Contradicts,
            (false, false) if f64::from(found) < EVICTION_PART * f64::from(estimated) => Evidence::Evicted,
            (false, false) => Evidence::Confirms,
        }
    }
}
