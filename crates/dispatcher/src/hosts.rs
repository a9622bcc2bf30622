//! The list of hosts: from a file that is reloaded when it changes, from pushes, and from the list saved by an earlier
//! run. A host that is listed as draining or gone accepts no new shots from that moment on, before any decision.

use crate::Shared;
use crate::owner::OwnerMessage;
use slab::Slab;
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use std::{fs, io, thread};
use tulipstall::interface::HostStatus;
use tulipstall_core::{HostRow, Input};
use tulipstall_net::{Link, Pool};
use tulipstall_settings::{HostLine, HostList, HostStanding, Settings};

/// How often the file is checked for changes.
const LIST_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Milliseconds since the Unix epoch.
pub fn now_unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

/// How long a stream from a host that is gone from the list may be silent: long enough for a short halt of its process.
pub const GONE_STALL_TIMEOUT: Duration = Duration::from_millis(250);

/// A host with its connections and its state in the list.
pub struct Endpoint {
    pub name: String,
    pub pool: Pool,
    /// Draining or gone: no new requests are sent to it.
    closed: AtomicBool,
    /// No longer on the list.
    gone: AtomicBool,
    /// When the current drain began.
    draining_since: Mutex<Option<Instant>>,
    /// Connections of the begun answers that it streams.
    streams: Mutex<Slab<Link>>,
}

/// Removes a stream from its endpoint when dropped.
pub struct StreamGuard<'a>(&'a Endpoint, usize);

impl Drop for StreamGuard<'_> {
    fn drop(&mut self) {
        if let Ok(mut streams) = self.0.streams.lock() {
            streams.try_remove(self.1);
        }
    }
}

impl Endpoint {
    pub fn is_open(&self) -> bool {
        !self.closed.load(Ordering::Acquire)
    }

    pub fn is_gone(&self) -> bool {
        self.gone.load(Ordering::Acquire)
    }

    /// When its drain began, if the host is draining or gone.
    pub fn draining_since(&self) -> Option<Instant> {
        if self.is_open() { None } else { self.draining_since.lock().ok().and_then(|since| *since) }
    }

    /// Registers a begun answer that streams from this host, until the guard is dropped.
    pub fn register_stream(&self, link: &Link) -> Option<StreamGuard<'_>> {
        let key = self.streams.lock().ok()?.insert(link.clone());
        Some(StreamGuard(self, key))
    }

    /// Takes over the host's status from a list.
    fn set_standing(&self, standing: HostStanding) {
        self.closed.store(standing != HostStanding::Running, Ordering::Release);
        self.gone.store(standing == HostStanding::Gone, Ordering::Release);
        if standing == HostStanding::Gone
            && let Ok(streams) = self.streams.lock()
        {
            // A read that already waits for data gets this short time-out too, not that of a listed host.
            let deadline = Instant::now() + GONE_STALL_TIMEOUT;
            streams.iter().for_each(|(_, link)| link.shorten_read_deadline(deadline));
        }
        if let Ok(mut since) = self.draining_since.lock() {
            *since = match standing {
                HostStanding::Running => None,
                HostStanding::Draining => since.or_else(|| Some(Instant::now())),
                HostStanding::Gone => *since,
            };
        }
    }
}

/// The merged list of hosts, and an endpoint for each host ever listed.
#[derive(Default)]
struct HostTable {
    version: u64,
    lines: BTreeMap<SocketAddr, HostLine>,
    endpoints: BTreeMap<SocketAddr, Arc<Endpoint>>,
}

/// All hosts of the dispatcher.
pub struct Hosts {
    table: Mutex<HostTable>,
    /// Limits for the idle connections in each host's pool.
    max_idle_connections: usize,
    idle_timeout: Duration,
    save_sender: Option<mpsc::Sender<HostList>>,
    save_receiver: Mutex<Option<mpsc::Receiver<HostList>>>,
    list_applied: AtomicBool,
}

impl Hosts {
    pub fn new(settings: &Settings) -> Self {
        let (save_sender, save_receiver) = mpsc::channel();
        Hosts {
            table: Mutex::default(),
            max_idle_connections: settings.limits.idle_connections,
            idle_timeout: Duration::from_millis(settings.times.host_idle_ms),
            save_sender: settings.hosts_kept.is_some().then_some(save_sender),
            save_receiver: Mutex::new(Some(save_receiver)),
            list_applied: AtomicBool::new(false),
        }
    }

    /// Whether any list has been applied.
    pub fn list_applied(&self) -> bool {
        self.list_applied.load(Ordering::Acquire)
    }

    /// The endpoint with this name, which is its address.
    pub fn endpoint(&self, name: &str) -> Option<Arc<Endpoint>> {
        let address = name.parse().ok()?;
        self.table.lock().ok()?.endpoints.get(&address).cloned()
    }

    /// The current list as a whole.
    pub fn list(&self) -> HostList {
        let Ok(table) = self.table.lock() else { return HostList::default() };
        HostList { version: table.version, whole: true, hosts: table.lines.values().cloned().collect() }
    }

    /// Applies a list at once. A list with a version that is not newer than the last one's is ignored.
    pub fn apply(&self, shared: &Shared, list: &HostList, source: &str) {
        let rows = {
            let Ok(mut table) = self.table.lock() else { return };
            if list.version != 0 && list.version <= table.version {
                shared.metrics.lists.with_label_values(&[source, "old"]).inc();
                return;
            }
            table.version = list.version.max(table.version);
            self.update_table(&mut table, list);
            list.hosts.iter().map(core_row).collect()
        };
        self.list_applied.store(true, Ordering::Release);
        shared.metrics.lists.with_label_values(&[source, "taken"]).inc();
        tracing::info!(
            source,
            version = list.version,
            whole = list.whole,
            hosts = list.hosts.len(),
            "list taken"
        );
        shared.owner_queue.send(OwnerMessage::CoreInput(Input::HostList { complete: list.whole, rows }));
        if let Some(save_sender) = &self.save_sender {
            // The thread that saves lists runs as long as the process.
            let _ = save_sender.send(self.list());
        }
    }

    /// Merges a list into the table and creates endpoints for new hosts.
    fn update_table(&self, table: &mut HostTable, list: &HostList) {
        if list.whole {
            let listed: HashSet<SocketAddr> = list.hosts.iter().map(|line| line.host).collect();
            for (address, endpoint) in &table.endpoints {
                if !listed.contains(address) {
                    endpoint.set_standing(HostStanding::Gone);
                }
            }
            table.lines.clear();
        }
        for line in &list.hosts {
            let endpoint = table.endpoints.entry(line.host).or_insert_with(|| {
                Arc::new(Endpoint {
                    name: line.host.to_string(),
                    pool: Pool::new(line.host, self.max_idle_connections, self.idle_timeout),
                    closed: AtomicBool::new(false),
                    gone: AtomicBool::new(false),
                    draining_since: Mutex::new(None),
                    streams: Mutex::default(),
                })
            });
            endpoint.set_standing(line.standing);
            if line.standing != HostStanding::Running {
                endpoint.pool.clear();
            }
            if line.standing == HostStanding::Gone {
                table.lines.remove(&line.host);
            } else {
                table.lines.insert(line.host, line.clone());
            }
        }
    }
}

/// A line of the list, as an input for the decision core.
fn core_row(line: &HostLine) -> HostRow {
    HostRow {
        host: line.host.to_string(),
        kind: line.kind.clone(),
        zone: line.zone.clone(),
        cell: line.cell,
        weight: line.weight,
        uptime: line.started_unix_ms.map(|at| Duration::from_millis(now_unix_ms().saturating_sub(at))),
        status: match line.standing {
            HostStanding::Running => HostStatus::Running,
            HostStanding::Draining => HostStatus::Draining,
            HostStanding::Gone => HostStatus::Gone,
        },
    }
}

/// Applies the list saved by an earlier run, then watches the file and saves each list. File I/O blocks, so both run in
/// threads of their own.
pub fn start(shared: Arc<Shared>) -> io::Result<()> {
    let settings = &shared.settings;
    if let Some(path) = &settings.hosts_kept {
        match read_list(path) {
            Ok(Some(list)) => shared.hosts.apply(&shared, &HostList { version: 0, ..list }, "kept"),
            Ok(None) => {}
            Err(why) => {
                tracing::warn!(path = %path.display(), why, "the saved host list is unusable and ignored")
            }
        }
        let (path, save_receiver) =
            (path.clone(), shared.hosts.save_receiver.lock().ok().and_then(|mut receiver| receiver.take()));
        if let Some(save_receiver) = save_receiver {
            thread::Builder::new()
                .name("keep-list".into())
                .spawn(move || save_lists(&path, &save_receiver))?;
        }
    }
    if let Some(path) = settings.hosts_file.clone() {
        reload_if_changed(&shared, &path, &mut None);
        let mut last_stamp = file_stamp(&path);
        thread::Builder::new().name("watch-list".into()).spawn(move || {
            loop {
                thread::sleep(LIST_POLL_INTERVAL);
                reload_if_changed(&shared, &path, &mut last_stamp);
            }
        })?;
    }
    Ok(())
}

/// Modification time and size of a file, by which changes are noticed.
fn file_stamp(path: &Path) -> Option<(SystemTime, u64)> {
    let metadata = fs::metadata(path).ok()?;
    Some((metadata.modified().ok()?, metadata.len()))
}

/// Applies the list in the file if the file has changed since `last_stamp` was taken.
fn reload_if_changed(shared: &Shared, path: &Path, last_stamp: &mut Option<(SystemTime, u64)>) {
    let current = file_stamp(path);
    if current == *last_stamp || current.is_none() {
        return;
    }
    match read_list(path) {
        Ok(Some(list)) => shared.hosts.apply(shared, &HostList { whole: true, ..list }, "file"),
        Ok(None) => {}
        Err(why) => {
            shared.metrics.lists.with_label_values(&["file", "refused"]).inc();
            tracing::warn!(path = %path.display(), why, "the list is refused, the last one stays");
        }
    }
    *last_stamp = current;
}

/// Reads a list from a file; `None` if the file does not exist.
fn read_list(path: &Path) -> Result<Option<HostList>, String> {
    match fs::read_to_string(path) {
        Ok(text) => HostList::read(&text)
            .map(Some)
            .map_err(|violations| violations.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(error.to_string()),
    }
}

/// Saves lists. Each is written to a temporary file that then replaces the last one, so that a crash leaves a complete
/// list. If several wait, only the newest is written.
fn save_lists(path: &Path, lists: &mpsc::Receiver<HostList>) {
    // A name of its own beside the saved list.
    let temporary = PathBuf::from(format!("{}.new", path.display()));
    while let Ok(mut list) = lists.recv() {
        while let Ok(newer) = lists.try_recv() {
            list = newer;
        }
        let text = serde_json::to_vec_pretty(&list).unwrap_or_default();
        let saved = write_synced(&temporary, &text).and_then(|()| fs::rename(&temporary, path));
        if let Err(error) = saved {
            tracing::warn!(path = %path.display(), %error, "the host list could not be saved");
        }
    }
}

/// Writes a file and syncs it to disk.
fn write_synced(path: &Path, text: &[u8]) -> io::Result<()> {
    use std::io::Write;
    let mut file = fs::File::create(path)?;
    file.write_all(text)?;
    file.sync_all()
}
