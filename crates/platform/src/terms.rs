//! Translates the platform's names in the start configuration, which are the same on its wire and in its
//! files, into the dotted names that the dispatcher uses. Values are not interpreted here.

use serde_json::Value;
use tulipstall::interface::{Term, Terms};

/// Flattens the start object into dotted names; lists become `name.0`, `name.1`, …
pub fn terms(start: &Value) -> Terms {
    let mut terms = Terms::default();
    flatten(String::new(), start, &mut terms);
    terms
}

fn flatten(name: String, value: &Value, terms: &mut Terms) {
    let below = |part: &str| if name.is_empty() { part.to_owned() } else { format!("{name}.{part}") };
    match value {
        Value::Object(fields) => {
            for (key, value) in fields {
                flatten(below(&house_name(key)), value, terms);
            }
        }
        Value::Array(items) => {
            for (i, item) in items.iter().enumerate() {
                flatten(below(&i.to_string()), item, terms);
            }
        }
        Value::Bool(flag) => {
            terms.0.insert(name, Term::Flag(*flag));
        }
        Value::Number(number) => {
            terms.0.insert(name, Term::Number(number.as_f64().unwrap_or(0.0)));
        }
        Value::String(text) => {
            // Only effects are translated: names belong to the customers and may contain any word.
            let effect = name.ends_with(".effect");
            let text = if effect { house_value(text) } else { text };
            terms.0.insert(name, Term::Text(text.to_owned()));
        }
        Value::Null => {}
    }
}

fn house_name(wire: &str) -> String {
    let known = match wire {
        "Profiles" => "offerings",
        "Accounts" => "customers",
        "Domain" => "service",
        "Permissions" => "allowed",
        "Balancers" => "dispatchers",
        "Credit" => "gain",
        "LateWorth" => "late_gain",
        "OverShareWorth" => "over_share_gain",
        "WorthBy" => "gain_by",
        "HardLimitUs" => "hard_stop_us",
        "TargetUs" => "agreed_time_us",
        "Idempotency" => "effect",
        "AimUsPer1000PromptTokens" => "agreed_time_us_per_1000_prompt_tokens",
        "TokenAimUs" => "token_pace_us",
        "EarlyPairing" => "may_hold_ahead",
        "ReadInPlace" => "writers_read",
        "MaxAttempts" => "max_shots",
        "MaxRetryAfterUs" => "max_come_back_us",
        "RetryAfter" => "come_back",
        "StopSendingWithinUs" => "drain_grace_us",
        "OverloadFactor" => "fall_multiple",
        _ => return snake(wire),
    };
    known.to_owned()
}

fn house_value(wire: &str) -> &str {
    match wire {
        "pure" => "replayable",
        "token" => "referenced",
        "side_effect" => "single-use",
        other => other,
    }
}

fn snake(wire: &str) -> String {
    let mut name = String::with_capacity(wire.len() + 8);
    let mut before_small = false;
    for c in wire.chars() {
        if c.is_uppercase() && before_small {
            name.push('_');
        }
        before_small = c.is_lowercase() || c.is_ascii_digit();
        name.extend(c.to_lowercase());
    }
    name
}
