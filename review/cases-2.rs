//! The cases of the second review: `cases-2 NAME FOLDER TROUBLE`, started by each `run.sh`.

#[path = "harness-2.rs"]
mod harness;

use harness::*;
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// The number at the end of an id.
fn number_of(id: &str) -> u64 {
    u64::from_str_radix(&id[8..], 16).unwrap_or(0)
}

fn id_of(number: u64) -> String {
    format!("9b1f03aa{number:08x}")
}

/// Clients that ask at a steady rate, each over a connection of its own, spread over the dispatchers by their
/// numbers.
struct Load {
    record: Arc<Record>,
    addresses: Vec<SocketAddr>,
    clients: Vec<JoinHandle<Option<(u64, Seen)>>>,
    started: Instant,
}

const PROMPT_TOKENS: usize = 1000;

impl Load {
    fn new(record: &Arc<Record>, dispatchers: &Dispatchers) -> Load {
        let (record, addresses) = (record.clone(), dispatchers.addresses.clone());
        Load { record, addresses, clients: Vec::new(), started: Instant::now() }
    }

    /// Waits until the next request is due at so many a second, and sends it.
    fn next(&mut self, per_second: u64, remaining_ms: u64, patience: Duration) {
        let number = self.clients.len() as u64;
        let due = self.started + Duration::from_micros(1_000_000 * number / per_second);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let address = self.addresses[number as usize % self.addresses.len()];
        let record = self.record.clone();
        self.clients.push(thread::spawn(move || {
            let id = id_of(number);
            let mut wire = Wire::connect(address).ok()?;
            record.add(format!("client: sends {id}"));
            let text = request_text(&id, &format!("e{id}"), remaining_ms, PROMPT_TOKENS);
            wire.stream.write_all(text.as_bytes()).ok()?;
            let seen = read_answer(&mut wire, patience);
            record.add(format!("client: {id} ends {:?} after {} events", seen.end, seen.events.len()));
            Some((number, seen))
        }));
    }

    /// What the clients saw, by their numbers, once all have ended.
    fn end(self) -> Vec<(u64, Seen)> {
        self.clients.into_iter().filter_map(|client| client.join().ok().flatten()).collect()
    }
}

/// A crash of a dispatcher breaks any rule.
fn crashes(dispatchers: &mut Dispatchers) -> Vec<String> {
    if dispatchers.all_run() { Vec::new() } else { vec!["a dispatcher has ended".to_owned()] }
}

const SETUP: Setup = Setup {
    dispatchers: 2,
    effect: "pure",
    deadline_ms: 6000,
    registry: "pushed",
    drain_ms: 250,
    release_ms: 1000,
    memory_mb: 128,
    sockets: 1024,
};

/// Healthy hosts; of every tenth stream one event never ends.
struct EndlessEvents {
    trouble: bool,
}

impl Plays for EndlessEvents {
    fn read_time(&self, _host: &str, id: &str) -> Duration {
        ms(60 + number_of(id) % 30)
    }

    fn answer(&self, _host: &str, id: &str) -> Answer {
        let number = number_of(id);
        let endless = self.trouble && number % 10 == 3;
        Answer {
            hint_ahead: false,
            wait: Duration::ZERO,
            first: ms(40 + number % 20),
            events: 25 + (number % 12) as u32,
            gap: ms(240),
            // The next tokens come at the pace of the stream, but their event has no end.
            endless: endless.then_some((5, 16, ms(240))),
        }
    }
}

/// After a host's last event a client is not left waiting for 5 s; each time limit grows by 50 ms.
fn endless_events(call: &Call, record: &Arc<Record>) -> Result<Vec<String>, Unfit> {
    let plays = Arc::new(EndlessEvents { trouble: call.trouble });
    let platform = Platform::start(record, SETUP.dispatchers, (5, 4, 0), plays);
    let mut dispatchers = Dispatchers::start(&platform, &SETUP)?;
    let mut load = Load::new(record, &dispatchers);
    for _ in 0..400 {
        load.next(10, 6000, ms(25_000));
    }
    let mut breaks = Vec::new();
    for (number, seen) in load.end() {
        let Some((last, _)) = seen.events.last() else { continue };
        let waited = seen.at - *last;
        if waited > ms(5050) {
            let id = id_of(number);
            breaks.push(format!(
                "the client of {id} was left waiting for {} ms, then {:?}",
                waited.as_millis(),
                seen.end
            ));
        }
    }
    breaks.extend(crashes(&mut dispatchers));
    Ok(breaks)
}

/// Healthy hosts, and when each request came to each of them.
#[derive(Default)]
struct Arrivals {
    all: Mutex<Vec<(Instant, String, u64)>>,
    /// Least milliseconds of a read.
    reads: u64,
}

impl Plays for Arrivals {
    fn read_time(&self, _host: &str, id: &str) -> Duration {
        ms(self.reads + number_of(id) % 30)
    }

    fn answer(&self, _host: &str, id: &str) -> Answer {
        let (wait, first) = (Duration::ZERO, ms(40 + number_of(id) % 20));
        Answer { hint_ahead: false, wait, first, events: 12, gap: ms(240), endless: None }
    }

    fn arrived(&self, host: &str, id: &str, first_byte: Instant) {
        self.all.lock().unwrap().push((first_byte, host.to_owned(), number_of(id)));
    }
}

/// Healthy hosts, at which requests wait for a slot for half a second; every third writer's answer has a 1xx ahead.
struct HintsAhead {
    trouble: bool,
}

impl Plays for HintsAhead {
    fn read_time(&self, _host: &str, id: &str) -> Duration {
        ms(60 + number_of(id) % 30)
    }

    fn answer(&self, _host: &str, id: &str) -> Answer {
        let number = number_of(id);
        let (hint_ahead, wait) = (self.trouble && number % 3 == 0, ms(450 + number % 150));
        Answer { hint_ahead, wait, first: ms(40), events: 12, gap: ms(240), endless: None }
    }
}

/// While no attempt of a request is out, its state is not held for longer than the settings say and 300 ms.
fn hints_ahead(call: &Call, record: &Arc<Record>) -> Result<Vec<String>, Unfit> {
    // The request may not be repeated.
    let setup = Setup { effect: "side_effect", ..SETUP };
    let limit = ms(setup.release_ms + 300 + 50);
    let platform =
        Platform::start(record, setup.dispatchers, (5, 4, 0), Arc::new(HintsAhead { trouble: call.trouble }));
    let mut dispatchers = Dispatchers::start(&platform, &setup)?;
    let mut load = Load::new(record, &dispatchers);
    let mut overdue = Vec::new();
    for _ in 0..400 {
        load.next(10, 6000, ms(8000));
        overdue.extend(platform.overdue_states(limit));
    }
    let answers = load.end();
    overdue.extend(platform.overdue_states(limit));
    // Long after the last request has ended.
    thread::sleep(ms(5000));
    let mut breaks = Vec::new();
    for (id, host) in overdue {
        let seen = answers.iter().find(|(number, _)| id_of(*number) == id).map(|(_, seen)| seen.end);
        let still = if platform.holds(&id) { "to the end of the run" } else { "too long" };
        breaks.push(format!("{host} held the state of {id} {still}; its client's answer: {seen:?}"));
    }
    breaks.extend(crashes(&mut dispatchers));
    Ok(breaks)
}

/// Two hosts that drain, what is known of it, and their end: a host ends its process once it has finished what it had
/// when the last dispatcher's grace was over.
struct Drain {
    hosts: [String; 2],
    seq: u64,
    had: Instant,
    /// From when on each dispatcher may send them nothing.
    from: Vec<Option<Instant>>,
    is_over: bool,
}

/// The longest stream of `Arrivals`, with the fetch of its state and some time to spare.
const STREAM: Duration = Duration::from_millis(12 * 240 + 320);

impl Drain {
    fn begin(platform: &Platform, episode: usize, dispatchers: usize) -> Drain {
        let hosts = [format!("s-r{episode}"), format!("s-w{episode}")];
        platform.set_health(&hosts[0], "leaving");
        let seq = platform.set_health(&hosts[1], "leaving");
        Drain { hosts, seq, had: Instant::now(), from: vec![None; dispatchers], is_over: false }
    }

    /// Ends the hosts when it is time to, and lists others in their place.
    fn end_when_due(&mut self, platform: &Platform) {
        let due = self
            .from
            .iter()
            .copied()
            .collect::<Option<Vec<Instant>>>()
            .and_then(|from| from.into_iter().max());
        if !self.is_over && due.is_some_and(|from| Instant::now() > from + STREAM) {
            self.is_over = true;
            for host in &self.hosts {
                platform.end_host(host);
                platform.set_health(host, "left");
                // The fifth reader and the fourth writer are the first spare ones.
                let (kind, number) = (&host[..3], host[3..].parse::<usize>().unwrap_or(0));
                platform
                    .set_health(&format!("{kind}{}", number + if kind == "s-r" { 5 } else { 4 }), "active");
            }
        }
    }
}

/// The requests that came to draining hosts after each dispatcher's grace, and what became of them.
fn late_sends(plays: &Arrivals, drains: &[Drain], answers: &[(u64, Seen)]) -> Vec<String> {
    let mut breaks = Vec::new();
    for (at, host, number) in plays.all.lock().unwrap().iter() {
        let Some(drain) = drains.iter().find(|drain| drain.hosts.contains(host)) else { continue };
        let dispatcher = *number as usize % drain.from.len();
        let Some(from) = drain.from[dispatcher].filter(|from| at > from) else { continue };
        let late = (*at - from).as_millis();
        let end =
            answers.iter().find(|(other, _)| other == number).map(|(_, seen)| (seen.end, seen.events.len()));
        let what = match end {
            Some((End::Cut, events)) => {
                format!("LOST: its stream broke with the host's process after {events} events")
            }
            other => format!("its client's answer: {other:?}"),
        };
        breaks.push(format!(
            "n{dispatcher} sent {} to {host} {late} ms after its grace was over; {what}",
            id_of(*number)
        ));
    }
    // Those that were lost by it come first.
    breaks.sort_by_key(|text| !text.contains("LOST"));
    breaks
}

/// A deployment whose lists are asked for, with the figures of its site.
const ASKED: Setup = Setup {
    dispatchers: 3,
    effect: "side_effect",
    deadline_ms: 7000,
    registry: "on_request",
    drain_ms: 600,
    ..SETUP
};
const GRACE: Duration = Duration::from_millis(ASKED.drain_ms + 50);

/// Nothing goes to a draining host later than the grace after the dispatcher counts as told of it: 6 s after
/// discovery had the change and could be reached, or earlier if it was told earlier.
fn crowded_discovery(call: &Call, record: &Arc<Record>) -> Result<Vec<String>, Unfit> {
    let plays = Arc::new(Arrivals { reads: 40, ..Arrivals::default() });
    let platform = Platform::start(record, ASKED.dispatchers, (5, 4, 4), plays.clone());
    let mut dispatchers = Dispatchers::start(&platform, &ASKED)?;
    let mut load = Load::new(record, &dispatchers);
    let mut drains: Vec<Drain> = Vec::new();
    for episode in 0..4 {
        let begun = Instant::now();
        if call.trouble {
            platform.agents.iter().for_each(|agent| agent.refuse(5));
        }
        // Some 6 s of refusals, then the longest pause, and some rest.
        while begun.elapsed() < ms(25_000) {
            load.next(30, 7000, ms(8000));
            // No call is open any more, as each dispatcher was refused one at least.
            let all_refused = platform.agents.iter().all(|agent| agent.refusals().0 < 5);
            if drains.len() == episode && begun.elapsed() > ms(3000) && all_refused {
                drains.push(Drain::begin(&platform, episode, ASKED.dispatchers));
            }
            let Some(drain) = drains.get_mut(episode) else { continue };
            for (me, agent) in platform.agents.iter().enumerate() {
                // Out of reach until its last refusal.
                if let (0, last) = agent.refusals() {
                    let counts = last.filter(|_| call.trouble).map_or(drain.had, |last| last.max(drain.had))
                        + ms(6000);
                    let told = agent.told_at(drain.seq).map_or(counts, |told| told.min(counts));
                    drain.from[me] = Some(told + GRACE);
                }
            }
            drain.end_when_due(&platform);
        }
        if !drains.get(episode).is_some_and(|drain| drain.is_over) {
            return Err("discovery was not asked as often as expected".into());
        }
    }
    let mut breaks = late_sends(&plays, &drains, &load.end());
    breaks.extend(crashes(&mut dispatchers));
    Ok(breaks)
}

/// As above, where discovery moves while it refuses calls: 4 s after SIGHUP a dispatcher counts as told of what the new
/// one has.
fn moved_discovery(call: &Call, record: &Arc<Record>) -> Result<Vec<String>, Unfit> {
    const DISPATCHERS: usize = ASKED.dispatchers;
    const EPISODES: usize = 3;
    let plays = Arc::new(Arrivals { reads: 40, ..Arrivals::default() });
    let platform = Platform::start(record, (EPISODES + 1) * DISPATCHERS, (5, 4, 4), plays.clone());
    let mut dispatchers = Dispatchers::start(&platform, &ASKED)?;
    let mut load = Load::new(record, &dispatchers);
    let mut drains: Vec<Drain> = Vec::new();
    for episode in 0..EPISODES {
        let begun = Instant::now();
        let (old, new) = (episode * DISPATCHERS, (episode + 1) * DISPATCHERS);
        if call.trouble {
            platform.agents[old..new].iter().for_each(|agent| agent.refuse(u32::MAX));
        }
        let refused = |agent: usize| u32::MAX - platform.agents[agent].refusals().0;
        let mut moved: Vec<Option<Instant>> = vec![None; DISPATCHERS];
        while begun.elapsed() < ms(30_000) {
            load.next(30, 7000, ms(8000));
            // Two hosts begin to drain once no call is open any more.
            let all_refused = !call.trouble || (old..new).all(|agent| refused(agent) > 0);
            if drains.len() == episode && begun.elapsed() > ms(3000) && all_refused {
                drains.push(Drain::begin(&platform, episode, DISPATCHERS));
            }
            let Some(drain) = drains.get_mut(episode) else { continue };
            for me in 0..DISPATCHERS {
                if moved[me].is_none() && (!call.trouble || refused(old + me) >= 5) {
                    platform.agents[old + me].retire();
                    moved[me] = Some(dispatchers.move_discovery(&platform, &ASKED, me, new + me)?);
                    record.add(format!("platform: SIGHUP to n{me}, its discovery is now {}", new + me));
                }
                if let Some(moved) = moved[me] {
                    let told = [old + me, new + me]
                        .into_iter()
                        .filter_map(|agent| platform.agents[agent].told_at(drain.seq));
                    drain.from[me] = Some(told.fold(drain.had.max(moved) + ms(4000), Instant::min) + GRACE);
                }
            }
            drain.end_when_due(&platform);
        }
        if !drains.get(episode).is_some_and(|drain| drain.is_over) {
            return Err("discovery was not asked as often as expected".into());
        }
    }
    let mut breaks = late_sends(&plays, &drains, &load.end());
    breaks.extend(crashes(&mut dispatchers));
    Ok(breaks)
}

/// Over its limit of memory a dispatcher is killed, as the platform does it here: then it has crashed. Hundreds of
/// clients send the same again as soon as it is turned away; beside them usual clients ask.
fn impatient_clients(call: &Call, record: &Arc<Record>) -> Result<Vec<String>, Unfit> {
    const IMPATIENT: u64 = 300;
    let plays = Arc::new(Arrivals { reads: 300, ..Arrivals::default() });
    let setup = Setup { memory_mb: 32, ..SETUP };
    let platform = Platform::start(record, setup.dispatchers, (5, 4, 0), plays);
    let mut dispatchers = Dispatchers::start(&platform, &setup)?;
    let mut load = Load::new(record, &dispatchers);
    let ends = Arc::new(AtomicBool::new(false));
    let turned_away = Arc::new(AtomicU64::new(0));
    if call.trouble {
        for client in 0..IMPATIENT {
            let (address, ends, turned_away) = (dispatchers.addresses[0], ends.clone(), turned_away.clone());
            thread::spawn(move || {
                let mut number = (client + 1) << 20;
                while !ends.load(Ordering::Relaxed) {
                    let Ok(mut wire) = Wire::connect(address) else { continue };
                    let mut whole = true;
                    while whole && !ends.load(Ordering::Relaxed) {
                        number += 1;
                        let text = request_text(&id_of(number), &format!("b{client}"), 6000, PROMPT_TOKENS);
                        whole = wire.stream.write_all(text.as_bytes()).is_ok()
                            && matches!(read_answer(&mut wire, ms(9000)).end, End::Whole | End::Status(503));
                        turned_away.fetch_add(1, Ordering::Relaxed);
                    }
                }
            });
        }
    }
    let (mut breaks, mut highest) = (Vec::new(), [0; 2]);
    let mut noted = Instant::now();
    for _ in 0..400 {
        load.next(10, 6000, ms(7000));
        for me in 0..setup.dispatchers {
            let taken = dispatchers.memory_kib(me);
            highest[me] = taken.max(highest[me]);
            if taken > u64::from(setup.memory_mb) * 1024 {
                dispatchers.signal(me, "-KILL")?;
                let text =
                    format!("n{me} has taken {taken} KiB of its {} MiB and is killed", setup.memory_mb);
                record.add(format!("platform: {text}"));
                breaks.push(text);
            }
        }
        if noted.elapsed() > ms(1000) || !breaks.is_empty() {
            noted = Instant::now();
            let requests = turned_away.load(Ordering::Relaxed);
            record.add(format!(
                "platform: most memory taken {highest:?} KiB, impatient requests so far {requests}"
            ));
        }
        if !breaks.is_empty() {
            break;
        }
    }
    ends.store(true, Ordering::Relaxed);
    let cut = load.end().into_iter().filter(|(_, seen)| seen.end == End::Cut).count();
    record.add(format!("usual clients whose answer was cut off: {cut}"));
    if breaks.is_empty() {
        breaks.extend(crashes(&mut dispatchers));
    }
    Ok(breaks)
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder, trouble] = &arguments[..] else {
        eprintln!("usage: cases-2 NAME FOLDER 0|1");
        std::process::exit(2);
    };
    let call = Call { folder: PathBuf::from(folder), trouble: trouble != "0" };
    let case = match name.as_str() {
        "impatient-clients" => impatient_clients,
        "endless-events" => endless_events,
        "crowded-discovery" => crowded_discovery,
        "moved-discovery" => moved_discovery,
        "hints-ahead" => hints_ahead,
        _ => {
            eprintln!("no such case: {name}");
            std::process::exit(2);
        }
    };
    play(call, case)
}
