//! Updates and outcomes of attempts: how they change the estimates, and what follows for the request.

use super::*;

impl Balancer {
    /// Applies a start or progress update to an attempt and to the estimates of its worker, which is then no
    /// longer suspect.
    pub(super) fn attempt_updated(&mut self, id: RequestId, number: u32, update: AttemptUpdate) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let class = request.class;
        let slots = request.slots;
        let work = request.work;
        let hinted = request.hint > 0.0;
        let attempt = request.attempts.get_mut(number as usize).filter(|a| a.outcome.is_none());
        let Some(attempt) = attempt else { return };
        attempt.last_update_at = self.now;
        let worker = attempt.worker;
        let idle_s = attempt.idle_s;
        let delay_s = (self.now - attempt.sent_at).secs();
        if update == AttemptUpdate::Started && attempt.started_at.is_none() {
            attempt.started_at = Some(self.now);
            self.record_idle(idle_s, true);
            let due_s = self.start_wait(worker, idle_s, class).secs();
            let load = &mut self.workers[worker].load;
            load.unstarted -= 1;
            load.running_slots += slots;
            load.elapsed_rate += 1.0 / work;
            load.elapsed_offset += self.now_s / work;
            let usual_delay =
                &mut self.groups[self.workers[worker].group].start_delays[usize::from(idle_s == 0.0)];
            *usual_delay += if delay_s < *usual_delay { 0.3 } else { 0.03 }
                * (delay_s.min(*usual_delay * 3.0) - *usual_delay);
            // A prompt start raises the estimated slots if more seemed to be taken, and never lowers them,
            // since slots become free unnoticed. A late start lowers them if some seemed to be free.
            let capacity = self.group(worker).slots;
            let prompt = delay_s <= due_s;
            let objective_s = self.settings.classes[class].objective.secs();
            self.record_start(worker, delay_s <= due_s + objective_s * START_PATIENCE_SHARE);
            let excess = self.queue_len(worker) - capacity;
            let change = if prompt { (0.5 * excess).clamp(0.0, 0.5) } else { 0.2 * excess.signum().min(0.0) };
            if !prompt {
                self.observe_other_slots(worker, capacity - self.workers[worker].load.slots);
            }
            self.groups[self.workers[worker].group].slots = (capacity + change).max(1.0);
            if hinted && self.settings.progress.0 == 0 {
                let overdue_at = self.now + self.overdue_after(worker, work);
                self.outbox.push(Action::Timer(overdue_at, attempt_token(id, number as usize)));
            }
        }
        self.workers[worker].last_contact_at = self.now_s;
        self.workers[worker].trial_at = None;
    }

    /// Applies an attempt's outcome, then closes, retries, refuses or fails its request.
    pub(super) fn attempt_ended(&mut self, event: Event) {
        let Event::Ended { request: id, attempt: number, outcome, closed, report } = event else { return };
        let Some(request) = self.requests.get_mut(&id) else { return };
        let class = request.class;
        let work = request.work;
        let hint = request.hint;
        let attempt = request.attempts.get_mut(number as usize).filter(|a| a.outcome.is_none());
        let Some(attempt) = attempt else { return };
        attempt.outcome = Some(outcome);
        let worker = attempt.worker;
        let sent_at = attempt.sent_at;
        let started_at = attempt.started_at;
        let idle_s = attempt.idle_s;
        let start_wait = self.start_wait(worker, idle_s, class);
        report.into_iter().for_each(|report| self.apply_report(worker, report));
        self.full_rate += 0.1 * (f64::from(u8::from(outcome == Outcome::Full)) - self.full_rate);
        if started_at.is_none() && outcome != Outcome::Moot {
            self.record_start(worker, false);
        }
        let repeat_rate =
            self.repeat_error_rate.0 * decay(self.now_s - self.repeat_error_rate.1, RATE_HALF_LIFE_S);
        if matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Full) {
            self.workers[worker].idle_since.push(self.now_s);
            self.workers[worker].last_contact_at = self.now_s;
            self.workers[worker].trial_at = None;
        }
        // The slowness leaves out this job's own time: otherwise each long job would make its worker look
        // slow.
        self.remove_load(id, number as usize);
        let slowness = self.slowness(worker);
        let w = &mut self.workers[worker];
        match outcome {
            Outcome::Ok => {
                self.loss_rate -= 0.02 * self.loss_rate;
                let total_s = (self.now - sent_at).secs();
                let run_time = started_at
                    .map_or(w.report.latency.map_or(total_s, Span::secs).min(total_s), |at| {
                        (self.now - at).secs()
                    });
                w.transfer_s += 0.1 * (total_s - run_time - w.transfer_s);
                self.record_result(worker, &[0, class + 1], 0.0);
                update_mean(&mut self.classes[class].mean_time, run_time / slowness, 1e-4);
                if hint > 0.0 {
                    update_mean(&mut self.hint_scale, run_time / slowness / hint, 0.01);
                }
                self.record_pace(worker, run_time / work);
            }
            Outcome::Error => self.record_result(worker, &[0, class + 1], 1.0),
            Outcome::Full => self.observe_other_slots(worker, self.group(worker).slots * 1.5),
            // A reset soon after a send over an idle connection is blamed on the connection, not on the
            // worker.
            Outcome::Reset if idle_s > 0.0 && started_at.is_none() && self.now < sent_at + start_wait => {
                self.record_idle(idle_s, false)
            }
            Outcome::ConnectFailed | Outcome::Reset => {
                w.trial_at = w.trial_at.or(Some(self.now_s + TRIAL_WAIT_S))
            }
            Outcome::Timeout | Outcome::Cancelled if started_at.is_none() => {
                self.record_result(worker, &[class + 1], 1.0)
            }
            Outcome::Timeout | Outcome::Cancelled | Outcome::Moot => {}
        }
        let request = &self.requests[&id];
        let failed_elsewhere = |a: &Attempt| a.outcome == Some(Outcome::Error) && a.worker != worker;
        let repeated = f64::from(u8::from(outcome == Outcome::Error));
        if matches!(outcome, Outcome::Ok | Outcome::Error) && request.attempts.iter().any(failed_elsewhere) {
            self.repeat_error_rate = (repeat_rate + 0.3 * (repeated - repeat_rate), self.now_s);
        }
        // An error that would probably occur at another worker too is the request's own fault; so is a reset
        // right after the job's start.
        let crashed = outcome == Outcome::Reset && started_at.is_some_and(|at| self.now < at + start_wait);
        let own_fault = crashed || outcome == Outcome::Error && repeat_rate > FAILING_RATE;
        if closed || request.closed || outcome == Outcome::Ok {
            self.close(id);
        } else if !request.has_outstanding() {
            if own_fault { self.refuse_or_fail(id) } else { self.retry_or_finish(id) }
        }
    }
}
