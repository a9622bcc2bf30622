//! Cost of the index: look-ups and reads by number of hosts and blocks and by prompt length, and tokens per
//! memory. Ratios within one run are more meaningful than absolute times. No result makes the benchmark fail.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::hint::black_box;
use std::time::{Duration, Instant};
use tulipstall_prefix::chain::{BLOCK_TOKENS, HashKey};
use tulipstall_prefix::index::Index;

const KEY: HashKey = HashKey(*b"0123456789abcdef");

/// The chain of a text of `tokens` tokens, the first `shared_tokens` of which are the same for all texts with
/// the same `shared_text`.
fn chain(shared_text: u32, shared_tokens: u32, own_text: u64, tokens: u32) -> Vec<u64> {
    let mut text = String::new();
    while text.len() < (shared_tokens * 4) as usize {
        text.push_str(&format!("{shared_text:08x} "));
    }
    text.truncate((shared_tokens * 4) as usize);
    while text.len() < (tokens * 4) as usize {
        text.push_str(&format!("{own_text:016x} "));
    }
    let mut out = Vec::new();
    KEY.hash_blocks(0, &text, &mut out);
    out
}

fn median(mut times: Vec<Duration>) -> f64 {
    times.sort();
    times[times.len() / 2].as_nanos() as f64 / 1e3
}

fn main() {
    let text = "the ferry leaves at eight ".repeat(5000);
    let start = Instant::now();
    let mut out = Vec::new();
    KEY.hash_blocks(0, &text[..128_000], &mut out);
    println!(
        "hashing a 32,000-token prompt: {:.0} us, {} blocks",
        start.elapsed().as_nanos() as f64 / 1e3,
        out.len()
    );
    for hosts in [64u32, 512, 4096] {
        let mut index = Index::new(512 << 20);
        let mut rng = Pcg64Mcg::seed_from_u64(1);
        // Each of 40 shared texts of 1,000 tokens is cached at a tenth of the hosts; each host has thirty
        // sessions.
        let (mut reads, mut prompts) = (Vec::new(), Vec::new());
        for host in 0..hosts {
            for i in 0..30u64 {
                let shared = (host * 4 + rng.random_range(0..4)) % 40;
                let prompt = chain(shared, 1000, u64::from(host) << 32 | i, 2000);
                let start = Instant::now();
                index.record_read(Duration::from_secs(1), host, &prompt, false);
                reads.push(start.elapsed());
                if i < 2 {
                    prompts.push(prompt);
                }
            }
        }
        let mut out = Vec::new();
        let mut times = Vec::new();
        let mut found = 0;
        for _ in 0..20 {
            for prompt in prompts.iter().take(500) {
                let start = Instant::now();
                index.look_up(black_box(prompt), &mut out);
                times.push(start.elapsed());
                found += out.len();
            }
        }
        let longest = chain(1, 1000, u64::MAX, 32_000);
        index.record_read(Duration::from_secs(1), 0, &longest, false);
        let long: Vec<Duration> = (0..100)
            .map(|_| {
                let start = Instant::now();
                index.look_up(black_box(&longest), &mut out);
                start.elapsed()
            })
            .collect();
        let (blocks, holdings) = index.sizes();
        let found = found / times.len();
        println!(
            "{hosts:>5} hosts, {blocks:>8} blocks, {holdings:>8} holdings: a prompt of 2,000 tokens {:>6.1} us ({found} hosts have some cached), of 32,000 {:>6.1} us; a read {:>6.1} us",
            median(times),
            median(long),
            median(reads),
        );
        // The worst case of a look-up: all hosts have the same text cached.
        let common = chain(99, 2000, 0, 2000);
        for host in 0..hosts {
            index.record_read(Duration::from_secs(1), host, &common, false);
        }
        let worst: Vec<Duration> = (0..100)
            .map(|_| {
                let start = Instant::now();
                index.look_up(black_box(&common), &mut out);
                start.elapsed()
            })
            .collect();
        let start = Instant::now();
        index.clear_host(0);
        println!(
            "{:>5} hosts with the same text cached: {:>6.1} us; clearing a host: {:.0} us",
            hosts,
            median(worst),
            start.elapsed().as_nanos() as f64 / 1e3
        );
    }
    let index = Index::new(64 << 20);
    println!(
        "64 MiB: {} tokens of texts, each cached at three hosts",
        index.max_blocks() * BLOCK_TOKENS as usize
    );
}
