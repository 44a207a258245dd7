//! The list of runners as it stands at each version, from each view. It owns versions, and which changes are still
//! known; it must never know who asks.

use serde_json::{Value, json};
use std::collections::VecDeque;
use std::sync::Arc;

/// Entries, by view.
pub type Entries = Vec<Vec<Value>>;

/// The list from each view.
pub struct Lists {
    seq: u64,
    hosts: Entries,
    /// The latest changes with their versions, no more than `most`.
    retained: VecDeque<(u64, Entries)>,
    max_retained: usize,
    /// Written out, by view, until the next change.
    whole_json: Vec<Option<Arc<str>>>,
}

impl Lists {
    /// The first version. So many changes are held, for those who ask what has come since.
    pub fn new(hosts: Entries, max_retained: usize) -> Lists {
        let whole_json = vec![None; hosts.len()];
        Lists { seq: 1, hosts, retained: VecDeque::new(), max_retained, whole_json }
    }

    /// The version.
    pub fn seq(&self) -> u64 {
        self.seq
    }

    /// Takes a change.
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

    /// The whole list from a view.
    pub fn whole_list(&mut self, view: usize) -> Arc<str> {
        let (seq, hosts) = (self.seq, &self.hosts[view]);
        let write = || json!({"seq": seq, "whole": true, "hosts": hosts}).to_string().into();
        self.whole_json[view].get_or_insert_with(write).clone()
    }

    /// What has changed since a version, each runner as it is now; none if that is not known any more.
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

/// Later entries in place of earlier ones of the same runner, those that are to be kept.
fn merge(entries: &mut Vec<Value>, changed: &[Value], keep: impl Fn(&Value) -> bool) {
    for entry in changed {
        entries.retain(|old| old["host"] != entry["host"]);
        if keep(entry) {
            entries.push(entry.clone());
        }
    }
}

/// A change as it is told.
pub fn change_object(seq: u64, entries: &[Value]) -> Value {
    json!({"seq": seq, "whole": false, "hosts": entries})
}
