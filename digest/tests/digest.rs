//! Tests of publishers and followers: whatever frames are lost, duplicated or reordered, a follower accepts
//! only what was published, in order.

use proptest::prelude::*;
use sablerun_digest::{ApplyOutcome, Follower, Frame, FrameDecoder, Load, Publisher, dequantize, quantize};

fn load(runner: usize, ok: bool, values: &[f64]) -> Load {
    Load { runner: format!("s-{runner:04}"), ok, values: values.to_vec() }
}

fn fields() -> Vec<String> {
    ["outstanding", "x0", "recent_ms", "errors_per_s"].map(str::to_owned).to_vec()
}

fn changed(outcome: ApplyOutcome) -> Vec<Load> {
    match outcome {
        ApplyOutcome::Changed(loads) => loads,
        other => panic!("{other:?}"),
    }
}

#[test]
fn whole_numbers_up_to_32_are_exact_and_larger_ones_within_a_thirty_second() {
    for n in 0..=32 {
        assert_eq!(dequantize(quantize(f64::from(n))), f64::from(n));
    }
    for eighth in 0..64 {
        assert_eq!(dequantize(quantize(f64::from(eighth) / 8.0)), f64::from(eighth) / 8.0);
    }
    for value in [33.0, 65_000.0, 1e6, 123_456.789] {
        assert!((dequantize(quantize(value)) / value - 1.0).abs() <= 1.0 / 32.0, "{value}");
    }
    for odd in [f64::NAN, f64::INFINITY, -1.0] {
        assert_eq!(dequantize(quantize(odd)), 0.0);
    }
    assert!(quantize(19.0) < 128, "a typical number of slots takes one byte");
}

#[test]
fn only_changes_are_published_and_an_unchanged_fleet_costs_a_heartbeat() {
    let mut publisher = Publisher::new(1, &fields());
    (0..680).for_each(|n| publisher.record(&load(n, true, &[19.0, 3.0, 65_000.0, 0.0])));
    let mut follower = Follower::default();
    assert_eq!(changed(follower.apply(&publisher.full_frame())), []);
    let all = publisher.next_frame(65_000);
    assert_eq!(changed(follower.apply(&all)).len(), 680);
    (0..680).for_each(|n| publisher.record(&load(n, true, &[19.0, 3.0, 65_500.0, 0.0])));
    let unchanged = publisher.next_frame(65_000);
    assert!(unchanged.body.is_empty(), "the change is within the rounding");
    assert!(unchanged.to_bytes().unwrap().len() < 25, "{}", unchanged.to_bytes().unwrap().len());
    publisher.record(&load(7, true, &[20.0, 2.0, 65_000.0, 0.0]));
    let one = publisher.next_frame(65_000);
    assert!(one.to_bytes().unwrap().len() < 30);
    follower.apply(&unchanged);
    assert_eq!(
        changed(follower.apply(&one)),
        [load(7, true, &[20.0, 2.0, dequantize(quantize(65_000.0)), 0.0])]
    );
}

#[test]
fn a_budget_delays_the_least_important_changes() {
    let mut publisher = Publisher::new(1, &fields());
    (0..100).for_each(|n| publisher.record(&load(n, true, &[10.0, 5.0, 100.0, 0.0])));
    publisher.next_frame(65_000);
    (0..100).for_each(|n| publisher.record(&load(n, true, &[11.0, 4.0, 100.0, 0.0])));
    // One runner has no free slot any more, and one accepts no work.
    publisher.record(&load(60, true, &[15.0, 0.0, 100.0, 0.0]));
    publisher.record(&load(70, false, &[11.0, 4.0, 100.0, 0.0]));
    let mut published = Vec::new();
    let mut follower = Follower::default();
    let mut first = None;
    follower.apply(&publisher.full_frame());
    for _ in 0..100 {
        let frame = publisher.next_frame(80);
        assert!(frame.to_bytes().unwrap().len() <= 82, "{}", frame.to_bytes().unwrap().len());
        let loads = changed(follower.apply(&frame));
        first.get_or_insert_with(|| loads.iter().map(|l| l.runner.clone()).collect::<Vec<_>>());
        published.extend(loads.into_iter().map(|l| l.runner));
    }
    let first = first.unwrap();
    assert!(first.contains(&"s-0060".to_owned()) && first.contains(&"s-0070".to_owned()), "{first:?}");
    published.sort();
    published.dedup();
    assert_eq!(published.len(), 100, "every change is published eventually");
}

#[test]
fn older_and_repeated_versions_change_nothing() {
    let mut publisher = Publisher::new(5, &fields());
    publisher.record(&load(0, true, &[1.0, 1.0, 1.0, 0.0]));
    let (full, first) = (publisher.full_frame(), publisher.next_frame(1000));
    publisher.record(&load(0, true, &[2.0, 0.0, 1.0, 0.0]));
    let second = publisher.next_frame(1000);
    let mut follower = Follower::default();
    for frame in [&full, &first, &second] {
        assert!(matches!(follower.apply(frame), ApplyOutcome::Changed(_)));
    }
    for frame in [&second, &first, &full, &Publisher::new(4, &fields()).next_frame(1000)] {
        assert_eq!(follower.apply(frame), ApplyOutcome::Stale);
    }
    assert_eq!(follower.current_version(), Some((5, 2)));
}

#[test]
fn a_gap_and_another_publisher_require_a_full_frame() {
    let mut publisher = Publisher::new(5, &fields());
    let mut follower = Follower::default();
    assert_eq!(follower.apply(&publisher.next_frame(1000)), ApplyOutcome::Gap);
    assert!(matches!(follower.apply(&publisher.full_frame()), ApplyOutcome::Changed(_)));
    publisher.next_frame(1000);
    assert_eq!(follower.apply(&publisher.next_frame(1000)), ApplyOutcome::Gap);
    let mut later = Publisher::new(6, &fields());
    assert_eq!(follower.apply(&later.next_frame(1000)), ApplyOutcome::Gap);
    later.record(&load(0, true, &[3.0, 1.0, 1.0, 0.0]));
    later.next_frame(1000);
    assert_eq!(changed(follower.apply(&later.full_frame())).len(), 1);
    assert_eq!(follower.current_version(), Some((6, 2)));
}

#[test]
fn an_invalid_frame_discards_the_whole_state() {
    let mut publisher = Publisher::new(5, &fields());
    publisher.record(&load(0, true, &[1.0, 1.0, 1.0, 0.0]));
    publisher.next_frame(1000);
    let mut follower = Follower::default();
    follower.apply(&publisher.full_frame());
    for body in [vec![0], vec![9, 1, 1], vec![0, 0x8000, 1], vec![0, 3, 1]] {
        let mut follower = follower.clone();
        let frame = Frame { epoch: 5, version: 2, body, ..Frame::default() };
        assert_eq!(follower.apply(&frame), ApplyOutcome::Gap);
        assert_eq!(follower.current_version(), None);
    }
    let mut decoder = FrameDecoder::default();
    decoder.extend(&[3, 0, 0xff, 0xff, 0xff]);
    assert!(decoder.next_frame().is_err());
}

proptest! {
    /// Frames arrive in arbitrary pieces; some are lost, some are duplicated, and the publisher restarts now
    /// and then. Whenever a follower accepts a version, its loads are those published with that version,
    /// checked against a simple model.
    #[test]
    fn a_follower_knows_what_was_published(
        steps in proptest::collection::vec((0u8..10, 0usize..6, 0u32..40, 0u32..5, any::<bool>()), 1..200),
        piece in 1usize..9,
    ) {
        let mut publisher = Publisher::new(1, &fields());
        let mut model = std::collections::HashMap::new();
        let (mut follower, mut known) = (Follower::default(), std::collections::HashMap::new());
        let (mut epoch, mut last) = (1, None);
        for (action, runner, a, b, ok) in steps {
            match action {
                0 => {
                    epoch += 1;
                    (publisher, model) = (Publisher::new(epoch, &fields()), Default::default());
                }
                1..=4 => {
                    let load = load(runner, ok, &[f64::from(a), f64::from(b), 0.0, 0.0]);
                    publisher.record(&load);
                    model.insert(load.runner.clone(), load);
                }
                5 => drop(publisher.next_frame(60)),
                _ => {
                    let frame = publisher.next_frame(1000);
                    let mut decoder = FrameDecoder::default();
                    let mut frames = Vec::new();
                    for bytes in frame.to_bytes().unwrap().chunks(piece) {
                        decoder.extend(bytes);
                        frames.extend(decoder.next_frame().unwrap());
                    }
                    prop_assert_eq!(&frames, &vec![frame]);
                    frames.extend(last.replace(frames[0].clone()));
                    for frame in frames {
                        let mut outcome = follower.apply(&frame);
                        if outcome == ApplyOutcome::Gap {
                            known.clear();
                            outcome = follower.apply(&publisher.full_frame());
                        }
                        if let ApplyOutcome::Changed(loads) = outcome {
                            known.extend(loads.into_iter().map(|load| (load.runner.clone(), load)));
                        }
                    }
                    for (name, load) in &known {
                        if let Some(truth) = model.get(name) {
                            prop_assert_eq!(load.ok, truth.ok);
                            let error = (load.values[0] - truth.values[0]).abs();
                            prop_assert!(
                                error <= truth.values[0] * 0.1, "{} {}", load.values[0], truth.values[0]
                            );
                            prop_assert_eq!(load.values[1], truth.values[1]);
                        }
                    }
                }
            }
        }
    }
}
