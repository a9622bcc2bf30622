//! Follows the registry: requests the whole list once a connection is up, then the changes, for as long as it
//! answers.

use crate::{Shared, lock};
use std::net::SocketAddr;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tulipstall::interface::HostStatus;
use tulipstall_http1::Limits;
use tulipstall_net::{Fault, Link, Reply, spawn};
use tulipstall_platform::registry::{
    Line, List, MAX_LIST_BYTES, RegistryTimeouts, VersionFilter, list_request, parse,
};

const LIST_LIMITS: Limits = Limits {
    max_head_bytes: 8192,
    max_line_bytes: 4096,
    max_header_lines: 64,
    max_body_bytes: MAX_LIST_BYTES,
};

/// State that outlives one connection.
#[derive(Default)]
struct FollowState {
    /// The last try failed.
    failing: bool,
    versions: VersionFilter,
    /// The version that the known hosts are as of, if it is one of this registry.
    list_seq: Option<u64>,
    /// Consecutive requests that were rejected.
    rejections: u32,
    /// Consecutive first requests of a watch that timed out.
    first_timeouts: u32,
    /// The last request.
    request: RequestKind,
    /// When the last list was received, since the start of the process.
    list_received_at: Duration,
}

/// What a request to the registry asks for.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum RequestKind {
    /// The whole list.
    #[default]
    List,
    /// The changes since a version of an earlier connection.
    Resume,
    /// The changes since the last answer.
    Watch,
}

/// Why a request to the registry failed.
enum RequestError {
    Fault(Fault),
    /// It is overloaded: it answers a later request.
    Rejected,
}

impl From<Fault> for RequestError {
    fn from(fault: Fault) -> Self {
        RequestError::Fault(fault)
    }
}

/// Starts following the registry, from the version of a cached list if there is one.
pub fn start(shared: Arc<Shared>, timeouts: RegistryTimeouts, known: Option<u64>) {
    spawn(move || {
        let mut state = FollowState { list_seq: known, ..FollowState::default() };
        loop {
            let address = lock(&shared.registry).0;
            // Even if a list makes its processing panic, the next one is requested.
            let followed = AssertUnwindSafe(|| follow(&shared, address, &timeouts, &mut state));
            let followed = catch_unwind(followed).unwrap_or(Err(RequestError::Fault(Fault::Malformed)));
            let mut pause = timeouts.retry_pause;
            if let Err(error) = followed {
                let why = match error {
                    RequestError::Fault(fault) => format!("{fault:?}"),
                    RequestError::Rejected => "request rejected".to_owned(),
                };
                if matches!(error, RequestError::Rejected) {
                    pause = timeouts.pause_after_rejections(state.rejections, shared.hosts.random_fraction());
                    state.rejections += 1;
                }
                let is_first = !std::mem::replace(&mut state.failing, true);
                // A local agent that is away fails many requests a second: only the first is logged.
                if is_first || timeouts.backs_off() {
                    let request = state.request;
                    let pause_ms = pause.as_millis() as u64;
                    let list_age_ms = shared.now().saturating_sub(state.list_received_at).as_millis() as u64;
                    tracing::warn!(registry = %address, ?request, why, pause_ms, list_age_ms, "request to the registry failed");
                }
            }
            if lock(&shared.registry).0 == address {
                tulipstall_net::sleep(pause);
            }
            if lock(&shared.registry).0 != address {
                // Another registry numbers its versions independently.
                state = FollowState { failing: state.failing, ..FollowState::default() };
            }
        }
    });
}

/// Sets the registry's address, and closes the connection to a previous one.
pub fn set_address(shared: &Shared, address: SocketAddr) {
    let mut registry = lock(&shared.registry);
    if registry.0 != address
        && let Some(link) = registry.1.take()
    {
        link.shut();
    }
    registry.0 = address;
}

/// Sends one request. `within` limits the time to the start of the answer, `rest` the time from there to its end.
fn send_request(
    link: &mut Option<Link>,
    request: &str,
    within: Duration,
    rest: Duration,
) -> Result<List, RequestError> {
    let (open_link, until) = (link.take().ok_or(Fault::Broken)?, Instant::now() + within);
    open_link.write(request.as_bytes(), until)?;
    let mut reply = Reply::new(open_link, LIST_LIMITS);
    let head = reply.head_within(until, rest)?;
    if matches!(head.status, 429 | 503) {
        return Err(RequestError::Rejected);
    }
    let body = reply.whole_body(Instant::now() + rest)?;
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
    Ok(list)
}

/// Follows the registry until a request fails or the registry has moved.
fn follow(
    shared: &Shared,
    address: SocketAddr,
    timeouts: &RegistryTimeouts,
    state: &mut FollowState,
) -> Result<(), RequestError> {
    let mut link = None;
    let mut watched_seq = None;
    let first_answer_by = Instant::now() + timeouts.answer_start_after_timeouts(state.first_timeouts);
    loop {
        if link.is_none() {
            let new = Link::connect(&address, shared.connect_timeout.min(timeouts.answer_start))?;
            let mut registry = lock(&shared.registry);
            if registry.0 != address {
                return Ok(());
            }
            registry.1 = Some(new.clone());
            link = Some(new);
        }
        // After a failure the whole list is requested, or only the changes where the whole list is expensive.
        let resume_from = timeouts.resume_wait.zip(state.list_seq).map(|(wait, seq)| (seq, wait));
        let first_time_left = first_answer_by.saturating_duration_since(Instant::now());
        let (newer_than, within) = match watched_seq {
            None => (resume_from, first_time_left + resume_from.map_or(Duration::ZERO, |(_, wait)| wait)),
            Some(seq) => (Some((seq, timeouts.watch_wait)), timeouts.watch_wait + timeouts.watch_slack),
        };
        state.request = match (watched_seq, newer_than) {
            (Some(_), _) => RequestKind::Watch,
            (None, Some(_)) => RequestKind::Resume,
            (None, None) => RequestKind::List,
        };
        let list =
            match send_request(&mut link, &list_request(address, newer_than), within, timeouts.answer_rest) {
                Ok(list) => list,
                Err(_) if lock(&shared.registry).0 != address => return Ok(()),
                Err(error) => {
                    state.first_timeouts += u32::from(
                        watched_seq.is_none() && matches!(error, RequestError::Fault(Fault::TimedOut)),
                    );
                    return Err(error);
                }
            };
        // Changes since one version do not apply to any other: the whole list is requested next, unless this
        // one is applied.
        let as_of = newer_than.map(|(seq, _)| seq);
        state.list_seq = None;
        if !state.versions.accepts(shared.now(), list.seq) {
            tracing::warn!(
                seq = list.seq,
                "list older than a previous one: only its closed hosts are applied"
            );
            let closed = |line: &Line| line.status() != HostStatus::Running;
            let hosts = list.hosts.into_iter().filter(closed).collect();
            shared.hosts.apply(shared, &List { hosts, ..list }, false);
            return Err(Fault::Malformed.into());
        }
        if as_of.is_some_and(|as_of| list.seq < as_of) && !list.whole {
            // The registry has restarted: changes since then do not apply to the list from before.
            return Err(Fault::Malformed.into());
        }
        if std::mem::take(&mut state.failing) {
            tracing::info!(registry = %address, "the registry answers again");
        }
        let whole = list.whole || as_of.is_none();
        // An empty change list means that nothing changed within the wait.
        if whole || !list.hosts.is_empty() {
            shared.hosts.apply(shared, &list, whole);
        }
        (watched_seq, state.list_seq) = (Some(list.seq), Some(list.seq));
        (state.rejections, state.first_timeouts) = (0, 0);
        state.list_received_at = shared.now();
        shared.list_received.store(true, Ordering::Release);
    }
}
