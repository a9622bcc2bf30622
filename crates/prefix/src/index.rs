//! Blocks of texts and the hosts that hold them, in memory taken once. A host that holds a block holds all before it:
//! what is let go of goes from the ends. So the hosts of a block are all of those of the next one of its text, and one walk
//! from the last known block to the first gives each host's longest run, passing over blocks whose hosts are as many
//! as the next one's.

use crate::places::Places;
use std::time::Duration;

const NONE: u32 = u32::MAX;

/// Holdings for each block: a text in demand is held by several hosts, one that was asked for once by one.
const HOLDINGS: usize = 3;

/// The part of the blocks that only texts asked for again may fill; the rest is for what came once, so that a flood of
/// texts that never come again pushes out its own kind.
const PROTECTED: f64 = 0.8;

/// What is not touched for so long is thought dropped: many times a session's pause, and engines' caches turn over
/// sooner under load.
const OLD: Duration = Duration::from_secs(600);

/// Holdings dropped for age or want of room with each read, beside those that make room for its own: more than one
/// read adds on average, so that what is due is caught up with, few enough not to be felt.
const SWEEP: usize = 64;

/// The least that a host's observed room may fall to, in blocks: some long prompts.
const LEAST_ROOM: u32 = 256;

/// A list in both directions, by places.
#[derive(Clone, Copy, Debug)]
struct List {
    newest: u32,
    oldest: u32,
}

const EMPTY: List = List { newest: NONE, oldest: NONE };

#[derive(Clone, Copy, Debug)]
struct Block {
    hash: u64,
    parent: u32,
    children: u32,
    /// Its holdings, and how many.
    first: u32,
    holders: u32,
    newer: u32,
    older: u32,
    again: bool,
}

#[derive(Clone, Copy, Debug)]
struct Holding {
    block: u32,
    host: u32,
    /// Tenths of a second.
    at: u32,
    /// How often its host had been doubted by then.
    doubts: u32,
    next: u32,
    before: u32,
    newer: u32,
    older: u32,
}

#[derive(Clone, Copy, Debug)]
struct Host {
    held: u32,
    /// As told, and as its reads show.
    told: u32,
    room: u32,
    list: List,
    /// Whether it is doubted, and how often that has begun: what it read before holds an earlier number.
    doubted: bool,
    doubts: u32,
}

/// Blocks by their hashes, and their hosts.
pub struct Index {
    blocks: Vec<Block>,
    free_blocks: u32,
    by_hash: Places,
    most_blocks: usize,
    once: List,
    again: List,
    protected: usize,
    holdings: Vec<Holding>,
    free_holdings: u32,
    by_pair: Places,
    most_holdings: usize,
    hosts: Vec<Host>,
    /// Scratch for a look-up: which hosts have been seen in which.
    seen: Vec<u32>,
    round: u32,
    path: Vec<u32>,
    bytes: usize,
}

fn mix(block: u32, host: u32) -> u64 {
    // Fibonacci hashing (Knuth, volume 3, section 6.4) of the pair: both are small numbers of our own.
    ((u64::from(host) << 32) | u64::from(block)).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29)
}

impl Index {
    /// For so many bytes in all, taken now; what hosts are known and one prompt's path come to that.
    pub fn new(bytes: usize) -> Self {
        let each = size_of::<Block>() + Places::BYTES + HOLDINGS * (size_of::<Holding>() + Places::BYTES);
        // A twentieth is for hosts and the path of one prompt.
        let most_blocks = (bytes - bytes / 20) / each;
        let most_holdings = most_blocks * HOLDINGS;
        Index {
            blocks: Vec::with_capacity(most_blocks),
            free_blocks: NONE,
            by_hash: Places::new(most_blocks),
            most_blocks,
            once: EMPTY,
            again: EMPTY,
            protected: 0,
            holdings: Vec::with_capacity(most_holdings),
            free_holdings: NONE,
            by_pair: Places::new(most_holdings),
            most_holdings,
            hosts: Vec::new(),
            seen: Vec::new(),
            round: 0,
            path: Vec::new(),
            bytes,
        }
    }

    /// Blocks known, and blocks held counted for each host.
    pub fn sizes(&self) -> (usize, usize) {
        (self.by_hash.len(), self.by_pair.len())
    }

    /// Blocks that it has room for.
    pub fn most_blocks(&self) -> usize {
        self.most_blocks
    }

    /// Bytes that it may take.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Blocks that a host is thought to hold.
    pub fn held(&self, host: u32) -> u32 {
        self.hosts.get(host as usize).map_or(0, |host| host.held)
    }

    fn host(&mut self, host: u32) -> &mut Host {
        let at = host as usize;
        if self.hosts.len() <= at {
            self.hosts.resize(
                at + 1,
                Host { held: 0, told: u32::MAX, room: u32::MAX, list: EMPTY, doubted: false, doubts: 0 },
            );
            self.seen.resize(at + 1, 0);
        }
        &mut self.hosts[at]
    }

    /// How many blocks a host can hold, as told.
    pub fn room(&mut self, host: u32, blocks: u32) {
        let host = self.host(host);
        if host.told != blocks {
            (host.told, host.room) = (blocks, blocks);
        }
    }

    fn find(&self, hash: u64) -> Option<u32> {
        self.by_hash.find(hash, |at| self.blocks[at as usize].hash == hash)
    }

    fn pair(&self, block: u32, host: u32) -> Option<u32> {
        self.by_pair.find(mix(block, host), |at| {
            let holding = &self.holdings[at as usize];
            holding.block == block && holding.host == host
        })
    }

    /// Each host's longest run of a text's blocks, longest first; hosts without any are left out.
    pub fn look_up(&mut self, chain: &[u64], out: &mut Vec<(u32, u32)>) {
        out.clear();
        self.path.clear();
        for hash in chain {
            match self.find(*hash) {
                Some(block) => self.path.push(block),
                None => break,
            }
        }
        self.round = self.round.wrapping_add(1);
        if self.round == 0 {
            (self.round, _) = (1, self.seen.fill(0));
        }
        let mut known = 0;
        for (i, at) in self.path.iter().enumerate().rev() {
            let block = &self.blocks[*at as usize];
            // All of its hosts are the next block's too.
            if block.holders == known {
                continue;
            }
            known = block.holders;
            let mut holding = block.first;
            while holding != NONE {
                let about = &self.holdings[holding as usize];
                if self.seen[about.host as usize] != self.round {
                    self.seen[about.host as usize] = self.round;
                    out.push((about.host, i as u32 + 1));
                }
                holding = about.next;
            }
        }
    }

    /// A host has read a text and holds its blocks; `short` where it held less of them than thought.
    pub fn read(&mut self, now: Duration, host: u32, chain: &[u64], short: bool) {
        let at = (now.as_millis() / 100).min(u128::from(u32::MAX - 1)) as u32;
        self.learn_room(host, short);
        // More than it can hold it does not hold: the text's beginning stays.
        let room = self.host(host).room as usize;
        let most = chain.len().min(room).min(self.most_blocks / 2).min(self.most_holdings / 2);
        self.path.clear();
        let mut path = std::mem::take(&mut self.path);
        let mut parent = NONE;
        for hash in &chain[..most] {
            parent = match self.find(*hash) {
                Some(block) => block,
                None => self.add_block(*hash, parent, &path),
            };
            path.push(parent);
        }
        // From the end, so that a block is newer than those after it.
        for block in path.iter().rev() {
            self.touch_block(*block);
            self.touch_holding(*block, host, at, &path);
        }
        self.path = path;
        self.sweep(host, at);
    }

    /// Room as observed: a host that held less than thought can hold a tenth less than it was thought to hold; one that
    /// is full and held all may have a hundredth more. Settles a little below what it can hold.
    fn learn_room(&mut self, host: u32, short: bool) {
        let host = self.host(host);
        if short {
            let least = LEAST_ROOM.min(host.told);
            host.room = (host.held - host.held / 10).clamp(least, host.told).min(host.room.max(least));
        } else if host.held >= host.room {
            host.room = host.room.saturating_add(host.room / 100 + 1).min(host.told);
        }
    }

    fn add_block(&mut self, hash: u64, parent: u32, path: &[u32]) -> u32 {
        if self.free_blocks == NONE && self.blocks.len() >= self.most_blocks {
            self.drop_oldest_block(path);
        }
        let block = Block {
            hash,
            parent,
            children: 0,
            first: NONE,
            holders: 0,
            newer: NONE,
            older: NONE,
            again: false,
        };
        let at = if self.free_blocks == NONE {
            self.blocks.push(block);
            self.blocks.len() as u32 - 1
        } else {
            let at = self.free_blocks;
            self.free_blocks = self.blocks[at as usize].older;
            self.blocks[at as usize] = block;
            at
        };
        if parent != NONE {
            self.blocks[parent as usize].children += 1;
        }
        self.by_hash.insert(hash, at);
        // Known once: `touch_block` finds it in a list.
        self.link_block(at);
        at
    }

    fn block_list(&mut self, again: bool) -> &mut List {
        if again { &mut self.again } else { &mut self.once }
    }

    fn link_block(&mut self, at: u32) {
        let again = self.blocks[at as usize].again;
        let was = self.block_list(again).newest;
        (self.blocks[at as usize].older, self.blocks[at as usize].newer) = (was, NONE);
        match was {
            NONE => self.block_list(again).oldest = at,
            was => self.blocks[was as usize].newer = at,
        }
        self.block_list(again).newest = at;
        self.protected += usize::from(again);
    }

    fn unlink_block(&mut self, at: u32) {
        let Block { newer, older, again, .. } = self.blocks[at as usize];
        match newer {
            NONE => self.block_list(again).newest = older,
            newer => self.blocks[newer as usize].older = older,
        }
        match older {
            NONE => self.block_list(again).oldest = newer,
            older => self.blocks[older as usize].newer = newer,
        }
        self.protected -= usize::from(again);
    }

    /// It was asked for; a second time it moves up to those that came again.
    fn touch_block(&mut self, at: u32) {
        self.unlink_block(at);
        // One that nobody held until now is new.
        let block = &mut self.blocks[at as usize];
        block.again |= block.holders > 0;
        self.link_block(at);
        while self.protected as f64 > PROTECTED * self.most_blocks as f64 {
            let oldest = self.again.oldest;
            self.unlink_block(oldest);
            self.blocks[oldest as usize].again = false;
            self.link_block(oldest);
        }
    }

    /// Makes room for a block: one that came once goes first, in each kind the oldest, never one of `path`.
    fn drop_oldest_block(&mut self, path: &[u32]) {
        for list in [self.once, self.again] {
            let mut at = list.oldest;
            while at != NONE {
                let block = &self.blocks[at as usize];
                if block.children == 0 && !path.contains(&at) {
                    return self.drop_block(at);
                }
                at = block.newer;
            }
        }
    }

    fn drop_block(&mut self, at: u32) {
        while self.blocks[at as usize].first != NONE {
            self.drop_holding_only(self.blocks[at as usize].first);
        }
        self.remove_block(at);
    }

    fn remove_block(&mut self, at: u32) {
        self.unlink_block(at);
        let Block { hash, parent, .. } = self.blocks[at as usize];
        let blocks = &self.blocks;
        self.by_hash.remove(hash, at, |other| blocks[other as usize].hash);
        if parent != NONE {
            self.blocks[parent as usize].children -= 1;
        }
        (self.blocks[at as usize].older, self.free_blocks) = (self.free_blocks, at);
    }

    fn touch_holding(&mut self, block: u32, host: u32, at: u32, path: &[u32]) {
        let doubts = self.host(host).doubts;
        if let Some(holding) = self.pair(block, host) {
            self.unlink_holding(holding);
            let about = &mut self.holdings[holding as usize];
            (about.at, about.doubts) = (at, doubts);
            self.link_holding(holding);
            return;
        }
        if self.free_holdings == NONE && self.holdings.len() >= self.most_holdings {
            self.drop_one_holding(path);
        }
        let first = self.blocks[block as usize].first;
        let holding =
            Holding { block, host, at, doubts, next: first, before: NONE, newer: NONE, older: NONE };
        let place = if self.free_holdings == NONE {
            self.holdings.push(holding);
            self.holdings.len() as u32 - 1
        } else {
            let place = self.free_holdings;
            self.free_holdings = self.holdings[place as usize].older;
            self.holdings[place as usize] = holding;
            place
        };
        if first != NONE {
            self.holdings[first as usize].before = place;
        }
        self.blocks[block as usize].first = place;
        self.blocks[block as usize].holders += 1;
        self.by_pair.insert(mix(block, host), place);
        self.host(host).held += 1;
        self.link_holding(place);
    }

    fn link_holding(&mut self, at: u32) {
        let host = self.holdings[at as usize].host as usize;
        let was = self.hosts[host].list.newest;
        (self.holdings[at as usize].older, self.holdings[at as usize].newer) = (was, NONE);
        match was {
            NONE => self.hosts[host].list.oldest = at,
            was => self.holdings[was as usize].newer = at,
        }
        self.hosts[host].list.newest = at;
    }

    fn unlink_holding(&mut self, at: u32) {
        let Holding { host, newer, older, .. } = self.holdings[at as usize];
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

    /// Takes a holding away; its block stays, also without any.
    fn drop_holding_only(&mut self, at: u32) {
        self.unlink_holding(at);
        let Holding { block, host, next, before, .. } = self.holdings[at as usize];
        match before {
            NONE => self.blocks[block as usize].first = next,
            before => self.holdings[before as usize].next = next,
        }
        if next != NONE {
            self.holdings[next as usize].before = before;
        }
        self.blocks[block as usize].holders -= 1;
        self.hosts[host as usize].held -= 1;
        let holdings = &self.holdings;
        let hash_of = |at: u32| mix(holdings[at as usize].block, holdings[at as usize].host);
        self.by_pair.remove(mix(block, host), at, hash_of);
        (self.holdings[at as usize].older, self.free_holdings) = (self.free_holdings, at);
    }

    /// Takes a host's oldest holding away, and its block where nobody holds that any more.
    fn drop_oldest_of(&mut self, host: u32, path: &[u32]) {
        let at = self.hosts[host as usize].list.oldest;
        let block = self.holdings[at as usize].block;
        self.drop_holding_only(at);
        let about = &self.blocks[block as usize];
        if about.holders == 0 && about.children == 0 && !path.contains(&block) {
            self.remove_block(block);
        }
    }

    /// Makes room for a holding: by a block that came once, else by the oldest of the host that has most.
    fn drop_one_holding(&mut self, path: &[u32]) {
        let mut at = self.once.oldest;
        while at != NONE {
            let block = &self.blocks[at as usize];
            if block.children == 0 && block.holders > 0 && !path.contains(&at) {
                return self.drop_block(at);
            }
            at = block.newer;
        }
        let most = (0..).zip(&self.hosts).max_by_key(|(_, host)| host.held).map(|(at, _)| at);
        if let Some(host) = most {
            self.drop_oldest_of(host, path);
        }
    }

    /// Lets go of what a host has no room for and of what is old, the oldest first.
    fn sweep(&mut self, host: u32, at: u32) {
        let old = (OLD.as_millis() / 100) as u32;
        let mut left = SWEEP;
        while self.hosts[host as usize].held > self.hosts[host as usize].room {
            self.drop_oldest_of(host, &[]);
        }
        while left > 0 {
            let oldest = self.hosts[host as usize].list.oldest;
            if oldest == NONE || self.holdings[oldest as usize].at.saturating_add(old) > at {
                return;
            }
            self.drop_oldest_of(host, &[]);
            left -= 1;
        }
    }

    /// A host holds nothing any more.
    pub fn forget(&mut self, host: u32) {
        self.trust(host);
        self.forget_doubted(host);
    }

    /// What a host is thought to hold now may be gone; what it reads from here on counts.
    pub fn doubt(&mut self, host: u32) {
        let host = self.host(host);
        (host.doubted, host.doubts) = (true, host.doubts.wrapping_add(1));
    }

    /// Whether a host is doubted, and has read a text up to this block since.
    pub fn since_doubt(&self, host: u32, hash: u64) -> bool {
        let Some(about) = self.hosts.get(host as usize).filter(|host| host.doubted) else { return false };
        let holding = self.find(hash).and_then(|block| self.pair(block, host));
        holding.is_some_and(|at| self.holdings[at as usize].doubts == about.doubts)
    }

    pub fn trust(&mut self, host: u32) {
        self.host(host).doubted = false;
    }

    /// A host holds no more what it was thought to hold when its doubt began, or now where it was not doubted.
    pub fn forget_doubted(&mut self, host: u32) {
        if !self.host(host).doubted {
            self.doubt(host);
        }
        let Host { doubts, mut list, .. } = self.hosts[host as usize];
        // The oldest first: all from before its doubt come before those since.
        while list.oldest != NONE && self.holdings[list.oldest as usize].doubts != doubts {
            self.drop_oldest_of(host, &[]);
            list = self.hosts[host as usize].list;
        }
        let host = self.host(host);
        (host.room, host.doubted) = (host.told, false);
    }
}
