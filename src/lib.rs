//! tulipstall: pairs prompt readers with answer writers by pending tokens.

pub mod door;
pub mod interface;
mod release;
pub mod rules;
mod state;

pub use rules::Rules;
