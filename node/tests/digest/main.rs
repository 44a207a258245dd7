//! A load digest in the reducer, on a simulated clock: while it is fresh no probe goes out and the module hears
//! what the digest has; whatever is stale, older, doubled or missing is not believed, and probes go out again.

mod world;

use sablerun as sr;
use sablerun_digest::{Load, Publisher};
use sablerun_node::core::{AttemptEnd, Input};
use world::{EVERY, RUNNERS, SLOTS, World, fields, follow, name, publisher};

#[test]
fn a_fresh_digest_stands_in_for_probes() {
    let mut without = World::new(false);
    assert!(without.pass(20.0) >= 8 * RUNNERS, "an entry is probed each 2 s");

    let mut world = World::new(true);
    assert!(world.pass(3.0) > 0, "nothing has come yet");
    let mut publisher = publisher(1, |_| true);
    world.frames([publisher.full_frame()]);
    assert_eq!(follow(&mut world, &mut publisher, 20), 0);
    assert_eq!(world.asked, 0);
}

#[test]
fn what_a_digest_tells_is_heard_as_a_probe_of_that_answer() {
    let load = |n: usize, at: usize| Load {
        runner: name(n),
        ok: !(n + at).is_multiple_of(9),
        values: vec![((n * 7 + at) % 5) as f64, ((n + at) % 4) as f64],
    };
    let (mut digest, mut probed) = (World::new(true), World::with(false, Some(EVERY.secs())));
    let mut publisher = Publisher::new(1, &fields());
    digest.frames([publisher.full_frame()]);
    for at in 0..6 {
        (0..RUNNERS).for_each(|n| publisher.record(&load(n, at)));
        digest.frames([publisher.next_frame(65_000)]);
        for n in 0..RUNNERS {
            let Load { runner, ok, values: figures } = load(n, at);
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

/// Work that takes long beside the age of reports goes to no runner that is told to be full.
#[test]
fn a_fresh_report_of_a_full_runner_is_believed() {
    let free = |n: usize| n.is_multiple_of(4);
    let mut spread = Vec::new();
    for digest in [true, false] {
        let mut world = World::new(digest);
        // So many show how long a request takes.
        (0..120).for_each(|number| world.arrive(number));
        for attempt in std::mem::take(&mut world.attempts) {
            world.step(Input::AttemptEnded(attempt, AttemptEnd::without_report(sr::Outcome::Ok)));
        }
        let mut publisher = publisher(1, free);
        world.frames([publisher.full_frame(), publisher.next_frame(1000)]);
        if !digest {
            for n in 0..RUNNERS {
                let room = if free(n) { SLOTS } else { 0.0 };
                let (inflight, free_slots) = (Some(SLOTS - room), Some(room));
                let report = Some(sr::Report { inflight, free_slots, ..sr::Report::default() });
                world.step(Input::Probed { runner: name(n), ok: true, report });
            }
        }
        world.started.clear();
        (200..220).for_each(|number| world.arrive(number));
        let full = (0..RUNNERS).filter(|n| !free(*n)).filter_map(|n| world.started.get(&name(n)));
        spread.push((world.started.values().sum::<usize>(), full.sum::<usize>()));
    }
    assert_eq!(spread[0], (20, 0), "by the digest");
    assert!(spread[1].1 > 5, "believed by half, for comparison: {spread:?}");
}

#[test]
fn a_digest_that_has_fallen_silent_is_not_believed() {
    let mut world = World::new(true);
    let mut publisher = publisher(1, |_| true);
    world.frames([publisher.full_frame()]);
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
    let (whole, next) = (publisher.full_frame(), publisher.next_frame(1000));
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
    world.frames([publisher.full_frame()]);
    publisher.next_frame(1000);
    world.frames([publisher.next_frame(1000)]);
    assert_eq!(world.asked, 1);
    assert!(world.pass(4.0) > 0);
    world.frames([publisher.full_frame()]);
    assert_eq!(follow(&mut world, &mut publisher, 5), 0);
}

#[test]
fn a_publisher_that_started_anew_is_followed_from_its_whole() {
    let mut world = World::new(true);
    let mut first = publisher(1, |_| false);
    world.frames([first.full_frame()]);
    follow(&mut world, &mut first, 1);
    let mut second = publisher(2, |_| true);
    world.frames([second.full_frame()]);
    assert_eq!(follow(&mut world, &mut second, 5), 0);
    // What the first still sends changes nothing.
    world.frames([first.next_frame(1000), first.full_frame()]);
    assert_eq!(follow(&mut world, &mut second, 5), 0);
    assert_eq!(world.asked, 0);
}

#[test]
fn a_runner_that_the_digest_lacks_is_probed() {
    let mut world = World::new(true);
    let mut publisher = Publisher::new(1, &fields());
    for n in 1..RUNNERS {
        publisher.record(&Load { runner: name(n), ok: true, values: vec![0.0, SLOTS] });
    }
    publisher.next_frame(65_000);
    world.frames([publisher.full_frame()]);
    let probes = follow(&mut world, &mut publisher, 20);
    assert!((8..=12).contains(&probes), "one runner, each 2 s: {probes}");
}
