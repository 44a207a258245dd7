//! A hollow runner's decisions: what runs when, and how long.

use sablerun_stand_ins::hollow::slots::{CancelOutcome, Load, Slots, SlowStart};

const WARM: SlowStart = SlowStart { initial_speed: 1.0, duration_us: 0 };

fn slots(slots: u32) -> Slots {
    Slots::new(slots, WARM)
}

#[test]
fn requests_run_in_order_as_slots_come_free() {
    let mut slots = slots(2);
    let starts: Vec<_> = ["a", "b", "c", "d"].iter().map(|id| slots.accept(10, id, 100).1).collect();
    let ids: Vec<_> = starts.iter().map(|start| start.as_ref().map(|s| (s.id.as_str(), s.ends_us))).collect();
    assert_eq!(ids, [Some(("a", 110)), Some(("b", 110)), None, None]);
    assert_eq!(slots.load(), Load { slots: 2, running: 2, queued: 2, mean_running_us: 0.0 });

    let ended = slots.finish(110, starts[1].as_ref().unwrap().job).unwrap();
    let next = ended.next.unwrap();
    assert!(ended.wanted);
    assert_eq!((next.id.as_str(), next.ends_us), ("c", 210), "the queue's head, for its own time");
    assert_eq!(slots.load(), Load { slots: 2, running: 2, queued: 1, mean_running_us: 100.0 });
    assert_eq!(slots.finish(110, starts[1].as_ref().unwrap().job), None, "it has ended once");
}

#[test]
fn given_up_in_the_queue_never_runs_and_running_goes_on_untold() {
    let mut slots = slots(1);
    let first = slots.accept(0, "a", 50).1.unwrap();
    slots.accept(0, "b", 50);
    slots.accept(0, "c", 50);
    assert_eq!(slots.cancel_newest("b"), CancelOutcome::Queued);
    assert_eq!(slots.cancel_newest("b"), CancelOutcome::Unknown);
    assert!(slots.is_wanted("a"));
    assert_eq!(slots.cancel_newest("a"), CancelOutcome::Running);
    assert!(!slots.is_wanted("a"));
    assert_eq!(slots.load().running, 1, "its slot is held to its end");
    let ended = slots.finish(50, first.job).unwrap();
    assert!(!ended.wanted);
    assert_eq!(ended.next.unwrap().id, "c");
}

#[test]
fn a_second_attempt_of_an_id_is_one_of_its_own() {
    let mut slots = slots(1);
    let (first, start) = slots.accept(0, "a", 50);
    let (second, waits) = slots.accept(1, "a", 50);
    assert!(start.is_some() && waits.is_none() && first != second);
    assert_eq!(slots.cancel_newest("a"), CancelOutcome::Queued, "the newest");
    assert!(slots.finish(50, first).unwrap().wanted, "the first is untouched");
}

#[test]
fn a_loss_leaves_nothing_and_voids_what_was_to_end() {
    let mut slots = slots(1);
    let (first, _) = slots.accept(0, "a", 50);
    slots.accept(0, "b", 50);
    let mut lost = slots.drop_all();
    lost.sort();
    assert_eq!(lost, [("a".to_owned(), true), ("b".to_owned(), false)]);
    assert_eq!(slots.load(), Load { slots: 1, ..Load::default() });
    let (again, start) = slots.accept(60, "c", 50);
    assert!(start.is_some());
    assert_eq!(slots.finish(70, first), None, "a number is not given again");
    assert!(slots.finish(110, again).is_some());
}

#[test]
fn a_cold_runner_works_at_a_speed_that_grows_to_full() {
    let warming = SlowStart { initial_speed: 0.5, duration_us: 8_000_000 };
    let mut slots = Slots::new(9, warming);
    assert_eq!(slots.accept(0, "warm", 1_000).1.unwrap().ends_us, 1_000, "never restarted: warm");
    slots.drop_all();
    slots.start_cold(100);
    let ends = |slots: &mut Slots, now: u64, work: u64| slots.accept(now, "x", work).1.unwrap().ends_us - now;
    let short = ends(&mut slots, 100, 1_000);
    assert!((1_990..=2_000).contains(&short), "about half the speed at first: {short}");
    // Over the whole of it the mean speed is 0.75, and full from then on.
    assert_eq!(ends(&mut slots, 100, 6_000_000), 8_000_000);
    assert_eq!(ends(&mut slots, 100, 65_000_000), 8_000_000 + 59_000_000);
    assert_eq!(ends(&mut slots, 100 + 8_000_000, 65_000_000), 65_000_000);
}

#[test]
fn the_work_done_is_the_sum_of_the_speed_over_the_time() {
    let warming = SlowStart { initial_speed: 0.32, duration_us: 8_600_000 };
    let speed = |age: f64| (0.32 + 0.68 * age / 8.6e6).min(1.0);
    for age in [0u64, 1_000, 4_000_000, 8_599_999] {
        for work in [1u64, 10_000, 2_000_000, 9_000_000] {
            let time = warming.running_time_us(age, work);
            let steps = 20_000;
            let step = time as f64 / f64::from(steps);
            let done: f64 = (0..steps).map(|n| speed(age as f64 + step * (f64::from(n) + 0.5)) * step).sum();
            let off = (done - work as f64).abs();
            assert!(off <= 1.5 + work as f64 * 1e-6, "age {age}, work {work}: {time} does {done}");
        }
    }
    let stuck = SlowStart { initial_speed: 0.0, duration_us: 1_000_000 };
    assert_eq!(stuck.running_time_us(0, 500_000), 1_000_000, "from a standstill too");
}
