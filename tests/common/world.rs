//! The checker: a world in miniature round one dispatcher. It owns the clock, the timers and every attempt,
//! and notes each of the five rules that an action breaks. It must never model a server or excuse a breach.

use super::*;

/// A request as the checker knows it.
#[derive(Clone, Debug)]
pub struct Known {
    pub class: ClassId,
    pub deadline: Time,
    pub settled: bool,
    /// Worker, send time and outcome of each attempt.
    pub attempts: Vec<(WorkerId, Time, Option<Outcome>)>,
}

impl Known {
    /// Worker and send time of the first attempt that may have run.
    fn may_have_run(&self) -> Option<(WorkerId, Time)> {
        let first = self.attempts.iter().find(|a| a.2.is_none_or(|o| !o.never_ran()));
        first.map(|a| (a.0, a.1))
    }
}

/// The checker.
pub struct World {
    pub settings: Settings,
    pub balancer: Balancer,
    pub now: Time,
    pub timers: BTreeMap<(Time, u64), u64>,
    pub requests: BTreeMap<RequestId, Known>,
    pub list: BTreeMap<WorkerId, (ListEntry, Time)>,
    pub broken: Vec<String>,
    pub log: Vec<(Time, Action)>,
    serial: u64,
    /// When each worker was first told to drain since its latest start, and that start.
    drains: BTreeMap<WorkerId, (Option<Time>, Option<Time>)>,
    /// When requests were taken and attempts beyond a first one made.
    pub(super) taken: Vec<Time>,
    further: Vec<Time>,
    /// Times of the sends to each cold worker.
    pub cold_sends: BTreeMap<WorkerId, Vec<Time>>,
}

impl World {
    pub fn new(settings: Settings, seed: u64) -> World {
        World {
            balancer: Balancer::new(settings.clone(), seed, START).expect("sound settings"),
            settings,
            now: START,
            timers: BTreeMap::new(),
            requests: BTreeMap::new(),
            list: BTreeMap::new(),
            broken: Vec::new(),
            log: Vec::new(),
            serial: 0,
            drains: BTreeMap::new(),
            taken: Vec::new(),
            further: Vec::new(),
            cold_sends: BTreeMap::new(),
        }
    }

    pub fn list(&mut self, kind: ListKind, entries: Vec<ListEntry>) {
        if kind != ListKind::Delta {
            for (entry, told) in self.list.values_mut() {
                if !entries.iter().any(|e| e.worker == entry.worker) && entry.state == WorkerState::Ready {
                    (entry.state, *told) = (WorkerState::Gone, self.now);
                }
            }
        }
        for entry in &entries {
            let (drained, up) = self.drains.entry(entry.worker).or_insert((None, entry.up_since));
            if entry.up_since > *up {
                (*drained, *up) = (None, entry.up_since);
            }
            if entry.state == WorkerState::Draining {
                drained.get_or_insert(self.now);
            }
            let told = match self.list.get(&entry.worker) {
                Some((old, told)) if old.state == entry.state => *told,
                _ => self.now,
            };
            self.list.insert(entry.worker, (entry.clone(), told));
        }
        self.event(Event::List(kind, entries));
    }

    /// Passes time, delivering the timers that fall due on the way.
    pub fn pass(&mut self, span: Span) {
        let until = self.now + span;
        while let Some((&(at, serial), &token)) = self.timers.iter().next().filter(|(k, _)| k.0.0 <= until.0)
        {
            self.timers.remove(&(at, serial));
            self.now = self.now.max(at).max(self.now + Span(1));
            self.event(Event::Timer(token));
        }
        self.now = self.now.max(until);
        let now = self.now;
        for (id, known) in &self.requests {
            if !known.settled && now > known.deadline + ANSWER_SLACK {
                self.broken.push(format!("{id:?} was lost"));
            }
        }
    }

    pub fn event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in actions {
            self.log.push((self.now, action.clone()));
            self.action(&action);
        }
    }

    /// Applies an action and notes each rule that it breaks.
    pub fn action(&mut self, action: &Action) {
        let now = self.now;
        match *action {
            Action::Timer(at, token) => {
                self.serial += 1;
                self.timers.insert((at, self.serial), token);
            }
            Action::Send(id, worker) => self.sent(id, worker),
            Action::Refuse(id, _) | Action::Fail(id) => {
                let known = self.requests.get_mut(&id).expect("a known request");
                let effect = self.settings.classes[known.class.0 as usize].idempotency;
                let may = known.may_have_run().is_some();
                let refused = matches!(action, Action::Refuse(..));
                let harmless = matches!(effect, Idempotency::Safe | Idempotency::Keyed(DedupScope::All));
                if refused && may && !harmless {
                    self.broken.push(format!("{id:?} refused though it may have run"));
                }
                if known.settled {
                    self.broken.push(format!("{id:?} answered twice"));
                }
                if now > known.deadline + ANSWER_SLACK {
                    self.broken.push(format!("{id:?} answered late"));
                }
                known.settled = true;
            }
            Action::Cancel(id, attempt) => {
                let known = &self.requests[&id];
                assert!((attempt as usize) < known.attempts.len(), "an attempt never made");
            }
            Action::Subscribe | Action::Fetch | Action::Probe(_) | Action::CloseIdle(_) => {}
        }
    }

    fn sent(&mut self, id: RequestId, worker: WorkerId) {
        let now = self.now;
        let known = self.requests.get_mut(&id).expect("a known request");
        if known.settled {
            self.broken.push(format!("{id:?} sent after its answer"));
        }
        let class = &self.settings.classes[known.class.0 as usize];
        if let Some(first) = known.may_have_run() {
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
                self.broken.push(format!("{id:?} may take effect twice"));
            }
            if !self.settings.parallel_attempts && known.attempts.iter().any(|a| a.2.is_none()) {
                self.broken.push(format!("{id:?} has two attempts outstanding"));
            }
        }
        if let Some(Budget { floor, ratio, window }) = self.settings.budget
            && !known.attempts.is_empty()
        {
            self.further.push(now);
            let within = |times: &[Time]| times.iter().filter(|t| **t + window > now).count() as f64;
            if within(&self.further) > floor + ratio * within(&self.taken) + 1e-9 {
                self.broken.push(format!("{id:?} got an attempt beyond the budget"));
            }
        }
        known.attempts.push((worker, now, None));
        let (entry, told) = &self.list[&worker];
        let told = match self.settings.only_draining_excludes {
            true => self.drains[&worker].0,
            false => Some(*told).filter(|_| entry.state != WorkerState::Ready),
        };
        if told.is_some_and(|told| now > told + self.settings.drain_grace) {
            self.broken.push(format!("{worker:?} got work after its drain"));
        }
        if entry.up_since.is_some_and(|up| now < up + self.settings.warm_after) {
            self.cold_sends.entry(worker).or_default().push(now);
        }
    }
}
