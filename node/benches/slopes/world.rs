//! A core between made-up runners and clients, on made-up time. It owns what they say and when, and takes the
//! time of each step by its kind. It must never reach into the core, nor take any time but a step's.

use crate::terms::{Shape, TAKEN, WORK, listed, name, report, settings, tables};
use crate::times::Times;
use sablerun as sr;
use sablerun_keys as keys;
use sablerun_node::core::{
    Arrival, AttemptEnd, AttemptId, Core, Effect, Input, Reconfiguration, Source, Tally, Ticket,
};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashSet};
use std::time::Instant;

const START: sr::Time = sr::Time(1_000_000_000_000);

/// What is to be said at some time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Word {
    Arrive,
    Started(AttemptId, usize, usize),
    Told(AttemptId, usize, usize),
    Probed(usize),
    Change,
    Whole,
    Retune,
    Restart,
}

pub struct World {
    shape: Shape,
    core: Option<Core<usize>>,
    now: sr::Time,
    words: BinaryHeap<Reverse<(sr::Time, u64, Word)>>,
    said: u64,
    /// Attempts that were given up.
    gone: HashSet<AttemptId>,
    /// What is out at each runner, and since when each runs.
    own: Vec<f64>,
    born: Vec<Option<sr::Time>>,
    rng: fastrand::Rng,
    arrived: usize,
    arrives: bool,
    times: Times,
}

impl World {
    /// A dispatcher that has its whole list and a report of each runner, idle as they are at first.
    pub fn new(shape: Shape, seed: u64) -> World {
        let at = ([127, 0, 0, 1], 8500).into();
        let core = Core::new(settings(shape), tables(shape), at, seed, START, 100_000);
        let mut world = World {
            shape,
            core: Some(core.expect("sound settings")),
            now: START,
            words: BinaryHeap::new(),
            said: 0,
            gone: HashSet::new(),
            own: vec![0.0; shape.runners],
            born: vec![None; shape.runners],
            rng: fastrand::Rng::with_seed(seed),
            arrived: 0,
            arrives: false,
            times: Times::default(),
        };
        world.whole();
        for runner in 0..shape.runners {
            let report = Some(world.report(runner));
            world.step("probe answer", Input::Probed { runner: name(runner), ok: true, report });
        }
        world.times = Times::default();
        world
    }

    /// Requests come until as many are out as are to be, and on for as long again.
    pub fn warm_up(&mut self) {
        self.arrives = true;
        self.say(0.0, Word::Arrive);
        for (word, wait) in
            [(Word::Change, 1.0), (Word::Whole, 20.0), (Word::Retune, 10.0), (Word::Restart, 0.0)]
        {
            self.say(wait, word);
        }
        self.play(WORK * 4.0);
        self.times = Times::default();
    }

    /// The times of steps over 2,000 requests at the least, and what was counted meanwhile.
    pub fn measure(&mut self) -> (Times, Tally) {
        let before = self.core().tally();
        self.play((2000.0 * WORK / self.shape.out as f64).max(120.0));
        let after = self.core().tally();
        let tally =
            Tally { taken: after.taken - before.taken, refused: after.refused - before.refused, ..after };
        (std::mem::take(&mut self.times), tally)
    }

    /// The times of steps, and how often a timer woke the dispatcher, while no request comes.
    pub fn rest(&mut self, seconds: f64) -> (Times, u64) {
        // Starts and the first probes of all runners are not what goes on.
        self.play(200.0);
        self.times = Times::default();
        let wakes = self.play(seconds);
        (std::mem::take(&mut self.times), wakes)
    }

    pub fn kept(&mut self) -> usize {
        self.core().retained().0
    }

    pub fn drop_core(&mut self) {
        self.core = None;
    }

    fn core(&mut self) -> &mut Core<usize> {
        self.core.as_mut().expect("dropped last of all")
    }

    fn say(&mut self, wait: f64, word: Word) {
        self.said += 1;
        self.words.push(Reverse((self.now + sr::Span::from_secs(wait), self.said, word)));
    }

    /// Goes on for so long; says how often a timer was due.
    fn play(&mut self, seconds: f64) -> u64 {
        let (end, mut wakes) = (self.now + sr::Span::from_secs(seconds), 0);
        loop {
            let said = self.words.peek().map(|Reverse((at, ..))| *at);
            // The program's clock wakes it at whole milliseconds.
            let due = self.core().next_timer().map(|at| sr::Time(at.0.div_ceil(1_000_000) * 1_000_000));
            let Some(next) = said.into_iter().chain(due).min().filter(|next| *next < end) else { break };
            self.now = self.now.max(next);
            if due.is_some_and(|due| due <= next) {
                wakes += 1;
                self.step("due", Input::TimerDue);
            } else if let Some(Reverse((.., word))) = self.words.pop() {
                self.hear(word);
            }
        }
        self.now = end;
        wakes
    }

    fn hear(&mut self, word: Word) {
        match word {
            Word::Arrive => self.arrive(),
            Word::Started(attempt, ..) if self.gone.contains(&attempt) => {}
            // What was withdrawn ran on, unheard.
            Word::Told(attempt, _, runner) if self.gone.remove(&attempt) => self.own[runner] -= 1.0,
            Word::Started(_, job, runner) => {
                self.step("started", Input::Started { id: format!("job-{job}"), from: name(runner) });
            }
            Word::Told(_, job, runner) => {
                self.own[runner] -= 1.0;
                let report = Some(self.report(runner));
                let ending = AttemptEnd { report, ..AttemptEnd::without_report(sr::Outcome::Ok) };
                self.step(
                    "told done",
                    Input::Finished { id: format!("job-{job}"), from: name(runner), end: ending },
                );
            }
            Word::Probed(runner) => {
                let report = Some(self.report(runner));
                self.step("probe answer", Input::Probed { runner: name(runner), ok: true, report });
            }
            Word::Change => {
                // A runner's size changes: an entry of the list like any other, and it stays in use.
                let runner = self.rng.usize(..self.shape.runners);
                let one = vec![listed(runner, self.born[runner])];
                self.step("list change", Input::List(Source::Discovery, sr::ListKind::Delta, one));
                self.say(1.0, word);
            }
            Word::Whole => {
                self.whole();
                self.say(20.0, word);
            }
            Word::Retune => {
                let (settings, tables, until) = (settings(self.shape), tables(self.shape), self.now);
                let rules = vec![keys::Retention { window: sr::Span(0), uncertain_ttl: sr::Span(0) }; 2];
                self.step(
                    "retune",
                    Input::Reconfigure(Box::new(Reconfiguration {
                        settings,
                        tables,
                        rules,
                        accept_removed_until: until,
                    })),
                );
                self.say(10.0, word);
            }
            Word::Restart if self.shape.cold > 0 => {
                // Before the first of them is warm: as many are cold all the time.
                (0..self.shape.cold).for_each(|runner| self.born[runner] = Some(self.now));
                self.whole();
                self.say(6.0, word);
            }
            Word::Restart => {}
        }
    }

    fn arrive(&mut self) {
        let (job, shape) = (self.arrived, self.shape);
        self.arrived += 1;
        let work = WORK * (0.5 + self.rng.f64());
        let arrival = Arrival {
            ticket: Ticket(job as u64),
            id: format!("job-{job}").into(),
            class: u32::from(self.rng.f64() < 0.05),
            tenant: Some(self.rng.u32(..shape.tenants as u32)),
            deadline: self.now + sr::Span::from_secs(300.0),
            slots: 1.0,
            memory: 0.0,
            estimate: sr::Span::from_secs(work),
            retry: false,
            key: None,
            job,
        };
        self.step("arrived", Input::Arrived(arrival));
        // Evenly spread, so that the number out is as stated.
        let wait = WORK / shape.out as f64 * 2.0 * self.rng.f64();
        self.say(wait, Word::Arrive);
    }

    fn report(&self, runner: usize) -> sr::Report {
        report(runner, self.own[runner], if self.arrives { TAKEN } else { 0.0 })
    }

    fn whole(&mut self) {
        let all = (0..self.shape.runners).map(|runner| listed(runner, self.born[runner])).collect();
        self.step("whole list", Input::List(Source::Discovery, sr::ListKind::Full, all));
    }

    /// One step of the core, timed; what it asks for is done.
    fn step(&mut self, kind: &'static str, input: Input<usize>) {
        let now = self.now;
        let core = self.core.as_mut().expect("dropped last of all");
        let began = Instant::now();
        let effects = core.step(now, input);
        let took = began.elapsed().as_nanos() as u64;
        self.times.record(kind, took);
        for effect in effects {
            match effect {
                Effect::Start { attempt, runner, job, .. } => {
                    let runner: usize = runner[2..].parse().expect("named here");
                    self.own[runner] += 1.0;
                    let work = WORK * (0.5 + self.rng.f64());
                    self.say(0.002, Word::Started(attempt, job, runner));
                    self.say(0.002 + work, Word::Told(attempt, job, runner));
                }
                Effect::Probe(runner) => {
                    let runner = runner[2..].parse().expect("named here");
                    self.say(0.001, Word::Probed(runner));
                }
                Effect::Cancel(attempt) => {
                    self.gone.insert(attempt);
                }
                _ => {}
            }
        }
    }
}
