//! Runner lists. Keeps the last entries of each source, maps names to the balancer's numbers, and merges
//! full lists so that one source's list never removes another source's runners.

use super::{Core, Effect, ListedRunner, Source};
use sablerun as sr;
use sablerun_keys as keys;
use std::net::SocketAddr;

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
        self.update_listed_runners(now);
        let changed = self.with_disabled_as_draining(changed);
        self.notify(now, sr::Event::List(kind, changed));
    }

    /// Subscribes to discovery at its new address at once: the balancer would only ask again after the old watch
    /// has gone silent.
    pub(super) fn handle_discovery_moved(&mut self, now: sr::Time, address: SocketAddr) {
        if self.discovery != address {
            self.discovery = address;
            self.effects.push(Effect::Subscribe(address));
            self.notify(now, sr::Event::DiscoveryMoved);
        }
    }

    /// Passes the number of a runner that will not come back on to its successor, so that what is kept for each
    /// number does not grow with every runner that ever came. The successor's first list entry makes the balancer
    /// begin anew. A runner that is listed, disabled, or has live attempts keeps its number.
    pub(super) fn handle_runner_replaced(&mut self, runner: &str, successor: &str) {
        let Some(number) = self.tables.workers.get(runner) else { return };
        let listed = self.list_entries.keys().any(|(_, worker)| *worker == number);
        let mut attempts = self.requests.values().flat_map(|request| &request.attempts);
        let in_use = attempts.any(|attempt| attempt.live && attempt.runner == number);
        if !listed && !in_use && !self.disabled.contains(&number) {
            self.tables.workers.rename(runner, successor);
        }
    }
}
