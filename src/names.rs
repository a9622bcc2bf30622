//! Interning of names: maps the names of hosts, tasks, sessions and so on to the small indices that the decisions work
//! with. Each dispatcher has one registry. Every table is bounded; that of tasks by the tasks in progress.

use crate::interface::{CacheKey, Config, ConfigValue, HostStatus, ListedHost, Role};
use rustc_hash::{FxHashMap, FxHashSet, FxHasher};
use slab::Slab;
use std::collections::VecDeque;
use std::hash::Hasher;

/// Bounds on memory, far above what a dispatcher has in use at once.
const MAX_NAMES: usize = 4096;
/// Twice the largest fleet: all of its hosts may drain beside their successors.
const MAX_HOSTS: usize = 8192;
const DEFAULT_MAX_KEYS: usize = 65_536;

/// Hashes a name without a seed, so that every dispatcher computes the same value.
pub fn name_hash(name: &str) -> u64 {
    let mut hasher = FxHasher::default();
    hasher.write(name.as_bytes());
    hasher.finish()
}

/// A table of names whose indices are never reused: zones, kinds, offerings, customers.
#[derive(Default)]
pub struct Interner {
    index: FxHashMap<String, u32>,
    names: Vec<String>,
}

impl Interner {
    pub fn find(&self, name: &str) -> Option<u32> {
        self.index.get(name).copied()
    }

    /// The index of the name, which is added if it is new; absent once the table is full.
    pub fn intern(&mut self, name: &str) -> Option<u32> {
        if let Some(found) = self.find(name) {
            return Some(found);
        }
        if self.names.len() >= MAX_NAMES {
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

/// How many departed hosts keep their slots. By the time a slot is reused, statistics about the departed host have decayed
/// and its shots have ended.
const RETAINED_DEPARTED_HOSTS: usize = 64;

/// Names of hosts. Once enough hosts have departed, the slot of the one that departed first is reused. Without this, a fleet
/// whose hosts are replaced under new names would fill the table while the process runs.
#[derive(Default)]
pub struct HostNames {
    index: FxHashMap<String, u32>,
    /// Name, number of departures, whether the host is departed now.
    slots: Vec<(String, u32, bool)>,
    /// Departures, oldest first: slot and number of departures. Entries of hosts that have come back are stale.
    departures: VecDeque<(u32, u32)>,
    /// How many slots belong to departed hosts.
    departed: usize,
}

impl HostNames {
    pub fn find(&self, name: &str) -> Option<u32> {
        self.index.get(name).copied()
    }

    pub fn name(&self, index: u32) -> Option<&str> {
        self.slots.get(index as usize).map(|(name, ..)| name.as_str())
    }

    /// The index of a host that is present; absent once the table is full.
    pub fn intern(&mut self, name: &str) -> Option<u32> {
        if let Some(found) = self.find(name) {
            self.departed -= usize::from(std::mem::take(&mut self.slots[found as usize].2));
            return Some(found);
        }
        let slot = || (name.to_owned(), 0, false);
        let index = if self.departed > RETAINED_DEPARTED_HOSTS
            || (self.slots.len() >= MAX_HOSTS && self.departed > 0)
        {
            let index = self.take_longest_departed()?;
            let (previous_name, departures, _) = std::mem::replace(&mut self.slots[index as usize], slot());
            self.slots[index as usize].1 = departures;
            self.index.remove(&previous_name);
            self.departed -= 1;
            index
        } else if self.slots.len() < MAX_HOSTS {
            self.slots.push(slot());
            self.slots.len() as u32 - 1
        } else {
            return None;
        };
        self.index.insert(name.to_owned(), index);
        Some(index)
    }

    fn take_longest_departed(&mut self) -> Option<u32> {
        loop {
            let (index, departures) = self.departures.pop_front()?;
            let (_, latest, departed) = self.slots[index as usize];
            if departed && latest == departures {
                return Some(index);
            }
        }
    }

    /// Records that a host has departed. Its slot may be reused later.
    pub fn set_departed(&mut self, index: u32) {
        if let Some((_, departures, departed)) = self.slots.get_mut(index as usize)
            && !std::mem::replace(departed, true)
        {
            *departures = departures.wrapping_add(1);
            self.departures.push_back((index, *departures));
            self.departed += 1;
        }
    }

    /// Records that every host missing from a complete host list has departed.
    pub fn retain_listed(&mut self, listed: &[ListedHost]) {
        let present: FxHashSet<u32> = listed.iter().map(|line| line.host).collect();
        for index in (0..self.slots.len() as u32).filter(|index| !present.contains(index)) {
            self.set_departed(index);
        }
    }
}

/// Names of tasks. The index of a task is reused once the task is removed.
#[derive(Default)]
pub struct TaskNames {
    index: FxHashMap<String, u32>,
    names: Slab<String>,
}

impl TaskNames {
    pub fn find(&self, name: &str) -> Option<u32> {
        self.index.get(name).copied()
    }

    /// The index of the task, which is added if it is new.
    pub fn intern(&mut self, name: &str) -> u32 {
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

    pub fn remove(&mut self, index: u32) {
        if let Some(name) = self.names.try_remove(index as usize) {
            self.index.remove(&name);
        }
    }
}

/// Names of sessions or shared texts. Once the table is full, the oldest slot is reused.
pub struct KeyNames {
    /// Limit of the number of slots.
    max_keys: usize,
    index: FxHashMap<String, u32>,
    /// Name and generation of each slot.
    slots: Vec<(String, u32)>,
    /// The slot that the next new name gets.
    next_slot: usize,
}

impl Default for KeyNames {
    fn default() -> Self {
        KeyNames { max_keys: DEFAULT_MAX_KEYS, index: FxHashMap::default(), slots: Vec::new(), next_slot: 0 }
    }
}

impl KeyNames {
    /// Limits the table to this many names. Call it before the first name only.
    pub fn limit(&mut self, max_keys: usize) {
        self.max_keys = max_keys.clamp(1, DEFAULT_MAX_KEYS);
    }

    /// The key of the name, which is added if it is new.
    pub fn intern(&mut self, name: &str) -> CacheKey {
        let hash = name_hash(name);
        if let Some(&slot) = self.index.get(name) {
            return CacheKey { slot, generation: self.slots[slot as usize].1, hash };
        }
        let slot = self.next_slot;
        self.next_slot = (self.next_slot + 1) % self.max_keys;
        self.index.insert(name.to_owned(), slot as u32);
        match self.slots.get_mut(slot) {
            Some((current_name, generation)) => {
                self.index.remove(current_name.as_str());
                name.clone_into(current_name);
                *generation = generation.wrapping_add(1);
                CacheKey { slot: slot as u32, generation: *generation, hash }
            }
            None => {
                self.slots.push((name.to_owned(), 1));
                CacheKey { slot: slot as u32, generation: 1, hash }
            }
        }
    }
}

/// All names that one dispatcher knows, with their indices.
#[derive(Default)]
pub struct NameRegistry {
    pub hosts: HostNames,
    pub zones: Interner,
    pub kinds: Interner,
    /// Role and memory in tokens of each configured kind.
    kind_properties: Vec<(Role, Option<f64>)>,
    pub offerings: Interner,
    pub customers: Interner,
    pub tasks: TaskNames,
    pub sessions: KeyNames,
    pub shared_texts: KeyNames,
}

impl NameRegistry {
    /// Adds the configured names, each list in its order, and writes the index of the dispatcher's own zone into the
    /// configuration as `zone_index` (-1 if there is none).
    pub fn from_config(config: &mut Config) -> Self {
        let mut registry = NameRegistry::default();
        for (list, names) in [
            ("zones", &mut registry.zones),
            ("kinds", &mut registry.kinds),
            ("offerings", &mut registry.offerings),
            ("customers", &mut registry.customers),
        ] {
            for i in 0..config.list_len(list) {
                let name =
                    config.text(&format!("{list}.{i}.name")).or_else(|| config.text(&format!("{list}.{i}")));
                names.intern(name.unwrap_or_default());
            }
        }
        let zone = config.text("zone").and_then(|zone| registry.zones.find(zone));
        config.0.insert("zone_index".to_owned(), ConfigValue::Number(zone.map_or(-1.0, f64::from)));
        registry.kind_properties =
            (0..config.list_len("kinds")).map(|i| kind_properties(config, i)).collect();
        registry
    }

    /// Builds a host list entry from the names of the host, its kind and its zone; `line` has the fields that do not
    /// depend on names. Absent once a table of names is full.
    pub fn resolve(&mut self, host: &str, kind: &str, zone: &str, line: ListedHost) -> Option<ListedHost> {
        let (index, zone) = (self.hosts.intern(host)?, self.zones.intern(zone)?);
        if line.status == HostStatus::Gone {
            self.hosts.set_departed(index);
        }
        let (role, memory_tokens) = self.role_and_memory(kind);
        Some(ListedHost { host: index, name_hash: name_hash(host), zone, role, memory_tokens, ..line })
    }

    /// Role and memory in tokens of a kind of host, from the configuration.
    pub fn role_and_memory(&self, kind: &str) -> (Role, Option<f64>) {
        let found = self.kinds.find(kind).and_then(|kind| self.kind_properties.get(kind as usize));
        found.copied().unwrap_or_default()
    }
}

fn kind_properties(config: &Config, i: usize) -> (Role, Option<f64>) {
    let role = match config.text(&format!("service.role_by_kind.{i}")) {
        Some("read") => Role::Reader,
        Some("write") => Role::Writer,
        Some("both") => Role::Mixed,
        _ => Role::Unknown,
    };
    (role, config.number(&format!("service.kind_memory_tokens.{i}")))
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A limited table never has more slots than its limit, and a reused slot gets another generation. Without the
    /// limit, clients that name new sessions for ever take a memory that is not theirs.
    #[test]
    fn a_table_of_keys_stays_within_its_limit() {
        let mut keys = KeyNames::default();
        keys.limit(100);
        let first = keys.intern("s0");
        for i in 0..1000 {
            let key = keys.intern(&format!("s{i}"));
            assert!(key.slot < 100, "{i}: {key:?}");
            assert!(keys.slots.len() <= 100 && keys.index.len() <= 100, "{i}");
        }
        let again = keys.intern("s0");
        assert_ne!((again.slot, again.generation), (first.slot, first.generation));
    }

    /// The largest fleet is replaced while all of its old hosts still drain. Without enough slots, new hosts are ignored.
    #[test]
    fn a_large_fleet_and_its_successors_have_slots() {
        const LARGEST_FLEET: u32 = 3200;
        let mut registry = NameRegistry::default();
        for status in [HostStatus::Draining, HostStatus::Running] {
            for i in 0..LARGEST_FLEET {
                let line = ListedHost { status, ..ListedHost::default() };
                assert!(
                    registry.resolve(&format!("{status:?} {i}"), "k", "z", line).is_some(),
                    "{status:?} {i}"
                );
            }
        }
    }

    /// A fleet of ten hosts, one of which is replaced under a new name in each step. Slots are reused, but never that of a
    /// host that is present or has departed recently, and a host that returns in time gets its own slot back.
    #[test]
    fn slots_of_replaced_hosts_are_reused() {
        let line = |status| ListedHost { status, ..ListedHost::default() };
        for complete in [false, true] {
            let mut registry = NameRegistry::default();
            let mut present: VecDeque<(String, u32)> = VecDeque::new();
            let mut departed: Vec<u32> = Vec::new();
            for i in 0..10_000 {
                let name = format!("h{i}");
                let host =
                    registry.resolve(&name, "k", "z", line(HostStatus::Running)).expect("a free slot").host;
                assert!(
                    present.iter().all(|(_, other)| *other != host),
                    "{i}: the slot of a present host was reused"
                );
                assert!(
                    !departed.iter().rev().take(RETAINED_DEPARTED_HOSTS - 1).any(|other| *other == host),
                    "{i}: the slot was reused too early"
                );
                present.push_back((name, host));
                if present.len() > 10 {
                    let (name, host) = present.pop_front().expect("ten hosts");
                    if complete {
                        let listed: Vec<ListedHost> = present
                            .iter()
                            .map(|(_, host)| ListedHost { host: *host, ..ListedHost::default() })
                            .collect();
                        registry.hosts.retain_listed(&listed);
                    } else {
                        assert_eq!(
                            registry.resolve(&name, "k", "z", line(HostStatus::Gone)).map(|l| l.host),
                            Some(host)
                        );
                    }
                    departed.push(host);
                    // One in seven returns before its slot can be reused, and departs again.
                    if i % 7 == 0 {
                        assert_eq!(
                            registry.resolve(&name, "k", "z", line(HostStatus::Running)).map(|l| l.host),
                            Some(host)
                        );
                        registry.hosts.set_departed(host);
                        departed.push(host);
                    }
                }
            }
            assert!(
                registry.hosts.slots.len() < 10 + RETAINED_DEPARTED_HOSTS + 5,
                "{} slots in use",
                registry.hosts.slots.len()
            );
            assert!(
                registry.hosts.departures.len() < 4 * RETAINED_DEPARTED_HOSTS,
                "{} departures queued",
                registry.hosts.departures.len()
            );
        }
    }
}
