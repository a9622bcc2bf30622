//! The registry's list of hosts, whole or what changed of it.

use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;
use tulipstall::interface::Standing;
use tulipstall_core::Row;

/// Where the list is asked for.
pub const PATH: &str = "/registry/instances";

/// A list of a few thousand hosts fits many times over.
pub const LIST_BYTES: usize = 4 << 20;

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
