//! The simulated environment of one balancer: the clock, the timers and all attempts. It checks every action
//! and records each violation of the rules: a request gets one answer, by its deadline; it takes effect once,
//! as its class's idempotency demands; retries stay within the budget; and a worker that has drained gets no
//! work. Does not model workers.

use super::*;

/// A request as the environment tracks it.
#[derive(Clone, Debug)]
pub struct TrackedRequest {
    pub class: ClassId,
    pub deadline: Time,
    pub finished: bool,
    /// Worker, send time and outcome of each attempt.
    pub attempts: Vec<(WorkerId, Time, Option<Outcome>)>,
}

impl TrackedRequest {
    /// Returns the worker and send time of the first attempt that may have run.
    fn may_have_run(&self) -> Option<(WorkerId, Time)> {
        let first = self.attempts.iter().find(|a| a.2.is_none_or(|o| !o.never_ran()));
        first.map(|a| (a.0, a.1))
    }
}

/// The simulated environment of one balancer, and the rule checker.
pub struct World {
    pub settings: Settings,
    pub balancer: Balancer,
    pub now: Time,
    pub timers: BTreeMap<(Time, u64), u64>,
    pub requests: BTreeMap<RequestId, TrackedRequest>,
    /// The latest list entry of each worker, and when its state was first reported.
    pub list: BTreeMap<WorkerId, (ListEntry, Time)>,
    pub violations: Vec<String>,
    pub log: Vec<(Time, Action)>,
    timer_serial: u64,
    /// When each worker was first reported as draining since its latest start, and that start.
    drains: BTreeMap<WorkerId, (Option<Time>, Option<Time>)>,
    /// When requests were admitted, and when attempts beyond a first one were made.
    pub(super) admitted: Vec<Time>,
    retries: Vec<Time>,
    /// Times of the sends to each worker in slow start.
    pub cold_sends: BTreeMap<WorkerId, Vec<Time>>,
}

impl World {
    pub fn new(settings: Settings, seed: u64) -> World {
        World {
            balancer: Balancer::new(settings.clone(), seed, START).expect("valid settings"),
            settings,
            now: START,
            timers: BTreeMap::new(),
            requests: BTreeMap::new(),
            list: BTreeMap::new(),
            violations: Vec::new(),
            log: Vec::new(),
            timer_serial: 0,
            drains: BTreeMap::new(),
            admitted: Vec::new(),
            retries: Vec::new(),
            cold_sends: BTreeMap::new(),
        }
    }

    /// Delivers a worker list, and records when each worker's state was reported.
    pub fn list(&mut self, kind: ListKind, entries: Vec<ListEntry>) {
        if kind != ListKind::Delta {
            for (entry, reported_at) in self.list.values_mut() {
                if !entries.iter().any(|e| e.worker == entry.worker) && entry.state == WorkerState::Ready {
                    (entry.state, *reported_at) = (WorkerState::Gone, self.now);
                }
            }
        }
        for entry in &entries {
            let (drained, up_since_seen) = self.drains.entry(entry.worker).or_insert((None, entry.up_since));
            if entry.up_since > *up_since_seen {
                (*drained, *up_since_seen) = (None, entry.up_since);
            }
            if entry.state == WorkerState::Draining {
                drained.get_or_insert(self.now);
            }
            let reported_at = match self.list.get(&entry.worker) {
                Some((old, reported_at)) if old.state == entry.state => *reported_at,
                _ => self.now,
            };
            self.list.insert(entry.worker, (entry.clone(), reported_at));
        }
        self.deliver(Event::List(kind, entries));
    }

    /// Advances the clock and delivers the timers that fall due on the way.
    pub fn advance(&mut self, span: Span) {
        let until = self.now + span;
        while let Some((&(at, timer_serial), &token)) =
            self.timers.iter().next().filter(|(k, _)| k.0.0 <= until.0)
        {
            self.timers.remove(&(at, timer_serial));
            self.now = self.now.max(at).max(self.now + Span(1));
            self.deliver(Event::Timer(token));
        }
        self.now = self.now.max(until);
        let now = self.now;
        for (id, tracked) in &self.requests {
            if !tracked.finished && now > tracked.deadline + ANSWER_SLACK {
                self.violations.push(format!("{id:?} was lost"));
            }
        }
    }

    /// Delivers an event to the balancer, and applies and logs its actions.
    pub fn deliver(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in actions {
            self.log.push((self.now, action.clone()));
            self.apply(&action);
        }
    }

    /// Applies an action and records each rule that it violates.
    pub fn apply(&mut self, action: &Action) {
        let now = self.now;
        match *action {
            Action::Timer(at, token) => {
                self.timer_serial += 1;
                self.timers.insert((at, self.timer_serial), token);
            }
            Action::Send(id, worker) => self.record_send(id, worker),
            Action::Refuse(id, _) | Action::Fail(id) => {
                let tracked = self.requests.get_mut(&id).expect("a known request");
                let idempotency = self.settings.classes[tracked.class.0 as usize].idempotency;
                let possibly_ran = tracked.may_have_run().is_some();
                let refused = matches!(action, Action::Refuse(..));
                let harmless = matches!(idempotency, Idempotency::Safe | Idempotency::Keyed(DedupScope::All));
                if refused && possibly_ran && !harmless {
                    self.violations.push(format!("{id:?} refused though it may have run"));
                }
                if tracked.finished {
                    self.violations.push(format!("{id:?} answered twice"));
                }
                if now > tracked.deadline + ANSWER_SLACK {
                    self.violations.push(format!("{id:?} answered late"));
                }
                tracked.finished = true;
            }
            Action::Cancel(id, attempt) => {
                let tracked = &self.requests[&id];
                assert!(
                    (attempt as usize) < tracked.attempts.len(),
                    "cancelled an attempt that was never made"
                );
            }
            Action::Subscribe | Action::Fetch | Action::Probe(_) | Action::CloseIdle(_) => {}
        }
    }

    /// Records an attempt, and each rule that it violates.
    fn record_send(&mut self, id: RequestId, worker: WorkerId) {
        let now = self.now;
        let tracked = self.requests.get_mut(&id).expect("a known request");
        if tracked.finished {
            self.violations.push(format!("{id:?} sent after its answer"));
        }
        let class = &self.settings.classes[tracked.class.0 as usize];
        if let Some(first) = tracked.may_have_run() {
            let cell = |w: WorkerId| self.list[&w].0.cell;
            let twice = match class.idempotency {
                Idempotency::Safe => false,
                Idempotency::Unsafe => true,
                Idempotency::Keyed(group) => {
                    let same = group == DedupScope::All || cell(first.0) == cell(worker);
                    !same || now >= first.1 + class.window
                }
            };
            if twice {
                self.violations.push(format!("{id:?} may take effect twice"));
            }
            if !self.settings.parallel_attempts && tracked.attempts.iter().any(|a| a.2.is_none()) {
                self.violations.push(format!("{id:?} has two attempts outstanding"));
            }
        }
        if let Some(Budget { floor, ratio, window }) = self.settings.budget
            && !tracked.attempts.is_empty()
        {
            self.retries.push(now);
            let within = |times: &[Time]| times.iter().filter(|t| **t + window > now).count() as f64;
            if within(&self.retries) > floor + ratio * within(&self.admitted) + 1e-9 {
                self.violations.push(format!("{id:?} got an attempt beyond the budget"));
            }
        }
        tracked.attempts.push((worker, now, None));
        let (entry, reported_at) = &self.list[&worker];
        let reported_at = match self.settings.only_draining_excludes {
            true => self.drains[&worker].0,
            false => Some(*reported_at).filter(|_| entry.state != WorkerState::Ready),
        };
        if reported_at.is_some_and(|reported_at| now > reported_at + self.settings.drain_grace) {
            self.violations.push(format!("{worker:?} got work after its drain"));
        }
        if entry.up_since.is_some_and(|up| now < up + self.settings.warm_after) {
            self.cold_sends.entry(worker).or_default().push(now);
        }
    }
}
