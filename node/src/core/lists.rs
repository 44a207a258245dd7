//! Lists of runners. It owns what each source last said of its runners, and where they stand, and turns
//! names into the module's numbers. It must never judge a runner, nor let one source's list speak for
//! another's.

use super::{Core, ListedRunner, Source};
use sablerun as sr;
use sablerun_keys as keys;

impl<J: Clone> Core<J> {
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
                standing: runner.standing,
                size: runner.size,
                up_since: runner.up_since,
            });
        }
        if kind == sr::ListKind::Delta {
            for entry in &changed {
                let key = (source, entry.worker.0);
                match entry.standing {
                    sr::Standing::Gone => self.list_entries.remove(&key),
                    _ => self.list_entries.insert(key, entry.clone()),
                };
            }
        } else {
            // Whole for its source alone: the others' runners stay on the list.
            self.list_entries.retain(|(from, _), _| *from != source);
            self.list_entries.extend(changed.iter().map(|entry| ((source, entry.worker.0), entry.clone())));
            changed.extend(
                self.list_entries.iter().filter(|((from, _), _)| *from != source).map(|(_, e)| e.clone()),
            );
        }
        self.update_avoided();
        let changed = self.with_disabled_as_draining(changed);
        self.notify(now, sr::Event::List(kind, changed));
    }
}
