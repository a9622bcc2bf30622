//! Memory under a flood of texts, counted by the allocator. The test has a process of its own, so that
//! nothing else is counted.

use cap::Cap;
use std::alloc::System;
use std::time::Duration;
use tulipstall_prefix::chain::HashKey;
use tulipstall_prefix::index::Index;

#[global_allocator]
static MEMORY: Cap<System> = Cap::new(System, usize::MAX);

fn chain(text: u32) -> Vec<u64> {
    let mut out = Vec::new();
    HashKey(*b"0123456789abcdef").hash_blocks(
        0,
        &format!("ย่อหน้า {text} the ferry leaves at {text:04} ").repeat(32),
        &mut out,
    );
    out
}

/// A flood of texts that are never requested again must not exceed the memory limit at any time, and must not
/// evict texts in demand.
#[test]
fn a_flood_stays_below_the_memory_limit_and_keeps_texts_in_demand() {
    const LIMIT_BYTES: usize = 2 << 20;
    let demanded: Vec<Vec<u64>> = (0..20).map(|i| chain(100 + i)).collect();
    let floods: Vec<Vec<u64>> = (0..6000).map(|i| chain(1000 + i)).collect();
    let hosts = 64;
    let mut found = Vec::with_capacity(1 << 12);
    let hits = |index: &mut Index, found: &mut Vec<(u32, u32)>| -> usize {
        let held = |chain: &Vec<u64>| {
            index.look_up(chain, found);
            usize::from(found.iter().any(|(_, run)| *run as usize == chain.len()))
        };
        demanded.iter().map(held).sum()
    };
    let before = MEMORY.allocated();
    let mut index = Index::new(LIMIT_BYTES);
    let mut peak = MEMORY.allocated() - before;
    for (i, flood) in floods.iter().enumerate() {
        let now = Duration::from_millis(i as u64 * 5);
        // One in ten reads is of a text in demand.
        if i % 10 == 0 {
            index.record_read(now, (i % hosts) as u32, &demanded[(i / 10) % 20], false);
        }
        index.record_read(now, ((i * 7) % hosts) as u32, flood, false);
        peak = peak.max(MEMORY.allocated().saturating_sub(before));
        if i > 400 {
            assert_eq!(hits(&mut index, &mut found), 20, "at text {i}");
        }
    }
    assert!(peak <= LIMIT_BYTES, "{peak} bytes used of {LIMIT_BYTES}");
    assert!(peak > LIMIT_BYTES / 4, "{peak} bytes used: too few to test the limit");
    let blocks: usize = floods.iter().map(Vec::len).sum();
    assert!(index.sizes().0 < blocks / 2, "the whole flood fits into the index, so that nothing is evicted");
}
