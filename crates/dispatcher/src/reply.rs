//! Response heads and complete responses for clients.

use std::fmt::Write;
use std::time::Duration;
use tulipstall_messages::{ApiError, ErrorKind};

/// Reason phrases of the status codes in use. They are optional (RFC 9112 section 4).
fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        529 => "Overloaded",
        _ => "",
    }
}

/// What a response's head contains besides status and content type.
#[derive(Clone, Copy, Default)]
pub struct ResponseOptions<'a> {
    pub request_id: &'a str,
    pub keep_alive: bool,
    /// Whether the client should retry by itself, and after how long.
    pub should_retry: Option<bool>,
    pub retry_after: Option<Duration>,
}

/// A response's head up to its common headers, without the empty line that ends it.
pub fn head(status: u16, content_type: &str, options: ResponseOptions) -> String {
    // Writing to a string cannot fail, so the results are ignored.
    let mut head = format!("HTTP/1.1 {status} {}\r\ncontent-type: {content_type}\r\n", reason(status));
    if !options.request_id.is_empty() {
        let _ = write!(head, "request-id: {}\r\n", options.request_id);
    }
    if let Some(should) = options.should_retry {
        let _ = write!(head, "x-should-retry: {should}\r\n");
    }
    if let Some(after) = options.retry_after {
        let ms = after.as_millis();
        let _ = write!(head, "retry-after: {}\r\nretry-after-ms: {ms}\r\n", ms.div_ceil(1000));
    }
    if !options.keep_alive {
        head.push_str("connection: close\r\n");
    }
    head
}

/// A complete response with its length.
pub fn complete(status: u16, content_type: &str, options: ResponseOptions, body: &str) -> Vec<u8> {
    let mut head = head(status, content_type, options);
    let _ = write!(head, "content-length: {}\r\n\r\n{body}", body.len());
    head.into_bytes()
}

/// A complete 200 response with a JSON body.
pub fn json(options: ResponseOptions, body: &str) -> Vec<u8> {
    complete(200, "application/json", options, body)
}

/// An error of the messages API.
pub fn error(error: &ApiError, options: ResponseOptions) -> Vec<u8> {
    complete(error.kind.status(), "application/json", options, &error.body(options.request_id))
}

/// An error of the HTTP layer, in the messages API's error format.
pub fn refusal(status: u16, why: &str, options: ResponseOptions) -> Vec<u8> {
    let kind = match status {
        413 => ErrorKind::TooLarge,
        404 => ErrorKind::NotFound,
        _ => ErrorKind::InvalidRequest,
    };
    complete(status, "application/json", options, &ApiError::new(kind, why).body(options.request_id))
}
