//! Runs one script with each of several values of a setting and reports by time windows: prompt tokens found in caches,
//! prompt tokens read again, times to the first token. With the same seed, each run has the same tasks at the same times.

use crate::day::{Day, Outcome, play};
use serde_json::Value;
use std::io::{self, Write};
use std::path::Path;
use tulipstall_judge::{Answer, ClientAttempt};

/// A setting and the values to try.
#[derive(Clone, Debug)]
pub struct Vary {
    /// A JSON pointer into the dispatchers' settings.
    pub pointer: String,
    pub levels: Vec<Value>,
}

impl std::str::FromStr for Vary {
    type Err = String;

    /// Parses `/pointer=level,level`. A level that is not valid JSON is taken as text.
    fn from_str(text: &str) -> Result<Self, String> {
        let (pointer, levels) = text.split_once('=').ok_or("/POINTER=LEVEL,LEVEL is wanted")?;
        if !pointer.starts_with('/') || pointer.len() < 2 {
            return Err(format!("{pointer}: a pointer begins with /"));
        }
        let level = |level: &str| serde_json::from_str(level).unwrap_or_else(|_| Value::from(level));
        Ok(Vary { pointer: pointer.to_owned(), levels: levels.split(',').map(level).collect() })
    }
}

/// Sets the value at a JSON pointer and creates missing objects on its path.
fn put(settings: &mut Value, pointer: &str, level: &Value) {
    let mut at = settings;
    for name in pointer[1..].split('/') {
        if !at.is_object() {
            *at = Value::Object(serde_json::Map::new());
        }
        at = &mut at[name];
    }
    *at = level.clone();
}

/// The results in one time window of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Window {
    pub attempts: usize,
    pub delivered: usize,
    pub bounced: usize,
    pub broken_off: usize,
    pub prompt_tokens: u64,
    pub cached_tokens: u64,
    /// Percentiles of the time to the first token.
    pub first_token_p50_us: u64,
    pub first_token_p99_us: u64,
}

/// Groups attempts by their start into windows of `span_us` microseconds.
pub fn windows(attempts: &[ClientAttempt], span_us: u64) -> Vec<Window> {
    let last = attempts.iter().map(|attempt| attempt.at / span_us.max(1)).max().unwrap_or(0) as usize;
    let mut firsts: Vec<Vec<u64>> = vec![Vec::new(); last + 1];
    let mut windows = vec![Window::default(); last + 1];
    for attempt in attempts {
        let at = (attempt.at / span_us.max(1)) as usize;
        let window = &mut windows[at];
        window.attempts += 1;
        window.delivered += usize::from(attempt.answer == Answer::Delivered);
        window.bounced += usize::from(attempt.answer == Answer::Bounced);
        window.broken_off += usize::from(attempt.answer == Answer::BrokenOff);
        window.prompt_tokens += attempt.prompt_tokens;
        window.cached_tokens += attempt.cached_tokens;
        // An answer that is not streamed has its first token at its end.
        if attempt.begun {
            firsts[at].push(attempt.first_token_us);
        }
    }
    for (window, firsts) in windows.iter_mut().zip(&mut firsts) {
        firsts.sort_unstable();
        let at = |part: usize| firsts.get(firsts.len().saturating_sub(1) * part / 100).copied().unwrap_or(0);
        (window.first_token_p50_us, window.first_token_p99_us) = (at(50), at(99));
    }
    windows
}

/// Runs the script at each level and prints the windows. Returns whether every rule and check passed at all levels.
pub fn run(
    day: &Day,
    vary: &Vary,
    span_ms: u64,
    program: &Path,
    folder: &Path,
    out: &mut impl Write,
) -> io::Result<bool> {
    let mut passed = true;
    writeln!(out, "{}", day.about)?;
    for level in &vary.levels {
        let mut day = day.clone();
        put(&mut day.settings, &vary.pointer, level);
        let outcome: Outcome = play(&day, program, folder)?;
        passed &= outcome.passed();
        writeln!(
            out,
            "\n{} = {level}{}",
            vary.pointer,
            if outcome.passed() { "" } else { ": A RULE OR A CHECK FAILED" }
        )?;
        writeln!(
            out,
            "{:>7}{:>7}{:>11}{:>9}{:>12}{:>8}{:>12}{:>10}{:>10}",
            "from s",
            "tries",
            "delivered",
            "bounced",
            "broken off",
            "kept",
            "read anew",
            "first p50",
            "p99 ms"
        )?;
        for (i, window) in windows(&outcome.record.attempts, span_ms * 1000).iter().enumerate() {
            let cached_share = window.cached_tokens as f64 / window.prompt_tokens.max(1) as f64;
            writeln!(
                out,
                "{:>7.1}{:>7}{:>11}{:>9}{:>12}{:>7.1}%{:>12}{:>10.1}{:>10.1}",
                i as f64 * span_ms as f64 / 1e3,
                window.attempts,
                window.delivered,
                window.bounced,
                window.broken_off,
                cached_share * 100.0,
                window.prompt_tokens - window.cached_tokens.min(window.prompt_tokens),
                window.first_token_p50_us as f64 / 1e3,
                window.first_token_p99_us as f64 / 1e3,
            )?;
        }
    }
    Ok(passed)
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    #[test]
    fn levels_are_put_where_they_belong() {
        let cases = [
            (
                "/a/b=1,true,x",
                json!({"a": {"c": 2}}),
                vec![
                    json!({"a": {"b": 1, "c": 2}}),
                    json!({"a": {"b": true, "c": 2}}),
                    json!({"a": {"b": "x", "c": 2}}),
                ],
            ),
            ("/new=0.5", json!({}), vec![json!({"new": 0.5})]),
        ];
        for (text, settings, wanted) in cases {
            let vary: Vary = text.parse().expect("a variation");
            let put_all: Vec<Value> = vary
                .levels
                .iter()
                .map(|level| {
                    let mut settings = settings.clone();
                    put(&mut settings, &vary.pointer, level);
                    settings
                })
                .collect();
            assert_eq!(put_all, wanted, "{text}");
        }
        for bad in ["", "a=1", "/=1", "/a"] {
            assert!(bad.parse::<Vary>().is_err(), "{bad}");
        }
    }
}
