//! The versioned runner list of each view, and the latest changes for calls that ask from a version on.

use serde_json::{Value, json};
use std::collections::VecDeque;
use std::sync::Arc;

/// Entries of runners, by view.
pub type Entries = Vec<Vec<Value>>;

/// The runner list of each view.
pub struct Lists {
    seq: u64,
    hosts: Entries,
    /// The latest changes with their versions, at most `max_retained`.
    retained: VecDeque<(u64, Entries)>,
    max_retained: usize,
    /// The whole list as JSON, by view, cached until the next change.
    whole_json: Vec<Option<Arc<str>>>,
}

impl Lists {
    /// Creates version 1 of the lists. At most `max_retained` changes are kept.
    pub fn new(hosts: Entries, max_retained: usize) -> Lists {
        let whole_json = vec![None; hosts.len()];
        Lists { seq: 1, hosts, retained: VecDeque::new(), max_retained, whole_json }
    }

    /// Returns the current version.
    pub fn seq(&self) -> u64 {
        self.seq
    }

    /// Applies a change given as entries for each view.
    pub fn apply(&mut self, changed: &[Vec<Value>]) {
        self.seq += 1;
        for (hosts, changed) in self.hosts.iter_mut().zip(changed) {
            merge(hosts, changed, |entry| entry["health"] != "left");
        }
        self.whole_json.fill(None);
        self.retained.push_back((self.seq, changed.to_vec()));
        while self.retained.len() > self.max_retained {
            self.retained.pop_front();
        }
    }

    /// Returns the whole list of a view as JSON.
    pub fn whole_list(&mut self, view: usize) -> Arc<str> {
        let (seq, hosts) = (self.seq, &self.hosts[view]);
        let write = || json!({"seq": seq, "whole": true, "hosts": hosts}).to_string().into();
        self.whole_json[view].get_or_insert_with(write).clone()
    }

    /// Returns the changes since a version, with the latest entry of each runner, or `None` if they are no
    /// longer kept.
    pub fn changes_since(&self, view: usize, version: u64) -> Option<Value> {
        let reaches_back = self.retained.front().map(|(first, _)| *first <= version.saturating_add(1));
        let known = reaches_back.unwrap_or(version == self.seq && self.max_retained > 0);
        if !known || version > self.seq {
            return None;
        }
        let mut changed = Vec::new();
        for (_, entries) in self.retained.iter().filter(|(seq, _)| *seq > version) {
            merge(&mut changed, &entries[view], |_| true);
        }
        Some(change_object(self.seq, &changed))
    }
}

/// Replaces earlier entries by later ones of the same runner, and adds only those for which `keep` is true.
fn merge(entries: &mut Vec<Value>, changed: &[Value], keep: impl Fn(&Value) -> bool) {
    for entry in changed {
        entries.retain(|old| old["host"] != entry["host"]);
        if keep(entry) {
            entries.push(entry.clone());
        }
    }
}

/// Returns a change as the JSON object sent to watches.
pub fn change_object(seq: u64, entries: &[Value]) -> Value {
    json!({"seq": seq, "whole": false, "hosts": entries})
}
