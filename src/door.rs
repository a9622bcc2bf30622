//! Names to small indices, one door for each dispatcher. Every table here is bounded.

use crate::interface::{Key, Listed, Role, Term, Terms};
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
    roles: Vec<(Role, Option<f64>)>,
    pub offerings: Names,
    pub customers: Names,
    pub tasks: Tasks,
    pub sessions: Keys,
    pub shared_texts: Keys,
}

impl Door {
    /// Enters the names told at start, each list in its order, and tells the terms where the own zone is.
    pub fn open(terms: &mut Terms) -> Self {
        let mut door = Door::default();
        for (list, names) in [
            ("zones", &mut door.zones),
            ("kinds", &mut door.kinds),
            ("offerings", &mut door.offerings),
            ("customers", &mut door.customers),
        ] {
            for i in 0..terms.entries(list) {
                let name =
                    terms.text(&format!("{list}.{i}.name")).or_else(|| terms.text(&format!("{list}.{i}")));
                names.enter(name.unwrap_or_default());
            }
        }
        let zone = terms.text("zone").and_then(|zone| door.zones.find(zone));
        terms.0.insert("zone_index".to_owned(), Term::Number(zone.map_or(-1.0, f64::from)));
        door.roles = (0..terms.entries("kinds")).map(|i| kind(terms, i)).collect();
        door
    }

    /// A line of the list of hosts as the decisions know it: `line` has what needs no name. Absent once a table of
    /// names is full.
    pub fn listed(&mut self, host: &str, kind: &str, zone: &str, line: Listed) -> Option<Listed> {
        let (index, zone) = (self.hosts.enter(host)?, self.zones.enter(zone)?);
        let (role, memory_tokens) = self.role(kind);
        Some(Listed { host: index, mark: mark(host), zone, role, memory_tokens, ..line })
    }

    /// Role and memory in tokens of a kind of host, as told at start.
    pub fn role(&self, kind: &str) -> (Role, Option<f64>) {
        let found = self.kinds.find(kind).and_then(|kind| self.roles.get(kind as usize));
        found.copied().unwrap_or_default()
    }
}

fn kind(terms: &Terms, i: usize) -> (Role, Option<f64>) {
    let role = match terms.text(&format!("service.role_by_kind.{i}")) {
        Some("read") => Role::Reader,
        Some("write") => Role::Writer,
        Some("both") => Role::Mixed,
        _ => Role::Unknown,
    };
    (role, terms.number(&format!("service.kind_memory_tokens.{i}")))
}
