//! A registry that has to be asked refuses requests, hangs, or moves: when its changes take effect nevertheless.

mod platform;

use platform::RegistryFault::{DelayMs, Disconnect, FirstList, MalformedJson, NoAnswer, SlowBody};
use platform::*;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, PoisonError};
use std::thread;
use std::time::{Duration, Instant};
use tulipstall_node::Node;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Time after which a change of a registry that can be reached counts as known.
const CHANGE_DEADLINE: Duration = Duration::from_secs(6);
/// As [`CHANGE_DEADLINE`], from the signal that announced a new address of the registry.
const MOVE_DEADLINE: Duration = Duration::from_secs(4);
/// How long a dispatcher may send to a host that it knows to drain, with the extension of limits on sockets.
const DRAIN_GRACE: Duration = Duration::from_millis(250 + 50);
/// Time within which all scripted faults have to be met.
const SCRIPT_LIMIT: Duration = Duration::from_secs(60);

const REFUSED: RegistryFault =
    RegistryFault::Refusal(Refusal { status: 503, retry_after_s: None, delay_ms: 0 });
const REFUSED_429: RegistryFault =
    RegistryFault::Refusal(Refusal { status: 429, retry_after_s: None, delay_ms: 0 });
const REFUSED_WITH_ADVICE: RegistryFault =
    RegistryFault::Refusal(Refusal { status: 503, retry_after_s: Some(20), delay_ms: 0 });
const REFUSED_SLOWLY: RegistryFault =
    RegistryFault::Refusal(Refusal { status: 503, retry_after_s: None, delay_ms: 600 });

/// One dispatcher whose lists have to be asked for, with hosts and a registry of its own.
struct Asker {
    name: String,
    registry: Registry,
    node: Node,
    hosts: [Host; 3],
}

impl Asker {
    /// Starts it with a random seed that depends on `number`; `faults` meet its first requests.
    fn start(name: &str, number: usize, faults: &[RegistryFault]) -> Asker {
        let script = Script::default();
        let hosts = ["r1", "w1", "w2"].map(|name| Host::start(name, &script));
        let registry = Registry::start(&hosts.each_ref());
        registry.script.lock().expect("no panic").extend(faults);
        let settings =
            "\"settings\":{\"RegistryMode\":\"on_request\",\"Rules\":{\"StopSendingWithinUs\":250000},";
        let known = format!(
            "\"known\":{{\"seq\":1,\"whole\":true,\"hosts\":[{}]}},{settings}",
            hosts.each_ref().map(|host| registry_line(host, "active")).join(",")
        );
        let config = config(&registry, 4096, 1)
            .replace("8c1f30d27a5be964", &format!("{:016x}", number * 77 + 5))
            .replace("\"settings\":{", &known);
        let node = start_node_with(&config);
        Asker { name: format!("{name}, dispatcher {number}"), registry, node, hosts }
    }

    /// Serves requests until `ended` returns true.
    fn serve_until(&self, label: &str, ended: impl Fn() -> bool) {
        for i in 0.. {
            let id = format!("{label}{i}");
            let answer = exchange(self.node.address(), &request_text(&id, "Connection: close\r\n"));
            assert!(is_complete_stream(&answer, &id), "{}: {answer}", self.name);
            if ended() {
                return;
            }
            thread::sleep(ms(20));
        }
    }

    fn faults_left(&self) -> usize {
        self.registry.script.lock().expect("no panic").len()
    }

    /// Waits until at most this many faults are left.
    fn wait_for_faults(&self, left: usize) {
        let give_up_at = Instant::now() + SCRIPT_LIMIT;
        while self.faults_left() > left {
            assert!(Instant::now() < give_up_at, "{}: {} faults left", self.name, self.faults_left());
            thread::sleep(ms(5));
        }
    }

    /// The second host starts to drain, as `registry` knows.
    fn drain_at(&self, registry: &Registry) -> Instant {
        registry.publish(registry_line(&self.hosts[1], "leaving"));
        Instant::now()
    }

    /// Checks that the draining host gets no request from `by` on, and that the other one is served by then.
    fn check_drained(&self, by: Instant) {
        self.serve_until("then", || Instant::now() > by + ms(2500));
        let posts = |host: &Host| {
            let calls = host.calls();
            calls.into_iter().filter(|(call, ..)| call.starts_with("POST")).map(|(.., at)| at).max()
        };
        let late = posts(&self.hosts[1]).and_then(|last| last.checked_duration_since(by));
        assert_eq!(late, None, "{}: a request to the draining host after its grace", self.name);
        assert!(posts(&self.hosts[2]) > Some(by), "{}", self.name);
    }
}

/// Plays something with several dispatchers at once: their pauses are random.
fn with_each_dispatcher(count: usize, play: impl Fn(usize) + Sync) {
    let _exclusive = EXCLUSIVE.lock().unwrap_or_else(PoisonError::into_inner);
    thread::scope(|scope| {
        let play = &play;
        (0..count).for_each(|number| {
            scope.spawn(move || play(number));
        });
    });
}

/// Dispatchers that play each case at once.
const DISPATCHERS_PER_CASE: usize = 6;

/// Faults that the requests of a dispatcher meet.
struct Case {
    name: &'static str,
    faults: Vec<RegistryFault>,
    /// They meet the first requests of the process.
    at_start: bool,
}

impl Case {
    fn new(name: &'static str, faults: &[RegistryFault]) -> Case {
        Case { name, faults: faults.to_vec(), at_start: false }
    }

    fn at_start(name: &'static str, faults: &[RegistryFault]) -> Case {
        Case { at_start: true, ..Case::new(name, faults) }
    }

    /// A host drains while the registry refuses requests; until its last refusal it counts as out of reach.
    fn check(&self, number: usize) {
        let first_faults = if self.at_start { &self.faults[..] } else { &[] };
        let asker = Asker::start(self.name, number, first_faults);
        if !self.at_start {
            asker.serve_until("before", || true);
            asker.registry.script.lock().expect("no panic").extend(&self.faults);
        }
        // A request that waits would be answered with the drain.
        asker.wait_for_faults(self.faults.len() - 1);
        let drained = asker.drain_at(&asker.registry);
        let give_up_at = Instant::now() + SCRIPT_LIMIT;
        asker.serve_until("meanwhile", || asker.faults_left() == 0 || Instant::now() > give_up_at);
        assert_eq!(asker.faults_left(), 0, "{}", asker.name);
        let last_refusal = asker.registry.last_refusal.lock().expect("no panic").expect("a refusal");
        asker.check_drained(drained.max(last_refusal) + CHANGE_DEADLINE + DRAIN_GRACE);
    }
}

fn check_cases(cases: &[Case]) {
    with_each_dispatcher(cases.len() * DISPATCHERS_PER_CASE, |number| {
        cases[number / DISPATCHERS_PER_CASE].check(number);
    });
}

/// The pause after a refusal outlasts the time in which a change has to be read: review/10. Without a deadline that the
/// pause keeps, requests go to a draining host for up to 3 s too long.
#[test]
fn a_drain_takes_effect_in_time_after_refused_requests() {
    check_cases(&[
        Case::new("503", &[REFUSED; 5]),
        Case::new("429", &[REFUSED_429; 5]),
        Case::new("503 with Retry-After", &[REFUSED_WITH_ADVICE; 5]),
    ]);
}

/// As after refusals alone, where the request that follows them hangs: the pause has to leave time for one more.
#[test]
fn a_drain_takes_effect_in_time_when_a_request_hangs_after_refusals() {
    check_cases(&[
        Case::new("503, no answer", &[REFUSED, REFUSED, REFUSED, REFUSED, REFUSED, NoAnswer]),
        Case::new("503, half an answer", &[REFUSED, REFUSED, REFUSED, REFUSED, REFUSED, SlowBody]),
    ]);
}

/// Refusals among other failures and answers: each kind must leave the time that the others need.
#[test]
fn a_drain_takes_effect_in_time_when_failures_are_mixed() {
    let mixed =
        [REFUSED, Disconnect, REFUSED, MalformedJson, REFUSED_429, NoAnswer, REFUSED, REFUSED, NoAnswer];
    check_cases(&[
        Case::new("mixed", &mixed),
        Case::new("alternating", &[REFUSED, Disconnect, REFUSED, Disconnect, REFUSED, Disconnect]),
        Case::new("alternating with old lists", &[REFUSED, FirstList, REFUSED, FirstList, REFUSED]),
    ]);
}

/// Refusals come slowly, and so does the answer after them: the pause has to leave time for the request itself.
#[test]
fn a_drain_takes_effect_in_time_when_refusals_and_answers_are_slow() {
    let slower = RegistryFault::Refusal(Refusal { status: 503, retry_after_s: None, delay_ms: 1200 });
    check_cases(&[
        Case::new("slow", &[[REFUSED_SLOWLY; 5].as_slice(), &[DelayMs(600)]].concat()),
        Case::new("slower", &[[slower; 5].as_slice(), &[DelayMs(1200)]].concat()),
    ]);
}

/// The first requests after a start are refused, and the list of the configuration is old.
#[test]
fn a_drain_takes_effect_in_time_when_the_first_requests_are_refused() {
    check_cases(&[
        Case::at_start("start", &[REFUSED; 5]),
        Case::at_start("start, no answer", &[REFUSED, REFUSED, REFUSED, REFUSED, NoAnswer]),
    ]);
}

/// An address at which connections are never established.
struct UnreachableAddress {
    address: SocketAddr,
    _listener: socket2::Socket,
    _waiting: Vec<socket2::Socket>,
}

impl UnreachableAddress {
    fn new() -> UnreachableAddress {
        use socket2::{Domain, Socket, Type};
        let socket = || Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        let listener = socket();
        let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
        listener.bind(&any.into()).expect("a port");
        listener.listen(0).expect("a listener");
        let address = listener.local_addr().ok().and_then(|address| address.as_socket()).expect("an address");
        // They fill the accept queue, so that the system drops what comes after them.
        let waiting = (0..4).map(|_| {
            let client = socket();
            client.set_nonblocking(true).expect("a socket");
            let _ = client.connect(&address.into());
            client
        });
        let waiting = waiting.collect();
        thread::sleep(ms(50));
        let blocked = TcpStream::connect_timeout(&address, ms(200));
        assert!(blocked.is_err(), "the accept queue is not full");
        UnreachableAddress { address, _listener: listener, _waiting: waiting }
    }
}

/// What the old registry does when the configuration names another one.
#[derive(Clone, Copy, Debug, PartialEq)]
enum OldRegistry {
    /// It has refused five requests: the dispatcher pauses.
    Refused,
    /// After refusals a request to it hangs.
    Hangs,
    /// It has moved to an address where connections are never established.
    Unreachable,
    /// As `Refused`; the address changes back and forth before it stays at the new one.
    BackAndForth,
}

/// The registry moves, and the new one knows a change; 4 s after the signal that counts as known. Without an end of the pause
/// at that moment, the new one is asked up to 9 s later: review/9.
#[test]
fn a_moved_registry_is_asked_in_time_whatever_the_old_one_does() {
    use OldRegistry::*;
    let new_faults: [&[RegistryFault]; 4] =
        [&[], &[REFUSED, REFUSED], &[NoAnswer], &[REFUSED_SLOWLY, NoAnswer]];
    let plays: Vec<_> = [Refused, Hangs, Unreachable, BackAndForth]
        .into_iter()
        .flat_map(|old| new_faults.map(|faults| (old, faults)))
        .collect();
    with_each_dispatcher(plays.len(), |number| {
        let (old, faults) = plays[number];
        let asker = Asker::start(&format!("{old:?}, then {faults:?}"), number, &[]);
        let new_registry = Registry::start(&asker.hosts.each_ref());
        new_registry.script.lock().expect("no panic").extend(faults);
        let unreachable = UnreachableAddress::new();
        asker.registry.script.lock().expect("no panic").extend([REFUSED; 5]);
        match old {
            Refused | BackAndForth => {
                asker.wait_for_faults(0);
                thread::sleep(ms(300));
            }
            Hangs => {
                asker.registry.script.lock().expect("no panic").extend([NoAnswer; 100]);
                asker.wait_for_faults(99);
                thread::sleep(ms(100));
            }
            Unreachable => {
                asker.wait_for_faults(0);
                asker.node.set_registry_address(unreachable.address, Instant::now());
                thread::sleep(ms(1000));
            }
        }
        asker.drain_at(&new_registry);
        if old == BackAndForth {
            for address in [new_registry.address, asker.registry.address, new_registry.address] {
                asker.registry.script.lock().expect("no panic").push_back(REFUSED);
                asker.node.set_registry_address(address, Instant::now());
                thread::sleep(ms(2));
            }
        }
        let moved = Instant::now();
        asker.node.set_registry_address(new_registry.address, Instant::now());
        asker.check_drained(moved + MOVE_DEADLINE + DRAIN_GRACE);
        assert!(
            new_registry.script.lock().expect("no panic").is_empty(),
            "{}: not every fault was met",
            asker.name
        );
    });
}

/// Requests fail at once, by an error status or a closed connection. Without a pause that grows, each dispatcher asks ten times
/// a second.
#[test]
fn requests_that_fail_at_once_are_repeated_less_and_less_often() {
    const ERROR: RegistryFault =
        RegistryFault::Refusal(Refusal { status: 500, retry_after_s: None, delay_ms: 0 });
    with_each_dispatcher(2, |number| {
        let asker = Asker::start("failing at once", number, &[]);
        let closed_connections = Arc::new(AtomicUsize::new(0));
        if number == 0 {
            asker.registry.script.lock().expect("no panic").extend([ERROR; 1000]);
        } else {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
            let address = listener.local_addr().expect("an address");
            let count = closed_connections.clone();
            thread::spawn(move || {
                for stream in listener.incoming() {
                    drop(stream);
                    count.fetch_add(1, Ordering::SeqCst);
                }
            });
            asker.node.set_registry_address(address, Instant::now());
        }
        thread::sleep(ms(12_000));
        let failed =
            if number == 0 { 1000 - asker.faults_left() } else { closed_connections.load(Ordering::SeqCst) };
        println!("{}: {failed} requests in 12 s", asker.name);
        // Until the pause is long a few more, then some three in each 6 s.
        assert!((3..=16).contains(&failed), "{}: {failed} requests in 12 s", asker.name);
    });
}
