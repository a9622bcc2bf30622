//! Strict reading of HTTP requests: whatever two parsers could read differently is rejected, as it would allow request
//! smuggling (RFC 9112 section 11.2).

use crate::body::{BodyDecoder, BodyError, doubled_capacity};
use http::{HeaderMap, HeaderName, HeaderValue, Method, header};

/// Size limits for one request or response.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Bytes of the start line and all header lines together.
    pub max_head_bytes: usize,
    /// Bytes of one line of the head.
    pub max_line_bytes: usize,
    /// Number of header lines.
    pub max_header_lines: usize,
    /// Bytes of a body.
    pub max_body_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { max_head_bytes: 16_384, max_line_bytes: 8192, max_header_lines: 64, max_body_bytes: 2 << 20 }
    }
}

/// Why a request is rejected. The connection is closed after the response: where the next request would begin is not
/// known for certain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestError {
    Malformed(&'static str),
    HeadTooLong,
    BodyTooLong,
    /// A transfer coding other than chunked.
    UnsupportedCoding,
    /// An HTTP version other than 1.0 and 1.1.
    UnsupportedVersion,
}

impl RequestError {
    /// The status code of the response.
    pub fn status(self) -> u16 {
        match self {
            RequestError::Malformed(_) => 400,
            RequestError::HeadTooLong => 431,
            RequestError::BodyTooLong => 413,
            RequestError::UnsupportedCoding => 501,
            RequestError::UnsupportedVersion => 505,
        }
    }

    /// The reason, as sent to the client.
    pub fn reason(self) -> &'static str {
        match self {
            RequestError::Malformed(reason) => reason,
            RequestError::HeadTooLong => "the request's head is too long",
            RequestError::BodyTooLong => "the request's body is too long",
            RequestError::UnsupportedCoding => "only the chunked transfer coding is known",
            RequestError::UnsupportedVersion => "only HTTP/1.0 and HTTP/1.1 are spoken",
        }
    }
}

/// Memory of a parsed header line beside its text: its entry in the map, and two allocations.
const HEADER_LINE_OVERHEAD_BYTES: usize = 192;

/// The request line and headers of a request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    pub method: Method,
    pub target: String,
    pub headers: HeaderMap,
    /// Whether the client wants the connection to stay open.
    pub keep_alive: bool,
    /// The request is HTTP/1.0, which has no chunked coding.
    pub http10: bool,
}

impl RequestHead {
    /// A header's value, if it is visible ASCII text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Estimate of the memory that the head occupies, in bytes.
    pub fn memory_bytes(&self) -> usize {
        let lines = self.headers.iter().map(|(name, value)| name.as_str().len() + value.len());
        self.target.len() + lines.map(|text_bytes| text_bytes + HEADER_LINE_OVERHEAD_BYTES).sum::<usize>()
    }

    /// The request target without its query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

/// What [`RequestReader::poll`] found.
#[derive(Debug)]
pub enum RequestEvent {
    /// More bytes are needed.
    NeedMore {
        /// Whether part of a request has been received.
        begun: bool,
    },
    /// The client waits for `100 Continue` before it sends the body.
    Continue,
    /// A complete request with its body.
    Request(Box<RequestHead>, Vec<u8>),
}

/// Incremental reader of the requests on one connection, pipelined ones included.
pub struct RequestReader {
    limits: Limits,
    buffer: Vec<u8>,
    /// How many bytes of the buffer have been searched for the end of the head.
    searched: usize,
    /// Bytes of empty lines that were skipped before the next request.
    skipped: usize,
    /// A request whose body is not complete yet, with the data so far.
    pending: Option<(Box<RequestHead>, BodyDecoder, Vec<u8>)>,
    error: Option<RequestError>,
}

impl RequestReader {
    pub fn new(limits: Limits) -> Self {
        RequestReader { limits, buffer: Vec::new(), searched: 0, skipped: 0, pending: None, error: None }
    }

    /// Adds received bytes. They are ignored after an error.
    pub fn feed(&mut self, bytes: &[u8]) {
        if self.error.is_none() {
            self.buffer.extend_from_slice(bytes);
        }
    }

    /// Memory that the request being received may occupy once up to `more` bytes have arrived, in bytes.
    pub fn memory_bytes_after(&self, more: usize) -> usize {
        let pending_bytes = self.pending.as_ref().map_or(0, |(head, body, data)| {
            head.memory_bytes() + body.capacity_after(data.len(), data.capacity(), more)
        });
        pending_bytes + doubled_capacity(self.buffer.len(), self.buffer.capacity(), more)
    }

    /// Whether a head has been read and its body is incomplete.
    pub fn in_body(&self) -> bool {
        self.pending.is_some()
    }

    /// The next request or what is missing for it. After an error every call returns that error.
    pub fn poll(&mut self) -> Result<RequestEvent, RequestError> {
        if let Some(error) = self.error {
            return Err(error);
        }
        let step = self.step();
        if let Err(error) = &step {
            self.error = Some(*error);
            self.buffer = Vec::new();
        }
        step
    }

    fn step(&mut self) -> Result<RequestEvent, RequestError> {
        if self.pending.is_none() {
            let Some(end) = self.head_end()? else {
                return Ok(RequestEvent::NeedMore { begun: !self.buffer.is_empty() });
            };
            let (head, body) = parse(&self.buffer[..end], &self.limits)?;
            self.buffer.drain(..end);
            (self.searched, self.skipped) = (0, 0);
            let expects_continue =
                head.header("expect").is_some_and(|e| e.eq_ignore_ascii_case("100-continue"));
            let awaits_continue = expects_continue && !body.is_done() && self.buffer.is_empty();
            self.pending = Some((Box::new(head), body, Vec::new()));
            if awaits_continue {
                return Ok(RequestEvent::Continue);
            }
        }
        let Some((head, mut body, mut data)) = self.pending.take() else {
            return Ok(RequestEvent::NeedMore { begun: false });
        };
        let used = body.decode(&self.buffer, &mut data).map_err(|error| match error {
            BodyError::TooLong => RequestError::BodyTooLong,
            BodyError::Malformed => RequestError::Malformed("the chunked coding is broken"),
        })?;
        self.buffer.drain(..used);
        if body.is_done() {
            // Requests and idle connections may live long: unused buffer capacity is freed.
            data.shrink_to_fit();
            if self.buffer.is_empty() {
                self.buffer = Vec::new();
            }
            return Ok(RequestEvent::Request(head, data));
        }
        self.pending = Some((head, body, data));
        Ok(RequestEvent::NeedMore { begun: true })
    }

    /// The length of the head, or `None` while it is incomplete. Lines must end with CR LF; empty lines before a
    /// request are skipped (RFC 9112 section 2.2), as many as a head may have bytes.
    fn head_end(&mut self) -> Result<Option<usize>, RequestError> {
        let skip = self.buffer.chunks(2).take_while(|pair| *pair == b"\r\n").count() * 2;
        if skip > 0 {
            self.buffer.drain(..skip);
            self.searched = 0;
            self.skipped += skip;
            if self.skipped > self.limits.max_head_bytes {
                return Err(RequestError::Malformed("too many empty lines"));
            }
        }
        let from = self.searched.saturating_sub(3);
        let found = self.buffer[from..].windows(4).position(|window| window == b"\r\n\r\n");
        let end = found.map_or(self.buffer.len(), |at| from + at + 4);
        if end > self.limits.max_head_bytes {
            return Err(RequestError::HeadTooLong);
        }
        let head = &self.buffer[..end];
        let mut line_bytes = 0;
        for (i, byte) in head.iter().enumerate() {
            line_bytes = if *byte == b'\n' { 0 } else { line_bytes + 1 };
            match byte {
                b'\n' if i == 0 || head[i - 1] != b'\r' => {
                    return Err(RequestError::Malformed("a line ends without CR"));
                }
                b'\r' if head.get(i + 1).is_some_and(|next| *next != b'\n') => {
                    return Err(RequestError::Malformed("a CR stands inside a line"));
                }
                0 => return Err(RequestError::Malformed("the head has a NUL")),
                _ if line_bytes > self.limits.max_line_bytes => return Err(RequestError::HeadTooLong),
                _ => {}
            }
        }
        self.searched = self.buffer.len();
        Ok(found.map(|_| end))
    }
}

fn parse(bytes: &[u8], limits: &Limits) -> Result<(RequestHead, BodyDecoder), RequestError> {
    let mut header_slots = vec![httparse::EMPTY_HEADER; limits.max_header_lines];
    let mut parsed = httparse::Request::new(&mut header_slots);
    match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(used)) if used == bytes.len() => {}
        Ok(_) => return Err(RequestError::Malformed("the head is cut short")),
        Err(httparse::Error::TooManyHeaders) => return Err(RequestError::HeadTooLong),
        Err(httparse::Error::Version) => return Err(RequestError::UnsupportedVersion),
        Err(_) => return Err(RequestError::Malformed("the head cannot be read")),
    }
    let version = parsed.version.unwrap_or(1);
    let method = Method::from_bytes(parsed.method.unwrap_or_default().as_bytes())
        .map_err(|_| RequestError::Malformed("the method cannot be read"))?;
    let target = parsed.path.unwrap_or_default().to_owned();
    let mut headers = HeaderMap::with_capacity(parsed.headers.len());
    for field in parsed.headers.iter() {
        let name = HeaderName::from_bytes(field.name.as_bytes())
            .map_err(|_| RequestError::Malformed("a header's name cannot be read"))?;
        let value = HeaderValue::from_bytes(field.value)
            .map_err(|_| RequestError::Malformed("a header's value cannot be read"))?;
        headers.append(name, value);
    }
    let hosts = headers.get_all(header::HOST).iter().count();
    if hosts > 1 || (version == 1 && hosts == 0) {
        return Err(RequestError::Malformed("one Host header is wanted"));
    }
    let body = body_framing(&headers, version, limits)?;
    let connection = headers.get_all(header::CONNECTION).iter().filter_map(|value| value.to_str().ok());
    let options: Vec<String> =
        connection.flat_map(|v| v.split(',')).map(|option| option.trim().to_ascii_lowercase()).collect();
    let has_option = |word: &str| options.iter().any(|option| option == word);
    let keep_alive = !has_option("close") && (version == 1 || has_option("keep-alive"));
    Ok((RequestHead { method, target, headers, keep_alive, http10: version == 0 }, body))
}

/// How the body is delimited. A request with both Content-Length and Transfer-Encoding, with either of them repeated,
/// or with an invalid length is rejected (RFC 9112 section 6.3).
fn body_framing(headers: &HeaderMap, version: u8, limits: &Limits) -> Result<BodyDecoder, RequestError> {
    let lengths: Vec<&HeaderValue> = headers.get_all(header::CONTENT_LENGTH).iter().collect();
    let codings: Vec<&HeaderValue> = headers.get_all(header::TRANSFER_ENCODING).iter().collect();
    match (lengths.as_slice(), codings.as_slice()) {
        ([], []) => Ok(BodyDecoder::none()),
        ([], [coding]) if version == 1 => match coding.as_bytes() {
            coding if coding.eq_ignore_ascii_case(b"chunked") => {
                Ok(BodyDecoder::chunked(limits.max_body_bytes as u64))
            }
            _ => Err(RequestError::UnsupportedCoding),
        },
        ([length], []) => {
            let digits = length.as_bytes();
            if digits.is_empty() || digits.len() > 18 || !digits.iter().all(u8::is_ascii_digit) {
                return Err(RequestError::Malformed("the length is not a number"));
            }
            let text = length.to_str().map_err(|_| RequestError::Malformed("the length is not a number"))?;
            let bytes = text.parse().map_err(|_| RequestError::Malformed("the length is not a number"))?;
            BodyDecoder::length(bytes, limits.max_body_bytes as u64).map_err(|_| RequestError::BodyTooLong)
        }
        _ => Err(RequestError::Malformed("the body's length is told in two ways")),
    }
}
