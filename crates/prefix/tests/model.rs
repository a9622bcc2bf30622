//! The index against a simple model, a map of everything, under random reads, cache losses, capacities and
//! look-ups.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tulipstall_prefix::chain::{BLOCK_TOKENS, HashKey};
use tulipstall_prefix::index::Index;

const KEY: HashKey = HashKey(*b"0123456789abcdef");

/// A text with a paragraph for each choice. Texts with the same first choices share a prefix.
fn text(choices: &[u32]) -> String {
    choices
        .iter()
        .map(|choice| format!("ย่อหน้า {choice} the ferry leaves at {choice:04} ").repeat(3))
        .collect()
}

fn chain(text: &str) -> Vec<u64> {
    let mut out = Vec::new();
    KEY.hash_blocks(0, text, &mut out);
    out
}

/// By host: the hashes of all blocks that it has cached.
#[derive(Default)]
struct Model(BTreeMap<u32, BTreeSet<u64>>);

impl Model {
    fn run(&self, host: u32, chain: &[u64]) -> u32 {
        let held = self.0.get(&host);
        chain.iter().take_while(|hash| held.is_some_and(|held| held.contains(hash))).count() as u32
    }
}

fn runs(index: &mut Index, chain: &[u64]) -> BTreeMap<u32, u32> {
    let mut out = Vec::new();
    index.look_up(chain, &mut out);
    let all: BTreeMap<u32, u32> = out.iter().copied().collect();
    assert_eq!(all.len(), out.len(), "a host is listed twice");
    all
}

/// With sufficient memory, the index agrees with the model to the block.
#[test]
fn with_sufficient_memory_it_equals_the_model() {
    for seed in 0..40 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut index = Index::new(4 << 20);
        let mut model = Model::default();
        let hosts = rng.random_range(1..12);
        for step in 0..400u64 {
            let choices: Vec<u32> = (0..rng.random_range(1..8)).map(|_| rng.random_range(0..3)).collect();
            let chain = chain(&text(&choices));
            let host = rng.random_range(0..hosts);
            match rng.random_range(0..20) {
                0 => {
                    index.clear_host(host);
                    model.0.remove(&host);
                }
                1..=8 => {
                    index.record_read(Duration::from_millis(step * 10), host, &chain, false);
                    model.0.entry(host).or_default().extend(&chain);
                }
                _ => {
                    let found = runs(&mut index, &chain);
                    for host in 0..hosts {
                        let expected = model.run(host, &chain);
                        assert_eq!(
                            found.get(&host).copied().unwrap_or(0),
                            expected,
                            "seed {seed} step {step}"
                        );
                    }
                }
            }
            let held: usize = model.0.values().map(BTreeSet::len).sum();
            assert_eq!(index.sizes().1, held, "seed {seed} step {step}");
        }
    }
}

/// With too little memory, the index never reports more than the model has; a host never has more blocks than
/// its capacity, and always the beginning of what it has read last.
#[test]
fn with_too_little_memory_it_reports_less_but_never_more() {
    for seed in 0..40 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut index = Index::new([8_000, 20_000, 60_000][seed as usize % 3]);
        let mut model = Model::default();
        let capacity = rng.random_range(10..60);
        for host in 0..6 {
            index.set_capacity(host, capacity);
        }
        for step in 0..600u64 {
            let choices: Vec<u32> = (0..rng.random_range(1..6)).map(|_| rng.random_range(0..4)).collect();
            let chain = chain(&text(&choices));
            let host = rng.random_range(0..6);
            match rng.random_range(0..25) {
                0 => {
                    index.clear_host(host);
                    model.0.remove(&host);
                    assert_eq!(index.held_blocks(host), 0);
                }
                1..=14 => {
                    index.record_read(Duration::from_millis(step * 10), host, &chain, false);
                    model.0.entry(host).or_default().extend(&chain);
                    assert!(index.held_blocks(host) <= capacity, "seed {seed} step {step}");
                    // At least the beginning of what the host has just read is reported.
                    assert!(
                        chain.is_empty() || runs(&mut index, &chain).contains_key(&host),
                        "seed {seed} {step}"
                    );
                }
                _ => {
                    for (host, run) in runs(&mut index, &chain) {
                        assert!(run > 0 && run <= model.run(host, &chain), "seed {seed} step {step}");
                    }
                }
            }
        }
    }
}

/// Holdings past the maximum age are dropped by later reads.
#[test]
fn old_holdings_are_dropped() {
    let mut index = Index::new(1 << 20);
    let (old, new) = (chain(&text(&[1, 1, 1])), chain(&text(&[2, 2, 2])));
    index.record_read(Duration::ZERO, 0, &old, false);
    index.record_read(Duration::from_secs(599), 0, &new, false);
    assert_eq!(runs(&mut index, &old).get(&0), Some(&(old.len() as u32)));
    index.record_read(Duration::from_secs(601), 0, &new, false);
    assert!(runs(&mut index, &old).is_empty());
    assert_eq!(index.sizes().0, new.len(), "blocks without holdings are dropped too");
}

/// The same prefix gives the same hashes, whatever follows; another salt or key gives other hashes;
/// characters are never split.
#[test]
fn chains_depend_on_content_salt_and_key() {
    let (one, other) = (text(&[1, 2, 3, 3, 3]), text(&[1, 2, 4, 4, 4]));
    let (a, b) = (chain(&one), chain(&other));
    let same = a.iter().zip(&b).take_while(|(a, b)| a == b).count();
    let shared = one.bytes().zip(other.bytes()).take_while(|(a, b)| a == b).count();
    assert!(same > 0 && same < a.len(), "{same} of {}", a.len());
    // All complete blocks of the shared prefix. 128 bytes are one block of ASCII; other text has fewer tokens
    // per byte.
    assert!((shared / (4 * BLOCK_TOKENS as usize)) <= same, "{same} blocks of {shared} bytes");
    assert_eq!(chain(&format!("{one}{}", "x".repeat(1000)))[..a.len()], a[..]);
    let mut salted = Vec::new();
    KEY.hash_blocks(7, &one, &mut salted);
    let mut keyed = Vec::new();
    HashKey(*b"another key here").hash_blocks(0, &one, &mut keyed);
    assert!(a.iter().all(|hash| !salted.contains(hash) && !keyed.contains(hash)));
    assert!(chain("").is_empty() && chain("short").is_empty());
}
