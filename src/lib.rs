//! tulipstall: pairs prompt readers with answer writers by pending tokens.

#![warn(clippy::all)]

pub mod door;
pub mod interface;
pub mod rules;

pub use rules::Rules;
