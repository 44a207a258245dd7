//! Estimates of workers' pace, queues, failures and connections, from updates, answers and reports.

use super::*;

/// Weight of the pace of a worker's group against the worker's own, in jobs; also that of the fleet's mean
/// pace against the group's.
const GROUP_PRIOR_JOBS: f64 = 4.0;
/// Half-life of a worker's pace, in seconds (used in place of the paper's m jobs).
const PACE_HALF_LIFE_S: f64 = 6.0;
/// Time constant, in seconds, with which the slots that others usually take in a group fade without an
/// observation.
const OTHER_SLOTS_FADE_S: f64 = 30.0;
/// Weights of observations of other dispatchers' slots: the gain of an observation in its group's estimate,
/// and the largest part of its weight that a report loses. It loses more the older it may be, compared with
/// the mean work, and all of that part where reports arrive by chance.
const OBSERVATION_WEIGHTS: (f64, f64) = (0.2, 0.5);

impl Balancer {
    /// Returns how many times longer than the fleet's mean a job takes at this worker. Running jobs count
    /// with their time so far, so that a worker that slows down or stalls becomes expensive at once.
    pub(super) fn slowness(&self, worker: usize) -> f64 {
        let load = &self.workers[worker].load;
        self.pace(worker, (load.elapsed_rate * self.now_s - load.elapsed_offset).max(0.0))
    }

    /// Returns the same from the jobs that have ended there or in its group. The running jobs add `elapsed`,
    /// their time so far in units of their expected running times.
    pub(super) fn pace(&self, worker: usize, elapsed: f64) -> f64 {
        let w = &self.workers[worker];
        let keep = decay(self.now_s - w.pace_at, PACE_HALF_LIFE_S);
        let group = self.group(worker);
        let prior = (GROUP_PRIOR_JOBS + group.ratio_sum) / (GROUP_PRIOR_JOBS + group.ended_jobs);
        (GROUP_PRIOR_JOBS * prior + w.ratio_sum * keep + elapsed) / (GROUP_PRIOR_JOBS + w.ended_jobs * keep)
    }

    /// Records that a job, or the mean job of a report, took `ratio` times its expected running time.
    pub(super) fn record_pace(&mut self, worker: usize, ratio: f64) {
        let w = &mut self.workers[worker];
        let keep = decay(self.now_s - w.pace_at, PACE_HALF_LIFE_S);
        let ratio = ratio.min(OUTLIER_FACTOR);
        w.ended_jobs = w.ended_jobs * keep + 1.0;
        w.ratio_sum = w.ratio_sum * keep + ratio;
        w.pace_at = self.now_s;
        let group = &mut self.groups[w.group];
        group.ended_jobs = group.ended_jobs * 0.995 + 1.0;
        group.ratio_sum = group.ratio_sum * 0.995 + ratio;
    }

    /// Returns the estimates that the worker shares with others of its machine kind and zone.
    pub(super) fn group(&self, worker: usize) -> &Group {
        &self.groups[self.workers[worker].group]
    }

    /// Returns the slots taken and queued at a worker (`QL`): this dispatcher's, and other dispatchers' as
    /// last observed, which fade to the usual number of the group.
    pub(super) fn queue_len(&self, worker: usize) -> f64 {
        let w = &self.workers[worker];
        let fade = (-(self.now_s - w.other_slots_at) / (2.0 * self.mean_work[0]).max(0.02)).exp();
        let group = self.group(worker);
        let usual = group.other_slots * (-(self.now_s - group.other_slots_at) / OTHER_SLOTS_FADE_S).exp();
        w.load.slots + usual + (w.other_slots - usual) * fade
    }

    /// Records how many slots other dispatchers take at a worker, for the worker and its group.
    pub(super) fn observe_other_slots(&mut self, worker: usize, other_slots: f64) {
        let w = &mut self.workers[worker];
        let group = &mut self.groups[w.group];
        w.other_slots = other_slots.max(0.0).min(group.slots * OUTLIER_FACTOR);
        w.other_slots_at = self.now_s;
        group.other_slots +=
            OBSERVATION_WEIGHTS.0 * (w.other_slots.min(group.slots * 4.0) - group.other_slots);
        group.other_slots_at = self.now_s;
    }

    /// Updates the estimates from a worker's report, unless it equals the last one.
    pub(super) fn apply_report(&mut self, worker: usize, report: Report) {
        self.workers[worker].reported_at = self.now_s;
        if std::mem::replace(&mut self.workers[worker].report, report) == report {
            return;
        }
        let running = self.workers[worker].load.running_slots;
        let group = &mut self.groups[self.workers[worker].group];
        let capacity = group.slots;
        let usual = group.other_slots;
        let free = report.free_slots.unwrap_or(0.0);
        group.slots = capacity.max(free.round());
        group.max_free_slots = group.max_free_slots.max(free);
        let used = match (report.free_slots, report.inflight) {
            (Some(free), _) if free >= 0.5 => Some(capacity - free),
            (Some(_), Some(inflight)) => Some(inflight.max(capacity)),
            (_, inflight) => inflight,
        };
        let weight = 1.0
            - OBSERVATION_WEIGHTS.1
                * self.settings.report_age_s.map_or(1.0, |age| age / (age + self.mean_work[0]));
        used.into_iter()
            .for_each(|used| self.observe_other_slots(worker, usual + weight * (used - running - usual)));
        // The errors per second are those of all dispatchers' requests. One per second is disregarded; the
        // rest is taken as a share of the jobs that end per second, estimated from those in progress.
        if let (Some(errors), Some(inflight)) = (report.errors_per_s, report.inflight) {
            let error_share = (errors - 1.0) / (errors + inflight / self.mean_work[0]).max(1.0);
            self.set_failure_rate(worker, 0, error_share.max(self.failure_rate(worker, 0)));
        }
        if let Some(latency) = report.latency.map(Span::secs).filter(|latency| *latency > 0.0) {
            // What the latency would be at the fleet's mean pace.
            let at_mean_pace = latency / self.slowness(worker);
            let base = self.base_latency_s;
            self.base_latency_s += if base == 0.0 {
                at_mean_pace
            } else {
                0.05 * (at_mean_pace.min(base * OUTLIER_FACTOR) - base)
            };
            self.record_pace(worker, latency / self.base_latency_s);
        }
    }

    /// Whether a worker is avoided for now, because it is suspect or fails most of the requests that it gets.
    pub fn avoids(&self, worker: WorkerId) -> bool {
        let index = worker.0 as usize;
        let known = self.workers.get(index);
        known.is_some_and(|w| {
            w.trial_at.is_some() || self.failure_rate(index, 0) - self.base_error_rate >= FAILING_RATE
        })
    }

    /// Records whether an attempt started promptly, separately for the local and for remote zones. The rate
    /// of remote zones also fades with every start.
    pub(super) fn record_start(&mut self, worker: usize, prompt: bool) {
        let zone_index = usize::from(self.is_remote(worker));
        self.late_start_rates[zone_index] +=
            0.05 * (f64::from(u8::from(!prompt)) - self.late_start_rates[zone_index]);
        self.late_start_rates[1] *= 0.998;
    }

    /// Records whether an attempt failed, by error or without a start (`failed` is 1 or 0), in the failure
    /// rates at these indices. Guards against workers that fail fast, for one class or for all, and so seem
    /// idle; may do harm in a full fleet. Also updates the lowest error rate of a worker in use.
    pub(super) fn record_result(&mut self, worker: usize, rate_indices: &[usize], failed: f64) {
        for rate_index in rate_indices {
            let before = self.failure_rate(worker, *rate_index);
            self.set_failure_rate(worker, *rate_index, before + 0.2 * (failed - before));
        }
        let in_use = (0..self.workers.len()).filter(|w| self.usable(*w));
        self.base_error_rate = in_use.map(|w| self.failure_rate(w, 0)).fold(1.0, f64::min);
    }

    /// Sets the failure rate at an index (0 for all classes, 1 and up for one class each), as of now.
    fn set_failure_rate(&mut self, worker: usize, rate_index: usize, rate: f64) {
        self.workers[worker].failure_rates.resize(self.classes.len() + 1, (0.0, 0.0));
        self.workers[worker].failure_rates[rate_index] = (rate, self.now_s);
    }

    /// Returns the failure rate at an index, decayed until now: 0 is for all classes, 1 and up for one class
    /// each.
    fn failure_rate(&self, worker: usize, rate_index: usize) -> f64 {
        let known = self.workers[worker].failure_rates.get(rate_index);
        known.map_or(0.0, |(rate, at)| rate * decay(self.now_s - at, RATE_HALF_LIFE_S))
    }

    /// Returns the probability that an attempt of a class fails at a worker beyond what it does at the best
    /// one. Without it, a worker that fails fast would attract most requests.
    pub(super) fn failure_chance(&self, worker: usize, class: usize) -> f64 {
        let rate = self.failure_rate(worker, class + 1).max(self.failure_rate(worker, 0));
        (rate - self.base_error_rate).max(0.0) / (1.0 - self.base_error_rate).max(0.05)
    }

    /// Records whether a connection survived this idle time. Guards against connections dropped unnoticed,
    /// where a reset shows that; may cost extra handshakes where workers crash.
    pub(super) fn record_idle(&mut self, idle_s: f64, lasted: bool) {
        if lasted && idle_s > self.safe_idle_s / 2.0 {
            self.safe_idle_s *= 1.1;
        } else if !lasted && idle_s > 0.0 {
            let limit_s = self.settings.idle_limit.secs().min(self.safe_idle_s);
            self.safe_idle_s = limit_s.min(idle_s.max(limit_s / 8.0)) * 0.9;
        }
    }

    /// Removes an attempt that has ended, or whose answer is presumed lost, from its worker's load.
    pub(super) fn remove_load(&mut self, id: RequestId, number: usize) {
        let request = &self.requests[&id];
        let Some(attempt) = request.attempts.get(number).filter(|a| !a.lost) else { return };
        let load = &mut self.workers[attempt.worker].load;
        load.slots = (load.slots - request.slots).max(0.0);
        let Some(started_at) = attempt.started_at else {
            load.unstarted -= 1;
            return;
        };
        load.running_slots = (load.running_slots - request.slots).max(0.0);
        load.elapsed_rate -= 1.0 / request.work;
        load.elapsed_offset -= (started_at - self.start).secs() / request.work;
    }
}
