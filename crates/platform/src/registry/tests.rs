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

/// After a good answer, whatever goes wrong once with each of a watch, its successor and the request after
/// it: the list is refreshed before a newer change counts as known, with the grace to spare.
#[test]
fn no_chain_of_failed_requests_outlasts_the_change_read_deadline() {
    let ms = Duration::from_millis;
    for (mode, grace_us) in
        [("pushed", 50_000.0), ("pushed", 250_000.0), ("pushed", 2e6), ("on_request", 250_000.0)]
    {
        let mut config = Config::default();
        config.0.insert("registry_mode".into(), ConfigValue::Text(mode.into()));
        config.0.insert("rules.drain_grace_us".into(), ConfigValue::Number(grace_us));
        let timeouts = RegistryTimeouts::from_config(&config);
        let request_time = timeouts.retry_pause + timeouts.answer_start;
        // A new watch that is not answered; changes to it are returned like the answer to a request without a
        // wait.
        let unanswered_watch = request_time + timeouts.resume_wait.unwrap_or_default();
        let silent_watch = timeouts.watch_wait + timeouts.watch_slack;
        for (name, chain) in [
            (
                "a silent watch, a silent request, a good one",
                silent_watch + unanswered_watch + request_time + timeouts.answer_rest,
            ),
            (
                "a watch that trickles, a good request",
                silent_watch + timeouts.answer_rest + request_time + timeouts.answer_rest,
            ),
            (
                "a silent watch, then a restarted registry",
                silent_watch + request_time + OLDER_VERSIONS_IGNORED_FOR + request_time,
            ),
        ] {
            assert!(chain < CHANGE_READ_DEADLINE - ms(250), "{mode} {grace_us}: {name}: {chain:?}");
        }
        // While nothing changes, 350 dispatchers send fewer than 200 requests a second where requests are
        // expensive, otherwise 400.
        let max_requests_per_second = if mode == "on_request" { 200.0 } else { 400.0 };
        assert!(350.0 / timeouts.watch_wait.as_secs_f64() < max_requests_per_second, "{mode}");
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

/// Where requests are expensive, a dispatcher that is rejected or not answered returns less and less often,
/// at randomised times; a local agent is asked as often as before.
#[test]
fn an_overloaded_registry_is_asked_less_often() {
    let ms = Duration::from_millis;
    for (mode, constant) in [("pushed", true), ("on_request", false)] {
        let mut config = Config::default();
        config.0.insert("registry_mode".into(), ConfigValue::Text(mode.into()));
        let timeouts = RegistryTimeouts::from_config(&config);
        let pauses: Vec<Duration> =
            (0..12).map(|times| timeouts.pause_after_rejections(times, 0.5)).collect();
        let waits: Vec<Duration> = (0..12).map(|times| timeouts.answer_start_after_timeouts(times)).collect();
        assert_eq!(waits[0], timeouts.answer_start, "{mode}");
        if constant {
            assert!(
                pauses.iter().all(|pause| *pause == timeouts.retry_pause)
                    && waits.iter().all(|wait| *wait == timeouts.answer_start)
            );
            continue;
        }
        assert!(pauses.is_sorted() && waits.is_sorted() && pauses[11] == ms(6000) && waits[11] == ms(3000));
        // 300 that are rejected at once: within 6 s each returns a few times, and never many at once for
        // good.
        let calls: usize = (0..300)
            .map(|i| {
                let part = f64::from(i) / 300.0;
                let times = (0..12).scan(Duration::ZERO, |at, times| {
                    *at += timeouts.pause_after_rejections(times, part);
                    Some(*at)
                });
                times.filter(|at| (ms(3000)..ms(9000)).contains(at)).count()
            })
            .sum();
        assert!((300..=600).contains(&calls), "{calls}");
    }
}
