//! Cold and warm workers that many dispatchers share, on one simulated clock: stand-ins that slow by what
//! their warmth lacks. It owns what they do and what was sent to them; it must never judge that.

use super::*;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

/// The clock moves by so much, in milliseconds.
pub const STEP: u64 = 10;
/// Cold workers come first, warm ones after them; jobs that may wait at one.
pub const COLD: usize = 2;
pub const WARM: usize = 2;
const LINE: usize = 12;

/// A deployment: cold starts, slots, jobs (share and running time), and whether hints and reports are given.
#[derive(Clone, Copy, Debug)]
pub struct Site {
    pub cold_from: f64,
    pub warm_after: u64,
    pub multiple: f64,
    pub fall: u64,
    pub slots: usize,
    pub jobs: [(f64, f64); 3],
    pub rich: bool,
}

impl Site {
    pub fn mean(&self) -> f64 {
        self.jobs.iter().map(|(share, work)| share * work).sum()
    }

    /// Share of its capacity that a worker has at an age.
    pub fn warmth(&self, age: Span) -> f64 {
        let risen = age.secs() / ms(self.warm_after).secs();
        (self.cold_from + (1.0 - self.cold_from) * risen).min(1.0)
    }

    /// Mean requests that a window may bring which begins at this age.
    pub fn budget(&self, age: Span) -> f64 {
        self.warmth(age) * self.slots as f64 / self.mean() * self.multiple * ms(self.fall).secs()
    }

    fn settings(&self, dispatchers: u32) -> Settings {
        let classes = self.jobs.map(|(_, work)| (Span::from_secs(work.max(0.2)), class(Idempotency::Safe)));
        Settings {
            dispatchers,
            classes: classes.map(|(objective, class)| Class { objective, ..class }).to_vec(),
            zone: None,
            cold_from: self.cold_from,
            warm_after: ms(self.warm_after),
            fall_multiple: self.multiple,
            fall_after: ms(self.fall),
            ..settings()
        }
    }
}

/// One run.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    pub site: Site,
    pub fleet: u32,
    pub uneven: bool,
    /// They hear of the start at once, or one after another; they have seen jobs before it, or none.
    pub in_turn: bool,
    pub learned: bool,
    /// Some of them, the busiest first, are restarted as the workers warm.
    pub restarts: bool,
    pub seed: u64,
}

/// An attempt (dispatcher, request, number) reaches a worker, or its job ends there.
type Job = (usize, u32, u32);

#[derive(Default)]
struct Server {
    running: usize,
    line: VecDeque<Job>,
}

/// The dispatchers, the workers, and what was sent.
pub struct Fleet {
    case: Case,
    pub start: Time,
    pub worlds: Vec<World>,
    /// How much of each dispatcher's log was carried out, and the running time of each request.
    seen: Vec<usize>,
    works: Vec<f64>,
    servers: Vec<Server>,
    ends: BinaryHeap<Reverse<(Time, Job, usize)>>,
    /// When each mean request's worth, or part or multiple of it, was sent to each cold worker.
    pub sends: Vec<Vec<(Time, f64)>>,
}

impl Fleet {
    fn world(case: &Case, number: u32, now: Time) -> World {
        let settings = Settings { number, ..case.site.settings(case.fleet) };
        let mut world = World::new(settings, case.seed * 100 + u64::from(number));
        world.now = now;
        world.list(ListKind::Saved, (COLD..COLD + WARM).map(|n| worker(n as u32)).collect());
        world
    }

    pub fn new(case: Case) -> Fleet {
        Fleet {
            start: START + ms(if case.learned { 2000 } else { 0 }),
            worlds: (0..case.fleet).map(|number| Fleet::world(&case, number, START)).collect(),
            seen: vec![0; case.fleet as usize],
            works: Vec::new(),
            servers: (0..COLD + WARM).map(|_| Server::default()).collect(),
            ends: BinaryHeap::new(),
            sends: vec![Vec::new(); COLD],
            case,
        }
    }

    /// Dispatcher `d` hears of the cold workers in its step of the run, and may be restarted later.
    pub fn tell(&mut self, d: usize, now: Time) {
        let (case, step) = (self.case, Span(ms(3000).0 * d as u64 / u64::from(self.case.fleet)));
        let step = if case.in_turn { Span(step.0 / ms(STEP).0 * ms(STEP).0) } else { Span(0) };
        let again = case.restarts && d < 5 && now == self.start + ms(4000) + step;
        if again {
            (self.worlds[d], self.seen[d]) = (Fleet::world(&case, d as u32, now), 0);
        }
        if again || now == self.start + step {
            let fresh = |n| ListEntry { up_since: Some(self.start), ..worker(n) };
            let warm = (COLD..COLD + WARM).map(|n| worker(n as u32));
            self.worlds[d].list(ListKind::Full, (0..COLD as u32).map(fresh).chain(warm).collect());
        }
    }

    pub fn ask(&mut self, d: usize, rng: &mut fastrand::Rng) {
        let (site, mut point) = (self.case.site, rng.f64());
        let class = site.jobs.iter().position(|(share, _)| {
            point -= share;
            point < 0.0
        });
        let class = class.unwrap_or(0);
        let work = site.jobs[class].1 * (0.5 + rng.f64());
        let hint = Span::from_secs(if site.rich { work * 0.8 } else { 0.0 });
        self.works.push(work);
        self.worlds[d].arrive_hinted(self.works.len() as u32 - 1, class as u32, hint);
    }

    /// Takes what was sent to the workers, and starts and ends what is due there, until nothing is left.
    pub fn work(&mut self, now: Time) {
        loop {
            let mut news = Vec::new();
            for (d, world) in self.worlds.iter().enumerate() {
                for (at, action) in &world.log[self.seen[d]..] {
                    let Action::Send(id, WorkerId(to)) = *action else { continue };
                    news.push(((d, id.0, world.requests[&id].attempts.len() as u32 - 1), to as usize));
                    if (to as usize) < COLD && *at < self.start + ms(self.case.site.warm_after) {
                        let worth = self.works[id.0 as usize] / self.case.site.mean();
                        self.sends[to as usize].push((*at, worth));
                    }
                }
                self.seen[d] = world.log.len();
            }
            for &((d, id, number), n) in &news {
                let server = &mut self.servers[n];
                if server.running + server.line.len() < self.case.site.slots + LINE {
                    server.line.push_back((d, id, number));
                } else {
                    self.worlds[d].end(id, number, Outcome::Full);
                }
            }
            let due = self.ends.peek().is_some_and(|Reverse((at, ..))| *at <= now);
            let ended = if due { self.ends.pop() } else { None };
            if let Some(Reverse((_, (d, id, number), n))) = ended {
                self.servers[n].running -= 1;
                let report = self.report(n);
                self.worlds[d].end_reported(id, number, Outcome::Ok, report);
            }
            self.begin(now);
            if news.is_empty() && !due {
                return;
            }
        }
    }

    fn report(&self, n: usize) -> Option<Report> {
        let Server { running, line } = &self.servers[n];
        let free_slots = Some((self.case.site.slots - running) as f64);
        let inflight = Some((running + line.len()) as f64);
        self.case.site.rich.then_some(Report { free_slots, inflight, ..Report::default() })
    }

    /// Starts what waits where a slot is free: a cold worker is slow by what its warmth lacks.
    fn begin(&mut self, now: Time) {
        for (n, server) in self.servers.iter_mut().enumerate() {
            let speed = if n < COLD { self.case.site.warmth(now - self.start) } else { 1.0 };
            while server.running < self.case.site.slots
                && let Some((d, id, number)) = server.line.pop_front()
            {
                server.running += 1;
                self.worlds[d].start(id, number);
                let ends = now + Span::from_secs(self.works[id as usize] / speed);
                self.ends.push(Reverse((ends, (d, id, number), n)));
            }
        }
    }
}
