//! Retries, moves and duplicates: what rules, retry budget and idempotency allow, and what is done when an
//! attempt's update or answer is due.

use super::*;

/// Multiple of the expected running time after which an attempt is overdue: where answers get lost, and
/// elsewhere.
const OVERDUE_FACTORS: (f64, f64) = (1.4, 3.0);
/// Share of lost answers above which the lower of these factors applies.
const HIGH_LOSS_RATE: f64 = 0.3;
/// Bound on moves and duplicates where the rules state no retry budget, needed because cancelled work may
/// run on. May be too small when many workers hang. Retries from the queue count but are not limited by it.
const DEFAULT_MOVE_BUDGET: Budget = Budget { floor: 5.0, ratio: 0.1, window: Span(10_000_000_000) };

impl Balancer {
    /// Returns when the request's next attempt is within the budget that the rules state: now for a first
    /// attempt or without such a budget, `None` for never.
    pub(super) fn attempt_allowed_at(&mut self, id: RequestId) -> Option<Time> {
        let unlimited = self.settings.budget.is_none() || self.requests[&id].attempts.is_empty();
        if unlimited { Some(self.now) } else { self.retry_allowed_at() }
    }

    /// Returns when another attempt beyond a request's first is within the budget, as of now; `None` if
    /// never. Without a stated budget `DEFAULT_MOVE_BUDGET` applies, with a lower floor where there are many
    /// dispatchers.
    pub(super) fn retry_allowed_at(&mut self) -> Option<Time> {
        let default = Budget {
            floor: DEFAULT_MOVE_BUDGET.floor / self.dispatcher_factor().sqrt(),
            ..DEFAULT_MOVE_BUDGET
        };
        let Budget { floor, ratio, window } = self.settings.budget.unwrap_or(default);
        // Requests leave the window a tick early, and retries a tick late.
        let now = self.now;
        let tick = self.settings.tick;
        self.recent_requests.drain(..self.recent_requests.partition_point(|t| *t + window <= now + tick));
        self.recent_retries.drain(..self.recent_retries.partition_point(|t| *t + window + tick <= now));
        let allowed = (floor + ratio * self.recent_requests.len() as f64 + 1e-9).floor() as usize;
        match (self.recent_retries.len() + 1).saturating_sub(allowed) {
            0 => Some(now),
            over => self.recent_retries.get(over - 1).map(|t| *t + window + tick),
        }
    }

    /// Returns the first attempt that may have run the request, in an earlier try or in this one.
    pub(super) fn may_have_run(&self, request: &Request) -> Option<PriorAttempt> {
        let ran = request.attempts.iter().find(|a| a.outcome.is_none_or(|o| !o.never_ran()));
        request.prior.or_else(|| ran.map(|a| self.entries[a.worker].prior_attempt(a.sent_at)))
    }

    /// Whether list, machine kind, cold-start tokens and the class's idempotency allow this worker.
    pub(super) fn is_allowed(&self, request: &Request, worker: usize) -> bool {
        let entry = &self.entries[worker];
        let class = &self.settings.classes[request.class];
        let fits = self.usable(worker) && class.kind.is_none_or(|kind| kind == entry.kind);
        if !fits || self.warm_up_fraction(worker) < 1.0 && self.workers[worker].cold_tokens.0 < 1.0 {
            return false;
        }
        let Some(earlier) = self.may_have_run(request) else { return true };
        match class.idempotency {
            Idempotency::Safe => true,
            Idempotency::Unsafe => false,
            Idempotency::Keyed(scope) => {
                let until = earlier.sent_at + class.window - Span(self.settings.tick.0 * 2);
                earlier.deduplicated_by(scope, entry) && self.now < until
            }
        }
    }

    /// Queues a request whose attempts have all ended unanswered if a retry is allowed and can start in time;
    /// otherwise refuses or fails it.
    pub(super) fn retry_or_finish(&mut self, id: RequestId) {
        let request = &self.requests[&id];
        let allowed = request.attempts.len() < request.max_attempts;
        let unsafe_work = self.settings.classes[request.class].idempotency == Idempotency::Unsafe;
        if allowed && self.now < request.start_by && !(unsafe_work && self.may_have_run(request).is_some()) {
            self.pending.insert((request.over_share, request.rank, id));
        } else {
            self.refuse_or_fail(id);
        }
    }

    /// Handles a timer of a request or of one of its attempts.
    pub(super) fn request_timer(&mut self, token: u64) {
        let id = RequestId((token >> 8) as u32);
        let Some(request) = self.requests.get(&id).filter(|r| !r.closed && !r.streaming) else { return };
        if let Some(number) = (token & 0xff).checked_sub(1) {
            self.check_attempt(id, number as usize);
        } else if self.now + Span(self.settings.tick.0 * 3) >= request.deadline {
            self.refuse_or_fail(id);
        }
    }

    /// Checks an attempt whose start or progress update is due.
    fn check_attempt(&mut self, id: RequestId, number: usize) {
        let request = &self.requests[&id];
        let class = request.class;
        let token = attempt_token(id, number);
        let open = |a: &&Attempt| a.outcome.is_none() && !a.cancelled;
        let Some(attempt) = request.attempts.get(number).filter(open) else { return };
        let worker = attempt.worker;
        let started = attempt.started_at.is_some();
        let progress = self.settings.progress;
        if started && progress.0 == 0 {
            return self.check_running(id, number);
        }
        let due =
            if started { Span(progress.0 * 8 / 5) } else { self.start_wait(worker, attempt.idle_s, class) };
        let last_update_at = attempt.last_update_at;
        let newest = number + 1 == request.attempts.len();
        // After a gap between events, first waits a tick: this dispatcher may have stalled, and the update
        // may have come meanwhile. After a quiet period this costs a tick.
        let check_at =
            if self.resumed_at == self.now { self.now + self.settings.tick } else { last_update_at + due };
        if self.now < check_at {
            self.outbox.push(Action::Timer(check_at, token));
            return;
        }
        let objective_s = self.settings.classes[request.class].objective.secs();
        let patience =
            if started { due } else { Span::from_secs(objective_s * START_PATIENCE_SHARE).max(due) };
        if self.now_s - self.workers[worker].last_contact_at > due.secs().max(0.5)
            && (self.now - last_update_at).secs() > 0.5
        {
            // Guards against silence of any cause. May do harm where workers only pause, which trial requests
            // limit.
            self.workers[worker].trial_at.get_or_insert(self.now_s + TRIAL_WAIT_S);
        }
        if !started {
            // Without a start update in time, no slot is assumed free: other dispatchers hold all that this
            // one's running jobs do not.
            let capacity = self.group(worker).slots;
            let w = &mut self.workers[worker];
            w.other_slots = w.other_slots.max(capacity - w.load.running_slots);
            w.other_slots_at = self.now_s;
        }
        if newest
            && self.now >= last_update_at + patience
            && self.retry_allowed_at() == Some(self.now)
            && let Some(other) = self.draw_worker(id, Some(worker))
            && number + 1 < self.requests[&id].max_attempts
        {
            // A waiting attempt is moved. A running one gets a duplicate where that is allowed, since it may
            // still answer.
            if self.settings.cancel && (!started || !self.settings.parallel_attempts) {
                self.requests.get_mut(&id).expect("looked up above").attempts[number].cancelled = true;
                self.outbox.push(Action::Cancel(id, number as u32));
            }
            self.send(id, other);
            return;
        }
        let cancel_at = self.requests[&id].cancel_at;
        if !started && self.now >= cancel_at {
            self.refuse_or_fail(id);
            return;
        }
        // Checks again after half of the patience or of the time waited so far, whichever is more, so less
        // and less often: each check costs a draw.
        let half_wait = Span((self.now - last_update_at).0.max(patience.0) / 2);
        let wait = if started { half_wait } else { half_wait.min(cancel_at - self.now) };
        self.outbox.push(Action::Timer(self.now + wait.max(self.settings.tick), token));
    }

    /// Returns how long after its start an attempt is overdue; sooner if many answers were lost recently.
    pub(super) fn overdue_after(&self, worker: usize, work: f64) -> Span {
        let factor = if self.loss_rate > HIGH_LOSS_RATE { OVERDUE_FACTORS.0 } else { OVERDUE_FACTORS.1 };
        Span::from_secs(work * self.pace(worker, 0.0) * factor + self.settings.tick.secs())
    }

    /// Checks a running attempt: if it is overdue, a duplicate may still finish in time. Guards against lost
    /// answers; may do harm where jobs run longer than hinted, so the wait is longer until some answers were
    /// lost.
    fn check_running(&mut self, id: RequestId, number: usize) {
        let request = &self.requests[&id];
        let work = request.work;
        let newest = number + 1 == request.attempts.len();
        let attempt = &request.attempts[number];
        let worker = attempt.worker;
        let started_at = attempt.started_at.unwrap_or(self.now);
        let overdue_at = started_at + self.overdue_after(worker, work);
        if self.now < overdue_at {
            self.outbox.push(Action::Timer(overdue_at, attempt_token(id, number)));
            return;
        }
        if !attempt.overdue {
            self.loss_rate += 0.1 * (1.0 - self.loss_rate);
            let lost = self.loss_rate > HIGH_LOSS_RATE;
            if lost {
                self.remove_load(id, number);
            }
            let attempt = &mut self.requests.get_mut(&id).expect("looked up above").attempts[number];
            attempt.overdue = true;
            attempt.lost = lost;
        }
        if newest
            && self.settings.parallel_attempts
            && number + 1 < self.requests[&id].max_attempts
            && self.retry_allowed_at() == Some(self.now)
            && let Some(other) = self.draw_worker(id, Some(worker))
        {
            self.send(id, other);
        } else if newest && self.now_s < self.requests[&id].arrived_s + self.requests[&id].target_s {
            let wait = Span::from_secs(work * 0.25).max(self.settings.tick);
            self.outbox.push(Action::Timer(self.now + wait, attempt_token(id, number)));
        }
    }
}
