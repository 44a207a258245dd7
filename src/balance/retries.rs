//! Further attempts: what rules, budget and effect allow, and what is done when an answer is due.

use super::*;

/// Times its usual running time after which an attempt is overdue: where answers are lost, and elsewhere.
const OVERDUE: (f64, f64) = (1.4, 3.0);
const LOSING: f64 = 0.3;
/// Bound on moves and copies where none is stated: withdrawn work may run on. Could harm when many hang.
const MOVES: Budget = Budget { floor: 5.0, ratio: 0.1, window: Span(10_000_000_000) };

impl Balancer {
    /// When the request's next attempt is within the budget that the rules state.
    pub(super) fn turn_at(&mut self, id: RequestId) -> Option<Time> {
        let free = self.settings.budget.is_none() || self.requests[&id].attempts.is_empty();
        if free { Some(self.now) } else { self.turn() }
    }

    /// When another attempt beyond a request's first is within the budget, as of now; never if `None`.
    pub(super) fn turn(&mut self) -> Option<Time> {
        let shared = Budget { floor: MOVES.floor / self.crowd().sqrt(), ..MOVES };
        let Budget { floor, ratio, window } = self.settings.budget.unwrap_or(shared);
        // The taken leave the window a tick early and the attempts a tick late.
        let (now, tick) = (self.now, self.settings.tick);
        self.taken.drain(..self.taken.partition_point(|t| *t + window <= now + tick));
        self.further.drain(..self.further.partition_point(|t| *t + window + tick <= now));
        let most = (floor + ratio * self.taken.len() as f64 + 1e-9).floor() as usize;
        match (self.further.len() + 1).saturating_sub(most) {
            0 => Some(now),
            over => self.further.get(over - 1).map(|t| *t + window + tick),
        }
    }

    /// Where the request may have run first, at an earlier try or at this one.
    pub(super) fn may_have_run(&self, request: &Request) -> Option<PriorAttempt> {
        let ran = request.attempts.iter().find(|a| a.ended.is_none_or(|o| !o.never_ran()));
        request.prior.or_else(|| ran.map(|a| self.entries[a.worker].prior_attempt(a.sent)))
    }

    /// Whether the rules and the request's effect allow this worker at all.
    pub(super) fn allowed(&self, request: &Request, i: usize) -> bool {
        let entry = &self.entries[i];
        let class = &self.settings.classes[request.class];
        let fits = self.usable(i) && class.kind.is_none_or(|kind| kind == entry.kind);
        if !fits || self.warmth(i) < 1.0 && self.workers[i].turns.0 < 1.0 {
            return false;
        }
        let Some(first) = self.may_have_run(request) else { return true };
        match class.idempotency {
            Idempotency::Safe => true,
            Idempotency::Unsafe => false,
            Idempotency::Keyed(group) => {
                let until = first.sent_at + class.window - Span(self.settings.tick.0 * 2);
                first.deduplicated_by(group, entry) && self.now < until
            }
        }
    }

    /// All attempts have ended without an answer: another one if it is allowed and of use.
    pub(super) fn again(&mut self, id: RequestId) {
        let request = &self.requests[&id];
        let left = request.attempts.len() < request.most_attempts;
        let bound = self.settings.classes[request.class].idempotency == Idempotency::Unsafe;
        if left && self.now < request.latest && !(bound && self.may_have_run(request).is_some()) {
            self.held.insert((request.over_share, request.rank, id));
        } else {
            self.settle(id);
        }
    }

    pub(super) fn request_timer(&mut self, token: u64) {
        let id = RequestId((token >> 8) as u32);
        let Some(request) = self.requests.get(&id).filter(|r| !r.settled && !r.streaming) else { return };
        if let Some(number) = (token & 0xff).checked_sub(1) {
            self.look_after(id, number as usize);
        } else if self.now + Span(self.settings.tick.0 * 3) >= request.deadline {
            self.settle(id);
        }
    }

    fn look_after(&mut self, id: RequestId, number: usize) {
        let request = &self.requests[&id];
        let (class, token) = (request.class, attempt_token(id, number));
        let open = |a: &&Attempt| a.ended.is_none() && !a.cancelled;
        let Some(attempt) = request.attempts.get(number).filter(open) else { return };
        let (i, started, progress) = (attempt.worker, attempt.started.is_some(), self.settings.progress);
        if started && progress.0 == 0 {
            return self.look_after_running(id, number);
        }
        let due = if started { Span(progress.0 * 8 / 5) } else { self.start_due(i, attempt.idle, class) };
        let (heard, newest) = (attempt.heard, number + 1 == request.attempts.len());
        // Guards against blame for what came during an own stall; after a quiet while it costs a tick.
        let until = if self.stalled == self.now { self.now + self.settings.tick } else { heard + due };
        if self.now < until {
            self.out.push(Action::Timer(until, token));
            return;
        }
        let objective = self.settings.classes[request.class].objective.secs();
        let patience = if started { due } else { Span::from_secs(objective * PATIENCE).max(due) };
        if self.at - self.workers[i].heard > due.secs().max(0.5) && (self.now - heard).secs() > 0.5 {
            // Guards against every silence alike; could do harm where workers pause, which the trials bound.
            self.workers[i].trial.get_or_insert(self.at + TRIAL);
        }
        if !started {
            // No start note in time: whoever holds the slots, none is free.
            let (room, w) = (self.peers(i).slots, &mut self.workers[i]);
            (w.others, w.others_at) = (w.others.max(room - w.load.running), self.at);
        }
        if newest
            && self.now >= heard + patience
            && self.turn() == Some(self.now)
            && let Some(other) = self.draw(id, Some(i))
            && number + 1 < self.requests[&id].most_attempts
        {
            // Waiting work is moved; running work gets a second copy, since it may yet answer.
            if self.settings.cancel && (!started || !self.settings.parallel_attempts) {
                self.requests.get_mut(&id).expect("looked up above").attempts[number].cancelled = true;
                self.out.push(Action::Cancel(id, number as u32));
            }
            self.send(id, other);
            return;
        }
        let withdraw = self.requests[&id].withdraw;
        if !started && self.now >= withdraw {
            self.settle(id);
            return;
        }
        // Again after half of the patience, then ever later: a look costs a draw.
        let half = Span((self.now - heard).0.max(patience.0) / 2);
        let wait = if started { half } else { half.min(withdraw - self.now) };
        self.out.push(Action::Timer(self.now + wait.max(self.settings.tick), token));
    }

    /// How long after its start an attempt is overdue. Where answers have been lost of late, that is soon.
    pub(super) fn overdue(&self, i: usize, work: f64) -> Span {
        let patience = if self.losing > LOSING { OVERDUE.0 } else { OVERDUE.1 };
        Span::from_secs(work * self.pace(i, 0.0) * patience + self.settings.tick.secs())
    }

    /// Looks after a running attempt whose end is overdue: a second copy may be in time. Guards against lost
    /// answers; could do harm where jobs run longer than hinted, so it waits longer until some were lost.
    fn look_after_running(&mut self, id: RequestId, number: usize) {
        let request = &self.requests[&id];
        let (work, newest) = (request.work, number + 1 == request.attempts.len());
        let attempt = &request.attempts[number];
        let (i, start) = (attempt.worker, attempt.started.unwrap_or(self.now));
        let due = start + self.overdue(i, work);
        if self.now < due {
            self.out.push(Action::Timer(due, attempt_token(id, number)));
            return;
        }
        if !attempt.overdue {
            self.losing += 0.1 * (1.0 - self.losing);
            let lost = self.losing > LOSING;
            if lost {
                self.unload(id, number);
            }
            let attempt = &mut self.requests.get_mut(&id).expect("looked up above").attempts[number];
            (attempt.overdue, attempt.lost) = (true, lost);
        }
        if newest
            && self.settings.parallel_attempts
            && number + 1 < self.requests[&id].most_attempts
            && self.turn() == Some(self.now)
            && let Some(other) = self.draw(id, Some(i))
        {
            self.send(id, other);
        } else if newest && self.at < self.requests[&id].came + self.requests[&id].aim {
            let wait = Span::from_secs(work * 0.25).max(self.settings.tick);
            self.out.push(Action::Timer(self.now + wait, attempt_token(id, number)));
        }
    }
}
