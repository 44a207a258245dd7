//! Further attempts: what rules, retry budget and idempotency allow, and what is done when an answer is due.

use super::*;

/// Multiple of the usual running time after which an attempt is overdue: where answers get lost, elsewhere.
const OVERDUE_FACTORS: (f64, f64) = (1.4, 3.0);
/// Share of lost answers above which the shorter of these applies.
const MAX_LOSS_RATE: f64 = 0.3;
/// Retry budget where none is stated: cancelled work may run on. May be too small when many workers hang.
const DEFAULT_BUDGET: Budget = Budget { floor: 5.0, ratio: 0.1, window: Span(10_000_000_000) };

impl Balancer {
    /// Returns when the request's next attempt is within the budget that the rules state.
    pub(super) fn attempt_allowed_at(&mut self, id: RequestId) -> Option<Time> {
        let free = self.settings.budget.is_none() || self.requests[&id].attempts.is_empty();
        if free { Some(self.now) } else { self.retry_allowed_at() }
    }

    /// Returns when another retry is within the budget, as of now; `None` if never.
    pub(super) fn retry_allowed_at(&mut self) -> Option<Time> {
        let default = Budget { floor: DEFAULT_BUDGET.floor / self.fleet_factor().sqrt(), ..DEFAULT_BUDGET };
        let Budget { floor, ratio, window } = self.settings.budget.unwrap_or(default);
        // Requests leave the window a tick early, and retries a tick late.
        let (now, tick) = (self.now, self.settings.tick);
        self.recent_requests.drain(..self.recent_requests.partition_point(|t| *t + window <= now + tick));
        self.recent_retries.drain(..self.recent_retries.partition_point(|t| *t + window + tick <= now));
        let allowed = (floor + ratio * self.recent_requests.len() as f64 + 1e-9).floor() as usize;
        match (self.recent_retries.len() + 1).saturating_sub(allowed) {
            0 => Some(now),
            over => self.recent_retries.get(over - 1).map(|t| *t + window + tick),
        }
    }

    /// Returns where the request may have run first, in an earlier try or in this one.
    pub(super) fn may_have_run(&self, request: &Request) -> Option<PriorAttempt> {
        let ran = request.attempts.iter().find(|a| a.outcome.is_none_or(|o| !o.never_ran()));
        request.prior.or_else(|| ran.map(|a| self.entries[a.worker].prior_attempt(a.sent_at)))
    }

    /// Whether the rules and the class's idempotency allow this worker at all.
    pub(super) fn is_allowed(&self, request: &Request, i: usize) -> bool {
        let entry = &self.entries[i];
        let class = &self.settings.classes[request.class];
        let fits = self.usable(i) && class.kind.is_none_or(|kind| kind == entry.kind);
        if !fits || self.warm_up(i) < 1.0 && self.workers[i].tokens.0 < 1.0 {
            return false;
        }
        let Some(first) = self.may_have_run(request) else { return true };
        match class.idempotency {
            Idempotency::Safe => true,
            Idempotency::Unsafe => false,
            Idempotency::Keyed(scope) => {
                let until = first.sent_at + class.window - Span(self.settings.tick.0 * 2);
                first.deduplicated_by(scope, entry) && self.now < until
            }
        }
    }

    /// Queues a request whose attempts have all ended unanswered, if a retry is allowed and useful.
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
        let (class, token) = (request.class, attempt_token(id, number));
        let open = |a: &&Attempt| a.outcome.is_none() && !a.cancelled;
        let Some(attempt) = request.attempts.get(number).filter(open) else { return };
        let (i, started, progress) = (attempt.worker, attempt.started_at.is_some(), self.settings.progress);
        if started && progress.0 == 0 {
            return self.check_running(id, number);
        }
        let due = if started { Span(progress.0 * 8 / 5) } else { self.start_wait(i, attempt.idle_s, class) };
        let (heard, newest) = (attempt.heard_at, number + 1 == request.attempts.len());
        // Guards against blame for updates that came during an own stall; after a quiet period costs a tick.
        let until = if self.stalled_at == self.now { self.now + self.settings.tick } else { heard + due };
        if self.now < until {
            self.outbox.push(Action::Timer(until, token));
            return;
        }
        let objective = self.settings.classes[request.class].objective.secs();
        let patience = if started { due } else { Span::from_secs(objective * START_PATIENCE).max(due) };
        if self.now_s - self.workers[i].heard_s > due.secs().max(0.5) && (self.now - heard).secs() > 0.5 {
            // Guards against every kind of silence; may harm where workers pause, which trial requests limit.
            self.workers[i].trial_at.get_or_insert(self.now_s + TRIAL_S);
        }
        if !started {
            // No start update in time: no slot is free, whoever holds them.
            let (capacity, w) = (self.group(i).slots, &mut self.workers[i]);
            (w.others, w.others_at) = (w.others.max(capacity - w.load.running), self.now_s);
        }
        if newest
            && self.now >= heard + patience
            && self.retry_allowed_at() == Some(self.now)
            && let Some(other) = self.draw_worker(id, Some(i))
            && number + 1 < self.requests[&id].max_attempts
        {
            // A waiting attempt is moved; a running one gets a duplicate, since it may still answer.
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
        // Checks again after half of the wait, then ever later: a check costs a draw.
        let half = Span((self.now - heard).0.max(patience.0) / 2);
        let wait = if started { half } else { half.min(cancel_at - self.now) };
        self.outbox.push(Action::Timer(self.now + wait.max(self.settings.tick), token));
    }

    /// Returns how long after its start an attempt is overdue: sooner if answers were lost recently.
    pub(super) fn overdue_after(&self, i: usize, work: f64) -> Span {
        let patience = if self.loss_rate > MAX_LOSS_RATE { OVERDUE_FACTORS.0 } else { OVERDUE_FACTORS.1 };
        Span::from_secs(work * self.pace(i, 0.0) * patience + self.settings.tick.secs())
    }

    /// Checks a running attempt that is overdue: a duplicate may finish in time. Guards against lost answers;
    /// may harm where jobs run longer than hinted, so the wait is longer until some answers were lost.
    fn check_running(&mut self, id: RequestId, number: usize) {
        let request = &self.requests[&id];
        let (work, newest) = (request.work, number + 1 == request.attempts.len());
        let attempt = &request.attempts[number];
        let (i, start) = (attempt.worker, attempt.started_at.unwrap_or(self.now));
        let due = start + self.overdue_after(i, work);
        if self.now < due {
            self.outbox.push(Action::Timer(due, attempt_token(id, number)));
            return;
        }
        if !attempt.overdue {
            self.loss_rate += 0.1 * (1.0 - self.loss_rate);
            let lost = self.loss_rate > MAX_LOSS_RATE;
            if lost {
                self.remove_load(id, number);
            }
            let attempt = &mut self.requests.get_mut(&id).expect("looked up above").attempts[number];
            (attempt.overdue, attempt.lost) = (true, lost);
        }
        if newest
            && self.settings.parallel_attempts
            && number + 1 < self.requests[&id].max_attempts
            && self.retry_allowed_at() == Some(self.now)
            && let Some(other) = self.draw_worker(id, Some(i))
        {
            self.send(id, other);
        } else if newest && self.now_s < self.requests[&id].arrived_s + self.requests[&id].target {
            let wait = Span::from_secs(work * 0.25).max(self.settings.tick);
            self.outbox.push(Action::Timer(self.now + wait, attempt_token(id, number)));
        }
    }
}
