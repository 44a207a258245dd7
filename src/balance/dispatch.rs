//! Admission, tenant shares and the queue, with one place each that sends and that refuses or fails.

use super::*;

/// Share of a mean job's stretch that a request may wait in the queue: later starts mostly finish late.
const SLACK_SHARE: f64 = 0.3;
/// Multiple of the median tenant's use of its share that is taken for a whole share.
const SHARE_TOLERANCE: f64 = 1.5;

impl Balancer {
    /// Admits a request: estimates its work, sets its time limits and queues it.
    pub(super) fn admit(&mut self, arrival: Arrival) {
        let Arrival { request: id, class, tenant, deadline, estimate, .. } = arrival;
        let (c, slots) = (class.0 as usize, arrival.slots.max(arrival.memory).max(1.0));
        if c >= self.classes.len() || self.requests.contains_key(&id) {
            return;
        }
        let over_share = tenant.is_some_and(|t| self.exceeds_share(t.0 as usize, arrival.retry));
        let (settings, stat) = (&self.settings.classes[c], &mut self.classes[c]);
        // A retry carries the first try's deadline: what its window lacks is its age, at most two thirds.
        let window = (deadline - self.now).min(settings.deadline).secs();
        stat.max_window = stat.max_window.max(window);
        let retry = if self.settings.marked_retries { arrival.retry } else { window > stat.max_window / 3.0 };
        let age = if retry { (stat.max_window - window).max(0.0) } else { 0.0 };
        let (mean, scale) = (stat.mean.0, self.hint_scale.0);
        let hint = estimate.secs().min(mean / scale * OUTLIER * OUTLIER);
        let work = if hint > 0.0 { (hint * scale).max(mean / OUTLIER / OUTLIER) } else { mean };
        let start_within = |share: f64| {
            let slack =
                settings.objective.secs() + share * (settings.stretch - 1.0).max(0.0) * mean.max(work);
            (self.now + Span::from_secs((slack - age).max(0.0))).min(deadline)
        };
        // Where misses are weighed, a timely refusal is none. Unsafe work, which could only fail, waits on;
        // so does work that is paid for when late: cancelled, it would run for nothing and be retried.
        let late = settings.late_worth > 0.0 && self.settings.tail.weight == 0.0;
        let start_by = if late { deadline } else { start_within(SLACK_SHARE) };
        let cancel_at = match settings.idempotency {
            _ if self.settings.tail.weight > 0.0 => start_by,
            idempotency if late || idempotency == Idempotency::Unsafe => deadline,
            _ => start_within(2.0),
        };
        self.mean_work = self.mean_work.map(|m| m + 0.03 * ((mean * slots).min(m * OUTLIER) - m));
        let rank = (work * slots / settings.worth * 1e6) as u64;
        let by_work = self.settings.worth_by_work;
        let value = |class: &Class, stat: &ClassStats| class.worth / if by_work { 1.0 } else { stat.mean.0 };
        let all = self.settings.classes.iter().zip(&self.classes);
        let highest = all.map(|(class, stat)| value(class, stat)).fold(0.0, f64::max);
        let yielded_share = 1.0 - value(settings, &self.classes[c]) / slots / highest;
        let mut request =
            Request { class: c, slots, work, deadline, start_by, cancel_at, ..Request::default() };
        (request.over_share, request.rank, request.yielded_share) = (over_share, rank, yielded_share);
        (request.hint, request.arrived_s, request.prior) = (hint, self.now_s - age, arrival.prior);
        request.max_attempts = self.settings.max_attempts as usize;
        request.target = settings.objective.secs() + settings.stretch * if hint > 0.0 { hint } else { work };
        self.requests.insert(id, request);
        self.recent_requests.push_back(self.now);
        self.retry_allowed_at();
        self.set_deadline(id, deadline);
        self.pending.insert((over_share, rank, id));
    }

    /// Sets a request's deadline, and a timer for two ticks before it.
    pub(super) fn set_deadline(&mut self, id: RequestId, deadline: Time) {
        self.requests.entry(id).and_modify(|request| request.deadline = deadline);
        let at = (deadline - Span(self.settings.tick.0 * 2)).max(self.now);
        self.outbox.push(Action::Timer(at, u64::from(id.0) << 8));
    }

    /// Whether the tenant's requests exceed its share of what arrives here. Which part of the fleet's traffic
    /// that is has to be estimated: the median tenant, most likely within its share, uses most of that part.
    fn exceeds_share(&mut self, t: usize, retry: bool) -> bool {
        let now = self.now_s;
        let uses = self.tenants.iter().filter(|(quota, ..)| *quota > 0.0);
        let mut parts: Vec<f64> = uses.map(|(.., used, at)| used * decay(now - at, HALF_LIFE_S)).collect();
        parts.sort_by(f64::total_cmp);
        let median = parts.get(parts.len().saturating_sub(1) / 2).map_or(0.0, |part| part * SHARE_TOLERANCE);
        let part = if self.settings.dispatchers == 1 { 1.0 } else { median };
        let Some((quota, tokens, used, at)) = self.tenants.get_mut(t) else { return false };
        *tokens = (*tokens + *quota * part * (now - *at)).min((*quota * part * 2.0).max(1.0));
        (*used, *at) = (*used * decay(now - *at, HALF_LIFE_S), now);
        let over = *tokens < 1.0 || *quota <= 0.0;
        if !retry && *quota > 0.0 {
            *tokens -= f64::from(u8::from(!over));
            *used += std::f64::consts::LN_2 / HALF_LIFE_S / *quota;
        }
        over
    }

    /// Serves the queue: sends what finds a ready worker; refuses what target or budget leave no time for.
    pub(super) fn dispatch_pending(&mut self) {
        let queue: Vec<_> = self.pending.iter().copied().collect();
        // Profiles of requests that found no worker: another of the same profile would not either.
        let mut failed = Vec::new();
        for (_, _, id) in queue {
            let request = &self.requests[&id];
            let profile =
                (request.class, request.slots, self.may_have_run(request).map(|p| (p.zone, p.cell)));
            let (start_by, allowed_at) = (request.start_by, self.attempt_allowed_at(id));
            if self.now >= start_by || allowed_at.is_none_or(|at| at >= start_by) {
                self.refuse_or_fail(id);
            } else if allowed_at == Some(self.now) && failed.len() < 8 && !failed.contains(&profile) {
                match self.draw_worker(id, None) {
                    Some(worker) => self.send(id, worker),
                    None => failed.push(profile),
                }
            }
        }
        if !self.pending.is_empty() && !std::mem::replace(&mut self.dispatch_timer_set, true) {
            let wait = Span(10_000_000 * (1 + self.workers.len() as u64 / 16));
            self.outbox.push(Action::Timer(self.now + self.settings.tick.max(wait), DISPATCH_TIMER));
        }
    }

    /// Sends an attempt if it is still allowed. The only place that sends.
    pub(super) fn send(&mut self, id: RequestId, i: usize) {
        let early = self.attempt_allowed_at(id) != Some(self.now);
        let request = &self.requests[&id];
        let (number, class) = (request.attempts.len(), request.class);
        let blocked = early || !self.settings.parallel_attempts && request.has_outstanding();
        if request.closed || blocked || number >= request.max_attempts || !self.is_allowed(request, i) {
            return;
        }
        if number > 0 {
            self.recent_retries.push_back(self.now);
        }
        let request = self.requests.get_mut(&id).expect("looked up above");
        self.pending.remove(&(request.over_share, request.rank, id));
        let w = &mut self.workers[i];
        // Closes connections that may have been dropped unnoticed, with a larger margin for unsafe work.
        let unsafe_work = self.settings.classes[request.class].idempotency == Idempotency::Unsafe;
        let mut idle_s = w.idle_since.pop().map_or(0.0, |since| self.now_s - since);
        if idle_s > self.safe_idle_s / if unsafe_work { 2.0 } else { 1.0 } {
            self.outbox.push(Action::CloseIdle(WorkerId(i as u32)));
            w.idle_since.clear();
            idle_s = 0.0;
        }
        // A light job uses up a token where few can be saved: else most would get their next ones together.
        w.tokens.0 -= (request.work * request.slots / self.mean_work[1]).max(1.0 - w.tokens.1);
        (w.load.slots, w.load.queued, w.returned) = (w.load.slots + request.slots, w.load.queued + 1, false);
        w.trial_at = w.trial_at.map(|_| self.now_s + TRIAL_S);
        let (worker, now) = (i, self.now);
        request.attempts.push(Attempt { worker, sent_at: now, heard_at: now, idle_s, ..Attempt::default() });
        self.outbox.push(Action::Send(id, WorkerId(i as u32)));
        if self.settings.reports_start {
            let due = self.start_wait(i, idle_s, class);
            self.outbox.push(Action::Timer(self.now + due, attempt_token(id, number)));
        }
    }

    /// Returns how long after a send the start update is due: the usual delay and a wait too short to matter.
    pub(super) fn start_wait(&self, i: usize, idle_s: f64, class: usize) -> Span {
        let usual = self.group(i).delays[usize::from(idle_s == 0.0)];
        let tolerated = START_PATIENCE * 0.5 * self.settings.classes[class].objective.secs();
        Span::from_secs(usual * 1.5 + tolerated + self.settings.tick.secs())
    }

    /// Refuses the request if a repeat is harmless, with a hold-off of an objective at most; else fails it.
    /// The only place that gives these answers.
    pub(super) fn refuse_or_fail(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id).filter(|request| !request.closed) else { return };
        let safe = matches!(
            self.settings.classes[request.class].idempotency,
            Idempotency::Safe | Idempotency::Keyed(DedupScope::All)
        );
        let harmless = safe || self.may_have_run(request).is_none();
        let hold_off = self.settings.max_hold_off.min(self.settings.classes[request.class].objective);
        self.outbox.push(if harmless { Action::Refuse(id, hold_off) } else { Action::Fail(id) });
        self.close(id);
    }

    /// Closes a request: removes it from the queue and cancels its outstanding attempts.
    pub(super) fn close(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        self.pending.remove(&(request.over_share, request.rank, id));
        request.closed = true;
        if self.settings.cancel && !request.streaming {
            let open = |(_, a): &(usize, &mut Attempt)| a.outcome.is_none() && !a.cancelled;
            for (number, attempt) in request.attempts.iter_mut().enumerate().filter(open) {
                attempt.cancelled = true;
                self.outbox.push(Action::Cancel(id, number as u32));
            }
        }
        if !request.has_outstanding() {
            self.requests.remove(&id);
        }
    }
}
