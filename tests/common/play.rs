//! What a test plays in a world: requests that arrive, attempts that start and end, and whole runs of both.
//! It owns no state and checks no rule; it must never do anything that the test did not ask for.

use super::*;

impl World {
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

    pub(super) fn take(
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

    /// The start note of an attempt.
    pub fn start(&mut self, id: u32, attempt: u32) {
        self.event(Event::AttemptUpdate(RequestId(id), attempt, AttemptUpdate::Started));
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
}

/// Two workers, one in each zone, and a dispatcher that stands in neither.
pub fn two_workers(seed: u64) -> World {
    let mut world = World::new(Settings { zone: None, ..settings() }, seed);
    world.list(ListKind::Saved, vec![worker(0), worker(1)]);
    world
}

/// Sends so far to a worker.
pub fn sent_to(world: &World, n: u32) -> usize {
    world.sends().iter().filter(|(_, worker)| *worker == WorkerId(n)).count()
}

/// Runs every attempt outstanding for `run` and ends it well.
pub fn serve(world: &mut World, run: Span) {
    serve_telling(world, run, None);
}

/// The same, with a report of this many requests in hand.
pub fn serve_telling(world: &mut World, run: Span, inflight: Option<f64>) {
    let open = world.open();
    for &(id, attempt) in &open {
        world.start(id, attempt);
    }
    world.pass(run);
    for (id, attempt) in open {
        world.end_with(id, attempt, Outcome::Ok, inflight);
    }
}

/// Serves requests one by one, in 50 ms or, at worker 1, in `slow`: the share that worker 1 got.
pub fn share_of_slow(world: &mut World, ids: std::ops::Range<u32>, slow: u64) -> f64 {
    let (before, all) = (sent_to(world, 1), ids.len());
    for n in ids {
        world.arrive(n, 0);
        let there = world.requests[&RequestId(n)].attempts[0].0 == WorkerId(1);
        serve(world, ms(if there { slow } else { 50 }));
    }
    (sent_to(world, 1) - before) as f64 / all as f64
}
