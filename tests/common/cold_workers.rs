//! Simulated cold and warm workers that many dispatchers share, on one simulated clock. A worker in slow
//! start runs jobs slower, in proportion to the capacity that it lacks. Records what is sent; checks nothing.

use super::*;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

/// Step of the clock, in milliseconds.
pub const STEP_MS: u64 = 10;
/// The numbers of cold workers, which come first, and of warm ones.
pub const COLD_WORKERS: usize = 2;
pub const WARM_WORKERS: usize = 2;
/// Jobs that may wait at a worker.
const MAX_QUEUED: usize = 12;

/// A deployment: slow start (times in milliseconds), slots, jobs (share and running time in seconds), and
/// whether clients give hints and workers give reports.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    pub cold_from: f64,
    pub warm_after: u64,
    pub fall_multiple: f64,
    pub fall_after: u64,
    pub slots: usize,
    pub jobs: [(f64, f64); 3],
    pub hints_and_reports: bool,
}

impl Deployment {
    pub fn mean_running_time(&self) -> f64 {
        self.jobs.iter().map(|(share, running_time)| share * running_time).sum()
    }

    /// Returns the share of its capacity that a worker has at an age.
    pub fn warm_up_fraction(&self, age: Span) -> f64 {
        let progress = age.secs() / ms(self.warm_after).secs();
        (self.cold_from + (1.0 - self.cold_from) * progress).min(1.0)
    }

    /// Returns the budget of a window that begins at this age, in requests of mean running time.
    pub fn budget(&self, age: Span) -> f64 {
        self.warm_up_fraction(age) * self.slots as f64 / self.mean_running_time()
            * self.fall_multiple
            * ms(self.fall_after).secs()
    }

    fn settings(&self, dispatchers: u32) -> Settings {
        let classes = self
            .jobs
            .map(|(_, running_time)| (Span::from_secs(running_time.max(0.2)), class(Idempotency::Safe)));
        Settings {
            dispatchers,
            classes: classes.map(|(objective, class)| Class { objective, ..class }).to_vec(),
            zone: None,
            cold_from: self.cold_from,
            warm_after: ms(self.warm_after),
            fall_multiple: self.fall_multiple,
            fall_after: ms(self.fall_after),
            ..settings()
        }
    }
}

/// One simulation run.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    pub deployment: Deployment,
    pub fleet_size: u32,
    /// Whether a few dispatchers get most of the traffic.
    pub uneven: bool,
    /// Whether dispatchers learn of the cold workers one after another instead of all at once.
    pub staggered_lists: bool,
    /// Whether dispatchers have served jobs before the cold workers start.
    pub has_history: bool,
    /// Whether the first dispatchers, which are the busiest, are restarted during the slow start.
    pub restarts: bool,
    pub seed: u64,
}

/// An attempt: dispatcher, request and attempt number.
type Job = (usize, u32, u32);

#[derive(Default)]
struct WorkerModel {
    running: usize,
    queue: VecDeque<Job>,
}

/// The dispatchers, the workers, and the sends to the cold workers.
pub struct Fleet {
    case: Case,
    pub start: Time,
    pub worlds: Vec<World>,
    /// How many entries of each dispatcher's log were processed.
    processed: Vec<usize>,
    /// The running time of each request on a warm worker, in seconds.
    running_times: Vec<f64>,
    models: Vec<WorkerModel>,
    /// The end of each running job, and its worker.
    ends: BinaryHeap<Reverse<(Time, Job, usize)>>,
    /// For each cold worker: the time of each send and its running time as a multiple of the mean.
    pub sends: Vec<Vec<(Time, f64)>>,
}

impl Fleet {
    fn world(case: &Case, number: u32, now: Time) -> World {
        let settings = Settings { number, ..case.deployment.settings(case.fleet_size) };
        let mut world = World::new(settings, case.seed * 100 + u64::from(number));
        world.now = now;
        world.list(
            ListKind::Saved,
            (COLD_WORKERS..COLD_WORKERS + WARM_WORKERS).map(|n| worker(n as u32)).collect(),
        );
        world
    }

    pub fn new(case: Case) -> Fleet {
        Fleet {
            start: START + ms(if case.has_history { 2000 } else { 0 }),
            worlds: (0..case.fleet_size).map(|number| Fleet::world(&case, number, START)).collect(),
            processed: vec![0; case.fleet_size as usize],
            running_times: Vec::new(),
            models: (0..COLD_WORKERS + WARM_WORKERS).map(|_| WorkerModel::default()).collect(),
            ends: BinaryHeap::new(),
            sends: vec![Vec::new(); COLD_WORKERS],
            case,
        }
    }

    /// Delivers the list with the cold workers to dispatcher `d` when it is due, and may restart it later.
    pub fn update_list(&mut self, d: usize, now: Time) {
        let (case, delay) = (self.case, Span(ms(3000).0 * d as u64 / u64::from(self.case.fleet_size)));
        let delay =
            if case.staggered_lists { Span(delay.0 / ms(STEP_MS).0 * ms(STEP_MS).0) } else { Span(0) };
        let restarted = case.restarts && d < 5 && now == self.start + ms(4000) + delay;
        if restarted {
            (self.worlds[d], self.processed[d]) = (Fleet::world(&case, d as u32, now), 0);
        }
        if restarted || now == self.start + delay {
            let cold_entry = |n| ListEntry { up_since: Some(self.start), ..worker(n) };
            let warm_entries = (COLD_WORKERS..COLD_WORKERS + WARM_WORKERS).map(|n| worker(n as u32));
            self.worlds[d]
                .list(ListKind::Full, (0..COLD_WORKERS as u32).map(cold_entry).chain(warm_entries).collect());
        }
    }

    /// Delivers a request of a random class to dispatcher `d`.
    pub fn submit(&mut self, d: usize, rng: &mut fastrand::Rng) {
        let (deployment, mut draw) = (self.case.deployment, rng.f64());
        let class = deployment.jobs.iter().position(|(share, _)| {
            draw -= share;
            draw < 0.0
        });
        let class = class.unwrap_or(0);
        let running_time = deployment.jobs[class].1 * (0.5 + rng.f64());
        let hint = Span::from_secs(if deployment.hints_and_reports { running_time * 0.8 } else { 0.0 });
        self.running_times.push(running_time);
        self.worlds[d].arrive_hinted(self.running_times.len() as u32 - 1, class as u32, hint);
    }

    /// Delivers new sends to the workers, and starts and ends the jobs that are due, until none is left.
    pub fn run_workers(&mut self, now: Time) {
        loop {
            let mut new_jobs = Vec::new();
            for (d, world) in self.worlds.iter().enumerate() {
                for (at, action) in &world.log[self.processed[d]..] {
                    let Action::Send(id, WorkerId(to)) = *action else { continue };
                    new_jobs.push(((d, id.0, world.requests[&id].attempts.len() as u32 - 1), to as usize));
                    if (to as usize) < COLD_WORKERS && *at < self.start + ms(self.case.deployment.warm_after)
                    {
                        let weight =
                            self.running_times[id.0 as usize] / self.case.deployment.mean_running_time();
                        self.sends[to as usize].push((*at, weight));
                    }
                }
                self.processed[d] = world.log.len();
            }
            for &((d, id, number), n) in &new_jobs {
                let model = &mut self.models[n];
                if model.running + model.queue.len() < self.case.deployment.slots + MAX_QUEUED {
                    model.queue.push_back((d, id, number));
                } else {
                    self.worlds[d].end(id, number, Outcome::Full);
                }
            }
            let job_due = self.ends.peek().is_some_and(|Reverse((at, ..))| *at <= now);
            let ended = if job_due { self.ends.pop() } else { None };
            if let Some(Reverse((_, (d, id, number), n))) = ended {
                self.models[n].running -= 1;
                let report = self.report(n);
                self.worlds[d].end_reported(id, number, Outcome::Ok, report);
            }
            self.start_queued(now);
            if new_jobs.is_empty() && !job_due {
                return;
            }
        }
    }

    fn report(&self, n: usize) -> Option<Report> {
        let WorkerModel { running, queue } = &self.models[n];
        let free_slots = Some((self.case.deployment.slots - running) as f64);
        let inflight = Some((running + queue.len()) as f64);
        self.case.deployment.hints_and_reports.then_some(Report { free_slots, inflight, ..Report::default() })
    }

    /// Starts queued jobs on free slots. A worker in slow start runs them at its warm-up fraction of full
    /// speed.
    fn start_queued(&mut self, now: Time) {
        for (n, model) in self.models.iter_mut().enumerate() {
            let speed =
                if n < COLD_WORKERS { self.case.deployment.warm_up_fraction(now - self.start) } else { 1.0 };
            while model.running < self.case.deployment.slots
                && let Some((d, id, number)) = model.queue.pop_front()
            {
                model.running += 1;
                self.worlds[d].start(id, number);
                let ends = now + Span::from_secs(self.running_times[id as usize] / speed);
                self.ends.push(Reverse((ends, (d, id, number), n)));
            }
        }
    }
}
