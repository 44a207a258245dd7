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
    held: VecDeque<(u64, Entries)>,
    most: usize,
    /// Written out, by view, until the next change.
    whole: Vec<Option<Arc<str>>>,
}

impl Lists {
    /// The first version. So many changes are held, for those who ask what has come since.
    pub fn new(hosts: Entries, most: usize) -> Lists {
        let whole = vec![None; hosts.len()];
        Lists { seq: 1, hosts, held: VecDeque::new(), most, whole }
    }

    /// The version.
    pub fn seq(&self) -> u64 {
        self.seq
    }

    /// Takes a change.
    pub fn change(&mut self, changed: &[Vec<Value>]) {
        self.seq += 1;
        for (held, changed) in self.hosts.iter_mut().zip(changed) {
            merge(held, changed, |entry| entry["health"] != "left");
        }
        self.whole.fill(None);
        self.held.push_back((self.seq, changed.to_vec()));
        while self.held.len() > self.most {
            self.held.pop_front();
        }
    }

    /// The whole list from a view.
    pub fn whole(&mut self, view: usize) -> Arc<str> {
        let (seq, hosts) = (self.seq, &self.hosts[view]);
        let write = || json!({"seq": seq, "whole": true, "hosts": hosts}).to_string().into();
        self.whole[view].get_or_insert_with(write).clone()
    }

    /// What has changed since a version, each runner as it is now; none if that is not known any more.
    pub fn since(&self, view: usize, version: u64) -> Option<Value> {
        let held = self.held.front().map(|(first, _)| *first <= version.saturating_add(1));
        let known = held.unwrap_or(version == self.seq && self.most > 0);
        if !known || version > self.seq {
            return None;
        }
        let mut changed = Vec::new();
        for (_, entries) in self.held.iter().filter(|(seq, _)| *seq > version) {
            merge(&mut changed, &entries[view], |_| true);
        }
        Some(change(self.seq, &changed))
    }
}

/// Later entries in place of earlier ones of the same runner, those that are to be kept.
fn merge(held: &mut Vec<Value>, changed: &[Value], keep: impl Fn(&Value) -> bool) {
    for entry in changed {
        held.retain(|old| old["host"] != entry["host"]);
        if keep(entry) {
            held.push(entry.clone());
        }
    }
}

/// A change as it is told.
pub fn change(seq: u64, entries: &[Value]) -> Value {
    json!({"seq": seq, "whole": false, "hosts": entries})
}
