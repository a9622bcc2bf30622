//! Parsing of the simulator protocol's text lines, whose fields are identified by position.

use serde_json::Value;
use std::time::Duration;
use tulipstall::interface::{HostStatus, LoadReport, Outcome};

/// A message that says what is wrong with the input.
pub type Error = String;

/// Reads the fields of one line in order. Fields are separated by spaces; `-` stands for an absent one.
pub struct Fields<'a> {
    line: &'a str,
    rest: &'a str,
    ended: bool,
}

impl<'a> Fields<'a> {
    pub fn new(line: &'a str) -> Self {
        Fields { line, rest: line, ended: false }
    }

    /// The next field; absent if it is `-` or the line has ended.
    pub fn next(&mut self) -> Option<&'a str> {
        if self.ended {
            return None;
        }
        let field = match self.rest.split_once(' ') {
            Some((field, rest)) => {
                self.rest = rest;
                field
            }
            None => {
                self.ended = true;
                self.rest
            }
        };
        (field != "-" && !field.is_empty()).then_some(field)
    }

    /// The remainder of the line.
    pub fn rest(&mut self) -> &'a str {
        self.ended = true;
        self.rest
    }

    /// The next field, which has to be present. `what` names it in the error message.
    pub fn require(&mut self, what: &str) -> Result<&'a str, Error> {
        self.next().ok_or_else(|| format!("{what} is missing in: {}", self.line))
    }

    pub fn integer(&mut self, what: &str) -> Result<u64, Error> {
        let field = self.require(what)?;
        field.parse().map_err(|_| format!("{what} is not an integer in: {}", self.line))
    }

    pub fn integer_or(&mut self, what: &str, default: u64) -> Result<u64, Error> {
        match self.next() {
            None => Ok(default),
            Some(field) => field.parse().map_err(|_| format!("{what} is not an integer in: {}", self.line)),
        }
    }

    /// A finite number, which may have a fraction. Callers that convert it to an unsigned count get 0 for negative numbers.
    pub fn number_or(&mut self, what: &str, default: f64) -> Result<f64, Error> {
        match self.next() {
            None => Ok(default),
            Some(field) => match field.parse::<f64>() {
                Ok(number) if number.is_finite() => Ok(number),
                _ => Err(format!("{what} is not a finite number in: {}", self.line)),
            },
        }
    }

    /// A duration in microseconds; negative values count as 0.
    pub fn duration_or_none(&mut self, what: &str) -> Result<Option<Duration>, Error> {
        match self.next() {
            None => Ok(None),
            Some(field) => match field.parse::<i64>() {
                Ok(us) => Ok(Some(Duration::from_micros(us.max(0) as u64))),
                Err(_) => Err(format!("{what} is not an integer number of microseconds in: {}", self.line)),
            },
        }
    }

    /// A load report: numbers separated by commas.
    pub fn load(&mut self) -> Result<Option<LoadReport>, Error> {
        let Some(field) = self.next() else { return Ok(None) };
        let mut load = LoadReport::default();
        for value in field.split(',').take(load.values.len()) {
            load.values[load.count] = match value.parse::<f64>() {
                Ok(number) if number.is_finite() => number,
                _ if value == "-" || value.is_empty() => 0.0,
                _ => return Err(format!("a load value is not a finite number in: {}", self.line)),
            };
            load.count += 1;
        }
        Ok(Some(load))
    }

    /// The outcome of a shot and its note, a number whose meaning depends on the outcome: the cached tokens of a read
    /// or an answer, or 1 with code 429 if the writer found no state. `read_note` reads the note, which follows the
    /// outcome.
    pub fn outcome(
        &mut self,
        read_note: impl FnOnce(&mut Self) -> Result<u64, Error>,
    ) -> Result<(Outcome, u64), Error> {
        let code = self.integer("the outcome")?;
        let note = read_note(self)?;
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
            _ => return Err(format!("unknown outcome in: {}", self.line)),
        };
        Ok((outcome, note))
    }

    pub fn status(&mut self) -> Result<HostStatus, Error> {
        match self.require("the host status")? {
            "Running" => Ok(HostStatus::Running),
            "Stopping" => Ok(HostStatus::Draining),
            "Deleted" => Ok(HostStatus::Gone),
            _ => Err(format!("unknown host status in: {}", self.line)),
        }
    }

    /// The remainder of the line as a JSON object.
    pub fn object(&mut self) -> Result<Value, Error> {
        match serde_json::from_str(self.rest()) {
            Ok(value @ Value::Object(_)) => Ok(value),
            _ => Err("the configuration is not a JSON object".to_owned()),
        }
    }
}
