//! A load digest in the core, on a simulated clock. A fresh digest replaces probes and its loads reach the
//! balancer. A digest that is stale, older, repeated or incomplete is ignored, and probes resume.

mod simulation;

use sablerun as sr;
use sablerun_digest::{Load, Publisher};
use sablerun_node::core::{AttemptEnd, Input};
use simulation::{
    DIGEST_INTERVAL, RUNNERS, SLOTS, Simulation, fields, publish_each_second, publisher, runner_name,
};

#[test]
fn a_fresh_digest_replaces_probes() {
    let mut without_digest = Simulation::new(false);
    assert!(without_digest.advance(20.0) >= 8 * RUNNERS, "each runner is probed every 2 s");

    let mut simulation = Simulation::new(true);
    assert!(simulation.advance(3.0) > 0, "no frame received yet");
    let mut publisher = publisher(1, |_| true);
    simulation.receive([publisher.full_frame()]);
    assert_eq!(publish_each_second(&mut simulation, &mut publisher, 20), 0);
    assert_eq!(simulation.full_frame_requests, 0);
}

#[test]
fn a_load_in_a_digest_counts_like_the_same_load_in_a_probe_answer() {
    let load = |n: usize, round: usize| Load {
        runner: runner_name(n),
        ok: !(n + round).is_multiple_of(9),
        values: vec![((n * 7 + round) % 5) as f64, ((n + round) % 4) as f64],
    };
    let (mut digest, mut probed) =
        (Simulation::new(true), Simulation::with(false, Some(DIGEST_INTERVAL.secs())));
    let mut publisher = Publisher::new(1, &fields());
    digest.receive([publisher.full_frame()]);
    for round in 0..6 {
        (0..RUNNERS).for_each(|n| publisher.record(&load(n, round)));
        digest.receive([publisher.next_frame(65_000)]);
        for n in 0..RUNNERS {
            let Load { runner, ok, values: field_values } = load(n, round);
            let tables = probed.core.tables();
            let field_values = ["outstanding", "x0"].into_iter().zip(field_values);
            let report = ok.then(|| tables.named_report(field_values));
            probed.step(Input::Probed { runner, ok, report });
        }
        for number in round * 10..round * 10 + 10 {
            digest.arrive(number);
            probed.arrive(number);
        }
        assert_eq!(digest.started, probed.started);
    }
    assert_eq!(digest.started.values().sum::<usize>(), 60);
}

/// Long jobs, compared to the age of reports, go to no runner that the digest reports as full.
#[test]
fn a_runner_that_a_fresh_digest_reports_as_full_gets_no_request() {
    let free = |n: usize| n.is_multiple_of(4);
    let mut starts = Vec::new();
    for digest in [true, false] {
        let mut simulation = Simulation::new(digest);
        // Enough requests to show how long one takes.
        (0..120).for_each(|number| simulation.arrive(number));
        for attempt in std::mem::take(&mut simulation.attempts) {
            simulation.step(Input::AttemptEnded(attempt, AttemptEnd::without_report(sr::Outcome::Ok)));
        }
        let mut publisher = publisher(1, free);
        simulation.receive([publisher.full_frame(), publisher.next_frame(1000)]);
        if !digest {
            for n in 0..RUNNERS {
                let available = if free(n) { SLOTS } else { 0.0 };
                let (inflight, free_slots) = (Some(SLOTS - available), Some(available));
                let report = Some(sr::Report { inflight, free_slots, ..sr::Report::default() });
                simulation.step(Input::Probed { runner: runner_name(n), ok: true, report });
            }
        }
        simulation.started.clear();
        (200..220).for_each(|number| simulation.arrive(number));
        let full = (0..RUNNERS).filter(|n| !free(*n)).filter_map(|n| simulation.started.get(&runner_name(n)));
        starts.push((simulation.started.values().sum::<usize>(), full.sum::<usize>()));
    }
    assert_eq!(starts[0], (20, 0), "with the digest");
    assert!(starts[1].1 > 5, "for comparison, probe reports count by half: {starts:?}");
}

#[test]
fn a_silent_digest_expires() {
    let mut simulation = Simulation::new(true);
    let mut publisher = publisher(1, |_| true);
    simulation.receive([publisher.full_frame()]);
    assert_eq!(publish_each_second(&mut simulation, &mut publisher, 5), 0);
    assert!(simulation.advance(8.0) >= RUNNERS, "probes go out again");
    // The digest resumes without a gap.
    assert_eq!(publish_each_second(&mut simulation, &mut publisher, 5), 0);
    assert_eq!(simulation.full_frame_requests, 0);
}

#[test]
fn repeated_and_older_frames_do_not_keep_a_digest_fresh() {
    let mut simulation = Simulation::new(true);
    let mut publisher = publisher(1, |_| true);
    let (full, next) = (publisher.full_frame(), publisher.next_frame(1000));
    simulation.receive([full.clone(), next.clone()]);
    for _ in 0..8 {
        simulation.receive([next.clone(), full.clone()]);
        simulation.advance(1.0);
    }
    assert!(simulation.probes > 0, "a digest without new frames was used");
}

#[test]
fn after_a_gap_a_full_frame_is_requested_and_probes_go_out_until_it_arrives() {
    let mut simulation = Simulation::new(true);
    let mut publisher = publisher(1, |_| true);
    simulation.receive([publisher.full_frame()]);
    publisher.next_frame(1000);
    simulation.receive([publisher.next_frame(1000)]);
    assert_eq!(simulation.full_frame_requests, 1);
    assert!(simulation.advance(4.0) > 0);
    simulation.receive([publisher.full_frame()]);
    assert_eq!(publish_each_second(&mut simulation, &mut publisher, 5), 0);
}

#[test]
fn a_restarted_publisher_is_followed_from_its_full_frame() {
    let mut simulation = Simulation::new(true);
    let mut first = publisher(1, |_| false);
    simulation.receive([first.full_frame()]);
    publish_each_second(&mut simulation, &mut first, 1);
    let mut second = publisher(2, |_| true);
    simulation.receive([second.full_frame()]);
    assert_eq!(publish_each_second(&mut simulation, &mut second, 5), 0);
    // Frames that the first publisher still sends change nothing.
    simulation.receive([first.next_frame(1000), first.full_frame()]);
    assert_eq!(publish_each_second(&mut simulation, &mut second, 5), 0);
    assert_eq!(simulation.full_frame_requests, 0);
}

#[test]
fn a_runner_missing_from_the_digest_is_probed() {
    let mut simulation = Simulation::new(true);
    let mut publisher = Publisher::new(1, &fields());
    for n in 1..RUNNERS {
        publisher.record(&Load { runner: runner_name(n), ok: true, values: vec![0.0, SLOTS] });
    }
    publisher.next_frame(65_000);
    simulation.receive([publisher.full_frame()]);
    let probes = publish_each_second(&mut simulation, &mut publisher, 20);
    assert!((8..=12).contains(&probes), "one runner, every 2 s: {probes}");
}
