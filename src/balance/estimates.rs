//! The ledger of workers: what notes, answers and reports teach of pace, queues, failures, connections.

use super::*;

/// Jobs' worth of belief in what a worker's kind shows, against what it shows itself.
const KIND_WEIGHT: f64 = 4.0;
/// Half-life of what a worker has shown of its pace (takes the place of the paper's m jobs).
const PACE_HALF_LIFE: f64 = 6.0;
/// Time in which peers without news are believed idle again, in seconds (8, 30 and 120 were tried).
const FORGET: f64 = 30.0;
/// Gain of one sight in what peers show of their queues; how little a report tells that is old by the work.
const SIGHT: (f64, f64) = (0.2, 0.5);

impl Balancer {
    /// How many times longer than the fleet's mean a job takes at this worker. Jobs that are still
    /// running count with their time so far, so a worker that slows or stalls grows dear at once.
    pub(super) fn slowness(&self, i: usize) -> f64 {
        let load = &self.workers[i].load;
        self.pace(i, (load.rate * self.at - load.rate_start).max(0.0))
    }

    /// The same by the jobs that have ended, with those still running counted for `so_far`.
    pub(super) fn pace(&self, i: usize, so_far: f64) -> f64 {
        let w = &self.workers[i];
        let (keep, kind) = (left(self.at - w.shown_at, PACE_HALF_LIFE), self.peers(i));
        let prior = (KIND_WEIGHT + kind.took) / (KIND_WEIGHT + kind.shown);
        (KIND_WEIGHT * prior + w.took * keep + so_far) / (KIND_WEIGHT + w.shown * keep)
    }

    /// Books that a job, or the mean one of a report, took `ratio` times what is usual.
    pub(super) fn show_pace(&mut self, i: usize, ratio: f64) {
        let w = &mut self.workers[i];
        let (keep, ratio) = (left(self.at - w.shown_at, PACE_HALF_LIFE), ratio.min(ODD));
        (w.shown, w.took, w.shown_at) = (w.shown * keep + 1.0, w.took * keep + ratio, self.at);
        let peers = &mut self.peers[w.group];
        (peers.shown, peers.took) = (peers.shown * 0.995 + 1.0, peers.took * 0.995 + ratio);
    }

    pub(super) fn peers(&self, i: usize) -> &Peers {
        &self.peers[self.workers[i].group]
    }

    /// Slots taken and queued at a worker: own ones, and others' as last seen, fading to what is usual.
    pub(super) fn queue(&self, i: usize) -> f64 {
        let w = &self.workers[i];
        let fade = (-(self.at - w.others_at) / (2.0 * self.mean_work[0]).max(0.02)).exp();
        let group = self.peers(i);
        let usual = group.others * (-(self.at - group.seen_at) / FORGET).exp();
        w.load.own + usual + (w.others - usual) * fade
    }

    pub(super) fn see_others(&mut self, i: usize, others: f64) {
        let w = &mut self.workers[i];
        let group = &mut self.peers[w.group];
        (w.others, w.others_at) = (others.max(0.0).min(group.slots * ODD), self.at);
        group.others += SIGHT.0 * (w.others.min(group.slots * 4.0) - group.others);
        group.seen_at = self.at;
    }

    pub(super) fn reported(&mut self, i: usize, report: Report) {
        self.workers[i].reported_at = self.at;
        if std::mem::replace(&mut self.workers[i].report, report) == report {
            return;
        }
        let (running, peers) = (self.workers[i].load.running, &mut self.peers[self.workers[i].group]);
        let (room, usual, free) = (peers.slots, peers.others, report.free_slots.unwrap_or(0.0));
        (peers.slots, peers.free) = (room.max(free.round()), peers.free.max(free));
        let used = match (report.free_slots, report.inflight) {
            (Some(free), _) if free >= 0.5 => Some(room - free),
            (Some(_), Some(inflight)) => Some(inflight.max(room)),
            (_, inflight) => inflight,
        };
        let tells = 1.0 - SIGHT.1 * self.settings.report_age_s.map_or(1.0, |a| a / (a + self.mean_work[0]));
        used.into_iter().for_each(|used| self.see_others(i, usual + tells * (used - running - usual)));
        // Errors a second, but for a single one, beside what is in hand: the whole fleet's losses, not own.
        if let (Some(errors), Some(inflight)) = (report.errors_per_s, report.inflight) {
            let share = (errors - 1.0) / (errors + inflight / self.mean_work[0]).max(1.0);
            self.book(i, 0, share.max(self.missed(i, 0)));
        }
        if let Some(latency) = report.latency.map(Span::secs).filter(|latency| *latency > 0.0) {
            let (mean, base) = (latency / self.slowness(i), self.base_latency);
            self.base_latency += if base == 0.0 { mean } else { 0.05 * (mean.min(base * ODD) - base) };
            self.show_pace(i, latency / self.base_latency);
        }
    }

    /// Whether a worker gets nothing for now by choice: it is suspect, or fails most of what it gets.
    pub fn avoids(&self, worker: WorkerId) -> bool {
        let i = worker.0 as usize;
        let known = self.workers.get(i);
        known.is_some_and(|w| w.trial.is_some() || self.missed(i, 0) - self.erring >= MISS_LIMIT)
    }

    pub(super) fn start_seen(&mut self, i: usize, prompt: bool) {
        let place = usize::from(self.away(i));
        self.late_starts[place] += 0.05 * (f64::from(u8::from(!prompt)) - self.late_starts[place]);
        self.late_starts[1] *= 0.998;
    }

    /// Books whether a worker failed an attempt, by error or unstarted: of all classes (0), of its own.
    /// Guards against a class or a worker that fails, fast and so idle; could do harm in a full fleet.
    pub(super) fn miss(&mut self, i: usize, places: &[usize], missed: f64) {
        for place in places {
            let before = self.missed(i, *place);
            self.book(i, *place, before + 0.2 * (missed - before));
        }
        let used = (0..self.workers.len()).filter(|w| self.usable(*w));
        self.erring = used.map(|w| self.missed(w, 0)).fold(1.0, f64::min);
    }

    fn book(&mut self, i: usize, place: usize, share: f64) {
        self.workers[i].missed.resize(self.classes.len() + 1, (0.0, 0.0));
        self.workers[i].missed[place] = (share, self.at);
    }

    fn missed(&self, i: usize, place: usize) -> f64 {
        let known = self.workers[i].missed.get(place);
        known.map_or(0.0, |(share, at)| share * left(self.at - at, MISS_HALF_LIFE))
    }

    /// What a worker fails of a class beyond the errors of the best: whoever fails fast meets most requests.
    pub(super) fn fails(&self, i: usize, class: usize) -> f64 {
        let missed = self.missed(i, class + 1).max(self.missed(i, 0));
        (missed - self.erring).max(0.0) / (1.0 - self.erring).max(0.05)
    }

    /// Books whether a connection lasted while it was idle. Guards against connections dropped unseen,
    /// where that shows by a reset; could do harm by handshakes where workers crash.
    pub(super) fn lasted(&mut self, idle: f64, well: bool) {
        if well && idle > self.safe_idle / 2.0 {
            self.safe_idle *= 1.1;
        } else if !well && idle > 0.0 {
            let most = self.settings.idle_limit.secs().min(self.safe_idle);
            self.safe_idle = most.min(idle.max(most / 8.0)) * 0.9;
        }
    }

    /// Takes an attempt that has ended, or is believed to have, off its worker's load.
    pub(super) fn unload(&mut self, id: RequestId, number: usize) {
        let request = &self.requests[&id];
        let Some(attempt) = request.attempts.get(number).filter(|a| !a.lost) else { return };
        let load = &mut self.workers[attempt.worker].load;
        load.own = (load.own - request.slots).max(0.0);
        let Some(start) = attempt.started else {
            load.waiting -= 1;
            return;
        };
        load.running = (load.running - request.slots).max(0.0);
        load.rate -= 1.0 / request.work;
        load.rate_start -= (start - self.epoch).secs() / request.work;
    }
}
