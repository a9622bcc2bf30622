//! Following an engine that publishes what it keeps: blocks stored, with their parent, blocks removed, all cleared, in
//! numbered batches, with a way to ask for those from a number on again (the event vocabulary that public serving engines
//! share). Batches come late, twice, in another order or not at all; an engine starts anew and counts from nought; its past
//! may reach less far back than a gap. What comes out is in order, or says that all known before is void. No I/O.

use std::collections::{BTreeMap, HashMap};

/// Batches held behind a gap: a second of a busy engine's. More, and asking again takes longer than beginning anew.
const HELD: usize = 256;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told {
    Stored { blocks: Vec<u64>, parent: Option<u64> },
    Removed { blocks: Vec<u64> },
    Cleared,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    pub number: u64,
    /// What differs between two lives of an engine, where it tells that.
    pub life: Option<u64>,
    pub told: Vec<Told>,
}

/// What the follower wants next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Want {
    Nothing,
    /// All batches from this number on.
    Again {
        from: u64,
    },
}

/// Where in an engine's numbers a follower is.
#[derive(Debug, Default)]
pub struct Follower {
    /// The number that comes next; absent before the first word.
    next: Option<u64>,
    life: Option<u64>,
    held: BTreeMap<u64, Vec<Told>>,
    /// Asked for from this number, and not answered yet.
    asked: Option<u64>,
}

impl Follower {
    /// The number that comes next, which a new connection asks for.
    pub fn next(&self) -> u64 {
        self.next.unwrap_or(0)
    }

    /// A batch came, live or again; what is in order now is appended.
    pub fn batch(&mut self, batch: Batch, out: &mut Vec<Told>) -> Want {
        let begins_anew = match (self.life, batch.life) {
            (Some(was), Some(is)) => was != is,
            // Nought once more, and not asked for: the engine counts anew. A first batch that came twice costs what was
            // known; that a new life were missed would leave what is not kept.
            _ => batch.number == 0 && self.next() > 0 && self.asked.is_none(),
        };
        if begins_anew {
            self.void(0, out);
        }
        self.life = batch.life.or(self.life);
        let next = *self.next.get_or_insert(0);
        if batch.number < next {
            return Want::Nothing;
        }
        self.held.insert(batch.number, batch.told);
        if self.held.len() > HELD {
            // Too far behind: what is known is void, and begins with the newest.
            let newest = self.held.last_key_value().map_or(next, |(number, _)| *number);
            let last = self.held.remove(&newest);
            self.void(newest, out);
            self.held.extend(last.map(|last| (newest, last)));
        }
        self.in_order(out);
        self.want()
    }

    /// The engine's answer to being asked again: it goes back to this number only.
    pub fn reaches_back_to(&mut self, oldest: u64, out: &mut Vec<Told>) -> Want {
        self.asked = None;
        if oldest > self.next() {
            let held = std::mem::take(&mut self.held);
            self.void(oldest, out);
            self.held = held.into_iter().filter(|(number, _)| *number >= oldest).collect();
        }
        self.in_order(out);
        self.want()
    }

    /// The connection broke: what was asked for may never come.
    pub fn broke(&mut self) -> Want {
        self.asked = None;
        Want::Again { from: self.next() }
    }

    fn void(&mut self, next: u64, out: &mut Vec<Told>) {
        out.push(Told::Cleared);
        self.held.clear();
        (self.next, self.asked) = (Some(next), None);
    }

    fn in_order(&mut self, out: &mut Vec<Told>) {
        let mut next = self.next();
        while let Some(told) = self.held.remove(&next) {
            out.extend(told);
            next += 1;
        }
        self.next = Some(next);
        // What was asked for has come as far as the gap went.
        if self.held.is_empty() {
            self.asked = None;
        }
    }

    fn want(&mut self) -> Want {
        let next = self.next();
        if self.held.is_empty() || self.asked == Some(next) {
            return Want::Nothing;
        }
        self.asked = Some(next);
        Want::Again { from: next }
    }
}

/// What one engine keeps, by its own names for blocks.
#[derive(Debug, Default)]
pub struct View {
    /// Each block's parent.
    blocks: HashMap<u64, Option<u64>>,
    most: usize,
}

impl View {
    /// Of so many blocks at the most: past it, what is stored is passed over, and fewer are known than kept.
    pub fn new(most: usize) -> Self {
        View { blocks: HashMap::new(), most }
    }

    pub fn take(&mut self, told: &Told) {
        match told {
            Told::Stored { blocks, parent } => {
                let mut parent = *parent;
                for block in blocks {
                    if self.blocks.len() >= self.most && !self.blocks.contains_key(block) {
                        return;
                    }
                    self.blocks.insert(*block, parent);
                    parent = Some(*block);
                }
            }
            Told::Removed { blocks } => {
                for block in blocks {
                    self.blocks.remove(block);
                }
            }
            Told::Cleared => self.blocks.clear(),
        }
    }

    /// How many of a prompt's blocks it keeps, from the first on: a block without its parent cannot be used.
    pub fn run(&self, chain: &[u64]) -> usize {
        let mut parent = None;
        let holds = |block: &&u64| {
            let held = self.blocks.get(*block) == Some(&parent);
            parent = Some(**block);
            held
        };
        chain.iter().take_while(holds).count()
    }

    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }
}
