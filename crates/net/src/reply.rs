//! HTTP responses as they arrive.

use crate::{Fault, Link, READ_BUFFER_BYTES};
use std::time::{Duration, Instant};
use tulipstall_http1::{Limits, ResponseHead, ResponseReader};

/// One HTTP response that is being received over a link.
pub struct Reply {
    pub link: Link,
    pub reader: ResponseReader,
}

impl Reply {
    pub fn new(link: Link, limits: Limits) -> Self {
        Reply { link, reader: ResponseReader::new(limits) }
    }

    /// Reads more bytes. Once the deadline has passed, bytes that go on arriving do not prolong the wait.
    // Never inlined: keeps the buffer on the stack only during the read.
    #[inline(never)]
    fn read_more(&mut self, until: &dyn Fn() -> Instant) -> Result<(), Fault> {
        if self.reader.has_received_data() && until() <= Instant::now() {
            return Err(Fault::TimedOut);
        }
        let mut buffer = [0; READ_BUFFER_BYTES];
        match self.link.read_with_moving_deadline(&mut buffer, || Some(until()))? {
            0 => Err(Fault::Broken),
            got => {
                self.reader.feed(&buffer[..got]);
                Ok(())
            }
        }
    }

    /// Reads up to the end of the response head. Interim (1xx) responses are skipped.
    pub fn head(&mut self, until: Instant) -> Result<ResponseHead, Fault> {
        self.head_with_timeout(until, None)
    }

    /// As [`Reply::head`]; a final head that has begun to arrive and is not complete within `timeout` counts as malformed.
    /// Interim responses ahead of it do not begin it.
    pub fn head_within(&mut self, until: Instant, timeout: Duration) -> Result<ResponseHead, Fault> {
        self.head_with_timeout(until, Some(timeout))
    }

    fn head_with_timeout(
        &mut self,
        until: Instant,
        timeout: Option<Duration>,
    ) -> Result<ResponseHead, Fault> {
        let mut complete_by: Option<Instant> = None;
        loop {
            if let Some(head) = self.reader.head().map_err(|_| Fault::Malformed)? {
                return Ok(head);
            }
            complete_by = match timeout {
                Some(timeout) if self.reader.has_final_head_begun() => {
                    Some(complete_by.unwrap_or_else(|| Instant::now() + timeout))
                }
                _ => None,
            };
            let deadline = complete_by.map_or(until, |complete_by| complete_by.min(until));
            self.read_more(&|| deadline).map_err(|fault| match fault {
                Fault::TimedOut if deadline < until => Fault::Malformed,
                other => other,
            })?;
        }
    }

    /// Appends the part of the body that has arrived, waiting for at least one byte. Returns true once the body has ended.
    pub fn body(&mut self, out: &mut Vec<u8>, until: Instant) -> Result<bool, Fault> {
        self.body_with_moving_deadline(out, &|| until)
    }

    /// As [`Reply::body`], with a deadline that may be brought forward during the wait, see
    /// [`Link::read_with_moving_deadline`].
    pub fn body_with_moving_deadline(
        &mut self,
        out: &mut Vec<u8>,
        until: &dyn Fn() -> Instant,
    ) -> Result<bool, Fault> {
        let before = out.len();
        loop {
            let done = self.reader.body(out).map_err(|_| Fault::Malformed)?;
            if done || out.len() > before {
                return Ok(done);
            }
            match self.read_more(until) {
                Err(Fault::Broken) if self.reader.ends_with_connection() => return Ok(true),
                other => other?,
            }
        }
    }

    /// Reads the body to its end.
    pub fn whole_body(&mut self, until: Instant) -> Result<Vec<u8>, Fault> {
        let mut out = Vec::new();
        while !self.body(&mut out, until)? {}
        Ok(out)
    }
}
