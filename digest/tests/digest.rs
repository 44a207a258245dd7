//! Publishers and followers against plain models: whatever is lost, doubled or crossed, a follower believes only
//! what was published, in order.

use proptest::prelude::*;
use sablerun_digest::{Follower, Frame, Load, Publisher, Stream, Taken, decode, encode};

fn load(runner: usize, ok: bool, figures: &[f64]) -> Load {
    Load { runner: format!("s-{runner:04}"), ok, figures: figures.to_vec() }
}

fn fields() -> Vec<String> {
    ["outstanding", "x0", "recent_ms", "errors_per_s"].map(str::to_owned).to_vec()
}

fn changed(taken: Taken) -> Vec<Load> {
    match taken {
        Taken::Changed(loads) => loads,
        other => panic!("{other:?}"),
    }
}

#[test]
fn whole_numbers_up_to_32_are_exact_and_larger_ones_off_by_a_thirtieth() {
    for n in 0..=32 {
        assert_eq!(decode(encode(f64::from(n))), f64::from(n));
    }
    for eighth in 0..64 {
        assert_eq!(decode(encode(f64::from(eighth) / 8.0)), f64::from(eighth) / 8.0);
    }
    for figure in [33.0, 65_000.0, 1e6, 123_456.789] {
        assert!((decode(encode(figure)) / figure - 1.0).abs() <= 1.0 / 32.0, "{figure}");
    }
    for odd in [f64::NAN, f64::INFINITY, -1.0] {
        assert_eq!(decode(encode(odd)), 0.0);
    }
    assert!(encode(19.0) < 128, "one byte for a usual count of slots");
}

#[test]
fn only_what_changed_is_told_and_an_unchanged_fleet_costs_a_sign_of_life() {
    let mut publisher = Publisher::new(1, &fields());
    (0..680).for_each(|n| publisher.heard(&load(n, true, &[19.0, 3.0, 65_000.0, 0.0])));
    let mut follower = Follower::default();
    assert_eq!(changed(follower.take(&publisher.whole())), []);
    let all = publisher.next(65_000);
    assert_eq!(changed(follower.take(&all)).len(), 680);
    (0..680).for_each(|n| publisher.heard(&load(n, true, &[19.0, 3.0, 65_500.0, 0.0])));
    let nothing = publisher.next(65_000);
    assert!(nothing.body.is_empty(), "within the rounding");
    assert!(nothing.bytes().unwrap().len() < 25, "{}", nothing.bytes().unwrap().len());
    publisher.heard(&load(7, true, &[20.0, 2.0, 65_000.0, 0.0]));
    let one = publisher.next(65_000);
    assert!(one.bytes().unwrap().len() < 30);
    follower.take(&nothing);
    assert_eq!(changed(follower.take(&one)), [load(7, true, &[20.0, 2.0, decode(encode(65_000.0)), 0.0])]);
}

#[test]
fn a_budget_holds_back_what_matters_least_and_tells_it_later() {
    let mut publisher = Publisher::new(1, &fields());
    (0..100).for_each(|n| publisher.heard(&load(n, true, &[10.0, 5.0, 100.0, 0.0])));
    publisher.next(65_000);
    (0..100).for_each(|n| publisher.heard(&load(n, true, &[11.0, 4.0, 100.0, 0.0])));
    // One has no slot free any more, and one takes no work.
    publisher.heard(&load(60, true, &[15.0, 0.0, 100.0, 0.0]));
    publisher.heard(&load(70, false, &[11.0, 4.0, 100.0, 0.0]));
    let mut told = Vec::new();
    let mut follower = Follower::default();
    let mut first = None;
    follower.take(&publisher.whole());
    for _ in 0..100 {
        let frame = publisher.next(80);
        assert!(frame.bytes().unwrap().len() <= 82, "{}", frame.bytes().unwrap().len());
        let loads = changed(follower.take(&frame));
        first.get_or_insert_with(|| loads.iter().map(|l| l.runner.clone()).collect::<Vec<_>>());
        told.extend(loads.into_iter().map(|l| l.runner));
    }
    let first = first.unwrap();
    assert!(first.contains(&"s-0060".to_owned()) && first.contains(&"s-0070".to_owned()), "{first:?}");
    told.sort();
    told.dedup();
    assert_eq!(told.len(), 100, "everything is told in the end");
}

#[test]
fn an_older_version_after_a_newer_and_the_same_twice_change_nothing() {
    let mut publisher = Publisher::new(5, &fields());
    publisher.heard(&load(0, true, &[1.0, 1.0, 1.0, 0.0]));
    let (whole, first) = (publisher.whole(), publisher.next(1000));
    publisher.heard(&load(0, true, &[2.0, 0.0, 1.0, 0.0]));
    let second = publisher.next(1000);
    let mut follower = Follower::default();
    for frame in [&whole, &first, &second] {
        assert!(matches!(follower.take(frame), Taken::Changed(_)));
    }
    for frame in [&second, &first, &whole, &Publisher::new(4, &fields()).next(1000)] {
        assert_eq!(follower.take(frame), Taken::Old);
    }
    assert_eq!(follower.held(), Some((5, 2)));
}

#[test]
fn a_gap_asks_for_the_whole_and_so_does_another_publisher() {
    let mut publisher = Publisher::new(5, &fields());
    let mut follower = Follower::default();
    assert_eq!(follower.take(&publisher.next(1000)), Taken::Gap);
    assert!(matches!(follower.take(&publisher.whole()), Taken::Changed(_)));
    publisher.next(1000);
    assert_eq!(follower.take(&publisher.next(1000)), Taken::Gap);
    let mut later = Publisher::new(6, &fields());
    assert_eq!(follower.take(&later.next(1000)), Taken::Gap);
    later.heard(&load(0, true, &[3.0, 1.0, 1.0, 0.0]));
    later.next(1000);
    assert_eq!(changed(follower.take(&later.whole())).len(), 1);
    assert_eq!(follower.held(), Some((6, 2)));
}

#[test]
fn a_frame_that_makes_no_sense_is_believed_in_no_part() {
    let mut publisher = Publisher::new(5, &fields());
    publisher.heard(&load(0, true, &[1.0, 1.0, 1.0, 0.0]));
    publisher.next(1000);
    let mut follower = Follower::default();
    follower.take(&publisher.whole());
    for body in [vec![0], vec![9, 1, 1], vec![0, 0x8000, 1], vec![0, 3, 1]] {
        let mut follower = follower.clone();
        let frame = Frame { epoch: 5, version: 2, body, ..Frame::default() };
        assert_eq!(follower.take(&frame), Taken::Gap);
        assert_eq!(follower.held(), None);
    }
    let mut stream = Stream::default();
    stream.extend(&[3, 0, 0xff, 0xff, 0xff]);
    assert!(stream.pop().is_err());
}

proptest! {
    /// Frames in any pieces, some lost, some doubled, the publisher started anew now and then: whenever a follower
    /// believes a version, it believes what was published with it.
    #[test]
    fn a_follower_believes_what_was_published(
        steps in proptest::collection::vec((0u8..10, 0usize..6, 0u32..40, 0u32..5, any::<bool>()), 1..200),
        piece in 1usize..9,
    ) {
        let mut publisher = Publisher::new(1, &fields());
        let mut model = std::collections::HashMap::new();
        let (mut follower, mut held) = (Follower::default(), std::collections::HashMap::new());
        let (mut epoch, mut last) = (1, None);
        for (what, runner, a, b, ok) in steps {
            match what {
                0 => {
                    epoch += 1;
                    (publisher, model) = (Publisher::new(epoch, &fields()), Default::default());
                }
                1..=4 => {
                    let load = load(runner, ok, &[f64::from(a), f64::from(b), 0.0, 0.0]);
                    publisher.heard(&load);
                    model.insert(load.runner.clone(), load);
                }
                5 => drop(publisher.next(60)),
                _ => {
                    let frame = publisher.next(1000);
                    let mut stream = Stream::default();
                    let mut frames = Vec::new();
                    for bytes in frame.bytes().unwrap().chunks(piece) {
                        stream.extend(bytes);
                        frames.extend(stream.pop().unwrap());
                    }
                    prop_assert_eq!(&frames, &vec![frame]);
                    frames.extend(last.replace(frames[0].clone()));
                    for frame in frames {
                        let mut taken = follower.take(&frame);
                        if taken == Taken::Gap {
                            held.clear();
                            taken = follower.take(&publisher.whole());
                        }
                        if let Taken::Changed(loads) = taken {
                            held.extend(loads.into_iter().map(|load| (load.runner.clone(), load)));
                        }
                    }
                    for (name, load) in &held {
                        if let Some(truth) = model.get(name) {
                            prop_assert_eq!(load.ok, truth.ok);
                            let off = (load.figures[0] - truth.figures[0]).abs();
                            prop_assert!(off <= truth.figures[0] * 0.1, "{} {}", load.figures[0], truth.figures[0]);
                            prop_assert_eq!(load.figures[1], truth.figures[1]);
                        }
                    }
                }
            }
        }
    }
}
