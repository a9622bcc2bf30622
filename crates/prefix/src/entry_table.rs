//! A hash table of entry numbers with a fixed size: open addressing with linear probing, and deletion that
//! moves later entries up (Knuth, volume 3, section 6.4, algorithm R). Unlike the tables of common libraries
//! it is never grown or rehashed, which would take one long step. The entries themselves are stored by the
//! owner of the table.

const EMPTY: u32 = u32::MAX;

/// The table. A slot holds an entry number or `EMPTY`.
pub struct EntryTable {
    slots: Vec<u32>,
    len: usize,
}

impl EntryTable {
    /// Upper limit of the memory per entry, in bytes: the number of slots is the least power of two that
    /// leaves a quarter free.
    pub const BYTES_PER_ENTRY: usize = 11;

    /// A table for at most `max_entries` entries.
    pub fn new(max_entries: usize) -> Self {
        let slot_count = (max_entries * 4 / 3 + 2).next_power_of_two();
        EntryTable { slots: vec![EMPTY; slot_count], len: 0 }
    }

    pub fn len(&self) -> usize {
        self.len
    }

    fn next_slot(&self, slot: usize) -> usize {
        (slot + 1) & (self.slots.len() - 1)
    }

    fn home_slot(&self, hash: u64) -> usize {
        hash as usize & (self.slots.len() - 1)
    }

    /// Finds the entry with this hash for which `matches` is true.
    pub fn find(&self, hash: u64, matches: impl Fn(u32) -> bool) -> Option<u32> {
        let mut slot = self.home_slot(hash);
        while self.slots[slot] != EMPTY {
            if matches(self.slots[slot]) {
                return Some(self.slots[slot]);
            }
            slot = self.next_slot(slot);
        }
        None
    }

    /// Inserts an entry. It must not be in the table yet, and the table must not be full.
    pub fn insert(&mut self, hash: u64, entry: u32) {
        let mut slot = self.home_slot(hash);
        while self.slots[slot] != EMPTY {
            slot = self.next_slot(slot);
        }
        self.slots[slot] = entry;
        self.len += 1;
    }

    /// Removes an entry if it is in the table. `hash_of` returns the hash of any entry of the table.
    pub fn remove(&mut self, hash: u64, entry: u32, hash_of: impl Fn(u32) -> u64) {
        let mut slot = self.home_slot(hash);
        while self.slots[slot] != entry {
            if self.slots[slot] == EMPTY {
                return;
            }
            slot = self.next_slot(slot);
        }
        self.len -= 1;
        let (mut gap, mask) = (slot, self.slots.len() - 1);
        loop {
            slot = self.next_slot(slot);
            let moved = self.slots[slot];
            if moved == EMPTY {
                break;
            }
            // It may move to the gap unless the gap comes before its home slot.
            let home_slot = self.home_slot(hash_of(moved));
            if (slot.wrapping_sub(home_slot) & mask) >= (slot.wrapping_sub(gap) & mask) {
                self.slots[gap] = moved;
                gap = slot;
            }
        }
        self.slots[gap] = EMPTY;
    }
}
