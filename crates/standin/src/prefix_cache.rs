//! The prefix cache of one host: hashes of blocks of tokens, evicted by least recent use.

use rustc_hash::FxHashMap;

#[derive(Default)]
pub struct PrefixCache {
    /// When each block was last used, by `clock`.
    blocks: FxHashMap<u64, u64>,
    /// Counts the look-ups.
    clock: u64,
    capacity: usize,
}

impl PrefixCache {
    pub fn new(max_blocks: usize) -> Self {
        PrefixCache { capacity: max_blocks, ..PrefixCache::default() }
    }

    /// How many blocks from the start of a prompt are cached. Afterwards all of its blocks are.
    pub fn look_up_and_insert(&mut self, blocks: &[u64]) -> usize {
        self.clock += 1;
        let found = blocks.iter().take_while(|block| self.blocks.contains_key(block)).count();
        for block in blocks {
            self.blocks.insert(*block, self.clock);
        }
        if self.blocks.len() > self.capacity {
            // Evicts a quarter at once, so that this is rare.
            let mut ages: Vec<u64> = self.blocks.values().copied().collect();
            let at = ages.len() - self.capacity + self.capacity / 4;
            let (_, newest_evicted, _) = ages.select_nth_unstable(at.min(self.blocks.len() - 1));
            let newest_evicted = *newest_evicted;
            self.blocks.retain(|_, used| *used > newest_evicted);
        }
        found
    }

    pub fn clear(&mut self) {
        self.blocks.clear();
    }
}
