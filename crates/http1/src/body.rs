//! Message bodies, delimited by length, by chunked coding or by the end of the connection (RFC 9112 sections 6 and 7).

/// Maximum length of a chunk's size line with its extensions; longer lines are rejected. The size itself has at most
/// 16 digits.
const MAX_SIZE_LINE_BYTES: usize = 256;
/// Maximum length of all trailer lines together.
const MAX_TRAILER_BYTES: usize = 4096;

/// Why a body cannot be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// The declared length or the received data exceeds the limit.
    TooLong,
    /// The chunked coding is invalid.
    Malformed,
}

/// What the chunked decoder expects next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChunkState {
    Size,
    /// Data bytes left in the current chunk.
    Data(u64),
    /// The CR LF after a chunk's data.
    DataEnd,
    /// A trailer line; holds the bytes that all further trailer lines may take.
    Trailer(usize),
}

/// Incremental decoder of one message body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyDecoder {
    framing: Framing,
    /// How many more body bytes the limit allows, for chunked and connection-delimited bodies.
    remaining_limit: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length(u64),
    Chunked(ChunkState),
    UntilClose,
    Done,
}

impl BodyDecoder {
    /// A message without a body.
    pub fn none() -> Self {
        BodyDecoder { framing: Framing::Done, remaining_limit: 0 }
    }

    /// A body of `bytes` bytes.
    pub fn length(bytes: u64, limit: u64) -> Result<Self, BodyError> {
        let framing = if bytes == 0 { Framing::Done } else { Framing::Length(bytes) };
        if bytes > limit {
            Err(BodyError::TooLong)
        } else {
            Ok(BodyDecoder { framing, remaining_limit: limit })
        }
    }

    /// A chunked body of at most `limit` bytes.
    pub fn chunked(limit: u64) -> Self {
        BodyDecoder { framing: Framing::Chunked(ChunkState::Size), remaining_limit: limit }
    }

    /// A body of at most `limit` bytes that ends with the connection.
    pub fn until_close(limit: u64) -> Self {
        BodyDecoder { framing: Framing::UntilClose, remaining_limit: limit }
    }

    /// Whether the body is complete.
    pub fn is_done(&self) -> bool {
        self.framing == Framing::Done
    }

    /// Whether the body is complete if the connection ends now.
    pub fn ends_with_connection(&self) -> bool {
        matches!(self.framing, Framing::Done | Framing::UntilClose)
    }

    /// The capacity of a buffer of the data once `more` bytes have been decoded into it: it is doubled as needed, but
    /// not beyond the declared length of the body.
    pub(crate) fn capacity_after(&self, len: usize, capacity: usize, more: usize) -> usize {
        let doubled = doubled_capacity(len, capacity, more);
        match self.framing {
            Framing::Length(left) => {
                let declared = len.saturating_add(usize::try_from(left).unwrap_or(usize::MAX));
                doubled.min(declared).max(capacity)
            }
            Framing::Chunked(_) | Framing::UntilClose | Framing::Done => doubled,
        }
    }

    /// Appends the body data in `bytes` to `out` and returns how many input bytes were consumed.
    pub fn decode(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<usize, BodyError> {
        let mut at = 0;
        while at < bytes.len() {
            let rest = &bytes[at..];
            match self.framing {
                Framing::Done => break,
                Framing::Length(left) => {
                    let part = rest.len().min(usize::try_from(left).unwrap_or(usize::MAX));
                    let capacity = self.capacity_after(out.len(), out.capacity(), part);
                    out.reserve_exact(capacity - out.len());
                    out.extend_from_slice(&rest[..part]);
                    at += part;
                    let left = left - part as u64;
                    self.framing = if left == 0 { Framing::Done } else { Framing::Length(left) };
                }
                Framing::UntilClose => {
                    self.remaining_limit =
                        self.remaining_limit.checked_sub(rest.len() as u64).ok_or(BodyError::TooLong)?;
                    out.extend_from_slice(rest);
                    at += rest.len();
                }
                Framing::Chunked(state) => match self.decode_chunk(state, rest, out)? {
                    0 => break,
                    used => at += used,
                },
            }
        }
        Ok(at)
    }

    /// Decodes one element of the chunked coding. Returns the number of bytes consumed, 0 if more bytes are needed.
    fn decode_chunk(
        &mut self,
        state: ChunkState,
        rest: &[u8],
        out: &mut Vec<u8>,
    ) -> Result<usize, BodyError> {
        let line = |limit: usize| match rest.windows(2).position(|pair| pair == b"\r\n") {
            Some(end) if end <= limit => {
                // Parsers disagree on a bare LF or CR inside the line, which allows request smuggling.
                if rest[..end].iter().any(|b| matches!(b, b'\n' | b'\r')) {
                    return Err(BodyError::Malformed);
                }
                Ok(Some(&rest[..end]))
            }
            None if rest.len() <= limit + 1 && !rest.contains(&b'\n') => Ok(None),
            _ => Err(BodyError::Malformed),
        };
        let (next, used) = match state {
            ChunkState::Size => {
                let Some(line) = line(MAX_SIZE_LINE_BYTES)? else { return Ok(0) };
                let digits = line.iter().take_while(|b| b.is_ascii_hexdigit()).count();
                let extension = line.get(digits).is_none_or(|b| *b == b';');
                if digits == 0 || digits > 16 || !extension {
                    return Err(BodyError::Malformed);
                }
                let text = std::str::from_utf8(&line[..digits]).map_err(|_| BodyError::Malformed)?;
                let size = u64::from_str_radix(text, 16).map_err(|_| BodyError::Malformed)?;
                self.remaining_limit = self.remaining_limit.checked_sub(size).ok_or(BodyError::TooLong)?;
                (
                    if size == 0 { ChunkState::Trailer(MAX_TRAILER_BYTES) } else { ChunkState::Data(size) },
                    line.len() + 2,
                )
            }
            ChunkState::Data(left) => {
                let part = rest.len().min(usize::try_from(left).unwrap_or(usize::MAX));
                out.extend_from_slice(&rest[..part]);
                let left = left - part as u64;
                (if left == 0 { ChunkState::DataEnd } else { ChunkState::Data(left) }, part)
            }
            ChunkState::DataEnd => match rest {
                [b'\r', b'\n', ..] => (ChunkState::Size, 2),
                [b'\r'] => return Ok(0),
                _ => return Err(BodyError::Malformed),
            },
            ChunkState::Trailer(allowed) => {
                let Some(line) = line(allowed.min(MAX_SIZE_LINE_BYTES))? else { return Ok(0) };
                if line.is_empty() {
                    self.framing = Framing::Done;
                    return Ok(2);
                }
                (ChunkState::Trailer(allowed.saturating_sub(line.len() + 2)), line.len() + 2)
            }
        };
        self.framing = Framing::Chunked(next);
        Ok(used)
    }
}

/// The capacity of a buffer once `more` bytes have been added, which doubles it if they do not fit.
pub(crate) fn doubled_capacity(len: usize, capacity: usize, more: usize) -> usize {
    if len + more <= capacity { capacity } else { (2 * capacity).max(len + more) }
}

/// Appends `data` to `out` as one chunk. Empty data is skipped: an empty chunk would end the body.
pub fn write_chunk(data: &[u8], out: &mut Vec<u8>) {
    if data.is_empty() {
        return;
    }
    out.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
    out.extend_from_slice(data);
    out.extend_from_slice(b"\r\n");
}

/// The last chunk, which ends a chunked body.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
