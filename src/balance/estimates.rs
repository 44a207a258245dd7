//! Estimates of workers' pace, queues, failures and connections, from updates, answers and reports.

use super::*;

/// Weight, in jobs, of the pace of a worker's group against its own.
const GROUP_PRIOR_JOBS: f64 = 4.0;
/// Half-life of a worker's pace, in seconds (in place of the paper's m jobs).
const PACE_HALF_LIFE_S: f64 = 6.0;
/// Time constant with which a group without news is believed to become idle again, in seconds.
const OTHERS_FADE_S: f64 = 30.0;
/// Gain of an observation in a group's estimate of others' slots, and the largest part of its weight that a
/// report loses, the older it is compared with the work.
const OBSERVED: (f64, f64) = (0.2, 0.5);

impl Balancer {
    /// Returns how many times longer than the fleet's mean a job takes at this worker. Running jobs count
    /// with their time so far, so that a worker that slows down or stalls becomes expensive at once.
    pub(super) fn slowness(&self, i: usize) -> f64 {
        let load = &self.workers[i].load;
        self.pace(i, (load.elapsed_rate * self.now_s - load.elapsed_offset).max(0.0))
    }

    /// Returns the same from the jobs that have ended, with the running ones counted as `elapsed`.
    pub(super) fn pace(&self, i: usize, elapsed: f64) -> f64 {
        let w = &self.workers[i];
        let (keep, group) = (decay(self.now_s - w.pace_at, PACE_HALF_LIFE_S), self.group(i));
        let prior = (GROUP_PRIOR_JOBS + group.ratio_sum) / (GROUP_PRIOR_JOBS + group.jobs);
        (GROUP_PRIOR_JOBS * prior + w.ratio_sum * keep + elapsed) / (GROUP_PRIOR_JOBS + w.jobs * keep)
    }

    /// Records that a job, or the mean job of a report, took `ratio` times the usual time.
    pub(super) fn record_pace(&mut self, i: usize, ratio: f64) {
        let w = &mut self.workers[i];
        let (keep, ratio) = (decay(self.now_s - w.pace_at, PACE_HALF_LIFE_S), ratio.min(OUTLIER));
        (w.jobs, w.ratio_sum, w.pace_at) = (w.jobs * keep + 1.0, w.ratio_sum * keep + ratio, self.now_s);
        let group = &mut self.groups[w.group];
        (group.jobs, group.ratio_sum) = (group.jobs * 0.995 + 1.0, group.ratio_sum * 0.995 + ratio);
    }

    pub(super) fn group(&self, i: usize) -> &Group {
        &self.groups[self.workers[i].group]
    }

    /// Returns the slots taken and queued at a worker: own ones, and others' as last seen, fading to usual.
    pub(super) fn queue_len(&self, i: usize) -> f64 {
        let w = &self.workers[i];
        let fade = (-(self.now_s - w.others_at) / (2.0 * self.mean_work[0]).max(0.02)).exp();
        let group = self.group(i);
        let usual = group.others * (-(self.now_s - group.others_at) / OTHERS_FADE_S).exp();
        w.load.slots + usual + (w.others - usual) * fade
    }

    /// Records how many slots other dispatchers take at a worker.
    pub(super) fn observe_others(&mut self, i: usize, others: f64) {
        let w = &mut self.workers[i];
        let group = &mut self.groups[w.group];
        (w.others, w.others_at) = (others.max(0.0).min(group.slots * OUTLIER), self.now_s);
        group.others += OBSERVED.0 * (w.others.min(group.slots * 4.0) - group.others);
        group.others_at = self.now_s;
    }

    /// Updates the estimates from a worker's report, unless it repeats the last one.
    pub(super) fn apply_report(&mut self, i: usize, report: Report) {
        self.workers[i].reported_at = self.now_s;
        if std::mem::replace(&mut self.workers[i].report, report) == report {
            return;
        }
        let (running, group) = (self.workers[i].load.running, &mut self.groups[self.workers[i].group]);
        let (capacity, usual, free) = (group.slots, group.others, report.free_slots.unwrap_or(0.0));
        (group.slots, group.max_free) = (capacity.max(free.round()), group.max_free.max(free));
        let used = match (report.free_slots, report.inflight) {
            (Some(free), _) if free >= 0.5 => Some(capacity - free),
            (Some(_), Some(inflight)) => Some(inflight.max(capacity)),
            (_, inflight) => inflight,
        };
        let weight =
            1.0 - OBSERVED.1 * self.settings.report_age_s.map_or(1.0, |a| a / (a + self.mean_work[0]));
        used.into_iter().for_each(|used| self.observe_others(i, usual + weight * (used - running - usual)));
        // Errors per second, less one, relative to the jobs in progress: losses of the whole fleet, not own.
        if let (Some(errors), Some(inflight)) = (report.errors_per_s, report.inflight) {
            let share = (errors - 1.0) / (errors + inflight / self.mean_work[0]).max(1.0);
            self.set_failure_rate(i, 0, share.max(self.failure_rate(i, 0)));
        }
        if let Some(latency) = report.latency.map(Span::secs).filter(|latency| *latency > 0.0) {
            let (mean, base) = (latency / self.slowness(i), self.base_latency);
            self.base_latency += if base == 0.0 { mean } else { 0.05 * (mean.min(base * OUTLIER) - base) };
            self.record_pace(i, latency / self.base_latency);
        }
    }

    /// Whether a worker is avoided for now: it is suspect, or it fails most of the requests that it gets.
    pub fn avoids(&self, worker: WorkerId) -> bool {
        let i = worker.0 as usize;
        let known = self.workers.get(i);
        known.is_some_and(|w| w.trial_at.is_some() || self.failure_rate(i, 0) - self.base_errors >= FAILING)
    }

    /// Records whether an attempt started promptly, for the local and for remote zones.
    pub(super) fn record_start(&mut self, i: usize, prompt: bool) {
        let place = usize::from(self.is_remote(i));
        self.late_starts[place] += 0.05 * (f64::from(u8::from(!prompt)) - self.late_starts[place]);
        self.late_starts[1] *= 0.998;
    }

    /// Records whether an attempt failed, by error or without a start, for all classes (0) or its own (1 on).
    /// Guards against workers that fail fast, for a class or all, and so seem idle; may harm in a full fleet.
    pub(super) fn add_result(&mut self, i: usize, places: &[usize], failed: f64) {
        for place in places {
            let before = self.failure_rate(i, *place);
            self.set_failure_rate(i, *place, before + 0.2 * (failed - before));
        }
        let in_use = (0..self.workers.len()).filter(|w| self.usable(*w));
        self.base_errors = in_use.map(|w| self.failure_rate(w, 0)).fold(1.0, f64::min);
    }

    fn set_failure_rate(&mut self, i: usize, place: usize, share: f64) {
        self.workers[i].failure_rates.resize(self.classes.len() + 1, (0.0, 0.0));
        self.workers[i].failure_rates[place] = (share, self.now_s);
    }

    /// Returns the decayed failure rate at a place: 0 is for all classes, the next ones for one class each.
    fn failure_rate(&self, i: usize, place: usize) -> f64 {
        let known = self.workers[i].failure_rates.get(place);
        known.map_or(0.0, |(share, at)| share * decay(self.now_s - at, HALF_LIFE_S))
    }

    /// Returns the failure rate for a class beyond the best worker's: failing fast attracts most requests.
    pub(super) fn failure_chance(&self, i: usize, class: usize) -> f64 {
        let rate = self.failure_rate(i, class + 1).max(self.failure_rate(i, 0));
        (rate - self.base_errors).max(0.0) / (1.0 - self.base_errors).max(0.05)
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
            load.queued -= 1;
            return;
        };
        load.running = (load.running - request.slots).max(0.0);
        load.elapsed_rate -= 1.0 / request.work;
        load.elapsed_offset -= (start - self.start).secs() / request.work;
    }
}
