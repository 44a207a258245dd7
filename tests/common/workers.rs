//! A small stand-in fleet: workers with slots and a bounded line that many dispatchers share, on one
//! simulated clock. It owns what workers do and say; it must never draw without a seed, wait for real time,
//! or judge what the dispatchers decide beyond counting it.

use super::*;
use std::collections::VecDeque;

/// The clock moves by so much: what is said in a step is heard in the next.
pub const STEP: u64 = 5;
/// Slots of a worker, and jobs that may wait there; beyond them it is full.
const SLOTS: usize = 4;
const LINE: usize = 4;
/// Reports are made anew this often, and reach answers so much later, in milliseconds.
const REFRESH: u64 = 500;
const DELAY: u64 = 200;

/// A request as its client knows it.
pub struct Asked {
    pub tenant: usize,
    pub at: Time,
    /// When it is to be answered, and running time at a worker of usual pace, in seconds.
    pub aim: Time,
    pub work: f64,
    pub served: Option<Time>,
}

#[derive(Clone, Copy)]
struct Job {
    from: usize,
    id: u32,
    attempt: u32,
    ends: Time,
}

/// What dispatchers hear of an attempt in the next step.
enum Word {
    Started,
    Ended(Outcome, Option<Report>),
}

struct Server {
    /// How many times longer than usual a job takes.
    pace: f64,
    running: Vec<Job>,
    line: VecDeque<Job>,
    latency: f64,
    made: Report,
    shown: Option<Report>,
}

impl Server {
    fn report(&self) -> Report {
        Report {
            inflight: Some((self.running.len() + self.line.len()) as f64),
            free_slots: Some((SLOTS - self.running.len()) as f64),
            latency: Some(Span::from_secs(self.latency)),
            ..Report::default()
        }
    }
}

/// Dispatchers, the workers that they share, and what was asked of them so far.
pub struct Fleet {
    pub worlds: Vec<World>,
    pub asked: Vec<Asked>,
    /// Sends to each worker.
    pub sends: Vec<usize>,
    servers: Vec<Server>,
    words: Vec<(Job, Word)>,
    rich: bool,
    steps: u64,
    seen: Vec<usize>,
}

impl Fleet {
    /// Workers of these paces, known to every world; `rich` ones report with each answer, others never do.
    pub fn new(mut worlds: Vec<World>, paces: &[f64], rich: bool) -> Fleet {
        for world in &mut worlds {
            world.list(ListKind::Saved, (0..paces.len() as u32).map(worker).collect());
        }
        let server = |pace: &f64| Server {
            pace: *pace,
            running: Vec::new(),
            line: VecDeque::new(),
            latency: 0.15 * pace,
            made: Report::default(),
            shown: None,
        };
        Fleet {
            seen: vec![0; worlds.len()],
            sends: vec![0; paces.len()],
            servers: paces.iter().map(server).collect(),
            worlds,
            asked: Vec::new(),
            words: Vec::new(),
            rich,
            steps: 0,
        }
    }

    /// All dispatchers hear at once that a worker drains.
    pub fn drain(&mut self, n: u32) {
        for world in &mut self.worlds {
            let entry = ListEntry { state: WorkerState::Draining, ..worker(n) };
            world.list(ListKind::Delta, vec![entry]);
        }
    }

    /// A tenant asks dispatcher `from` for so much work, and may say how much it is.
    pub fn ask(&mut self, from: usize, tenant: usize, work: f64, hint: Option<f64>) {
        let (id, world) = (self.asked.len() as u32, &mut self.worlds[from]);
        let (at, class) = (world.now, &world.settings.classes[0]);
        let aim = at + class.objective + Span::from_secs(class.stretch * work);
        self.asked.push(Asked { tenant, at, aim, work, served: None });
        let estimate = hint.map_or(Span(0), Span::from_secs);
        let deadline = at + class.deadline;
        world.take(id, 0, Some(TenantId(tenant as u32)), deadline, false, estimate);
    }

    /// Passes a step: dispatchers hear what was said, then workers take what was sent and do their jobs.
    pub fn step(&mut self) {
        self.steps += 1;
        for world in &mut self.worlds {
            world.pass(ms(STEP));
        }
        for (job, word) in std::mem::take(&mut self.words) {
            let world = &mut self.worlds[job.from];
            match word {
                Word::Started => world.start(job.id, job.attempt),
                Word::Ended(outcome, report) => {
                    // What was withdrawn, or answered meanwhile, is heard by nobody.
                    let request = RequestId(job.id);
                    let settled = |w: &World| w.requests.get(&request).is_none_or(|known| known.settled);
                    let before = settled(world);
                    world.end_reported(job.id, job.attempt, outcome, report);
                    if !before && outcome == Outcome::Ok && settled(world) {
                        self.asked[job.id as usize].served = Some(world.now);
                    }
                }
            }
        }
        for from in 0..self.worlds.len() {
            self.carry_out(from);
        }
        let now = self.worlds[0].now;
        for n in 0..self.servers.len() {
            self.work(n, now);
        }
        if self.steps.is_multiple_of(200) {
            // Nothing more can come of these, and looking at them in each step takes long.
            for world in &mut self.worlds {
                world
                    .requests
                    .retain(|_, known| !known.settled || known.attempts.iter().any(|a| a.2.is_none()));
            }
        }
    }

    /// Takes a dispatcher's new sends and withdrawals to the workers.
    fn carry_out(&mut self, from: usize) {
        let world = &self.worlds[from];
        let new: Vec<Action> =
            world.log[self.seen[from]..].iter().map(|(_, action)| action.clone()).collect();
        self.seen[from] = world.log.len();
        let mut made: Vec<(RequestId, u32)> = Vec::new();
        for action in new {
            match action {
                Action::Send(id, to) => {
                    // Two sends of one request in a step have numbers in turn, the last one the newest.
                    let all = self.worlds[from].requests[&id].attempts.len() as u32;
                    let attempt = made.iter().filter(|m| m.0 == id).map(|m| m.1 + 1).max();
                    let attempt = attempt.unwrap_or(all - 1);
                    made.push((id, attempt));
                    let job = Job { from, id: id.0, attempt, ends: Time(0) };
                    self.sends[to.0 as usize] += 1;
                    let server = &mut self.servers[to.0 as usize];
                    if server.running.len() + server.line.len() >= SLOTS + LINE {
                        let word = Word::Ended(Outcome::Full, server.shown.filter(|_| self.rich));
                        self.words.push((job, word));
                    } else {
                        server.line.push_back(job);
                    }
                }
                // What waits leaves the line; what runs runs on, unheard.
                Action::Cancel(id, attempt) => {
                    let which = |job: &Job| (job.from, job.id, job.attempt) == (from, id.0, attempt);
                    self.servers.iter_mut().for_each(|server| server.line.retain(|job| !which(job)));
                    let job = Job { from, id: id.0, attempt, ends: Time(0) };
                    self.words.push((job, Word::Ended(Outcome::Cancelled, None)));
                }
                _ => {}
            }
        }
    }

    /// A worker ends what is done, starts what waits, and makes its report when that is due.
    fn work(&mut self, n: usize, now: Time) {
        let server = &mut self.servers[n];
        let clock = self.steps * STEP;
        if clock % REFRESH == DELAY % REFRESH {
            server.shown = Some(server.made).filter(|made| made.inflight.is_some());
        }
        for job in server.running.extract_if(.., |job| job.ends <= now).collect::<Vec<_>>() {
            let took = self.asked[job.id as usize].work * server.pace;
            server.latency += 0.1 * (took - server.latency);
            let report = server.shown.filter(|_| self.rich);
            self.words.push((job, Word::Ended(Outcome::Ok, report)));
        }
        while server.running.len() < SLOTS
            && let Some(job) = server.line.pop_front()
        {
            let takes = Span::from_secs(self.asked[job.id as usize].work * server.pace);
            server.running.push(Job { ends: now + takes, ..job });
            self.words.push((job, Word::Started));
        }
        if clock.is_multiple_of(REFRESH) {
            server.made = server.report();
        }
    }
}
