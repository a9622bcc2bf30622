//! Test infrastructure around a dispatcher: clients, groups of stand-in hosts, load, scripted runs.

pub mod client;
pub mod day;
pub mod demo;
pub mod fleet;
pub mod load;
pub mod vary;
