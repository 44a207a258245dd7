//! A load digest in the reducer, on a simulated clock: while it is fresh no probe goes out and the module hears
//! what the digest has; whatever is stale, older, doubled or missing is not believed, and probes go out again.

use sablerun as sr;
use sablerun_digest::{Frame, Load, Publisher};
use sablerun_node::core::{Arrival, Core, Effect, Input, Listed, Source, Ticket};
use sablerun_settings::{Field, Names, Tables};
use std::collections::BTreeMap;
use std::net::SocketAddr;

const RUNNERS: usize = 40;
const SLOTS: f64 = 4.0;
const START: sr::Time = sr::Time(1_000_000_000_000);
const EVERY: sr::Span = sr::Span(1_000_000_000);
const SILENT: sr::Span = sr::Span(3_000_000_000);

fn name(n: usize) -> String {
    format!("s-{n:04}")
}

fn fields() -> Vec<String> {
    vec!["outstanding".to_owned(), "x0".to_owned()]
}

/// A dispatcher that knows its runners, all warm.
struct World {
    core: Core<usize>,
    now: sr::Time,
    probes: usize,
    asked: usize,
    started: BTreeMap<String, usize>,
}

impl World {
    fn new(digest: bool) -> World {
        let class = sr::Class {
            objective: sr::Span::from_secs(2.0),
            stretch: 2.0,
            deadline: sr::Span::from_secs(60.0),
            worth: 1.0,
            late_worth: 0.0,
            effect: sr::Effect::Safe,
            window: sr::Span(1),
            kind: None,
        };
        let settings = sr::Settings {
            classes: vec![class],
            max_attempts: 1,
            parallel: true,
            probing: true,
            ..sr::Settings::default()
        };
        let tables = Tables {
            workers: Names::default(),
            zones: Names::default(),
            kinds: Names::default(),
            classes: Names::of([&"safe".to_owned()]),
            tenants: Names::default(),
            fields: vec![("outstanding".to_owned(), Field::Inflight), ("x0".to_owned(), Field::FreeSlots)],
        };
        let roster = SocketAddr::from(([127, 0, 0, 1], 8500));
        let core = Core::new(settings, tables, roster, 1, START, 1000).unwrap();
        let mut world = World { core, now: START, probes: 0, asked: 0, started: BTreeMap::new() };
        if digest {
            world.core.follow_digest(EVERY, SILENT);
        }
        let listed = (0..RUNNERS).map(|n| Listed {
            name: name(n),
            zone: "a".to_owned(),
            kind: "k".to_owned(),
            cell: 0,
            standing: sr::Standing::Ready,
            size: 1.0,
            up_since: None,
        });
        world.step(Input::List(Source::Discovery, sr::ListKind::Full, listed.collect()));
        world
    }

    fn step(&mut self, input: Input<usize>) {
        for effect in self.core.step(self.now, input) {
            match effect {
                Effect::Probe(_) => self.probes += 1,
                Effect::AskDigest => self.asked += 1,
                Effect::Start { runner, .. } => *self.started.entry(runner).or_default() += 1,
                _ => {}
            }
        }
    }

    /// Time passes, with each timer in its moment; the probes that go out in it.
    fn pass(&mut self, seconds: f64) -> usize {
        let (end, before) = (self.now + sr::Span::from_secs(seconds), self.probes);
        while let Some(due) = self.core.due().filter(|due| *due <= end) {
            self.now = self.now.max(due);
            self.step(Input::Due);
        }
        self.now = end;
        self.probes - before
    }

    fn frames(&mut self, frames: impl IntoIterator<Item = Frame>) {
        frames.into_iter().for_each(|frame| self.step(Input::Digest(frame)));
    }

    fn arrive(&mut self, number: usize) {
        self.step(Input::Arrived(Arrival {
            ticket: Ticket(number as u64),
            id: format!("r{number}").into(),
            class: 0,
            tenant: None,
            deadline: self.now + sr::Span::from_secs(60.0),
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
fn publisher(epoch: u64, free: impl Fn(usize) -> bool) -> Publisher {
    let mut publisher = Publisher::new(epoch, &fields());
    for n in 0..RUNNERS {
        let room = if free(n) { SLOTS } else { 0.0 };
        publisher.heard(&Load { runner: name(n), ok: true, figures: vec![SLOTS - room, room] });
    }
    publisher.next(65_000);
    publisher
}

/// A frame each second for so long.
fn follow(world: &mut World, publisher: &mut Publisher, seconds: usize) -> usize {
    (0..seconds)
        .map(|_| {
            world.frames([publisher.next(1000)]);
            world.pass(1.0)
        })
        .sum()
}

#[test]
fn a_fresh_digest_stands_in_for_probes() {
    let mut without = World::new(false);
    assert!(without.pass(20.0) >= 8 * RUNNERS, "an entry is probed each 2 s");

    let mut world = World::new(true);
    assert!(world.pass(3.0) > 0, "nothing has come yet");
    let mut publisher = publisher(1, |_| true);
    world.frames([publisher.whole()]);
    assert_eq!(follow(&mut world, &mut publisher, 20), 0);
    assert_eq!(world.asked, 0);
}

#[test]
fn what_a_digest_tells_is_heard_as_a_probe_of_that_answer() {
    let load = |n: usize, at: usize| Load {
        runner: name(n),
        ok: !(n + at).is_multiple_of(9),
        figures: vec![((n * 7 + at) % 5) as f64, ((n + at) % 4) as f64],
    };
    let (mut digest, mut probed) = (World::new(true), World::new(false));
    let mut publisher = Publisher::new(1, &fields());
    digest.frames([publisher.whole()]);
    for at in 0..6 {
        (0..RUNNERS).for_each(|n| publisher.heard(&load(n, at)));
        digest.frames([publisher.next(65_000)]);
        for n in 0..RUNNERS {
            let Load { runner, ok, figures } = load(n, at);
            let tables = probed.core.tables();
            let figures = ["outstanding", "x0"].into_iter().zip(figures);
            let report = ok.then(|| tables.named_report(figures));
            probed.step(Input::Probed { runner, ok, report });
        }
        for number in at * 10..at * 10 + 10 {
            digest.arrive(number);
            probed.arrive(number);
        }
        assert_eq!(digest.started, probed.started);
    }
    assert_eq!(digest.started.values().sum::<usize>(), 60);
}

#[test]
fn a_digest_that_has_fallen_silent_is_not_believed() {
    let mut world = World::new(true);
    let mut publisher = publisher(1, |_| true);
    world.frames([publisher.whole()]);
    assert_eq!(follow(&mut world, &mut publisher, 5), 0);
    assert!(world.pass(8.0) >= RUNNERS, "probes go out again");
    // It is back, with nothing missed.
    assert_eq!(follow(&mut world, &mut publisher, 5), 0);
    assert_eq!(world.asked, 0);
}

#[test]
fn repeats_and_older_frames_are_no_sign_of_life() {
    let mut world = World::new(true);
    let mut publisher = publisher(1, |_| true);
    let (whole, next) = (publisher.whole(), publisher.next(1000));
    world.frames([whole.clone(), next.clone()]);
    for _ in 0..8 {
        world.frames([next.clone(), whole.clone()]);
        world.pass(1.0);
    }
    assert!(world.probes > 0, "believed a digest that stands still");
}

#[test]
fn a_gap_asks_for_the_whole_and_until_then_probes_go_out() {
    let mut world = World::new(true);
    let mut publisher = publisher(1, |_| true);
    world.frames([publisher.whole()]);
    publisher.next(1000);
    world.frames([publisher.next(1000)]);
    assert_eq!(world.asked, 1);
    assert!(world.pass(4.0) > 0);
    world.frames([publisher.whole()]);
    assert_eq!(follow(&mut world, &mut publisher, 5), 0);
}

#[test]
fn a_publisher_that_started_anew_is_followed_from_its_whole() {
    let mut world = World::new(true);
    let mut first = publisher(1, |_| false);
    world.frames([first.whole()]);
    follow(&mut world, &mut first, 1);
    let mut second = publisher(2, |_| true);
    world.frames([second.whole()]);
    assert_eq!(follow(&mut world, &mut second, 5), 0);
    // What the first still sends changes nothing.
    world.frames([first.next(1000), first.whole()]);
    assert_eq!(follow(&mut world, &mut second, 5), 0);
    assert_eq!(world.asked, 0);
}

#[test]
fn a_runner_that_the_digest_lacks_is_probed() {
    let mut world = World::new(true);
    let mut publisher = Publisher::new(1, &fields());
    for n in 1..RUNNERS {
        publisher.heard(&Load { runner: name(n), ok: true, figures: vec![0.0, SLOTS] });
    }
    publisher.next(65_000);
    world.frames([publisher.whole()]);
    let probes = follow(&mut world, &mut publisher, 20);
    assert!((8..=12).contains(&probes), "one runner, each 2 s: {probes}");
}
