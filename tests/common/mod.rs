//! A world in miniature for the tests: it delivers timers, keeps attempts, and checks the five rules
//! on every action. It models no server; the test says what each attempt does.
#![allow(dead_code)]

pub mod workers;

use sablerun::*;
use std::collections::BTreeMap;

/// The clock that the tests start at.
pub const START: Time = Time(5_000_000_000);

/// How long after the deadline an answer still counts: 20 ms.
pub const ANSWER_SLACK: Span = Span(20_000_000);

/// A length in milliseconds.
pub fn ms(n: u64) -> Span {
    Span(n * 1_000_000)
}

/// A class with an objective of 200 ms and a deadline of 5 s.
pub fn class(effect: Effect) -> Class {
    Class {
        objective: ms(200),
        stretch: 2.0,
        deadline: ms(5000),
        worth: 1.0,
        late_worth: 0.0,
        effect,
        window: ms(2000),
        kind: None,
    }
}

/// Two dispatchers; classes: 0 safe, 1 unsafe, 2 keyed by cell, 3 keyed by all.
pub fn settings() -> Settings {
    Settings {
        dispatchers: 2,
        zone: Some(ZoneId(0)),
        classes: [Effect::Safe, Effect::Unsafe, Effect::Keyed(Group::Cell), Effect::Keyed(Group::All)]
            .map(class)
            .to_vec(),
        tick: ms(5),
        tells_start: true,
        progress: ms(1000),
        parallel: true,
        max_attempts: 4,
        ..Settings::default()
    }
}

/// A worker in zone and cell `n % 2`.
pub fn worker(n: u32) -> ListEntry {
    ListEntry {
        worker: WorkerId(n),
        zone: ZoneId(n % 2),
        kind: KindId(0),
        cell: n % 2,
        standing: Standing::Ready,
        size: 1.0,
        up_since: None,
    }
}

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
    taken: Vec<Time>,
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
                if !entries.iter().any(|e| e.worker == entry.worker) && entry.standing == Standing::Ready {
                    (entry.standing, *told) = (Standing::Gone, self.now);
                }
            }
        }
        for entry in &entries {
            let (drained, up) = self.drains.entry(entry.worker).or_insert((None, entry.up_since));
            if entry.up_since > *up {
                (*drained, *up) = (None, entry.up_since);
            }
            if entry.standing == Standing::Draining {
                drained.get_or_insert(self.now);
            }
            let told = match self.list.get(&entry.worker) {
                Some((old, told)) if old.standing == entry.standing => *told,
                _ => self.now,
            };
            self.list.insert(entry.worker, (entry.clone(), told));
        }
        self.event(Event::List(kind, entries));
    }

    pub fn arrive(&mut self, id: u32, class: u32) {
        self.arrive_from(id, class, None);
    }

    pub fn arrive_from(&mut self, id: u32, class: u32, tenant: Option<TenantId>) {
        let deadline = self.now + self.settings.classes[class as usize].deadline;
        self.arrive_until(id, class, tenant, deadline);
    }

    /// A request whose client waits until `deadline`.
    pub fn arrive_until(&mut self, id: u32, class: u32, tenant: Option<TenantId>, deadline: Time) {
        self.take(id, class, tenant, deadline, false, Span(0));
    }

    /// A later try, marked as one, whose client waits until `deadline`.
    pub fn retry_until(&mut self, id: u32, class: u32, deadline: Time) {
        self.take(id, class, None, deadline, true, Span(0));
    }

    /// A request with a hint of its running time.
    pub fn arrive_hinted(&mut self, id: u32, class: u32, hint: Span) {
        let deadline = self.now + self.settings.classes[class as usize].deadline;
        self.take(id, class, None, deadline, false, hint);
    }

    fn take(
        &mut self,
        id: u32,
        class: u32,
        tenant: Option<TenantId>,
        deadline: Time,
        retry: bool,
        estimate: Span,
    ) {
        let (request, class) = (RequestId(id), ClassId(class));
        self.taken.push(self.now);
        self.requests.insert(request, Known { class, deadline, settled: false, attempts: Vec::new() });
        let (slots, memory) = (1.0, 0.0);
        let arrival =
            Arrival { request, class, tenant, deadline, slots, memory, estimate, retry, prior: None };
        self.event(Event::Arrival(arrival));
    }

    /// Ends an attempt if it is outstanding.
    pub fn end(&mut self, id: u32, attempt: u32, outcome: Outcome) {
        self.end_with(id, attempt, outcome, None);
    }

    /// Ends an attempt with a report of this many requests in hand at its worker.
    pub fn end_with(&mut self, id: u32, attempt: u32, outcome: Outcome, inflight: Option<f64>) {
        let report = inflight.map(|n| Report { inflight: Some(n), ..Report::default() });
        self.end_reported(id, attempt, outcome, report);
    }

    /// Ends an attempt, with its worker's report if one came along.
    pub fn end_reported(&mut self, id: u32, attempt: u32, outcome: Outcome, report: Option<Report>) {
        let request = RequestId(id);
        let Some(known) = self.requests.get_mut(&request) else { return };
        match known.attempts.get_mut(attempt as usize) {
            Some(slot) if slot.2.is_none() => slot.2 = Some(outcome),
            _ => return,
        }
        known.settled |= outcome == Outcome::Ok;
        let closed = known.settled;
        self.event(Event::Ended { request, attempt, outcome, closed, report });
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
                let effect = self.settings.classes[known.class.0 as usize].effect;
                let may = known.may_have_run().is_some();
                let refused = matches!(action, Action::Refuse(..));
                let harmless = matches!(effect, Effect::Safe | Effect::Keyed(Group::All));
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
            Action::Subscribe | Action::Fetch | Action::Probe(_) | Action::Release(_) => {}
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
            let twice = match class.effect {
                Effect::Safe => false,
                Effect::Unsafe => true,
                Effect::Keyed(group) => {
                    let same = group == Group::All || cell(first.0) == cell(worker);
                    !same || now >= first.1 + class.window
                }
            };
            if twice {
                self.broken.push(format!("{id:?} may take effect twice"));
            }
            if !self.settings.parallel && known.attempts.iter().any(|a| a.2.is_none()) {
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
        let told = match self.settings.drain_binds_alone {
            true => self.drains[&worker].0,
            false => Some(*told).filter(|_| entry.standing != Standing::Ready),
        };
        if told.is_some_and(|told| now > told + self.settings.drain_grace) {
            self.broken.push(format!("{worker:?} got work after its drain"));
        }
        if entry.up_since.is_some_and(|up| now < up + self.settings.warm_after) {
            self.cold_sends.entry(worker).or_default().push(now);
        }
    }

    /// Request and number of each attempt that is outstanding.
    pub fn open(&self) -> Vec<(u32, u32)> {
        let all = self.requests.iter().flat_map(|(id, known)| {
            known.attempts.iter().enumerate().map(|(n, attempt)| (id.0, n as u32, attempt.2))
        });
        all.filter(|(_, _, ended)| ended.is_none()).map(|(id, n, _)| (id, n)).collect()
    }

    /// Where each attempt so far went.
    pub fn sends(&self) -> Vec<(RequestId, WorkerId)> {
        let sends = self.log.iter().filter_map(|(_, action)| match action {
            Action::Send(id, worker) => Some((*id, *worker)),
            _ => None,
        });
        sends.collect()
    }

    /// The start note of an attempt.
    pub fn start(&mut self, id: u32, attempt: u32) {
        self.event(Event::Noted(RequestId(id), attempt, Note::Started));
    }
}
