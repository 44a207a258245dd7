//! A core between simulated runners and clients, on a simulated clock. Measures the real time of each step of
//! the core, by kind, and nothing else.

use crate::scenario::{BUSY_SLOTS, RUNNING_TIME_S, Shape, listed, name, report, settings, tables};
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

/// An event on the simulated clock. Most of them lead to an input to the core.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ScheduledEvent {
    Arrive,
    Started(AttemptId, usize, usize),
    Finishes(AttemptId, usize, usize),
    Probed(usize),
    ListChange,
    FullList,
    ChangeSettings,
    RestartCold,
}

pub struct Simulation {
    shape: Shape,
    core: Option<Core<usize>>,
    now: sr::Time,
    schedule: BinaryHeap<Reverse<(sr::Time, u64, ScheduledEvent)>>,
    sequence: u64,
    /// Attempts that the core has cancelled.
    cancelled: HashSet<AttemptId>,
    /// The number of outstanding attempts at each runner.
    outstanding_at: Vec<f64>,
    /// The start time of each runner.
    up_since: Vec<Option<sr::Time>>,
    rng: fastrand::Rng,
    arrived: usize,
    has_traffic: bool,
    times: Times,
}

impl Simulation {
    /// Creates a dispatcher that has the full list and a report of each runner, all of them idle.
    pub fn new(shape: Shape, seed: u64) -> Simulation {
        let at = ([127, 0, 0, 1], 8500).into();
        let core = Core::new(settings(shape), tables(shape), at, seed, START, 100_000);
        let mut simulation = Simulation {
            shape,
            core: Some(core.expect("valid settings")),
            now: START,
            schedule: BinaryHeap::new(),
            sequence: 0,
            cancelled: HashSet::new(),
            outstanding_at: vec![0.0; shape.runners],
            up_since: vec![None; shape.runners],
            rng: fastrand::Rng::with_seed(seed),
            arrived: 0,
            has_traffic: false,
            times: Times::default(),
        };
        simulation.deliver_full_list();
        for runner in 0..shape.runners {
            let report = Some(simulation.report(runner));
            simulation.step("probe answer", Input::Probed { runner: name(runner), ok: true, report });
        }
        simulation.times = Times::default();
        simulation
    }

    /// Starts the arrivals and runs until the number of outstanding requests is steady, and for as long
    /// again.
    pub fn warm_up(&mut self) {
        self.has_traffic = true;
        self.enqueue(0.0, ScheduledEvent::Arrive);
        for (event, wait) in [
            (ScheduledEvent::ListChange, 1.0),
            (ScheduledEvent::FullList, 20.0),
            (ScheduledEvent::ChangeSettings, 10.0),
            (ScheduledEvent::RestartCold, 0.0),
        ] {
            self.enqueue(wait, event);
        }
        self.run(RUNNING_TIME_S * 4.0);
        self.times = Times::default();
    }

    /// Returns the times of steps over at least 2,000 requests, and the counts of that period.
    pub fn measure(&mut self) -> (Times, Tally) {
        let before = self.core().tally();
        self.run((2000.0 * RUNNING_TIME_S / self.shape.outstanding as f64).max(120.0));
        let after = self.core().tally();
        let tally =
            Tally { taken: after.taken - before.taken, refused: after.refused - before.refused, ..after };
        (std::mem::take(&mut self.times), tally)
    }

    /// Returns the times of steps and the number of timer wake-ups while no requests arrive.
    pub fn run_idle(&mut self, seconds: f64) -> (Times, u64) {
        // Leaves out the start and the first probes of all runners.
        self.run(200.0);
        self.times = Times::default();
        let timer_wakeups = self.run(seconds);
        (std::mem::take(&mut self.times), timer_wakeups)
    }

    pub fn retained(&mut self) -> usize {
        self.core().retained().0
    }

    pub fn drop_core(&mut self) {
        self.core = None;
    }

    fn core(&mut self) -> &mut Core<usize> {
        self.core.as_mut().expect("the core is dropped last")
    }

    fn enqueue(&mut self, wait: f64, event: ScheduledEvent) {
        self.sequence += 1;
        self.schedule.push(Reverse((self.now + sr::Span::from_secs(wait), self.sequence, event)));
    }

    /// Runs for a time. Returns the number of timer wake-ups.
    fn run(&mut self, seconds: f64) -> u64 {
        let (end, mut timer_wakeups) = (self.now + sr::Span::from_secs(seconds), 0);
        loop {
            let scheduled_at = self.schedule.peek().map(|Reverse((at, ..))| *at);
            // The program's timers fire at whole milliseconds.
            let due = self.core().next_timer().map(|at| sr::Time(at.0.div_ceil(1_000_000) * 1_000_000));
            let Some(next) = scheduled_at.into_iter().chain(due).min().filter(|next| *next < end) else {
                break;
            };
            self.now = self.now.max(next);
            if due.is_some_and(|due| due <= next) {
                timer_wakeups += 1;
                self.step("due", Input::TimerDue);
            } else if let Some(Reverse((.., event))) = self.schedule.pop() {
                self.handle(event);
            }
        }
        self.now = end;
        timer_wakeups
    }

    fn handle(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Arrive => self.arrive(),
            ScheduledEvent::Started(attempt, ..) if self.cancelled.contains(&attempt) => {}
            // A cancelled attempt ran on; its end is ignored.
            ScheduledEvent::Finishes(attempt, _, runner) if self.cancelled.remove(&attempt) => {
                self.outstanding_at[runner] -= 1.0
            }
            ScheduledEvent::Started(_, job, runner) => {
                self.step("started", Input::Started { id: format!("job-{job}"), from: name(runner) });
            }
            ScheduledEvent::Finishes(_, job, runner) => {
                self.outstanding_at[runner] -= 1.0;
                let report = Some(self.report(runner));
                let ending = AttemptEnd { report, ..AttemptEnd::without_report(sr::Outcome::Ok) };
                self.step(
                    "told done",
                    Input::Finished { id: format!("job-{job}"), from: name(runner), end: ending },
                );
            }
            ScheduledEvent::Probed(runner) => {
                let report = Some(self.report(runner));
                self.step("probe answer", Input::Probed { runner: name(runner), ok: true, report });
            }
            ScheduledEvent::ListChange => {
                // A runner's entry is sent again, as after a change of its size; the runner stays in use.
                let runner = self.rng.usize(..self.shape.runners);
                let entries = vec![listed(runner, self.up_since[runner])];
                self.step("list change", Input::List(Source::Discovery, sr::ListKind::Delta, entries));
                self.enqueue(1.0, event);
            }
            ScheduledEvent::FullList => {
                self.deliver_full_list();
                self.enqueue(20.0, event);
            }
            ScheduledEvent::ChangeSettings => {
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
                self.enqueue(10.0, event);
            }
            ScheduledEvent::RestartCold if self.shape.cold > 0 => {
                // Before the first of them is warm, so that the number of cold runners is constant.
                (0..self.shape.cold).for_each(|runner| self.up_since[runner] = Some(self.now));
                self.deliver_full_list();
                self.enqueue(6.0, event);
            }
            ScheduledEvent::RestartCold => {}
        }
    }

    fn arrive(&mut self) {
        let (job, shape) = (self.arrived, self.shape);
        self.arrived += 1;
        let running_time = RUNNING_TIME_S * (0.5 + self.rng.f64());
        let arrival = Arrival {
            ticket: Ticket(job as u64),
            id: format!("job-{job}").into(),
            class: u32::from(self.rng.f64() < 0.05),
            tenant: Some(self.rng.u32(..shape.tenants as u32)),
            deadline: self.now + sr::Span::from_secs(300.0),
            slots: 1.0,
            memory: 0.0,
            estimate: sr::Span::from_secs(running_time),
            retry: false,
            key: None,
            job,
        };
        self.step("arrived", Input::Arrived(arrival));
        // Evenly distributed, so that the number of outstanding requests is as stated.
        let wait = RUNNING_TIME_S / shape.outstanding as f64 * 2.0 * self.rng.f64();
        self.enqueue(wait, ScheduledEvent::Arrive);
    }

    fn report(&self, runner: usize) -> sr::Report {
        report(runner, self.outstanding_at[runner], if self.has_traffic { BUSY_SLOTS } else { 0.0 })
    }

    fn deliver_full_list(&mut self) {
        let all = (0..self.shape.runners).map(|runner| listed(runner, self.up_since[runner])).collect();
        self.step("whole list", Input::List(Source::Discovery, sr::ListKind::Full, all));
    }

    /// Performs and times one step of the core, and executes its effects.
    fn step(&mut self, kind: &'static str, input: Input<usize>) {
        let now = self.now;
        let core = self.core.as_mut().expect("the core is dropped last");
        let started_at = Instant::now();
        let effects = core.step(now, input);
        let nanos = started_at.elapsed().as_nanos() as u64;
        self.times.record(kind, nanos);
        for effect in effects {
            match effect {
                Effect::Start { attempt, runner, job, .. } => {
                    let runner: usize = runner[2..].parse().expect("a name made by this bench");
                    self.outstanding_at[runner] += 1.0;
                    let running_time = RUNNING_TIME_S * (0.5 + self.rng.f64());
                    self.enqueue(0.002, ScheduledEvent::Started(attempt, job, runner));
                    self.enqueue(0.002 + running_time, ScheduledEvent::Finishes(attempt, job, runner));
                }
                Effect::Probe(runner) => {
                    let runner = runner[2..].parse().expect("a name made by this bench");
                    self.enqueue(0.001, ScheduledEvent::Probed(runner));
                }
                Effect::Cancel(attempt) => {
                    self.cancelled.insert(attempt);
                }
                _ => {}
            }
        }
    }
}
