//! The configuration of a dispatcher, read at start and again when a reload is requested.

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
    /// The last host list that this dispatcher had; it may be out of date.
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
    /// Parses the configuration; the error text names the fault.
    pub fn read(text: &str) -> Result<Start, String> {
        let told: Told = serde_json::from_str(text).map_err(|fault| format!("the configuration: {fault}"))?;
        // A seed that is not hexadecimal is hashed, so that each dispatcher still gets a seed of its own.
        let seed = u64::from_str_radix(&told.seed, 16).unwrap_or(tulipstall::door::mark(&told.seed));
        Ok(Start {
            name: told.name,
            listen: told.listen,
            discovery: told.discovery,
            seed,
            // The usual descriptor limit of the system, for a configuration that gives none.
            limits: Limits { sockets: told.limits.sockets.unwrap_or(1024) },
            // A cached list that cannot be read is ignored.
            known: told.known.and_then(|known| registry::parse(&known).ok()),
            terms: crate::terms(&told.settings),
        })
    }
}
