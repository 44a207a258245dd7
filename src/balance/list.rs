//! The list of workers: who is on it, who may be used by it, when it is called for anew and who is probed.

use super::*;

/// Slots a machine kind is taken to have until it shows otherwise.
const SLOTS_PRIOR: f64 = 5.0;
/// Dispatchers that may probe a worker as often as that, or call discovery after the first backoff.
const CROWD: f64 = 8.0;

impl Balancer {
    pub(super) fn list(&mut self, kind: ListKind, entries: Vec<ListEntry>) {
        let (alone, full) = (self.settings.only_draining_excludes, kind != ListKind::Delta);
        let missing = |old: &&mut ListEntry| full && !entries.iter().any(|e| e.worker == old.worker);
        self.entries.iter_mut().filter(missing).for_each(|old| old.state = WorkerState::Gone);
        for mut entry in entries {
            let i = entry.worker.0 as usize;
            for n in self.workers.len()..=i {
                let worker = WorkerId(n as u32);
                self.entries.push(ListEntry { worker, state: WorkerState::Gone, ..entry.clone() });
                self.workers.push(Worker::default());
            }
            let key = (entry.kind, entry.zone);
            let group = self.peers.iter().position(|p| p.key == key).unwrap_or(self.peers.len());
            if group == self.peers.len() {
                let (slots, free, seen_at, ways) = (SLOTS_PRIOR, SLOTS_PRIOR, self.at, [0.03; 2]);
                self.peers.push(Peers { key, ways, slots, free, seen_at, ..Peers::default() });
            }
            // Where gone does not bind, a list may be old: a drain once seen holds until a later start.
            let (old, listed) = (&self.entries[i], self.workers[i].listed);
            let other = entry.up_since != old.up_since || old.state == WorkerState::Gone;
            let later = if alone { entry.up_since > old.up_since } else { other };
            entry.up_since = entry.up_since.max(old.up_since.filter(|_| alone && listed));
            let held = alone && !later && self.workers[i].drained;
            let back = self.workers[i].drained && !held && entry.state == WorkerState::Ready;
            if later || !listed {
                // A new process: nothing that the old one showed holds. What is out there still counts.
                let age = entry.up_since.map_or(0.0, |up| (self.now - up).secs());
                let place = f64::from(self.settings.number) / f64::from(self.settings.dispatchers);
                let w = &mut self.workers[i];
                let (load, transfer, now) = (w.load, w.transfer, self.at);
                *w = Worker { load, transfer, group, heard: now, others_at: now, ..Worker::default() };
                (w.turns.0, w.turns_at) = ((place + 0.618 * i as f64).fract(), now - age);
            }
            let (w, drains) = (&mut self.workers[i], entry.state == WorkerState::Draining);
            (w.listed, w.drained, w.returned) = (true, held || drains, w.returned || back);
            self.entries[i] = entry;
        }
        let saved = self.blind.filter(|_| kind == ListKind::Saved);
        (self.list_backoff, self.blind) = (0.0, saved.map(|_| self.now + self.settings.saved_list_validity));
    }

    /// Asks again while the list holds, then rarely; no failure prolongs that but by the simulator's rule.
    pub(super) fn lost(&mut self, event: &Event) {
        let Settings { discovery: how, validity_after_silence, validity_after_loss, .. } = self.settings;
        let within = if *event == Event::ListSilent { validity_after_silence } else { validity_after_loss };
        let (within, late) = if how == Discovery::Agent { (Span(0), 0.5) } else { (within, 2.0) };
        let held = self.blind.filter(|told| !self.settings.failed_calls_renew_validity || *told <= self.now);
        let told = held.unwrap_or(self.now + within);
        self.blind = (how != Discovery::Pushed).then_some(told);
        if how != Discovery::Pushed && *event != Event::DiscoveryMoved && !self.subscribing {
            let (left, back) = ((told - self.now).secs(), self.list_backoff.max(0.2));
            let most = if left > 0.0 { back.max(left / 3.0) } else { back * late };
            let wait = Span::from_secs((back.min(1.0) * self.crowd()).min(most) * self.rng.f64());
            (self.subscribing, self.list_backoff) = (true, (back * 2.0).min(4.0));
            self.out.push(Action::Timer(self.now + wait, SUBSCRIBE));
        }
    }

    /// How many times more dispatchers there are than may do a thing as often as one alone.
    pub(super) fn crowd(&self) -> f64 {
        (f64::from(self.settings.dispatchers) / CROWD).max(1.0)
    }

    /// Probes entries without news, so often that many dispatchers probe a worker no more than `CROWD`.
    pub(super) fn housekeeping(&mut self) {
        let psi = STALE * self.crowd();
        for (entry, w) in self.entries.iter().zip(&mut self.workers) {
            if w.listed && !w.drained && entry.state == WorkerState::Ready && self.at - w.reported_at > psi {
                w.reported_at = self.at;
                self.out.push(Action::Probe(entry.worker));
            }
        }
        self.out.push(Action::Timer(self.now + Span::from_secs(psi / 4.0), HOUSEKEEPING));
    }

    /// Whether the list leaves the worker in use: draining binds always, gone only where the rules say so.
    pub(super) fn usable(&self, i: usize) -> bool {
        let (w, told) = (&self.workers[i], self.blind.unwrap_or(Time(u64::MAX)));
        let listed = self.entries[i].state == WorkerState::Ready || self.settings.only_draining_excludes;
        self.now < told && w.listed && !w.drained && listed
    }
}
