//! The list of hosts: from a file that is read again when it changes, from pushes, and from the last list kept.
//! A host that drains or is gone is closed to new shots the moment that is told, before any decision.

use crate::Shared;
use crate::owner::Post;
use slab::Slab;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use std::{fs, io, thread};
use tulipstall::interface::Standing;
use tulipstall_core::{Input, Row};
use tulipstall_net::{Link, Pool};
use tulipstall_settings::{HostLine, HostList, HostStanding, Settings};

/// How often the file is looked at.
const LOOK: Duration = Duration::from_millis(100);

pub fn now_unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

/// How silent the writer of a host that is gone from the list may be: what halts a process for a moment takes.
pub const GONE: Duration = Duration::from_millis(250);

/// The way to one host.
pub struct Way {
    pub name: String,
    pub pool: Pool,
    /// Drains or gone: nothing new is written to it.
    closed: AtomicBool,
    /// Not on the list any more.
    gone: AtomicBool,
    /// When it was first told to drain, of this time.
    drains: Mutex<Option<Instant>>,
    /// Begun answers that it streams.
    streams: Mutex<Slab<Link>>,
}

/// Takes a stream off its host's list.
pub struct Streams<'a>(&'a Way, usize);

impl Drop for Streams<'_> {
    fn drop(&mut self) {
        if let Ok(mut streams) = self.0.streams.lock() {
            streams.try_remove(self.1);
        }
    }
}

impl Way {
    pub fn open(&self) -> bool {
        !self.closed.load(Ordering::Acquire)
    }

    pub fn gone(&self) -> bool {
        self.gone.load(Ordering::Acquire)
    }

    /// Since when it drains.
    pub fn drains(&self) -> Option<Instant> {
        if self.open() { None } else { self.drains.lock().ok().and_then(|since| *since) }
    }

    /// A begun answer streams here from now on.
    pub fn streams(&self, link: &Link) -> Option<Streams<'_>> {
        let key = self.streams.lock().ok()?.insert(link.clone());
        Some(Streams(self, key))
    }

    fn stands(&self, standing: HostStanding) {
        self.closed.store(standing != HostStanding::Running, Ordering::Release);
        self.gone.store(standing == HostStanding::Gone, Ordering::Release);
        if standing == HostStanding::Gone
            && let Ok(streams) = self.streams.lock()
        {
            // Who is silent under a stream has so long to say something, not what a listed host has.
            let by = Instant::now() + GONE;
            streams.iter().for_each(|(_, link)| link.read_by_at_most(by));
        }
        if let Ok(mut since) = self.drains.lock() {
            *since = match standing {
                HostStanding::Running => None,
                HostStanding::Draining => since.or_else(|| Some(Instant::now())),
                HostStanding::Gone => *since,
            };
        }
    }
}

#[derive(Default)]
struct Listed {
    version: u64,
    lines: BTreeMap<SocketAddr, HostLine>,
    ways: BTreeMap<SocketAddr, Arc<Way>>,
}

pub struct Hosts {
    listed: Mutex<Listed>,
    idle: usize,
    idle_for: Duration,
    keep: Option<mpsc::Sender<HostList>>,
    kept: Mutex<Option<mpsc::Receiver<HostList>>>,
    any: AtomicBool,
}

impl Hosts {
    pub fn new(settings: &Settings) -> Self {
        let (keep, kept) = mpsc::channel();
        Hosts {
            listed: Mutex::default(),
            idle: settings.limits.idle_connections,
            idle_for: Duration::from_millis(settings.times.host_idle_ms),
            keep: settings.hosts_kept.is_some().then_some(keep),
            kept: Mutex::new(Some(kept)),
            any: AtomicBool::new(false),
        }
    }

    /// Whether any list has been taken.
    pub fn any(&self) -> bool {
        self.any.load(Ordering::Acquire)
    }

    pub fn way(&self, name: &str) -> Option<Arc<Way>> {
        let address = name.parse().ok()?;
        self.listed.lock().ok()?.ways.get(&address).cloned()
    }

    pub fn list(&self) -> HostList {
        let Ok(listed) = self.listed.lock() else { return HostList::default() };
        HostList { version: listed.version, whole: true, hosts: listed.lines.values().cloned().collect() }
    }

    /// Takes a list whole; an older one than the last is passed over.
    pub fn apply(&self, shared: &Shared, list: &HostList, source: &str) {
        let rows = {
            let Ok(mut listed) = self.listed.lock() else { return };
            if list.version != 0 && list.version <= listed.version {
                shared.metrics.lists.with_label_values(&[source, "old"]).inc();
                return;
            }
            listed.version = list.version.max(listed.version);
            self.enter(&mut listed, list);
            list.hosts.iter().map(row).collect()
        };
        self.any.store(true, Ordering::Release);
        shared.metrics.lists.with_label_values(&[source, "taken"]).inc();
        tracing::info!(
            source,
            version = list.version,
            whole = list.whole,
            hosts = list.hosts.len(),
            "list taken"
        );
        shared.posts.post(Post::Told(Input::Listed { whole: list.whole, rows }));
        if let Some(keep) = &self.keep {
            // The keeper ends with the process.
            let _ = keep.send(self.list());
        }
    }

    fn enter(&self, listed: &mut Listed, list: &HostList) {
        if list.whole {
            for (address, way) in &listed.ways {
                if !list.hosts.iter().any(|line| line.host == *address) {
                    way.stands(HostStanding::Gone);
                }
            }
            listed.lines.clear();
        }
        for line in &list.hosts {
            let way = listed.ways.entry(line.host).or_insert_with(|| {
                Arc::new(Way {
                    name: line.host.to_string(),
                    pool: Pool::new(line.host, self.idle, self.idle_for),
                    closed: AtomicBool::new(false),
                    gone: AtomicBool::new(false),
                    drains: Mutex::new(None),
                    streams: Mutex::default(),
                })
            });
            way.stands(line.standing);
            if line.standing != HostStanding::Running {
                way.pool.clear();
            }
            if line.standing == HostStanding::Gone {
                listed.lines.remove(&line.host);
            } else {
                listed.lines.insert(line.host, line.clone());
            }
        }
    }
}

fn row(line: &HostLine) -> Row {
    Row {
        host: line.host.to_string(),
        kind: line.kind.clone(),
        zone: line.zone.clone(),
        cell: line.cell,
        weight: line.weight,
        up_for: line.started_unix_ms.map(|at| Duration::from_millis(now_unix_ms().saturating_sub(at))),
        standing: match line.standing {
            HostStanding::Running => Standing::Running,
            HostStanding::Draining => Standing::Draining,
            HostStanding::Gone => Standing::Gone,
        },
    }
}

/// Reads the list kept by an earlier run, then watches the file and keeps what comes. Files block, so both
/// have threads of their own.
pub fn start(shared: Arc<Shared>) -> io::Result<()> {
    let settings = &shared.settings;
    if let Some(path) = &settings.hosts_kept {
        match read(path) {
            Ok(Some(list)) => shared.hosts.apply(&shared, &HostList { version: 0, ..list }, "kept"),
            Ok(None) => {}
            Err(why) => tracing::warn!(path = %path.display(), why, "the kept list is not used"),
        }
        let (path, kept) = (path.clone(), shared.hosts.kept.lock().ok().and_then(|mut kept| kept.take()));
        if let Some(kept) = kept {
            thread::Builder::new().name("keep-list".into()).spawn(move || keep(&path, &kept))?;
        }
    }
    if let Some(path) = settings.hosts_file.clone() {
        look(&shared, &path, &mut None);
        let mut seen = stamp(&path);
        thread::Builder::new().name("watch-list".into()).spawn(move || {
            loop {
                thread::sleep(LOOK);
                look(&shared, &path, &mut seen);
            }
        })?;
    }
    Ok(())
}

fn stamp(path: &Path) -> Option<(SystemTime, u64)> {
    let about = fs::metadata(path).ok()?;
    Some((about.modified().ok()?, about.len()))
}

fn look(shared: &Shared, path: &Path, seen: &mut Option<(SystemTime, u64)>) {
    let now = stamp(path);
    if now == *seen || now.is_none() {
        return;
    }
    match read(path) {
        Ok(Some(list)) => shared.hosts.apply(shared, &HostList { whole: true, ..list }, "file"),
        Ok(None) => {}
        Err(why) => {
            shared.metrics.lists.with_label_values(&["file", "refused"]).inc();
            tracing::warn!(path = %path.display(), why, "the list is refused, the last one stays");
        }
    }
    *seen = now;
}

fn read(path: &Path) -> Result<Option<HostList>, String> {
    match fs::read_to_string(path) {
        Ok(text) => HostList::read(&text)
            .map(Some)
            .map_err(|faults| faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(error.to_string()),
    }
}

/// Writes each list whole beside the last one and renames it over that; of many only the newest.
fn keep(path: &Path, kept: &mpsc::Receiver<HostList>) {
    // A name that no other file of this folder has.
    let beside = PathBuf::from(format!("{}.new", path.display()));
    while let Ok(mut list) = kept.recv() {
        while let Ok(newer) = kept.try_recv() {
            list = newer;
        }
        let text = serde_json::to_vec_pretty(&list).unwrap_or_default();
        let written = write_whole(&beside, &text).and_then(|()| fs::rename(&beside, path));
        if let Err(error) = written {
            tracing::warn!(path = %path.display(), %error, "the list is not kept");
        }
    }
}

fn write_whole(path: &Path, text: &[u8]) -> io::Result<()> {
    use std::io::Write;
    let mut file = fs::File::create(path)?;
    file.write_all(text)?;
    file.sync_all()
}
