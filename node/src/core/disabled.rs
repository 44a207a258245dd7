//! Runners that an operator has disabled manually, and the counts of listed and avoided runners. The
//! balancer sees a disabled runner as a draining one.

use super::Core;
use sablerun as sr;

impl<J: Clone> Core<J> {
    /// The number of listed runners, and of those that are avoided now: disabled, draining, or avoided by
    /// the balancer.
    pub fn runner_counts(&self) -> (usize, usize) {
        let is_avoided = |(worker, excluded): &(&u32, &Option<sr::Time>)| {
            excluded.is_some() || self.balancer.avoids(sr::WorkerId(**worker))
        };
        (self.listed_runners.len(), self.listed_runners.iter().filter(is_avoided).count())
    }

    /// The names of the disabled runners.
    pub fn disabled_runners(&self) -> impl Iterator<Item = &str> {
        self.disabled.iter().map(|worker| self.tables.workers.name(*worker))
    }

    /// Disables a runner, or enables it again: the balancer is given its list entries as draining, or as
    /// listed. Idempotent. A name that was never listed is an error, unless the call comes from the other
    /// process of an upgrade (`from_peer`).
    pub(super) fn set_disabled(
        &mut self,
        now: sr::Time,
        runner: &str,
        disabled: bool,
        from_peer: bool,
    ) -> Result<(), &'static str> {
        let worker = match from_peer {
            true => self.tables.workers.intern(runner),
            false => self.tables.workers.get(runner).ok_or("no runner of that id was ever listed")?,
        };
        let changed = if disabled { self.disabled.insert(worker) } else { self.disabled.remove(&worker) };
        if !changed {
            return Ok(());
        }
        let entries: Vec<_> =
            self.list_entries.iter().filter(|((_, w), _)| *w == worker).map(|(_, e)| e.clone()).collect();
        if !entries.is_empty() {
            let mut entries = self.with_disabled_as_draining(entries);
            if !disabled && self.settings.only_draining_excludes {
                // With this setting a drain lasts until a later start, so the runner is shown as starting
                // now, which includes slow start.
                entries.iter_mut().for_each(|entry| entry.up_since = Some(now));
            }
            self.notify(now, sr::Event::List(sr::ListKind::Delta, entries));
        }
        self.update_listed_runners(now);
        Ok(())
    }

    /// Returns the entries for the balancer, with disabled runners shown as draining.
    pub(super) fn with_disabled_as_draining(&self, mut entries: Vec<sr::ListEntry>) -> Vec<sr::ListEntry> {
        for entry in &mut entries {
            if self.disabled.contains(&entry.worker.0) && entry.state == sr::WorkerState::Ready {
                entry.state = sr::WorkerState::Draining;
            }
        }
        entries
    }

    /// Updates the listed runners, and since when each is excluded (disabled or draining), after a list or a
    /// manual change.
    pub(super) fn update_listed_runners(&mut self, now: sr::Time) {
        let before = std::mem::take(&mut self.listed_runners);
        let excluded_since = |worker: &u32| before.get(worker).copied().flatten().unwrap_or(now);
        for ((_, worker), entry) in &self.list_entries {
            let excluded = self.disabled.contains(worker) || entry.state != sr::WorkerState::Ready;
            let listed = self.listed_runners.entry(*worker).or_insert_with(|| Some(excluded_since(worker)));
            if !excluded {
                *listed = None;
            }
        }
    }

    /// Whether sends to an excluded runner must stop now: half of the time in which they must have stopped is over, and
    /// the rest is for what is being written.
    pub(super) fn is_closed_to_sends(&self, now: sr::Time, runner: u32) -> bool {
        let since = self.listed_runners.get(&runner).copied().flatten();
        since.is_some_and(|since| now >= since + sr::Span(self.settings.drain_grace.0 / 2))
    }
}
