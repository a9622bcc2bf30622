//! Parsing and printing of the wire's text lines, by position.

use serde_json::Value;
use std::time::Duration;
use tulipstall::interface::{Load, Outcome, Standing};

/// What is wrong with a line, in plain words.
pub type Fault = String;

/// The parts of one line; `-` marks an absent one.
pub struct Parts<'a> {
    line: &'a str,
    rest: &'a str,
    ended: bool,
}

impl<'a> Parts<'a> {
    pub fn of(line: &'a str) -> Self {
        Parts { line, rest: line, ended: false }
    }

    /// The next part; absent where the line is over or says `-`.
    pub fn next(&mut self) -> Option<&'a str> {
        if self.ended {
            return None;
        }
        let part = match self.rest.split_once(' ') {
            Some((part, rest)) => {
                self.rest = rest;
                part
            }
            None => {
                self.ended = true;
                self.rest
            }
        };
        (part != "-" && !part.is_empty()).then_some(part)
    }

    /// Everything that is left of the line.
    pub fn rest(&mut self) -> &'a str {
        self.ended = true;
        self.rest
    }

    pub fn need(&mut self, what: &str) -> Result<&'a str, Fault> {
        self.next().ok_or_else(|| format!("{what} is missing in: {}", self.line))
    }

    pub fn whole(&mut self, what: &str) -> Result<u64, Fault> {
        let part = self.need(what)?;
        part.parse().map_err(|_| format!("{what} is no whole number in: {}", self.line))
    }

    pub fn whole_or(&mut self, what: &str, absent: u64) -> Result<u64, Fault> {
        match self.next() {
            None => Ok(absent),
            Some(part) => part.parse().map_err(|_| format!("{what} is no whole number in: {}", self.line)),
        }
    }

    /// A count that may be printed with a fraction; anything below 0 counts as 0.
    pub fn number_or(&mut self, what: &str, absent: f64) -> Result<f64, Fault> {
        match self.next() {
            None => Ok(absent),
            Some(part) => match part.parse::<f64>() {
                Ok(number) if number.is_finite() => Ok(number),
                _ => Err(format!("{what} is no number in: {}", self.line)),
            },
        }
    }

    pub fn span_or_none(&mut self, what: &str) -> Result<Option<Duration>, Fault> {
        match self.next() {
            None => Ok(None),
            Some(part) => match part.parse::<i64>() {
                Ok(us) => Ok(Some(Duration::from_micros(us.max(0) as u64))),
                Err(_) => Err(format!("{what} is no time in: {}", self.line)),
            },
        }
    }

    pub fn load(&mut self) -> Result<Option<Load>, Fault> {
        let Some(part) = self.next() else { return Ok(None) };
        let mut load = Load::default();
        for value in part.split(',').take(load.values.len()) {
            load.values[load.count] = match value.parse::<f64>() {
                Ok(number) if number.is_finite() => number,
                _ if value == "-" || value.is_empty() => 0.0,
                _ => return Err(format!("a load value is no number in: {}", self.line)),
            };
            load.count += 1;
        }
        Ok(Some(load))
    }

    pub fn outcome(
        &mut self,
        note: impl FnOnce(&mut Self) -> Result<u64, Fault>,
    ) -> Result<(Outcome, u64), Fault> {
        let code = self.whole("the outcome")?;
        let note = note(self)?;
        let outcome = match code {
            200 => Outcome::Delivered,
            102 => Outcome::Read,
            429 if note == 1 => Outcome::NoState,
            429 => Outcome::Full,
            502 => Outcome::Error,
            520 => Outcome::Broken,
            521 => Outcome::NoConnection,
            408 => Outcome::TimedOut,
            444 => Outcome::Cancelled,
            409 => Outcome::Moot,
            _ => return Err(format!("an outcome that the wire does not have in: {}", self.line)),
        };
        Ok((outcome, note))
    }

    pub fn standing(&mut self) -> Result<Standing, Fault> {
        match self.need("the standing")? {
            "Running" => Ok(Standing::Running),
            "Stopping" => Ok(Standing::Draining),
            "Deleted" => Ok(Standing::Gone),
            _ => Err(format!("a standing that the wire does not have in: {}", self.line)),
        }
    }

    pub fn object(&mut self) -> Result<Value, Fault> {
        match serde_json::from_str(self.rest()) {
            Ok(value @ Value::Object(_)) => Ok(value),
            _ => Err("the start values are no JSON object".to_owned()),
        }
    }
}
