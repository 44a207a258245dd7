//! Runner lists. Keeps the last entries of each source, maps names to the balancer's numbers, and merges
//! full lists so that one source's list never removes another source's runners.

use super::{Core, ListedRunner, Source};
use sablerun as sr;
use sablerun_keys as keys;

impl<J: Clone> Core<J> {
    /// Applies a list or a change of one, and passes the merged result to the balancer.
    pub(super) fn handle_list(
        &mut self,
        now: sr::Time,
        source: Source,
        kind: sr::ListKind,
        listed: Vec<ListedRunner>,
    ) {
        let mut changed: Vec<sr::ListEntry> = Vec::with_capacity(listed.len());
        for runner in listed {
            let worker = self.tables.workers.intern(&runner.name);
            let zone = self.tables.zones.intern(&runner.zone);
            self.locations.insert(worker, keys::Place { zone, cell: runner.cell });
            changed.push(sr::ListEntry {
                worker: sr::WorkerId(worker),
                zone: sr::ZoneId(zone),
                kind: sr::KindId(self.tables.kinds.intern(&runner.kind)),
                cell: runner.cell,
                state: runner.state,
                size: runner.size,
                up_since: runner.up_since,
            });
        }
        if kind == sr::ListKind::Delta {
            for entry in &changed {
                let key = (source, entry.worker.0);
                match entry.state {
                    sr::WorkerState::Gone => self.list_entries.remove(&key),
                    _ => self.list_entries.insert(key, entry.clone()),
                };
            }
        } else {
            // The list is full for its source only: the other sources' runners are added to it.
            self.list_entries.retain(|(from, _), _| *from != source);
            self.list_entries.extend(changed.iter().map(|entry| ((source, entry.worker.0), entry.clone())));
            changed.extend(
                self.list_entries.iter().filter(|((from, _), _)| *from != source).map(|(_, e)| e.clone()),
            );
        }
        self.update_listed_runners();
        let changed = self.with_disabled_as_draining(changed);
        self.notify(now, sr::Event::List(kind, changed));
    }
}
