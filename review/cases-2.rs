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

/// Healthy hosts; of every third stream a second answer comes some milliseconds behind the first.
struct SecondAnswers {
    trouble: bool,
}

impl Plays for SecondAnswers {
    fn read_time(&self, _host: &str, id: &str) -> Duration {
        ms(40 + number_of(id) % 30)
    }

    fn answer(&self, _host: &str, id: &str) -> Answer {
        let number = number_of(id);
        let second = self.trouble && number % 3 == 0;
        Answer {
            first: ms(40 + number % 20),
            events: 25 + (number % 12) as u32,
            gap: ms(240),
            second_after: second.then(|| ms(2 + number / 3 % 9)),
            endless: None,
        }
    }
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
    memory_mb: 128,
    sockets: 1024,
};

/// A client gets nothing but what was made for its request.
fn second_answers(call: &Call, record: &Arc<Record>) -> Result<Vec<String>, Unfit> {
    let plays = Arc::new(SecondAnswers { trouble: call.trouble });
    let platform = Platform::start(record, SETUP.dispatchers, (5, 4, 0), plays);
    let mut dispatchers = Dispatchers::start(&platform, &SETUP)?;
    let mut load = Load::new(record, &dispatchers);
    for _ in 0..1400 {
        load.next(20, 6000, ms(7000));
    }
    let mut breaks = Vec::new();
    for (number, seen) in load.end() {
        let id = id_of(number);
        if let Some((_, text)) =
            seen.events.iter().find(|(_, text)| text.contains("\"content\"") && !text.contains(&id))
        {
            let text = text.lines().next().unwrap_or_default();
            breaks.push(format!("the client of {id} was given {text}; its answer ended {:?}", seen.end));
        }
    }
    breaks.extend(crashes(&mut dispatchers));
    Ok(breaks)
}

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
            first: ms(40 + number % 20),
            events: 25 + (number % 12) as u32,
            gap: ms(240),
            second_after: None,
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
    answer_events: u32,
    reads: u64,
}

impl Plays for Arrivals {
    fn read_time(&self, _host: &str, id: &str) -> Duration {
        ms(self.reads + number_of(id) % 30)
    }

    fn answer(&self, _host: &str, id: &str) -> Answer {
        let (first, events) = (ms(40 + number_of(id) % 20), self.answer_events);
        Answer { first, events, gap: ms(240), second_after: None, endless: None }
    }

    fn arrived(&self, host: &str, id: &str, first_byte: Instant) {
        self.all.lock().unwrap().push((first_byte, host.to_owned(), number_of(id)));
    }
}

/// Nothing goes to a draining host later than the grace after the dispatcher counts as told of it: 6 s after
/// discovery had the change and could be reached, or earlier if it was told earlier.
fn crowded_discovery(call: &Call, record: &Arc<Record>) -> Result<Vec<String>, Unfit> {
    const GRACE: Duration = Duration::from_millis(250 + 50);
    let plays = Arc::new(Arrivals { answer_events: 12, reads: 40, ..Arrivals::default() });
    let setup = Setup { dispatchers: 3, registry: "on_request", ..SETUP };
    let platform = Platform::start(record, setup.dispatchers, (5, 4, 4), plays.clone());
    let mut dispatchers = Dispatchers::start(&platform, &setup)?;
    let mut load = Load::new(record, &dispatchers);
    // Host, and from when on each dispatcher may send it nothing.
    let mut closed: Vec<(String, Vec<Instant>)> = Vec::new();
    for episode in 0..4 {
        let begun = Instant::now();
        let mut drained: Option<(u64, Instant)> = None;
        if call.trouble {
            platform.agents.iter().for_each(|agent| agent.refuse(5));
        }
        // Each episode takes 24 s: some 6 s of refusals, then the longest pause, and some rest.
        let (reader, writer) = (format!("s-r{episode}"), format!("s-w{episode}"));
        let mut reachable: Vec<Option<Instant>> = vec![None; setup.dispatchers];
        while begun.elapsed() < ms(24_000) {
            load.next(30, 6000, ms(7000));
            for (agent, reachable) in platform.agents.iter().zip(&mut reachable) {
                let (left, last) = agent.refusals();
                if reachable.is_none() && (left == 0 || !call.trouble) {
                    *reachable = last.or(Some(begun));
                }
            }
            // No call is open any more, as each was refused one at least.
            let all_refused = platform.agents.iter().all(|agent| agent.refusals().0 < 5);
            if drained.is_none() && begun.elapsed() > ms(3000) && all_refused {
                platform.set_health(&reader, "leaving");
                drained = Some((platform.set_health(&writer, "leaving"), Instant::now()));
            }
        }
        let (Some((seq, had)), true) = (drained, reachable.iter().all(Option::is_some)) else {
            return Err("discovery was not asked as often as expected".into());
        };
        let mut from = Vec::new();
        for (agent, reachable) in platform.agents.iter().zip(reachable) {
            let counts = had.max(reachable.unwrap_or(had)) + ms(6000);
            from.push(agent.told_at(seq).map_or(counts, |told| told.min(counts)) + GRACE);
        }
        closed.push((reader.clone(), from.clone()));
        closed.push((writer.clone(), from));
        // What drained is gone, and others have come in its place.
        platform.set_health(&reader, "left");
        platform.set_health(&writer, "left");
        platform.set_health(&format!("s-r{}", 5 + episode), "active");
        platform.set_health(&format!("s-w{}", 4 + episode), "active");
    }
    load.end();
    let mut breaks = late_sends(&plays, &closed, setup.dispatchers);
    breaks.extend(crashes(&mut dispatchers));
    Ok(breaks)
}

/// The requests that came to hosts after each dispatcher's grace: the hosts with the ends of the graces.
fn late_sends(plays: &Arrivals, closed: &[(String, Vec<Instant>)], dispatchers: usize) -> Vec<String> {
    let mut breaks = Vec::new();
    for (at, host, number) in plays.all.lock().unwrap().iter() {
        let dispatcher = *number as usize % dispatchers;
        for (_, from) in closed.iter().filter(|(name, from)| name == host && *at > from[dispatcher]) {
            let late = (*at - from[dispatcher]).as_millis();
            breaks.push(format!(
                "n{dispatcher} sent {} to {host} {late} ms after its grace was over",
                id_of(*number)
            ));
        }
    }
    breaks
}

/// As above, where discovery moves while it refuses calls: 4 s after SIGHUP a dispatcher counts as told of what the new
/// one has.
fn moved_discovery(call: &Call, record: &Arc<Record>) -> Result<Vec<String>, Unfit> {
    const GRACE: Duration = Duration::from_millis(250 + 50);
    const DISPATCHERS: usize = 3;
    let plays = Arc::new(Arrivals { answer_events: 12, reads: 40, ..Arrivals::default() });
    let setup = Setup { dispatchers: DISPATCHERS, registry: "on_request", ..SETUP };
    let platform = Platform::start(record, 3 * DISPATCHERS, (5, 4, 2), plays.clone());
    let mut dispatchers = Dispatchers::start(&platform, &setup)?;
    let mut load = Load::new(record, &dispatchers);
    let mut closed: Vec<(String, Vec<Instant>)> = Vec::new();
    for episode in 0..2 {
        let begun = Instant::now();
        let (old, new) = (episode * DISPATCHERS, (episode + 1) * DISPATCHERS);
        if call.trouble {
            platform.agents[old..new].iter().for_each(|agent| agent.refuse(u32::MAX));
        }
        let refused = |agent: usize| u32::MAX - platform.agents[agent].refusals().0;
        let (reader, writer) = (format!("s-r{episode}"), format!("s-w{episode}"));
        let mut moved: Vec<Option<Instant>> = vec![None; DISPATCHERS];
        let mut drained: Option<(u64, Instant)> = None;
        while begun.elapsed() < ms(32_000) {
            load.next(30, 6000, ms(7000));
            // Two hosts begin to drain once no call is open any more.
            let all_refused = !call.trouble || (old..new).all(|agent| refused(agent) > 0);
            if drained.is_none() && begun.elapsed() > ms(3000) && all_refused {
                platform.set_health(&reader, "leaving");
                drained = Some((platform.set_health(&writer, "leaving"), Instant::now()));
            }
            for me in 0..DISPATCHERS {
                let due = drained.is_some() && (!call.trouble || refused(old + me) >= 5);
                if due && moved[me].is_none() {
                    platform.agents[old + me].retire();
                    moved[me] = Some(dispatchers.move_discovery(&platform, &setup, me, new + me)?);
                    record.add(format!("platform: SIGHUP to n{me}, discovery moves to address {}", new + me));
                }
            }
        }
        let Some((seq, had)) = drained else {
            return Err("discovery was not asked as often as expected".into());
        };
        let mut from = Vec::new();
        for (me, moved) in moved.into_iter().enumerate() {
            let Some(moved) = moved else {
                return Err("discovery was not asked as often as expected".into());
            };
            let told =
                [old + me, new + me].into_iter().filter_map(|agent| platform.agents[agent].told_at(seq));
            from.push(told.fold(had.max(moved) + ms(4000), Instant::min) + GRACE);
        }
        closed.push((reader.clone(), from.clone()));
        closed.push((writer.clone(), from));
        platform.set_health(&reader, "left");
        platform.set_health(&writer, "left");
        platform.set_health(&format!("s-r{}", 5 + episode), "active");
        platform.set_health(&format!("s-w{}", 4 + episode), "active");
    }
    load.end();
    let mut breaks = late_sends(&plays, &closed, DISPATCHERS);
    breaks.extend(crashes(&mut dispatchers));
    Ok(breaks)
}

/// Each client sends two requests at once over one connection. The answer to the first one ends while there is time
/// left for the second one, which has to get its final answer: at most half a second after its time.
fn pipelined(call: &Call, record: &Arc<Record>) -> Result<Vec<String>, Unfit> {
    const TIME: u64 = 3000;
    let plays = Arc::new(Pipelined::default());
    let platform = Platform::start(record, SETUP.dispatchers, (5, 4, 0), plays.clone());
    let mut dispatchers = Dispatchers::start(&platform, &SETUP)?;
    let mut clients = Vec::new();
    for number in 0..60 {
        let (address, record, trouble) = (dispatchers.addresses[number % 2], record.clone(), call.trouble);
        clients.push(thread::spawn(move || {
            let ids = [id_of(2 * number as u64), id_of(2 * number as u64 + 1)];
            let text = |i: usize| request_text(&ids[i], &format!("e{}", ids[i]), TIME, [1000, 12_000][i]);
            let mut wire = Wire::connect(address).ok()?;
            let mut sent = Instant::now();
            record.add(format!("client: sends {}", ids[0]));
            wire.stream.write_all(text(0).as_bytes()).ok()?;
            if trouble {
                record.add(format!("client: sends {}", ids[1]));
                wire.stream.write_all(text(1).as_bytes()).ok()?;
            }
            let first = read_answer(&mut wire, ms(9000));
            record.add(format!(
                "client: {} ends {:?} after {} events",
                ids[0],
                first.end,
                first.events.len()
            ));
            // Only where the first answer has left time for the second one.
            if first.end != End::Whole || (trouble && sent.elapsed() + ms(50) > ms(TIME)) {
                return None;
            }
            if !trouble {
                sent = Instant::now();
                record.add(format!("client: sends {}", ids[1]));
                wire.stream.write_all(text(1).as_bytes()).ok()?;
            }
            let second = read_answer(&mut wire, ms(9000));
            // The client owns an answer from its first event on.
            let answered = second.events.first().map_or(second.at, |(at, _)| *at);
            let after = (answered - sent).as_millis() as u64;
            record.add(format!("client: {} is answered after {after} ms and ends {:?}", ids[1], second.end));
            Some((ids[1].clone(), after, second.end))
        }));
        thread::sleep(ms(500));
    }
    let results: Vec<_> = clients.into_iter().filter_map(|client| client.join().ok().flatten()).collect();
    if results.len() < 30 {
        return Err("too few first answers ended in time".into());
    }
    let late = results.into_iter().filter(|(_, after, end)| *after > TIME + 500 || *end == End::Silent);
    let mut breaks: Vec<String> = late
        .map(|(id, after, end)| {
            format!("{id}, with {TIME} ms to wait, was answered after {after} ms: {end:?}")
        })
        .collect();
    breaks.extend(crashes(&mut dispatchers));
    Ok(breaks)
}

/// Healthy hosts: a read takes as long as its prompt at 13,000 tokens a second; streams are short.
#[derive(Default)]
struct Pipelined;

impl Plays for Pipelined {
    fn read_time(&self, _host: &str, id: &str) -> Duration {
        if number_of(id) % 2 == 0 { ms(80) } else { ms(920) }
    }

    fn answer(&self, _host: &str, _id: &str) -> Answer {
        Answer { first: ms(50), events: 11, gap: ms(240), second_after: None, endless: None }
    }
}

/// Over its limit of memory a dispatcher is killed, as the platform does it here: then it has crashed. Hundreds of
/// clients send the same again as soon as it is turned away; beside them usual clients ask.
fn impatient_clients(call: &Call, record: &Arc<Record>) -> Result<Vec<String>, Unfit> {
    const IMPATIENT: u64 = 300;
    let plays = Arc::new(Arrivals { answer_events: 12, reads: 300, ..Arrivals::default() });
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
        "second-answers" => second_answers,
        "endless-events" => endless_events,
        "crowded-discovery" => crowded_discovery,
        "moved-discovery" => moved_discovery,
        "pipelined" => pipelined,
        _ => {
            eprintln!("no such case: {name}");
            std::process::exit(2);
        }
    };
    play(call, case)
}
