//! How far the index is believed, as tables: one host, a mass forget, what costs and when it returns.

use std::time::Duration;
use tulipstall_prefix::belief::{Beliefs, Sign};
use tulipstall_prefix::chain::Key;
use tulipstall_prefix::{Kept, Prefixes};

fn s(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

#[test]
fn one_host_is_believed_as_far_as_its_reads_bear_out() {
    // Reads as (thought, found); whether it has forgotten by the last of them, and the belief after it.
    type Case = (&'static str, &'static [(u32, u32)], Sign, f64, f64);
    let cases: [Case; 9] = [
        ("nothing known", &[], Sign::Silent, 1.0, 1.0),
        ("borne out", &[(10, 10), (40, 40)], Sign::Sound, 1.0, 1.0),
        ("ends of texts are evicted", &[(40, 30), (40, 30), (40, 30), (40, 30)], Sign::Evicted, 0.7, 0.85),
        ("within what counting differs by", &[(40, 33), (40, 33)], Sign::Sound, 0.8, 0.95),
        ("one plain contradiction", &[(40, 0)], Sign::Contradicts, 0.2, 0.4),
        ("two of them", &[(40, 0), (40, 0)], Sign::Forgot, 1.0, 1.0),
        ("two with one that was right between", &[(40, 0), (40, 40), (40, 0)], Sign::Contradicts, 0.3, 0.6),
        ("too little to tell", &[(3, 0), (3, 0), (3, 0)], Sign::Silent, 1.0, 1.0),
        ("more than thought is no sign", &[(10, 50)], Sign::Sound, 1.0, 1.0),
    ];
    for (what, reads, forgot, least, most) in cases {
        let mut beliefs = Beliefs::default();
        let mut last = Sign::Silent;
        for (i, (thought, found)) in reads.iter().enumerate() {
            last = beliefs.note(s(i as f64), 5, *thought, *found);
        }
        assert_eq!(last, forgot, "{what}");
        let belief = beliefs.of(s(9.0), 5);
        assert!((least..=most).contains(&belief), "{what}: {belief}");
        assert!(
            beliefs.of(s(9.0), 6) == 1.0 && !beliefs.doubted(),
            "{what}: another host is not doubted for it"
        );
    }
}

/// Ten hosts, seven of which forget at once: how many reads are sent in vain, and that the sound ones are believed again.
#[test]
fn a_mass_forget_costs_a_read_or_two_a_host() {
    let mut beliefs = Beliefs::default();
    for host in 0..10 {
        assert_eq!(beliefs.note(s(1.0), host, 40, 40), Sign::Sound);
    }
    let (mut vain, mut now) = (0, 2.0);
    for host in 0..7 {
        let mut forgot = false;
        while !forgot {
            now += 0.1;
            vain += 1;
            forgot = beliefs.note(s(now), host, 40, 0) == Sign::Forgot;
        }
        assert!(beliefs.of(s(now), host) == 1.0, "what it reads from here on is known");
        // From the fourth of ten on the fleet is doubted, also those that have said nothing yet.
        assert_eq!(beliefs.doubted(), host >= 2, "{host}");
        if host >= 2 {
            assert!(beliefs.of(s(now), 9) < 0.75, "{host}: {}", beliefs.of(s(now), 9));
        }
    }
    // Two each for the first three, until the fleet is doubted; one each for the other four.
    assert_eq!(vain, 10);
    for host in 7..10 {
        now += 0.1;
        assert_eq!(beliefs.note(s(now), host, 40, 40), Sign::Sound);
        assert_eq!(beliefs.of(s(now), host), 1.0, "heard of since, and sound");
    }
    for host in 0..7 {
        now += 0.1;
        assert_eq!(beliefs.note(s(now), host, 40, 40), Sign::Sound);
    }
    assert!(!beliefs.doubted(), "all say that it is over");
}

/// The same through the index: nothing is steered to what a host has lost, and what it reads anew is known at once.
#[test]
fn a_host_that_has_forgotten_is_known_by_what_it_reads_anew() {
    let key = Key([7; 16]);
    let chain = |text: u32| {
        let mut out = Vec::new();
        key.chain(0, &format!("text {text} ").repeat(200), &mut out);
        out
    };
    let mut prefixes = Prefixes::new(1 << 20);
    prefixes.listed(0, Some(10_000), false);
    let mut kept: Vec<Kept> = Vec::new();
    for text in 0..50 {
        prefixes.read(s(1.0), 0, &chain(text), 0, 0);
    }
    for text in 0..2 {
        prefixes.ask(s(2.0), &chain(text), &mut kept);
        let thought = kept[0].blocks;
        assert_eq!(thought as usize, chain(text).len());
        prefixes.read(s(2.0), 0, &chain(text), thought, 0);
        // A text that nobody held comes between the two that show it: known at once, while the others are doubted.
        prefixes.read(s(2.0), 0, &chain(60 + text), 0, 0);
        for (of, believed) in [(text, true), (60 + text, true), (49, false)] {
            prefixes.ask(s(2.0), &chain(of), &mut kept);
            let sure = kept.first().is_some_and(|kept| kept.belief == 1.0);
            assert_eq!(sure, believed, "{of} after {text}");
        }
    }
    for text in 2..50 {
        prefixes.ask(s(3.0), &chain(text), &mut kept);
        assert!(kept.is_empty(), "{text} is gone");
    }
    for text in [0, 1, 60, 61] {
        prefixes.ask(s(3.0), &chain(text), &mut kept);
        assert_eq!((kept.len(), kept[0].blocks as usize, kept[0].belief), (1, chain(text).len(), 1.0));
    }
    // Its process began anew: nothing is left.
    prefixes.listed(0, Some(10_000), true);
    prefixes.ask(s(4.0), &chain(1), &mut kept);
    assert!(kept.is_empty());
}
