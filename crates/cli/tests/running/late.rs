//! Streams whose events carry the time at which their host wrote them.
#![allow(dead_code)] // each test file uses a part of this module

use crate::platform::{EventFraming, Script, ScriptedReply, connect, micros, request_text};
use crate::running::ms;
use std::fmt;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Interval between the events of a stream.
pub const EVENT_INTERVAL_MS: u64 = 50;
/// The platform's limits for forwarding an event and the end of a stream.
const EVENT_LIMIT: Duration = ms(300);
const END_LIMIT: Duration = ms(1000);
/// How late the events and the end of a stream were.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lateness {
    pub event: Duration,
    pub end: Duration,
    /// Whether the stream came to its end.
    pub is_whole: bool,
}

/// Reads a stream of timed events to its end.
pub fn read_timed_stream(mut stream: TcpStream) -> Lateness {
    let (mut text, mut buffer, mut checked) = (Vec::new(), [0; 4096], 0);
    let (mut lateness, mut last_event_micros) = (Lateness::default(), 0);
    while let Ok(got) = stream.read(&mut buffer)
        && got > 0
    {
        let now = micros();
        text.extend_from_slice(&buffer[..got]);
        while let Some(at) = text[checked..].windows(4).position(|window| window == b"\"at ") {
            let digits = &text[checked + at + 4..];
            let Some(end) = digits.iter().position(|byte| *byte == b' ') else { break };
            let written: u64 = String::from_utf8_lossy(&digits[..end]).parse().expect("a time");
            lateness.event = lateness.event.max(Duration::from_micros(now.saturating_sub(written)));
            last_event_micros = written;
            checked += at + 4 + end;
        }
        if text.ends_with(b"0\r\n\r\n") {
            let end_written = last_event_micros + EVENT_INTERVAL_MS * 1000;
            lateness.end = Duration::from_micros(now.saturating_sub(end_written));
            lateness.is_whole = true;
        }
    }
    lateness
}

/// Starts streams that are watched; returns once their first events have arrived.
pub fn start_timed_streams(
    address: SocketAddr,
    writes: &Script,
    streams: usize,
    events: usize,
) -> Vec<JoinHandle<Lateness>> {
    let reply = ScriptedReply::TimedEvents(events, EVENT_INTERVAL_MS, EventFraming::OnePerChunk);
    writes.lock().expect("no panic").extend(std::iter::repeat_n(reply, streams));
    let start = |number| {
        let mut stream = connect(address);
        let text = request_text(&format!("watched{number}"), "Connection: close\r\n");
        stream.write_all(text.as_bytes()).expect("a request");
        while stream.peek(&mut [0; 1]).expect("the first event") == 0 {}
        thread::spawn(move || read_timed_stream(stream))
    };
    (0..streams).map(start).collect()
}

impl Lateness {
    pub fn is_in_time(&self) -> bool {
        self.event < EVENT_LIMIT && self.end < END_LIMIT && self.is_whole
    }
}

impl fmt::Display for Lateness {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Lateness { event, end, is_whole } = self;
        write!(f, "event {event:?}, end {end:?}, whole {is_whole}")
    }
}

/// The latest event and end of any of these streams, whole if all are.
pub fn latest(streams: &[Lateness]) -> Lateness {
    Lateness {
        event: streams.iter().map(|stream| stream.event).max().unwrap_or_default(),
        end: streams.iter().map(|stream| stream.end).max().unwrap_or_default(),
        is_whole: streams.iter().all(|stream| stream.is_whole),
    }
}
