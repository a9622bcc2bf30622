//! The cases.

use crate::*;

pub fn run(case: &str, root: &Path, scratch: &Path, trouble: bool, record: &Arc<Record>) -> i32 {
    match case {
        "late-second-answer" => late_second_answer(root, scratch, trouble, record),
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

fn usual_reader(record: Arc<Record>, name: &'static str, states: Arc<States>) -> SocketAddr {
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
        let dial = usual_reader(record.clone(), name, states.clone());
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
    let discovery = start_discovery(hosts);
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
