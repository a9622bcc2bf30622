//! Changes of the host list on their way to the decisions. They are merged outside the queue of requests and
//! outcomes, so that however fast the registry reports changes, at most one list waits there.

use crate::lock;
use std::collections::HashMap;
use std::sync::Mutex;
use tulipstall_core::{HostRow, Input};

/// Lists that the decisions have not taken yet, merged into one.
#[derive(Default)]
pub struct HostChanges {
    pending: Mutex<Option<PendingList>>,
}

#[derive(Default)]
struct PendingList {
    /// It contains a complete list: hosts that are not on it are gone.
    complete: bool,
    rows: Vec<HostRow>,
    /// The row of each host.
    index: HashMap<String, usize>,
}

impl PendingList {
    /// Adds a later row, in place of an earlier one of the same host.
    fn add(&mut self, row: HostRow) {
        match self.index.get(&row.host) {
            Some(&at) => self.rows[at] = row,
            None => {
                self.index.insert(row.host.clone(), self.rows.len());
                self.rows.push(row);
            }
        }
    }
}

impl HostChanges {
    /// Merges a later list into the pending one. Returns whether the owner has to be told: none was pending, or the
    /// pending one becomes complete, which makes it due at once.
    pub fn add(&self, complete: bool, rows: Vec<HostRow>) -> bool {
        let mut pending = lock(&self.pending);
        let must_tell = pending.as_ref().is_none_or(|list| complete && !list.complete);
        if complete {
            *pending = None;
        }
        let list = pending.get_or_insert_default();
        list.complete |= complete;
        rows.into_iter().for_each(|row| list.add(row));
        must_tell
    }

    /// Whether a complete list is pending.
    pub fn is_complete(&self) -> bool {
        lock(&self.pending).as_ref().is_some_and(|list| list.complete)
    }

    /// Takes the pending list as an input of the decisions.
    pub fn take(&self) -> Option<Input> {
        let list = lock(&self.pending).take()?;
        Some(Input::HostList { complete: list.complete, rows: list.rows })
    }
}

#[cfg(test)]
mod tests;
