//! What updates and outcomes of attempts change in the estimates and the queue.

use super::*;

impl Balancer {
    /// Applies a start or progress update to an attempt and to the estimates of its worker.
    pub(super) fn attempt_updated(&mut self, id: RequestId, number: u32, update: AttemptUpdate) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let (class, slots, work, hinted) = (request.class, request.slots, request.work, request.hint > 0.0);
        let attempt = request.attempts.get_mut(number as usize).filter(|a| a.outcome.is_none());
        let Some(attempt) = attempt else { return };
        attempt.heard_at = self.now;
        let (i, idle, delay) = (attempt.worker, attempt.idle_s, (self.now - attempt.sent_at).secs());
        if update == AttemptUpdate::Started && attempt.started_at.is_none() {
            attempt.started_at = Some(self.now);
            self.record_idle(idle, true);
            let due = self.start_wait(i, idle, class).secs();
            let load = &mut self.workers[i].load;
            (load.queued, load.running) = (load.queued - 1, load.running + slots);
            (load.elapsed_rate, load.elapsed_offset) =
                (load.elapsed_rate + 1.0 / work, load.elapsed_offset + self.now_s / work);
            let usual = &mut self.groups[self.workers[i].group].delays[usize::from(idle == 0.0)];
            *usual += if delay < *usual { 0.3 } else { 0.03 } * (delay.min(*usual * 3.0) - *usual);
            // Slots count as present while starts are prompt, since they become free unnoticed.
            let (capacity, prompt) = (self.group(i).slots, delay <= due);
            let objective = self.settings.classes[class].objective.secs();
            self.record_start(i, delay <= due + objective * START_PATIENCE);
            let excess = self.queue_len(i) - capacity;
            let change = if prompt { (0.5 * excess).clamp(0.0, 0.5) } else { 0.2 * excess.signum().min(0.0) };
            if !prompt {
                self.observe_others(i, capacity - self.workers[i].load.slots);
            }
            self.groups[self.workers[i].group].slots = (capacity + change).max(1.0);
            if hinted && self.settings.progress.0 == 0 {
                let due = self.now + self.overdue_after(i, work);
                self.outbox.push(Action::Timer(due, attempt_token(id, number as usize)));
            }
        }
        (self.workers[i].heard_s, self.workers[i].trial_at) = (self.now_s, None);
    }

    /// Applies an attempt's outcome, then closes, retries, refuses or fails its request.
    pub(super) fn attempt_ended(&mut self, event: Event) {
        let Event::Ended { request: id, attempt: number, outcome, closed, report } = event else { return };
        let Some(request) = self.requests.get_mut(&id) else { return };
        let (class, work, hint) = (request.class, request.work, request.hint);
        let attempt = request.attempts.get_mut(number as usize).filter(|a| a.outcome.is_none());
        let Some(attempt) = attempt else { return };
        attempt.outcome = Some(outcome);
        let (i, sent, start, idle) = (attempt.worker, attempt.sent_at, attempt.started_at, attempt.idle_s);
        let due = self.start_wait(i, idle, class);
        report.into_iter().for_each(|report| self.apply_report(i, report));
        self.full_rate += 0.1 * (f64::from(u8::from(outcome == Outcome::Full)) - self.full_rate);
        if start.is_none() && outcome != Outcome::Moot {
            self.record_start(i, false);
        }
        let repeat_rate = self.repeat_errors.0 * decay(self.now_s - self.repeat_errors.1, HALF_LIFE_S);
        if matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Full) {
            self.workers[i].idle_since.push(self.now_s);
            (self.workers[i].heard_s, self.workers[i].trial_at) = (self.now_s, None);
        }
        // Without this job's own time: else each long job would make its worker look slow.
        self.remove_load(id, number as usize);
        let slowness = self.slowness(i);
        let w = &mut self.workers[i];
        match outcome {
            Outcome::Ok => {
                self.loss_rate -= 0.02 * self.loss_rate;
                let total = (self.now - sent).secs();
                let ran = start.map_or(w.report.latency.map_or(total, Span::secs).min(total), |at| {
                    (self.now - at).secs()
                });
                w.transfer_s += 0.1 * (total - ran - w.transfer_s);
                self.add_result(i, &[0, class + 1], 0.0);
                update_mean(&mut self.classes[class].mean, ran / slowness, 1e-4);
                if hint > 0.0 {
                    update_mean(&mut self.hint_scale, ran / slowness / hint, 0.01);
                }
                self.record_pace(i, ran / work);
            }
            Outcome::Error => self.add_result(i, &[0, class + 1], 1.0),
            Outcome::Full => self.observe_others(i, self.group(i).slots * 1.5),
            // A reset at once after idle time is blamed on the idle connection, not on the worker.
            Outcome::Reset if idle > 0.0 && start.is_none() && self.now < sent + due => {
                self.record_idle(idle, false)
            }
            Outcome::ConnectFailed | Outcome::Reset => w.trial_at = w.trial_at.or(Some(self.now_s + TRIAL_S)),
            Outcome::Timeout | Outcome::Cancelled if start.is_none() => self.add_result(i, &[class + 1], 1.0),
            Outcome::Timeout | Outcome::Cancelled | Outcome::Moot => {}
        }
        let request = &self.requests[&id];
        let erred = |a: &Attempt| a.outcome == Some(Outcome::Error) && a.worker != i;
        let repeated = f64::from(u8::from(outcome == Outcome::Error));
        if matches!(outcome, Outcome::Ok | Outcome::Error) && request.attempts.iter().any(erred) {
            self.repeat_errors = (repeat_rate + 0.3 * (repeated - repeat_rate), self.now_s);
        }
        // An error likely to occur elsewhere too is the request's own; so is a reset right after its start.
        let crashed = outcome == Outcome::Reset && start.is_some_and(|start| self.now < start + due);
        let own = crashed || outcome == Outcome::Error && repeat_rate > FAILING;
        if closed || request.closed || outcome == Outcome::Ok {
            self.close(id);
        } else if !request.has_outstanding() {
            if own { self.refuse_or_fail(id) } else { self.retry_or_finish(id) }
        }
    }
}
