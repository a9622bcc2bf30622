//! Endpoints of hosts. A host that drains or is removed is closed to new attempts the moment the list says
//! so, before any decision.

use crate::owner::Post;
use crate::{Shared, lock};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use slab::Slab;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tulipstall::door::Names;
use tulipstall::interface::Standing;
use tulipstall_core::Input;
use tulipstall_net::{Link, Pool};
use tulipstall_platform::age::{Age, WallClock};
use tulipstall_platform::registry::List;
use tulipstall_platform::{patience, release};

/// One process of a host, with its connections.
pub struct Way {
    pub name: String,
    pub pool: Pool,
    born_ms: u64,
    /// Its age when it was first listed; `None` if it has been up for long.
    age: Option<Age>,
    /// Draining or removed: no new request is written to it.
    closed: AtomicBool,
    /// Removed from the list.
    gone: AtomicBool,
    /// Attempts whose request has been written and that have not ended.
    pub out: AtomicUsize,
    pub zone: u32,
    /// The last request to it failed: it may be unreachable.
    doubted: AtomicBool,
    /// Connections of the answers that stream from it.
    streams: Mutex<Slab<Link>>,
}

/// The entry of a stream in the list of its endpoint, removed on drop.
pub struct Streams<'a>(&'a Way, usize);

impl Drop for Streams<'_> {
    fn drop(&mut self) {
        lock(&self.0.streams).try_remove(self.1);
    }
}

impl Way {
    pub fn open(&self) -> bool {
        !self.closed.load(Ordering::Acquire)
    }

    pub fn gone(&self) -> bool {
        self.gone.load(Ordering::SeqCst)
    }

    /// Registers the connection of an answer that streams from here.
    pub fn streams(&self, link: &Link) -> Streams<'_> {
        Streams(self, lock(&self.streams).insert(link.clone()))
    }

    fn stands(&self, standing: Standing) {
        self.closed.store(standing != Standing::Running, Ordering::Release);
        // Before the time limits of its streams are shortened: whoever sets a limit checks this flag again
        // afterwards.
        self.gone.store(standing == Standing::Gone, Ordering::SeqCst);
        if standing != Standing::Running {
            self.pool.clear();
        }
        if standing == Standing::Gone {
            let by = Instant::now() + patience::silent(false, true);
            lock(&self.streams).iter().for_each(|(_, link)| link.read_by_at_most(by));
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.pool.address()
    }

    /// Records whether it has answered.
    pub fn answers(&self, it_does: bool) {
        self.doubted.store(!it_does, Ordering::Relaxed);
    }
}

pub struct Hosts {
    ways: Mutex<BTreeMap<String, Arc<Way>>>,
    /// Zones, numbered in the order in which they are first listed.
    zones: Mutex<Names>,
    /// The dispatcher's own zone.
    here: Option<u32>,
    chance: Mutex<Pcg32>,
    idle_for: Duration,
    /// Unix time at the start.
    started: Duration,
}

/// Unix time by the wall clock, which may be set at any moment.
fn unix_time() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// Limit of idle connections to one host: the most recently used one is taken first, so that the others serve
/// only bursts.
const IDLE: usize = 8;

impl Hosts {
    pub fn new(idle_for: Duration, seed: u64, zone: Option<&str>) -> Self {
        let mut zones = Names::default();
        let here = zone.and_then(|zone| zones.enter(zone));
        let (zones, chance) = (Mutex::new(zones), Mutex::new(Pcg32::seed_from_u64(seed)));
        Hosts { ways: Mutex::default(), zones, here, chance, idle_for, started: unix_time() }
    }

    fn wall_clock(&self, since_start: Duration) -> WallClock {
        WallClock { at_start: self.started, now: unix_time(), since_start }
    }

    /// A random number from 0 to 1.
    pub fn chance(&self) -> f64 {
        f64::from(lock(&self.chance).next_u32()) / f64::from(u32::MAX)
    }

    pub fn way(&self, name: &str) -> Option<Arc<Way>> {
        lock(&self.ways).get(name).cloned()
    }

    /// The next endpoint to ask for the release of what is held for a request, given the holder and those
    /// that have been asked.
    pub fn next_asked_to_release(&self, holds: &str, asked: &[Arc<Way>]) -> Option<Arc<Way>> {
        let open: Vec<Arc<Way>> = lock(&self.ways).values().filter(|way| way.open()).cloned().collect();
        let about = |way: &Arc<Way>| release::Server {
            zone: way.zone,
            near: Some(way.zone) == self.here,
            doubted: way.doubted.load(Ordering::Relaxed),
            ready: way.pool.any(),
            tried: asked.iter().filter(|before| before.name == way.name).count() as u32,
        };
        let hosts: Vec<release::Server> = open.iter().map(about).collect();
        let at = open.iter().position(|way| way.name == holds);
        let mut chance = lock(&self.chance);
        release::next(&hosts, at, || chance.next_u32()).map(|at| open[at].clone())
    }

    /// Closes idle connections that are too old.
    pub fn trim(&self) {
        let ways: Vec<Arc<Way>> = lock(&self.ways).values().cloned().collect();
        ways.iter().for_each(|way| way.pool.trim());
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        lock(&self.ways).values().for_each(|way| way.pool.clear());
    }

    /// Returns a connection to the pool if the socket budget allows it.
    pub fn keep(&self, shared: &Shared, way: &Way, link: Link) {
        if way.open() && shared.room.keeps(tulipstall_net::sockets_held()) {
            way.pool.put(link);
        }
    }

    /// Applies a list, whole or as changes.
    pub fn apply(&self, shared: &Shared, list: &List, whole: bool) {
        let (now, wall) = (shared.now(), self.wall_clock(shared.now()));
        let mut rows = Vec::with_capacity(list.hosts.len());
        {
            let (mut ways, mut zones) = (lock(&self.ways), lock(&self.zones));
            if whole {
                let listed: std::collections::BTreeSet<&str> =
                    list.hosts.iter().map(|line| line.host.as_str()).collect();
                ways.retain(|name, way| {
                    let stays = listed.contains(name.as_str());
                    if !stays {
                        way.stands(Standing::Gone);
                    }
                    stays
                });
            }
            for line in &list.hosts {
                let same = |way: &Arc<Way>| way.address() == line.dial && way.born_ms == line.born_ms;
                let way = match ways.get(&line.host).filter(|way| same(way)) {
                    Some(way) => way.clone(),
                    None => Arc::new(Way {
                        name: line.host.clone(),
                        pool: Pool::new(line.dial, IDLE, self.idle_for),
                        born_ms: line.born_ms,
                        age: line.born().map(|born| Age { first: wall.age(born), listed: now }),
                        closed: AtomicBool::new(false),
                        gone: AtomicBool::new(false),
                        out: AtomicUsize::new(0),
                        // Beyond the limit of zone names all further zones share one number.
                        zone: zones.enter(&line.site).unwrap_or(u32::MAX),
                        doubted: AtomicBool::new(false),
                        streams: Mutex::default(),
                    }),
                };
                way.stands(line.standing());
                rows.push(line.row(way.age.map(|age| age.at(now))));
                let before = if line.standing() == Standing::Gone {
                    ways.remove(&line.host)
                } else {
                    ways.insert(line.host.clone(), way.clone())
                };
                // Another process than before: a request written to the old one's connections would be lost.
                if let Some(before) = before.filter(|before| !Arc::ptr_eq(before, &way)) {
                    before.stands(Standing::Gone);
                }
            }
        }
        tracing::info!(seq = list.seq, whole, hosts = list.hosts.len(), "list taken");
        shared.posts.post(Post::Told(Input::Listed { whole, rows }));
    }
}
