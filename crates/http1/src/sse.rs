//! Server-sent events: an incremental reader, which accepts the bytes in pieces of any size, and a writer.

use crate::response::MalformedResponse;

/// One event of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// The `event` field; empty if the event has none.
    pub name: String,
    /// The `data` fields, joined with line feeds.
    pub data: String,
}

/// Size up to which any event that is not complete may be one that is written slowly.
const USUAL_EVENT_BYTES: usize = 256;

/// Tells an event that is written slowly from one without end, by how it begins and by the sizes of those before it.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventSizes {
    largest_bytes: usize,
}

impl EventSizes {
    /// Records a complete event.
    pub fn record(&mut self, bytes: usize) {
        self.largest_bytes = self.largest_bytes.max(bytes);
    }

    /// Whether part of an event may belong to one that is written slowly: it begins as events with JSON do, and is at most
    /// twice as long as any before it.
    pub fn may_be_slow(&self, partial: &[u8]) -> bool {
        const FIELD: &[u8] = b"data:";
        let begins_as_field = partial.iter().zip(FIELD).all(|(byte, expected)| byte == expected);
        let content = partial.strip_prefix(FIELD).map(<[u8]>::trim_ascii_start);
        let may_be_json = content.is_none_or(|content| matches!(content.first(), None | Some(b'{' | b'[')));
        !partial.is_empty() && begins_as_field && may_be_json && self.may_have(partial.len())
    }

    /// Whether an event may have this many bytes.
    fn may_have(&self, bytes: usize) -> bool {
        bytes <= USUAL_EVENT_BYTES.max(2 * self.largest_bytes)
    }
}

/// Reads a stream of events. A line or an event longer than the limit is an error.
pub struct EventReader {
    /// Maximum length of a line and of an event's data.
    max_bytes: usize,
    line: Vec<u8>,
    event: Event,
    /// The current event has a `data` field.
    has_data: bool,
    /// The last byte was a CR: a LF that follows it ends no further line.
    after_cr: bool,
    sizes: EventSizes,
}

impl EventReader {
    pub fn new(max_bytes: usize) -> Self {
        EventReader {
            max_bytes,
            line: Vec::new(),
            event: Event::default(),
            has_data: false,
            after_cr: false,
            sizes: EventSizes::default(),
        }
    }

    /// Reads `bytes` and appends the events that they complete to `out`.
    pub fn feed(&mut self, bytes: &[u8], out: &mut Vec<Event>) -> Result<(), MalformedResponse> {
        for byte in bytes {
            let after_cr = std::mem::replace(&mut self.after_cr, *byte == b'\r');
            match byte {
                b'\n' if after_cr => {}
                b'\n' | b'\r' => self.end_line(out)?,
                _ if self.line.len() >= self.max_bytes => return Err(MalformedResponse("line too long")),
                other => self.line.push(*other),
            }
        }
        Ok(())
    }

    /// Whether part of an event has been read that may be one that is written slowly.
    pub fn has_slow_event(&self) -> bool {
        if self.has_data {
            // Only the end of the event is missing.
            self.line.is_empty() && self.sizes.may_have(self.event.data.len())
        } else {
            self.sizes.may_be_slow(&self.line)
        }
    }

    fn end_line(&mut self, out: &mut Vec<Event>) -> Result<(), MalformedResponse> {
        let line = std::mem::take(&mut self.line);
        if line.is_empty() {
            if std::mem::take(&mut self.has_data) {
                self.sizes.record(self.event.data.len());
                out.push(std::mem::take(&mut self.event));
            }
            self.event = Event::default();
            return Ok(());
        }
        let text = std::str::from_utf8(&line).map_err(|_| MalformedResponse("line is not valid UTF-8"))?;
        let (field, value) = text.split_once(':').unwrap_or((text, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "data" => {
                if self.has_data {
                    self.event.data.push('\n');
                }
                self.has_data = true;
                self.event.data.push_str(value);
                if self.event.data.len() > self.max_bytes {
                    return Err(MalformedResponse("event too long"));
                }
            }
            "event" => value.clone_into(&mut self.event.name),
            _ => {}
        }
        self.line = line;
        self.line.clear();
        Ok(())
    }
}

/// Appends one event to `out`. `data` must be a single line; an empty `name` is left out.
pub fn write_event(name: &str, data: &str, out: &mut Vec<u8>) {
    if !name.is_empty() {
        out.extend_from_slice(b"event: ");
        out.extend_from_slice(name.as_bytes());
        out.push(b'\n');
    }
    out.extend_from_slice(b"data: ");
    out.extend_from_slice(data.as_bytes());
    out.extend_from_slice(b"\n\n");
}
