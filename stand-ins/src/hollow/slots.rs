//! A runner's decisions: which request runs when and how long, in slots, a queue in order, and a speed that grows
//! after a cold start. It owns that state; it must never read a clock or a socket: the time is told, in
//! microseconds from any moment on.

use std::collections::{HashMap, VecDeque};

/// How a cold runner gets warm: its speed grows evenly from a share of its full one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStart {
    /// The share that it begins with.
    pub initial_speed: f64,
    /// It is warm after this, in microseconds.
    pub duration_us: u64,
}

impl SlowStart {
    /// How long work takes that takes `work_us` at full speed and begins `age_us` after the cold start: the time
    /// over which the speed adds up to the work.
    pub fn running_time_us(&self, age_us: u64, work_us: u64) -> u64 {
        if age_us >= self.duration_us || self.initial_speed >= 1.0 {
            return work_us;
        }
        let from = self.initial_speed.max(0.0);
        let (work, growth) = (work_us as f64, (1.0 - from) / self.duration_us as f64);
        let speed = from + growth * age_us as f64;
        let left = (self.duration_us - age_us) as f64;
        let done = speed * left + growth * left * left / 2.0;
        let time = match work > done {
            true => left + (work - done),
            false => ((speed * speed + 2.0 * growth * work).sqrt() - speed) / growth,
        };
        time.ceil() as u64
    }
}

/// A request that begins to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartedJob {
    /// The number that it has here.
    pub job: u64,
    /// Its id.
    pub id: String,
    /// When it ends.
    pub ends_us: u64,
}

/// A request that has run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FinishedJob {
    /// Whether somebody waits for it still.
    pub wanted: bool,
    /// The one that has its slot now.
    pub next: Option<StartedJob>,
}

/// What giving up has met.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelOutcome {
    /// It never runs.
    Queued,
    /// It goes on to its end, and is not told.
    Running,
    /// There is no such request.
    Unknown,
}

/// A runner's load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests that can run at once.
    pub slots: u32,
    /// Those that do.
    pub running: u32,
    /// Those in the queue.
    pub queued: u32,
    /// Running time of late, in microseconds.
    pub mean_running_us: f64,
}

struct Job {
    id: String,
    work_us: u64,
    started_us: Option<u64>,
    wanted: bool,
}

/// Weight of the newest request in the running time of late.
const NEWEST: f64 = 0.1;

/// The slots of a runner.
pub struct Slots {
    warming: SlowStart,
    /// When it started cold, if it did.
    born_us: Option<u64>,
    waiting: VecDeque<u64>,
    jobs: HashMap<u64, Job>,
    /// The newest job of each id.
    by_id: HashMap<String, u64>,
    next: u64,
    load: Load,
}

impl Slots {
    /// A warm runner with so many.
    pub fn new(slots: u32, warming: SlowStart) -> Slots {
        Slots {
            warming,
            born_us: None,
            waiting: VecDeque::new(),
            jobs: HashMap::new(),
            by_id: HashMap::new(),
            next: 0,
            load: Load { slots, ..Load::default() },
        }
    }

    /// Takes a request: the number that it has here, and its start if a slot is free.
    pub fn accept(&mut self, now_us: u64, id: &str, work_us: u64) -> (u64, Option<StartedJob>) {
        let job = self.next;
        self.next += 1;
        self.by_id.insert(id.to_owned(), job);
        self.jobs.insert(job, Job { id: id.to_owned(), work_us, started_us: None, wanted: true });
        self.waiting.push_back(job);
        self.load.queued += 1;
        (job, self.begin(now_us))
    }

    /// The head of the queue gets a slot, if there are both.
    fn begin(&mut self, now_us: u64) -> Option<StartedJob> {
        if self.load.running >= self.load.slots {
            return None;
        }
        let number = self.waiting.pop_front()?;
        let job = self.jobs.get_mut(&number)?;
        job.started_us = Some(now_us);
        self.load.queued -= 1;
        self.load.running += 1;
        let time = match self.born_us {
            Some(born) => self.warming.running_time_us(now_us.saturating_sub(born), job.work_us),
            None => job.work_us,
        };
        Some(StartedJob { job: number, id: job.id.clone(), ends_us: now_us.saturating_add(time) })
    }

    /// A request has run; none if it is of before a loss.
    pub fn finish(&mut self, now_us: u64, job: u64) -> Option<FinishedJob> {
        let ended = self.forget(job)?;
        self.load.running -= 1;
        let time = now_us.saturating_sub(ended.started_us.unwrap_or(now_us)) as f64;
        self.load.mean_running_us = match self.load.mean_running_us {
            0.0 => time,
            before => before + NEWEST * (time - before),
        };
        Some(FinishedJob { wanted: ended.wanted, next: self.begin(now_us) })
    }

    /// The newest request of an id is given up.
    pub fn cancel_newest(&mut self, id: &str) -> CancelOutcome {
        self.by_id.get(id).copied().map_or(CancelOutcome::Unknown, |job| self.cancel(job))
    }

    /// A request is given up.
    pub fn cancel(&mut self, job: u64) -> CancelOutcome {
        match self.jobs.get_mut(&job) {
            None => CancelOutcome::Unknown,
            Some(running) if running.started_us.is_some() => {
                running.wanted = false;
                CancelOutcome::Running
            }
            Some(_) => {
                self.forget(job);
                self.waiting.retain(|waiting| *waiting != job);
                self.load.queued -= 1;
                CancelOutcome::Queued
            }
        }
    }

    /// Whether the newest request of this id is here and has not been given up.
    pub fn is_wanted(&self, id: &str) -> bool {
        self.by_id.get(id).and_then(|job| self.jobs.get(job)).is_some_and(|job| job.wanted)
    }

    fn forget(&mut self, job: u64) -> Option<Job> {
        let forgotten = self.jobs.remove(&job)?;
        if self.by_id.get(&forgotten.id) == Some(&job) {
            self.by_id.remove(&forgotten.id);
        }
        Some(forgotten)
    }

    /// All is lost: the ids of what was here, and whether it ran. Numbers are not given again.
    pub fn drop_all(&mut self) -> Vec<(String, bool)> {
        self.waiting.clear();
        self.by_id.clear();
        self.load = Load { slots: self.load.slots, ..Load::default() };
        self.jobs.drain().map(|(_, job)| (job.id, job.started_us.is_some())).collect()
    }

    /// It starts cold.
    pub fn start_cold(&mut self, now_us: u64) {
        self.born_us = Some(now_us);
    }

    /// Its load.
    pub fn load(&self) -> Load {
        self.load
    }
}
