//! What stands around a dispatcher to try it: clients, stand-in fleets, load, scripted days.

pub mod client;
pub mod day;
pub mod demo;
pub mod fleet;
pub mod load;
pub mod vary;
