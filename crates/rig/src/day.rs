//! A scripted day: dispatchers as processes of their own, stand-in hosts, a list that comes late, clients, and
//! trouble at stated times. What crossed the sockets is recorded and judged.

use crate::client::{self, Manner, Request, Said};
use crate::fleet::{self, Fleet};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use std::{fs, thread};
use tulipstall_dispatcher::now_unix_ms;
use tulipstall_judge::{Answer, Effect, Figures, Group, Kill, Place, Record, Told, Try, Verdict, judge};
use tulipstall_net::{Link, Reply, spawn};
use tulipstall_settings as settings;
use tulipstall_settings::{HostLine, HostList, HostStanding, Settings};
use tulipstall_standin::{Host, Spec, Trouble, text};

/// A day's script.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Day {
    /// What it shows, for whoever reads its name in a list.
    pub about: String,
    pub seconds: f64,
    #[serde(default)]
    pub seed: u64,
    #[schemars(range(min = 1))]
    pub dispatchers: u32,
    pub fleet: Vec<HostGroup>,
    /// Settings of the dispatchers; addresses, numbers and list files are filled in.
    pub settings: serde_json::Value,
    pub load: Vec<Load>,
    /// How late the list of hosts tells of a change.
    #[serde(default)]
    pub list_late_ms: u64,
    #[serde(default)]
    pub events: Vec<Event>,
}

/// Hosts that are alike.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct HostGroup {
    pub count: u32,
    pub spec: Spec,
}

/// Tasks of one offering.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Load {
    pub offering: usize,
    pub per_second: f64,
    /// Bytes of prompt beside the shared text, from and to.
    pub prompt_bytes: [u32; 2],
    /// Shared texts, and bytes of each.
    pub shared_texts: u32,
    pub shared_bytes: u32,
    /// The shared text stands in the question and is not marked as shared.
    pub unmarked: bool,
    pub answer_tokens: [u32; 2],
    /// The part that is asked for as a stream.
    pub streamed: f64,
    /// The part of clients that leave early, within this many milliseconds.
    pub leave: f64,
    pub leave_within_ms: u64,
    /// How often a client asks again by itself.
    pub retries: u32,
}

impl Default for Load {
    fn default() -> Self {
        Load {
            offering: 0,
            per_second: 10.0,
            prompt_bytes: [200, 2000],
            shared_texts: 4,
            shared_bytes: 4000,
            unmarked: false,
            answer_tokens: [8, 40],
            streamed: 0.8,
            leave: 0.03,
            leave_within_ms: 500,
            retries: 2,
        }
    }
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Event {
    pub at_ms: u64,
    /// How long it lasts; for deaths, drains and kills how long until the return.
    pub for_ms: u64,
    pub what: Happening,
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Happening {
    /// These hosts have this trouble.
    Trouble { hosts: Vec<usize>, trouble: Box<Trouble> },
    /// These hosts forget their kept prefixes; once.
    Flush { hosts: Vec<usize> },
    /// These hosts die and come back cold.
    Die { hosts: Vec<usize> },
    /// These hosts drain, go, and come back cold.
    Drain { hosts: Vec<usize> },
    /// These dispatchers are killed outright and started again.
    Kill { dispatchers: Vec<usize> },
    /// So many times the usual tasks.
    Burst { times: f64 },
    /// The list comes this much later.
    ListLate { ms: u64 },
    /// This part of the tasks begins with one text not seen before.
    NewText { part: f64 },
    /// Clients give each try this part of its time.
    LittleTime { part: f64 },
}

impl Day {
    pub fn read(path: &Path) -> Result<Day, String> {
        let text = fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
        serde_json::from_str(&text).map_err(|error| format!("{}: {error}", path.display()))
    }
}

impl Day {
    /// Every host that an event names.
    pub fn hosts_named(&self) -> impl Iterator<Item = usize> {
        self.events.iter().flat_map(|event| match &event.what {
            Happening::Trouble { hosts, .. }
            | Happening::Flush { hosts }
            | Happening::Die { hosts }
            | Happening::Drain { hosts } => hosts.clone(),
            _ => Vec::new(),
        })
    }
}

/// What a day came to.
pub struct Outcome {
    pub record: Record,
    pub verdicts: Vec<Verdict>,
    /// Checks beside the rules: what was compared, and what did not fit.
    pub checks: Checks,
    /// What dispatchers counted of streams whose writer they left, for lost or for a better one.
    pub left: BTreeMap<String, u64>,
}

type Checks = Vec<(String, Result<(), String>)>;

impl Outcome {
    pub fn good(&self) -> bool {
        self.verdicts.iter().all(|verdict| verdict.breaks.is_empty())
            && self.checks.iter().all(|(_, check)| check.is_ok())
    }
}

/// A dispatcher's process.
struct Process {
    name: String,
    child: Option<Child>,
    settings: PathBuf,
    addresses: PathBuf,
    listen: Mutex<SocketAddr>,
    control: Mutex<SocketAddr>,
    up: AtomicBool,
}

/// What tasks are like just now.
#[derive(Clone, Copy)]
struct Mood {
    times: f64,
    new_text: f64,
    time_part: f64,
}

struct Stage {
    day: Day,
    fleet: Fleet,
    offerings: Vec<settings::Offering>,
    processes: Vec<Arc<Process>>,
    record: Mutex<(Vec<Try>, Vec<Told>, Vec<Kill>)>,
    mood: Mutex<Mood>,
    clients: AtomicUsize,
    late_ms: AtomicU64,
    version: AtomicU64,
    /// Versions taken by each dispatcher, so that a late push does not undo a newer one.
    over: AtomicBool,
}

fn problem(what: impl Into<String>) -> io::Error {
    io::Error::other(what.into())
}

fn faults(faults: Vec<settings::Fault>) -> io::Error {
    problem(faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))
}

/// Settings of one dispatcher of a day, with its own numbers filled in.
fn settings_of(day: &Day, number: u32, kept: &Path) -> io::Result<Settings> {
    let mut value = serde_json::to_value(fleet::settings("day")).map_err(io::Error::other)?;
    let own = day.settings.as_object().ok_or_else(|| problem("/settings: an object is wanted"))?;
    for (name, given) in own {
        match (value.get_mut(name), given) {
            (Some(serde_json::Value::Object(there)), serde_json::Value::Object(given)) => {
                there.extend(given.clone());
            }
            _ => value[name] = given.clone(),
        }
    }
    value["name"] = format!("d{number}").into();
    value["me"] = number.into();
    value["dispatchers"] = day.dispatchers.into();
    value["seed"] = (day.seed * 1000 + u64::from(number)).into();
    value["hosts_kept"] = kept.to_string_lossy().into();
    value.as_object_mut().into_iter().for_each(|value| value.retain(|_, value| !value.is_null()));
    settings::check(&value.to_string()).map_err(faults)
}

impl Process {
    /// Starts it and waits until it listens.
    fn start(
        program: &Path,
        settings: &Path,
        addresses: &Path,
    ) -> io::Result<(Child, SocketAddr, SocketAddr)> {
        let _ = fs::remove_file(addresses);
        let child = Command::new(program)
            .args(["--log-level", "error", "serve", "--settings"])
            .arg(settings)
            .arg("--addresses")
            .arg(addresses)
            .stdin(Stdio::null())
            .spawn()?;
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            if let Ok(text) = fs::read_to_string(addresses) {
                let told: serde_json::Value = serde_json::from_str(&text).map_err(io::Error::other)?;
                let address = |name: &str| told[name].as_str().and_then(|text| text.parse().ok());
                if let (Some(listen), Some(control)) = (address("listen"), address("control")) {
                    return Ok((child, listen, control));
                }
            }
            thread::sleep(Duration::from_millis(10));
        }
        Err(problem("a dispatcher did not start in ten seconds"))
    }
}

/// Plays a day with dispatchers of this program; `folder` is for their files.
pub fn play(day: &Day, program: &Path, folder: &Path) -> io::Result<Outcome> {
    fs::create_dir_all(folder)?;
    let mut specs: Vec<Spec> =
        day.fleet.iter().flat_map(|group| vec![group.spec.clone(); group.count as usize]).collect();
    // Hosts remember referenced tasks as the offerings say.
    let referenced = settings_of(day, 0, Path::new(""))?
        .offerings
        .into_iter()
        .find(|o| o.effect == settings::Effect::Referenced);
    for (spec, told) in specs.iter_mut().zip(std::iter::repeat(referenced).flatten()) {
        (spec.group, spec.remembers_ms) = (group(told.group), told.window_ms);
    }
    let fleet = Fleet::start(&specs)?;
    let mut processes = Vec::new();
    let mut offerings = Vec::new();
    let mut rules = settings::RuleFigures::default();
    for number in 0..day.dispatchers {
        let file = |what: &str| folder.join(format!("d{number}.{what}"));
        let _ = fs::remove_file(file("hosts"));
        let mut own = settings_of(day, number, &file("hosts"))?;
        // A fixed port, so that a restarted one is found where it was.
        own.listen = free_port()?;
        own.control = Some(free_port()?);
        offerings.clone_from(&own.offerings);
        rules = own.rules.clone();
        let mut value = serde_json::to_value(&own).map_err(io::Error::other)?;
        value.as_object_mut().into_iter().for_each(|value| value.retain(|_, value| !value.is_null()));
        fs::write(file("settings"), value.to_string())?;
        let (child, listen, control) = Process::start(program, &file("settings"), &file("addresses"))?;
        processes.push(Process {
            name: own.name,
            child: Some(child),
            settings: file("settings"),
            addresses: file("addresses"),
            listen: Mutex::new(listen),
            control: Mutex::new(control),
            up: AtomicBool::new(true),
        });
    }
    let mut children: Vec<Option<Child>> = processes.iter_mut().map(|process| process.child.take()).collect();
    let stage = Arc::new(Stage {
        day: day.clone(),
        offerings,
        processes: processes.into_iter().map(Arc::new).collect(),
        record: Mutex::default(),
        mood: Mutex::new(Mood { times: 1.0, new_text: 0.0, time_part: 1.0 }),
        clients: AtomicUsize::new(0),
        late_ms: AtomicU64::new(day.list_late_ms),
        version: AtomicU64::new(1),
        over: AtomicBool::new(false),
        fleet,
    });
    let result = run(&stage, program, &mut children);
    for child in children.iter_mut().flatten() {
        let _ = child.kill();
        let _ = child.wait();
    }
    let (checks, left) = result?;
    let (tries, told, kills) = lock(&stage.record).clone();
    let record = Record {
        figures: figures(&stage, &rules),
        seen: stage.fleet.log.lines(),
        tries,
        told,
        kills,
        ended: stage.fleet.log.now(),
    };
    let verdicts = judge(&record);
    Ok(Outcome { record, verdicts, checks, left })
}

fn free_port() -> io::Result<SocketAddr> {
    std::net::TcpListener::bind("127.0.0.1:0")?.local_addr()
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

fn group(group: settings::Group) -> Group {
    match group {
        settings::Group::All => Group::All,
        settings::Group::Zone => Group::Zone,
        settings::Group::Cell => Group::Cell,
    }
}

fn figures(stage: &Stage, rules: &settings::RuleFigures) -> Figures {
    let effect = |offering: &settings::Offering| match offering.effect {
        settings::Effect::Replayable => Effect::Replayable,
        settings::Effect::SingleUse => Effect::SingleUse,
        settings::Effect::Referenced => {
            Effect::Referenced { group: group(offering.group), window_us: offering.window_ms * 1000 }
        }
    };
    let place =
        |host: &Arc<Host>| (host.name.clone(), Place { zone: host.spec.zone.clone(), cell: host.spec.cell });
    Figures {
        effects: stage.offerings.iter().map(effect).collect(),
        places: stage.fleet.hosts.iter().map(place).collect(),
        grace_us: rules.drain_grace_ms * 1000,
        release_us: rules.release_ms * 1000,
        // A machine of four cores with everything on it: late by a tick or two of the scheduler.
        slack_us: 60_000,
        notice_us: 150_000,
    }
}

/// One thing to do at a time.
enum Act {
    Begin(usize),
    End(usize),
    List(HostList),
}

fn run(
    stage: &Arc<Stage>,
    program: &Path,
    children: &mut [Option<Child>],
) -> io::Result<(Checks, BTreeMap<String, u64>)> {
    let began = Instant::now();
    for process in &stage.processes {
        tell(stage, process, &stage.fleet.list());
    }
    let mut acts: BTreeMap<(u64, usize), Act> = BTreeMap::new();
    let mut order = 0;
    for (i, event) in stage.day.events.iter().enumerate() {
        acts.insert((event.at_ms, order), Act::Begin(i));
        acts.insert((event.at_ms + event.for_ms, order + 1), Act::End(i));
        order += 2;
    }
    let generator = stage.clone();
    let clients = spawn(move || generate(&generator, began));
    let mut troubles: Vec<(usize, usize)> = Vec::new();
    let mut listed_until = 0;
    let mut was_killed = vec![false; children.len()];
    let ends = Duration::from_secs_f64(stage.day.seconds);
    while began.elapsed() < ends || !acts.is_empty() {
        let Some((&(at, number), _)) = acts.first_key_value() else {
            thread::sleep(Duration::from_millis(20));
            continue;
        };
        let due = Duration::from_millis(at);
        if let Some(wait) = due.checked_sub(began.elapsed()) {
            thread::sleep(wait.min(Duration::from_millis(20)));
            continue;
        }
        let Some(act) = acts.remove(&(at, number)) else { continue };
        // Changes are told in the order in which they happened, however late.
        let mut later = |after_ms: u64, act: Act| {
            order += 1;
            listed_until = listed_until.max(at + after_ms);
            acts.insert((listed_until, order), act);
        };
        let late = stage.late_ms.load(Ordering::Relaxed);
        match act {
            Act::List(mut list) => {
                list.version = stage.version.fetch_add(1, Ordering::SeqCst) + 1;
                stage.processes.iter().for_each(|process| tell(stage, process, &list));
            }
            Act::Begin(i) => match &stage.day.events[i].what {
                Happening::Trouble { hosts, .. } => {
                    troubles.extend(hosts.iter().map(|host| (*host, i)));
                    hosts.iter().for_each(|host| set_trouble(stage, *host, &troubles));
                }
                Happening::Flush { hosts } => hosts.iter().for_each(|host| stage.fleet.hosts[*host].flush()),
                Happening::Die { hosts } => {
                    hosts.iter().for_each(|host| stage.fleet.hosts[*host].die());
                    later(late, Act::List(changes(stage, hosts, HostStanding::Gone)));
                }
                Happening::Drain { hosts } => {
                    later(late, Act::List(changes(stage, hosts, HostStanding::Draining)));
                    // Gone at half its time: what was out had that long to end.
                    let gone = changes(stage, hosts, HostStanding::Gone);
                    later(late.max(stage.day.events[i].for_ms / 2) + 1, Act::List(gone));
                }
                Happening::Kill { dispatchers } => {
                    for number in dispatchers {
                        kill(stage, &mut children[*number], *number)?;
                        was_killed[*number] = true;
                    }
                }
                Happening::Burst { times } => lock(&stage.mood).times = *times,
                Happening::ListLate { ms } => {
                    stage.late_ms.fetch_add(*ms, Ordering::Relaxed);
                }
                Happening::NewText { part } => lock(&stage.mood).new_text = *part,
                Happening::LittleTime { part } => lock(&stage.mood).time_part = *part,
            },
            Act::End(i) => match &stage.day.events[i].what {
                Happening::Trouble { hosts, .. } => {
                    troubles.retain(|(_, event)| *event != i);
                    hosts.iter().for_each(|host| set_trouble(stage, *host, &troubles));
                }
                Happening::Flush { .. } => {}
                Happening::Die { hosts } | Happening::Drain { hosts } => {
                    for host in hosts {
                        // A drained one ends here and starts anew.
                        stage.fleet.hosts[*host].die();
                        stage.fleet.hosts[*host].come_back()?;
                    }
                    later(late, Act::List(changes(stage, hosts, HostStanding::Running)));
                }
                Happening::Kill { dispatchers } => {
                    for number in dispatchers {
                        children[*number] = Some(restart(stage, program, *number)?);
                    }
                }
                Happening::Burst { .. } => lock(&stage.mood).times = 1.0,
                Happening::ListLate { ms } => {
                    stage.late_ms.fetch_sub(*ms, Ordering::Relaxed);
                }
                Happening::NewText { .. } => lock(&stage.mood).new_text = 0.0,
                Happening::LittleTime { .. } => lock(&stage.mood).time_part = 1.0,
            },
        }
    }
    stage.over.store(true, Ordering::SeqCst);
    let _ = clients.join();
    // Clients that are still at it, and states that should be let go of by then.
    let until = Instant::now() + Duration::from_secs(30);
    while stage.clients.load(Ordering::SeqCst) > 0 && Instant::now() < until {
        thread::sleep(Duration::from_millis(20));
    }
    thread::sleep(Duration::from_millis(1500));
    Ok(reconcile(stage, &was_killed))
}

fn set_trouble(stage: &Stage, host: usize, troubles: &[(usize, usize)]) {
    let mut all = Trouble::default();
    for (_, event) in troubles.iter().filter(|(own, _)| *own == host) {
        if let Happening::Trouble { trouble, .. } = &stage.day.events[*event].what {
            all.fail = all.fail.max(trouble.fail);
            all.hang |= trouble.hang;
            all.slow *= trouble.slow;
            all.dear_ms = all.dear_ms.max(trouble.dear_ms);
            all.slow_links *= trouble.slow_links;
            all.draining |= trouble.draining;
            all.ageing |= trouble.ageing;
            all.unanswered = trouble.unanswered.clone().or(all.unanswered);
            all.mid = trouble.mid.or(all.mid);
        }
    }
    stage.fleet.hosts[host].set_trouble(all);
}

fn changes(stage: &Stage, hosts: &[usize], standing: HostStanding) -> HostList {
    let line = |host: &usize| -> HostLine {
        let host = &stage.fleet.hosts[*host];
        Fleet::line(host, standing, (standing == HostStanding::Running).then(now_unix_ms))
    };
    HostList { version: 0, whole: false, hosts: hosts.iter().map(line).collect() }
}

/// Pushes a list to one dispatcher; told once it has answered.
fn tell(stage: &Arc<Stage>, process: &Arc<Process>, list: &HostList) {
    let (stage, process, list) = (stage.clone(), process.clone(), list.clone());
    let told = spawn(move || {
        if !process.up.load(Ordering::SeqCst) {
            return;
        }
        let body = serde_json::to_string(&list).unwrap_or_default();
        let control = *lock(&process.control);
        if post(control, "/v1/hosts", &body).is_some() {
            let at = stage.fleet.log.now();
            lock(&stage.record).1.extend(list.hosts.iter().map(|line| Told {
                at,
                dispatcher: process.name.clone(),
                host: line.host.to_string(),
                runs: line.standing == HostStanding::Running,
            }));
        }
    });
    let _ = told.join();
}

/// The list as it stands, for a dispatcher that was started again.
fn whole_list(stage: &Stage) -> HostList {
    let line = |host: &Arc<Host>| {
        let standing = if host.is_up() { HostStanding::Running } else { HostStanding::Gone };
        Fleet::line(host, standing, host.started_unix_ms())
    };
    let version = stage.version.fetch_add(1, Ordering::SeqCst) + 1;
    HostList { version, whole: true, hosts: stage.fleet.hosts.iter().map(line).collect() }
}

fn kill(stage: &Stage, child: &mut Option<Child>, number: usize) -> io::Result<()> {
    let process = &stage.processes[number];
    process.up.store(false, Ordering::SeqCst);
    if let Some(mut child) = child.take() {
        // SIGKILL: nothing of it gets to run any more.
        child.kill()?;
        child.wait()?;
    }
    let at = stage.fleet.log.now();
    lock(&stage.record).2.push(Kill { at, dispatcher: process.name.clone() });
    Ok(())
}

fn restart(stage: &Arc<Stage>, program: &Path, number: usize) -> io::Result<Child> {
    let process = &stage.processes[number];
    let (child, listen, control) = Process::start(program, &process.settings, &process.addresses)?;
    *lock(&process.listen) = listen;
    *lock(&process.control) = control;
    process.up.store(true, Ordering::SeqCst);
    // From its kept list until now: then the list, late as ever.
    let (stage, process) = (stage.clone(), process.clone());
    thread::spawn(move || {
        thread::sleep(Duration::from_millis(stage.late_ms.load(Ordering::Relaxed)));
        tell(&stage, &process, &whole_list(&stage));
    });
    Ok(child)
}

/// The body of a 200 to this request; nothing else is of use to who asks.
pub fn call(address: SocketAddr, request: &str) -> Option<Vec<u8>> {
    let until = Instant::now() + Duration::from_secs(2);
    let link = Link::connect(&address, Duration::from_millis(500)).ok()?;
    link.write(request.as_bytes(), until).ok()?;
    let mut reply = Reply::new(link, tulipstall_http1::Limits { body: 16 << 20, ..Default::default() });
    let head = reply.head(until).ok()?;
    let body = reply.whole_body(until).ok()?;
    reply.link.shut();
    (head.status == 200).then_some(body)
}

pub fn post(address: SocketAddr, path: &str, body: &str) -> Option<Vec<u8>> {
    let length = body.len();
    call(
        address,
        &format!("POST {path} HTTP/1.1\r\nhost: {address}\r\ncontent-length: {length}\r\n\r\n{body}"),
    )
}

pub fn get(address: SocketAddr, path: &str) -> Option<Vec<u8>> {
    call(address, &format!("GET {path} HTTP/1.1\r\nhost: {address}\r\n\r\n"))
}

/// Open loop: each task is due at its time, whatever became of those before.
fn generate(stage: &Arc<Stage>, began: Instant) {
    let mut chance = Pcg32::seed_from_u64(stage.day.seed);
    let mut due: Vec<f64> = stage.day.load.iter().map(|load| 1.0 / load.per_second.max(1e-6)).collect();
    let mut task = 0;
    while !stage.over.load(Ordering::SeqCst) {
        let next = (0..due.len()).min_by(|a, b| due[*a].total_cmp(&due[*b]));
        let Some(at) = next.filter(|at| due[*at] < stage.day.seconds) else { return };
        let load = &stage.day.load[at];
        let wait = Duration::from_secs_f64(due[at]).saturating_sub(began.elapsed());
        tulipstall_net::sleep(wait);
        let mood = *lock(&stage.mood);
        // Exponential gaps: arrivals of many clients that know nothing of each other.
        let gap: f64 = -(1.0 - chance.random::<f64>()).ln();
        due[at] += gap / (load.per_second * mood.times).max(1e-6);
        let drawn = Drawn::new(load, &mood, task, &mut chance);
        task += 1;
        stage.clients.fetch_add(1, Ordering::SeqCst);
        let stage = stage.clone();
        spawn(move || {
            client(&stage, &drawn);
            stage.clients.fetch_sub(1, Ordering::SeqCst);
        });
    }
}

/// All chance of one task, drawn before it begins.
struct Drawn {
    task: u32,
    offering: usize,
    shared: String,
    user: String,
    tokens: u32,
    stream: bool,
    leaves: Option<Duration>,
    retries: u32,
    dispatcher: usize,
    time_part: f64,
    unmarked: bool,
}

impl Drawn {
    fn new(load: &Load, mood: &Mood, task: u32, chance: &mut Pcg32) -> Drawn {
        let between =
            |range: [u32; 2], chance: &mut Pcg32| chance.random_range(range[0]..=range[1].max(range[0]));
        let new = chance.random::<f64>() < mood.new_text;
        let text = chance.random_range(0..load.shared_texts.max(1));
        let shared = if new {
            "ประกาศใหม่ ".to_owned()
        } else {
            format!("ตารางเรือ {text} ")
        };
        let bytes = between(load.prompt_bytes, chance) as usize;
        let tokens = between(load.answer_tokens, chance);
        let filler =
            format!("passenger {} asks about a ferry and a refund, please; ", chance.random::<u32>());
        Drawn {
            task,
            offering: load.offering,
            shared: shared.repeat((load.shared_bytes as usize / shared.len()).max(1)),
            user: filler.repeat(bytes / filler.len() + 1),
            unmarked: load.unmarked,
            tokens,
            stream: chance.random::<f64>() < load.streamed,
            leaves: (chance.random::<f64>() < load.leave)
                .then(|| Duration::from_millis(chance.random_range(0..=load.leave_within_ms))),
            retries: load.retries,
            dispatcher: chance.random_range(0..1000),
            time_part: mood.time_part,
        }
    }
}

/// A client with its tries, as clients of this API behave: repeats only what it may.
fn client(stage: &Stage, drawn: &Drawn) {
    let offering = &stage.offerings[drawn.offering];
    for number in 0..=drawn.retries {
        let process = &stage.processes[(drawn.dispatcher + number as usize) % stage.processes.len()];
        let mark = format!("{}.{number}", drawn.task);
        let stop = Duration::from_secs_f64(offering.hard_stop_ms as f64 * drawn.time_part / 1e3);
        let user = format!("{} [[len:{}]] [[task:{mark}]]", drawn.user, drawn.tokens);
        let mut request = Request::new(&offering.name, &user)
            .with("x-stainless-timeout", stop.as_secs_f64())
            .with("x-stainless-retry-count", number);
        if offering.effect == settings::Effect::Referenced {
            request = request.with("idempotency-key", format!("mark-{}", drawn.task));
        }
        if drawn.unmarked {
            request.user = format!("{}{}", drawn.shared, request.user);
        } else {
            request.system = drawn.shared.clone();
        }
        request.stream = drawn.stream;
        request.most_tokens = offering.most_tokens.min(1024);
        let at = stage.fleet.log.now();
        // A tenth of a second more than it tells: what is lost on the way is not the dispatcher's.
        let manner = Manner { stop: stop + Duration::from_millis(100), leaves: drawn.leaves, slow: None };
        // Not inside the call: the lock's guard would live as long as that, over every yield in it.
        let listen = *lock(&process.listen);
        let said = client::ask(listen, &request, manner);
        let ended = stage.fleet.log.now();
        let done = Try {
            task: drawn.task,
            number,
            dispatcher: process.name.clone(),
            offering: drawn.offering,
            at,
            stop: stop.as_micros() as u64,
            ended,
            begun: said.first_token.is_some(),
            first: said.first_token.map_or(0, |first| first.as_micros() as u64),
            prompt_tokens: said.usage[0] + said.usage[1],
            kept_tokens: said.usage[1],
            told_to_retry: said.should_retry == Some(true),
            text_right: right(&request, &said, drawn.tokens),
            after: said.after,
            answer: said.answer.clone(),
        };
        let (answer, retry) = (done.answer.clone(), said.should_retry);
        lock(&stage.record).0.push(done);
        let again = match answer {
            Answer::Bounced | Answer::Unreachable => true,
            Answer::BrokenOff => retry == Some(true),
            // Lost with its dispatcher: only what may run again is asked for again.
            Answer::Cut | Answer::Late => offering.effect == settings::Effect::Replayable,
            _ => false,
        };
        if !again {
            return;
        }
        let pause = said.come_back.unwrap_or(Duration::from_millis(100)).min(Duration::from_secs(1));
        tulipstall_net::sleep(pause);
    }
}

/// Whether what came is the right answer, or a start of it where it was broken off.
fn right(request: &Request, said: &Said, tokens: u32) -> bool {
    let Ok(call) = tulipstall_messages::parse(request.body().as_bytes()) else { return false };
    // A writer that does not stop where it should still says the words that come next.
    let most = if said.answer == Answer::Delivered { tokens.min(request.most_tokens) } else { 2048 };
    let whole = text::answer(&call.prompt, most);
    match said.answer {
        Answer::Delivered => {
            said.text == whole && said.usage[2] == u64::from(tokens.min(request.most_tokens))
        }
        Answer::Refused(_) | Answer::Bounced => true,
        _ => whole.starts_with(&said.text),
    }
}

/// Compares what dispatchers counted with what clients got; those that were killed have forgotten.
fn reconcile(stage: &Arc<Stage>, killed: &[bool]) -> (Checks, BTreeMap<String, u64>) {
    let (mut checks, mut left) = (Vec::new(), BTreeMap::new());
    let tries = lock(&stage.record).0.clone();
    for (number, process) in stage.processes.iter().enumerate() {
        if killed[number] {
            continue;
        }
        let control = *lock(&process.control);
        let asked = spawn(move || get(control, "/metrics"));
        let Ok(Some(text)) = asked.join() else {
            checks.push((format!("{} tells its counts", process.name), Err("no answer".to_owned())));
            continue;
        };
        let text = String::from_utf8_lossy(&text);
        streams_left(&text, &mut left);
        let counted = answers(&text);
        let own = |answer: &Answer| {
            tries.iter().filter(|one| one.dispatcher == process.name && one.answer == *answer).count() as u64
        };
        let of = |name: &str| counted.get(name).copied().unwrap_or(0);
        let (delivered, bounced) = (own(&Answer::Delivered), own(&Answer::Bounced));
        let (broken, away) = (own(&Answer::BrokenOff), own(&Answer::Left));
        let all: u64 = counted.values().sum();
        // A client may leave as its answer is under way: then one says left, the other delivered, bounced or
        // broken off; or before its request was whole: then it was never taken.
        let fits = of("delivered") >= delivered
            && of("bounced") >= bounced
            && of("broken off") >= broken
            && all >= delivered + bounced + broken
            && all <= delivered + bounced + broken + away;
        let found = format!(
            "{} counted {counted:?}, clients {delivered} delivered {bounced} bounced {broken} broken off {away} left",
            process.name
        );
        checks.push((
            format!("{} and its clients count the same", process.name),
            if fits { Ok(()) } else { Err(found) },
        ));
    }
    (checks, left)
}

/// Adds up streams that left their writer, by what became of them, over dispatchers' Prometheus texts.
fn streams_left(text: &str, sum: &mut BTreeMap<String, u64>) {
    for line in text.lines().filter(|line| line.starts_with("tulipstall_streams_")) {
        let label =
            |name: &str| line.split(&format!("{name}=\"")).nth(1).and_then(|rest| rest.split('"').next());
        let count = line.rsplit(' ').next().and_then(|count| count.parse::<u64>().ok());
        if let (Some(then), Some(count)) = (label("then"), count) {
            let why = label("why").unwrap_or("lost");
            *sum.entry(format!("{why}: {then}")).or_insert(0) += count;
        }
    }
}

/// Final answers by kind, from Prometheus text.
pub fn answers(text: &str) -> BTreeMap<String, u64> {
    let mut counted = BTreeMap::new();
    for line in text.lines().filter(|line| line.starts_with("tulipstall_answers_total{")) {
        let name = line.split("answer=\"").nth(1).and_then(|rest| rest.split('"').next());
        let count = line.rsplit(' ').next().and_then(|count| count.parse::<f64>().ok());
        if let (Some(name), Some(count)) = (name, count) {
            *counted.entry(name.to_owned()).or_insert(0) += count as u64;
        }
    }
    counted
}

/// The table of a day, and its one last line.
pub fn report(day: &Day, outcome: &Outcome, out: &mut impl Write) -> io::Result<()> {
    let tries = &outcome.record.tries;
    writeln!(out, "{}", day.about)?;
    writeln!(
        out,
        "{:16}{:>7}{:>11}{:>9}{:>12}{:>7}{:>7}",
        "offering", "tries", "delivered", "bounced", "broken off", "left", "other"
    )?;
    let names: Vec<String> =
        (0..outcome.record.figures.effects.len()).map(|i| format!("offering {i}")).collect();
    for (i, name) in names.iter().enumerate() {
        let of = |wanted: fn(&Answer) -> bool| {
            tries.iter().filter(|t| t.offering == i && wanted(&t.answer)).count()
        };
        let counts = [
            of(|a| *a == Answer::Delivered),
            of(|a| *a == Answer::Bounced),
            of(|a| *a == Answer::BrokenOff),
            of(|a| *a == Answer::Left),
        ];
        let all = of(|_| true);
        let other = all - counts.iter().sum::<usize>();
        writeln!(
            out,
            "{name:16}{all:>7}{:>11}{:>9}{:>12}{:>7}{other:>7}",
            counts[0], counts[1], counts[2], counts[3]
        )?;
    }
    let begun = tries.iter().filter(|one| one.begun).count();
    let left: Vec<String> = outcome.left.iter().map(|(what, count)| format!("{what} {count}")).collect();
    writeln!(out, "{begun} answers begun; writers left: {}", left.join(", "))?;
    let kills = outcome.record.kills.len();
    writeln!(out, "{kills} dispatchers killed, {} lines seen by hosts", outcome.record.seen.len())?;
    let (mut passed, mut failed) = (0, 0);
    for verdict in &outcome.verdicts {
        let kept = verdict.breaks.is_empty();
        (passed, failed) = if kept { (passed + 1, failed) } else { (passed, failed + 1) };
        let word = if kept { "kept" } else { "BROKEN" };
        writeln!(
            out,
            "rule {:28} {word:7} {:>6} looked at, nearest {:>3.0}% {}",
            verdict.rule,
            verdict.looked_at,
            verdict.nearest * 100.0,
            verdict.near
        )?;
        for why in verdict.breaks.iter().take(10) {
            writeln!(out, "    {why}")?;
        }
    }
    for (what, check) in &outcome.checks {
        match check {
            Ok(()) => passed += 1,
            Err(_) => failed += 1,
        }
        writeln!(out, "check {what}: {}", check.as_ref().err().map_or("good", String::as_str))?;
    }
    writeln!(out, "\n{passed} passed, {failed} failed")
}
