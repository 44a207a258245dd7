//! Admission, tenant shares and the queue. One function sends attempts, and one refuses or fails requests.

use super::*;

/// Share of a job's stretch that a request may wait in the queue beyond its objective: later starts mostly
/// finish late.
const QUEUE_SLACK_SHARE: f64 = 0.3;
/// Multiple of the median tenant's use of its quota that is taken for a whole share.
const SHARE_TOLERANCE: f64 = 1.5;

impl Balancer {
    /// Admits a request: estimates its work, sets its time limits and queues it.
    pub(super) fn admit(&mut self, arrival: Arrival) {
        let Arrival { request: id, class, tenant, deadline, estimate, .. } = arrival;
        let class_index = class.0 as usize;
        let slots = arrival.slots.max(arrival.memory).max(1.0);
        if class_index >= self.classes.len() || self.requests.contains_key(&id) {
            return;
        }
        let over_share = tenant.is_some_and(|t| self.exceeds_share(t.0 as usize, arrival.retry));
        let settings = &self.settings.classes[class_index];
        let stats = &mut self.classes[class_index];
        // A retry carries the first try's deadline, so its age is what its window lacks of the longest one.
        // Where retries are not marked, a window that lacks two thirds or more counts as a first try's.
        let window_s = (deadline - self.now).min(settings.deadline).secs();
        stats.max_window_s = stats.max_window_s.max(window_s);
        let is_retry =
            if self.settings.marked_retries { arrival.retry } else { window_s > stats.max_window_s / 3.0 };
        let age_s = if is_retry { (stats.max_window_s - window_s).max(0.0) } else { 0.0 };
        let mean_time = stats.mean_time.0;
        let hint_scale = self.hint_scale.0;
        let hint = estimate.secs().min(mean_time / hint_scale * OUTLIER_FACTOR * OUTLIER_FACTOR);
        let work = if hint > 0.0 {
            (hint * hint_scale).max(mean_time / OUTLIER_FACTOR / OUTLIER_FACTOR)
        } else {
            mean_time
        };
        // Latest start that spends the objective and this share of the job's stretch on waiting, earlier
        // tries included.
        let start_within = |share: f64| {
            let slack_s =
                settings.objective.secs() + share * (settings.stretch - 1.0).max(0.0) * mean_time.max(work);
            (self.now + Span::from_secs((slack_s - age_s).max(0.0))).min(deadline)
        };
        // Where missed targets are weighed, a refusal in time is not a miss, so a waiting attempt is
        // cancelled early. Otherwise unsafe work waits until the deadline, since it could only fail. So does
        // work whose late answers have worth: cancelled, it could still run for nothing and be retried.
        let late_has_worth = settings.late_worth > 0.0 && self.settings.tail.weight == 0.0;
        let start_by = if late_has_worth { deadline } else { start_within(QUEUE_SLACK_SHARE) };
        let cancel_at = match settings.idempotency {
            _ if self.settings.tail.weight > 0.0 => start_by,
            idempotency if late_has_worth || idempotency == Idempotency::Unsafe => deadline,
            _ => start_within(2.0),
        };
        self.mean_work = self.mean_work.map(|m| m + 0.03 * ((mean_time * slots).min(m * OUTLIER_FACTOR) - m));
        let rank = (work * slots / settings.worth * 1e6) as u64;
        let worth_by_work = self.settings.worth_by_work;
        // Worth of a class per unit of work.
        let value = |class: &Class, stats: &ClassStats| {
            class.worth / if worth_by_work { 1.0 } else { stats.mean_time.0 }
        };
        let classes = self.settings.classes.iter().zip(&self.classes);
        let highest_value = classes.map(|(class, stats)| value(class, stats)).fold(0.0, f64::max);
        let yielded_share = 1.0 - value(settings, &self.classes[class_index]) / slots / highest_value;
        let mut request =
            Request { class: class_index, slots, work, deadline, start_by, cancel_at, ..Request::default() };
        request.over_share = over_share;
        request.rank = rank;
        request.yielded_share = yielded_share;
        request.hint = hint;
        request.arrived_s = self.now_s - age_s;
        request.prior = arrival.prior;
        request.max_attempts = self.settings.max_attempts as usize;
        request.target_s =
            settings.objective.secs() + settings.stretch * if hint > 0.0 { hint } else { work };
        self.requests.insert(id, request);
        self.recent_requests.push_back(self.now);
        self.retry_allowed_at();
        self.set_deadline(id, deadline);
        self.pending.insert((over_share, rank, id));
    }

    /// Sets a request's deadline, and a timer two ticks before it.
    pub(super) fn set_deadline(&mut self, id: RequestId, deadline: Time) {
        self.requests.entry(id).and_modify(|request| request.deadline = deadline);
        let at = (deadline - Span(self.settings.tick.0 * 2)).max(self.now);
        self.outbox.push(Action::Timer(at, u64::from(id.0) << 8));
    }

    /// Whether the tenant's requests exceed its share of what arrives here, by a token bucket. Which part of
    /// all dispatchers' traffic arrives here has to be estimated: the median tenant is most likely within its
    /// share, and uses most of the part of its quota that is due here.
    fn exceeds_share(&mut self, tenant: usize, is_retry: bool) -> bool {
        let now = self.now_s;
        let with_quota = self.tenants.iter().filter(|(quota, ..)| *quota > 0.0);
        let mut used_shares: Vec<f64> =
            with_quota.map(|(.., used, at)| used * decay(now - at, RATE_HALF_LIFE_S)).collect();
        used_shares.sort_by(f64::total_cmp);
        let median_share = used_shares
            .get(used_shares.len().saturating_sub(1) / 2)
            .map_or(0.0, |used| used * SHARE_TOLERANCE);
        let local_part = if self.settings.dispatchers == 1 { 1.0 } else { median_share };
        let Some((quota, tokens, used, at)) = self.tenants.get_mut(tenant) else { return false };
        *tokens = (*tokens + *quota * local_part * (now - *at)).min((*quota * local_part * 2.0).max(1.0));
        *used *= decay(now - *at, RATE_HALF_LIFE_S);
        *at = now;
        let over = *tokens < 1.0 || *quota <= 0.0;
        if !is_retry && *quota > 0.0 {
            *tokens -= f64::from(u8::from(!over));
            *used += std::f64::consts::LN_2 / RATE_HALF_LIFE_S / *quota;
        }
        over
    }

    /// Serves the queue: sends each request that finds a ready worker, and refuses or fails each that can no
    /// longer start in time, by its target or by the retry budget.
    pub(super) fn dispatch_pending(&mut self) {
        let queue: Vec<_> = self.pending.iter().copied().collect();
        // Profiles of requests that found no worker: another of the same profile would find none either.
        // After eight of them the pass sends no more.
        let mut unserved = Vec::new();
        for (_, _, id) in queue {
            let request = &self.requests[&id];
            let profile = (
                request.class,
                request.slots,
                self.may_have_run(request).map(|prior| (prior.zone, prior.cell)),
            );
            let start_by = request.start_by;
            let allowed_at = self.attempt_allowed_at(id);
            if self.now >= start_by || allowed_at.is_none_or(|at| at >= start_by) {
                self.refuse_or_fail(id);
            } else if allowed_at == Some(self.now) && unserved.len() < 8 && !unserved.contains(&profile) {
                match self.draw_worker(id, None) {
                    Some(worker) => self.send(id, worker),
                    None => unserved.push(profile),
                }
            }
        }
        if !self.pending.is_empty() && !std::mem::replace(&mut self.dispatch_timer_set, true) {
            // At least 10 ms, and longer with many workers.
            let wait = Span(10_000_000 * (1 + self.workers.len() as u64 / 16));
            self.outbox.push(Action::Timer(self.now + self.settings.tick.max(wait), DISPATCH_TIMER));
        }
    }

    /// Sends an attempt to a worker if it is still allowed. No other function sends.
    pub(super) fn send(&mut self, id: RequestId, worker: usize) {
        let early = self.attempt_allowed_at(id) != Some(self.now);
        let request = &self.requests[&id];
        let number = request.attempts.len();
        let class = request.class;
        let blocked = early || !self.settings.parallel_attempts && request.has_outstanding();
        if request.closed || blocked || number >= request.max_attempts || !self.is_allowed(request, worker) {
            return;
        }
        if number > 0 {
            self.recent_retries.push_back(self.now);
        }
        let request = self.requests.get_mut(&id).expect("looked up above");
        self.pending.remove(&(request.over_share, request.rank, id));
        let w = &mut self.workers[worker];
        // Closes idle connections that may have been dropped unnoticed, with a larger margin for unsafe work.
        let unsafe_work = self.settings.classes[request.class].idempotency == Idempotency::Unsafe;
        let mut idle_s = w.idle_since.pop().map_or(0.0, |since| self.now_s - since);
        if idle_s > self.safe_idle_s / if unsafe_work { 2.0 } else { 1.0 } {
            self.outbox.push(Action::CloseIdle(WorkerId(worker as u32)));
            w.idle_since.clear();
            idle_s = 0.0;
        }
        // A light job costs at least the part of a token that cannot be saved up: otherwise most dispatchers
        // would get their next tokens at the same time.
        w.cold_tokens.0 -= (request.work * request.slots / self.mean_work[1]).max(1.0 - w.cold_tokens.1);
        w.load.slots += request.slots;
        w.load.unstarted += 1;
        w.back_from_drain = false;
        w.trial_at = w.trial_at.map(|_| self.now_s + TRIAL_WAIT_S);
        let now = self.now;
        request.attempts.push(Attempt {
            worker,
            sent_at: now,
            last_update_at: now,
            idle_s,
            ..Attempt::default()
        });
        self.outbox.push(Action::Send(id, WorkerId(worker as u32)));
        if self.settings.reports_start {
            let due = self.start_wait(worker, idle_s, class);
            self.outbox.push(Action::Timer(self.now + due, attempt_token(id, number)));
        }
    }

    /// Returns how long after a send the start update is due: the usual delay, and a wait that is too short
    /// to matter for the objective.
    pub(super) fn start_wait(&self, worker: usize, idle_s: f64, class: usize) -> Span {
        let usual_s = self.group(worker).start_delays[usize::from(idle_s == 0.0)];
        let tolerated_s = START_PATIENCE_SHARE * 0.5 * self.settings.classes[class].objective.secs();
        Span::from_secs(usual_s * 1.5 + tolerated_s + self.settings.tick.secs())
    }

    /// Refuses the request if a repeat is harmless, with a hold-off of at most its objective; otherwise fails
    /// it. No other function refuses or fails.
    pub(super) fn refuse_or_fail(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id).filter(|r| !r.closed) else { return };
        let repeatable = matches!(
            self.settings.classes[request.class].idempotency,
            Idempotency::Safe | Idempotency::Keyed(DedupScope::All)
        );
        let harmless = repeatable || self.may_have_run(request).is_none();
        let hold_off = self.settings.max_hold_off.min(self.settings.classes[request.class].objective);
        self.outbox.push(if harmless { Action::Refuse(id, hold_off) } else { Action::Fail(id) });
        self.close(id);
    }

    /// Closes a request: removes it from the queue and cancels its outstanding attempts, unless an answer is
    /// being streamed. It is forgotten once none is outstanding.
    pub(super) fn close(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        self.pending.remove(&(request.over_share, request.rank, id));
        request.closed = true;
        if self.settings.cancel && !request.streaming {
            let cancellable = |(_, a): &(usize, &mut Attempt)| a.outcome.is_none() && !a.cancelled;
            for (number, attempt) in request.attempts.iter_mut().enumerate().filter(cancellable) {
                attempt.cancelled = true;
                self.outbox.push(Action::Cancel(id, number as u32));
            }
        }
        if !request.has_outstanding() {
            self.requests.remove(&id);
        }
    }
}
