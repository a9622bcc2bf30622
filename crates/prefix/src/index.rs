//! Index of hashed prompt blocks and of the hosts that have them cached, in memory allocated once.
//!
//! A host that holds a block also holds all blocks before it in the text, as blocks are dropped from the ends
//! of texts. The hosts of a block are therefore a superset of those of the next block. One walk from the last
//! known block of a prompt back to the first gives the longest run of each host, and may skip blocks with as
//! many hosts as the block after them.

use crate::entry_table::EntryTable;
use std::time::Duration;

const NONE: u32 = u32::MAX;

/// Holdings (pairs of block and host) per block: a text in demand is cached at several hosts, a text
/// requested once at one.
const HOLDINGS_PER_BLOCK: usize = 3;

/// Part of the blocks that may be marked as reused. The rest is left to blocks that were requested once, so
/// that a flood of texts that are never requested again only evicts texts of its own sort.
const REUSED_PART: f64 = 0.8;

/// A holding that is not read for this long is considered evicted. This is many times the pause between two
/// requests of a session, and the caches of engines under load are replaced sooner.
const MAX_AGE: Duration = Duration::from_secs(600);

/// Maximum number of holdings dropped for their age with each read, in addition to those that make room for
/// the read itself. More than a read adds on average, so that the backlog is worked off, and few enough not
/// to delay a read.
const SWEEP_LIMIT: usize = 64;

/// Lower limit of the learned capacity of a host, in blocks: a few long prompts.
const MIN_CAPACITY_BLOCKS: u32 = 256;

/// Ends of a doubly linked list, as indices.
#[derive(Clone, Copy, Debug)]
struct List {
    newest: u32,
    oldest: u32,
}

const EMPTY: List = List { newest: NONE, oldest: NONE };

/// A block of a text.
#[derive(Clone, Copy, Debug)]
struct Block {
    hash: u64,
    parent: u32,
    /// Number of known blocks that follow this one directly.
    children: u32,
    /// Start of the list of the block's holdings, and their number.
    first_holding: u32,
    holder_count: u32,
    /// Neighbours in the list of reused blocks or of those requested once.
    newer: u32,
    older: u32,
    /// Requested again since it became known.
    reused: bool,
}

/// A block cached at a host.
#[derive(Clone, Copy, Debug)]
struct Holding {
    block: u32,
    host: u32,
    /// Time of the last read, in tenths of a second.
    last_read_ds: u32,
    /// Number of suspicions of the host at the time of the last read.
    suspicions: u32,
    /// Neighbours in the list of the block's holdings.
    next: u32,
    previous: u32,
    /// Neighbours in the list of the host's holdings.
    newer: u32,
    older: u32,
}

#[derive(Clone, Copy, Debug)]
struct Host {
    held_blocks: u32,
    /// Capacity in blocks as reported in the host list.
    reported_capacity: u32,
    /// Capacity in blocks as learned from the host's reads, at most the reported one.
    capacity: u32,
    list: List,
    /// Whether the host is suspected to have lost its cache.
    suspected: bool,
    /// How often a suspicion has begun. Holdings read before the latest one have a lower count.
    suspicions: u32,
}

/// Blocks by their hashes, with the hosts that have them cached.
pub struct Index {
    blocks: Vec<Block>,
    /// Start of the list of free entries, linked by `older`.
    free_blocks: u32,
    by_hash: EntryTable,
    max_blocks: usize,
    /// Blocks requested once, and blocks requested again.
    once_list: List,
    reused_list: List,
    reused_count: usize,
    holdings: Vec<Holding>,
    /// Start of the list of free entries, linked by `older`.
    free_holdings: u32,
    by_pair: EntryTable,
    max_holdings: usize,
    hosts: Vec<Host>,
    /// By host: the number of the look-up that found it last.
    seen_in_lookup: Vec<u32>,
    lookup: u32,
    /// Scratch space: the blocks of one prompt.
    path: Vec<u32>,
    max_bytes: usize,
}

fn pair_hash(block: u32, host: u32) -> u64 {
    // Fibonacci hashing (Knuth, volume 3, section 6.4). The input is not under a client's control: both are
    // small indices.
    ((u64::from(host) << 32) | u64::from(block)).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29)
}

impl Index {
    /// An index of at most `bytes` bytes in all. Blocks and holdings are allocated now; the known hosts and
    /// the path of one prompt come in addition, within the same limit.
    pub fn new(bytes: usize) -> Self {
        let bytes_per_block = size_of::<Block>()
            + EntryTable::BYTES_PER_ENTRY
            + HOLDINGS_PER_BLOCK * (size_of::<Holding>() + EntryTable::BYTES_PER_ENTRY);
        // A twentieth is reserved for the hosts and the path of one prompt.
        let max_blocks = (bytes - bytes / 20) / bytes_per_block;
        let max_holdings = max_blocks * HOLDINGS_PER_BLOCK;
        Index {
            blocks: Vec::with_capacity(max_blocks),
            free_blocks: NONE,
            by_hash: EntryTable::new(max_blocks),
            max_blocks,
            once_list: EMPTY,
            reused_list: EMPTY,
            reused_count: 0,
            holdings: Vec::with_capacity(max_holdings),
            free_holdings: NONE,
            by_pair: EntryTable::new(max_holdings),
            max_holdings,
            hosts: Vec::new(),
            seen_in_lookup: Vec::new(),
            lookup: 0,
            path: Vec::new(),
            max_bytes: bytes,
        }
    }

    /// Number of blocks, and number of holdings: pairs of a block and a host that has it cached.
    pub fn sizes(&self) -> (usize, usize) {
        (self.by_hash.len(), self.by_pair.len())
    }

    /// Maximum number of blocks.
    pub fn max_blocks(&self) -> usize {
        self.max_blocks
    }

    /// Maximum memory in bytes.
    pub fn max_bytes(&self) -> usize {
        self.max_bytes
    }

    /// Number of blocks that a host is estimated to have cached.
    pub fn held_blocks(&self, host: u32) -> u32 {
        self.hosts.get(host as usize).map_or(0, |host| host.held_blocks)
    }

    /// The entry of a host, created if needed.
    fn host(&mut self, host: u32) -> &mut Host {
        let index = host as usize;
        if self.hosts.len() <= index {
            self.hosts.resize(
                index + 1,
                Host {
                    held_blocks: 0,
                    reported_capacity: u32::MAX,
                    capacity: u32::MAX,
                    list: EMPTY,
                    suspected: false,
                    suspicions: 0,
                },
            );
            self.seen_in_lookup.resize(index + 1, 0);
        }
        &mut self.hosts[index]
    }

    /// Sets the reported capacity of a host, in blocks. A changed value replaces the learned capacity.
    pub fn set_capacity(&mut self, host: u32, capacity: u32) {
        let host = self.host(host);
        if host.reported_capacity != capacity {
            (host.reported_capacity, host.capacity) = (capacity, capacity);
        }
    }

    fn find_block(&self, hash: u64) -> Option<u32> {
        self.by_hash.find(hash, |index| self.blocks[index as usize].hash == hash)
    }

    fn find_holding(&self, block: u32, host: u32) -> Option<u32> {
        self.by_pair.find(pair_hash(block, host), |index| {
            let holding = &self.holdings[index as usize];
            holding.block == block && holding.host == host
        })
    }

    /// For each host the number of blocks that it has cached from the start of a prompt, longest run first.
    /// Hosts without any are left out.
    pub fn look_up(&mut self, chain: &[u64], out: &mut Vec<(u32, u32)>) {
        out.clear();
        self.path.clear();
        for hash in chain {
            match self.find_block(*hash) {
                Some(block) => self.path.push(block),
                None => break,
            }
        }
        self.lookup = self.lookup.wrapping_add(1);
        if self.lookup == 0 {
            (self.lookup, _) = (1, self.seen_in_lookup.fill(0));
        }
        let mut known_holders = 0;
        for (i, index) in self.path.iter().enumerate().rev() {
            let block = &self.blocks[*index as usize];
            // As many hosts as the next block has: the same hosts.
            if block.holder_count == known_holders {
                continue;
            }
            known_holders = block.holder_count;
            let mut holding = block.first_holding;
            while holding != NONE {
                let entry = &self.holdings[holding as usize];
                if self.seen_in_lookup[entry.host as usize] != self.lookup {
                    self.seen_in_lookup[entry.host as usize] = self.lookup;
                    out.push((entry.host, i as u32 + 1));
                }
                holding = entry.next;
            }
        }
    }

    /// Records that a host has read (prefilled) a prompt and has its blocks cached now. `evicted`: it had
    /// fewer of them cached than estimated.
    pub fn record_read(&mut self, now: Duration, host: u32, chain: &[u64], evicted: bool) {
        let now_ds = (now.as_millis() / 100).min(u128::from(u32::MAX - 1)) as u32;
        self.learn_capacity(host, evicted);
        // Of a prompt that exceeds the capacity, the beginning is recorded.
        let capacity = self.host(host).capacity as usize;
        let recorded = chain.len().min(capacity).min(self.max_blocks / 2).min(self.max_holdings / 2);
        self.path.clear();
        let mut path = std::mem::take(&mut self.path);
        let mut parent = NONE;
        for hash in &chain[..recorded] {
            parent = match self.find_block(*hash) {
                Some(block) => block,
                None => self.add_block(*hash, parent, &path),
            };
            path.push(parent);
        }
        // In reverse, so that each block is newer than those after it and is evicted later.
        for block in path.iter().rev() {
            self.touch_block(*block);
            self.touch_holding(*block, host, now_ds, &path);
        }
        self.path = path;
        self.sweep(host, now_ds);
    }

    /// Learns the capacity of a host: a tenth below the estimated number of cached blocks if some of them
    /// were evicted, and a hundredth more if the host is full and had all of them. Settles slightly below the
    /// true capacity.
    fn learn_capacity(&mut self, host: u32, evicted: bool) {
        let host = self.host(host);
        if evicted {
            let min_capacity = MIN_CAPACITY_BLOCKS.min(host.reported_capacity);
            host.capacity = (host.held_blocks - host.held_blocks / 10)
                .clamp(min_capacity, host.reported_capacity)
                .min(host.capacity.max(min_capacity));
        } else if host.held_blocks >= host.capacity {
            host.capacity = host.capacity.saturating_add(host.capacity / 100 + 1).min(host.reported_capacity);
        }
    }

    fn add_block(&mut self, hash: u64, parent: u32, path: &[u32]) -> u32 {
        if self.free_blocks == NONE && self.blocks.len() >= self.max_blocks {
            self.make_room_for_block(path);
        }
        let block = Block {
            hash,
            parent,
            children: 0,
            first_holding: NONE,
            holder_count: 0,
            newer: NONE,
            older: NONE,
            reused: false,
        };
        let index = if self.free_blocks == NONE {
            self.blocks.push(block);
            self.blocks.len() as u32 - 1
        } else {
            let index = self.free_blocks;
            self.free_blocks = self.blocks[index as usize].older;
            self.blocks[index as usize] = block;
            index
        };
        if parent != NONE {
            self.blocks[parent as usize].children += 1;
        }
        self.by_hash.insert(hash, index);
        // In the list of blocks requested once, as `touch_block` expects it in a list.
        self.link_block(index);
        index
    }

    fn block_list(&mut self, reused: bool) -> &mut List {
        if reused { &mut self.reused_list } else { &mut self.once_list }
    }

    fn link_block(&mut self, index: u32) {
        let reused = self.blocks[index as usize].reused;
        let newest = self.block_list(reused).newest;
        (self.blocks[index as usize].older, self.blocks[index as usize].newer) = (newest, NONE);
        match newest {
            NONE => self.block_list(reused).oldest = index,
            newest => self.blocks[newest as usize].newer = index,
        }
        self.block_list(reused).newest = index;
        self.reused_count += usize::from(reused);
    }

    fn unlink_block(&mut self, index: u32) {
        let Block { newer, older, reused, .. } = self.blocks[index as usize];
        match newer {
            NONE => self.block_list(reused).newest = older,
            newer => self.blocks[newer as usize].older = older,
        }
        match older {
            NONE => self.block_list(reused).oldest = newer,
            older => self.blocks[older as usize].newer = newer,
        }
        self.reused_count -= usize::from(reused);
    }

    /// Records a request for a block; with the second one it is marked as reused.
    fn touch_block(&mut self, index: u32) {
        self.unlink_block(index);
        // Without a holder it is new.
        let block = &mut self.blocks[index as usize];
        block.reused |= block.holder_count > 0;
        self.link_block(index);
        while self.reused_count as f64 > REUSED_PART * self.max_blocks as f64 {
            let oldest = self.reused_list.oldest;
            self.unlink_block(oldest);
            self.blocks[oldest as usize].reused = false;
            self.link_block(oldest);
        }
    }

    /// Makes room for a block: drops the oldest one without children that was requested once, otherwise the
    /// oldest reused one. Blocks of `path` are kept.
    fn make_room_for_block(&mut self, path: &[u32]) {
        for list in [self.once_list, self.reused_list] {
            let mut index = list.oldest;
            while index != NONE {
                let block = &self.blocks[index as usize];
                if block.children == 0 && !path.contains(&index) {
                    return self.drop_block(index);
                }
                index = block.newer;
            }
        }
    }

    /// Removes a block with its holdings.
    fn drop_block(&mut self, index: u32) {
        while self.blocks[index as usize].first_holding != NONE {
            self.drop_holding_only(self.blocks[index as usize].first_holding);
        }
        self.remove_block(index);
    }

    /// Removes a block that has no holdings.
    fn remove_block(&mut self, index: u32) {
        self.unlink_block(index);
        let Block { hash, parent, .. } = self.blocks[index as usize];
        let blocks = &self.blocks;
        self.by_hash.remove(hash, index, |other| blocks[other as usize].hash);
        if parent != NONE {
            self.blocks[parent as usize].children -= 1;
        }
        (self.blocks[index as usize].older, self.free_blocks) = (self.free_blocks, index);
    }

    /// Records that a host has read a block.
    fn touch_holding(&mut self, block: u32, host: u32, now_ds: u32, path: &[u32]) {
        let suspicions = self.host(host).suspicions;
        if let Some(holding) = self.find_holding(block, host) {
            self.unlink_holding(holding);
            let entry = &mut self.holdings[holding as usize];
            (entry.last_read_ds, entry.suspicions) = (now_ds, suspicions);
            self.link_holding(holding);
            return;
        }
        if self.free_holdings == NONE && self.holdings.len() >= self.max_holdings {
            self.make_room_for_holding(path);
        }
        let first_holding = self.blocks[block as usize].first_holding;
        let holding = Holding {
            block,
            host,
            last_read_ds: now_ds,
            suspicions,
            next: first_holding,
            previous: NONE,
            newer: NONE,
            older: NONE,
        };
        let index = if self.free_holdings == NONE {
            self.holdings.push(holding);
            self.holdings.len() as u32 - 1
        } else {
            let index = self.free_holdings;
            self.free_holdings = self.holdings[index as usize].older;
            self.holdings[index as usize] = holding;
            index
        };
        if first_holding != NONE {
            self.holdings[first_holding as usize].previous = index;
        }
        self.blocks[block as usize].first_holding = index;
        self.blocks[block as usize].holder_count += 1;
        self.by_pair.insert(pair_hash(block, host), index);
        self.host(host).held_blocks += 1;
        self.link_holding(index);
    }

    fn link_holding(&mut self, index: u32) {
        let host = self.holdings[index as usize].host as usize;
        let newest = self.hosts[host].list.newest;
        (self.holdings[index as usize].older, self.holdings[index as usize].newer) = (newest, NONE);
        match newest {
            NONE => self.hosts[host].list.oldest = index,
            newest => self.holdings[newest as usize].newer = index,
        }
        self.hosts[host].list.newest = index;
    }

    fn unlink_holding(&mut self, index: u32) {
        let Holding { host, newer, older, .. } = self.holdings[index as usize];
        let list = &mut self.hosts[host as usize].list;
        match newer {
            NONE => list.newest = older,
            newer => self.holdings[newer as usize].older = older,
        }
        match older {
            NONE => list.oldest = newer,
            older => self.holdings[older as usize].newer = newer,
        }
    }

    /// Removes a holding. Its block stays, even without holdings.
    fn drop_holding_only(&mut self, index: u32) {
        self.unlink_holding(index);
        let Holding { block, host, next, previous, .. } = self.holdings[index as usize];
        match previous {
            NONE => self.blocks[block as usize].first_holding = next,
            previous => self.holdings[previous as usize].next = next,
        }
        if next != NONE {
            self.holdings[next as usize].previous = previous;
        }
        self.blocks[block as usize].holder_count -= 1;
        self.hosts[host as usize].held_blocks -= 1;
        let holdings = &self.holdings;
        let hash_of = |index: u32| pair_hash(holdings[index as usize].block, holdings[index as usize].host);
        self.by_pair.remove(pair_hash(block, host), index, hash_of);
        (self.holdings[index as usize].older, self.free_holdings) = (self.free_holdings, index);
    }

    /// Removes a host's oldest holding, and its block if no host has it cached any more. Blocks of `path` are
    /// kept.
    fn drop_oldest_holding_of(&mut self, host: u32, path: &[u32]) {
        let index = self.hosts[host as usize].list.oldest;
        let block = self.holdings[index as usize].block;
        self.drop_holding_only(index);
        let entry = &self.blocks[block as usize];
        if entry.holder_count == 0 && entry.children == 0 && !path.contains(&block) {
            self.remove_block(block);
        }
    }

    /// Makes room for a holding: drops the oldest block that was requested once, otherwise the oldest holding
    /// of the host with most holdings. Blocks of `path` are kept.
    fn make_room_for_holding(&mut self, path: &[u32]) {
        let mut index = self.once_list.oldest;
        while index != NONE {
            let block = &self.blocks[index as usize];
            if block.children == 0 && block.holder_count > 0 && !path.contains(&index) {
                return self.drop_block(index);
            }
            index = block.newer;
        }
        let largest = (0..).zip(&self.hosts).max_by_key(|(_, host)| host.held_blocks).map(|(index, _)| index);
        if let Some(host) = largest {
            self.drop_oldest_holding_of(host, path);
        }
    }

    /// Drops a host's holdings beyond its capacity and those past the maximum age, oldest first.
    fn sweep(&mut self, host: u32, now_ds: u32) {
        let max_age_ds = (MAX_AGE.as_millis() / 100) as u32;
        let mut remaining = SWEEP_LIMIT;
        while self.hosts[host as usize].held_blocks > self.hosts[host as usize].capacity {
            self.drop_oldest_holding_of(host, &[]);
        }
        while remaining > 0 {
            let oldest = self.hosts[host as usize].list.oldest;
            if oldest == NONE
                || self.holdings[oldest as usize].last_read_ds.saturating_add(max_age_ds) > now_ds
            {
                return;
            }
            self.drop_oldest_holding_of(host, &[]);
            remaining -= 1;
        }
    }

    /// Records that a host has nothing cached any more.
    pub fn clear_host(&mut self, host: u32) {
        self.clear_suspicion(host);
        self.drop_suspected_holdings(host);
    }

    /// Marks a host as suspected to have lost its cache. What it reads from now on is not affected.
    pub fn suspect(&mut self, host: u32) {
        let host = self.host(host);
        (host.suspected, host.suspicions) = (true, host.suspicions.wrapping_add(1));
    }

    /// Whether a host is suspected and has read a prompt up to this block since the suspicion began.
    pub fn read_since_suspicion(&self, host: u32, hash: u64) -> bool {
        let Some(entry) = self.hosts.get(host as usize).filter(|host| host.suspected) else { return false };
        let holding = self.find_block(hash).and_then(|block| self.find_holding(block, host));
        holding.is_some_and(|index| self.holdings[index as usize].suspicions == entry.suspicions)
    }

    /// Ends the suspicion of a host; its holdings stay.
    pub fn clear_suspicion(&mut self, host: u32) {
        self.host(host).suspected = false;
    }

    /// Records that a host has lost its cache: drops the holdings from before its suspicion began, or all of
    /// them if it is not suspected.
    pub fn drop_suspected_holdings(&mut self, host: u32) {
        if !self.host(host).suspected {
            self.suspect(host);
        }
        let Host { suspicions, mut list, .. } = self.hosts[host as usize];
        // Oldest first: all holdings from before the suspicion come before those read since.
        while list.oldest != NONE && self.holdings[list.oldest as usize].suspicions != suspicions {
            self.drop_oldest_holding_of(host, &[]);
            list = self.hosts[host as usize].list;
        }
        let host = self.host(host);
        (host.capacity, host.suspected) = (host.reported_capacity, false);
    }
}
