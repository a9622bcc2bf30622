//! Stand-in model hosts on loopback: readers, writers and mixed ones that behave as the operators describe
//! theirs, with faults from a script. They speak docs/engines.md and note everything that they are sent.

mod kept;
mod serve;
pub mod text;

use kept::Kept;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tulipstall_judge::{Group, Seen, What};
use tulipstall_net::{Link, Listener, spawn};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    Read,
    Write,
    Both,
}

/// What a stand-in is like.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Spec {
    /// A free port if 0.
    pub address: SocketAddr,
    pub role: Role,
    pub zone: String,
    pub cell: u32,
    /// Tasks at once, and how many more may wait.
    pub slots: u32,
    pub queue: u32,
    pub memory_tokens: u64,
    /// Prompt tokens read in a second.
    pub read_per_s: f64,
    /// Milliseconds between two tokens of a stream that is alone; twice that with all slots taken.
    pub token_ms: f64,
    /// Tokens of kept prefixes.
    pub kept_tokens: u64,
    /// Tokens of a state fetched in a second inside a cell; a third of it from elsewhere.
    pub link_per_s: f64,
    /// Requests a second that it can take in when warm: what the fall is counted by.
    pub capacity_per_s: f64,
    pub cold_from: f64,
    pub warm_up_ms: u64,
    pub fall_multiple: f64,
    pub fall_ms: u64,
    /// The hosts that discard repeats of a referenced task's mark together, and for how long they remember it.
    pub group: Group,
    pub remembers_ms: u64,
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
            kept_tokens: 100_000,
            link_per_s: 400_000.0,
            capacity_per_s: 100.0,
            cold_from: 0.3,
            warm_up_ms: 10_000,
            fall_multiple: 2.5,
            fall_ms: 3000,
            group: Group::All,
            remembers_ms: 0,
        }
    }
}

/// What is wrong with a host; all can be at once.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Trouble {
    /// Answers this part of the tasks with an error, at once.
    pub fail: f64,
    /// Takes tasks and answers none.
    pub hang: bool,
    /// Times slower.
    pub slow: f64,
    /// Milliseconds before a new connection is served.
    pub dear_ms: u64,
    /// A model whose tasks are left unanswered.
    pub unanswered: Option<String>,
    /// Times slower states are fetched from it.
    pub slow_links: f64,
    /// What becomes of a stream after so many tokens.
    pub mid: Option<(u32, Mid)>,
    /// Turns new work away as draining.
    pub draining: bool,
    /// A tenth slower for each second that has passed.
    pub ageing: bool,
}

impl Default for Trouble {
    fn default() -> Self {
        Trouble {
            fail: 0.0,
            hang: false,
            slow: 1.0,
            dear_ms: 0,
            unanswered: None,
            slow_links: 1.0,
            mid: None,
            draining: false,
            ageing: false,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Mid {
    Reset,
    Silent,
    Rubbish,
    EndlessLine,
    TooMany,
    EndsWithoutMark,
}

/// What all hosts of one process saw, in order.
pub struct Log {
    start: Instant,
    lines: Mutex<Vec<Seen>>,
    /// Marks of referenced tasks that have run, by the group that remembers them.
    marks: Mutex<BTreeMap<(String, String), Instant>>,
}

impl Default for Log {
    fn default() -> Self {
        Log { start: Instant::now(), lines: Mutex::default(), marks: Mutex::default() }
    }
}

impl Log {
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_micros() as u64
    }

    pub fn lines(&self) -> Vec<Seen> {
        self.lines.lock().map(|lines| lines.clone()).unwrap_or_default()
    }

    /// Whether a group has run this mark within so long; it has now.
    fn ran(&self, group: String, mark: &str, within: Duration) -> bool {
        let Ok(mut marks) = self.marks.lock() else { return false };
        let at = marks.entry((group, mark.to_owned()));
        let known =
            matches!(&at, std::collections::btree_map::Entry::Occupied(at) if at.get().elapsed() < within);
        if !known {
            at.insert_entry(Instant::now());
        }
        known
    }

    fn note(&self, host: &str, mark: &str, from: &str, what: What) {
        if let Ok(mut lines) = self.lines.lock() {
            let (host, mark, from) = (host.to_owned(), mark.to_owned(), from.to_owned());
            lines.push(Seen { at: self.now(), host, mark, from, what });
        }
    }
}

/// A read state that waits to be fetched.
struct Waiting {
    tokens: u32,
    blocks: Vec<u64>,
    mark: String,
    from: String,
    since: Instant,
}

#[derive(Default)]
struct Inside {
    kept: Kept,
    states: BTreeMap<String, Waiting>,
    /// When all reads taken so far are done, and how many are waited for.
    read_until: Option<Instant>,
    reading: u32,
    /// Streams by their order, with the tokens that they hold.
    streams: BTreeMap<u64, u64>,
    queued: u32,
    links: Vec<Link>,
    listener: Option<Arc<Listener>>,
    /// When shots came, while cold.
    came: VecDeque<Instant>,
    started: Option<Instant>,
    cold: bool,
    pushed: u64,
}

pub struct Host {
    pub spec: Spec,
    pub name: String,
    pub address: SocketAddr,
    log: Arc<Log>,
    inside: Mutex<Inside>,
    trouble: Mutex<(Trouble, Instant)>,
    up: AtomicBool,
    fallen: AtomicBool,
    /// Goes up at each death: what an earlier process was at ends.
    life: AtomicU64,
    serial: AtomicU64,
    /// Streams that it broke as its trouble wanted.
    broke: AtomicU64,
}

/// How long a state waits for a writer before the host lets go of it by itself.
const EXPIRES: Duration = Duration::from_secs(10);

impl Host {
    /// Starts one that is warm.
    pub fn start(spec: Spec, log: Arc<Log>) -> io::Result<Arc<Host>> {
        let listener = Listener::bind(spec.address)?;
        let address = listener.local_addr()?;
        let inside =
            Inside { kept: Kept::new((spec.kept_tokens as usize) / text::BLOCK), ..Inside::default() };
        let host = Arc::new(Host {
            name: address.to_string(),
            address,
            spec,
            log,
            inside: Mutex::new(inside),
            trouble: Mutex::new((Trouble::default(), Instant::now())),
            up: AtomicBool::new(true),
            fallen: AtomicBool::new(false),
            life: AtomicU64::new(0),
            serial: AtomicU64::new(0),
            broke: AtomicU64::new(0),
        });
        host.accept(listener);
        Ok(host)
    }

    /// Whether a referenced task's effect is discarded here, as its group remembers its mark.
    fn discards(&self, mark: &str) -> bool {
        let group = match self.spec.group {
            Group::All => String::new(),
            Group::Zone => self.spec.zone.clone(),
            Group::Cell => self.spec.cell.to_string(),
        };
        let within = Duration::from_millis(self.spec.remembers_ms);
        !within.is_zero() && self.log.ran(group, mark, within)
    }

    fn note(&self, mark: &str, from: &str, what: What) {
        self.log.note(&self.name, mark, from, what);
    }

    fn inside(&self) -> MutexGuard<'_, Inside> {
        self.inside.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    pub fn trouble(&self) -> Trouble {
        let trouble = self.trouble.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let (mut now, since) = trouble.clone();
        if now.ageing {
            now.slow *= 1.0 + since.elapsed().as_secs_f64() / 10.0;
        }
        now
    }

    pub fn set_trouble(&self, trouble: Trouble) {
        *self.trouble.lock().unwrap_or_else(|poisoned| poisoned.into_inner()) = (trouble, Instant::now());
    }

    /// When its process started, where that is not long ago.
    pub fn started_unix_ms(&self) -> Option<u64> {
        let started = self.inside().started?;
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).ok()?;
        Some((now.saturating_sub(started.elapsed())).as_millis() as u64)
    }

    pub fn is_up(&self) -> bool {
        self.up.load(Ordering::SeqCst)
    }

    pub fn has_fallen(&self) -> bool {
        self.fallen.load(Ordering::SeqCst)
    }

    /// How many streams it broke in the middle.
    pub fn broke(&self) -> u64 {
        self.broke.load(Ordering::SeqCst)
    }

    /// Forgets all kept prefixes.
    pub fn flush(&self) {
        self.inside().kept.forget();
    }

    /// Dies outright: connections break, new ones are refused.
    pub fn die(&self) {
        if !self.up.swap(false, Ordering::SeqCst) {
            return;
        }
        self.life.fetch_add(1, Ordering::SeqCst);
        let links = std::mem::take(&mut self.inside().links);
        links.iter().for_each(Link::shut);
        if let Some(listener) = self.inside().listener.take() {
            listener.close();
        }
        self.note("", "", What::Died);
    }

    /// Comes back at the same address, cold and with nothing kept.
    pub fn come_back(self: &Arc<Self>) -> io::Result<()> {
        if self.is_up() || self.has_fallen() {
            return Ok(());
        }
        let listener = Listener::bind(self.address)?;
        {
            let mut inside = self.inside();
            let kept = Kept::new((self.spec.kept_tokens as usize) / text::BLOCK);
            *inside = Inside { kept, cold: true, started: Some(Instant::now()), ..Inside::default() };
        }
        self.up.store(true, Ordering::SeqCst);
        self.note("", "", What::Started);
        self.accept(listener);
        Ok(())
    }

    fn accept(self: &Arc<Self>, listener: Listener) {
        let host = self.clone();
        let life = self.life.load(Ordering::SeqCst);
        let listener = Arc::new(listener);
        self.inside().listener = Some(listener.clone());
        spawn(move || {
            loop {
                let Ok((link, _)) = listener.accept() else {
                    if listener.is_closed() {
                        return;
                    }
                    // Out of file numbers, most likely: a pause lets some go.
                    tulipstall_net::sleep(Duration::from_millis(10));
                    continue;
                };
                if host.life.load(Ordering::SeqCst) != life || !host.is_up() {
                    return;
                }
                let host = host.clone();
                {
                    let mut inside = host.inside();
                    inside.links.retain(|link| !link.stale());
                    inside.links.push(link.clone());
                }
                spawn(move || serve::connection(&host, &link, life));
            }
        });
    }

    /// Counts a shot against what a cold host stands; a host that was pushed over dies for good.
    fn pushed(&self) {
        let spec = &self.spec;
        let mut inside = self.inside();
        let (true, Some(started)) = (inside.cold, inside.started) else { return };
        let age = started.elapsed().as_secs_f64() / (spec.warm_up_ms.max(1) as f64 / 1e3);
        if age >= 1.0 {
            inside.cold = false;
            return;
        }
        let (now, span) = (Instant::now(), Duration::from_millis(spec.fall_ms));
        inside.came.push_back(now);
        while inside.came.front().is_some_and(|at| now.duration_since(*at) > span) {
            inside.came.pop_front();
        }
        let part = spec.cold_from + (1.0 - spec.cold_from) * age;
        let stands = spec.fall_multiple * part * spec.capacity_per_s * span.as_secs_f64();
        let share = (1000.0 * inside.came.len() as f64 / stands.max(1.0)) as u64;
        if share > inside.pushed {
            inside.pushed = share;
            self.note("", "", What::Pushed(share));
        }
        drop(inside);
        if share > 1000 {
            self.note("", "", What::Fell);
            self.fallen.store(true, Ordering::SeqCst);
            self.die();
        }
    }

    /// States that nobody came for.
    fn expire(&self) {
        let mut gone = Vec::new();
        self.inside().states.retain(|id, state| {
            let keeps = state.since.elapsed() < EXPIRES;
            if !keeps {
                gone.push((id.clone(), state.mark.clone(), state.from.clone()));
            }
            keeps
        });
        for (id, mark, from) in gone {
            self.note(&mark, &from, What::StateExpired(id));
        }
    }
}
