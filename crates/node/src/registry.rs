//! Follows the registry: requests the whole list once a connection is up, then the changes, for as long as it
//! answers.

mod address;

pub use address::RegistryAddress;

use crate::Shared;
use address::Target;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tulipstall::interface::HostStatus;
use tulipstall_http1::Limits;
use tulipstall_net::{Fault, Link, Reply, spawn};
use tulipstall_platform::registry::{
    Failure, Line, List, MAX_LIST_BYTES, RegistryTimeouts, RequestKind, RequestLimits, RequestSchedule,
    VersionFilter, list_request, parse,
};

const LIST_LIMITS: Limits = Limits {
    max_head_bytes: 8192,
    max_line_bytes: 4096,
    max_header_lines: 64,
    max_body_bytes: MAX_LIST_BYTES,
};

/// Why a request to the registry failed.
#[derive(Clone, Copy, Debug)]
enum RequestError {
    Fault(Fault),
    /// No connection came up in time.
    ConnectTimedOut,
    /// It is overloaded: it answers a later request.
    Rejected,
}

impl From<Fault> for RequestError {
    fn from(fault: Fault) -> Self {
        RequestError::Fault(fault)
    }
}

impl RequestError {
    /// The reason as the log names it.
    fn reason(self) -> String {
        match self {
            RequestError::Fault(fault) => format!("{fault:?}"),
            RequestError::ConnectTimedOut => "no connection in time".to_owned(),
            RequestError::Rejected => "request rejected".to_owned(),
        }
    }

    fn failure(self) -> Failure {
        match self {
            RequestError::Rejected => Failure::Refused,
            RequestError::ConnectTimedOut | RequestError::Fault(Fault::TimedOut | Fault::LocalMachine) => {
                Failure::Unanswered
            }
            RequestError::Fault(Fault::NoConnection | Fault::Broken | Fault::Malformed) => Failure::Failed,
        }
    }
}

/// Starts following the registry, from the version of a cached list if there is one.
pub fn start(shared: Arc<Shared>, timeouts: RegistryTimeouts, known: Option<u64>) {
    spawn(move || Follower::new(&shared, timeouts, known).run());
}

/// A request to the registry.
#[derive(Clone, Copy)]
struct Request {
    kind: RequestKind,
    /// The version that changes are requested since.
    newer_than: Option<u64>,
    /// Since the start of the process.
    began_at: Duration,
}

/// A list that answers a request.
struct Answer {
    list: List,
    /// When it began to arrive, since the start of the process.
    began_at: Duration,
}

/// The coroutine that follows the registry.
struct Follower<'a> {
    shared: &'a Shared,
    timeouts: RegistryTimeouts,
    schedule: RequestSchedule,
    /// The registry that is followed.
    target: Target,
    /// The last request failed.
    failing: bool,
    versions: VersionFilter,
    /// The version that the known hosts are as of, if it is one of this registry.
    list_seq: Option<u64>,
    /// The current request, or the last one.
    request: Request,
    /// When the last list was received.
    list_received_at: Duration,
}

impl<'a> Follower<'a> {
    fn new(shared: &'a Shared, timeouts: RegistryTimeouts, known: Option<u64>) -> Self {
        let now = shared.now();
        Follower {
            shared,
            timeouts,
            schedule: RequestSchedule::new(timeouts, now),
            target: shared.registry.target(),
            failing: false,
            versions: VersionFilter::default(),
            list_seq: known,
            request: Request { kind: RequestKind::List, newer_than: None, began_at: now },
            list_received_at: now,
        }
    }

    fn run(&mut self) {
        loop {
            self.take_target();
            // Even if a list makes its processing panic, the next one is requested.
            let followed = catch_unwind(AssertUnwindSafe(|| self.follow()));
            self.shared.registry.clear_link();
            if let Err(error) = followed.unwrap_or(Err(Fault::Malformed.into())) {
                let pause = self.plan_pause(error);
                self.shared.registry.wait_for_reload(&self.target, pause);
            }
        }
    }

    /// Takes over what the configuration names by now.
    fn take_target(&mut self) {
        let previous = std::mem::replace(&mut self.target, self.shared.registry.target());
        let moved = self.target.moves != previous.moves;
        if moved {
            // Another registry numbers its versions independently.
            (self.versions, self.list_seq) = (VersionFilter::default(), None);
        }
        if self.target.reloads != previous.reloads {
            self.schedule.reloaded(self.target.reloaded_at, moved);
        }
    }

    fn has_moved(&self) -> bool {
        self.shared.registry.target().moves != self.target.moves
    }

    /// Records that the last request failed. Returns the pause before the next one.
    fn plan_pause(&mut self, error: RequestError) -> Duration {
        let (shared, now) = (self.shared, self.shared.now());
        let Request { kind, began_at, .. } = self.request;
        let pause =
            self.schedule.failed(error.failure(), kind, began_at, now, || shared.hosts.random_fraction());
        let is_first = !std::mem::replace(&mut self.failing, true);
        // A local agent that is away fails many requests a second: only the first is logged.
        if is_first || self.timeouts.backs_off {
            let millis = |span: Duration| span.as_millis() as u64;
            tracing::warn!(
                registry = %self.target.address,
                request = ?kind,
                why = error.reason(),
                took_ms = millis(now.saturating_sub(began_at)),
                pause_ms = millis(pause),
                list_age_ms = millis(now.saturating_sub(self.list_received_at)),
                read_within_ms = millis(self.schedule.read_by().saturating_sub(now)),
                "request to the registry failed"
            );
        }
        pause
    }

    /// Follows the registry until a request fails or the registry has moved.
    fn follow(&mut self) -> Result<(), RequestError> {
        let mut link = None;
        let mut watched_seq = None;
        while !self.has_moved() {
            self.request = self.next_request(watched_seq);
            let limits = self.schedule.limits(self.request.began_at, self.request.kind);
            let answer = match self.send_request(&mut link, limits) {
                Ok(answer) => answer,
                Err(_) if self.has_moved() => return Ok(()),
                Err(error) => return Err(error),
            };
            let answered_at = answer.began_at;
            watched_seq = Some(self.apply(answer.list)?);
            let Request { kind, began_at, .. } = self.request;
            self.schedule.answered(kind, began_at, limits.wait, answered_at);
        }
        Ok(())
    }

    /// After a failure the whole list is requested, or only the changes where the whole list is expensive.
    fn next_request(&self, watched_seq: Option<u64>) -> Request {
        let resume_seq = self.timeouts.resume_wait.and(self.list_seq);
        let kind = match (watched_seq, resume_seq) {
            (Some(_), _) => RequestKind::Watch,
            (None, Some(_)) => RequestKind::Resume,
            (None, None) => RequestKind::List,
        };
        Request { kind, newer_than: watched_seq.or(resume_seq), began_at: self.shared.now() }
    }

    fn connect(&self, until: Instant) -> Result<Link, RequestError> {
        let began = Instant::now();
        let timeout = self.shared.connect_timeout.min(until.saturating_duration_since(began));
        let link = Link::connect(&self.target.address, timeout).map_err(|fault| match fault {
            Fault::NoConnection if began.elapsed() >= timeout => RequestError::ConnectTimedOut,
            fault => fault.into(),
        })?;
        if !self.shared.registry.set_link(&link, &self.target) {
            return Err(Fault::Broken.into());
        }
        Ok(link)
    }

    /// Sends the current request, on a new connection if `link` has none.
    fn send_request(&self, link: &mut Option<Link>, limits: RequestLimits) -> Result<Answer, RequestError> {
        let answer_start_by = self.shared.start + limits.answer_start_by;
        let open_link = match link.take() {
            Some(open_link) => open_link,
            None => self.connect(answer_start_by)?,
        };
        let newer_than = self.request.newer_than.map(|seq| (seq, limits.wait));
        let request = list_request(self.target.address, newer_than);
        open_link.write(request.as_bytes(), answer_start_by)?;
        let mut reply = Reply::new(open_link, LIST_LIMITS);
        let head = reply.head_within(answer_start_by, self.timeouts.answer_rest)?;
        if matches!(head.status, 429 | 503) {
            return Err(RequestError::Rejected);
        }
        let began_at = self.shared.now();
        let body = reply.whole_body(Instant::now() + self.timeouts.answer_rest)?;
        if head.status != 200 {
            return Err(Fault::Malformed.into());
        }
        let list = parse(&body).map_err(|why| {
            tracing::warn!(why, "malformed list ignored");
            Fault::Malformed
        })?;
        if reply.reader.is_reusable() {
            *link = Some(reply.link);
        }
        Ok(Answer { list, began_at })
    }

    /// Applies a list that answers the current request, unless it is too old. Returns its version.
    fn apply(&mut self, list: List) -> Result<u64, RequestError> {
        let (shared, seq) = (self.shared, list.seq);
        // Changes since one version do not apply to any other: the whole list is requested next, unless this
        // one is applied.
        let as_of = self.request.newer_than;
        self.list_seq = None;
        if !self.versions.accepts(shared.now(), seq) {
            tracing::warn!(seq, "list older than a previous one: only its closed hosts are applied");
            let closed = |line: &Line| line.status() != HostStatus::Running;
            let hosts = list.hosts.into_iter().filter(closed).collect();
            shared.hosts.apply(shared, &List { hosts, ..list }, false);
            return Err(Fault::Malformed.into());
        }
        if as_of.is_some_and(|as_of| seq < as_of) && !list.whole {
            // The registry has restarted: changes since then do not apply to the list from before.
            return Err(Fault::Malformed.into());
        }
        if std::mem::take(&mut self.failing) {
            tracing::info!(registry = %self.target.address, "the registry answers again");
        }
        let whole = list.whole || as_of.is_none();
        // An empty change list means that nothing changed within the wait.
        if whole || !list.hosts.is_empty() {
            shared.hosts.apply(shared, &list, whole);
        }
        self.list_seq = Some(seq);
        self.list_received_at = shared.now();
        shared.list_received.store(true, Ordering::Release);
        Ok(seq)
    }
}
