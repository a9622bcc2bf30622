//! The configuration of a dispatcher, read at start and again when a reload is requested.

use crate::registry::{self, List};
use serde::Deserialize;
use std::net::SocketAddr;
use tulipstall::interface::Config;

/// Resource limits of the process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Descriptors that the process may hold.
    pub sockets: usize,
    /// Memory in MiB above which the process is killed.
    pub memory_mb: usize,
}

/// The usual descriptor limit of the system, for a configuration that gives none.
const DEFAULT_SOCKETS: usize = 1024;
/// The most that the platform grants in service, for a configuration that gives no memory limit.
const DEFAULT_MEMORY_MB: usize = 192;

/// A parsed start configuration.
#[derive(Clone, Debug)]
pub struct StartConfig {
    pub name: String,
    pub listen: SocketAddr,
    /// Address of the registry.
    pub discovery: SocketAddr,
    pub seed: u64,
    pub limits: Limits,
    /// The last host list that this dispatcher had; it may be out of date.
    pub last_list: Option<List>,
    /// The remaining settings as dotted names.
    pub config: Config,
}

#[derive(Deserialize)]
struct RawConfig {
    #[serde(default)]
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: RawLimits,
    known: Option<serde_json::Value>,
    #[serde(default)]
    settings: serde_json::Value,
}

#[derive(Default, Deserialize)]
struct RawLimits {
    sockets: Option<usize>,
    memory_mb: Option<usize>,
}

impl StartConfig {
    /// Parses the configuration; the error text names the fault.
    pub fn parse(text: &str) -> Result<StartConfig, String> {
        let config: RawConfig =
            serde_json::from_str(text).map_err(|error| format!("the configuration: {error}"))?;
        // A seed that is not hexadecimal is hashed, so that each dispatcher still gets a seed of its own.
        let seed =
            u64::from_str_radix(&config.seed, 16).unwrap_or(tulipstall::names::name_hash(&config.seed));
        Ok(StartConfig {
            name: config.name,
            listen: config.listen,
            discovery: config.discovery,
            seed,
            limits: Limits {
                sockets: config.limits.sockets.unwrap_or(DEFAULT_SOCKETS),
                memory_mb: config.limits.memory_mb.unwrap_or(DEFAULT_MEMORY_MB),
            },
            // A cached list that cannot be read is ignored.
            last_list: config.known.and_then(|known| registry::parse_value(&known).ok()),
            config: crate::parse_config(&config.settings),
        })
    }
}
