//! The registry's list of hosts, whole or what changed of it.

use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;
use tulipstall::interface::{Standing, Terms};
use tulipstall_core::Row;

/// Where the list is asked for.
pub const PATH: &str = "/registry/instances";

/// A list of a few thousand hosts fits many times over.
pub const LIST_BYTES: usize = 4 << 20;

/// How long the registry is waited for before it is taken for silent and asked anew.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Patience {
    /// How long it may wait for news.
    pub wait: Duration,
    /// How much later than that its answer may begin.
    pub late: Duration,
    /// When the answer to a question that need not wait has to begin, the time to connect included.
    pub at_once: Duration,
    /// How long an answer that has begun may take to come whole: agents write it at once.
    pub whole: Duration,
    /// Between two tries: inside the 200 ms that a watch may pause.
    pub pause: Duration,
    /// How long such a pause grows at most while the registry refuses calls.
    pub refused: Duration,
    /// For how long the first call of a new watch waits, where it is one from what is known already: what is newer comes at
    /// once, the calls that follow go on with the watch, and the registry is asked once for all of it.
    pub resumes: Option<Duration>,
}

/// How long what is newer than the last good answer may go unheard while the registry can be reached: the platform
/// counts it as told then.
pub const TOLD: Duration = Duration::from_secs(6);

/// For how long answers older than one seen before are not taken: they come from a registry that lags behind, or from
/// one that has begun anew, and only the second goes on so. Fits beside a watch and two questions.
pub const OLDER: Duration = Duration::from_millis(800);

impl Patience {
    /// Where lists are pushed, an agent on the own machine answers at once and at no cost, or is silent until the
    /// registry is back; what it has then counts as told at once. So it is asked anew well inside the time in which a
    /// draining host may still be sent to. Where lists are asked for, each call is dear and may take long.
    pub fn told(terms: &Terms) -> Patience {
        let ms = Duration::from_millis;
        if terms.text("registry_mode") == Some("on_request") {
            // A watch that falls silent at once and a question that fails leave time for a second question.
            return Patience {
                wait: ms(2500),
                late: ms(700),
                at_once: ms(700),
                whole: ms(500),
                pause: ms(100),
                refused: ms(6000),
                resumes: Some(ms(1000)),
            };
        }
        // Two fifths and a fifth: the rest is for a busy dispatcher to read the list. No less than round trips take.
        let grace = terms.span("rules.drain_grace_us").unwrap_or(ms(250));
        let at_once = (grace * 2 / 5).clamp(ms(20), ms(400));
        let pause = (grace / 5).clamp(ms(10), ms(100));
        let (wait, late, whole) = (ms(1000), ms(500), ms(500));
        Patience { wait, late, at_once, whole, pause, refused: pause, resumes: None }
    }

    /// When the answer to a question has to begin after so many in a row that were given up: a registry with much to do
    /// takes longer, and each question given up is more to do.
    pub fn after_silence(&self, times: u32) -> Duration {
        (self.at_once * 2_u32.saturating_pow(times.min(8))).min(self.at_once.max(self.refused / 2))
    }

    /// How long to wait after so many calls in a row that were refused: twice as long each time, and by chance, as all who
    /// were refused at once would else come at once again, and hundreds that press keep a registry refusing.
    pub fn after_refusal(&self, times: u32, chance: f64) -> Duration {
        (self.pause * 2_u32.saturating_pow(times.min(8) + 2)).min(self.refused).mul_f64(0.5 + chance)
    }
}

/// What is known of the registry's versions.
#[derive(Clone, Copy, Debug, Default)]
pub struct Versions {
    newest: u64,
    /// Since when only older ones came.
    older_since: Option<Duration>,
}

impl Versions {
    /// Whether an answer of this version is taken now.
    pub fn takes(&mut self, now: Duration, seq: u64) -> bool {
        let since = *self.older_since.get_or_insert(now);
        let taken = seq >= self.newest || now >= since + OLDER;
        if taken {
            *self = Versions { newest: seq, older_since: None };
        }
        taken
    }
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct List {
    pub seq: u64,
    #[serde(default)]
    pub whole: bool,
    #[serde(default)]
    pub hosts: Vec<Line>,
}

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
    /// Unix time of its process's start in milliseconds; 0: long ago.
    #[serde(default)]
    pub born_ms: u64,
}

fn one() -> f64 {
    1.0
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Health {
    Active,
    Leaving,
    Left,
}

pub fn parse(value: &serde_json::Value) -> Result<List, String> {
    List::deserialize(value).map_err(|fault| format!("the list of hosts: {fault}"))
}

/// Reads a list; one that can't be read whole is not taken in part.
pub fn read(bytes: &[u8]) -> Result<List, String> {
    serde_json::from_slice(bytes).map_err(|fault| format!("the list of hosts: {fault}"))
}

/// The question for the whole list, or to be told what is newer than a version within some time.
pub fn question(host: SocketAddr, newer_than: Option<(u64, Duration)>) -> String {
    let query =
        newer_than.map_or(String::new(), |(seq, wait)| format!("?index={seq}&wait={}", wait.as_millis()));
    format!("GET {PATH}{query} HTTP/1.1\r\nHost: {host}\r\n\r\n")
}

impl Line {
    pub fn standing(&self) -> Standing {
        match self.health {
            Health::Active => Standing::Running,
            Health::Leaving => Standing::Draining,
            Health::Left => Standing::Gone,
        }
    }

    /// As the core takes it, by the time of day.
    pub fn row(&self, now_unix_ms: u64) -> Row {
        let up_for = now_unix_ms.saturating_sub(self.born_ms);
        Row {
            host: self.host.clone(),
            kind: self.class.clone(),
            zone: self.site.clone(),
            cell: self.block,
            weight: self.share,
            up_for: (self.born_ms > 0).then(|| Duration::from_millis(up_for)),
            standing: self.standing(),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use tulipstall::interface::Term;

    /// What is asked just before the registry is back goes unanswered: the next try comes inside the grace.
    #[test]
    fn a_silent_agent_is_asked_anew_inside_the_grace_and_a_dear_registry_is_not_pressed() {
        for (mode, grace_us, pressed) in [
            (None, None, true),
            (Some("pushed"), Some(100_000.0), true),
            (Some("pushed"), Some(250_000.0), true),
            (Some("pushed"), Some(1_000_000.0), true),
            (Some("pushed"), Some(0.0), false),
            (Some("on_request"), Some(250_000.0), false),
        ] {
            let mut terms = Terms::default();
            mode.map(|mode| terms.0.insert("registry_mode".into(), Term::Text(mode.into())));
            grace_us.map(|us| terms.0.insert("rules.drain_grace_us".into(), Term::Number(us)));
            let told = Patience::told(&terms);
            let grace = Duration::from_micros(grace_us.unwrap_or(250_000.0) as u64);
            assert_eq!(
                (told.at_once + told.pause) * 10 <= grace * 7,
                pressed,
                "{mode:?} {grace_us:?}: {told:?}"
            );
            assert!(told.at_once >= Duration::from_millis(20) && !told.pause.is_zero());
            // What an open watch misses counts 6 s after it fell silent, or 2 s after its wait.
            assert!(told.pause < Duration::from_millis(200) && told.late < Duration::from_secs(2));
            assert!(told.wait + told.late + told.pause < Duration::from_secs(7));
        }
    }

    /// From a good answer on, whatever goes wrong once with each of a watch, its successor and the question after it:
    /// the list is refreshed before what is newer counts as told, with the grace to spare.
    #[test]
    fn no_chain_of_calls_outlasts_what_counts_as_told() {
        let ms = Duration::from_millis;
        for (mode, grace_us) in
            [("pushed", 50_000.0), ("pushed", 250_000.0), ("pushed", 2e6), ("on_request", 250_000.0)]
        {
            let mut terms = Terms::default();
            terms.0.insert("registry_mode".into(), Term::Text(mode.into()));
            terms.0.insert("rules.drain_grace_us".into(), Term::Number(grace_us));
            let told = Patience::told(&terms);
            let question = told.pause + told.at_once;
            let silent = told.wait + told.late;
            for (name, chain) in [
                ("a silent watch, a silent question, a good one", silent + 2 * question + told.whole),
                ("a watch that trickles, a good question", silent + told.whole + question + told.whole),
                ("a silent watch, then a registry that begins anew", silent + question + OLDER + question),
            ] {
                assert!(chain < TOLD - ms(250), "{mode} {grace_us}: {name}: {chain:?}");
            }
            // While nothing happens 350 dispatchers ask less than 200 times a second where calls are dear, else 400.
            let most = if mode == "on_request" { 200.0 } else { 400.0 };
            assert!(350.0 / told.wait.as_secs_f64() < most, "{mode}");
        }
    }

    #[test]
    fn older_versions_are_not_taken_unless_they_go_on() {
        let ms = Duration::from_millis;
        for (name, answers) in [
            ("in order", vec![(0, 3, true), (100, 3, true), (200, 5, true)]),
            ("one that lags behind", vec![(0, 9, true), (100, 7, false), (200, 9, true), (2000, 8, false)]),
            (
                "begun anew",
                vec![(0, 9, true), (100, 1, false), (500, 1, false), (1000, 2, true), (1100, 2, true)],
            ),
        ] {
            let mut versions = Versions::default();
            for (at, seq, taken) in answers {
                assert_eq!(versions.takes(ms(at), seq), taken, "{name}: {seq} at {at} ms");
            }
        }
    }
}
