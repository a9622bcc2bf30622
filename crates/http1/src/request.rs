//! Strict reading of HTTP requests: whatever two parsers could read differently is rejected, as it would allow request
//! smuggling (RFC 9112 section 11.2).

use crate::body::{BodyDecoder, BodyError};
use http::{HeaderMap, HeaderName, HeaderValue, Method, header};

/// Size limits for one request or response.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Bytes of the start line and all header lines together.
    pub head: usize,
    /// Bytes of one line of the head.
    pub line: usize,
    /// Number of header lines.
    pub headers: usize,
    /// Bytes of a body.
    pub body: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { head: 16_384, line: 8192, headers: 64, body: 2 << 20 }
    }
}

/// Why a request is rejected. The connection is closed after the response: where the next request would begin is not
/// known for certain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    Malformed(&'static str),
    HeadTooLong,
    BodyTooLong,
    /// A transfer coding other than chunked.
    Coding,
    /// An HTTP version other than 1.0 and 1.1.
    Version,
}

impl Refusal {
    /// The status code of the response.
    pub fn status(self) -> u16 {
        match self {
            Refusal::Malformed(_) => 400,
            Refusal::HeadTooLong => 431,
            Refusal::BodyTooLong => 413,
            Refusal::Coding => 501,
            Refusal::Version => 505,
        }
    }

    /// The reason, as sent to the client.
    pub fn why(self) -> &'static str {
        match self {
            Refusal::Malformed(why) => why,
            Refusal::HeadTooLong => "the request's head is too long",
            Refusal::BodyTooLong => "the request's body is too long",
            Refusal::Coding => "only the chunked transfer coding is known",
            Refusal::Version => "only HTTP/1.0 and HTTP/1.1 are spoken",
        }
    }
}

/// The request line and headers of a request.
#[derive(Clone, Debug)]
pub struct Head {
    pub method: Method,
    pub target: String,
    pub headers: HeaderMap,
    /// Whether the client wants the connection to stay open.
    pub keep_alive: bool,
    /// The request is HTTP/1.0, which has no chunked coding.
    pub http10: bool,
}

impl Head {
    /// A header's value, if it is visible ASCII text.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// The request target without its query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

/// What [`RequestReader::poll`] found.
#[derive(Debug)]
pub enum Step {
    /// More bytes are needed.
    More {
        /// Whether part of a request has been received.
        begun: bool,
    },
    /// The client waits for `100 Continue` before it sends the body.
    Continue,
    /// A complete request with its body.
    Request(Box<Head>, Vec<u8>),
}

/// Incremental reader of the requests on one connection, pipelined ones included.
pub struct RequestReader {
    limits: Limits,
    buffer: Vec<u8>,
    /// How many bytes of the buffer have been searched for the end of the head.
    searched: usize,
    /// A request whose body is not complete yet, with the data so far.
    pending: Option<(Box<Head>, BodyDecoder, Vec<u8>)>,
    refusal: Option<Refusal>,
}

impl RequestReader {
    pub fn new(limits: Limits) -> Self {
        RequestReader { limits, buffer: Vec::new(), searched: 0, pending: None, refusal: None }
    }

    /// Adds received bytes. They are ignored after a refusal.
    pub fn feed(&mut self, bytes: &[u8]) {
        if self.refusal.is_none() {
            self.buffer.extend_from_slice(bytes);
        }
    }

    /// Whether a head has been read and its body is incomplete.
    pub fn in_body(&self) -> bool {
        self.pending.is_some()
    }

    /// The next request or what is missing for it. After a refusal every call returns that refusal.
    pub fn poll(&mut self) -> Result<Step, Refusal> {
        if let Some(refusal) = self.refusal {
            return Err(refusal);
        }
        let step = self.step();
        if let Err(refusal) = &step {
            self.refusal = Some(*refusal);
            self.buffer = Vec::new();
        }
        step
    }

    fn step(&mut self) -> Result<Step, Refusal> {
        if self.pending.is_none() {
            let Some(end) = self.head_end()? else {
                return Ok(Step::More { begun: !self.buffer.is_empty() });
            };
            let (head, body) = parse(&self.buffer[..end], &self.limits)?;
            self.buffer.drain(..end);
            self.searched = 0;
            let expects_continue =
                head.text("expect").is_some_and(|e| e.eq_ignore_ascii_case("100-continue"));
            let awaits_continue = expects_continue && !body.is_done() && self.buffer.is_empty();
            self.pending = Some((Box::new(head), body, Vec::new()));
            if awaits_continue {
                return Ok(Step::Continue);
            }
        }
        let Some((head, mut body, mut data)) = self.pending.take() else {
            return Ok(Step::More { begun: false });
        };
        let used = body.decode(&self.buffer, &mut data).map_err(|error| match error {
            BodyError::TooLong => Refusal::BodyTooLong,
            BodyError::Malformed => Refusal::Malformed("the chunked coding is broken"),
        })?;
        self.buffer.drain(..used);
        if body.is_done() {
            // Requests and idle connections may live long: unused buffer capacity is freed.
            data.shrink_to_fit();
            if self.buffer.is_empty() {
                self.buffer = Vec::new();
            }
            return Ok(Step::Request(head, data));
        }
        self.pending = Some((head, body, data));
        Ok(Step::More { begun: true })
    }

    /// The length of the head, or `None` while it is incomplete. Lines must end with CR LF; empty lines before a
    /// request are skipped (RFC 9112 section 2.2).
    fn head_end(&mut self) -> Result<Option<usize>, Refusal> {
        let skip = self.buffer.chunks(2).take_while(|pair| *pair == b"\r\n").count() * 2;
        if skip > 0 {
            self.buffer.drain(..skip);
            self.searched = 0;
        }
        let from = self.searched.saturating_sub(3);
        let found = self.buffer[from..].windows(4).position(|window| window == b"\r\n\r\n");
        let end = found.map_or(self.buffer.len(), |at| from + at + 4);
        if end > self.limits.head {
            return Err(Refusal::HeadTooLong);
        }
        let head = &self.buffer[..end];
        let mut line_bytes = 0;
        for (i, byte) in head.iter().enumerate() {
            line_bytes = if *byte == b'\n' { 0 } else { line_bytes + 1 };
            match byte {
                b'\n' if i == 0 || head[i - 1] != b'\r' => {
                    return Err(Refusal::Malformed("a line ends without CR"));
                }
                b'\r' if head.get(i + 1).is_some_and(|next| *next != b'\n') => {
                    return Err(Refusal::Malformed("a CR stands inside a line"));
                }
                0 => return Err(Refusal::Malformed("the head has a NUL")),
                _ if line_bytes > self.limits.line => return Err(Refusal::HeadTooLong),
                _ => {}
            }
        }
        self.searched = self.buffer.len();
        Ok(found.map(|_| end))
    }
}

fn parse(bytes: &[u8], limits: &Limits) -> Result<(Head, BodyDecoder), Refusal> {
    let mut header_slots = vec![httparse::EMPTY_HEADER; limits.headers];
    let mut parsed = httparse::Request::new(&mut header_slots);
    match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(used)) if used == bytes.len() => {}
        Ok(_) => return Err(Refusal::Malformed("the head is cut short")),
        Err(httparse::Error::TooManyHeaders) => return Err(Refusal::HeadTooLong),
        Err(httparse::Error::Version) => return Err(Refusal::Version),
        Err(_) => return Err(Refusal::Malformed("the head cannot be read")),
    }
    let version = parsed.version.unwrap_or(1);
    let method = Method::from_bytes(parsed.method.unwrap_or_default().as_bytes())
        .map_err(|_| Refusal::Malformed("the method cannot be read"))?;
    let target = parsed.path.unwrap_or_default().to_owned();
    let mut headers = HeaderMap::with_capacity(parsed.headers.len());
    for field in parsed.headers.iter() {
        let name = HeaderName::from_bytes(field.name.as_bytes())
            .map_err(|_| Refusal::Malformed("a header's name cannot be read"))?;
        let value = HeaderValue::from_bytes(field.value)
            .map_err(|_| Refusal::Malformed("a header's value cannot be read"))?;
        headers.append(name, value);
    }
    let hosts = headers.get_all(header::HOST).iter().count();
    if hosts > 1 || (version == 1 && hosts == 0) {
        return Err(Refusal::Malformed("one Host header is wanted"));
    }
    let body = body_framing(&headers, version, limits)?;
    let connection = headers.get_all(header::CONNECTION).iter().filter_map(|value| value.to_str().ok());
    let options: Vec<String> =
        connection.flat_map(|v| v.split(',')).map(|option| option.trim().to_ascii_lowercase()).collect();
    let has_option = |word: &str| options.iter().any(|option| option == word);
    let keep_alive = !has_option("close") && (version == 1 || has_option("keep-alive"));
    Ok((Head { method, target, headers, keep_alive, http10: version == 0 }, body))
}

/// How the body is delimited. A request with both Content-Length and Transfer-Encoding, with either of them repeated,
/// or with an invalid length is rejected (RFC 9112 section 6.3).
fn body_framing(headers: &HeaderMap, version: u8, limits: &Limits) -> Result<BodyDecoder, Refusal> {
    let lengths: Vec<&HeaderValue> = headers.get_all(header::CONTENT_LENGTH).iter().collect();
    let codings: Vec<&HeaderValue> = headers.get_all(header::TRANSFER_ENCODING).iter().collect();
    match (lengths.as_slice(), codings.as_slice()) {
        ([], []) => Ok(BodyDecoder::none()),
        ([], [coding]) if version == 1 => match coding.as_bytes() {
            coding if coding.eq_ignore_ascii_case(b"chunked") => Ok(BodyDecoder::chunked(limits.body as u64)),
            _ => Err(Refusal::Coding),
        },
        ([length], []) => {
            let digits = length.as_bytes();
            if digits.is_empty() || digits.len() > 18 || !digits.iter().all(u8::is_ascii_digit) {
                return Err(Refusal::Malformed("the length is not a number"));
            }
            let text = length.to_str().map_err(|_| Refusal::Malformed("the length is not a number"))?;
            let bytes = text.parse().map_err(|_| Refusal::Malformed("the length is not a number"))?;
            BodyDecoder::length(bytes, limits.body as u64).map_err(|_| Refusal::BodyTooLong)
        }
        _ => Err(Refusal::Malformed("the body's length is told in two ways")),
    }
}
