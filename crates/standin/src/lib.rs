//! Stand-in model servers on loopback: readers, writers and mixed hosts that behave as operators describe theirs, with
//! scripted faults. They implement the protocol of docs/engines.md and record every request that they receive.

mod prefix_cache;
mod serve;
pub mod text;

use prefix_cache::PrefixCache;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tulipstall_judge::{Group, HostEvent, HostEventKind};
use tulipstall_net::{Link, Listener, spawn};

/// What a host does: read prompts, write answers, or both.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    Read,
    Write,
    Both,
}

/// The properties of a stand-in host.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Spec {
    /// With port 0, a free port is used.
    pub address: SocketAddr,
    pub role: Role,
    pub zone: String,
    pub cell: u32,
    /// How many tasks run at once.
    pub slots: u32,
    /// How many more may wait.
    pub queue: u32,
    pub memory_tokens: u64,
    /// Prompt tokens read per second.
    pub read_per_s: f64,
    /// Milliseconds between two tokens of a single stream; doubled when all slots are taken.
    pub token_ms: f64,
    /// Capacity of the prefix cache, in tokens.
    #[serde(rename = "kept_tokens")]
    pub prefix_cache_tokens: u64,
    /// Tokens of a state that a writer fetches from this host per second.
    #[serde(rename = "link_per_s")]
    pub fetch_tokens_per_s: f64,
    /// Requests per second that the host accepts when warm. The limit while cold is a share of it.
    pub capacity_per_s: f64,
    /// The share of the capacity that a host has right after its start; it grows to 1 over `warm_up_ms`.
    #[serde(rename = "cold_from")]
    pub cold_share: f64,
    pub warm_up_ms: u64,
    /// A cold host fails when it receives more than this multiple of its capacity in the window.
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    #[serde(rename = "fall_ms")]
    pub overload_window_ms: u64,
    /// The hosts that discard repeats of a reference together.
    pub group: Group,
    /// How long after the first run of a reference they discard repeats of it; 0 discards nothing.
    #[serde(rename = "remembers_ms")]
    pub reference_window_ms: u64,
}

impl Default for Spec {
    fn default() -> Self {
        Spec {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            role: Role::Both,
            zone: String::new(),
            cell: 0,
            slots: 32,
            queue: 32,
            memory_tokens: 200_000,
            read_per_s: 20_000.0,
            token_ms: 5.0,
            prefix_cache_tokens: 100_000,
            fetch_tokens_per_s: 400_000.0,
            capacity_per_s: 100.0,
            cold_share: 0.3,
            warm_up_ms: 10_000,
            overload_multiple: 2.5,
            overload_window_ms: 3000,
            group: Group::All,
            reference_window_ms: 0,
        }
    }
}

/// The faults of a host. All of them can be set at once.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct HostFaults {
    /// The share of the tasks that is answered with an immediate error.
    #[serde(rename = "fail")]
    pub error_share: f64,
    /// Accepts tasks and never answers them.
    pub hang: bool,
    /// The factor by which reading and writing take longer.
    #[serde(rename = "slow")]
    pub slowdown: f64,
    /// Delay before a new connection is served, in milliseconds.
    #[serde(rename = "dear_ms")]
    pub connect_delay_ms: u64,
    /// A model whose tasks are never answered.
    #[serde(rename = "unanswered")]
    pub unanswered_model: Option<String>,
    /// The factor by which it takes longer to fetch states from this host.
    #[serde(rename = "slow_links")]
    pub link_slowdown: f64,
    /// A fault of each stream, after so many tokens.
    #[serde(rename = "mid")]
    pub mid_stream: Option<(u32, StreamFault)>,
    /// Refuses new work with the reason `draining`.
    pub draining: bool,
    /// Slows down by a further tenth for each second since the fault was set.
    pub ageing: bool,
}

impl Default for HostFaults {
    fn default() -> Self {
        HostFaults {
            error_share: 0.0,
            hang: false,
            slowdown: 1.0,
            connect_delay_ms: 0,
            unanswered_model: None,
            link_slowdown: 1.0,
            mid_stream: None,
            draining: false,
            ageing: false,
        }
    }
}

/// What goes wrong in the middle of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum StreamFault {
    /// The connection is closed.
    Reset,
    /// Nothing more is sent; the connection stays open.
    Silent,
    /// Bytes that are neither an event nor JSON.
    #[serde(rename = "rubbish")]
    Malformed,
    /// A line of 128 KiB without an end.
    EndlessLine,
    /// Tokens beyond the end of the answer.
    #[serde(rename = "too-many")]
    ExtraTokens,
    /// The body ends without the stream's end marker.
    #[serde(rename = "ends-without-mark")]
    NoEndMarker,
}

/// The events of all hosts of one process, in order.
pub struct EventLog {
    start: Instant,
    events: Mutex<Vec<HostEvent>>,
    /// When each reference last ran, by group and reference.
    references_run: Mutex<BTreeMap<(String, String), Instant>>,
}

impl Default for EventLog {
    fn default() -> Self {
        EventLog { start: Instant::now(), events: Mutex::default(), references_run: Mutex::default() }
    }
}

impl EventLog {
    /// Microseconds since the log was started.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_micros() as u64
    }

    pub fn events(&self) -> Vec<HostEvent> {
        self.events.lock().map(|events| events.clone()).unwrap_or_default()
    }

    /// Whether a group has run this reference within the given time. If not, records that it runs now.
    fn record_reference(&self, group: String, reference: &str, within: Duration) -> bool {
        let Ok(mut references_run) = self.references_run.lock() else { return false };
        let at = references_run.entry((group, reference.to_owned()));
        let known =
            matches!(&at, std::collections::btree_map::Entry::Occupied(at) if at.get().elapsed() < within);
        if !known {
            at.insert_entry(Instant::now());
        }
        known
    }

    fn record(&self, host: &str, tag: &str, dispatcher: &str, kind: HostEventKind) {
        if let Ok(mut events) = self.events.lock() {
            let (host, tag, dispatcher) = (host.to_owned(), tag.to_owned(), dispatcher.to_owned());
            events.push(HostEvent { at: self.now(), host, tag, dispatcher, kind });
        }
    }
}

/// A state that is held until a writer fetches it.
struct PendingState {
    tokens: u32,
    blocks: Vec<u64>,
    tag: String,
    dispatcher: String,
    created: Instant,
}

/// The state of a host that changes while it runs.
#[derive(Default)]
struct Inner {
    cache: PrefixCache,
    states: BTreeMap<String, PendingState>,
    /// When all accepted reads are done.
    read_until: Option<Instant>,
    /// How many reads are in progress.
    reading: u32,
    /// Streams by age, with the tokens that each holds.
    streams: BTreeMap<u64, u64>,
    queued: u32,
    links: Vec<Link>,
    listener: Option<Arc<Listener>>,
    /// Recent arrivals, while the host is cold.
    cold_arrivals: VecDeque<Instant>,
    started: Option<Instant>,
    cold: bool,
    /// The highest load while cold, in thousandths of what overloads the host.
    peak_cold_load: u64,
}

/// A running stand-in host.
pub struct Host {
    pub spec: Spec,
    pub name: String,
    pub address: SocketAddr,
    log: Arc<EventLog>,
    inner: Mutex<Inner>,
    /// The current faults, and when they were set.
    faults: Mutex<(HostFaults, Instant)>,
    up: AtomicBool,
    overloaded: AtomicBool,
    /// Increases at each crash, so that work of the earlier process ends.
    generation: AtomicU64,
    next_id: AtomicU64,
    /// How many stream faults occurred.
    stream_faults: AtomicU64,
}

/// How long a state is held for a writer before the host drops it.
const STATE_TTL: Duration = Duration::from_secs(10);

impl Host {
    /// Starts a warm host.
    pub fn start(spec: Spec, log: Arc<EventLog>) -> io::Result<Arc<Host>> {
        let listener = Listener::bind(spec.address)?;
        let address = listener.local_addr()?;
        let inner = Inner {
            cache: PrefixCache::new((spec.prefix_cache_tokens as usize) / text::BLOCK_TOKENS),
            ..Inner::default()
        };
        let host = Arc::new(Host {
            name: address.to_string(),
            address,
            spec,
            log,
            inner: Mutex::new(inner),
            faults: Mutex::new((HostFaults::default(), Instant::now())),
            up: AtomicBool::new(true),
            overloaded: AtomicBool::new(false),
            generation: AtomicU64::new(0),
            next_id: AtomicU64::new(0),
            stream_faults: AtomicU64::new(0),
        });
        host.accept(listener);
        Ok(host)
    }

    /// Records a reference for the host's group. Returns whether the group had recorded it already within its time window,
    /// so that the effect of its task is discarded.
    fn record_reference(&self, reference: &str) -> bool {
        let group = match self.spec.group {
            Group::All => String::new(),
            Group::Zone => self.spec.zone.clone(),
            Group::Cell => self.spec.cell.to_string(),
        };
        let within = Duration::from_millis(self.spec.reference_window_ms);
        !within.is_zero() && self.log.record_reference(group, reference, within)
    }

    fn record(&self, tag: &str, dispatcher: &str, kind: HostEventKind) {
        self.log.record(&self.name, tag, dispatcher, kind);
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// The faults as of now, with the slowdown that ageing adds.
    pub fn faults(&self) -> HostFaults {
        let faults = self.faults.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let (mut now, since) = faults.clone();
        if now.ageing {
            now.slowdown *= 1.0 + since.elapsed().as_secs_f64() / 10.0;
        }
        now
    }

    pub fn set_faults(&self, faults: HostFaults) {
        *self.faults.lock().unwrap_or_else(|poisoned| poisoned.into_inner()) = (faults, Instant::now());
    }

    /// When it restarted; none if it has not.
    pub fn started_unix_ms(&self) -> Option<u64> {
        let started = self.inner().started?;
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).ok()?;
        Some((now.saturating_sub(started.elapsed())).as_millis() as u64)
    }

    pub fn is_up(&self) -> bool {
        self.up.load(Ordering::SeqCst)
    }

    /// Whether it failed from overload while cold.
    pub fn is_overloaded(&self) -> bool {
        self.overloaded.load(Ordering::SeqCst)
    }

    /// How many times a stream fault occurred.
    pub fn stream_fault_count(&self) -> u64 {
        self.stream_faults.load(Ordering::SeqCst)
    }

    /// Empties the prefix cache.
    pub fn flush(&self) {
        self.inner().cache.clear();
    }

    /// Ends like a killed process: its connections break and new ones are refused.
    pub fn crash(&self) {
        if !self.up.swap(false, Ordering::SeqCst) {
            return;
        }
        self.generation.fetch_add(1, Ordering::SeqCst);
        let links = std::mem::take(&mut self.inner().links);
        links.iter().for_each(Link::shut);
        if let Some(listener) = self.inner().listener.take() {
            listener.close();
        }
        self.record("", "", HostEventKind::Died);
    }

    /// Starts again at the same address, cold and with an empty cache.
    pub fn restart(self: &Arc<Self>) -> io::Result<()> {
        if self.is_up() || self.is_overloaded() {
            return Ok(());
        }
        let listener = Listener::bind(self.address)?;
        {
            let mut inner = self.inner();
            let cache = PrefixCache::new((self.spec.prefix_cache_tokens as usize) / text::BLOCK_TOKENS);
            *inner = Inner { cache, cold: true, started: Some(Instant::now()), ..Inner::default() };
        }
        self.up.store(true, Ordering::SeqCst);
        self.record("", "", HostEventKind::Started);
        self.accept(listener);
        Ok(())
    }

    fn accept(self: &Arc<Self>, listener: Listener) {
        let host = self.clone();
        let generation = self.generation.load(Ordering::SeqCst);
        let listener = Arc::new(listener);
        self.inner().listener = Some(listener.clone());
        spawn(move || {
            loop {
                let Ok((link, _)) = listener.accept() else {
                    if listener.is_closed() {
                        return;
                    }
                    // Most likely out of file descriptors: some may be closed during a pause.
                    tulipstall_net::sleep(Duration::from_millis(10));
                    continue;
                };
                if host.generation.load(Ordering::SeqCst) != generation || !host.is_up() {
                    return;
                }
                let host = host.clone();
                {
                    let mut inner = host.inner();
                    inner.links.retain(|link| !link.is_stale());
                    inner.links.push(link.clone());
                }
                spawn(move || serve::connection(&host, &link, generation));
            }
        });
    }

    /// Counts a shot against the limit of a cold host. A host that exceeds it fails for good.
    fn count_cold_arrival(&self) {
        let spec = &self.spec;
        let mut inner = self.inner();
        let (true, Some(started)) = (inner.cold, inner.started) else { return };
        let warm_up_progress = started.elapsed().as_secs_f64() / (spec.warm_up_ms.max(1) as f64 / 1e3);
        if warm_up_progress >= 1.0 {
            inner.cold = false;
            return;
        }
        let (now, window) = (Instant::now(), Duration::from_millis(spec.overload_window_ms));
        inner.cold_arrivals.push_back(now);
        while inner.cold_arrivals.front().is_some_and(|at| now.duration_since(*at) > window) {
            inner.cold_arrivals.pop_front();
        }
        let capacity_share = spec.cold_share + (1.0 - spec.cold_share) * warm_up_progress;
        let limit = spec.overload_multiple * capacity_share * spec.capacity_per_s * window.as_secs_f64();
        let load_thousandths = (1000.0 * inner.cold_arrivals.len() as f64 / limit.max(1.0)) as u64;
        if load_thousandths > inner.peak_cold_load {
            inner.peak_cold_load = load_thousandths;
            self.record("", "", HostEventKind::ColdLoad(load_thousandths));
        }
        drop(inner);
        if load_thousandths > 1000 {
            self.record("", "", HostEventKind::Overloaded);
            self.overloaded.store(true, Ordering::SeqCst);
            self.crash();
        }
    }

    /// Drops the states that were not fetched in time.
    fn drop_expired_states(&self) {
        let mut expired = Vec::new();
        self.inner().states.retain(|id, state| {
            let keep = state.created.elapsed() < STATE_TTL;
            if !keep {
                expired.push((id.clone(), state.tag.clone(), state.dispatcher.clone()));
            }
            keep
        });
        for (id, tag, dispatcher) in expired {
            self.record(&tag, &dispatcher, HostEventKind::StateExpired(id));
        }
    }
}
