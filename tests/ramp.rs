//! A cold host's send budget holds for all dispatchers together. Each decides by its own rules without any
//! communication; their shots are summed over every span of the fall time.

mod harness;

use harness::*;
use tulipstall::interface::Outcome::*;
use tulipstall::interface::{Event, HostStatus};

/// A cold host falls over if it gets this multiple of what it can do, for the fall time.
const FALL_MULTIPLE: f64 = 2.5;
/// The share of a warm host's work that a host can do when it starts.
const COLD_FROM: f64 = 0.3;

struct Random(u64);

impl Random {
    fn next_unit(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        ((self.0 >> 33) as f64 + 1.0) / (1_u64 << 31) as f64
    }
}

#[derive(Clone, Copy, Debug)]
struct Case {
    processes: u64,
    /// Tasks a second for each host of the step, from all processes together.
    rate: f64,
    /// Within each group of eight, a process sees this multiple of the tasks of the one before it.
    skew: f64,
    /// Seven in ten processes restart half a second after the host.
    restart: bool,
    /// Multiplies the tasks from one second to three seconds after the host's start.
    burst: f64,
    fall_ms: u64,
}

const STEADY_SECONDS: u64 = 30;
const TOTAL_SECONDS: u64 = 40;
const HOSTS_PER_ROLE: u64 = 10;

/// When the cold host, the first reader or the first writer, is sent a shot, by all processes.
fn cold_host_sends(case: Case, writer: bool, seed: u64) -> Vec<u64> {
    let mut all = Vec::new();
    let weights: Vec<f64> = (0..case.processes).map(|me| case.skew.powi((me % 8) as i32)).collect();
    let sum: f64 = weights.iter().sum();
    let cold = if writer { HOSTS_PER_ROLE as u32 } else { 0 };
    let fleet = [[(READER, 0); HOSTS_PER_ROLE as usize], [(WRITER, 0); HOSTS_PER_ROLE as usize]].concat();
    for me in 0..case.processes {
        let (own_index, dispatchers, fall) =
            (me.to_string(), case.processes.to_string(), (case.fall_ms * 1000).to_string());
        let extra = [
            ("dispatchers", dispatchers.as_str()),
            ("me", own_index.as_str()),
            ("rules.fall_us", fall.as_str()),
        ];
        let mut random = Random(seed ^ (me * 977 + 13));
        random.next_unit();
        let mut harness = Harness::new(&extra, &fleet);
        let rate = case.rate * HOSTS_PER_ROLE as f64 * weights[me as usize] / sum;
        let host_started = STEADY_SECONDS * 1000;
        let list_at = host_started + (random.next_unit() * 300.0) as u64;
        let restart_at = host_started + 500 + (random.next_unit() * 300.0) as u64;
        let mut restart_at = (case.restart && me % 10 < 7).then_some(restart_at);
        let (mut list_at, mut at, mut i, mut restarted_at) = (Some(list_at), 0.0, 0_u32, 0);
        while at < (TOTAL_SECONDS * 1000) as f64 {
            let burst = (host_started + 1000..host_started + 3000).contains(&(at as u64));
            at += -random.next_unit().ln() * 1000.0 / (rate * if burst { case.burst } else { 1.0 });
            let now = at as u64;
            if let Some(list_time) = list_at.filter(|list_at| *list_at <= now) {
                harness.list_host(list_time, cold, HostStatus::Running, Some(ms(list_time - host_started)));
                list_at = None;
            }
            if restart_at.is_some_and(|restart_at| restart_at <= now) {
                (restart_at, restarted_at) = (None, now);
                harness = Harness::new(&extra, &fleet);
                let listed = harness.hosts.iter().enumerate().map(|(h, line)| {
                    let uptime = (h as u32 == cold).then(|| ms(now - host_started));
                    tulipstall::interface::ListedHost { uptime, ..*line }
                });
                let listed = listed.collect();
                harness.on_event(0, Event::Hosts { complete: true, listed });
            }
            i += 1;
            let (own_now, session) = (now - restarted_at, me as u32 * 37 + i);
            let reader = sent_host(&harness.send_order(own_now, i % 64, session, 1000));
            let Some(reader) = reader else { continue };
            let to = if writer {
                sent_host(&harness.close_shot(own_now + 30, i % 64, 0, Read))
            } else {
                Some(reader)
            };
            all.extend(to.filter(|to| *to == cold).map(|_| now));
            if !writer {
                harness.close_shot(own_now + 30, i % 64, 0, Read);
            }
            harness.on_event(own_now + 40, Event::Started { task: i % 64, shot: 1 });
            harness.close_shot(own_now + 45, i % 64, 1, Delivered);
        }
    }
    all.sort_unstable();
    all.into_iter().filter(|at| *at >= STEADY_SECONDS * 1000).collect()
}

/// The budget follows from what a warm host gets. At the start of the warm-up, when the host can do least, no
/// span of the fall time may have more shots than the budget and chance allow, and the budget has to be used.
#[test]
fn all_dispatchers_together_keep_within_a_cold_hosts_budget() {
    let case =
        |processes, rate, skew, restart, burst| Case { processes, rate, skew, restart, burst, fall_ms: 3000 };
    let mut cases = Vec::new();
    for processes in [2, 3, 20, 30, 350] {
        for rate in [0.5, 3.0, 12.0] {
            cases.extend([
                case(processes, rate, 1.0, false, 1.0),
                case(processes, rate, 0.7, false, 1.5),
                case(processes, rate, 0.7, true, 1.0),
                case(processes, rate, 1.0, true, 3.0),
            ]);
        }
    }
    let mut worst: f64 = f64::NEG_INFINITY;
    let mut failed = Vec::new();
    for case in cases {
        for writer in [false, true] {
            let sends = cold_host_sends(case, writer, 5);
            let budget = FALL_MULTIPLE * COLD_FROM * case.rate * case.fall_ms as f64 / 1000.0;
            let most = budget + 2.0 * budget.sqrt() + 2.0;
            // Spans that end before the host is warm.
            let early = || sends.iter().filter(|at| **at + case.fall_ms <= (STEADY_SECONDS + 10) * 1000);
            let within =
                |from: u64| sends.iter().filter(|at| (from..from + case.fall_ms).contains(*at)).count();
            let found = early().map(|from| within(*from)).max().unwrap_or(0);
            let used =
                early().count() as f64 / (budget * (10_000 - case.fall_ms) as f64 / case.fall_ms as f64);
            println!(
                "{case:?} writer {writer}: at most {found} where {most:.1} may be, {used:.2} of the budget used"
            );
            worst = worst.max((found as f64 - budget) / budget.sqrt().max(1.0));
            let leaves_budget_unused = !case.restart && budget > 20.0 && used < 0.4;
            if found as f64 > most || leaves_budget_unused {
                failed.push(format!("{case:?}, writer {writer}: {found} of {most:.1}, {used:.2} used"));
            }
        }
    }
    println!("at most {worst:.2} square roots of the budget above it");
    assert!(failed.is_empty(), "{failed:#?}");
}
