//! Confidence in the index: a single host, and many hosts that lose their caches at once.

use std::time::Duration;
use tulipstall_prefix::chain::HashKey;
use tulipstall_prefix::confidence::{Confidence, Evidence};
use tulipstall_prefix::{CachedPrefix, PrefixIndex};

fn s(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

#[test]
fn confidence_in_a_host_follows_its_reads() {
    // Reads as (estimated, found); the evidence of the last one; the bounds of the confidence after it.
    type Case = (&'static str, &'static [(u32, u32)], Evidence, f64, f64);
    let cases: [Case; 9] = [
        ("nothing known", &[], Evidence::TooLittle, 1.0, 1.0),
        ("confirmed", &[(10, 10), (40, 40)], Evidence::Confirms, 1.0, 1.0),
        ("ends of texts evicted", &[(40, 30), (40, 30), (40, 30), (40, 30)], Evidence::Evicted, 0.7, 0.85),
        ("within the difference of token counts", &[(40, 33), (40, 33)], Evidence::Confirms, 0.8, 0.95),
        ("one contradiction", &[(40, 0)], Evidence::Contradicts, 0.2, 0.4),
        ("two contradictions in a row", &[(40, 0), (40, 0)], Evidence::CacheLost, 1.0, 1.0),
        (
            "two contradictions with a confirmation between them",
            &[(40, 0), (40, 40), (40, 0)],
            Evidence::Contradicts,
            0.3,
            0.6,
        ),
        ("estimates too small for evidence", &[(3, 0), (3, 0), (3, 0)], Evidence::TooLittle, 1.0, 1.0),
        ("more found than estimated", &[(10, 50)], Evidence::Confirms, 1.0, 1.0),
    ];
    for (what, reads, evidence, min, max) in cases {
        let mut confidence = Confidence::default();
        let mut last = Evidence::TooLittle;
        for (i, (estimated, found)) in reads.iter().enumerate() {
            last = confidence.record_read(s(i as f64), 5, *estimated, *found);
        }
        assert_eq!(last, evidence, "{what}");
        let value = confidence.of(s(9.0), 5);
        assert!((min..=max).contains(&value), "{what}: {value}");
        assert!(
            confidence.of(s(9.0), 6) == 1.0 && !confidence.fleet_suspected(),
            "{what}: it affects another host"
        );
    }
}

/// Seven of ten hosts lose their caches at once. Guards against one wasted read per text, and against lasting
/// suspicion of the other hosts.
#[test]
fn a_mass_cache_loss_costs_one_or_two_reads_per_host() {
    let mut confidence = Confidence::default();
    for host in 0..10 {
        assert_eq!(confidence.record_read(s(1.0), host, 40, 40), Evidence::Confirms);
    }
    let (mut wasted, mut now) = (0, 2.0);
    for host in 0..7 {
        let mut cache_lost = false;
        while !cache_lost {
            now += 0.1;
            wasted += 1;
            cache_lost = confidence.record_read(s(now), host, 40, 0) == Evidence::CacheLost;
        }
        assert!(confidence.of(s(now), host) == 1.0, "host {host}: new reads have full confidence");
        // From the third of ten hosts on the fleet is suspected, with the hosts that have not read anything
        // since.
        assert_eq!(confidence.fleet_suspected(), host >= 2, "host {host}");
        if host >= 2 {
            assert!(confidence.of(s(now), 9) < 0.75, "host {host}: {}", confidence.of(s(now), 9));
        }
    }
    // Two each for the first three hosts, until the fleet is suspected; one each for the other four.
    assert_eq!(wasted, 10);
    for host in 7..10 {
        now += 0.1;
        assert_eq!(confidence.record_read(s(now), host, 40, 40), Evidence::Confirms);
        assert_eq!(confidence.of(s(now), host), 1.0, "host {host} has confirmed the index since");
    }
    for host in 0..7 {
        now += 0.1;
        assert_eq!(confidence.record_read(s(now), host, 40, 40), Evidence::Confirms);
    }
    assert!(!confidence.fleet_suspected(), "no host contradicts the index any more");
}

/// The same with the index: a host that has lost its cache is no longer reported for the lost texts, and what
/// it reads afterwards is reported at once with full confidence.
#[test]
fn after_a_cache_loss_only_new_reads_count() {
    let key = HashKey([7; 16]);
    let chain = |text: u32| {
        let mut out = Vec::new();
        key.hash_blocks(0, &format!("text {text} ").repeat(200), &mut out);
        out
    };
    let mut prefixes = PrefixIndex::new(1 << 20);
    prefixes.update_host(0, Some(10_000), false);
    let mut estimates: Vec<CachedPrefix> = Vec::new();
    for text in 0..50 {
        prefixes.record_read(s(1.0), 0, &chain(text), 0, 0);
    }
    for text in 0..2 {
        prefixes.estimate(s(2.0), &chain(text), &mut estimates);
        let estimated = estimates[0].blocks;
        assert_eq!(estimated as usize, chain(text).len());
        prefixes.record_read(s(2.0), 0, &chain(text), estimated, 0);
        // A new text between the two contradictions has full confidence at once, while the old ones are
        // suspected.
        prefixes.record_read(s(2.0), 0, &chain(60 + text), 0, 0);
        for (other, expected) in [(text, true), (60 + text, true), (49, false)] {
            prefixes.estimate(s(2.0), &chain(other), &mut estimates);
            let certain = estimates.first().is_some_and(|estimate| estimate.confidence == 1.0);
            assert_eq!(certain, expected, "text {other} after text {text}");
        }
    }
    for text in 2..50 {
        prefixes.estimate(s(3.0), &chain(text), &mut estimates);
        assert!(estimates.is_empty(), "text {text} is still reported");
    }
    for text in [0, 1, 60, 61] {
        prefixes.estimate(s(3.0), &chain(text), &mut estimates);
        assert_eq!(
            (estimates.len(), estimates[0].blocks as usize, estimates[0].confidence),
            (1, chain(text).len(), 1.0)
        );
    }
    // The host was restarted: nothing is cached any more.
    prefixes.update_host(0, Some(10_000), true);
    prefixes.estimate(s(4.0), &chain(1), &mut estimates);
    assert!(estimates.is_empty());
}
