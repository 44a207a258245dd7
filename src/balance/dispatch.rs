//! Requests, shares and the line: one choke point each for sending and for settling.

use super::*;

/// Share of a mean job's stretch that a held request may wait through: later starts mostly end late.
const SLACK_USED: f64 = 0.3;
/// Times the middle tenant's use of its share that are taken for a whole one (1.25 and 2 were tried).
const USE_SLACK: f64 = 1.5;

impl Balancer {
    pub(super) fn arrive(&mut self, arrival: Arrival) {
        let Arrival { request: id, class, tenant, deadline, estimate, .. } = arrival;
        let (c, slots) = (class.0 as usize, arrival.slots.max(arrival.memory).max(1.0));
        if c >= self.classes.len() || self.requests.contains_key(&id) {
            return;
        }
        let over_share = tenant.is_some_and(|t| self.over_share(t.0 as usize, arrival.retry));
        let (settings, stat) = (&self.settings.classes[c], &mut self.classes[c]);
        // A later try carries the first one's deadline: what is missing is its age, but not over two thirds.
        let window = (deadline - self.now).min(settings.deadline).secs();
        stat.longest = stat.longest.max(window);
        let retry = if self.settings.marked_retries { arrival.retry } else { window > stat.longest / 3.0 };
        let age = if retry { (stat.longest - window).max(0.0) } else { 0.0 };
        let (mean, scale) = (stat.mean.0, self.scale.0);
        let hint = estimate.secs().min(mean / scale * ODD * ODD);
        let work = if hint > 0.0 { (hint * scale).max(mean / ODD / ODD) } else { mean };
        let start_by = |share: f64| {
            let slack =
                settings.objective.secs() + share * (settings.stretch - 1.0).max(0.0) * mean.max(work);
            (self.now + Span::from_secs((slack - age).max(0.0))).min(deadline)
        };
        // Where misses are weighed, a refusal in time is none. Unsafe work, which could only fail, waits on;
        // so does what is paid for when late: given up, it would run for nothing and come again.
        let late = settings.late_worth > 0.0 && self.settings.tail.weight == 0.0;
        let latest = if late { deadline } else { start_by(SLACK_USED) };
        let withdraw = match settings.idempotency {
            _ if self.settings.tail.weight > 0.0 => latest,
            effect if late || effect == Idempotency::Unsafe => deadline,
            _ => start_by(2.0),
        };
        self.mean_work = self.mean_work.map(|m| m + 0.03 * ((mean * slots).min(m * ODD) - m));
        let rank = (work * slots / settings.worth * 1e6) as u64;
        let by_work = self.settings.worth_by_work;
        let dear = |class: &Class, stat: &ClassStat| class.worth / if by_work { 1.0 } else { stat.mean.0 };
        let all = self.settings.classes.iter().zip(&self.classes);
        let dearest = all.map(|(class, stat)| dear(class, stat)).fold(0.0, f64::max);
        let yields = 1.0 - dear(settings, &self.classes[c]) / slots / dearest;
        let mut request = Request { class: c, slots, work, deadline, latest, withdraw, ..Request::default() };
        (request.over_share, request.rank, request.yields) = (over_share, rank, yields);
        (request.hint, request.came, request.prior) = (hint, self.at - age, arrival.prior);
        request.most_attempts = self.settings.max_attempts as usize;
        request.aim = settings.objective.secs() + settings.stretch * if hint > 0.0 { hint } else { work };
        self.requests.insert(id, request);
        self.taken.push_back(self.now);
        self.turn();
        self.watch_deadline(id, deadline);
        self.held.insert((over_share, rank, id));
    }

    pub(super) fn watch_deadline(&mut self, id: RequestId, deadline: Time) {
        self.requests.entry(id).and_modify(|request| request.deadline = deadline);
        let at = (deadline - Span(self.settings.tick.0 * 2)).max(self.now);
        self.out.push(Action::Timer(at, u64::from(id.0) << 8));
    }

    /// Whether the tenant's requests exceed its share of what comes here. Which part of the fleet's traffic
    /// that is shows in the mix: the middle tenant, most likely within its share, uses most of that part.
    fn over_share(&mut self, t: usize, retry: bool) -> bool {
        let now = self.at;
        let uses = self.tenants.iter().filter(|(quota, ..)| *quota > 0.0);
        let mut parts: Vec<f64> = uses.map(|(.., used, at)| used * left(now - at, MISS_HALF_LIFE)).collect();
        parts.sort_by(f64::total_cmp);
        let middle = parts.get(parts.len().saturating_sub(1) / 2).map_or(0.0, |part| part * USE_SLACK);
        let part = if self.settings.dispatchers == 1 { 1.0 } else { middle };
        let Some((quota, tokens, used, at)) = self.tenants.get_mut(t) else { return false };
        *tokens = (*tokens + *quota * part * (now - *at)).min((*quota * part * 2.0).max(1.0));
        (*used, *at) = (*used * left(now - *at, MISS_HALF_LIFE), now);
        let over = *tokens < 1.0 || *quota <= 0.0;
        if !retry && *quota > 0.0 {
            *tokens -= f64::from(u8::from(!over));
            *used += std::f64::consts::LN_2 / MISS_HALF_LIFE / *quota;
        }
        over
    }

    /// Serves the line: sends what finds a ready worker, refuses what aim or budget leave no time for.
    pub(super) fn pump(&mut self) {
        let line: Vec<_> = self.held.iter().copied().collect();
        // What found no worker: another of the same kind would not either.
        let mut failed = Vec::new();
        for (_, _, id) in line {
            let request = &self.requests[&id];
            let what = (request.class, request.slots, self.may_have_run(request).map(|p| (p.zone, p.cell)));
            let (latest, turn) = (request.latest, self.turn_at(id));
            if self.now >= latest || turn.is_none_or(|turn| turn >= latest) {
                self.settle(id);
            } else if turn == Some(self.now) && failed.len() < 8 && !failed.contains(&what) {
                match self.draw(id, None) {
                    Some(worker) => self.send(id, worker),
                    None => failed.push(what),
                }
            }
        }
        if !self.held.is_empty() && !std::mem::replace(&mut self.pumping, true) {
            let wait = Span(10_000_000 * (1 + self.workers.len() as u64 / 16));
            self.out.push(Action::Timer(self.now + self.settings.tick.max(wait), PUMP));
        }
    }

    pub(super) fn send(&mut self, id: RequestId, i: usize) {
        let early = self.turn_at(id) != Some(self.now);
        let request = &self.requests[&id];
        let (number, class) = (request.attempts.len(), request.class);
        let blocked = early || !self.settings.parallel_attempts && request.outstanding();
        if request.settled || blocked || number >= request.most_attempts || !self.allowed(request, i) {
            return;
        }
        if number > 0 {
            self.further.push_back(self.now);
        }
        let request = self.requests.get_mut(&id).expect("looked up above");
        self.held.remove(&(request.over_share, request.rank, id));
        let w = &mut self.workers[i];
        // A connection that may have been dropped unseen is closed; unsafe work keeps further away.
        let unsafe_work = self.settings.classes[request.class].idempotency == Idempotency::Unsafe;
        let mut idle = w.idle.pop().map_or(0.0, |since| self.at - since);
        if idle > self.safe_idle / if unsafe_work { 2.0 } else { 1.0 } {
            self.out.push(Action::CloseIdle(WorkerId(i as u32)));
            w.idle.clear();
            idle = 0.0;
        }
        // A light job ends a turn that few could save: else most would have their next ones close together.
        w.turns.0 -= (request.work * request.slots / self.mean_work[1]).max(1.0 - w.turns.1);
        (w.load.own, w.load.waiting, w.returned) = (w.load.own + request.slots, w.load.waiting + 1, false);
        w.trial = w.trial.map(|_| self.at + TRIAL);
        let (worker, now) = (i, self.now);
        request.attempts.push(Attempt { worker, sent: now, heard: now, idle, ..Attempt::default() });
        self.out.push(Action::Send(id, WorkerId(i as u32)));
        if self.settings.reports_start {
            let due = self.start_due(i, idle, class);
            self.out.push(Action::Timer(self.now + due, attempt_token(id, number)));
        }
    }

    /// When a start note is due after a send: beyond the way there, a wait that matters little is none.
    pub(super) fn start_due(&self, i: usize, idle: f64, class: usize) -> Span {
        let way = self.peers(i).ways[usize::from(idle == 0.0)];
        let little = PATIENCE * 0.5 * self.settings.classes[class].objective.secs();
        Span::from_secs(way * 1.5 + little + self.settings.tick.secs())
    }

    /// The one place that settles: refused for an objective if a repeat can do no harm, else failed.
    pub(super) fn settle(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id).filter(|request| !request.settled) else { return };
        let free = matches!(
            self.settings.classes[request.class].idempotency,
            Idempotency::Safe | Idempotency::Keyed(DedupScope::All)
        );
        let harmless = free || self.may_have_run(request).is_none();
        let off = self.settings.max_hold_off.min(self.settings.classes[request.class].objective);
        self.out.push(if harmless { Action::Refuse(id, off) } else { Action::Fail(id) });
        self.close(id);
    }

    /// Nothing more is owed: takes the request off the line and withdraws what is outstanding.
    pub(super) fn close(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        self.held.remove(&(request.over_share, request.rank, id));
        request.settled = true;
        if self.settings.cancel && !request.streaming {
            let open = |(_, a): &(usize, &mut Attempt)| a.ended.is_none() && !a.cancelled;
            for (number, attempt) in request.attempts.iter_mut().enumerate().filter(open) {
                attempt.cancelled = true;
                self.out.push(Action::Cancel(id, number as u32));
            }
        }
        if !request.outstanding() {
            self.requests.remove(&id);
        }
    }
}
