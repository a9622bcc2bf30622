//! Follows the registry: the whole list once a connection is up, then what changes, for as long as it answers.

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

/// What outlives one connection.
#[derive(Default)]
struct Seen {
    /// The last try failed.
    silent: bool,
    versions: Versions,
}

pub fn start(shared: Arc<Shared>, patience: Patience) {
    spawn(move || {
        let mut known = Seen::default();
        loop {
            let address = lock(&shared.registry).0;
            // Whatever a list does to whoever reads it, the next one is asked for.
            let followed = AssertUnwindSafe(|| follow(&shared, address, &patience, &mut known));
            if let Err(fault) = catch_unwind(followed).unwrap_or(Err(Fault::Rubbish)) {
                // Many a second while it is away: one line.
                if !std::mem::replace(&mut known.silent, true) {
                    tracing::warn!(registry = %address, ?fault, "the registry does not answer");
                }
            }
            if lock(&shared.registry).0 == address {
                tulipstall_net::sleep(patience.pause);
            } else {
                // Another registry counts by itself.
                known.versions = Versions::default();
            }
        }
    });
}

/// The registry is at another address from now on.
pub fn moved(shared: &Shared, address: SocketAddr) {
    let mut registry = lock(&shared.registry);
    if registry.0 != address
        && let Some(link) = registry.1.take()
    {
        link.shut();
    }
    registry.0 = address;
}

/// Asks; an answer that has not begun within so long does not come.
fn ask(link: &mut Option<Link>, question: &str, within: Duration, whole: Duration) -> Result<List, Fault> {
    let (link_now, until) = (link.take().ok_or(Fault::Broken)?, Instant::now() + within);
    link_now.write(question.as_bytes(), until)?;
    let mut reply = Reply::new(link_now, ANSWER);
    let head = reply.head_begun(until, whole)?;
    let body = reply.whole_body(Instant::now() + whole)?;
    if head.status != 200 {
        return Err(Fault::Rubbish);
    }
    let list = read(&body).map_err(|why| {
        tracing::warn!(why, "a list is not taken");
        Fault::Rubbish
    })?;
    if reply.reader.reusable() {
        *link = Some(reply.link);
    }
    Ok(list)
}

/// Until something fails or the registry is elsewhere.
fn follow(shared: &Shared, address: SocketAddr, patience: &Patience, known: &mut Seen) -> Result<(), Fault> {
    let mut link = None;
    let mut seen = None;
    let first = Instant::now() + patience.at_once;
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
        let (newer_than, within) = match seen {
            None => (None, first.saturating_duration_since(Instant::now())),
            Some(seq) => (Some((seq, patience.wait)), patience.wait + patience.late),
        };
        let list = match ask(&mut link, &question(address, newer_than), within, patience.whole) {
            Ok(list) => list,
            Err(_) if lock(&shared.registry).0 != address => return Ok(()),
            Err(fault) => return Err(fault),
        };
        if !known.versions.takes(shared.now(), list.seq) {
            tracing::warn!(seq = list.seq, "a list older than one before only closes hosts");
            let closed = |line: &Line| line.standing() != Standing::Running;
            let hosts = list.hosts.into_iter().filter(closed).collect();
            shared.hosts.apply(shared, &List { hosts, ..list }, false);
            return Err(Fault::Rubbish);
        }
        if seen.is_some_and(|seen| list.seq < seen) && !list.whole {
            // Begun anew: what changed since says nothing to what was before.
            return Err(Fault::Rubbish);
        }
        if std::mem::take(&mut known.silent) {
            tracing::info!(registry = %address, "the registry answers again");
        }
        let whole = list.whole || seen.is_none();
        // Nothing new: the wait was over.
        if whole || !list.hosts.is_empty() {
            shared.hosts.apply(shared, &list, whole);
        }
        seen = Some(list.seq);
        shared.listed.store(true, Ordering::Release);
    }
}
