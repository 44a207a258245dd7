//! A runner's scheduling: which request runs when and for how long, with slots, a FIFO queue and a speed
//! that grows after a cold start. Contains no I/O and reads no clock: callers pass the time in microseconds
//! since any fixed moment.

use std::collections::{HashMap, VecDeque};

/// The speed after a cold start: it grows linearly from a share of the full speed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStart {
    /// The initial share of the full speed.
    pub initial_speed: f64,
    /// The time until full speed, in microseconds.
    pub duration_us: u64,
}

impl SlowStart {
    /// Returns how long a request runs that starts `age_us` after the cold start and takes `work_us` at
    /// full speed: the time over which the integral of the speed equals the work.
    pub fn running_time_us(&self, age_us: u64, work_us: u64) -> u64 {
        if age_us >= self.duration_us || self.initial_speed >= 1.0 {
            return work_us;
        }
        let initial = self.initial_speed.max(0.0);
        let (work, growth) = (work_us as f64, (1.0 - initial) / self.duration_us as f64);
        let current_speed = initial + growth * age_us as f64;
        let ramp_time = (self.duration_us - age_us) as f64;
        let ramp_work = current_speed * ramp_time + growth * ramp_time * ramp_time / 2.0;
        let time = match work > ramp_work {
            true => ramp_time + (work - ramp_work),
            false => ((current_speed * current_speed + 2.0 * growth * work).sqrt() - current_speed) / growth,
        };
        time.ceil() as u64
    }
}

/// A request that starts to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartedJob {
    /// Its job number.
    pub number: u64,
    /// The request id.
    pub id: String,
    /// When it ends.
    pub ends_us: u64,
}

/// A request that has finished.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FinishedJob {
    /// Whether it was not cancelled, so that its end is reported.
    pub wanted: bool,
    /// The request that started in the freed slot.
    pub next_started: Option<StartedJob>,
}

/// The state in which a cancellation found a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelOutcome {
    /// It was queued and never runs.
    Queued,
    /// It runs to its end, which is not reported.
    Running,
    /// There is no such request.
    Unknown,
}

/// A runner's load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// The number of requests that can run at once.
    pub slots: u32,
    /// The number of running requests.
    pub running: u32,
    /// The number of queued requests.
    pub queued: u32,
    /// Exponentially weighted mean of the running time, in microseconds.
    pub mean_running_us: f64,
}

struct Job {
    id: String,
    work_us: u64,
    started_us: Option<u64>,
    wanted: bool,
}

/// The weight of the newest request in the mean running time.
const NEWEST_WEIGHT: f64 = 0.1;

/// The slots and the queue of a runner.
pub struct Slots {
    slow_start: SlowStart,
    /// The time of the last cold start, if there was one.
    cold_start_us: Option<u64>,
    queue: VecDeque<u64>,
    jobs: HashMap<u64, Job>,
    /// The newest job of each id.
    by_id: HashMap<String, u64>,
    next_number: u64,
    load: Load,
}

impl Slots {
    /// Creates a runner at full speed with this many slots.
    pub fn new(slots: u32, slow_start: SlowStart) -> Slots {
        Slots {
            slow_start,
            cold_start_us: None,
            queue: VecDeque::new(),
            jobs: HashMap::new(),
            by_id: HashMap::new(),
            next_number: 0,
            load: Load { slots, ..Load::default() },
        }
    }

    /// Queues a request. Returns its job number, and the request that starts if a slot is free.
    pub fn accept(&mut self, now_us: u64, id: &str, work_us: u64) -> (u64, Option<StartedJob>) {
        let job = self.next_number;
        self.next_number += 1;
        self.by_id.insert(id.to_owned(), job);
        self.jobs.insert(job, Job { id: id.to_owned(), work_us, started_us: None, wanted: true });
        self.queue.push_back(job);
        self.load.queued += 1;
        (job, self.start_next(now_us))
    }

    /// Starts the request at the head of the queue if a slot is free.
    fn start_next(&mut self, now_us: u64) -> Option<StartedJob> {
        if self.load.running >= self.load.slots {
            return None;
        }
        let number = self.queue.pop_front()?;
        let job = self.jobs.get_mut(&number)?;
        job.started_us = Some(now_us);
        self.load.queued -= 1;
        self.load.running += 1;
        let time = match self.cold_start_us {
            Some(cold_start) => {
                self.slow_start.running_time_us(now_us.saturating_sub(cold_start), job.work_us)
            }
            None => job.work_us,
        };
        Some(StartedJob { number, id: job.id.clone(), ends_us: now_us.saturating_add(time) })
    }

    /// Finishes a request. Returns `None` if it was dropped by a crash.
    pub fn finish(&mut self, now_us: u64, job: u64) -> Option<FinishedJob> {
        let ended = self.remove(job)?;
        self.load.running -= 1;
        let time = now_us.saturating_sub(ended.started_us.unwrap_or(now_us)) as f64;
        self.load.mean_running_us = match self.load.mean_running_us {
            0.0 => time,
            before => before + NEWEST_WEIGHT * (time - before),
        };
        Some(FinishedJob { wanted: ended.wanted, next_started: self.start_next(now_us) })
    }

    /// Cancels the newest request of an id.
    pub fn cancel_newest(&mut self, id: &str) -> CancelOutcome {
        self.by_id.get(id).copied().map_or(CancelOutcome::Unknown, |job| self.cancel(job))
    }

    /// Cancels a request by its job number.
    pub fn cancel(&mut self, job: u64) -> CancelOutcome {
        match self.jobs.get_mut(&job) {
            None => CancelOutcome::Unknown,
            Some(running) if running.started_us.is_some() => {
                running.wanted = false;
                CancelOutcome::Running
            }
            Some(_) => {
                self.remove(job);
                self.queue.retain(|queued| *queued != job);
                self.load.queued -= 1;
                CancelOutcome::Queued
            }
        }
    }

    /// Whether the newest request of this id is queued or running and not cancelled.
    pub fn is_wanted(&self, id: &str) -> bool {
        self.by_id.get(id).and_then(|job| self.jobs.get(job)).is_some_and(|job| job.wanted)
    }

    fn remove(&mut self, job: u64) -> Option<Job> {
        let removed = self.jobs.remove(&job)?;
        if self.by_id.get(&removed.id) == Some(&job) {
            self.by_id.remove(&removed.id);
        }
        Some(removed)
    }

    /// Drops all requests. Returns their ids, and whether each was running. Job numbers are not reused.
    pub fn drop_all(&mut self) -> Vec<(String, bool)> {
        self.queue.clear();
        self.by_id.clear();
        self.load = Load { slots: self.load.slots, ..Load::default() };
        self.jobs.drain().map(|(_, job)| (job.id, job.started_us.is_some())).collect()
    }

    /// Begins a cold start.
    pub fn start_cold(&mut self, now_us: u64) {
        self.cold_start_us = Some(now_us);
    }

    /// Returns the current load.
    pub fn load(&self) -> Load {
        self.load
    }
}
