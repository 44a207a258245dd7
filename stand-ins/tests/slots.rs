//! A hollow runner's scheduling: what runs when, and for how long.

use sablerun_stand_ins::hollow::slots::{CancelOutcome, Load, Slots, SlowStart};

const WARM: SlowStart = SlowStart { initial_speed: 1.0, duration_us: 0 };

fn slots(slots: u32) -> Slots {
    Slots::new(slots, WARM)
}

#[test]
fn requests_run_in_order_as_slots_become_free() {
    let mut slots = slots(2);
    let started: Vec<_> = ["a", "b", "c", "d"].iter().map(|id| slots.accept(10, id, 100).1).collect();
    let ids: Vec<_> =
        started.iter().map(|start| start.as_ref().map(|s| (s.id.as_str(), s.ends_us))).collect();
    assert_eq!(ids, [Some(("a", 110)), Some(("b", 110)), None, None]);
    assert_eq!(slots.load(), Load { slots: 2, running: 2, queued: 2, mean_running_us: 0.0 });

    let finished = slots.finish(110, started[1].as_ref().unwrap().number).unwrap();
    let next = finished.next_started.unwrap();
    assert!(finished.wanted);
    assert_eq!(
        (next.id.as_str(), next.ends_us),
        ("c", 210),
        "the head of the queue, for its own running time"
    );
    assert_eq!(slots.load(), Load { slots: 2, running: 2, queued: 1, mean_running_us: 100.0 });
    assert_eq!(slots.finish(110, started[1].as_ref().unwrap().number), None, "a job finishes only once");
}

#[test]
fn a_cancelled_queued_job_never_runs_and_a_running_one_ends_unreported() {
    let mut slots = slots(1);
    let first = slots.accept(0, "a", 50).1.unwrap();
    slots.accept(0, "b", 50);
    slots.accept(0, "c", 50);
    assert_eq!(slots.cancel_newest("b"), CancelOutcome::Queued);
    assert_eq!(slots.cancel_newest("b"), CancelOutcome::Unknown);
    assert!(slots.is_wanted("a"));
    assert_eq!(slots.cancel_newest("a"), CancelOutcome::Running);
    assert!(!slots.is_wanted("a"));
    assert_eq!(slots.load().running, 1, "the slot stays taken until the job ends");
    let finished = slots.finish(50, first.number).unwrap();
    assert!(!finished.wanted);
    assert_eq!(finished.next_started.unwrap().id, "c");
}

#[test]
fn a_second_attempt_of_an_id_is_a_separate_job() {
    let mut slots = slots(1);
    let (first, start) = slots.accept(0, "a", 50);
    let (second, queued) = slots.accept(1, "a", 50);
    assert!(start.is_some() && queued.is_none() && first != second);
    assert_eq!(slots.cancel_newest("a"), CancelOutcome::Queued, "the newest attempt is cancelled");
    assert!(slots.finish(50, first).unwrap().wanted, "the first attempt is not affected");
}

#[test]
fn a_crash_drops_all_jobs_and_ignores_their_ends() {
    let mut slots = slots(1);
    let (first, _) = slots.accept(0, "a", 50);
    slots.accept(0, "b", 50);
    let mut lost = slots.drop_all();
    lost.sort();
    assert_eq!(lost, [("a".to_owned(), true), ("b".to_owned(), false)]);
    assert_eq!(slots.load(), Load { slots: 1, ..Load::default() });
    let (again, start) = slots.accept(60, "c", 50);
    assert!(start.is_some());
    assert_eq!(slots.finish(70, first), None, "job numbers are not reused");
    assert!(slots.finish(110, again).is_some());
}

#[test]
fn after_a_cold_start_the_speed_grows_to_full() {
    let slow_start = SlowStart { initial_speed: 0.5, duration_us: 8_000_000 };
    let mut slots = Slots::new(9, slow_start);
    assert_eq!(slots.accept(0, "warm", 1_000).1.unwrap().ends_us, 1_000, "full speed without a cold start");
    slots.drop_all();
    slots.start_cold(100);
    let ends = |slots: &mut Slots, now: u64, work: u64| slots.accept(now, "x", work).1.unwrap().ends_us - now;
    let short = ends(&mut slots, 100, 1_000);
    assert!((1_990..=2_000).contains(&short), "about half the speed at first: {short}");
    // The mean speed over the slow start is 0.75; afterwards it is 1.
    assert_eq!(ends(&mut slots, 100, 6_000_000), 8_000_000);
    assert_eq!(ends(&mut slots, 100, 65_000_000), 8_000_000 + 59_000_000);
    assert_eq!(ends(&mut slots, 100 + 8_000_000, 65_000_000), 65_000_000);
}

#[test]
fn the_work_done_is_the_integral_of_the_speed() {
    let slow_start = SlowStart { initial_speed: 0.32, duration_us: 8_600_000 };
    let speed = |age: f64| (0.32 + 0.68 * age / 8.6e6).min(1.0);
    for age in [0u64, 1_000, 4_000_000, 8_599_999] {
        for work in [1u64, 10_000, 2_000_000, 9_000_000] {
            let time = slow_start.running_time_us(age, work);
            let steps = 20_000;
            let step = time as f64 / f64::from(steps);
            let done: f64 = (0..steps).map(|n| speed(age as f64 + step * (f64::from(n) + 0.5)) * step).sum();
            let error = (done - work as f64).abs();
            assert!(error <= 1.5 + work as f64 * 1e-6, "age {age}, work {work}: {time} completes {done}");
        }
    }
    let from_zero = SlowStart { initial_speed: 0.0, duration_us: 1_000_000 };
    assert_eq!(from_zero.running_time_us(0, 500_000), 1_000_000, "also from an initial speed of zero");
}
