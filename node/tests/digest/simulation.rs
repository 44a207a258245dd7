//! A dispatcher core that knows its runners, on a simulated clock, and a digest publisher for the same
//! runners, with made-up settings. Asserts nothing.

use sablerun as sr;
use sablerun_digest::{Frame, Load, Publisher};
use sablerun_node::core::{Arrival, AttemptId, Core, Effect, Input, ListedRunner, Source, Ticket};
use sablerun_settings::{Field, NameTable, Tables};
use std::collections::BTreeMap;
use std::net::SocketAddr;

pub const RUNNERS: usize = 40;
pub const SLOTS: f64 = 4.0;
pub const START: sr::Time = sr::Time(1_000_000_000_000);
pub const DIGEST_INTERVAL: sr::Span = sr::Span(1_000_000_000);
/// The time without a new frame after which the digest is stale.
pub const DIGEST_TIMEOUT: sr::Span = sr::Span(3_000_000_000);

pub fn runner_name(n: usize) -> String {
    format!("s-{n:04}")
}

pub fn fields() -> Vec<String> {
    vec!["outstanding".to_owned(), "x0".to_owned()]
}

/// A dispatcher core that knows its runners, none of them in slow start.
pub struct Simulation {
    pub core: Core<usize>,
    pub now: sr::Time,
    /// The number of probes sent.
    pub probes: usize,
    /// How often a full frame was requested from the publisher.
    pub full_frame_requests: usize,
    /// Attempts started by runner name.
    pub started: BTreeMap<String, usize>,
    pub attempts: Vec<AttemptId>,
}

impl Simulation {
    pub fn new(digest: bool) -> Simulation {
        Simulation::with(digest, None)
    }

    /// Creates a simulation whose balancer settings state this age of reports.
    pub fn with(digest: bool, report_age_s: Option<f64>) -> Simulation {
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
        let discovery = SocketAddr::from(([127, 0, 0, 1], 8500));
        let core = Core::new(settings, tables, discovery, 1, START, 1000).unwrap();
        let mut simulation = Simulation {
            core,
            now: START,
            probes: 0,
            full_frame_requests: 0,
            started: BTreeMap::new(),
            attempts: Vec::new(),
        };
        if digest {
            simulation.core.follow_digest(DIGEST_INTERVAL, DIGEST_TIMEOUT);
        }
        let listed = (0..RUNNERS).map(|n| ListedRunner {
            name: runner_name(n),
            zone: "a".to_owned(),
            kind: "k".to_owned(),
            cell: 0,
            state: sr::WorkerState::Ready,
            size: 1.0,
            up_since: None,
        });
        simulation.step(Input::List(Source::Discovery, sr::ListKind::Full, listed.collect()));
        simulation
    }

    /// Steps the core and counts its effects.
    pub fn step(&mut self, input: Input<usize>) {
        for effect in self.core.step(self.now, input) {
            match effect {
                Effect::Probe(_) => self.probes += 1,
                Effect::FetchDigest => self.full_frame_requests += 1,
                Effect::Start { runner, attempt, .. } => {
                    *self.started.entry(runner).or_default() += 1;
                    self.attempts.push(attempt);
                }
                _ => {}
            }
        }
    }

    /// Advances the clock, with each timer at its time. Returns the number of probes sent meanwhile.
    pub fn advance(&mut self, seconds: f64) -> usize {
        let (until, probes_before) = (self.now + sr::Span::from_secs(seconds), self.probes);
        while let Some(due) = self.core.next_timer().filter(|due| *due <= until) {
            self.now = self.now.max(due);
            self.step(Input::TimerDue);
        }
        self.now = until;
        self.probes - probes_before
    }

    pub fn receive(&mut self, frames: impl IntoIterator<Item = Frame>) {
        frames.into_iter().for_each(|frame| self.step(Input::Digest(frame)));
    }

    /// A request arrives.
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

/// Returns a publisher that has the loads of all runners; those that `free` selects are idle, all others are
/// full.
pub fn publisher(epoch: u64, free: impl Fn(usize) -> bool) -> Publisher {
    let mut publisher = Publisher::new(epoch, &fields());
    for n in 0..RUNNERS {
        let available = if free(n) { SLOTS } else { 0.0 };
        publisher.record(&Load {
            runner: runner_name(n),
            ok: true,
            values: vec![SLOTS - available, available],
        });
    }
    publisher.next_frame(65_000);
    publisher
}

/// Delivers a frame each second for this many seconds. Returns the number of probes sent meanwhile.
pub fn publish_each_second(simulation: &mut Simulation, publisher: &mut Publisher, seconds: usize) -> usize {
    (0..seconds)
        .map(|_| {
            simulation.receive([publisher.next_frame(1000)]);
            simulation.advance(1.0)
        })
        .sum()
}
