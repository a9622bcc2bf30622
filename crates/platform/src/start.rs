//! What a dispatcher is told at start, and again when it is told to read its configuration anew.

use crate::registry::{self, List};
use serde::Deserialize;
use std::net::SocketAddr;
use tulipstall::interface::Terms;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    pub sockets: usize,
}

#[derive(Clone, Debug)]
pub struct Start {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    pub limits: Limits,
    /// The list of hosts as this dispatcher had it last; it may be old.
    pub known: Option<List>,
    pub terms: Terms,
}

#[derive(Deserialize)]
struct Told {
    #[serde(default)]
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: ToldLimits,
    known: Option<serde_json::Value>,
    #[serde(default)]
    settings: serde_json::Value,
}

#[derive(Default, Deserialize)]
struct ToldLimits {
    sockets: Option<usize>,
}

impl Start {
    /// Reads the configuration; a fault is told in plain words.
    pub fn read(text: &str) -> Result<Start, String> {
        let told: Told = serde_json::from_str(text).map_err(|fault| format!("the configuration: {fault}"))?;
        // A seed of another form still makes a start of its own for each dispatcher.
        let seed = u64::from_str_radix(&told.seed, 16).unwrap_or(tulipstall::door::mark(&told.seed));
        Ok(Start {
            name: told.name,
            listen: told.listen,
            discovery: told.discovery,
            seed,
            // What a process may hold where nothing is told: the usual limit of the system.
            limits: Limits { sockets: told.limits.sockets.unwrap_or(1024) },
            // An old list that can't be read is as good as none.
            known: told.known.and_then(|known| registry::parse(&known).ok()),
            terms: crate::terms(&told.settings),
        })
    }
}
