//! Translates the platform's names in the start configuration, which are the same on its wire and in its
//! files, into the dotted names that the dispatcher uses. Values are not interpreted here.

use serde_json::Value;
use tulipstall::interface::{Config, ConfigValue};

/// Flattens the start object into dotted names; lists become `name.0`, `name.1`, …
pub fn parse_config(start: &Value) -> Config {
    let mut config = Config::default();
    flatten(String::new(), start, &mut config);
    config
}

fn flatten(name: String, value: &Value, config: &mut Config) {
    let child = |child_name: &str| {
        if name.is_empty() { child_name.to_owned() } else { format!("{name}.{child_name}") }
    };
    match value {
        Value::Object(fields) => {
            for (key, value) in fields {
                flatten(child(&internal_name(key)), value, config);
            }
        }
        Value::Array(items) => {
            for (i, item) in items.iter().enumerate() {
                flatten(child(&i.to_string()), item, config);
            }
        }
        Value::Bool(flag) => {
            config.0.insert(name, ConfigValue::Flag(*flag));
        }
        Value::Number(number) => {
            config.0.insert(name, ConfigValue::Number(number.as_f64().unwrap_or(0.0)));
        }
        Value::String(text) => {
            // Only effects are translated: names belong to the customers and may contain any word.
            let is_effect = name.ends_with(".effect");
            let text = if is_effect { internal_effect(text) } else { text };
            config.0.insert(name, ConfigValue::Text(text.to_owned()));
        }
        Value::Null => {}
    }
}

fn internal_name(platform_name: &str) -> String {
    let internal = match platform_name {
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
        _ => return to_snake_case(platform_name),
    };
    internal.to_owned()
}

fn internal_effect(platform_name: &str) -> &str {
    match platform_name {
        "pure" => "replayable",
        "token" => "referenced",
        "side_effect" => "single-use",
        other => other,
    }
}

fn to_snake_case(platform_name: &str) -> String {
    let mut name = String::with_capacity(platform_name.len() + 8);
    let mut after_lowercase = false;
    for c in platform_name.chars() {
        if c.is_uppercase() && after_lowercase {
            name.push('_');
        }
        after_lowercase = c.is_lowercase() || c.is_ascii_digit();
        name.extend(c.to_lowercase());
    }
    name
}
