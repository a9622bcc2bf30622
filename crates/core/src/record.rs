//! Records of events and their actions, one JSON line for each event, and their exact replay.

use crate::{config_as_json, config_from_json};
use serde_json::{Value, json};
use std::io::BufRead;
use std::time::Duration;
use tulipstall::Rules;
use tulipstall::interface::{Action, Config, Event};

/// Receives every event with the actions that it caused, in order.
pub trait Recorder: Send {
    /// Called once, before the first event.
    fn start(&mut self, seed: u64, config: &Config);
    fn event(&mut self, now: Duration, event: &Event, actions: &[Action]);
}

/// Version of the record format.
const FORMAT_VERSION: u64 = 1;

/// A recorder that formats records as JSON lines and passes them to a function, which must not block.
pub struct JsonLinesRecorder<W: FnMut(String) + Send>(pub W);

impl<W: FnMut(String) + Send> Recorder for JsonLinesRecorder<W> {
    fn start(&mut self, seed: u64, config: &Config) {
        (self.0)(
            json!({"record": FORMAT_VERSION, "seed": seed, "terms": config_as_json(config)}).to_string(),
        );
    }

    fn event(&mut self, now: Duration, event: &Event, actions: &[Action]) {
        let now = now.as_nanos() as u64;
        (self.0)(json!({"now": now, "event": event, "actions": actions}).to_string());
    }
}

/// Result of a replay.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Replay {
    pub events: u64,
    pub actions: u64,
    /// The first differences: line number, recorded actions, actions of the replay.
    pub differences: Vec<(u64, String, String)>,
    /// The last line is incomplete, as after the dispatcher was killed.
    pub cut_short: bool,
}

/// Feeds the events of a record to new decision logic and compares every action with the recorded one.
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
            if value["record"].as_u64() != Some(FORMAT_VERSION) {
                return Err(format!("line 1: no record of version {FORMAT_VERSION}"));
            }
            let seed = value["seed"].as_u64().ok_or("line 1: no seed")?;
            let mut config = config_from_json(&value["terms"]).ok_or("line 1: no terms")?;
            tulipstall::names::NameRegistry::from_config(&mut config);
            rules = Some(Rules::new(seed, &config));
            continue;
        };
        let now = value["now"].as_u64().ok_or_else(|| format!("line {number}: no time"))?;
        let event: Event = serde_json::from_value(value["event"].clone())
            .map_err(|error| format!("line {number}: {error}"))?;
        out.clear();
        rules.handle(Duration::from_nanos(now), &event, &mut out);
        replay.events += 1;
        replay.actions += out.len() as u64;
        // Formatted and parsed once, like the recorded actions, so that both have the same representation of numbers.
        let text = json!(out).to_string();
        let replayed: Value = serde_json::from_str(&text).map_err(|error| error.to_string())?;
        // The first ten differences are enough to find the cause.
        if replayed != value["actions"] && replay.differences.len() < 10 {
            replay.differences.push((number, value["actions"].to_string(), replayed.to_string()));
        }
    }
    if rules.is_none() { Err("an empty record".to_owned()) } else { Ok(replay) }
}
