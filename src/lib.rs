//! The decision logic of the tulipstall dispatcher, a router in front of model servers. For each request it picks a reader,
//! which computes the state (KV cache) of the prompt, and a writer, which fetches that state and streams the answer. Servers
//! are compared by their pending tokens.

pub mod interface;
pub mod names;
mod release;
pub mod rules;
mod state;

pub use rules::Rules;
