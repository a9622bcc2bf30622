//! The platform's protocol as codecs: the start configuration, the registry's host lists, clients' requests
//! and hosts' answers. Performs no I/O, reads no clock and draws no random numbers; every operation is
//! bounded.

pub mod age;
pub mod call;
mod config;
pub mod host;
pub mod ids;
pub mod memory_budget;
pub mod registry;
pub mod release;
pub mod reuse;
pub mod socket_budget;
pub mod start;
pub mod timeouts;

pub use config::parse_config;
