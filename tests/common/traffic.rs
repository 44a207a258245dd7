//! The traffic that a test sends through a world: arriving requests, starts and ends of attempts, and runs of
//! many of them. Holds no state and checks no rules.

use super::*;

impl World {
    pub fn arrive(&mut self, id: u32, class: u32) {
        self.arrive_from(id, class, None);
    }

    pub fn arrive_from(&mut self, id: u32, class: u32, tenant: Option<TenantId>) {
        let deadline = self.now + self.settings.classes[class as usize].deadline;
        self.arrive_with_deadline(id, class, tenant, deadline);
    }

    /// Delivers a request whose client waits until `deadline`.
    pub fn arrive_with_deadline(&mut self, id: u32, class: u32, tenant: Option<TenantId>, deadline: Time) {
        self.admit(id, class, tenant, deadline, false, Span(0));
    }

    /// Delivers a client's retry, marked as such, whose client waits until `deadline`.
    pub fn retry_with_deadline(&mut self, id: u32, class: u32, deadline: Time) {
        self.admit(id, class, None, deadline, true, Span(0));
    }

    /// Delivers a request with a hint of its running time.
    pub fn arrive_hinted(&mut self, id: u32, class: u32, hint: Span) {
        let deadline = self.now + self.settings.classes[class as usize].deadline;
        self.admit(id, class, None, deadline, false, hint);
    }

    pub(super) fn admit(
        &mut self,
        id: u32,
        class: u32,
        tenant: Option<TenantId>,
        deadline: Time,
        retry: bool,
        estimate: Span,
    ) {
        let (request, class) = (RequestId(id), ClassId(class));
        self.admitted.push(self.now);
        self.requests
            .insert(request, TrackedRequest { class, deadline, finished: false, attempts: Vec::new() });
        let (slots, memory) = (1.0, 0.0);
        let arrival =
            Arrival { request, class, tenant, deadline, slots, memory, estimate, retry, prior: None };
        self.deliver(Event::Arrival(arrival));
    }

    /// Ends an attempt if it is outstanding.
    pub fn end(&mut self, id: u32, attempt: u32, outcome: Outcome) {
        self.end_with(id, attempt, outcome, None);
    }

    /// Ends an attempt; its worker reports `inflight` requests, if given.
    pub fn end_with(&mut self, id: u32, attempt: u32, outcome: Outcome, inflight: Option<f64>) {
        let report = inflight.map(|n| Report { inflight: Some(n), ..Report::default() });
        self.end_reported(id, attempt, outcome, report);
    }

    /// Ends an attempt, with its worker's report if there is one.
    pub fn end_reported(&mut self, id: u32, attempt: u32, outcome: Outcome, report: Option<Report>) {
        let request = RequestId(id);
        let Some(tracked) = self.requests.get_mut(&request) else { return };
        match tracked.attempts.get_mut(attempt as usize) {
            Some(attempt_record) if attempt_record.2.is_none() => attempt_record.2 = Some(outcome),
            _ => return,
        }
        tracked.finished |= outcome == Outcome::Ok;
        let closed = tracked.finished;
        self.deliver(Event::Ended { request, attempt, outcome, closed, report });
    }

    /// Delivers the start report of an attempt.
    pub fn start(&mut self, id: u32, attempt: u32) {
        self.deliver(Event::AttemptUpdate(RequestId(id), attempt, AttemptUpdate::Started));
    }

    /// Returns the request and number of each outstanding attempt.
    pub fn outstanding(&self) -> Vec<(u32, u32)> {
        let all = self.requests.iter().flat_map(|(id, tracked)| {
            tracked.attempts.iter().enumerate().map(|(n, attempt)| (id.0, n as u32, attempt.2))
        });
        all.filter(|(_, _, ended)| ended.is_none()).map(|(id, n, _)| (id, n)).collect()
    }

    /// Returns the request and worker of every send so far.
    pub fn sends(&self) -> Vec<(RequestId, WorkerId)> {
        let sends = self.log.iter().filter_map(|(_, action)| match action {
            Action::Send(id, worker) => Some((*id, *worker)),
            _ => None,
        });
        sends.collect()
    }
}

/// Returns a world with two workers, one in each zone, and a dispatcher without a zone.
pub fn two_workers(seed: u64) -> World {
    let mut world = World::new(Settings { zone: None, ..settings() }, seed);
    world.list(ListKind::Saved, vec![worker(0), worker(1)]);
    world
}

/// Returns the number of sends so far to a worker.
pub fn sent_to(world: &World, n: u32) -> usize {
    world.sends().iter().filter(|(_, worker)| *worker == WorkerId(n)).count()
}

/// Runs every outstanding attempt for `run` and ends it successfully.
pub fn serve(world: &mut World, run: Span) {
    serve_with_report(world, run, None);
}

/// Like [`serve`], with reports of `inflight` requests at the workers, if given.
pub fn serve_with_report(world: &mut World, run: Span, inflight: Option<f64>) {
    let open = world.outstanding();
    for &(id, attempt) in &open {
        world.start(id, attempt);
    }
    world.advance(run);
    for (id, attempt) in open {
        world.end_with(id, attempt, Outcome::Ok, inflight);
    }
}

/// Serves requests one by one, in 50 ms or, at worker 1, in `slow` ms. Returns the share sent to worker 1.
pub fn share_of_worker_1(world: &mut World, ids: std::ops::Range<u32>, slow: u64) -> f64 {
    let (before, all) = (sent_to(world, 1), ids.len());
    for n in ids {
        world.arrive(n, 0);
        let at_worker_1 = world.requests[&RequestId(n)].attempts[0].0 == WorkerId(1);
        serve(world, ms(if at_worker_1 { slow } else { 50 }));
    }
    (sent_to(world, 1) - before) as f64 / all as f64
}
