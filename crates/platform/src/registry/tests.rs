use super::*;
use tulipstall::interface::Term;

/// A request sent just before the registry is back stays unanswered: the next try has to come within the
/// grace.
#[test]
fn a_silent_agent_is_asked_anew_inside_the_grace_and_a_dear_registry_is_not_pressed() {
    for (mode, grace_us, pressed) in [
        (None, None, true),
        (Some("pushed"), Some(100_000.0), true),
        (Some("pushed"), Some(250_000.0), true),
        (Some("pushed"), Some(1_000_000.0), true),
        (Some("pushed"), Some(0.0), false),
        (Some("on_request"), Some(250_000.0), false),
    ] {
        let mut terms = Terms::default();
        mode.map(|mode| terms.0.insert("registry_mode".into(), Term::Text(mode.into())));
        grace_us.map(|us| terms.0.insert("rules.drain_grace_us".into(), Term::Number(us)));
        let told = Patience::told(&terms);
        let grace = Duration::from_micros(grace_us.unwrap_or(250_000.0) as u64);
        assert_eq!((told.at_once + told.pause) * 10 <= grace * 7, pressed, "{mode:?} {grace_us:?}: {told:?}");
        assert!(told.at_once >= Duration::from_millis(20) && !told.pause.is_zero());
        // What an open watch misses counts as known 6 s after it fell silent, or 2 s after its wait.
        assert!(told.pause < Duration::from_millis(200) && told.late < Duration::from_secs(2));
        assert!(told.wait + told.late + told.pause < Duration::from_secs(7));
    }
}

/// After a good answer, whatever goes wrong once with each of a watch, its successor and the request after
/// it: the list is refreshed before a newer change counts as known, with the grace to spare.
#[test]
fn no_chain_of_calls_outlasts_what_counts_as_told() {
    let ms = Duration::from_millis;
    for (mode, grace_us) in
        [("pushed", 50_000.0), ("pushed", 250_000.0), ("pushed", 2e6), ("on_request", 250_000.0)]
    {
        let mut terms = Terms::default();
        terms.0.insert("registry_mode".into(), Term::Text(mode.into()));
        terms.0.insert("rules.drain_grace_us".into(), Term::Number(grace_us));
        let told = Patience::told(&terms);
        let question = told.pause + told.at_once;
        // A new watch that is not answered; changes to it are returned like the answer to a request without a
        // wait.
        let unheard = question + told.resumes.unwrap_or_default();
        let silent = told.wait + told.late;
        for (name, chain) in [
            ("a silent watch, a silent question, a good one", silent + unheard + question + told.whole),
            ("a watch that trickles, a good question", silent + told.whole + question + told.whole),
            ("a silent watch, then a registry that begins anew", silent + question + OLDER + question),
        ] {
            assert!(chain < TOLD - ms(250), "{mode} {grace_us}: {name}: {chain:?}");
        }
        // While nothing changes, 350 dispatchers send fewer than 200 requests a second where requests are
        // expensive, otherwise 400.
        let most = if mode == "on_request" { 200.0 } else { 400.0 };
        assert!(350.0 / told.wait.as_secs_f64() < most, "{mode}");
    }
}

#[test]
fn older_versions_are_not_taken_unless_they_go_on() {
    let ms = Duration::from_millis;
    for (name, answers) in [
        ("in order", vec![(0, 3, true), (100, 3, true), (200, 5, true)]),
        ("one that lags behind", vec![(0, 9, true), (100, 7, false), (200, 9, true), (2000, 8, false)]),
        (
            "begun anew",
            vec![(0, 9, true), (100, 1, false), (500, 1, false), (1000, 2, true), (1100, 2, true)],
        ),
    ] {
        let mut versions = Versions::default();
        for (at, seq, taken) in answers {
            assert_eq!(versions.takes(ms(at), seq), taken, "{name}: {seq} at {at} ms");
        }
    }
}

/// Where requests are expensive, a dispatcher that is rejected or not answered returns less and less often,
/// at randomised times; a local agent is asked as often as before.
#[test]
fn a_registry_with_much_to_do_is_asked_less() {
    let ms = Duration::from_millis;
    for (mode, presses) in [("pushed", true), ("on_request", false)] {
        let mut terms = Terms::default();
        terms.0.insert("registry_mode".into(), Term::Text(mode.into()));
        let told = Patience::told(&terms);
        let pauses: Vec<Duration> = (0..12).map(|times| told.after_refusal(times, 0.5)).collect();
        let waits: Vec<Duration> = (0..12).map(|times| told.after_silence(times)).collect();
        assert_eq!(waits[0], told.at_once, "{mode}");
        if presses {
            assert!(
                pauses.iter().all(|pause| *pause == told.pause)
                    && waits.iter().all(|wait| *wait == told.at_once)
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
                    *at += told.after_refusal(times, part);
                    Some(*at)
                });
                times.filter(|at| (ms(3000)..ms(9000)).contains(at)).count()
            })
            .sum();
        assert!((300..=600).contains(&calls), "{calls}");
    }
}
