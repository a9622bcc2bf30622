//! The dispatcher as the platform runs it: the platform's protocol on sockets. Reports events to
//! [`tulipstall_core::Core`] and carries out its outputs, as the messages front end does; it makes no
//! decision itself. It listens on one address, writes no file, and gets its list of hosts from the platform's
//! registry.

mod attempt;
mod front;
mod hosts;
mod metrics;
mod owner;
mod registry;
mod relay;
mod release;
mod task;

use hosts::Hosts;
use may::sync::Semphore;
use owner::Post;
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
use tulipstall_net::{Link, Listener};
use tulipstall_platform::call::Names;
use tulipstall_platform::ids::Ids;
use tulipstall_platform::kept::Kept;
use tulipstall_platform::registry::Patience;
use tulipstall_platform::room::Room;
use tulipstall_platform::start::Start;

/// Sends messages to the thread that owns the decisions: a bounded queue, first in, first out.
#[derive(Clone)]
struct Posts {
    sender: may::sync::mpsc::Sender<Post>,
    room: Arc<Semphore>,
}

impl Posts {
    /// Waits for a free slot in the queue.
    fn post(&self, post: Post) {
        self.room.wait();
        // The owner lives as long as the process.
        let _ = self.sender.send(post);
    }
}

struct Shared {
    names: Names,
    start: Instant,
    posts: Posts,
    hosts: Hosts,
    room: Room,
    connect: Duration,
    release: Duration,
    /// Stopping: connections end with their answer.
    draining: AtomicBool,
    /// Stopping, and the time in which new requests are still accepted is over.
    refuses: AtomicBool,
    /// Whether connections are still accepted: until the listener has been closed and those that the system
    /// had accepted by then are on the list of clients.
    accepts: AtomicBool,
    /// The longest advice of when to retry; `None` if clients get no such advice.
    come_back: Option<Duration>,
    /// Accepted tasks whose client has not received its last byte yet.
    in_hand: AtomicUsize,
    /// Tasks that the decisions still track, and releases that are owed.
    unsettled: AtomicUsize,
    releases: metrics::ReleaseCounts,
    /// Ids of requests: the id of an open request cannot be used by another client.
    ids: Mutex<Ids>,
    clients: front::Clients,
    /// Outcomes of reused pooled connections. Locked only for moments.
    kept: Mutex<Kept>,
    /// The registry's address and the connection to it.
    registry: Mutex<(SocketAddr, Option<Link>)>,
    listed: AtomicBool,
}

impl Shared {
    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// When a rejected client should retry, within what it may be told.
    fn advice(&self, after: Duration) -> Option<Duration> {
        self.come_back.map(|most| after.min(most))
    }
}

/// Locks a mutex that is held for moments only. Its data is valid even after a panic, so a poisoned lock is
/// used as it is.
fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Bytes of a coroutine's stack, touched only as deep as used: twice a read buffer and the parser's needs.
const STACK: usize = 128 << 10;
/// Messages that may wait for the owner: several for each task that the limits allow.
const POSTS: usize = 4096;

/// Limit for how long ids of ended requests stay reserved, where the configuration lets clients wait for
/// longer.
const KEEPS: Duration = Duration::from_secs(60);

/// How long a stopping dispatcher still accepts connections: the platform's front end sends new ones for 0.2
/// to 0.4 s.
const STILL_TAKES: Duration = Duration::from_millis(450);

fn read(path: &Path) -> Result<Start, String> {
    let text = fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    Start::read(&text)
}

/// A running dispatcher.
pub struct Node {
    shared: Arc<Shared>,
    listener: Arc<Listener>,
    address: SocketAddr,
    owner: Mutex<Option<JoinHandle<()>>>,
}

impl Node {
    /// Listens and serves from here on.
    pub fn start(start: &Start) -> Result<Node, String> {
        let told = |error: io::Error| error.to_string();
        // One worker, as the platform assigns part of one core. Set up once per process.
        static COROUTINES: Once = Once::new();
        COROUTINES.call_once(|| tulipstall_net::set_up(1, STACK));
        let (sender, receiver) = may::sync::mpsc::channel();
        let span = |name: &str, usual: Duration| start.terms.span(name).unwrap_or(usual);
        // Half of the time after which hosts close idle connections: beyond that a request could cross the
        // close.
        let idle_for = span("allowed.keepalive_us", Duration::from_secs(10)) / 2;
        let names = Names::new(&start.terms);
        // An attempt of a request may run for as long as its client would have waited.
        let keeps = names.longest().min(KEEPS);
        let shared = Arc::new(Shared {
            names,
            start: Instant::now(),
            posts: Posts { sender, room: Arc::new(Semphore::new(POSTS)) },
            hosts: Hosts::new(idle_for, start.seed, start.terms.text("zone")),
            room: Room::new(start.limits.sockets),
            connect: span("allowed.connect_timeout_us", Duration::from_millis(250)),
            release: span("service.release_us", Duration::from_secs(1)),
            draining: AtomicBool::new(false),
            refuses: AtomicBool::new(false),
            accepts: AtomicBool::new(true),
            come_back: start
                .terms
                .flag("allowed.come_back")
                .then(|| span("allowed.max_come_back_us", Duration::ZERO)),
            in_hand: AtomicUsize::new(0),
            unsettled: AtomicUsize::new(0),
            releases: metrics::ReleaseCounts::default(),
            ids: Mutex::new(Ids::new(keeps)),
            clients: front::Clients::default(),
            kept: Mutex::default(),
            registry: Mutex::new((start.discovery, None)),
            listed: AtomicBool::new(false),
        });
        let core = Core::new(start.seed, start.terms.clone());
        let owner = owner::start(shared.clone(), receiver, core).map_err(told)?;
        let listener = Arc::new(Listener::bind(start.listen).map_err(told)?);
        let address = listener.local_addr().map_err(told)?;
        if let Some(known) = &start.known {
            shared.hosts.apply(&shared, known, true);
        }
        let known = start.known.as_ref().map(|list| list.seq);
        registry::start(shared.clone(), Patience::told(&start.terms), known);
        front::start(shared.clone(), listener.clone());
        let zone = start.terms.text("zone").unwrap_or_default();
        tracing::info!(name = start.name, %address, sockets = start.limits.sockets, zone, "listening");
        Ok(Node { shared, listener, address, owner: Mutex::new(Some(owner)) })
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The registry has moved to another address.
    pub fn moved(&self, registry: SocketAddr) {
        registry::moved(&self.shared, registry);
    }

    /// Stops accepting requests, and returns once all that were accepted are answered.
    pub fn stop(&self) {
        let shared = &self.shared;
        shared.draining.store(true, Ordering::SeqCst);
        tracing::info!(in_hand = shared.in_hand.load(Ordering::SeqCst), "stopping");
        thread::sleep(STILL_TAKES);
        // A request that is complete only now might not be answered before the platform kills the process.
        shared.refuses.store(true, Ordering::SeqCst);
        self.listener.finish();
        loop {
            shared.clients.close_idle();
            // In this order: an accepted connection is on the list of clients before `accepting` is cleared.
            let accepts = shared.accepts.load(Ordering::SeqCst);
            let owed = shared.in_hand.load(Ordering::SeqCst) + shared.unsettled.load(Ordering::SeqCst);
            if !accepts && owed == 0 && shared.clients.count() == 0 {
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
        self.shared.hosts.clear();
    }
}

/// Runs until SIGTERM or SIGINT, and then until all accepted requests are answered. On SIGHUP the
/// configuration is read again on a thread of its own, so that neither signal waits for the other.
pub fn run(config: PathBuf) -> Result<(), String> {
    // First of all: unhandled, these signals end the process.
    let signals = Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(|error| error.to_string())?;
    let node = Arc::new(Node::start(&read(&config)?)?);
    let (replaced, replacements) = mpsc::channel();
    let (over, ends) = mpsc::channel();
    let told = |error: io::Error| error.to_string();
    let (about, owner) = (node.clone(), lock(&node.owner).take());
    let named = |name: &str| thread::Builder::new().name(name.into());
    named("configuration").spawn(move || read_again(&about, &config, &replacements)).map_err(told)?;
    let dead = over.clone();
    let buries = move || {
        if owner.is_some_and(|owner| owner.join().is_err()) {
            let _ = dead.send(Err("the thread that owns the decisions has panicked".to_owned()));
        }
    };
    named("owner's end").spawn(buries).map_err(told)?;
    named("signals").spawn(move || pass_on(signals, &replaced, &over)).map_err(told)?;
    // The thread that forwards signals lives as long as the process.
    ends.recv().unwrap_or(Ok(()))?;
    node.stop();
    tracing::info!("stopped");
    Ok(())
}

fn pass_on(mut signals: Signals, replaced: &mpsc::Sender<()>, over: &mpsc::Sender<Result<(), String>>) {
    for signal in signals.forever() {
        // A second signal of either kind changes nothing.
        let _ = if signal == SIGHUP { replaced.send(()).is_ok() } else { over.send(Ok(())).is_ok() };
    }
}

/// For how long a replaced configuration is retried: as long as the old registry may be unreachable
/// unnoticed.
const READS_AGAIN: Duration = Duration::from_millis(3500);

/// Reads the configuration after each reload request, as the registry may have moved. The file may be half
/// written, or no descriptor be free: reading is retried, and a further request in the meantime restarts the
/// time limit.
fn read_again(node: &Node, config: &Path, replaced: &mpsc::Receiver<()>) {
    while replaced.recv().is_ok() {
        let mut until = Instant::now() + READS_AGAIN;
        while Instant::now() < until {
            match read(config) {
                Ok(start) => {
                    tracing::info!(registry = %start.discovery, "configuration reloaded");
                    node.moved(start.discovery);
                    break;
                }
                Err(why) => tracing::warn!(why, "configuration rejected"),
            }
            if replaced.recv_timeout(Duration::from_millis(50)).is_ok() {
                until = Instant::now() + READS_AGAIN;
            }
        }
    }
}
