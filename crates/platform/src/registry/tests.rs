use super::*;
use std::time::Duration;
use tulipstall::interface::{Config, ConfigValue};

/// A request sent just before the registry is back stays unanswered: the next try has to come within the
/// grace.
#[test]
fn a_silent_agent_is_asked_again_within_the_grace_and_an_expensive_registry_is_not() {
    for (mode, grace_us, within_grace) in [
        (None, None, true),
        (Some("pushed"), Some(100_000.0), true),
        (Some("pushed"), Some(250_000.0), true),
        (Some("pushed"), Some(1_000_000.0), true),
        (Some("pushed"), Some(0.0), false),
        (Some("on_request"), Some(250_000.0), false),
    ] {
        let mut config = Config::default();
        mode.map(|mode| config.0.insert("registry_mode".into(), ConfigValue::Text(mode.into())));
        grace_us.map(|us| config.0.insert("rules.drain_grace_us".into(), ConfigValue::Number(us)));
        let timeouts = RegistryTimeouts::from_config(&config);
        let grace = Duration::from_micros(grace_us.unwrap_or(250_000.0) as u64);
        assert_eq!(
            (timeouts.answer_start + timeouts.retry_pause) * 10 <= grace * 7,
            within_grace,
            "{mode:?} {grace_us:?}: {timeouts:?}"
        );
        assert!(timeouts.answer_start >= Duration::from_millis(20) && !timeouts.retry_pause.is_zero());
        // What an open watch misses counts as known 6 s after it fell silent, or 2 s after its wait.
        assert!(
            timeouts.retry_pause < Duration::from_millis(200)
                && timeouts.watch_slack < Duration::from_secs(2)
        );
        assert!(timeouts.watch_wait + timeouts.watch_slack + timeouts.retry_pause < Duration::from_secs(7));
    }
}

/// A schedule, and the time that it is played to. Each step takes as long as it may.
struct Play {
    timeouts: RegistryTimeouts,
    schedule: RequestSchedule,
    now: Duration,
    /// What is drawn for each pause.
    random_fraction: f64,
}

const MS: Duration = Duration::from_millis(1);

/// All modes, with several times that a draining host may still be used, in microseconds.
const MODES: [(&str, f64); 4] =
    [("pushed", 50_000.0), ("pushed", 250_000.0), ("pushed", 2e6), ("on_request", 250_000.0)];

fn timeouts_of((mode, grace_us): (&str, f64)) -> RegistryTimeouts {
    let mut config = Config::default();
    config.0.insert("registry_mode".into(), ConfigValue::Text(mode.into()));
    config.0.insert("rules.drain_grace_us".into(), ConfigValue::Number(grace_us));
    RegistryTimeouts::from_config(&config)
}

fn asking_timeouts() -> RegistryTimeouts {
    timeouts_of(("on_request", 250_000.0))
}

impl Play {
    fn new(timeouts: RegistryTimeouts, random_fraction: f64) -> Play {
        Play {
            timeouts,
            schedule: RequestSchedule::new(timeouts, Duration::ZERO),
            now: Duration::ZERO,
            random_fraction,
        }
    }

    /// A request fails after `took`; the pause behind it is over when this returns it.
    fn fail(&mut self, failure: Failure, took: Duration) -> Duration {
        let began_at = self.now;
        self.now += took;
        let kind = RequestKind::Resume;
        let pause = self.schedule.failed(failure, kind, began_at, self.now, || self.random_fraction);
        self.now += pause;
        pause
    }

    /// A request is not answered.
    fn hang(&mut self, kind: RequestKind) {
        let limits = self.schedule.limits(self.now, kind);
        self.fail(Failure::Unanswered, limits.answer_start_by - self.now);
    }

    /// An answer begins as late as it may and never ends.
    fn trickle(&mut self, kind: RequestKind) {
        let limits = self.schedule.limits(self.now, kind);
        let complete_by = limits.answer_start_by + self.timeouts.answer_rest;
        self.fail(Failure::Unanswered, complete_by - self.now);
    }

    /// A request is answered after `took`.
    fn answer(&mut self, kind: RequestKind, took: Duration) {
        let (began_at, limits) = (self.now, self.schedule.limits(self.now, kind));
        self.now += took;
        self.schedule.answered(kind, began_at, limits.wait, self.now);
    }

    /// A request reaches a registry that takes this long for each. Returns whether its answer or refusal is waited for.
    fn ask_slow_registry(&mut self, takes: Duration, refuses: bool) -> bool {
        let limits = self.schedule.limits(self.now, RequestKind::Resume);
        if self.now + takes > limits.answer_start_by {
            self.hang(RequestKind::Resume);
            return false;
        }
        if refuses {
            self.fail(Failure::Refused, takes);
        } else {
            self.answer(RequestKind::Resume, takes + self.timeouts.answer_rest);
        }
        true
    }

    /// The answer to a request begins and ends as late as it may, which is hardly earlier than without any failures.
    fn answer_late(&mut self, kind: RequestKind) {
        let limits = self.schedule.limits(self.now, kind);
        let time_left = limits.answer_start_by - self.now;
        assert!(time_left + Duration::from_millis(50) >= self.timeouts.answer_start, "{time_left:?}");
        self.answer(kind, time_left.min(self.timeouts.answer_start) + self.timeouts.answer_rest);
    }
}

/// After a good answer, whatever goes wrong once with each of a watch, its successor and the request after
/// it: the list is refreshed before a newer change counts as known, with the grace to spare.
#[test]
fn no_chain_of_failed_requests_outlasts_the_change_read_deadline() {
    use RequestKind::{List, Resume, Watch};
    let ms = Duration::from_millis;
    for mode in MODES {
        let timeouts = timeouts_of(mode);
        // A new watch that is not answered; changes to it are returned like the answer to a request without a
        // wait.
        let first = if timeouts.resume_wait.is_some() { Resume } else { List };
        for random_fraction in [0.0, 1.0] {
            for (name, chain) in [
                (
                    "a silent watch, a silent request, a good one",
                    (|play, first| {
                        play.hang(Watch);
                        play.hang(first);
                    }) as fn(&mut Play, RequestKind),
                ),
                ("a watch that trickles, a good request", |play, _| play.trickle(Watch)),
                ("a silent watch, then a restarted registry", |play, _| {
                    play.hang(Watch);
                    let mut versions = VersionFilter::default();
                    versions.accepts(play.now, 9);
                    play.fail(Failure::Failed, MS);
                    while !versions.accepts(play.now, 1) {
                        play.fail(Failure::Failed, MS);
                    }
                }),
            ] {
                let mut play = Play::new(timeouts, random_fraction);
                chain(&mut play, first);
                play.answer_late(first);
                assert!(play.now < CHANGE_READ_DEADLINE - ms(250), "{mode:?}: {name}: {:?}", play.now);
            }
        }
        // While nothing changes, 350 dispatchers send fewer than 200 requests a second where requests are
        // expensive, otherwise 400.
        let max_requests_per_second = if timeouts.backs_off { 200.0 } else { 400.0 };
        let watch = Play::new(timeouts, 0.0).schedule.limits(Duration::ZERO, Watch);
        assert_eq!(watch.wait, timeouts.watch_wait, "{mode:?}");
        assert!(350.0 / watch.wait.as_secs_f64() < max_requests_per_second, "{mode:?}");
    }
}

#[test]
fn older_versions_are_accepted_only_if_they_persist() {
    let ms = Duration::from_millis;
    for (name, answers) in [
        ("in order", vec![(0, 3, true), (100, 3, true), (200, 5, true)]),
        ("a replica that lags behind", vec![(0, 9, true), (100, 7, false), (200, 9, true), (2000, 8, false)]),
        (
            "a restarted registry",
            vec![(0, 9, true), (100, 1, false), (500, 1, false), (1000, 2, true), (1100, 2, true)],
        ),
    ] {
        let mut filter = VersionFilter::default();
        for (at, seq, accepted) in answers {
            assert_eq!(filter.accepts(ms(at), seq), accepted, "{name}: {seq} at {at} ms");
        }
    }
}

/// Random numbers for tests (splitmix64).
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    fn fraction(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn below(&mut self, end: u64) -> u64 {
        self.next() % end
    }
}

/// After any failures, and then a refusal, one request hangs and the next one is answered as late as it may be: the list is
/// read within 6 s of the refusal, until which the registry counts as out of reach. Without this, the pause outlasts the
/// deadline (review/10), or leaves no time for the requests themselves.
#[test]
fn a_change_is_read_in_time_after_any_failures_and_a_refusal() {
    let timeouts = asking_timeouts();
    let mut random = Random(60);
    for round in 0..20_000 {
        let mut play = Play::new(timeouts, 0.0);
        let mut history = Vec::new();
        for _ in 0..random.below(12) {
            play.random_fraction = random.fraction();
            let (kind, step) = (RequestKind::Resume, random.below(6));
            history.push(step);
            match step {
                0 => play.hang(kind),
                1 => play.trickle(kind),
                2 => drop(play.fail(Failure::Failed, MS)),
                3 => drop(play.fail(Failure::Refused, MS)),
                4 => drop(play.fail(Failure::Refused, timeouts.answer_start)),
                _ => play.answer(kind, MS),
            }
        }
        let refused_at = play.now;
        play.random_fraction = if round % 4 == 0 { 1.0 } else { random.fraction() };
        play.fail(Failure::Refused, if round % 2 == 0 { MS } else { timeouts.answer_start });
        if round % 3 > 0 {
            play.hang(RequestKind::Resume);
        }
        play.answer_late(RequestKind::Resume);
        let took = play.now - refused_at;
        assert!(took < CHANGE_READ_DEADLINE - Duration::from_millis(250), "{history:?}: {took:?}");
    }
}

/// After any failures the registry can be reached again: the next request brings the list within 6 s of the start of the
/// last one that failed. Without this, a registry that returns after an outage is asked too late.
#[test]
fn a_change_is_read_in_time_when_the_registry_returns_after_any_outage() {
    let timeouts = asking_timeouts();
    let mut random = Random(61);
    for _ in 0..20_000 {
        let mut play = Play::new(timeouts, 0.0);
        let mut last_began_at = play.now;
        for _ in 0..random.below(30) {
            play.random_fraction = random.fraction();
            last_began_at = play.now;
            match random.below(5) {
                0 => play.hang(RequestKind::Resume),
                1 => play.trickle(RequestKind::Resume),
                2 => drop(play.fail(Failure::Failed, MS)),
                // A connection that does not come up.
                3 => drop(play.fail(Failure::Unanswered, timeouts.answer_start / 3)),
                _ => drop(play.fail(Failure::Refused, MS)),
            }
        }
        play.answer_late(RequestKind::Resume);
        let took = play.now - last_began_at;
        assert!(took < CHANGE_READ_DEADLINE - Duration::from_millis(250), "{took:?}");
    }
}

/// A slow registry refuses requests and then answers, as slowly: the list is read within 6 s of the last refusal. Without
/// this, the time that a pause leaves is too short for the request.
#[test]
fn a_change_is_read_in_time_from_a_slow_registry_that_refuses() {
    let mut random = Random(63);
    for takes_ms in (0..1900).step_by(100) {
        let takes = Duration::from_millis(takes_ms);
        for _ in 0..500 {
            let mut play = Play::new(asking_timeouts(), 0.0);
            let mut last_refused_at = play.now;
            for _ in 0..random.below(9) {
                play.random_fraction = random.fraction();
                last_refused_at = play.now + takes;
                play.ask_slow_registry(takes, true);
            }
            play.random_fraction = random.fraction();
            while !play.ask_slow_registry(takes, false) {}
            let took = play.now.saturating_sub(last_refused_at);
            assert!(took < CHANGE_READ_DEADLINE - Duration::from_millis(250), "{takes:?}: {took:?}");
        }
    }
}

/// A new configuration names another registry, after any failures of the old one. The new one refuses requests or leaves one
/// unanswered: it is read within 4 s of the signal (review/9).
#[test]
fn a_moved_registry_is_read_in_time_after_any_failures() {
    let timeouts = asking_timeouts();
    let mut random = Random(62);
    for _ in 0..20_000 {
        let mut play = Play::new(timeouts, 0.0);
        for _ in 0..random.below(12) {
            play.random_fraction = random.fraction();
            match random.below(3) {
                0 => play.hang(RequestKind::Resume),
                1 => drop(play.fail(Failure::Failed, MS)),
                _ => drop(play.fail(Failure::Refused, MS)),
            }
        }
        // The pause ends with the signal.
        let reloaded_at = play.now;
        play.schedule.reloaded(reloaded_at, true);
        play.random_fraction = random.fraction();
        let failures = random.below(4);
        match failures {
            0 => {}
            1 => play.hang(RequestKind::List),
            2 => drop(play.fail(Failure::Refused, MS)),
            _ => {
                play.fail(Failure::Refused, timeouts.answer_start);
                play.hang(RequestKind::List);
            }
        }
        play.answer_late(RequestKind::List);
        let took = play.now - reloaded_at;
        assert!(took < RELOAD_READ_DEADLINE - Duration::from_millis(250), "{failures}: {took:?}");
    }
}

/// Where requests are expensive, a dispatcher that is refused or not answered returns less and less often, at randomised
/// times, as far as the deadline allows; a local agent is asked as often as before.
#[test]
fn an_overloaded_registry_is_asked_less_often() {
    for mode in MODES {
        let timeouts = timeouts_of(mode);
        for failure in [Failure::Refused, Failure::Failed, Failure::Unanswered] {
            let mut play = Play::new(timeouts, 0.5);
            let pauses: Vec<Duration> = (0..12).map(|_| play.fail(failure, MS)).collect();
            if !timeouts.backs_off {
                assert!(pauses.iter().all(|pause| *pause == timeouts.retry_pause), "{mode:?} {pauses:?}");
                continue;
            }
            // At the end of the first deadline they are asked once more before it is over.
            if failure == Failure::Refused {
                assert!(pauses.is_sorted(), "{pauses:?}");
            }
            assert!(pauses[11] >= Duration::from_secs(3), "{failure:?} {pauses:?}");
        }
        let waits: Vec<Duration> = (0..12).map(|times| timeouts.answer_start_after(times)).collect();
        assert!(waits[0] == timeouts.answer_start && waits.is_sorted());
        let longest_wait = if timeouts.backs_off { Duration::from_secs(3) } else { timeouts.answer_start };
        assert_eq!(waits[11], longest_wait, "{mode:?}");
    }
}

/// Hundreds of dispatchers are refused at once: within 6 s each returns a few times, and never many at once for good.
#[test]
fn dispatchers_that_are_refused_at_once_spread_out() {
    const DISPATCHERS: u64 = 300;
    let ms = Duration::from_millis;
    for (failure, alternating) in [
        (Failure::Refused, false),
        (Failure::Failed, false),
        (Failure::Unanswered, false),
        (Failure::Refused, true),
    ] {
        let mut calls: Vec<Duration> = Vec::new();
        for dispatcher in 0..DISPATCHERS {
            let mut random = Random(dispatcher);
            let mut play = Play::new(asking_timeouts(), 0.0);
            while play.now < ms(18_000) {
                play.random_fraction = random.fraction();
                calls.push(play.now);
                play.fail(failure, MS);
                if alternating {
                    // A short answer, and its watch is refused.
                    calls.push(play.now);
                    play.answer(RequestKind::Resume, MS);
                }
            }
        }
        let count = |from: Duration, to: Duration| calls.iter().filter(|at| (from..to).contains(*at)).count();
        let (first, later) = (count(ms(3000), ms(9000)), count(ms(9000), ms(15_000)));
        let busiest_second =
            (90..150).map(|tenth| count(ms(tenth * 100), ms(tenth * 100 + 1000))).max().unwrap_or_default();
        let name = format!("{failure:?}, alternating {alternating}");
        println!("{name}: {first} calls from 3 to 9 s, {later} to 15 s, at most {busiest_second} a second");
        // An answer that alternates with a refusal is a call as well.
        let calls_a_try = if alternating { 2 } else { 1 };
        assert!((300..=600 * calls_a_try).contains(&later), "{name}: {later}");
        assert!(busiest_second <= 150 * calls_a_try, "{name}: {busiest_second}");
        // A registry that does not refuse may answer at any time: within the first deadline each asks once a second.
        let most_at_first = if failure == Failure::Refused { 600 * calls_a_try } else { 6 * 300 };
        assert!((300..=most_at_first).contains(&first), "{name}: {first}");
    }
}
