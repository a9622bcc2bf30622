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
    /// When the answer to a question that need not wait has to begin.
    pub at_once: Duration,
    /// Between two tries: inside the 200 ms that a watch may pause.
    pub pause: Duration,
}

impl Patience {
    /// Where lists are pushed, an agent on the own machine answers at once and at no cost, or is silent until the
    /// registry is back; what it has then counts as told at once. So it is asked anew well inside the time in which a
    /// draining host may still be sent to. Where lists are asked for, each call is dear and may take long.
    pub fn told(terms: &Terms) -> Patience {
        let ms = Duration::from_millis;
        if terms.text("registry_mode") == Some("on_request") {
            return Patience { wait: ms(5000), late: ms(1500), at_once: ms(1500), pause: ms(100) };
        }
        // Two fifths and a fifth: the rest is for a busy dispatcher to read the list. No less than round trips take.
        let grace = terms.span("rules.drain_grace_us").unwrap_or(ms(250));
        let at_once = (grace * 2 / 5).clamp(ms(20), ms(400));
        Patience { wait: ms(1000), late: ms(500), at_once, pause: (grace / 5).clamp(ms(10), ms(100)) }
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
}
