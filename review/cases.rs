//! The cases.

use crate::*;

pub fn run(case: &str, root: &Path, scratch: &Path, trouble: bool, record: &Arc<Record>) -> i32 {
    match case {
        "late-second-answer" => late_second_answer(root, scratch, trouble, record),
        "unfinished-requests" => unfinished_requests(root, scratch, trouble, record),
        "replaced-fleet" => replaced_fleet(root, scratch, trouble, record),
        _ => 2,
    }
}

const USUAL_LIMITS: &str = "{\"cores\":1.0,\"memory_mb\":80,\"sockets\":1024}";

/// Events of a stream of the stand-in writers, and the pause between two of them.
const EVENTS: usize = 8;
const EVENT_PAUSE_MS: u64 = 40;
/// From a request's last byte to the first token.
const FIRST_TOKEN_MS: u64 = 60;
const READ_MS: u64 = 80;

fn usual_reader(record: Arc<Record>, name: String, states: Arc<States>) -> SocketAddr {
    listen("127.0.0.1", move |stream| {
        let mut reader = Reader::new(stream);
        while let Some((call, true)) = reader.message() {
            let id = txn(&call);
            let answer = if call.start.starts_with("DELETE") {
                let id = call.start.split(['/', ' ']).nth(4).unwrap_or_default().to_owned();
                states.take(&id);
                "HTTP/1.1 204 No Content\r\n\r\n".to_owned()
            } else {
                record.line(&format!("{name} reads {id}"));
                thread::sleep(ms(READ_MS));
                states.add(&id);
                "HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\n\r\n{\"cached_tokens\":0}".to_owned()
            };
            if reader.stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    })
}

/// Some good streams are followed, some milliseconds later, by a second answer: the same again. Everything else
/// is usual: nothing of the second answer comes later than the answer to the next request.
fn late_second_answer(root: &Path, scratch: &Path, trouble: bool, record: &Arc<Record>) -> i32 {
    const SECONDS: u64 = 60;
    const REQUESTS_PER_S: u64 = 40;
    /// One answer in this many has a second one behind it, this many milliseconds later.
    const ONE_IN: u64 = 10;
    const LATE_MS: (u64, u64) = (1, 9);
    let random = Arc::new(Random::new(std::process::id() as u64));
    let states = Arc::new(States::default());
    let second_answers = Arc::new(AtomicUsize::new(0));
    let mut hosts = Vec::new();
    for (i, name) in ["s-r1", "s-r2", "s-r3"].into_iter().enumerate() {
        let dial = usual_reader(record.clone(), name.into(), states.clone());
        let block = i as u32 % 2;
        hosts.push(Listed { host: name.into(), dial, site: "bangna", class: "prefill", block, health: "active" });
    }
    for (i, name) in ["s-w1", "s-w2", "s-w3"].into_iter().enumerate() {
        let (record, states, random, seconds) =
            (record.clone(), states.clone(), random.clone(), second_answers.clone());
        let dial = listen("127.0.0.1", move |stream| {
            let mut reader = Reader::new(stream);
            while let Some((call, true)) = reader.message() {
                if call.start.starts_with("DELETE") {
                    let id = call.start.split(['/', ' ']).nth(4).unwrap_or_default().to_owned();
                    states.take(&id);
                    if reader.stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").is_err() {
                        return;
                    }
                    continue;
                }
                let id = txn(&call);
                if !states.take(&id) {
                    record.line(&format!("{name} has no state for {id}"));
                    let gone = b"HTTP/1.1 410 Gone\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n";
                    if reader.stream.write_all(gone).is_err() {
                        return;
                    }
                    continue;
                }
                record.line(&format!("{name} runs {id}"));
                thread::sleep(ms(FIRST_TOKEN_MS));
                let mut written = reader.stream.write_all((STREAM_HEAD.to_owned() + &chunk(&event(&id, 0))).as_bytes());
                for number in 1..EVENTS {
                    thread::sleep(ms(EVENT_PAUSE_MS));
                    written = written.and_then(|()| reader.stream.write_all(chunk(&event(&id, number)).as_bytes()));
                }
                let end = chunk(&last_events()) + "0\r\n\r\n";
                written = written.and_then(|()| reader.stream.write_all(end.as_bytes()));
                if written.is_err() {
                    record.line(&format!("{name} can't write to the end for {id}"));
                    return;
                }
                if trouble && random.between(1, ONE_IN) == 1 {
                    let late = random.between(LATE_MS.0, LATE_MS.1);
                    let (mut stream, record, seconds) =
                        (reader.stream.try_clone().unwrap(), record.clone(), seconds.clone());
                    thread::spawn(move || {
                        thread::sleep(ms(late));
                        let events: String = (0..EVENTS).map(|number| chunk(&event(&id, number))).collect();
                        let again = STREAM_HEAD.to_owned() + &events + &chunk(&last_events()) + "0\r\n\r\n";
                        let written = stream.write_all(again.as_bytes()).is_ok();
                        seconds.fetch_add(1, Ordering::SeqCst);
                        record.line(&format!("{name} writes a second answer for {id}, {late} ms late: {written}"));
                    });
                }
            }
        });
        let block = i as u32 % 2;
        hosts.push(Listed { host: name.into(), dial, site: "bangna", class: "decode", block, health: "active" });
    }
    let discovery = start_discovery(hosts, Changes::default());
    let start = |i: usize| {
        let name = format!("n{}", i + 1);
        Node::start(root, scratch, &name, discovery, USUAL_LIMITS, &settings(2, i, "pure"))
    };
    let nodes: Vec<Node> = (0..2).map(start).collect();
    if !nodes.iter().all(Node::wait_ready) {
        return 2;
    }
    // Usual clients: one request at a time on a connection, which they keep.
    let idle: [Arc<Mutex<Vec<Reader>>>; 2] = Default::default();
    let tally: Arc<[AtomicUsize; 5]> = Arc::default();
    let [sent, whole, foreign, refused, other] = [0, 1, 2, 3, 4];
    let mut clients = Vec::new();
    let began = Instant::now();
    let mut due = Duration::ZERO;
    while due < ms(SECONDS * 1000) {
        due += Duration::from_micros(random.between(0, 2_000_000 / REQUESTS_PER_S));
        thread::sleep(due.saturating_sub(began.elapsed()));
        let at = random.between(0, 1) as usize;
        let (address, idle, tally, record) = (nodes[at].address, idle[at].clone(), tally.clone(), record.clone());
        let id = format!("{:016x}", random.next());
        let session = format!("{:016x}", random.next() % 400);
        clients.push(thread::spawn(move || {
            tally[sent].fetch_add(1, Ordering::SeqCst);
            let call = request(&id, &session, 5000, &usual_body());
            let kept = idle.lock().unwrap().pop();
            let reused = kept.is_some();
            let connect = || {
                let stream = TcpStream::connect(address).expect("a connection");
                let _ = stream.set_read_timeout(Some(ms(15_000)));
                Reader::new(stream)
            };
            let mut connection = kept.unwrap_or_else(connect);
            record.line(&format!("client sends {id} to n{}", at + 1));
            let mut answer = connection.stream.write_all(call.as_bytes()).ok().and_then(|()| connection.message());
            if answer.is_none() && reused {
                // The close of a resting connection crossed the request: once more on a new one.
                connection = connect();
                answer = connection.stream.write_all(call.as_bytes()).ok().and_then(|()| connection.message());
            }
            let Some((answer, is_whole)) = answer else {
                tally[other].fetch_add(1, Ordering::SeqCst);
                return record.line(&format!("client gets no answer for {id}"));
            };
            let body = String::from_utf8_lossy(&answer.body).into_owned();
            let strange = body.split("\n\n").find(|event| event.contains("content\":\"") && !event.contains(&id)
                && !event.contains("content\":\"\""));
            let kind = match (answer.start.contains(" 200 "), strange) {
                (true, Some(event)) => {
                    record.say(&format!("BROKEN: {id} is answered with 200 and events of another request: {event}"));
                    foreign
                }
                (true, None) if is_whole => whole,
                (false, _) if answer.start.contains(" 503 ") || answer.start.contains(" 429 ") => refused,
                _ => other,
            };
            tally[kind].fetch_add(1, Ordering::SeqCst);
            record.line(&format!("client gets {} for {id}, whole {is_whole}", answer.start));
            if is_whole && kind != other {
                idle.lock().unwrap().push(connection);
            }
        }));
    }
    clients.into_iter().for_each(|client| client.join().expect("no panic"));
    let figure = |kind: usize| count(&tally[kind]);
    record.say(&format!(
        "{} requests: {} whole, {} with events of another request, {} refused, {} else; {} second answers",
        figure(sent), figure(whole), figure(foreign), figure(refused), figure(other), count(&second_answers)
    ));
    if figure(foreign) > 0 {
        return 1;
    }
    // Not a sound run, if most requests are not served.
    if figure(whole) * 10 < figure(sent) * 8 { 2 } else { 0 }
}

/// A usual writer: it takes the state of the request and streams the answer.
fn usual_writer(record: Arc<Record>, name: String, states: Arc<States>) -> SocketAddr {
    listen("127.0.0.1", move |stream| {
        let mut reader = Reader::new(stream);
        while let Some((call, true)) = reader.message() {
            let id = txn(&call);
            if call.start.starts_with("DELETE") {
                let id = call.start.split(['/', ' ']).nth(4).unwrap_or_default().to_owned();
                states.take(&id);
                if reader.stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").is_err() {
                    return;
                }
                continue;
            }
            if !states.take(&id) {
                record.line(&format!("{name} has no state for {id}"));
                let gone = b"HTTP/1.1 410 Gone\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n";
                if reader.stream.write_all(gone).is_err() {
                    return;
                }
                continue;
            }
            record.line(&format!("{name} runs {id}"));
            thread::sleep(ms(FIRST_TOKEN_MS));
            let first = STREAM_HEAD.to_owned() + &chunk(&event(&id, 0));
            let mut written = reader.stream.write_all(first.as_bytes());
            for number in 1..EVENTS {
                thread::sleep(ms(EVENT_PAUSE_MS));
                written = written.and_then(|()| reader.stream.write_all(chunk(&event(&id, number)).as_bytes()));
            }
            let end = chunk(&last_events()) + "0\r\n\r\n";
            if written.and_then(|()| reader.stream.write_all(end.as_bytes())).is_err() {
                return record.line(&format!("{name} can't write to the end for {id}"));
            }
        }
    })
}

/// Hundreds of bad clients send most of a request and stay. The stand-in for the platform kills the dispatcher
/// once it is over `memory_mb`, as the platform does.
fn unfinished_requests(root: &Path, scratch: &Path, trouble: bool, record: &Arc<Record>) -> i32 {
    const MEMORY_MB: u64 = 80;
    const SOCKETS: usize = 1024;
    const BAD_CLIENTS: usize = 300;
    const BODY_BYTES: usize = 256 << 10;
    const SECONDS: u64 = 20;
    const REQUESTS_PER_S: u64 = 10;
    const TROUBLE_AT_S: u64 = 6;
    let random = Arc::new(Random::new(std::process::id() as u64));
    let states = Arc::new(States::default());
    let mut hosts = Vec::new();
    for (name, class, block) in [("s-r1", "prefill", 0), ("s-r2", "prefill", 1), ("s-w1", "decode", 0), ("s-w2", "decode", 1)] {
        let dial = match class {
            "prefill" => usual_reader(record.clone(), name.into(), states.clone()),
            _ => usual_writer(record.clone(), name.into(), states.clone()),
        };
        hosts.push(Listed { host: name.into(), dial, site: "bangna", class, block, health: "active" });
    }
    let discovery = start_discovery(hosts, Changes::default());
    let limits = format!("{{\"cores\":1.0,\"memory_mb\":{MEMORY_MB},\"sockets\":{SOCKETS}}}");
    let mut node = Node::start(root, scratch, "n1", discovery, &limits, &settings(1, 0, "pure"));
    if !node.wait_ready() {
        return 2;
    }
    record.say(&format!("ready, {} kB of its own (RssAnon)", node.memory_kb("RssAnon:").unwrap_or(0)));
    let address = node.address;
    let tally: Arc<[AtomicUsize; 4]> = Arc::default();
    let [sent, whole, refused, lost] = [0, 1, 2, 3];
    let ended = flag(false);
    let usual = {
        let (tally, record, ended) = (tally.clone(), record.clone(), ended.clone());
        thread::spawn(move || {
            let mut clients = Vec::new();
            while !ended.load(Ordering::SeqCst) {
                thread::sleep(ms(1000 / REQUESTS_PER_S));
                let (tally, record, id) = (tally.clone(), record.clone(), format!("{:016x}", random.next()));
                clients.push(thread::spawn(move || {
                    tally[sent].fetch_add(1, Ordering::SeqCst);
                    let call = request(&id, &id, 5000, &usual_body());
                    let answer = TcpStream::connect(address).ok().and_then(|mut stream| {
                        let _ = stream.set_read_timeout(Some(ms(10_000)));
                        stream.write_all(call.as_bytes()).ok()?;
                        Reader::new(stream).message()
                    });
                    let (kind, text) = match &answer {
                        Some((answer, true)) if answer.start.contains(" 200 ") => (whole, "a whole answer"),
                        Some((answer, true)) if answer.start.contains(" 503 ") => (refused, "a refusal"),
                        _ => (lost, "no whole answer"),
                    };
                    tally[kind].fetch_add(1, Ordering::SeqCst);
                    record.line(&format!("usual client {id}: {text}"));
                }));
            }
            clients.into_iter().for_each(|client| client.join().expect("no panic"));
        })
    };
    let answered = Arc::new(AtomicUsize::new(0));
    let from = Instant::now();
    let (mut bad, mut highest, mut code, mut noted) = (Vec::new(), 0, 0, 0);
    while from.elapsed() < ms(SECONDS * 1000) && code == 0 {
        if trouble && bad.is_empty() && from.elapsed() >= ms(TROUBLE_AT_S * 1000) {
            record.say(&format!("{BAD_CLIENTS} clients send all but 4 bytes of a request of {BODY_BYTES} bytes, and stay"));
            for i in 0..BAD_CLIENTS {
                let answered = answered.clone();
                let client = move || {
                    let Ok(mut stream) = TcpStream::connect(address) else { return };
                    let call = request(&format!("{i:016x}"), "5", 5000, &"x".repeat(BODY_BYTES));
                    let _ = stream.set_read_timeout(Some(ms(6000)));
                    let _ = stream.write_all(&call.as_bytes()[..call.len() - 4]);
                    // An error or a close within 3 s is what such a client is owed.
                    let since = Instant::now();
                    let _ = stream.read(&mut [0; 512]);
                    answered.fetch_add(usize::from(since.elapsed() < ms(3000)), Ordering::SeqCst);
                };
                bad.push(thread::Builder::new().stack_size(128 << 10).spawn(client).expect("a thread"));
            }
        }
        let kb = node.memory_kb("RssAnon:").unwrap_or(0);
        if kb >= highest + 4096 || from.elapsed().as_secs() > noted {
            noted = from.elapsed().as_secs();
            record.line(&format!("the dispatcher has {kb} kB of its own (RssAnon)"));
        }
        highest = highest.max(kb);
        if kb > MEMORY_MB * 1024 {
            let _ = node.child.kill();
            record.say(&format!("BROKEN: {kb} kB of memory of its own (RssAnon), over memory_mb {MEMORY_MB}: the dispatcher is killed"));
            code = 1;
        } else if node.has_ended() {
            record.say("BROKEN: the dispatcher has ended by itself");
            code = 1;
        }
        thread::sleep(ms(5));
    }
    ended.store(true, Ordering::SeqCst);
    usual.join().expect("no panic");
    bad.into_iter().for_each(|client| client.join().expect("no panic"));
    let figure = |kind: usize| count(&tally[kind]);
    record.say(&format!(
        "highest {highest} kB; usual clients: {} sent, {} whole, {} refused, {} with no whole answer; bad clients \
         with an error or a close within 3 s: {} of {}",
        figure(sent), figure(whole), figure(refused), figure(lost), count(&answered), if trouble { BAD_CLIENTS } else { 0 }
    ));
    if code == 0 && figure(whole) * 10 < figure(sent) * 8 { 2 } else { code }
}

/// Six in ten hosts of a large fleet are replaced within 7 s. Discovery tells each change as it comes.
fn replaced_fleet(root: &Path, scratch: &Path, trouble: bool, record: &Arc<Record>) -> i32 {
    const HOSTS: usize = 2000;
    const DISPATCHERS: usize = 600;
    const REPLACED: usize = HOSTS * 6 / 10;
    const WITHIN_MS: u64 = 7000;
    /// From the first word of a host's drain to its successor's start, and to its own end.
    const SUCCESSOR_MS: u64 = 500;
    const DRAIN_MS: u64 = 3000;
    const TROUBLE_AT_MS: u64 = 5000;
    const SECONDS: u64 = 30;
    const REMAINING_MS: u64 = 3000;
    /// Half a second after its time an answer only earns nothing; 50 ms more for each limit on sockets.
    const SLACK_MS: u64 = 550;
    let random = Random::new(std::process::id() as u64);
    let states = Arc::new(States::default());
    let start = |name: String, i: usize| {
        let (dial, class) = if i % 2 == 0 {
            (usual_reader(record.clone(), name.clone(), states.clone()), "prefill")
        } else {
            (usual_writer(record.clone(), name.clone(), states.clone()), "decode")
        };
        let (site, block) = ("bangna", i as u32 / 10);
        Listed { host: name, dial, site, class, block, health: "active" }
    };
    let hosts: Vec<Listed> = (0..HOSTS).map(|i| start(format!("s-{i:08x}"), i)).collect();
    let successors: Vec<Listed> = (0..REPLACED).map(|i| start(format!("t-{i:08x}"), i)).collect();
    let changes = Changes::default();
    let discovery = start_discovery(hosts.clone(), changes.clone());
    let mut node = Node::start(root, scratch, "n1", discovery, USUAL_LIMITS, &settings(DISPATCHERS, 0, "pure"));
    if !node.wait_ready() {
        return 2;
    }
    record.say(&format!("ready with {HOSTS} hosts"));
    let from = Instant::now();
    if trouble {
        let record = record.clone();
        let now_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        thread::spawn(move || {
            let mut due: Vec<(u64, String)> = Vec::new();
            for i in 0..REPLACED {
                let at = TROUBLE_AT_MS + WITHIN_MS * i as u64 / REPLACED as u64;
                let with = |health| Listed { health, ..hosts[i].clone() };
                due.push((at, list_line(&with("leaving"), 0)));
                due.push((at + SUCCESSOR_MS, list_line(&successors[i], now_ms + at + SUCCESSOR_MS)));
                due.push((at + DRAIN_MS, list_line(&with("left"), 0)));
            }
            due.sort_by_key(|(at, _)| *at);
            record.say(&format!("{REPLACED} hosts are replaced within {WITHIN_MS} ms: {} changes", due.len()));
            for (at, line) in due {
                thread::sleep(ms(at).saturating_sub(from.elapsed()));
                changes.0.lock().unwrap().push(line);
                changes.1.notify_all();
            }
            record.say(&format!("all changes are told after {:.1} s", from.elapsed().as_secs_f64()));
        });
    }
    let address = node.address;
    let tally: Arc<[AtomicUsize; 4]> = Arc::default();
    let [sent, whole, refused, lost] = [0, 1, 2, 3];
    let mut clients = Vec::new();
    while from.elapsed() < ms(SECONDS * 1000) {
        thread::sleep(ms(random.between(20, 180)));
        let (tally, record, id) = (tally.clone(), record.clone(), format!("{:016x}", random.next()));
        clients.push(thread::spawn(move || {
            tally[sent].fetch_add(1, Ordering::SeqCst);
            let call = request(&id, &id, REMAINING_MS, &usual_body());
            let Ok(mut stream) = TcpStream::connect(address) else { return };
            let _ = stream.set_read_timeout(Some(ms(12_000)));
            let _ = stream.write_all(call.as_bytes());
            let written = Instant::now();
            let mut reader = Reader::new(stream);
            // The head of an answer ends the time; a stream that has begun has no deadline.
            let head = reader.head().map(|head| head.start);
            let took = written.elapsed();
            let kind = match &head {
                _ if took > ms(REMAINING_MS + SLACK_MS) => lost,
                Some(head) if head.contains(" 200 ") => whole,
                Some(head) if head.contains(" 503 ") || head.contains(" 429 ") => refused,
                _ => lost,
            };
            tally[kind].fetch_add(1, Ordering::SeqCst);
            let answer = head.unwrap_or("nothing".to_owned());
            let text = format!("client {id} sent at {:.3} s: {answer} after {:.3} s", (written - from).as_secs_f64(), took.as_secs_f64());
            if kind == lost { record.line(&format!("BROKEN: {text}")) } else { record.line(&text) }
            // To the stream's end.
            if kind == whole {
                while reader.line().is_some_and(|line| line != "data: [DONE]") {}
            }
        }));
    }
    clients.into_iter().for_each(|client| client.join().expect("no panic"));
    let figure = |kind: usize| count(&tally[kind]);
    record.say(&format!(
        "{} requests with {REMAINING_MS} ms each: {} begun in time, {} refused in time, {} with no answer within {} ms",
        figure(sent), figure(whole), figure(refused), figure(lost), REMAINING_MS + SLACK_MS
    ));
    if node.has_ended() {
        record.say("BROKEN: the dispatcher has ended");
        return 1;
    }
    match figure(lost) {
        0 if figure(whole) * 10 < figure(sent) * 8 => 2,
        0 => 0,
        _ => 1,
    }
}
