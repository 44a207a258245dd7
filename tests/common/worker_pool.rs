//! Simulated workers with slots and a bounded queue that many dispatchers share, on one simulated clock.
//! Counts what the dispatchers decide; checks nothing.

use super::*;
use std::collections::VecDeque;

/// Step of the clock, in milliseconds. Dispatchers receive a step's notices in the next step.
pub const STEP_MS: u64 = 5;
/// Slots of a worker. It is full when these are taken and its queue is full.
const SLOTS: usize = 4;
/// Jobs that may wait at a worker.
const MAX_QUEUED: usize = 4;
/// The interval between a worker's reports, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 500;
/// How much later answers carry a new report, in milliseconds.
const REPORT_DELAY_MS: u64 = 200;

/// A request as its client sees it.
pub struct ClientRequest {
    pub tenant: usize,
    pub submitted_at: Time,
    /// When it should be answered.
    pub target: Time,
    /// Running time on a worker without a slowdown.
    pub running_time_s: f64,
    pub served_at: Option<Time>,
}

#[derive(Clone, Copy)]
struct Job {
    dispatcher: usize,
    id: u32,
    attempt: u32,
    ends_at: Time,
}

/// What the dispatcher is notified of about an attempt in the next step.
enum Notice {
    Started,
    Ended(Outcome, Option<Report>),
}

struct WorkerModel {
    /// The factor by which jobs take longer than usual.
    slowdown: f64,
    running: Vec<Job>,
    queue: VecDeque<Job>,
    latency_s: f64,
    latest_report: Report,
    visible_report: Option<Report>,
}

impl WorkerModel {
    fn report(&self) -> Report {
        Report {
            inflight: Some((self.running.len() + self.queue.len()) as f64),
            free_slots: Some((SLOTS - self.running.len()) as f64),
            latency: Some(Span::from_secs(self.latency_s)),
            ..Report::default()
        }
    }
}

/// Dispatchers, the workers that they share, and the requests submitted so far.
pub struct Fleet {
    pub worlds: Vec<World>,
    pub submitted: Vec<ClientRequest>,
    /// Sends to each worker.
    pub sends: Vec<usize>,
    models: Vec<WorkerModel>,
    notices: Vec<(Job, Notice)>,
    sends_reports: bool,
    steps: u64,
    processed: Vec<usize>,
}

impl Fleet {
    /// Creates workers with these slowdowns and lists them to every world. With `sends_reports`, each answer
    /// carries a load report.
    pub fn new(mut worlds: Vec<World>, slowdowns: &[f64], sends_reports: bool) -> Fleet {
        for world in &mut worlds {
            world.list(ListKind::Saved, (0..slowdowns.len() as u32).map(worker).collect());
        }
        let model = |slowdown: &f64| WorkerModel {
            slowdown: *slowdown,
            running: Vec::new(),
            queue: VecDeque::new(),
            latency_s: 0.15 * slowdown,
            latest_report: Report::default(),
            visible_report: None,
        };
        Fleet {
            processed: vec![0; worlds.len()],
            sends: vec![0; slowdowns.len()],
            models: slowdowns.iter().map(model).collect(),
            worlds,
            submitted: Vec::new(),
            notices: Vec::new(),
            sends_reports,
            steps: 0,
        }
    }

    /// Notifies all dispatchers at once that a worker drains.
    pub fn drain(&mut self, n: u32) {
        for world in &mut self.worlds {
            let entry = ListEntry { state: WorkerState::Draining, ..worker(n) };
            world.list(ListKind::Delta, vec![entry]);
        }
    }

    /// Submits a tenant's request to a dispatcher, with a hint of its running time if given.
    pub fn submit(&mut self, dispatcher: usize, tenant: usize, running_time_s: f64, hint: Option<f64>) {
        let (id, world) = (self.submitted.len() as u32, &mut self.worlds[dispatcher]);
        let (submitted_at, class) = (world.now, &world.settings.classes[0]);
        let target = submitted_at + class.objective + Span::from_secs(class.stretch * running_time_s);
        self.submitted.push(ClientRequest { tenant, submitted_at, target, running_time_s, served_at: None });
        let estimate = hint.map_or(Span(0), Span::from_secs);
        let deadline = submitted_at + class.deadline;
        world.admit(id, 0, Some(TenantId(tenant as u32)), deadline, false, estimate);
    }

    /// Advances by one step: dispatchers receive the notices, then workers receive new sends and run jobs.
    pub fn step(&mut self) {
        self.steps += 1;
        for world in &mut self.worlds {
            world.advance(ms(STEP_MS));
        }
        for (job, notice) in std::mem::take(&mut self.notices) {
            let world = &mut self.worlds[job.dispatcher];
            match notice {
                Notice::Started => world.start(job.id, job.attempt),
                Notice::Ended(outcome, report) => {
                    // Ends of attempts that were cancelled, or answered meanwhile, are ignored.
                    let request = RequestId(job.id);
                    let finished =
                        |w: &World| w.requests.get(&request).is_none_or(|tracked| tracked.finished);
                    let was_finished = finished(world);
                    world.end_reported(job.id, job.attempt, outcome, report);
                    if !was_finished && outcome == Outcome::Ok && finished(world) {
                        self.submitted[job.id as usize].served_at = Some(world.now);
                    }
                }
            }
        }
        for dispatcher in 0..self.worlds.len() {
            self.deliver_actions(dispatcher);
        }
        let now = self.worlds[0].now;
        for n in 0..self.models.len() {
            self.run_worker(n, now);
        }
        if self.steps.is_multiple_of(200) {
            // Finished requests cannot change any more, and scanning them in each step is slow.
            for world in &mut self.worlds {
                world
                    .requests
                    .retain(|_, tracked| !tracked.finished || tracked.attempts.iter().any(|a| a.2.is_none()));
            }
        }
    }

    /// Delivers a dispatcher's new sends and cancellations to the workers.
    fn deliver_actions(&mut self, dispatcher: usize) {
        let world = &self.worlds[dispatcher];
        let actions: Vec<Action> =
            world.log[self.processed[dispatcher]..].iter().map(|(_, action)| action.clone()).collect();
        self.processed[dispatcher] = world.log.len();
        let mut new_attempts: Vec<(RequestId, u32)> = Vec::new();
        for action in actions {
            match action {
                Action::Send(id, to) => {
                    // Several sends of one request in a step are numbered in order; the last one is the
                    // newest.
                    let attempt_count = self.worlds[dispatcher].requests[&id].attempts.len() as u32;
                    let attempt = new_attempts.iter().filter(|m| m.0 == id).map(|m| m.1 + 1).max();
                    let attempt = attempt.unwrap_or(attempt_count - 1);
                    new_attempts.push((id, attempt));
                    let job = Job { dispatcher, id: id.0, attempt, ends_at: Time(0) };
                    self.sends[to.0 as usize] += 1;
                    let model = &mut self.models[to.0 as usize];
                    if model.running.len() + model.queue.len() >= SLOTS + MAX_QUEUED {
                        let notice =
                            Notice::Ended(Outcome::Full, model.visible_report.filter(|_| self.sends_reports));
                        self.notices.push((job, notice));
                    } else {
                        model.queue.push_back(job);
                    }
                }
                // A queued job is removed; a running one runs on, and its end is ignored.
                Action::Cancel(id, attempt) => {
                    let is_cancelled_job =
                        |job: &Job| (job.dispatcher, job.id, job.attempt) == (dispatcher, id.0, attempt);
                    self.models.iter_mut().for_each(|model| model.queue.retain(|job| !is_cancelled_job(job)));
                    let job = Job { dispatcher, id: id.0, attempt, ends_at: Time(0) };
                    self.notices.push((job, Notice::Ended(Outcome::Cancelled, None)));
                }
                _ => {}
            }
        }
    }

    /// Ends a worker's finished jobs, starts queued ones, and makes its report when that is due.
    fn run_worker(&mut self, n: usize, now: Time) {
        let model = &mut self.models[n];
        let clock_ms = self.steps * STEP_MS;
        if clock_ms % REPORT_INTERVAL_MS == REPORT_DELAY_MS % REPORT_INTERVAL_MS {
            model.visible_report =
                Some(model.latest_report).filter(|latest_report| latest_report.inflight.is_some());
        }
        for job in model.running.extract_if(.., |job| job.ends_at <= now).collect::<Vec<_>>() {
            let took_s = self.submitted[job.id as usize].running_time_s * model.slowdown;
            model.latency_s += 0.1 * (took_s - model.latency_s);
            let report = model.visible_report.filter(|_| self.sends_reports);
            self.notices.push((job, Notice::Ended(Outcome::Ok, report)));
        }
        while model.running.len() < SLOTS
            && let Some(job) = model.queue.pop_front()
        {
            let running_time =
                Span::from_secs(self.submitted[job.id as usize].running_time_s * model.slowdown);
            model.running.push(Job { ends_at: now + running_time, ..job });
            self.notices.push((job, Notice::Started));
        }
        if clock_ms.is_multiple_of(REPORT_INTERVAL_MS) {
            model.latest_report = model.report();
        }
    }
}
