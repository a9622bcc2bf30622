//! A hash table of places whose size is fixed from the start: open addressing with linear probing, and removal that moves
//! the followers up (Knuth, volume 3, section 6.4, algorithm R), so that it neither grows nor has to be put in order now
//! and then, which tables of the usual libraries do in one long step. What is at a place is for its owner to tell.

const EMPTY: u32 = u32::MAX;

pub struct Places {
    slots: Vec<u32>,
    len: usize,
}

impl Places {
    /// Bytes for each place at the most: the size is a power of two with a quarter free.
    pub const BYTES: usize = 11;

    /// For so many places at the most.
    pub fn new(most: usize) -> Self {
        let size = (most * 4 / 3 + 2).next_power_of_two();
        Places { slots: vec![EMPTY; size], len: 0 }
    }

    pub fn len(&self) -> usize {
        self.len
    }

    fn next(&self, slot: usize) -> usize {
        (slot + 1) & (self.slots.len() - 1)
    }

    fn home(&self, hash: u64) -> usize {
        hash as usize & (self.slots.len() - 1)
    }

    /// The place under this hash that fits.
    pub fn find(&self, hash: u64, fits: impl Fn(u32) -> bool) -> Option<u32> {
        let mut slot = self.home(hash);
        while self.slots[slot] != EMPTY {
            if fits(self.slots[slot]) {
                return Some(self.slots[slot]);
            }
            slot = self.next(slot);
        }
        None
    }

    /// Enters a place that is not there yet, of which there is room for.
    pub fn insert(&mut self, hash: u64, place: u32) {
        let mut slot = self.home(hash);
        while self.slots[slot] != EMPTY {
            slot = self.next(slot);
        }
        self.slots[slot] = place;
        self.len += 1;
    }

    /// Takes a place out; `hash_of` tells the hash of any place that is in.
    pub fn remove(&mut self, hash: u64, place: u32, hash_of: impl Fn(u32) -> u64) {
        let mut slot = self.home(hash);
        while self.slots[slot] != place {
            if self.slots[slot] == EMPTY {
                return;
            }
            slot = self.next(slot);
        }
        self.len -= 1;
        let (mut gap, mask) = (slot, self.slots.len() - 1);
        loop {
            slot = self.next(slot);
            let follower = self.slots[slot];
            if follower == EMPTY {
                break;
            }
            // It may move up to the gap if that is not before its own home.
            let home = self.home(hash_of(follower));
            if (slot.wrapping_sub(home) & mask) >= (slot.wrapping_sub(gap) & mask) {
                self.slots[gap] = follower;
                gap = slot;
            }
        }
        self.slots[gap] = EMPTY;
    }
}
