//! A dispatcher that knows its runners, on a simulated clock, and a publisher that tells of them. It owns the made-up
//! settings and runners; it must never judge.

use sablerun as sr;
use sablerun_digest::{Frame, Load, Publisher};
use sablerun_node::core::{Arrival, AttemptId, Core, Effect, Input, ListedRunner, Source, Ticket};
use sablerun_settings::{Field, NameTable, Tables};
use std::collections::BTreeMap;
use std::net::SocketAddr;

pub const RUNNERS: usize = 40;
pub const SLOTS: f64 = 4.0;
pub const START: sr::Time = sr::Time(1_000_000_000_000);
pub const EVERY: sr::Span = sr::Span(1_000_000_000);
pub const SILENT: sr::Span = sr::Span(3_000_000_000);

pub fn name(n: usize) -> String {
    format!("s-{n:04}")
}

pub fn fields() -> Vec<String> {
    vec!["outstanding".to_owned(), "x0".to_owned()]
}

/// A dispatcher that knows its runners, all warm.
pub struct World {
    pub core: Core<usize>,
    pub now: sr::Time,
    pub probes: usize,
    pub asked: usize,
    pub started: BTreeMap<String, usize>,
    pub attempts: Vec<AttemptId>,
}

impl World {
    pub fn new(digest: bool) -> World {
        World::with(digest, None)
    }

    /// One whose module has been told this age of reports.
    pub fn with(digest: bool, report_age_s: Option<f64>) -> World {
        let class = sr::Class {
            objective: sr::Span::from_secs(60.0),
            stretch: 2.0,
            deadline: sr::Span::from_secs(600.0),
            worth: 1.0,
            late_worth: 0.0,
            idempotency: sr::Idempotency::Safe,
            window: sr::Span(1),
            kind: None,
        };
        let settings = sr::Settings {
            classes: vec![class],
            max_attempts: 1,
            parallel_attempts: true,
            probing: true,
            report_age_s,
            ..sr::Settings::default()
        };
        let tables = Tables {
            workers: NameTable::default(),
            zones: NameTable::default(),
            kinds: NameTable::default(),
            classes: NameTable::of([&"safe".to_owned()]),
            tenants: NameTable::default(),
            fields: vec![("outstanding".to_owned(), Field::Inflight), ("x0".to_owned(), Field::FreeSlots)],
        };
        let roster = SocketAddr::from(([127, 0, 0, 1], 8500));
        let core = Core::new(settings, tables, roster, 1, START, 1000).unwrap();
        let mut world =
            World { core, now: START, probes: 0, asked: 0, started: BTreeMap::new(), attempts: Vec::new() };
        if digest {
            world.core.follow_digest(EVERY, SILENT);
        }
        let listed = (0..RUNNERS).map(|n| ListedRunner {
            name: name(n),
            zone: "a".to_owned(),
            kind: "k".to_owned(),
            cell: 0,
            state: sr::WorkerState::Ready,
            size: 1.0,
            up_since: None,
        });
        world.step(Input::List(Source::Discovery, sr::ListKind::Full, listed.collect()));
        world
    }

    pub fn step(&mut self, input: Input<usize>) {
        for effect in self.core.step(self.now, input) {
            match effect {
                Effect::Probe(_) => self.probes += 1,
                Effect::FetchDigest => self.asked += 1,
                Effect::Start { runner, attempt, .. } => {
                    *self.started.entry(runner).or_default() += 1;
                    self.attempts.push(attempt);
                }
                _ => {}
            }
        }
    }

    /// Time passes, with each timer in its moment; the probes that go out in it.
    pub fn pass(&mut self, seconds: f64) -> usize {
        let (end, before) = (self.now + sr::Span::from_secs(seconds), self.probes);
        while let Some(due) = self.core.next_timer().filter(|due| *due <= end) {
            self.now = self.now.max(due);
            self.step(Input::TimerDue);
        }
        self.now = end;
        self.probes - before
    }

    pub fn frames(&mut self, frames: impl IntoIterator<Item = Frame>) {
        frames.into_iter().for_each(|frame| self.step(Input::Digest(frame)));
    }

    pub fn arrive(&mut self, number: usize) {
        self.step(Input::Arrived(Arrival {
            ticket: Ticket(number as u64),
            id: format!("r{number}").into(),
            class: 0,
            tenant: None,
            deadline: self.now + sr::Span::from_secs(600.0),
            slots: 1.0,
            memory: 0.0,
            estimate: sr::Span(0),
            retry: false,
            key: None,
            job: number,
        }));
    }
}

/// A publisher that has heard of all: these are free, all others are full.
pub fn publisher(epoch: u64, free: impl Fn(usize) -> bool) -> Publisher {
    let mut publisher = Publisher::new(epoch, &fields());
    for n in 0..RUNNERS {
        let room = if free(n) { SLOTS } else { 0.0 };
        publisher.record(&Load { runner: name(n), ok: true, values: vec![SLOTS - room, room] });
    }
    publisher.next_frame(65_000);
    publisher
}

/// A frame each second for so long.
pub fn follow(world: &mut World, publisher: &mut Publisher, seconds: usize) -> usize {
    (0..seconds)
        .map(|_| {
            world.frames([publisher.next_frame(1000)]);
            world.pass(1.0)
        })
        .sum()
}
