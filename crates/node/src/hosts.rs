//! Endpoints of hosts. A host that drains or is removed is closed to new attempts the moment the list says
//! so, before any decision.

use crate::owner::OwnerMessage;
use crate::{Shared, lock};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use slab::Slab;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tulipstall::interface::HostStatus;
use tulipstall::names::Interner;
use tulipstall_net::{Link, Pool};
use tulipstall_platform::age::{Age, WallClock};
use tulipstall_platform::registry::List;
use tulipstall_platform::{release, timeouts};

/// One process of a host, with its connections.
pub struct Endpoint {
    pub name: String,
    pub pool: Pool,
    started_ms: u64,
    /// Its age when it was first listed; `None` if it has been up for long.
    age: Option<Age>,
    /// Draining or removed: no new request is written to it.
    closed: AtomicBool,
    /// When it was removed from the list, unless it is on it.
    removed_at: Mutex<Option<Instant>>,
    /// Attempts whose request has been written and that have not ended.
    pub in_flight: AtomicUsize,
    pub zone: u32,
    /// The last request to it failed: it may be unreachable.
    suspected: AtomicBool,
    /// Connections of the answers that stream from it.
    streams: Mutex<Slab<Link>>,
}

/// The entry of a stream in the list of its endpoint, removed on drop.
pub struct StreamEntry<'a>(&'a Endpoint, usize);

impl Drop for StreamEntry<'_> {
    fn drop(&mut self) {
        lock(&self.0.streams).try_remove(self.1);
    }
}

impl Endpoint {
    pub fn is_open(&self) -> bool {
        !self.closed.load(Ordering::Acquire)
    }

    /// When it was removed from the list; `None` while it is listed.
    pub fn removed_at(&self) -> Option<Instant> {
        *lock(&self.removed_at)
    }

    /// Registers the connection of an answer that streams from here.
    pub fn register_stream(&self, link: &Link) -> StreamEntry<'_> {
        StreamEntry(self, lock(&self.streams).insert(link.clone()))
    }

    fn set_status(&self, status: HostStatus) {
        self.closed.store(status != HostStatus::Running, Ordering::Release);
        // Before the time limits of its streams are shortened: whoever sets a limit checks this again afterwards.
        let removed_at = (status == HostStatus::Gone).then(Instant::now);
        *lock(&self.removed_at) = removed_at;
        if status != HostStatus::Running {
            self.pool.clear();
        }
        if let Some(removed_at) = removed_at {
            let deadline = removed_at + timeouts::REMOVED_HOST_SILENCE_TIMEOUT;
            lock(&self.streams).iter().for_each(|(_, link)| link.shorten_read_deadline(deadline));
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.pool.address()
    }

    /// Records whether the last request showed that it can be reached.
    pub fn set_reachable(&self, reachable: bool) {
        self.suspected.store(!reachable, Ordering::Relaxed);
    }
}

/// All endpoints, by the names of their hosts.
pub struct Hosts {
    endpoints: Mutex<BTreeMap<String, Arc<Endpoint>>>,
    /// Zones, numbered in the order in which they are first listed.
    zones: Mutex<Interner>,
    /// The dispatcher's own zone.
    own_zone: Option<u32>,
    rng: Mutex<Pcg32>,
    idle_timeout: Duration,
    /// Unix time at the start.
    start_unix: Duration,
}

/// Unix time by the wall clock, which may be set at any moment.
fn unix_time() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// Limit of idle connections to one host: the most recently used one is taken first, so that the others serve
/// only bursts.
const MAX_IDLE_LINKS: usize = 8;

impl Hosts {
    pub fn new(idle_timeout: Duration, seed: u64, zone: Option<&str>) -> Self {
        let mut zones = Interner::default();
        let own_zone = zone.and_then(|zone| zones.intern(zone));
        let (zones, rng) = (Mutex::new(zones), Mutex::new(Pcg32::seed_from_u64(seed)));
        Hosts { endpoints: Mutex::default(), zones, own_zone, rng, idle_timeout, start_unix: unix_time() }
    }

    fn wall_clock(&self, since_start: Duration) -> WallClock {
        WallClock { at_start: self.start_unix, now: unix_time(), since_start }
    }

    /// A random number from 0 to 1.
    pub fn random_fraction(&self) -> f64 {
        f64::from(lock(&self.rng).next_u32()) / f64::from(u32::MAX)
    }

    pub fn endpoint(&self, name: &str) -> Option<Arc<Endpoint>> {
        lock(&self.endpoints).get(name).cloned()
    }

    /// The next endpoint to ask for the release of what is held for a request, given the holder and those
    /// that have been asked.
    pub fn next_to_ask(&self, holder: &str, asked: &[Arc<Endpoint>]) -> Option<Arc<Endpoint>> {
        let open: Vec<Arc<Endpoint>> =
            lock(&self.endpoints).values().filter(|endpoint| endpoint.is_open()).cloned().collect();
        let candidate = |endpoint: &Arc<Endpoint>| release::Candidate {
            zone: endpoint.zone,
            in_own_zone: Some(endpoint.zone) == self.own_zone,
            suspected: endpoint.suspected.load(Ordering::Relaxed),
            connected: endpoint.pool.has_idle(),
            attempts: asked.iter().filter(|before| before.name == endpoint.name).count() as u32,
        };
        let candidates: Vec<release::Candidate> = open.iter().map(candidate).collect();
        let held_at = open.iter().position(|endpoint| endpoint.name == holder);
        let mut rng = lock(&self.rng);
        release::next_server(&candidates, held_at, || rng.next_u32()).map(|index| open[index].clone())
    }

    /// Closes idle connections that are too old.
    pub fn trim_idle(&self) {
        let endpoints: Vec<Arc<Endpoint>> = lock(&self.endpoints).values().cloned().collect();
        endpoints.iter().for_each(|endpoint| endpoint.pool.trim());
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        lock(&self.endpoints).values().for_each(|endpoint| endpoint.pool.clear());
    }

    /// Returns a connection to the pool if the socket budget allows it.
    pub fn pool_link(&self, shared: &Shared, endpoint: &Endpoint, link: Link) {
        if endpoint.is_open() && shared.socket_budget.may_pool(tulipstall_net::open_sockets()) {
            endpoint.pool.put(link);
        }
    }

    /// Applies a list, the whole one if `complete`, else changes, and passes it on to the decisions.
    pub fn apply(&self, shared: &Shared, list: &List, complete: bool) {
        let (now, wall) = (shared.now(), self.wall_clock(shared.now()));
        let mut rows = Vec::with_capacity(list.hosts.len());
        {
            let (mut endpoints, mut zones) = (lock(&self.endpoints), lock(&self.zones));
            if complete {
                let listed_names: std::collections::BTreeSet<&str> =
                    list.hosts.iter().map(|line| line.host.as_str()).collect();
                endpoints.retain(|name, endpoint| {
                    let stays = listed_names.contains(name.as_str());
                    if !stays {
                        endpoint.set_status(HostStatus::Gone);
                    }
                    stays
                });
            }
            for line in &list.hosts {
                let is_same_process = |endpoint: &Arc<Endpoint>| {
                    endpoint.address() == line.dial && endpoint.started_ms == line.born_ms
                };
                let endpoint = match endpoints.get(&line.host).filter(|endpoint| is_same_process(endpoint)) {
                    Some(endpoint) => endpoint.clone(),
                    None => Arc::new(Endpoint {
                        name: line.host.clone(),
                        pool: Pool::new(line.dial, MAX_IDLE_LINKS, self.idle_timeout),
                        started_ms: line.born_ms,
                        age: line
                            .started_unix()
                            .map(|started| Age { at_listing: wall.age(started), listed_at: now }),
                        closed: AtomicBool::new(false),
                        removed_at: Mutex::default(),
                        in_flight: AtomicUsize::new(0),
                        // Beyond the limit of zone names all further zones share one number.
                        zone: zones.intern(&line.site).unwrap_or(u32::MAX),
                        suspected: AtomicBool::new(false),
                        streams: Mutex::default(),
                    }),
                };
                endpoint.set_status(line.status());
                rows.push(line.to_row(endpoint.age.map(|age| age.at(now))));
                let previous = if line.status() == HostStatus::Gone {
                    endpoints.remove(&line.host)
                } else {
                    endpoints.insert(line.host.clone(), endpoint.clone())
                };
                // Another process than before: a request written to the old one's connections would be lost.
                if let Some(previous) = previous.filter(|previous| !Arc::ptr_eq(previous, &endpoint)) {
                    previous.set_status(HostStatus::Gone);
                }
            }
            shared.request_memory.set_hosts(endpoints.len());
        }
        tracing::info!(seq = list.seq, whole = complete, hosts = list.hosts.len(), "list taken");
        if shared.host_changes.add(complete, rows) {
            shared.owner_queue.send(OwnerMessage::HostsChanged);
        }
    }
}
