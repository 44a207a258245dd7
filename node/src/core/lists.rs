//! Lists of runners. It owns what each source last said of its runners, and where they stand, and turns
//! names into the module's numbers. It must never judge a runner, nor let one source's list speak for
//! another's.

use super::{Core, ListedRunner, Source};
use sablerun as sr;
use sablerun_keys as keys;

impl<J: Clone> Core<J> {
    pub(super) fn list(
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
            self.places.insert(worker, keys::Place { zone, cell: runner.cell });
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
                    sr::WorkerState::Gone => self.lists.remove(&key),
                    _ => self.lists.insert(key, entry.clone()),
                };
            }
        } else {
            // Whole for its source alone: the others' runners stay on the list.
            self.lists.retain(|(from, _), _| *from != source);
            self.lists.extend(changed.iter().map(|entry| ((source, entry.worker.0), entry.clone())));
            changed
                .extend(self.lists.iter().filter(|((from, _), _)| *from != source).map(|(_, e)| e.clone()));
        }
        self.count_runners();
        let changed = self.as_told(changed);
        self.tell(now, sr::Event::List(kind, changed));
    }
}
