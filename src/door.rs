//! Names to small indices, one door for each dispatcher. Every table here is bounded.

use crate::interface::Key;
use rustc_hash::{FxHashMap, FxHasher};
use slab::Slab;
use std::hash::Hasher;

/// Memory bounds only: far above what a dispatcher has in use at once.
const NAMES: usize = 4096;
const KEYS: usize = 65_536;

/// A name's hash, without a seed, so that every dispatcher has the same.
pub fn mark(name: &str) -> u64 {
    let mut hasher = FxHasher::default();
    hasher.write(name.as_bytes());
    hasher.finish()
}

/// Names that are not given back: hosts, zones, kinds, offerings, customers.
#[derive(Default)]
pub struct Names {
    index: FxHashMap<String, u32>,
    names: Vec<String>,
}

impl Names {
    pub fn find(&self, name: &str) -> Option<u32> {
        self.index.get(name).copied()
    }

    /// The name's index; absent once the table is full.
    pub fn enter(&mut self, name: &str) -> Option<u32> {
        if let Some(found) = self.find(name) {
            return Some(found);
        }
        if self.names.len() >= NAMES {
            return None;
        }
        let index = self.names.len() as u32;
        self.names.push(name.to_owned());
        self.index.insert(name.to_owned(), index);
        Some(index)
    }

    pub fn name(&self, index: u32) -> Option<&str> {
        self.names.get(index as usize).map(String::as_str)
    }
}

/// Tasks: an index is given out again once the task is forgotten.
#[derive(Default)]
pub struct Tasks {
    index: FxHashMap<String, u32>,
    names: Slab<String>,
}

impl Tasks {
    pub fn find(&self, name: &str) -> Option<u32> {
        self.index.get(name).copied()
    }

    pub fn enter(&mut self, name: &str) -> u32 {
        if let Some(found) = self.find(name) {
            return found;
        }
        let index = self.names.insert(name.to_owned()) as u32;
        self.index.insert(name.to_owned(), index);
        index
    }

    pub fn name(&self, index: u32) -> Option<&str> {
        self.names.get(index as usize).map(String::as_str)
    }

    pub fn forget(&mut self, index: u32) {
        if let Some(name) = self.names.try_remove(index as usize) {
            self.index.remove(&name);
        }
    }
}

/// Sessions and shared texts: past the bound the place entered longest ago gets a new owner.
#[derive(Default)]
pub struct Keys {
    index: FxHashMap<String, u32>,
    owners: Vec<(String, u32)>,
    next: usize,
}

impl Keys {
    pub fn enter(&mut self, name: &str) -> Key {
        let mark = mark(name);
        if let Some(&place) = self.index.get(name) {
            return Key { place, turn: self.owners[place as usize].1, mark };
        }
        let place = self.next;
        self.next = (self.next + 1) % KEYS;
        self.index.insert(name.to_owned(), place as u32);
        match self.owners.get_mut(place) {
            Some((owner, turn)) => {
                self.index.remove(owner.as_str());
                name.clone_into(owner);
                *turn = turn.wrapping_add(1);
                Key { place: place as u32, turn: *turn, mark }
            }
            None => {
                self.owners.push((name.to_owned(), 1));
                Key { place: place as u32, turn: 1, mark }
            }
        }
    }
}

#[derive(Default)]
pub struct Door {
    pub hosts: Names,
    pub zones: Names,
    pub kinds: Names,
    pub offerings: Names,
    pub customers: Names,
    pub tasks: Tasks,
    pub sessions: Keys,
    pub shared_texts: Keys,
}
