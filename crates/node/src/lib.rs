//! The dispatcher as the platform runs it: the platform's protocol on sockets. Reports events to
//! [`tulipstall_core::Core`] and carries out its outputs, as the messages front end does; it makes no
//! decision itself. It listens on one address, writes no file, and gets its list of hosts from the platform's
//! registry.

mod attempt;
mod client;
mod front;
mod host_changes;
mod hosts;
mod memory;
mod metrics;
mod owner;
mod receive;
mod registry;
mod relay;
mod release;
mod task;

use host_changes::HostChanges;
use hosts::Hosts;
use memory::RequestMemory;
use owner::OwnerMessage;
use registry::RegistryAddress;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, Once, PoisonError, mpsc};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use std::{fs, io, thread};
use tulipstall_core::Core;
use tulipstall_net::Listener;
use tulipstall_net::sync::Semaphore;
use tulipstall_platform::call::Catalog;
use tulipstall_platform::ids::RequestIds;
use tulipstall_platform::memory_budget::MemoryBudget;
use tulipstall_platform::registry::RegistryTimeouts;
use tulipstall_platform::reuse::ReuseHistory;
use tulipstall_platform::socket_budget::SocketBudget;
use tulipstall_platform::start::{Limits, StartConfig};

/// Sends messages to the thread that owns the decisions: a bounded queue, first in, first out.
#[derive(Clone)]
struct OwnerQueue {
    sender: may::sync::mpsc::Sender<OwnerMessage>,
    free_slots: Arc<Semaphore>,
}

impl OwnerQueue {
    /// Waits for a free slot in the queue.
    fn send(&self, message: OwnerMessage) {
        self.free_slots.acquire();
        // The owner lives as long as the process.
        let _ = self.sender.send(message);
    }
}

/// What all threads and coroutines of the process share.
struct Shared {
    catalog: Catalog,
    start: Instant,
    owner_queue: OwnerQueue,
    host_changes: HostChanges,
    hosts: Hosts,
    socket_budget: SocketBudget,
    request_memory: Arc<RequestMemory>,
    connect_timeout: Duration,
    /// Time within which a held state has to be released.
    release_time: Duration,
    /// Stopping: connections end with their answer.
    draining: AtomicBool,
    /// Stopping, and the time in which new requests are still accepted is over.
    rejecting: AtomicBool,
    /// Whether connections are still accepted: until the listener has been closed and those that the system
    /// had accepted by then are on the list of clients.
    accepting: AtomicBool,
    /// The longest advice of when to retry; `None` if clients get no such advice.
    max_retry_after: Option<Duration>,
    /// Accepted tasks whose client has not received its last byte yet.
    in_hand: AtomicUsize,
    /// Tasks that the decisions still track, and releases that are owed.
    unsettled: AtomicUsize,
    /// Limit of `unsettled` at which new tasks are rejected.
    max_unsettled: usize,
    releases: metrics::ReleaseCounts,
    /// Calls of releases that have not ended.
    release_calls: AtomicUsize,
    /// Ids of requests: the id of an open request cannot be used by another client.
    ids: Mutex<RequestIds>,
    clients: client::Clients,
    /// Outcomes of reused pooled connections. Locked only for moments.
    reuse_history: Mutex<ReuseHistory>,
    registry: RegistryAddress,
    /// The registry has answered with a list since the start.
    list_received: AtomicBool,
}

impl Shared {
    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// When a rejected client should retry, within what it may be told.
    fn retry_advice(&self, after: Duration) -> Option<Duration> {
        self.max_retry_after.map(|max| after.min(max))
    }
}

/// Locks a mutex that is held for moments only. Its data is valid even after a panic, so a poisoned lock is
/// used as it is.
fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Bytes of a coroutine's stack, touched only as deep as used: twice a read buffer and the parser's needs.
const COROUTINE_STACK_BYTES: usize = 128 << 10;
/// Messages that may wait for the owner: several for each task that the limits allow.
const OWNER_QUEUE_CAPACITY: usize = 4096;

/// Limit for how long ids of ended requests stay reserved, where the configuration lets clients wait for
/// longer.
const MAX_ID_RETENTION: Duration = Duration::from_secs(60);

/// How long a stopping dispatcher still accepts connections: the platform's front end sends new ones for 0.2
/// to 0.4 s.
const ACCEPT_AFTER_STOP: Duration = Duration::from_millis(450);

fn read_config(path: &Path) -> Result<StartConfig, String> {
    let text = fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    StartConfig::parse(&text)
}

/// A running dispatcher.
pub struct Node {
    shared: Arc<Shared>,
    listener: Arc<Listener>,
    address: SocketAddr,
    owner: Mutex<Option<JoinHandle<()>>>,
}

impl Node {
    /// Binds the listening address and starts to serve.
    pub fn start(start: &StartConfig) -> Result<Node, String> {
        let to_text = |error: io::Error| error.to_string();
        // One worker, as the platform assigns part of one core. Set up once per process.
        static COROUTINES: Once = Once::new();
        COROUTINES.call_once(|| tulipstall_net::configure_coroutines(1, COROUTINE_STACK_BYTES));
        let (sender, receiver) = may::sync::mpsc::channel();
        let duration_setting = |name: &str, default: Duration| start.config.duration(name).unwrap_or(default);
        // Half of the time after which hosts close idle connections: beyond that a request could cross the
        // close.
        let idle_timeout = duration_setting("allowed.keepalive_us", Duration::from_secs(10)) / 2;
        let catalog = Catalog::new(&start.config);
        let memory_budget = MemoryBudget::new(start.limits.memory_mb);
        let socket_budget = SocketBudget::new(start.limits.sockets)
            .limited_to(memory_budget.max_clients(), memory_budget.max_tasks());
        // Releases may be owed for as many tasks again as may be open.
        let max_unsettled =
            memory_budget.max_tasks().clamp(socket_budget.max_tasks(), 2 * socket_budget.max_tasks());
        let request_memory = RequestMemory::new(memory_budget, socket_budget.max_clients(), max_unsettled);
        // An attempt of a request may run for as long as its client would have waited.
        let id_retention = catalog.max_deadline().min(MAX_ID_RETENTION);
        let shared = Arc::new(Shared {
            catalog,
            start: Instant::now(),
            owner_queue: OwnerQueue { sender, free_slots: Arc::new(Semaphore::new(OWNER_QUEUE_CAPACITY)) },
            host_changes: HostChanges::default(),
            hosts: Hosts::new(idle_timeout, start.seed, start.config.text("zone")),
            socket_budget,
            request_memory,
            connect_timeout: duration_setting("allowed.connect_timeout_us", Duration::from_millis(250)),
            release_time: duration_setting("service.release_us", Duration::from_secs(1)),
            draining: AtomicBool::new(false),
            rejecting: AtomicBool::new(false),
            accepting: AtomicBool::new(true),
            max_retry_after: start
                .config
                .flag("allowed.come_back")
                .then(|| duration_setting("allowed.max_come_back_us", Duration::ZERO)),
            in_hand: AtomicUsize::new(0),
            unsettled: AtomicUsize::new(0),
            max_unsettled,
            releases: metrics::ReleaseCounts::default(),
            release_calls: AtomicUsize::new(0),
            ids: Mutex::new(RequestIds::new(id_retention)),
            clients: client::Clients::default(),
            reuse_history: Mutex::default(),
            registry: RegistryAddress::new(start.discovery),
            list_received: AtomicBool::new(false),
        });
        let mut core = Core::new(start.seed, start.config.clone());
        core.limit_names(memory_budget.max_names());
        let owner = owner::start(shared.clone(), receiver, core).map_err(to_text)?;
        let listener = Arc::new(Listener::bind(start.listen).map_err(to_text)?);
        let address = listener.local_addr().map_err(to_text)?;
        if let Some(known) = &start.last_list {
            shared.hosts.apply(&shared, known, true);
        }
        let known_seq = start.last_list.as_ref().map(|list| list.seq);
        registry::start(shared.clone(), RegistryTimeouts::from_config(&start.config), known_seq);
        front::start(shared.clone(), listener.clone());
        let zone = start.config.text("zone").unwrap_or_default();
        let Limits { sockets, memory_mb } = start.limits;
        tracing::info!(name = start.name, %address, sockets, memory_mb, zone, "listening");
        Ok(Node { shared, listener, address, owner: Mutex::new(Some(owner)) })
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the address of the registry as a new configuration names it, which was announced at `announced_at`.
    pub fn set_registry_address(&self, registry: SocketAddr, announced_at: Instant) {
        let since_start = announced_at.saturating_duration_since(self.shared.start);
        self.shared.registry.set(registry, since_start);
    }

    /// Stops accepting requests, and returns once all that were accepted are answered.
    pub fn stop(&self) {
        let shared = &self.shared;
        shared.draining.store(true, Ordering::SeqCst);
        tracing::info!(in_hand = shared.in_hand.load(Ordering::SeqCst), "stopping");
        thread::sleep(ACCEPT_AFTER_STOP);
        // A request that is complete only now might not be answered before the platform kills the process.
        shared.rejecting.store(true, Ordering::SeqCst);
        self.listener.close_when_drained();
        loop {
            shared.clients.close_idle();
            // In this order: an accepted connection is on the list of clients before `accepting` is cleared.
            let accepting = shared.accepting.load(Ordering::SeqCst);
            let owed = shared.in_hand.load(Ordering::SeqCst) + shared.unsettled.load(Ordering::SeqCst);
            let clients = shared.clients.count() + tulipstall_net::closing_links();
            if !accepting && owed == 0 && clients == 0 {
                return;
            }
            thread::sleep(Duration::from_millis(20));
        }
    }
}

impl Drop for Node {
    /// Stops serving, and closes idle connections to free their descriptors.
    fn drop(&mut self) {
        self.listener.close();
        self.shared.clients.close_idle();
        self.shared.hosts.close_idle();
    }
}

/// Runs until SIGTERM or SIGINT, and then until all accepted requests are answered. On SIGHUP the
/// configuration is read again on a thread of its own, so that neither signal waits for the other.
pub fn run(config: PathBuf) -> Result<(), String> {
    // Registered before anything else: unhandled, these signals end the process.
    let signals = Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(|error| error.to_string())?;
    let node = Arc::new(Node::start(&read_config(&config)?)?);
    let (reload, reload_requests) = mpsc::channel();
    let (end, ended) = mpsc::channel();
    let to_text = |error: io::Error| error.to_string();
    let (reloaded_node, owner) = (node.clone(), lock(&node.owner).take());
    let thread_named = |name: &str| thread::Builder::new().name(name.into());
    thread_named("configuration")
        .spawn(move || reload_on_request(&reloaded_node, &config, &reload_requests))
        .map_err(to_text)?;
    let owner_died = end.clone();
    let watch_owner = move || {
        if owner.is_some_and(|owner| owner.join().is_err()) {
            let _ = owner_died.send(Err("the thread that owns the decisions has panicked".to_owned()));
        }
    };
    thread_named("owner's end").spawn(watch_owner).map_err(to_text)?;
    thread_named("signals").spawn(move || forward_signals(signals, &reload, &end)).map_err(to_text)?;
    // The thread that forwards signals lives as long as the process.
    ended.recv().unwrap_or(Ok(()))?;
    node.stop();
    tracing::info!("stopped");
    Ok(())
}

fn forward_signals(mut signals: Signals, reload: &mpsc::Sender<()>, end: &mpsc::Sender<Result<(), String>>) {
    for signal in signals.forever() {
        // A second signal of either kind changes nothing.
        let _ = if signal == SIGHUP { reload.send(()).is_ok() } else { end.send(Ok(())).is_ok() };
    }
}

/// For how long reading a replaced configuration is retried: the time for which an unreachable old registry
/// may go unnoticed.
const RELOAD_WINDOW: Duration = Duration::from_millis(3500);

/// Reads the configuration after each reload request, as the registry may have moved. The file may be half
/// written, or no descriptor be free: reading is retried, and a further request in the meantime restarts the
/// time limit.
fn reload_on_request(node: &Node, config: &Path, reload: &mpsc::Receiver<()>) {
    while reload.recv().is_ok() {
        let mut announced_at = Instant::now();
        while announced_at.elapsed() < RELOAD_WINDOW {
            match read_config(config) {
                Ok(start) => {
                    tracing::info!(registry = %start.discovery, "configuration reloaded");
                    node.set_registry_address(start.discovery, announced_at);
                    break;
                }
                Err(why) => tracing::warn!(why, "configuration rejected"),
            }
            if reload.recv_timeout(Duration::from_millis(50)).is_ok() {
                announced_at = Instant::now();
            }
        }
    }
}
