//! How far the index is believed. A host's reads bear it out or contradict it: one that contradicts it plainly twice in a
//! row has forgotten; while many hosts contradict it within a short time, one contradiction is enough for any, and what no
//! read has borne out since is believed less. So a mass forget costs each host a read or two, not one for each text.

use std::time::Duration;

/// Blocks thought kept below which a read tells nothing: a block or two are lost to any eviction.
const LEAST: u32 = 4;

/// A read contradicts the index plainly if it found less than this part of what was thought: eviction takes the ends of
/// texts, forgetting takes their beginnings.
const PLAINLY: f64 = 0.25;

/// A read that found less than this part shows that something was evicted: blocks are of our tokens, not the engine's, and
/// where both are mixed in a text a fifth is not told apart from that.
const LESS: f64 = 0.8;

/// Plain contradictions in a row after which a host has forgotten; with one, any evicted text would do.
const ROW: u32 = 2;

/// The part of the hosts heard of late that contradict plainly from which the whole fleet is doubted.
const MANY: f64 = 0.3;

/// How long a host's last word counts for the fleet's: some reads of each host, a fraction of a session's pause.
const LATE: Duration = Duration::from_secs(10);

/// Hosts that make a fleet: of fewer, one contradiction is no sign.
const FLEET: usize = 3;

/// What a host's share keeps of its past with each read: some five reads settle it, as in the decisions.
const KEEP: f64 = 0.8;

/// What a read says of what was thought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
    /// Too little was thought to tell.
    Silent,
    /// It found all.
    Sound,
    /// It found less: the ends of texts give way to others.
    Evicted,
    /// It found next to nothing, which may be chance.
    Contradicts,
    /// The host has forgotten what it held before.
    Forgot,
}

#[derive(Clone, Copy, Debug)]
struct Host {
    /// Of what was thought kept, the part found; fading by reads.
    found: f64,
    thought: f64,
    /// Plain contradictions in a row, and when it last said anything.
    row: u32,
    heard: Option<Duration>,
    /// Its last word was a plain contradiction.
    contradicts: bool,
}

impl Default for Host {
    fn default() -> Self {
        // Believed until something speaks against it, as if one read of some blocks had borne it out.
        Host { found: 16.0, thought: 16.0, row: 0, heard: None, contradicts: false }
    }
}

#[derive(Debug, Default)]
pub struct Beliefs {
    hosts: Vec<Host>,
    /// Since when the fleet is doubted; until it is not any more.
    doubted: Option<Duration>,
}

impl Beliefs {
    fn host(&mut self, host: u32) -> &mut Host {
        let at = host as usize;
        self.hosts.resize(self.hosts.len().max(at + 1), Host::default());
        &mut self.hosts[at]
    }

    /// A host begins anew: nothing it showed before counts.
    pub fn anew(&mut self, host: u32) {
        *self.host(host) = Host::default();
    }

    /// Whether the fleet is doubted just now.
    pub fn doubted(&self) -> bool {
        self.doubted.is_some()
    }

    /// How far what a host is thought to hold is believed.
    pub fn of(&self, now: Duration, host: u32) -> f64 {
        let own = self.hosts.get(host as usize).copied().unwrap_or_default();
        let part = (own.found / own.thought).min(1.0);
        match self.doubted {
            // It has not been heard of since: as likely to have forgotten as those that were.
            Some(since) if own.heard.is_none_or(|heard| heard < since) => part * self.sound(now),
            _ => part,
        }
    }

    /// The part of the hosts heard of late whose last word did not contradict the index.
    fn sound(&self, now: Duration) -> f64 {
        let late = self.hosts.iter().filter(|host| host.heard.is_some_and(|heard| heard + LATE >= now));
        let (all, bad) =
            late.fold((0.0, 0.0), |sum, host| (sum.0 + 1.0, sum.1 + f64::from(u8::from(host.contradicts))));
        if all > 0.0 { 1.0 - bad / all } else { 1.0 }
    }

    /// A read found so many blocks of those thought kept.
    pub fn note(&mut self, now: Duration, host: u32, thought: u32, found: u32) -> Sign {
        if thought < LEAST {
            return Sign::Silent;
        }
        let found = found.min(thought);
        let plainly = f64::from(found) < PLAINLY * f64::from(thought);
        let doubted =
            self.doubted.is_some_and(|since| self.host(host).heard.is_none_or(|heard| heard <= since));
        let own = self.host(host);
        (own.found, own.thought) =
            (own.found * KEEP + f64::from(found), own.thought * KEEP + f64::from(thought));
        own.row = if plainly { own.row + 1 } else { 0 };
        (own.heard, own.contradicts) = (Some(now), plainly);
        let forgot = own.row >= ROW || (plainly && doubted);
        if forgot {
            // What it reads from here on is known anew.
            (own.found, own.thought, own.row) = (16.0, 16.0, 0);
        }
        let heard =
            self.hosts.iter().filter(|host| host.heard.is_some_and(|heard| heard + LATE >= now)).count();
        let many = heard >= FLEET && 1.0 - self.sound(now) >= MANY;
        self.doubted = if many { self.doubted.or(Some(now)) } else { None };
        match (forgot, plainly) {
            (true, _) => Sign::Forgot,
            (false, true) => Sign::Contradicts,
            (false, false) if f64::from(found) < LESS * f64::from(thought) => Sign::Evicted,
            (false, false) => Sign::Sound,
        }
    }
}
