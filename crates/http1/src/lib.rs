//! Codecs for HTTP/1.1 messages (RFC 9112) and server-sent events (WHATWG HTML, section 9.2): bytes in, messages
//! out. The crate performs no I/O and reads no clock; the caller's limits bound the memory that each reader uses.

pub mod body;
pub mod request;
pub mod response;
pub mod sse;

pub use body::BodyDecoder;
pub use request::{Limits, RequestError, RequestEvent, RequestHead, RequestReader};
pub use response::{ResponseHead, ResponseReader};
