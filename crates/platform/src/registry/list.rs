//! The registry's lists of hosts, and the request for them.

use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;
use tulipstall::interface::HostStatus;
use tulipstall_core::HostRow;

/// Path of the list.
pub const LIST_PATH: &str = "/registry/instances";

/// Size limit of a list: many times that of a few thousand hosts.
pub const MAX_LIST_BYTES: usize = 4 << 20;

/// A list of hosts, or the changes since a version.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct List {
    pub seq: u64,
    #[serde(default)]
    pub whole: bool,
    #[serde(default)]
    pub hosts: Vec<Line>,
}

/// One host of a list.
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
    /// Unix time of its process's start in milliseconds; 0 means long ago.
    #[serde(default)]
    pub born_ms: u64,
}

fn one() -> f64 {
    1.0
}

/// Whether a host takes new requests, drains, or has left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Health {
    Active,
    Leaving,
    Left,
}

/// Parses a list that is part of the configuration.
pub fn parse_value(value: &serde_json::Value) -> Result<List, String> {
    List::deserialize(value).map_err(|error| format!("the list of hosts: {error}"))
}

/// Parses a list; one that is malformed in part is rejected as a whole.
pub fn parse(bytes: &[u8]) -> Result<List, String> {
    serde_json::from_slice(bytes).map_err(|error| format!("the list of hosts: {error}"))
}

/// The request for the whole list, or for changes after a version within a wait.
pub fn list_request(host: SocketAddr, newer_than: Option<(u64, Duration)>) -> String {
    let query =
        newer_than.map_or(String::new(), |(seq, wait)| format!("?index={seq}&wait={}", wait.as_millis()));
    format!("GET {LIST_PATH}{query} HTTP/1.1\r\nHost: {host}\r\n\r\n")
}

impl Line {
    pub fn status(&self) -> HostStatus {
        match self.health {
            Health::Active => HostStatus::Running,
            Health::Leaving => HostStatus::Draining,
            Health::Left => HostStatus::Gone,
        }
    }

    /// Unix time of its process's start; `None` means long ago.
    pub fn started_unix(&self) -> Option<Duration> {
        (self.born_ms > 0).then(|| Duration::from_millis(self.born_ms))
    }

    /// The row for the core, with the age of its process; `None` means long ago.
    pub fn to_row(&self, uptime: Option<Duration>) -> HostRow {
        HostRow {
            host: self.host.clone(),
            kind: self.class.clone(),
            zone: self.site.clone(),
            cell: self.block,
            weight: self.share,
            uptime,
            status: self.status(),
        }
    }
}
