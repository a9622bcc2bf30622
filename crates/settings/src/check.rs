//! Validation of settings and host lists. All violations are reported at once: first those of the schema,
//! then, if there are none, those that a schema cannot express.

use crate::{Effect, HostList, Settings};
use schemars::schema_for;
use serde_json::Value;
use std::collections::BTreeSet;
use std::fmt;

/// One violation: where it is as a JSON pointer (RFC 6901), what was found, and what is expected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    pub pointer: String,
    pub found: String,
    pub expected: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let pointer = if self.pointer.is_empty() { "/" } else { &self.pointer };
        write!(f, "{pointer}: found {}, wanted {}", self.found, self.expected)
    }
}

/// The published schema of the settings (JSON Schema 2020-12), derived from the types.
pub fn schema() -> Value {
    serde_json::to_value(schema_for!(Settings)).unwrap_or_default()
}

/// The schema of host lists.
pub fn list_schema() -> Value {
    serde_json::to_value(schema_for!(HostList)).unwrap_or_default()
}

/// The value as JSON, cut to 60 characters so that it fits into a line.
fn abbreviated(value: &Value) -> String {
    let text = value.to_string();
    match text.char_indices().nth(60) {
        Some((cut, _)) => format!("{}…", &text[..cut]),
        None => text,
    }
}

/// Validates a JSON text against a schema and reads it as `T`.
fn read<T: serde::de::DeserializeOwned>(text: &str, schema: &Value) -> Result<T, Vec<Violation>> {
    let violation = |pointer: &str, found: String, expected: String| Violation {
        pointer: pointer.to_owned(),
        found,
        expected,
    };
    let value: Value = serde_json::from_str(text).map_err(|error| {
        vec![violation(
            "",
            format!("no JSON at line {} column {}", error.line(), error.column()),
            error.to_string(),
        )]
    })?;
    let validator = jsonschema::validator_for(schema)
        .map_err(|error| vec![violation("", "no schema".to_owned(), error.to_string())])?;
    let mut violations: Vec<Violation> = validator
        .iter_errors(&value)
        .map(|error| {
            let pointer = error.instance_path().to_string();
            let found = value.pointer(&pointer).map_or_else(|| "nothing".to_owned(), abbreviated);
            violation(&pointer, found, error.masked().to_string())
        })
        .collect();
    violations.dedup();
    if !violations.is_empty() {
        return Err(violations);
    }
    serde_json::from_value(value)
        .map_err(|error| vec![violation("", "a value".to_owned(), error.to_string())])
}

/// Reads settings, or returns all of their violations.
pub fn check(text: &str) -> Result<Settings, Vec<Violation>> {
    let settings: Settings = read(text, &schema())?;
    let violations = cross_field_violations(&settings);
    if violations.is_empty() { Ok(settings) } else { Err(violations) }
}

impl HostList {
    /// Reads a host list. A list with any violation is rejected as a whole.
    pub fn read(text: &str) -> Result<HostList, Vec<Violation>> {
        let list: HostList = read(text, &list_schema())?;
        let mut violations = Vec::new();
        let mut seen = BTreeSet::new();
        for (i, line) in list.hosts.iter().enumerate() {
            let pointer = format!("/hosts/{i}/host");
            if !line.host.ip().is_loopback() {
                violations.push(Violation {
                    pointer: pointer.clone(),
                    found: line.host.to_string(),
                    expected: "a loopback address".into(),
                });
            }
            if !seen.insert(line.host) {
                violations.push(Violation {
                    pointer,
                    found: line.host.to_string(),
                    expected: "each host once".into(),
                });
            }
        }
        if violations.is_empty() { Ok(list) } else { Err(violations) }
    }
}

/// Violations between several fields, and those that a schema cannot express.
fn cross_field_violations(settings: &Settings) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut report = |pointer: String, found: String, expected: &str| {
        violations.push(Violation { pointer, found, expected: expected.to_owned() });
    };
    for (pointer, address) in [("/listen", Some(settings.listen)), ("/control", settings.control)] {
        if let Some(address) = address.filter(|address| !address.ip().is_loopback()) {
            report(pointer.into(), address.to_string(), "a loopback address");
        }
    }
    if settings.me >= settings.dispatchers {
        report("/me".into(), settings.me.to_string(), "less than /dispatchers");
    }
    if !settings.zone.is_empty() && !settings.zones.contains(&settings.zone) {
        report("/zone".into(), settings.zone.clone(), "one of /zones");
    }
    let check_unique = |list: &str, names: Vec<&str>, report: &mut dyn FnMut(String, String, &str)| {
        let mut seen = BTreeSet::new();
        for (i, name) in names.iter().enumerate() {
            if !seen.insert(*name) {
                report(format!("/{list}/{i}/name"), (*name).to_owned(), "a name that no other has");
            }
        }
    };
    check_unique("offerings", settings.offerings.iter().map(|o| o.name.as_str()).collect(), &mut report);
    check_unique("customers", settings.customers.iter().map(|c| c.name.as_str()).collect(), &mut report);
    check_unique("kinds", settings.kinds.iter().map(|k| k.name.as_str()).collect(), &mut report);
    let mut keys = BTreeSet::new();
    for (i, customer) in settings.customers.iter().enumerate() {
        if !keys.insert(&customer.key) {
            // The key is a secret and must not be printed.
            report(format!("/customers/{i}/key"), "a key seen before".into(), "a key that no other has");
        }
    }
    for (i, offering) in settings.offerings.iter().enumerate() {
        if offering.effect == Effect::Referenced && offering.window_ms == 0 {
            report(format!("/offerings/{i}/window_ms"), "0".into(), "how long repeats are discarded");
        }
        if offering.hard_stop_ms < offering.agreed_time_ms {
            let found = offering.hard_stop_ms.to_string();
            report(format!("/offerings/{i}/hard_stop_ms"), found, "at least agreed_time_ms");
        }
        let min_stop_ms = settings.times.answer_margin_ms * 2;
        if offering.hard_stop_ms <= min_stop_ms {
            let found = offering.hard_stop_ms.to_string();
            report(format!("/offerings/{i}/hard_stop_ms"), found, "more than twice /times/answer_margin_ms");
        }
    }
    let rules = &settings.rules;
    if !(rules.cold_from > 0.0 && rules.cold_from <= 1.0) {
        report("/rules/cold_from".into(), rules.cold_from.to_string(), "above 0, up to 1");
    }
    if !(rules.fall_multiple.is_finite() && rules.fall_multiple > 0.0) {
        report("/rules/fall_multiple".into(), rules.fall_multiple.to_string(), "above 0");
    }
    if settings.loads.len() > 4 {
        report("/loads".into(), settings.loads.len().to_string(), "four at most");
    }
    violations
}
