//! Estimates of workers' pace, queues, failures and connections, from updates, answers and reports.

use super::*;

/// Weight, in jobs, of the pace of a worker's group against its own.
const GROUP_PRIOR_JOBS: f64 = 4.0;
/// Half-life of a worker's pace, in seconds (in place of the paper's m jobs).
const PACE_HALF_LIFE_S: f64 = 6.0;
/// Time constant with which a group without news is believed to become idle again, in seconds.
const OTHER_SLOTS_FADE_S: f64 = 30.0;
/// Gain of an observation in a group's estimate of others' slots, and the largest part of its weight that a
/// report loses, the older it is compared with the work.
const OBSERVATION_WEIGHTS: (f64, f64) = (0.2, 0.5);

impl Balancer {
    /// Returns how many times longer than the fleet's mean a job takes at this worker. Running jobs count
    /// with their time so far, so that a worker that slows down or stalls becomes expensive at once.
    pub(super) fn slowness(&self, worker: usize) -> f64 {
        let load = &self.workers[worker].load;
        self.pace(worker, (load.elapsed_rate * self.now_s - load.elapsed_offset).max(0.0))
    }

    /// Returns the same from the jobs that have ended, with the running ones counted as `elapsed`.
    pub(super) fn pace(&self, worker: usize, elapsed: f64) -> f64 {
        let w = &self.workers[worker];
        let (keep, group) = (decay(self.now_s - w.pace_at, PACE_HALF_LIFE_S), self.group(worker));
        let prior = (GROUP_PRIOR_JOBS + group.ratio_sum) / (GROUP_PRIOR_JOBS + group.ended_jobs);
        (GROUP_PRIOR_JOBS * prior + w.ratio_sum * keep + elapsed) / (GROUP_PRIOR_JOBS + w.ended_jobs * keep)
    }

    /// Records that a job, or the mean job of a report, took `ratio` times the usual time.
    pub(super) fn record_pace(&mut self, worker: usize, ratio: f64) {
        let w = &mut self.workers[worker];
        let (keep, ratio) = (decay(self.now_s - w.pace_at, PACE_HALF_LIFE_S), ratio.min(OUTLIER_FACTOR));
        (w.ended_jobs, w.ratio_sum, w.pace_at) =
            (w.ended_jobs * keep + 1.0, w.ratio_sum * keep + ratio, self.now_s);
        let group = &mut self.groups[w.group];
        (group.ended_jobs, group.ratio_sum) =
            (group.ended_jobs * 0.995 + 1.0, group.ratio_sum * 0.995 + ratio);
    }

    /// Returns the estimates shared by the workers of this one's kind and zone.
    pub(super) fn group(&self, worker: usize) -> &Group {
        &self.groups[self.workers[worker].group]
    }

    /// Returns the slots taken and queued at a worker: own ones, and others' as last seen, fading to usual.
    pub(super) fn queue_len(&self, worker: usize) -> f64 {
        let w = &self.workers[worker];
        let fade = (-(self.now_s - w.other_slots_at) / (2.0 * self.mean_work[0]).max(0.02)).exp();
        let group = self.group(worker);
        let usual = group.other_slots * (-(self.now_s - group.other_slots_at) / OTHER_SLOTS_FADE_S).exp();
        w.load.slots + usual + (w.other_slots - usual) * fade
    }

    /// Records how many slots other dispatchers take at a worker.
    pub(super) fn observe_other_slots(&mut self, worker: usize, other_slots: f64) {
        let w = &mut self.workers[worker];
        let group = &mut self.groups[w.group];
        (w.other_slots, w.other_slots_at) =
            (other_slots.max(0.0).min(group.slots * OUTLIER_FACTOR), self.now_s);
        group.other_slots +=
            OBSERVATION_WEIGHTS.0 * (w.other_slots.min(group.slots * 4.0) - group.other_slots);
        group.other_slots_at = self.now_s;
    }

    /// Updates the estimates from a worker's report, unless it repeats the last one.
    pub(super) fn apply_report(&mut self, worker: usize, report: Report) {
        self.workers[worker].reported_at = self.now_s;
        if std::mem::replace(&mut self.workers[worker].report, report) == report {
            return;
        }
        let (running, group) =
            (self.workers[worker].load.running_slots, &mut self.groups[self.workers[worker].group]);
        let (capacity, usual, free) = (group.slots, group.other_slots, report.free_slots.unwrap_or(0.0));
        (group.slots, group.max_free_slots) = (capacity.max(free.round()), group.max_free_slots.max(free));
        let used = match (report.free_slots, report.inflight) {
            (Some(free), _) if free >= 0.5 => Some(capacity - free),
            (Some(_), Some(inflight)) => Some(inflight.max(capacity)),
            (_, inflight) => inflight,
        };
        let weight = 1.0
            - OBSERVATION_WEIGHTS.1 * self.settings.report_age_s.map_or(1.0, |a| a / (a + self.mean_work[0]));
        used.into_iter()
            .for_each(|used| self.observe_other_slots(worker, usual + weight * (used - running - usual)));
        // Errors per second, less one, relative to the jobs in progress: losses of the whole fleet, not own.
        if let (Some(errors), Some(inflight)) = (report.errors_per_s, report.inflight) {
            let share = (errors - 1.0) / (errors + inflight / self.mean_work[0]).max(1.0);
            self.set_failure_rate(worker, 0, share.max(self.failure_rate(worker, 0)));
        }
        if let Some(latency) = report.latency.map(Span::secs).filter(|latency| *latency > 0.0) {
            let (mean, base) = (latency / self.slowness(worker), self.base_latency_s);
            self.base_latency_s +=
                if base == 0.0 { mean } else { 0.05 * (mean.min(base * OUTLIER_FACTOR) - base) };
            self.record_pace(worker, latency / self.base_latency_s);
        }
    }

    /// Whether a worker is avoided for now: it is suspect, or it fails most of the requests that it gets.
    pub fn avoids(&self, worker: WorkerId) -> bool {
        let index = worker.0 as usize;
        let known = self.workers.get(index);
        known.is_some_and(|w| {
            w.trial_at.is_some() || self.failure_rate(index, 0) - self.base_error_rate >= FAILING_RATE
        })
    }

    /// Records whether an attempt started promptly, for the local and for remote zones.
    pub(super) fn record_start(&mut self, worker: usize, prompt: bool) {
        let place = usize::from(self.is_remote(worker));
        self.late_start_rates[place] += 0.05 * (f64::from(u8::from(!prompt)) - self.late_start_rates[place]);
        self.late_start_rates[1] *= 0.998;
    }

    /// Records whether an attempt failed, by error or without a start, for all classes (0) or its own (1 on).
    /// Guards against workers that fail fast, for a class or all, and so seem idle; may harm in a full fleet.
    pub(super) fn record_result(&mut self, worker: usize, places: &[usize], failed: f64) {
        for place in places {
            let before = self.failure_rate(worker, *place);
            self.set_failure_rate(worker, *place, before + 0.2 * (failed - before));
        }
        let in_use = (0..self.workers.len()).filter(|w| self.usable(*w));
        self.base_error_rate = in_use.map(|w| self.failure_rate(w, 0)).fold(1.0, f64::min);
    }

    /// Sets the failure rate at a place, as of now.
    fn set_failure_rate(&mut self, worker: usize, place: usize, share: f64) {
        self.workers[worker].failure_rates.resize(self.classes.len() + 1, (0.0, 0.0));
        self.workers[worker].failure_rates[place] = (share, self.now_s);
    }

    /// Returns the decayed failure rate at a place: 0 is for all classes, the next ones for one class each.
    fn failure_rate(&self, worker: usize, place: usize) -> f64 {
        let known = self.workers[worker].failure_rates.get(place);
        known.map_or(0.0, |(share, at)| share * decay(self.now_s - at, RATE_HALF_LIFE_S))
    }

    /// Returns the failure rate for a class beyond the best worker's: failing fast attracts most requests.
    pub(super) fn failure_chance(&self, worker: usize, class: usize) -> f64 {
        let rate = self.failure_rate(worker, class + 1).max(self.failure_rate(worker, 0));
        (rate - self.base_error_rate).max(0.0) / (1.0 - self.base_error_rate).max(0.05)
    }

    /// Records whether an idle connection lasted. Guards against connections dropped unnoticed, where a reset
    /// shows that; may cost extra handshakes where workers crash.
    pub(super) fn record_idle(&mut self, idle_s: f64, lasted: bool) {
        if lasted && idle_s > self.safe_idle_s / 2.0 {
            self.safe_idle_s *= 1.1;
        } else if !lasted && idle_s > 0.0 {
            let limit = self.settings.idle_limit.secs().min(self.safe_idle_s);
            self.safe_idle_s = limit.min(idle_s.max(limit / 8.0)) * 0.9;
        }
    }

    /// Removes an attempt that has ended, or is believed to have ended, from its worker's load.
    pub(super) fn remove_load(&mut self, id: RequestId, number: usize) {
        let request = &self.requests[&id];
        let Some(attempt) = request.attempts.get(number).filter(|a| !a.lost) else { return };
        let load = &mut self.workers[attempt.worker].load;
        load.slots = (load.slots - request.slots).max(0.0);
        let Some(start) = attempt.started_at else {
            load.unstarted -= 1;
            return;
        };
        load.running_slots = (load.running_slots - request.slots).max(0.0);
        load.elapsed_rate -= 1.0 / request.work;
        load.elapsed_offset -= (start - self.start).secs() / request.work;
    }
}
