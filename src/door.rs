//! Names to small indices, one door for each dispatcher. Every table here is bounded.

use crate::interface::{Key, Listed, Role, Standing, Term, Terms};
use rustc_hash::{FxHashMap, FxHashSet, FxHasher};
use slab::Slab;
use std::collections::VecDeque;
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

/// Names that are not given back: zones, kinds, offerings, customers.
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

/// Hosts that have left whose places are kept: what is still known of them fades before a place gets a new owner, and
/// shots that were out have ended.
const LEFT: usize = 64;

/// Hosts: past some that have left, the place of the one that left longest ago gets a new owner. Holds against fleets
/// whose hosts are replaced under new names for as long as the process lives.
#[derive(Default)]
pub struct Hosts {
    index: FxHashMap<String, u32>,
    /// Name, how many times it has left, whether it is gone now.
    names: Vec<(String, u32, bool)>,
    left: VecDeque<(u32, u32)>,
    gone: usize,
}

impl Hosts {
    pub fn find(&self, name: &str) -> Option<u32> {
        self.index.get(name).copied()
    }

    pub fn name(&self, index: u32) -> Option<&str> {
        self.names.get(index as usize).map(|(name, ..)| name.as_str())
    }

    /// The index of a host that is there; absent once all places are taken.
    pub fn enter(&mut self, name: &str) -> Option<u32> {
        if let Some(found) = self.find(name) {
            self.gone -= usize::from(std::mem::take(&mut self.names[found as usize].2));
            return Some(found);
        }
        let owner = || (name.to_owned(), 0, false);
        let index = if self.gone > LEFT || (self.names.len() >= NAMES && self.gone > 0) {
            let index = self.longest_gone()?;
            let (before, times, _) = std::mem::replace(&mut self.names[index as usize], owner());
            self.names[index as usize].1 = times;
            self.index.remove(&before);
            self.gone -= 1;
            index
        } else if self.names.len() < NAMES {
            self.names.push(owner());
            self.names.len() as u32 - 1
        } else {
            return None;
        };
        self.index.insert(name.to_owned(), index);
        Some(index)
    }

    fn longest_gone(&mut self) -> Option<u32> {
        loop {
            let (index, times) = self.left.pop_front()?;
            let (_, now, gone) = self.names[index as usize];
            if gone && now == times {
                return Some(index);
            }
        }
    }

    pub fn leaves(&mut self, index: u32) {
        if let Some((_, times, gone)) = self.names.get_mut(index as usize)
            && !std::mem::replace(gone, true)
        {
            *times = times.wrapping_add(1);
            self.left.push_back((index, *times));
            self.gone += 1;
        }
    }

    /// A whole list has been entered: who is not on it has left.
    pub fn only(&mut self, listed: &[Listed]) {
        let there: FxHashSet<u32> = listed.iter().map(|line| line.host).collect();
        for index in (0..self.names.len() as u32).filter(|index| !there.contains(index)) {
            self.leaves(index);
        }
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
    pub hosts: Hosts,
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
        if line.standing == Standing::Gone {
            self.hosts.leaves(index);
        }
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

#[cfg(test)]
mod tests {
    use super::*;

    /// A fleet of ten, one replaced under a new name each time: places are given anew, never one that is still there or
    /// has left of late, and a host that comes back in time has its own.
    #[test]
    fn replaced_hosts_get_their_places_anew() {
        let line = |standing| Listed { standing, ..Listed::default() };
        for whole in [false, true] {
            let mut door = Door::default();
            let mut there: VecDeque<(String, u32)> = VecDeque::new();
            let mut left: Vec<u32> = Vec::new();
            for i in 0..10_000 {
                let name = format!("h{i}");
                let host = door.listed(&name, "k", "z", line(Standing::Running)).expect("a place").host;
                assert!(there.iter().all(|(_, other)| *other != host), "{i}: a host's place is given away");
                assert!(!left.iter().rev().take(LEFT - 1).any(|other| *other == host), "{i}: too early");
                there.push_back((name, host));
                if there.len() > 10 {
                    let (name, host) = there.pop_front().expect("ten");
                    if whole {
                        let listed: Vec<Listed> = there
                            .iter()
                            .map(|(_, host)| Listed { host: *host, ..Listed::default() })
                            .collect();
                        door.hosts.only(&listed);
                    } else {
                        assert_eq!(
                            door.listed(&name, "k", "z", line(Standing::Gone)).map(|l| l.host),
                            Some(host)
                        );
                    }
                    left.push(host);
                    // One in seven is back before anybody could take its place, and leaves again.
                    if i % 7 == 0 {
                        assert_eq!(
                            door.listed(&name, "k", "z", line(Standing::Running)).map(|l| l.host),
                            Some(host)
                        );
                        door.hosts.leaves(host);
                        left.push(host);
                    }
                }
            }
            assert!(door.hosts.names.len() < 10 + LEFT + 5, "{} places", door.hosts.names.len());
            assert!(door.hosts.left.len() < 4 * LEFT, "{} have left", door.hosts.left.len());
        }
    }
}
