use super::*;
use tulipstall::interface::Term;

/// What is asked just before the registry is back goes unanswered: the next try comes inside the grace.
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
        // What an open watch misses counts 6 s after it fell silent, or 2 s after its wait.
        assert!(told.pause < Duration::from_millis(200) && told.late < Duration::from_secs(2));
        assert!(told.wait + told.late + told.pause < Duration::from_secs(7));
    }
}

/// From a good answer on, whatever goes wrong once with each of a watch, its successor and the question after it:
/// the list is refreshed before what is newer counts as told, with the grace to spare.
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
        // A new watch that says nothing; what is news to it comes like an answer to a question.
        let unheard = question + told.resumes.unwrap_or_default();
        let silent = told.wait + told.late;
        for (name, chain) in [
            ("a silent watch, a silent question, a good one", silent + unheard + question + told.whole),
            ("a watch that trickles, a good question", silent + told.whole + question + told.whole),
            ("a silent watch, then a registry that begins anew", silent + question + OLDER + question),
        ] {
            assert!(chain < TOLD - ms(250), "{mode} {grace_us}: {name}: {chain:?}");
        }
        // While nothing happens 350 dispatchers ask less than 200 times a second where calls are dear, else 400.
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

/// Where calls are dear whoever is refused or not heard comes back less and less, spread by chance; an agent on the own
/// machine is asked as before.
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
        // 300 that are refused at once: within 6 s each comes back some times, never many at once for good.
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
