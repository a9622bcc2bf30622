//! Records of events and actions, one JSON line each, that replay to the letter.

use crate::{terms_as_json, terms_from_json};
use serde_json::{Value, json};
use std::io::BufRead;
use std::time::Duration;
use tulipstall::Rules;
use tulipstall::interface::{Action, Event, Terms};

/// Is told of every event with the actions that followed, in order.
pub trait Recorder: Send {
    fn start(&mut self, seed: u64, terms: &Terms);
    fn note(&mut self, now: Duration, event: &Event, actions: &[Action]);
}

/// The form of the lines that this version writes.
const VERSION: u64 = 1;

/// Turns events into lines and hands them on; what takes them must not block.
pub struct Lines<W: FnMut(String) + Send>(pub W);

impl<W: FnMut(String) + Send> Recorder for Lines<W> {
    fn start(&mut self, seed: u64, terms: &Terms) {
        (self.0)(json!({"record": VERSION, "seed": seed, "terms": terms_as_json(terms)}).to_string());
    }

    fn note(&mut self, now: Duration, event: &Event, actions: &[Action]) {
        let now = now.as_nanos() as u64;
        (self.0)(json!({"now": now, "event": event, "actions": actions}).to_string());
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Replay {
    pub events: u64,
    pub actions: u64,
    /// Line, what was recorded, what came now; the first ones.
    pub differences: Vec<(u64, String, String)>,
    /// The last line was cut short, as by a kill.
    pub cut_short: bool,
}

/// Plays a record through new decisions and compares every action to the letter.
pub fn replay(record: impl BufRead) -> Result<Replay, String> {
    let mut replay = Replay::default();
    let mut rules: Option<Rules> = None;
    let mut out = Vec::new();
    let mut lines = (1..).zip(record.lines()).peekable();
    while let Some((number, line)) = lines.next() {
        let line = line.map_err(|error| format!("line {number}: {error}"))?;
        let value: Value = match serde_json::from_str(&line) {
            Ok(value) => value,
            Err(_) if lines.peek().is_none() && rules.is_some() => {
                replay.cut_short = true;
                break;
            }
            Err(error) => return Err(format!("line {number}: {error}")),
        };
        let Some(rules) = &mut rules else {
            if value["record"].as_u64() != Some(VERSION) {
                return Err(format!("line 1: no record of version {VERSION}"));
            }
            let seed = value["seed"].as_u64().ok_or("line 1: no seed")?;
            let mut terms = terms_from_json(&value["terms"]).ok_or("line 1: no terms")?;
            tulipstall::door::NameRegistry::from_terms(&mut terms);
            rules = Some(Rules::new(seed, &terms));
            continue;
        };
        let now = value["now"].as_u64().ok_or_else(|| format!("line {number}: no time"))?;
        let event: Event = serde_json::from_value(value["event"].clone())
            .map_err(|error| format!("line {number}: {error}"))?;
        out.clear();
        rules.on(Duration::from_nanos(now), &event, &mut out);
        replay.events += 1;
        replay.actions += out.len() as u64;
        // Through text once, so that both have been printed and read the same number of times.
        let text = json!(out).to_string();
        let again: Value = serde_json::from_str(&text).map_err(|error| error.to_string())?;
        // A thousand differences tell no more than ten.
        if again != value["actions"] && replay.differences.len() < 10 {
            replay.differences.push((number, value["actions"].to_string(), again.to_string()));
        }
    }
    if rules.is_none() { Err("an empty record".to_owned()) } else { Ok(replay) }
}
