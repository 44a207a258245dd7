//! The worker list: which workers may be used, when the list is requested again, and which workers are
//! probed.

use super::*;

/// Slots that a worker is assumed to have until starts or reports in its group show otherwise.
const SLOTS_PRIOR: f64 = 5.0;
/// Most dispatchers that may probe a worker, or request the list after the first backoff, at the full rate.
/// If there are more, each does so less often.
const FULL_RATE_DISPATCHERS: f64 = 8.0;

impl Balancer {
    /// Applies a worker list. Estimates of a worker whose process has restarted begin anew.
    pub(super) fn apply_list(&mut self, kind: ListKind, entries: Vec<ListEntry>) {
        let only_draining = self.settings.only_draining_excludes;
        let full = kind != ListKind::Delta;
        let missing = |old: &&mut ListEntry| full && !entries.iter().any(|e| e.worker == old.worker);
        self.entries.iter_mut().filter(missing).for_each(|old| old.state = WorkerState::Gone);
        for mut entry in entries {
            let index = entry.worker.0 as usize;
            for n in self.workers.len()..=index {
                let worker = WorkerId(n as u32);
                self.entries.push(ListEntry { worker, state: WorkerState::Gone, ..entry.clone() });
                self.workers.push(Worker::default());
            }
            let key = (entry.kind, entry.zone);
            let group = self.groups.iter().position(|p| p.key == key).unwrap_or(self.groups.len());
            if group == self.groups.len() {
                self.groups.push(Group {
                    key,
                    start_delays: [0.03; 2],
                    slots: SLOTS_PRIOR,
                    max_free_slots: SLOTS_PRIOR,
                    other_slots_at: self.now_s,
                    ..Group::default()
                });
            }
            // Where only draining excludes a worker, a list may be out of date. A drain that has been listed
            // then holds until the list names a later start of the process.
            let old = &self.entries[index];
            let was_listed = self.workers[index].listed;
            let changed = entry.up_since != old.up_since || old.state == WorkerState::Gone;
            let restarted = if only_draining { entry.up_since > old.up_since } else { changed };
            entry.up_since = entry.up_since.max(old.up_since.filter(|_| only_draining && was_listed));
            let still_drained = only_draining && !restarted && self.workers[index].drained;
            let back = self.workers[index].drained && !still_drained && entry.state == WorkerState::Ready;
            if restarted || !was_listed {
                // Estimates of an earlier process do not apply to a new one, but its transfer time does.
                // Outstanding attempts still count.
                let age_s = entry.up_since.map_or(0.0, |up| (self.now - up).secs());
                let offset = f64::from(self.settings.number) / f64::from(self.settings.dispatchers);
                let w = &mut self.workers[index];
                *w = Worker {
                    load: w.load,
                    transfer_s: w.transfer_s,
                    group,
                    last_contact_at: self.now_s,
                    other_slots_at: self.now_s,
                    ..Worker::default()
                };
                // The dispatchers begin with different fractions of a token, which also differ by worker, so
                // that they do not get their tokens for it at the same time. Tokens accrue from the start of
                // the process.
                w.cold_tokens.0 = (offset + 0.618 * index as f64).fract();
                w.cold_tokens_at = self.now_s - age_s;
            }
            let w = &mut self.workers[index];
            w.listed = true;
            w.drained = still_drained || entry.state == WorkerState::Draining;
            w.back_from_drain = w.back_from_drain || back;
            self.entries[index] = entry;
        }
        let saved = self.list_expiry.filter(|_| kind == ListKind::Saved);
        self.list_backoff_s = 0.0;
        self.list_expiry = saved.map(|_| self.now + self.settings.saved_list_validity);
    }

    /// Handles the loss of the list's watch: starts the list's expiry and requests the list again, several
    /// times until it expires, then rarely. Further failures do not prolong its validity, except by the
    /// simulator's rule. A pushed list neither expires nor is requested.
    pub(super) fn list_lost(&mut self, event: &Event) {
        let Settings { discovery, validity_after_silence, validity_after_loss, .. } = self.settings;
        let validity = if *event == Event::ListSilent { validity_after_silence } else { validity_after_loss };
        // Changes that an agent holds count as reported, so the list expires at once and is soon requested.
        let (validity, backoff_factor) =
            if discovery == Discovery::Agent { (Span(0), 0.5) } else { (validity, 2.0) };
        let running_expiry =
            self.list_expiry.filter(|at| !self.settings.failed_calls_renew_validity || *at <= self.now);
        let expiry = running_expiry.unwrap_or(self.now + validity);
        self.list_expiry = (discovery != Discovery::Pushed).then_some(expiry);
        if discovery != Discovery::Pushed && *event != Event::DiscoveryMoved && !self.subscribe_pending {
            let left_s = (expiry - self.now).secs();
            let backoff_s = self.list_backoff_s.max(0.2);
            let max_wait_s =
                if left_s > 0.0 { backoff_s.max(left_s / 3.0) } else { backoff_s * backoff_factor };
            let wait = Span::from_secs(
                (backoff_s.min(1.0) * self.dispatcher_factor()).min(max_wait_s) * self.rng.f64(),
            );
            self.subscribe_pending = true;
            self.list_backoff_s = (backoff_s * 2.0).min(4.0);
            self.outbox.push(Action::Timer(self.now + wait, SUBSCRIBE_TIMER));
        }
    }

    /// Returns the number of dispatchers in multiples of `FULL_RATE_DISPATCHERS`, at least 1.
    pub(super) fn dispatcher_factor(&self) -> f64 {
        (f64::from(self.settings.dispatchers) / FULL_RATE_DISPATCHERS).max(1.0)
    }

    /// Probes ready workers whose last report is old, so rarely that many dispatchers together probe a worker
    /// no more often than `FULL_RATE_DISPATCHERS` would.
    pub(super) fn probe_stale(&mut self) {
        let stale_s = STALE_REPORT_S * self.dispatcher_factor();
        for (entry, w) in self.entries.iter().zip(&mut self.workers) {
            if w.listed
                && !w.drained
                && entry.state == WorkerState::Ready
                && self.now_s - w.reported_at > stale_s
            {
                w.reported_at = self.now_s;
                self.outbox.push(Action::Probe(entry.worker));
            }
        }
        self.outbox.push(Action::Timer(self.now + Span::from_secs(stale_s / 4.0), PROBE_TIMER));
    }

    /// Whether the list allows the worker. Draining always excludes it; being gone or missing does so unless
    /// only draining excludes by the settings. An expired list allows no worker.
    pub(super) fn usable(&self, worker: usize) -> bool {
        let w = &self.workers[worker];
        let expiry = self.list_expiry.unwrap_or(Time(u64::MAX));
        let state_allows =
            self.entries[worker].state == WorkerState::Ready || self.settings.only_draining_excludes;
        self.now < expiry && w.listed && !w.drained && state_allows
    }
}
