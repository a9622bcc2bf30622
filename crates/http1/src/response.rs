//! HTTP responses of model servers, read with the same limits and as strictly as requests.

use crate::body::{BodyDecoder, BodyError};
use crate::request::Limits;
use http::{HeaderMap, HeaderName, HeaderValue, header};

/// The status line and headers of a response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    pub status: u16,
    pub headers: HeaderMap,
    /// Whether the connection stays open after this response.
    pub keep_alive: bool,
}

impl ResponseHead {
    /// A header's value, if it is visible ASCII text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// The received bytes are no valid response; holds the reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MalformedResponse(pub &'static str);

/// Incremental reader of one response. Feed it the received bytes, read the head until it is there, then the body.
pub struct ResponseReader {
    limits: Limits,
    buffer: Vec<u8>,
    body: Option<BodyDecoder>,
    keep_alive: bool,
    has_received_data: bool,
}

impl ResponseReader {
    pub fn new(limits: Limits) -> Self {
        ResponseReader { limits, buffer: Vec::new(), body: None, keep_alive: false, has_received_data: false }
    }

    pub fn feed(&mut self, bytes: &[u8]) {
        self.has_received_data |= !bytes.is_empty();
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether any byte has been received.
    pub fn has_received_data(&self) -> bool {
        self.has_received_data
    }

    /// Whether bytes have arrived that [`ResponseReader::head`] has not consumed and that do not begin an interim (1xx)
    /// response.
    pub fn has_final_head_begun(&self) -> bool {
        let after_version = self.buffer.strip_prefix(b"HTTP/1.").and_then(|rest| rest.get(1..));
        let begins_interim = after_version.is_some_and(|rest| rest.starts_with(b" 1"));
        !self.buffer.is_empty() && !begins_interim
    }

    /// The response's head, or `None` if more bytes are needed. Interim (1xx) responses are skipped.
    pub fn head(&mut self) -> Result<Option<ResponseHead>, MalformedResponse> {
        loop {
            let found = self.buffer.windows(4).position(|window| window == b"\r\n\r\n");
            let Some(end) = found.map(|at| at + 4) else {
                let too_long = self.buffer.len() > self.limits.max_head_bytes;
                // Anything else than HTTP is rejected at its first bytes, not only when it exceeds the head's limit.
                let not_http = self.buffer.len() >= 5 && !self.buffer.starts_with(b"HTTP/");
                return if too_long || not_http {
                    Err(MalformedResponse("no response head within the limit, or not HTTP"))
                } else {
                    Ok(None)
                };
            };
            if end > self.limits.max_head_bytes {
                return Err(MalformedResponse("the response head exceeds the limit"));
            }
            let head = self.parse(end)?;
            self.buffer.drain(..end);
            // Interim responses are skipped (RFC 9110 section 15.2).
            if !(100..200).contains(&head.status) {
                return Ok(Some(head));
            }
        }
    }

    fn parse(&mut self, end: usize) -> Result<ResponseHead, MalformedResponse> {
        let mut header_slots = vec![httparse::EMPTY_HEADER; self.limits.max_header_lines];
        let mut parsed = httparse::Response::new(&mut header_slots);
        if !matches!(parsed.parse(&self.buffer[..end]), Ok(httparse::Status::Complete(_))) {
            return Err(MalformedResponse("the response head cannot be parsed"));
        }
        let status = parsed.code.unwrap_or(0);
        let mut headers = HeaderMap::with_capacity(parsed.headers.len());
        for field in parsed.headers.iter() {
            let name = HeaderName::from_bytes(field.name.as_bytes())
                .map_err(|_| MalformedResponse("a header name is invalid"))?;
            let value = HeaderValue::from_bytes(field.value)
                .map_err(|_| MalformedResponse("a header value is invalid"))?;
            headers.append(name, value);
        }
        let limit = self.limits.max_body_bytes as u64;
        let length =
            headers.get(header::CONTENT_LENGTH).map(|v| v.to_str().ok().and_then(|v| v.parse().ok()));
        let coding = headers.get(header::TRANSFER_ENCODING);
        let body = match (length, coding) {
            _ if status == 204 || status == 304 || (100..200).contains(&status) => BodyDecoder::none(),
            (None, Some(coding)) if coding.as_bytes().eq_ignore_ascii_case(b"chunked") => {
                BodyDecoder::chunked(limit)
            }
            (Some(Some(bytes)), None) => BodyDecoder::length(bytes, limit)
                .map_err(|_| MalformedResponse("content-length exceeds the limit"))?,
            (None, None) => BodyDecoder::until_close(limit),
            _ => return Err(MalformedResponse("content-length or transfer-encoding is invalid")),
        };
        let close =
            headers.get(header::CONNECTION).is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"close"));
        self.keep_alive = !close && parsed.version == Some(1) && body != BodyDecoder::until_close(limit);
        self.body = Some(body);
        Ok(ResponseHead { status, headers, keep_alive: self.keep_alive })
    }

    /// Appends the body data received so far to `out`. True once the body is complete.
    pub fn body(&mut self, out: &mut Vec<u8>) -> Result<bool, MalformedResponse> {
        let Some(body) = &mut self.body else { return Ok(false) };
        let used = body.decode(&self.buffer, out).map_err(|error| match error {
            BodyError::TooLong => MalformedResponse("the response body exceeds the limit"),
            BodyError::Malformed => MalformedResponse("the chunked coding is invalid"),
        })?;
        self.buffer.drain(..used);
        Ok(body.is_done())
    }

    /// Whether the response is complete if the connection ends now.
    pub fn ends_with_connection(&self) -> bool {
        self.body.is_some_and(|body| body.ends_with_connection())
    }

    /// Whether the connection can serve another request: the response has been read to its end and no bytes follow it.
    pub fn is_reusable(&self) -> bool {
        self.keep_alive && self.buffer.is_empty() && self.body.is_some_and(|body| body.is_done())
    }
}
