//! Follows the registry: requests the whole list once a connection is up, then the changes, for as long as it
//! answers.

use crate::{Shared, lock};
use std::net::SocketAddr;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tulipstall::interface::Standing;
use tulipstall_http1::Limits;
use tulipstall_net::{Fault, Link, Reply, spawn};
use tulipstall_platform::registry::{LIST_BYTES, Line, List, Patience, Versions, question, read};

const ANSWER: Limits = Limits { head: 8192, line: 4096, headers: 64, body: LIST_BYTES };

/// State that outlives one connection.
#[derive(Default)]
struct Seen {
    /// The last try failed.
    silent: bool,
    versions: Versions,
    /// The version that the known hosts are as of, if it is one of this registry.
    seq: Option<u64>,
    /// Consecutive requests that were rejected, and first requests of a watch that timed out.
    refused: u32,
    unheard: u32,
}

/// Why a request to the registry failed.
enum Failed {
    Fault(Fault),
    /// It is overloaded: it answers a later request.
    Refused,
}

impl From<Fault> for Failed {
    fn from(fault: Fault) -> Self {
        Failed::Fault(fault)
    }
}

/// Starts following the registry, from the version of a cached list if there is one.
pub fn start(shared: Arc<Shared>, patience: Patience, known: Option<u64>) {
    spawn(move || {
        let mut known = Seen { seq: known, ..Seen::default() };
        loop {
            let address = lock(&shared.registry).0;
            // Even if a list makes its processing panic, the next one is requested.
            let followed = AssertUnwindSafe(|| follow(&shared, address, &patience, &mut known));
            let followed = catch_unwind(followed).unwrap_or(Err(Failed::Fault(Fault::Rubbish)));
            let mut pause = patience.pause;
            if let Err(failed) = followed {
                let why = match failed {
                    Failed::Fault(fault) => format!("{fault:?}"),
                    Failed::Refused => "request rejected".to_owned(),
                };
                if matches!(failed, Failed::Refused) {
                    pause = patience.after_refusal(known.refused, shared.hosts.chance());
                    known.refused += 1;
                }
                // There may be many failures a second while the registry is away: only the first is logged.
                if !std::mem::replace(&mut known.silent, true) {
                    tracing::warn!(registry = %address, why, "the registry does not answer");
                }
            }
            if lock(&shared.registry).0 == address {
                tulipstall_net::sleep(pause);
            }
            if lock(&shared.registry).0 != address {
                // Another registry numbers its versions independently.
                known = Seen { silent: known.silent, ..Seen::default() };
            }
        }
    });
}

/// The registry has moved to another address.
pub fn moved(shared: &Shared, address: SocketAddr) {
    let mut registry = lock(&shared.registry);
    if registry.0 != address
        && let Some(link) = registry.1.take()
    {
        link.shut();
    }
    registry.0 = address;
}

/// Sends one request. `within` limits the time to the start of the answer, `whole` that of the rest.
fn ask(link: &mut Option<Link>, question: &str, within: Duration, whole: Duration) -> Result<List, Failed> {
    let (link_now, until) = (link.take().ok_or(Fault::Broken)?, Instant::now() + within);
    link_now.write(question.as_bytes(), until)?;
    let mut reply = Reply::new(link_now, ANSWER);
    let head = reply.head_begun(until, whole)?;
    if matches!(head.status, 429 | 503) {
        return Err(Failed::Refused);
    }
    let body = reply.whole_body(Instant::now() + whole)?;
    if head.status != 200 {
        return Err(Fault::Rubbish.into());
    }
    let list = read(&body).map_err(|why| {
        tracing::warn!(why, "malformed list ignored");
        Fault::Rubbish
    })?;
    if reply.reader.reusable() {
        *link = Some(reply.link);
    }
    Ok(list)
}

/// Follows the registry until a request fails or the registry has moved.
fn follow(shared: &Shared, address: SocketAddr, patience: &Patience, known: &mut Seen) -> Result<(), Failed> {
    let mut link = None;
    let mut seen = None;
    let first = Instant::now() + patience.after_silence(known.unheard);
    loop {
        if link.is_none() {
            let new = Link::connect(&address, shared.connect.min(patience.at_once))?;
            let mut registry = lock(&shared.registry);
            if registry.0 != address {
                return Ok(());
            }
            registry.1 = Some(new.clone());
            link = Some(new);
        }
        // After a failure the whole list is requested, or only the changes where the whole list is expensive.
        let resumes = patience.resumes.zip(known.seq).map(|(wait, seq)| (seq, wait));
        let at_once = first.saturating_duration_since(Instant::now());
        let (newer_than, within) = match seen {
            None => (resumes, at_once + resumes.map_or(Duration::ZERO, |(_, wait)| wait)),
            Some(seq) => (Some((seq, patience.wait)), patience.wait + patience.late),
        };
        let list = match ask(&mut link, &question(address, newer_than), within, patience.whole) {
            Ok(list) => list,
            Err(_) if lock(&shared.registry).0 != address => return Ok(()),
            Err(failed) => {
                known.unheard +=
                    u32::from(seen.is_none() && matches!(failed, Failed::Fault(Fault::TimedOut)));
                return Err(failed);
            }
        };
        // Changes since one version do not apply to any other: the whole list is requested next, unless this
        // one is applied.
        let as_of = newer_than.map(|(seq, _)| seq);
        known.seq = None;
        if !known.versions.takes(shared.now(), list.seq) {
            tracing::warn!(
                seq = list.seq,
                "list older than a previous one: only its closed hosts are applied"
            );
            let closed = |line: &Line| line.standing() != Standing::Running;
            let hosts = list.hosts.into_iter().filter(closed).collect();
            shared.hosts.apply(shared, &List { hosts, ..list }, false);
            return Err(Fault::Rubbish.into());
        }
        if as_of.is_some_and(|as_of| list.seq < as_of) && !list.whole {
            // The registry has restarted: changes since then do not apply to the list from before.
            return Err(Fault::Rubbish.into());
        }
        if std::mem::take(&mut known.silent) {
            tracing::info!(registry = %address, "the registry answers again");
        }
        let whole = list.whole || as_of.is_none();
        // An empty change list means that nothing changed within the wait.
        if whole || !list.hosts.is_empty() {
            shared.hosts.apply(shared, &list, whole);
        }
        (seen, known.seq) = (Some(list.seq), Some(list.seq));
        (known.refused, known.unheard) = (0, 0);
        shared.listed.store(true, Ordering::Release);
    }
}
