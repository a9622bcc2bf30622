//! Scripted test runs ("days"): dispatchers as separate processes, stand-in hosts, a host list with a delay, clients, and
//! faults at stated times. Everything that crosses the sockets is recorded and checked against the rules.
//!
//! Scripts are read from files, so fields and variants keep the names that they have there.

use crate::client::{self, ClientOptions, Request, Response};
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
use tulipstall_judge::{
    Answer, ClientAttempt, Effect, Group, HostNotice, Kill, Location, Record, RuleParams, Verdict, judge,
};
use tulipstall_net::{Link, Reply, spawn};
use tulipstall_settings as settings;
use tulipstall_settings::{HostLine, HostList, HostStanding, Settings};
use tulipstall_standin::{Host, HostFaults, Spec, text};

/// The script of a run.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Day {
    /// What the run shows, for people who choose from a list of runs.
    pub about: String,
    pub seconds: f64,
    #[serde(default)]
    pub seed: u64,
    #[schemars(range(min = 1))]
    pub dispatchers: u32,
    pub fleet: Vec<HostGroup>,
    /// Settings of the dispatchers. Addresses, indices and list files are filled in.
    pub settings: serde_json::Value,
    pub load: Vec<Load>,
    /// Delay between a change of a host and its push to the dispatchers.
    #[serde(default)]
    pub list_late_ms: u64,
    #[serde(default)]
    pub events: Vec<Event>,
}

/// Identical hosts.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct HostGroup {
    pub count: u32,
    pub spec: Spec,
}

/// The load on one offering.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Load {
    pub offering: usize,
    pub per_second: f64,
    /// Smallest and largest size of the prompt without the shared text.
    pub prompt_bytes: [u32; 2],
    /// How many shared texts there are; each prompt starts with one of them.
    pub shared_texts: u32,
    /// The size of each shared text.
    pub shared_bytes: u32,
    /// The shared text is part of the user message, without a cache marker.
    pub unmarked: bool,
    /// Smallest and largest length of the answer.
    pub answer_tokens: [u32; 2],
    /// The share of the tasks that is requested as a stream.
    #[serde(rename = "streamed")]
    pub streamed_share: f64,
    /// The share of the clients that disconnect early.
    #[serde(rename = "leave")]
    pub leave_share: f64,
    /// They disconnect within this time.
    pub leave_within_ms: u64,
    /// How many times a client retries.
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
            streamed_share: 0.8,
            leave_share: 0.03,
            leave_within_ms: 500,
            retries: 2,
        }
    }
}

/// An incident with its time.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Event {
    pub at_ms: u64,
    /// How long it lasts. For crashes, drains and kills: the time until the restart.
    pub for_ms: u64,
    #[serde(rename = "what")]
    pub incident: Incident,
}

/// What happens in a run.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Incident {
    /// These hosts have these faults.
    #[serde(rename = "trouble")]
    Faults {
        hosts: Vec<usize>,
        #[serde(rename = "trouble")]
        faults: Box<HostFaults>,
    },
    /// The prefix caches of these hosts are emptied once.
    Flush { hosts: Vec<usize> },
    /// These hosts crash and restart cold.
    #[serde(rename = "die")]
    Crash { hosts: Vec<usize> },
    /// These hosts drain, are removed from the list, and restart cold.
    Drain { hosts: Vec<usize> },
    /// These dispatchers are killed with SIGKILL and started again.
    Kill { dispatchers: Vec<usize> },
    /// The rate of tasks is multiplied by this factor.
    Burst {
        #[serde(rename = "times")]
        factor: f64,
    },
    /// The delay of the host list increases by this much.
    ListLate { ms: u64 },
    /// This share of the tasks begins with a shared text that was not used before.
    NewText {
        #[serde(rename = "part")]
        share: f64,
    },
    /// Clients give each attempt this share of its usual time.
    #[serde(rename = "little-time")]
    ShortDeadline {
        #[serde(rename = "part")]
        share: f64,
    },
}

impl Day {
    /// Reads a script from a file.
    pub fn read(path: &Path) -> Result<Day, String> {
        let text = fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
        serde_json::from_str(&text).map_err(|error| format!("{}: {error}", path.display()))
    }
}

impl Day {
    /// The index of every host that an event names.
    pub fn hosts_named(&self) -> impl Iterator<Item = usize> {
        self.events.iter().flat_map(|event| match &event.incident {
            Incident::Faults { hosts, .. }
            | Incident::Flush { hosts }
            | Incident::Crash { hosts }
            | Incident::Drain { hosts } => hosts.clone(),
            _ => Vec::new(),
        })
    }
}

/// The result of a run.
pub struct Outcome {
    pub record: Record,
    pub verdicts: Vec<Verdict>,
    /// Checks beside the rules: what was compared, and the difference if any.
    pub checks: Checks,
    /// How many streams left their writer, by reason and result, as counted by the dispatchers. Covers lost writers and
    /// moves to a better one.
    pub writer_changes: BTreeMap<String, u64>,
}

type Checks = Vec<(String, Result<(), String>)>;

impl Outcome {
    /// Whether every rule was kept and every check passed.
    pub fn passed(&self) -> bool {
        self.verdicts.iter().all(|verdict| verdict.violations.is_empty())
            && self.checks.iter().all(|(_, check)| check.is_ok())
    }
}

/// The process of a dispatcher.
struct Process {
    name: String,
    child: Option<Child>,
    settings_file: PathBuf,
    /// The dispatcher writes its addresses to this file.
    addresses_file: PathBuf,
    listen: Mutex<SocketAddr>,
    control: Mutex<SocketAddr>,
    running: AtomicBool,
}

/// The current properties of the load.
#[derive(Clone, Copy)]
struct Conditions {
    rate_factor: f64,
    new_text_share: f64,
    deadline_share: f64,
}

/// The shared state of a run.
struct Playback {
    day: Day,
    fleet: Fleet,
    offerings: Vec<settings::Offering>,
    processes: Vec<Arc<Process>>,
    record: Mutex<(Vec<ClientAttempt>, Vec<HostNotice>, Vec<Kill>)>,
    conditions: Mutex<Conditions>,
    running_clients: AtomicUsize,
    list_delay_ms: AtomicU64,
    /// The last version of the host list. It increases with each push, so that a late push does not undo a newer one.
    list_version: AtomicU64,
    finished: AtomicBool,
}

fn other_error(what: impl Into<String>) -> io::Error {
    io::Error::other(what.into())
}

fn settings_error(violations: Vec<settings::Violation>) -> io::Error {
    other_error(violations.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))
}

/// Settings of one dispatcher of a run, with its index, name and seed filled in.
fn settings_of(day: &Day, number: u32, stored_hosts: &Path) -> io::Result<Settings> {
    let mut value = serde_json::to_value(fleet::settings("day")).map_err(io::Error::other)?;
    let overrides = day.settings.as_object().ok_or_else(|| other_error("/settings: an object is wanted"))?;
    for (name, given) in overrides {
        match (value.get_mut(name), given) {
            (Some(serde_json::Value::Object(defaults)), serde_json::Value::Object(given)) => {
                defaults.extend(given.clone());
            }
            _ => value[name] = given.clone(),
        }
    }
    value["name"] = format!("d{number}").into();
    value["me"] = number.into();
    value["dispatchers"] = day.dispatchers.into();
    value["seed"] = (day.seed * 1000 + u64::from(number)).into();
    value["hosts_kept"] = stored_hosts.to_string_lossy().into();
    value.as_object_mut().into_iter().for_each(|value| value.retain(|_, value| !value.is_null()));
    settings::check(&value.to_string()).map_err(settings_error)
}

impl Process {
    /// Starts a dispatcher and waits until it listens.
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
                let reported: serde_json::Value = serde_json::from_str(&text).map_err(io::Error::other)?;
                let address = |name: &str| reported[name].as_str().and_then(|text| text.parse().ok());
                if let (Some(listen), Some(control)) = (address("listen"), address("control")) {
                    return Ok((child, listen, control));
                }
            }
            thread::sleep(Duration::from_millis(10));
        }
        Err(other_error("a dispatcher did not start in ten seconds"))
    }
}

/// Runs a script with dispatchers of this program. `folder` is for their files.
pub fn play(day: &Day, program: &Path, folder: &Path) -> io::Result<Outcome> {
    fs::create_dir_all(folder)?;
    let mut specs: Vec<Spec> =
        day.fleet.iter().flat_map(|group| vec![group.spec.clone(); group.count as usize]).collect();
    // Hosts remember references as the referenced offering defines.
    let referenced = settings_of(day, 0, Path::new(""))?
        .offerings
        .into_iter()
        .find(|o| o.effect == settings::Effect::Referenced);
    for (spec, offering) in specs.iter_mut().zip(std::iter::repeat(referenced).flatten()) {
        (spec.group, spec.reference_window_ms) = (group(offering.group), offering.window_ms);
    }
    let fleet = Fleet::start(&specs)?;
    let mut processes = Vec::new();
    let mut offerings = Vec::new();
    let mut rules = settings::RuleFigures::default();
    for number in 0..day.dispatchers {
        let file = |what: &str| folder.join(format!("d{number}.{what}"));
        let _ = fs::remove_file(file("hosts"));
        let mut own = settings_of(day, number, &file("hosts"))?;
        // Fixed ports, so that a restarted dispatcher has the same addresses.
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
            settings_file: file("settings"),
            addresses_file: file("addresses"),
            listen: Mutex::new(listen),
            control: Mutex::new(control),
            running: AtomicBool::new(true),
        });
    }
    let mut children: Vec<Option<Child>> = processes.iter_mut().map(|process| process.child.take()).collect();
    let playback = Arc::new(Playback {
        day: day.clone(),
        offerings,
        processes: processes.into_iter().map(Arc::new).collect(),
        record: Mutex::default(),
        conditions: Mutex::new(Conditions { rate_factor: 1.0, new_text_share: 0.0, deadline_share: 1.0 }),
        running_clients: AtomicUsize::new(0),
        list_delay_ms: AtomicU64::new(day.list_late_ms),
        list_version: AtomicU64::new(1),
        finished: AtomicBool::new(false),
        fleet,
    });
    let result = run(&playback, program, &mut children);
    for child in children.iter_mut().flatten() {
        let _ = child.kill();
        let _ = child.wait();
    }
    let (checks, writer_changes) = result?;
    let (attempts, notices, kills) = lock(&playback.record).clone();
    let record = Record {
        params: rule_params(&playback, &rules),
        host_events: playback.fleet.log.events(),
        attempts,
        notices,
        kills,
        ended: playback.fleet.log.now(),
    };
    let verdicts = judge(&record);
    Ok(Outcome { record, verdicts, checks, writer_changes })
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

/// The parameters of the rules, from the settings of the dispatchers and the locations of the hosts.
fn rule_params(playback: &Playback, rules: &settings::RuleFigures) -> RuleParams {
    let effect = |offering: &settings::Offering| match offering.effect {
        settings::Effect::Replayable => Effect::Replayable,
        settings::Effect::SingleUse => Effect::SingleUse,
        settings::Effect::Referenced => {
            Effect::Referenced { group: group(offering.group), window_us: offering.window_ms * 1000 }
        }
    };
    let location = |host: &Arc<Host>| {
        (host.name.clone(), Location { zone: host.spec.zone.clone(), cell: host.spec.cell })
    };
    RuleParams {
        effects: playback.offerings.iter().map(effect).collect(),
        locations: playback.fleet.hosts.iter().map(location).collect(),
        drain_grace_us: rules.drain_grace_ms * 1000,
        release_us: rules.release_ms * 1000,
        // With everything on one machine of four cores, events may be late by a scheduler tick or two.
        slack_us: 60_000,
        notice_us: 150_000,
    }
}

/// A scheduled step of a run.
enum Action {
    /// The event with this index begins.
    Begin(usize),
    /// The event with this index ends.
    End(usize),
    /// This list is pushed to all dispatchers.
    List(HostList),
}

/// Plays the events at their times, with clients beside, and compares the counts at the end.
fn run(
    playback: &Arc<Playback>,
    program: &Path,
    children: &mut [Option<Child>],
) -> io::Result<(Checks, BTreeMap<String, u64>)> {
    let began = Instant::now();
    for process in &playback.processes {
        push_list(playback, process, &playback.fleet.list());
    }
    let mut schedule: BTreeMap<(u64, usize), Action> = BTreeMap::new();
    let mut sequence = 0;
    for (i, event) in playback.day.events.iter().enumerate() {
        schedule.insert((event.at_ms, sequence), Action::Begin(i));
        schedule.insert((event.at_ms + event.for_ms, sequence + 1), Action::End(i));
        sequence += 2;
    }
    let generator = playback.clone();
    let clients = spawn(move || generate_load(&generator, began));
    let mut active_faults: Vec<(usize, usize)> = Vec::new();
    let mut last_list_at_ms = 0;
    let mut was_killed = vec![false; children.len()];
    let duration = Duration::from_secs_f64(playback.day.seconds);
    while began.elapsed() < duration || !schedule.is_empty() {
        let Some((&(at, number), _)) = schedule.first_key_value() else {
            thread::sleep(Duration::from_millis(20));
            continue;
        };
        let due = Duration::from_millis(at);
        if let Some(wait) = due.checked_sub(began.elapsed()) {
            thread::sleep(wait.min(Duration::from_millis(20)));
            continue;
        }
        let Some(action) = schedule.remove(&(at, number)) else { continue };
        // Changes are pushed in the order in which they happened, also when the delay changes.
        let mut schedule_list = |after_ms: u64, action: Action| {
            sequence += 1;
            last_list_at_ms = last_list_at_ms.max(at + after_ms);
            schedule.insert((last_list_at_ms, sequence), action);
        };
        let delay_ms = playback.list_delay_ms.load(Ordering::Relaxed);
        match action {
            Action::List(mut list) => {
                list.version = playback.list_version.fetch_add(1, Ordering::SeqCst) + 1;
                playback.processes.iter().for_each(|process| push_list(playback, process, &list));
            }
            Action::Begin(i) => match &playback.day.events[i].incident {
                Incident::Faults { hosts, .. } => {
                    active_faults.extend(hosts.iter().map(|host| (*host, i)));
                    hosts.iter().for_each(|host| apply_faults(playback, *host, &active_faults));
                }
                Incident::Flush { hosts } => {
                    hosts.iter().for_each(|host| playback.fleet.hosts[*host].flush())
                }
                Incident::Crash { hosts } => {
                    hosts.iter().for_each(|host| playback.fleet.hosts[*host].crash());
                    schedule_list(delay_ms, Action::List(list_changes(playback, hosts, HostStanding::Gone)));
                }
                Incident::Drain { hosts } => {
                    schedule_list(
                        delay_ms,
                        Action::List(list_changes(playback, hosts, HostStanding::Draining)),
                    );
                    // Removed from the list after half of the time: until then, requests in progress may end.
                    let gone = list_changes(playback, hosts, HostStanding::Gone);
                    schedule_list(delay_ms.max(playback.day.events[i].for_ms / 2) + 1, Action::List(gone));
                }
                Incident::Kill { dispatchers } => {
                    for number in dispatchers {
                        kill(playback, &mut children[*number], *number)?;
                        was_killed[*number] = true;
                    }
                }
                Incident::Burst { factor } => lock(&playback.conditions).rate_factor = *factor,
                Incident::ListLate { ms } => {
                    playback.list_delay_ms.fetch_add(*ms, Ordering::Relaxed);
                }
                Incident::NewText { share } => lock(&playback.conditions).new_text_share = *share,
                Incident::ShortDeadline { share } => lock(&playback.conditions).deadline_share = *share,
            },
            Action::End(i) => match &playback.day.events[i].incident {
                Incident::Faults { hosts, .. } => {
                    active_faults.retain(|(_, event)| *event != i);
                    hosts.iter().for_each(|host| apply_faults(playback, *host, &active_faults));
                }
                Incident::Flush { .. } => {}
                Incident::Crash { hosts } | Incident::Drain { hosts } => {
                    for host in hosts {
                        // A drained host is stopped here and starts again.
                        playback.fleet.hosts[*host].crash();
                        playback.fleet.hosts[*host].restart()?;
                    }
                    schedule_list(
                        delay_ms,
                        Action::List(list_changes(playback, hosts, HostStanding::Running)),
                    );
                }
                Incident::Kill { dispatchers } => {
                    for number in dispatchers {
                        children[*number] = Some(restart(playback, program, *number)?);
                    }
                }
                Incident::Burst { .. } => lock(&playback.conditions).rate_factor = 1.0,
                Incident::ListLate { ms } => {
                    playback.list_delay_ms.fetch_sub(*ms, Ordering::Relaxed);
                }
                Incident::NewText { .. } => lock(&playback.conditions).new_text_share = 0.0,
                Incident::ShortDeadline { .. } => lock(&playback.conditions).deadline_share = 1.0,
            },
        }
    }
    playback.finished.store(true, Ordering::SeqCst);
    let _ = clients.join();
    // Waits for clients that are still running, then for states that must be released by the end.
    let until = Instant::now() + Duration::from_secs(30);
    while playback.running_clients.load(Ordering::SeqCst) > 0 && Instant::now() < until {
        thread::sleep(Duration::from_millis(20));
    }
    thread::sleep(Duration::from_millis(1500));
    Ok(compare_counts(playback, &was_killed))
}

/// Gives a host the combination of all its current faults; entries are host and event.
fn apply_faults(playback: &Playback, host: usize, active_faults: &[(usize, usize)]) {
    let mut combined = HostFaults::default();
    for (_, event) in active_faults.iter().filter(|(own, _)| *own == host) {
        if let Incident::Faults { faults, .. } = &playback.day.events[*event].incident {
            combined.error_share = combined.error_share.max(faults.error_share);
            combined.hang |= faults.hang;
            combined.slowdown *= faults.slowdown;
            combined.connect_delay_ms = combined.connect_delay_ms.max(faults.connect_delay_ms);
            combined.link_slowdown *= faults.link_slowdown;
            combined.draining |= faults.draining;
            combined.ageing |= faults.ageing;
            combined.unanswered_model = faults.unanswered_model.clone().or(combined.unanswered_model);
            combined.mid_stream = faults.mid_stream.or(combined.mid_stream);
        }
    }
    playback.fleet.hosts[host].set_faults(combined);
}

/// A partial list that gives these hosts this status.
fn list_changes(playback: &Playback, hosts: &[usize], standing: HostStanding) -> HostList {
    let line = |host: &usize| -> HostLine {
        let host = &playback.fleet.hosts[*host];
        Fleet::line(host, standing, (standing == HostStanding::Running).then(now_unix_ms))
    };
    HostList { version: 0, whole: false, hosts: hosts.iter().map(line).collect() }
}

/// Pushes a list to one dispatcher and records its notices once the dispatcher has confirmed them.
fn push_list(playback: &Arc<Playback>, process: &Arc<Process>, list: &HostList) {
    let (playback, process, list) = (playback.clone(), process.clone(), list.clone());
    let pushed = spawn(move || {
        if !process.running.load(Ordering::SeqCst) {
            return;
        }
        let body = serde_json::to_string(&list).unwrap_or_default();
        let control = *lock(&process.control);
        if post(control, "/v1/hosts", &body).is_some() {
            let at = playback.fleet.log.now();
            lock(&playback.record).1.extend(list.hosts.iter().map(|line| HostNotice {
                at,
                dispatcher: process.name.clone(),
                host: line.host.to_string(),
                running: line.standing == HostStanding::Running,
            }));
        }
    });
    let _ = pushed.join();
}

/// The full current list, for a dispatcher that was restarted.
fn full_list(playback: &Playback) -> HostList {
    let line = |host: &Arc<Host>| {
        let standing = if host.is_up() { HostStanding::Running } else { HostStanding::Gone };
        Fleet::line(host, standing, host.started_unix_ms())
    };
    let version = playback.list_version.fetch_add(1, Ordering::SeqCst) + 1;
    HostList { version, whole: true, hosts: playback.fleet.hosts.iter().map(line).collect() }
}

fn kill(playback: &Playback, child: &mut Option<Child>, number: usize) -> io::Result<()> {
    let process = &playback.processes[number];
    process.running.store(false, Ordering::SeqCst);
    if let Some(mut child) = child.take() {
        // SIGKILL: the process cannot clean up.
        child.kill()?;
        child.wait()?;
    }
    let at = playback.fleet.log.now();
    lock(&playback.record).2.push(Kill { at, dispatcher: process.name.clone() });
    Ok(())
}

fn restart(playback: &Arc<Playback>, program: &Path, number: usize) -> io::Result<Child> {
    let process = &playback.processes[number];
    let (child, listen, control) = Process::start(program, &process.settings_file, &process.addresses_file)?;
    *lock(&process.listen) = listen;
    *lock(&process.control) = control;
    process.running.store(true, Ordering::SeqCst);
    // Until the delayed push of the current list, it works with the list that it had stored.
    let (playback, process) = (playback.clone(), process.clone());
    thread::spawn(move || {
        thread::sleep(Duration::from_millis(playback.list_delay_ms.load(Ordering::Relaxed)));
        push_list(&playback, &process, &full_list(&playback));
    });
    Ok(child)
}

/// Sends a raw HTTP request and returns the body of a 200 response; none for anything else.
pub fn call(address: SocketAddr, request: &str) -> Option<Vec<u8>> {
    let until = Instant::now() + Duration::from_secs(2);
    let link = Link::connect(&address, Duration::from_millis(500)).ok()?;
    link.write(request.as_bytes(), until).ok()?;
    let mut reply =
        Reply::new(link, tulipstall_http1::Limits { max_body_bytes: 16 << 20, ..Default::default() });
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

/// Starts clients in an open loop: each task starts at its time, whether or not earlier ones have ended.
fn generate_load(playback: &Arc<Playback>, began: Instant) {
    let mut rng = Pcg32::seed_from_u64(playback.day.seed);
    // Seconds from the start to the next task of each load.
    let mut due_s: Vec<f64> = playback.day.load.iter().map(|load| 1.0 / load.per_second.max(1e-6)).collect();
    let mut task = 0;
    while !playback.finished.load(Ordering::SeqCst) {
        let next = (0..due_s.len()).min_by(|a, b| due_s[*a].total_cmp(&due_s[*b]));
        let Some(index) = next.filter(|index| due_s[*index] < playback.day.seconds) else { return };
        let load = &playback.day.load[index];
        let wait = Duration::from_secs_f64(due_s[index]).saturating_sub(began.elapsed());
        tulipstall_net::sleep(wait);
        let conditions = *lock(&playback.conditions);
        // Exponential gaps model the arrivals of many independent clients.
        let gap: f64 = -(1.0 - rng.random::<f64>()).ln();
        due_s[index] += gap / (load.per_second * conditions.rate_factor).max(1e-6);
        let plan = TaskPlan::new(load, &conditions, task, &mut rng);
        task += 1;
        playback.running_clients.fetch_add(1, Ordering::SeqCst);
        let playback = playback.clone();
        spawn(move || {
            run_client(&playback, &plan);
            playback.running_clients.fetch_sub(1, Ordering::SeqCst);
        });
    }
}

/// The random properties of one task, drawn before it starts.
struct TaskPlan {
    task: u32,
    offering: usize,
    shared_text: String,
    user_text: String,
    answer_tokens: u32,
    stream: bool,
    leave_after: Option<Duration>,
    retries: u32,
    /// Index of the dispatcher of the first attempt, modulo their number.
    dispatcher: usize,
    deadline_share: f64,
    unmarked: bool,
}

impl TaskPlan {
    fn new(load: &Load, conditions: &Conditions, task: u32, rng: &mut Pcg32) -> TaskPlan {
        let between = |range: [u32; 2], rng: &mut Pcg32| rng.random_range(range[0]..=range[1].max(range[0]));
        let new = rng.random::<f64>() < conditions.new_text_share;
        let text = rng.random_range(0..load.shared_texts.max(1));
        let shared = if new {
            "ประกาศใหม่ ".to_owned()
        } else {
            format!("ตารางเรือ {text} ")
        };
        let bytes = between(load.prompt_bytes, rng) as usize;
        let answer_tokens = between(load.answer_tokens, rng);
        let filler = format!("passenger {} asks about a ferry and a refund, please; ", rng.random::<u32>());
        TaskPlan {
            task,
            offering: load.offering,
            shared_text: shared.repeat((load.shared_bytes as usize / shared.len()).max(1)),
            user_text: filler.repeat(bytes / filler.len() + 1),
            unmarked: load.unmarked,
            answer_tokens,
            stream: rng.random::<f64>() < load.streamed_share,
            leave_after: (rng.random::<f64>() < load.leave_share)
                .then(|| Duration::from_millis(rng.random_range(0..=load.leave_within_ms))),
            retries: load.retries,
            dispatcher: rng.random_range(0..1000),
            deadline_share: conditions.deadline_share,
        }
    }
}

/// Runs a task with its retries. As clients of this API do, it repeats only what may be repeated.
fn run_client(playback: &Playback, plan: &TaskPlan) {
    let offering = &playback.offerings[plan.offering];
    for number in 0..=plan.retries {
        let process = &playback.processes[(plan.dispatcher + number as usize) % playback.processes.len()];
        let tag = format!("{}.{number}", plan.task);
        let deadline = Duration::from_secs_f64(offering.hard_stop_ms as f64 * plan.deadline_share / 1e3);
        let user = format!("{} [[len:{}]] [[task:{tag}]]", plan.user_text, plan.answer_tokens);
        let mut request = Request::new(&offering.name, &user)
            .with("x-stainless-timeout", deadline.as_secs_f64())
            .with("x-stainless-retry-count", number);
        if offering.effect == settings::Effect::Referenced {
            request = request.with("idempotency-key", format!("mark-{}", plan.task));
        }
        if plan.unmarked {
            request.user = format!("{}{}", plan.shared_text, request.user);
        } else {
            request.system = plan.shared_text.clone();
        }
        request.stream = plan.stream;
        request.most_tokens = offering.most_tokens.min(1024);
        let at = playback.fleet.log.now();
        // Waits 100 ms longer than the deadline in the header, to allow for transit time.
        let options = ClientOptions {
            first_token_timeout: deadline + Duration::from_millis(100),
            leave_after: plan.leave_after,
            read_pause: None,
        };
        // Read before the call: inside its arguments the lock would be held until the call returns, across its yields.
        let listen = *lock(&process.listen);
        let response = client::send_request(listen, &request, options);
        let ended = playback.fleet.log.now();
        let attempt = ClientAttempt {
            task: plan.task,
            number,
            dispatcher: process.name.clone(),
            offering: plan.offering,
            at,
            deadline_us: deadline.as_micros() as u64,
            ended,
            begun: response.first_token.is_some(),
            first_token_us: response.first_token.map_or(0, |first| first.as_micros() as u64),
            prompt_tokens: response.usage[0] + response.usage[1],
            cached_tokens: response.usage[1],
            retry_advised: response.should_retry == Some(true),
            text_correct: is_correct(&request, &response, plan.answer_tokens),
            trailing_bytes: response.trailing_bytes,
            answer: response.answer.clone(),
        };
        let (answer, retry) = (attempt.answer.clone(), response.should_retry);
        lock(&playback.record).0.push(attempt);
        let may_retry = match answer {
            Answer::Bounced | Answer::Unreachable => true,
            Answer::BrokenOff => retry == Some(true),
            // Lost together with its dispatcher: only tasks that may run twice are repeated.
            Answer::Cut | Answer::Late => offering.effect == settings::Effect::Replayable,
            _ => false,
        };
        if !may_retry {
            return;
        }
        let pause = response.retry_after.unwrap_or(Duration::from_millis(100)).min(Duration::from_secs(1));
        tulipstall_net::sleep(pause);
    }
}

/// Whether the text is the right answer, or a prefix of it where the stream was aborted.
fn is_correct(request: &Request, response: &Response, tokens: u32) -> bool {
    let Ok(call) = tulipstall_messages::parse(request.body().as_bytes()) else { return false };
    // A writer that continues past the end sends the words that would come next.
    let max_tokens =
        if response.answer == Answer::Delivered { tokens.min(request.most_tokens) } else { 2048 };
    let expected = text::answer(&call.prompt, max_tokens);
    match response.answer {
        Answer::Delivered => {
            response.text == expected && response.usage[2] == u64::from(tokens.min(request.most_tokens))
        }
        Answer::Refused(_) | Answer::Bounced => true,
        _ => expected.starts_with(&response.text),
    }
}

/// Compares the counters of the dispatchers with what clients got. Killed dispatchers have lost their counts and are left
/// out.
fn compare_counts(playback: &Arc<Playback>, killed: &[bool]) -> (Checks, BTreeMap<String, u64>) {
    let (mut checks, mut writer_changes) = (Vec::new(), BTreeMap::new());
    let attempts = lock(&playback.record).0.clone();
    for (number, process) in playback.processes.iter().enumerate() {
        if killed[number] {
            continue;
        }
        let control = *lock(&process.control);
        let metrics = spawn(move || get(control, "/metrics"));
        let Ok(Some(text)) = metrics.join() else {
            checks.push((format!("{} tells its counts", process.name), Err("no answer".to_owned())));
            continue;
        };
        let text = String::from_utf8_lossy(&text);
        add_stream_counts(&text, &mut writer_changes);
        let counted = answer_counts(&text);
        let own = |answer: &Answer| {
            attempts
                .iter()
                .filter(|attempt| attempt.dispatcher == process.name && attempt.answer == *answer)
                .count() as u64
        };
        let of = |name: &str| counted.get(name).copied().unwrap_or(0);
        let (delivered, bounced) = (own(&Answer::Delivered), own(&Answer::Bounced));
        let (broken_off, left) = (own(&Answer::BrokenOff), own(&Answer::Left));
        let all: u64 = counted.values().sum();
        // A client may disconnect while its answer is on the way: it then counts as left, and the dispatcher counts it as
        // delivered, bounced or broken off. Or it disconnects before its request is complete: the dispatcher then does
        // not count it.
        let consistent = of("delivered") >= delivered
            && of("bounced") >= bounced
            && of("broken off") >= broken_off
            && all >= delivered + bounced + broken_off
            && all <= delivered + bounced + broken_off + left;
        let found = format!(
            "{} counted {counted:?}, clients {delivered} delivered {bounced} bounced {broken_off} broken off {left} left",
            process.name
        );
        checks.push((
            format!("{} and its clients count the same", process.name),
            if consistent { Ok(()) } else { Err(found) },
        ));
    }
    (checks, writer_changes)
}

/// Adds the streams that left their writer to a sum, by reason and result, from a dispatcher's Prometheus text.
fn add_stream_counts(text: &str, sum: &mut BTreeMap<String, u64>) {
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

/// The counts of final answers by kind, from Prometheus text.
pub fn answer_counts(text: &str) -> BTreeMap<String, u64> {
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

/// Writes the result of a run: a table, the rules, the checks, and a summary line.
pub fn report(day: &Day, outcome: &Outcome, out: &mut impl Write) -> io::Result<()> {
    let attempts = &outcome.record.attempts;
    writeln!(out, "{}", day.about)?;
    writeln!(
        out,
        "{:16}{:>7}{:>11}{:>9}{:>12}{:>7}{:>7}",
        "offering", "tries", "delivered", "bounced", "broken off", "left", "other"
    )?;
    let names: Vec<String> =
        (0..outcome.record.params.effects.len()).map(|i| format!("offering {i}")).collect();
    for (i, name) in names.iter().enumerate() {
        let of = |wanted: fn(&Answer) -> bool| {
            attempts.iter().filter(|t| t.offering == i && wanted(&t.answer)).count()
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
    let begun = attempts.iter().filter(|attempt| attempt.begun).count();
    let writer_changes: Vec<String> =
        outcome.writer_changes.iter().map(|(what, count)| format!("{what} {count}")).collect();
    writeln!(out, "{begun} answers begun; writers left: {}", writer_changes.join(", "))?;
    let kills = outcome.record.kills.len();
    writeln!(out, "{kills} dispatchers killed, {} lines seen by hosts", outcome.record.host_events.len())?;
    let (mut passed, mut failed) = (0, 0);
    for verdict in &outcome.verdicts {
        let rule_kept = verdict.violations.is_empty();
        (passed, failed) = if rule_kept { (passed + 1, failed) } else { (passed, failed + 1) };
        let word = if rule_kept { "kept" } else { "BROKEN" };
        writeln!(
            out,
            "rule {:28} {word:7} {:>6} looked at, nearest {:>3.0}% {}",
            verdict.rule,
            verdict.checked,
            verdict.peak_share * 100.0,
            verdict.peak_at
        )?;
        for why in verdict.violations.iter().take(10) {
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
