//! Requests, read strictly: what two readers could understand differently is refused (RFC 9112 section 11.2).

use crate::body::{Body, BodyFault};
use http::{HeaderMap, HeaderName, HeaderValue, Method, header};

#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Bytes of the request line and all header lines together.
    pub head: usize,
    /// Bytes of one line of the head.
    pub line: usize,
    pub headers: usize,
    /// Bytes of a body.
    pub body: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { head: 16_384, line: 8192, headers: 64, body: 2 << 20 }
    }
}

/// Why a request is refused; the connection ends with the answer, as what follows cannot be trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    Malformed(&'static str),
    HeadTooLong,
    BodyTooLong,
    /// A transfer coding other than chunked.
    Coding,
    Version,
}

impl Refusal {
    pub fn status(self) -> u16 {
        match self {
            Refusal::Malformed(_) => 400,
            Refusal::HeadTooLong => 431,
            Refusal::BodyTooLong => 413,
            Refusal::Coding => 501,
            Refusal::Version => 505,
        }
    }

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

#[derive(Clone, Debug)]
pub struct Head {
    pub method: Method,
    pub target: String,
    pub headers: HeaderMap,
    pub keep_alive: bool,
    /// HTTP/1.0, which knows no chunks.
    pub old: bool,
}

impl Head {
    /// A header's value as text.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// The target without its query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

#[derive(Debug)]
pub enum Step {
    /// More bytes are needed; whether a request has begun.
    More {
        begun: bool,
    },
    /// The client waits for `100 Continue` before it sends the body.
    Continue,
    Request(Box<Head>, Vec<u8>),
}

/// Takes bytes as they come and gives whole requests in their order.
pub struct RequestReader {
    limits: Limits,
    buffer: Vec<u8>,
    /// How far the head has been searched for its end.
    searched: usize,
    waiting: Option<(Box<Head>, Body, Vec<u8>)>,
    refused: Option<Refusal>,
}

impl RequestReader {
    pub fn new(limits: Limits) -> Self {
        RequestReader { limits, buffer: Vec::new(), searched: 0, waiting: None, refused: None }
    }

    pub fn feed(&mut self, bytes: &[u8]) {
        if self.refused.is_none() {
            self.buffer.extend_from_slice(bytes);
        }
    }

    /// Whether the body of a request is being waited for.
    pub fn in_body(&self) -> bool {
        self.waiting.is_some()
    }

    pub fn poll(&mut self) -> Result<Step, Refusal> {
        if let Some(refused) = self.refused {
            return Err(refused);
        }
        let step = self.step();
        if let Err(refused) = &step {
            self.refused = Some(*refused);
            self.buffer = Vec::new();
        }
        step
    }

    fn step(&mut self) -> Result<Step, Refusal> {
        if self.waiting.is_none() {
            let Some(end) = self.head_end()? else {
                return Ok(Step::More { begun: !self.buffer.is_empty() });
            };
            let (head, body) = parse(&self.buffer[..end], &self.limits)?;
            self.buffer.drain(..end);
            self.searched = 0;
            let expects = head.text("expect").is_some_and(|e| e.eq_ignore_ascii_case("100-continue"));
            let wait = expects && !body.done() && self.buffer.is_empty();
            self.waiting = Some((Box::new(head), body, Vec::new()));
            if wait {
                return Ok(Step::Continue);
            }
        }
        let Some((head, mut body, mut data)) = self.waiting.take() else {
            return Ok(Step::More { begun: false });
        };
        let used = body.take(&self.buffer, &mut data).map_err(|fault| match fault {
            BodyFault::TooLong => Refusal::BodyTooLong,
            BodyFault::Malformed => Refusal::Malformed("the chunked coding is broken"),
        })?;
        self.buffer.drain(..used);
        if body.done() {
            // A request may be held for long, and its connection for longer: neither keeps room that it doesn't use.
            data.shrink_to_fit();
            if self.buffer.is_empty() {
                self.buffer = Vec::new();
            }
            return Ok(Step::Request(head, data));
        }
        self.waiting = Some((head, body, data));
        Ok(Step::More { begun: true })
    }

    /// Where the head ends. Lines end with CR LF only; empty lines before a request are passed over (RFC 9112
    /// section 2.2).
    fn head_end(&mut self) -> Result<Option<usize>, Refusal> {
        let skip = self.buffer.chunks(2).take_while(|two| *two == b"\r\n").count() * 2;
        if skip > 0 {
            self.buffer.drain(..skip);
            self.searched = 0;
        }
        let from = self.searched.saturating_sub(3);
        let found = self.buffer[from..].windows(4).position(|four| four == b"\r\n\r\n");
        let end = found.map_or(self.buffer.len(), |at| from + at + 4);
        if end > self.limits.head {
            return Err(Refusal::HeadTooLong);
        }
        let head = &self.buffer[..end];
        let mut line = 0;
        for (i, byte) in head.iter().enumerate() {
            line = if *byte == b'\n' { 0 } else { line + 1 };
            match byte {
                b'\n' if i == 0 || head[i - 1] != b'\r' => {
                    return Err(Refusal::Malformed("a line ends without CR"));
                }
                b'\r' if head.get(i + 1).is_some_and(|next| *next != b'\n') => {
                    return Err(Refusal::Malformed("a CR stands inside a line"));
                }
                0 => return Err(Refusal::Malformed("the head has a NUL")),
                _ if line > self.limits.line => return Err(Refusal::HeadTooLong),
                _ => {}
            }
        }
        self.searched = self.buffer.len();
        Ok(found.map(|_| end))
    }
}

fn parse(bytes: &[u8], limits: &Limits) -> Result<(Head, Body), Refusal> {
    let mut lines = vec![httparse::EMPTY_HEADER; limits.headers];
    let mut parsed = httparse::Request::new(&mut lines);
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
    for line in parsed.headers.iter() {
        let name = HeaderName::from_bytes(line.name.as_bytes())
            .map_err(|_| Refusal::Malformed("a header's name cannot be read"))?;
        let value = HeaderValue::from_bytes(line.value)
            .map_err(|_| Refusal::Malformed("a header's value cannot be read"))?;
        headers.append(name, value);
    }
    let hosts = headers.get_all(header::HOST).iter().count();
    if hosts > 1 || (version == 1 && hosts == 0) {
        return Err(Refusal::Malformed("one Host header is wanted"));
    }
    let body = framing(&headers, version, limits)?;
    let connection = headers.get_all(header::CONNECTION).iter().filter_map(|value| value.to_str().ok());
    let options: Vec<String> =
        connection.flat_map(|v| v.split(',')).map(|o| o.trim().to_ascii_lowercase()).collect();
    let says = |word: &str| options.iter().any(|option| option == word);
    let keep_alive = !says("close") && (version == 1 || says("keep-alive"));
    Ok((Head { method, target, headers, keep_alive, old: version == 0 }, body))
}

/// How long the body is. Both lengths, two lengths, or odd ones are refused whole (RFC 9112 section 6.3).
fn framing(headers: &HeaderMap, version: u8, limits: &Limits) -> Result<Body, Refusal> {
    let lengths: Vec<&HeaderValue> = headers.get_all(header::CONTENT_LENGTH).iter().collect();
    let codings: Vec<&HeaderValue> = headers.get_all(header::TRANSFER_ENCODING).iter().collect();
    match (lengths.as_slice(), codings.as_slice()) {
        ([], []) => Ok(Body::none()),
        ([], [coding]) if version == 1 => match coding.as_bytes() {
            coding if coding.eq_ignore_ascii_case(b"chunked") => Ok(Body::chunked(limits.body as u64)),
            _ => Err(Refusal::Coding),
        },
        ([length], []) => {
            let digits = length.as_bytes();
            if digits.is_empty() || digits.len() > 18 || !digits.iter().all(u8::is_ascii_digit) {
                return Err(Refusal::Malformed("the length is not a number"));
            }
            let text = length.to_str().map_err(|_| Refusal::Malformed("the length is not a number"))?;
            let bytes = text.parse().map_err(|_| Refusal::Malformed("the length is not a number"))?;
            Body::length(bytes, limits.body as u64).map_err(|_| Refusal::BodyTooLong)
        }
        _ => Err(Refusal::Malformed("the body's length is told in two ways")),
    }
}
