//! Runners taken out by hand, and how the listed runners stand. It owns which runners an operator has taken
//! out and what the module hears of those in place of the lists' word. It must never decide where work
//! goes: to the module a runner taken out is one that drains.

use super::Core;
use sablerun as sr;
use std::collections::BTreeMap;

impl<J: Clone> Core<J> {
    /// Runners on the list, and of those the ones avoided now: by hand, as the list drains them, or by the
    /// module's choice.
    pub fn runner_counts(&self) -> (usize, usize) {
        let avoided = |(worker, out): &(&u32, &bool)| **out || self.balancer.avoids(sr::WorkerId(**worker));
        (self.standings.len(), self.standings.iter().filter(avoided).count())
    }

    /// The runners taken out by hand, by name.
    pub fn disabled_runners(&self) -> impl Iterator<Item = &str> {
        self.banned.iter().map(|worker| self.tables.workers.name(*worker))
    }

    /// Takes a runner out by hand, or puts it back: the module hears of it as of a drain, or of the list's
    /// own word again. Asking twice changes nothing; a name never listed is turned down.
    pub(super) fn hand(
        &mut self,
        now: sr::Time,
        runner: &str,
        out: bool,
        shared: bool,
    ) -> Result<(), &'static str> {
        let worker = match shared {
            true => self.tables.workers.intern(runner),
            false => self.tables.workers.get(runner).ok_or("no runner of that id was ever listed")?,
        };
        let changed = if out { self.banned.insert(worker) } else { self.banned.remove(&worker) };
        if !changed {
            return Ok(());
        }
        let entries: Vec<_> =
            self.lists.iter().filter(|((_, w), _)| *w == worker).map(|(_, e)| e.clone()).collect();
        if !entries.is_empty() {
            let mut entries = self.as_told(entries);
            if !out && self.settings.only_draining_excludes {
                // There a drain holds until a later start: to the module the runner starts now, and cold.
                entries.iter_mut().for_each(|entry| entry.up_since = Some(now));
            }
            self.tell(now, sr::Event::List(sr::ListKind::Delta, entries));
        }
        self.count_runners();
        Ok(())
    }

    /// Entries as the module is to hear them: a runner taken out by hand drains.
    pub(super) fn as_told(&self, mut entries: Vec<sr::ListEntry>) -> Vec<sr::ListEntry> {
        for entry in &mut entries {
            if self.banned.contains(&entry.worker.0) && entry.state == sr::WorkerState::Ready {
                entry.state = sr::WorkerState::Draining;
            }
        }
        entries
    }

    /// Notes how the listed runners stand, once a list or a hand has changed that.
    pub(super) fn count_runners(&mut self) {
        let mut listed: BTreeMap<u32, bool> = BTreeMap::new();
        for ((_, worker), entry) in &self.lists {
            let avoided = self.banned.contains(worker) || entry.state != sr::WorkerState::Ready;
            *listed.entry(*worker).or_insert(true) &= avoided;
        }
        self.standings = listed;
    }
}
