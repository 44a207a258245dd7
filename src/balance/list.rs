//! The worker list: who may be used, when the list is requested again, and who is probed.

use super::*;

/// Slots that a worker is assumed to have until its group shows otherwise.
const SLOTS_PRIOR: f64 = 5.0;
/// Most dispatchers that may probe a worker, or call discovery after the first backoff, at full rate.
const SMALL_FLEET: f64 = 8.0;

impl Balancer {
    /// Applies a worker list; estimates of a worker whose process has restarted begin anew.
    pub(super) fn apply_list(&mut self, kind: ListKind, entries: Vec<ListEntry>) {
        let (only_draining, full) = (self.settings.only_draining_excludes, kind != ListKind::Delta);
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
            let group = self.groups.iter().position(|p| p.key == key).unwrap_or(self.groups.len());
            if group == self.groups.len() {
                let (slots, max_free, others_at, delays) = (SLOTS_PRIOR, SLOTS_PRIOR, self.now_s, [0.03; 2]);
                self.groups.push(Group { key, delays, slots, max_free, others_at, ..Group::default() });
            }
            // Where gone does not exclude, a list may be old: a drain once seen holds until a later start.
            let (old, listed) = (&self.entries[i], self.workers[i].listed);
            let changed = entry.up_since != old.up_since || old.state == WorkerState::Gone;
            let restarted = if only_draining { entry.up_since > old.up_since } else { changed };
            entry.up_since = entry.up_since.max(old.up_since.filter(|_| only_draining && listed));
            let still_drained = only_draining && !restarted && self.workers[i].drained;
            let back = self.workers[i].drained && !still_drained && entry.state == WorkerState::Ready;
            if restarted || !listed {
                // A new process: the old one's estimates do not apply. Outstanding attempts still count.
                let age = entry.up_since.map_or(0.0, |up| (self.now - up).secs());
                let offset = f64::from(self.settings.number) / f64::from(self.settings.dispatchers);
                let w = &mut self.workers[i];
                let (load, transfer_s, now) = (w.load, w.transfer_s, self.now_s);
                *w = Worker { load, transfer_s, group, heard_s: now, others_at: now, ..Worker::default() };
                (w.tokens.0, w.tokens_at) = ((offset + 0.618 * i as f64).fract(), now - age);
            }
            let (w, drains) = (&mut self.workers[i], entry.state == WorkerState::Draining);
            (w.listed, w.drained, w.returned) = (true, still_drained || drains, w.returned || back);
            self.entries[i] = entry;
        }
        let saved = self.list_expiry.filter(|_| kind == ListKind::Saved);
        (self.list_backoff, self.list_expiry) =
            (0.0, saved.map(|_| self.now + self.settings.saved_list_validity));
    }

    /// Requests the list again: several times until it expires, then rarely. Failures do not prolong its
    /// validity, except by the simulator's rule.
    pub(super) fn list_lost(&mut self, event: &Event) {
        let Settings { discovery, validity_after_silence, validity_after_loss, .. } = self.settings;
        let within = if *event == Event::ListSilent { validity_after_silence } else { validity_after_loss };
        let (within, factor) = if discovery == Discovery::Agent { (Span(0), 0.5) } else { (within, 2.0) };
        let old = self.list_expiry.filter(|at| !self.settings.failed_calls_renew_validity || *at <= self.now);
        let expiry = old.unwrap_or(self.now + within);
        self.list_expiry = (discovery != Discovery::Pushed).then_some(expiry);
        if discovery != Discovery::Pushed && *event != Event::DiscoveryMoved && !self.subscribe_pending {
            let (left, backoff) = ((expiry - self.now).secs(), self.list_backoff.max(0.2));
            let max_wait = if left > 0.0 { backoff.max(left / 3.0) } else { backoff * factor };
            let wait =
                Span::from_secs((backoff.min(1.0) * self.fleet_factor()).min(max_wait) * self.rng.f64());
            (self.subscribe_pending, self.list_backoff) = (true, (backoff * 2.0).min(4.0));
            self.outbox.push(Action::Timer(self.now + wait, SUBSCRIBE_TIMER));
        }
    }

    /// Returns how many times more dispatchers there are than may act at full rate.
    pub(super) fn fleet_factor(&self) -> f64 {
        (f64::from(self.settings.dispatchers) / SMALL_FLEET).max(1.0)
    }

    /// Probes workers without news, in a large fleet as often as `SMALL_FLEET` dispatchers would together.
    pub(super) fn probe_stale(&mut self) {
        let stale = STALE_S * self.fleet_factor();
        for (e, w) in self.entries.iter().zip(&mut self.workers) {
            if w.listed && !w.drained && e.state == WorkerState::Ready && self.now_s - w.reported_at > stale {
                w.reported_at = self.now_s;
                self.outbox.push(Action::Probe(e.worker));
            }
        }
        self.outbox.push(Action::Timer(self.now + Span::from_secs(stale / 4.0), PROBE_TIMER));
    }

    /// Whether the list allows the worker: draining always excludes it, gone only where the rules say so.
    pub(super) fn usable(&self, i: usize) -> bool {
        let (w, expiry) = (&self.workers[i], self.list_expiry.unwrap_or(Time(u64::MAX)));
        let listed = self.entries[i].state == WorkerState::Ready || self.settings.only_draining_excludes;
        self.now < expiry && w.listed && !w.drained && listed
    }
}
