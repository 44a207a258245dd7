//! Workers that return errors, lose connections, fall silent or slow down: each is avoided, and used again
//! once it has recovered.

mod common;

use common::*;
use sablerun::*;

/// A worker that falls silent with outstanding attempts becomes suspect and gets no unsafe requests until it
/// responds.
#[test]
fn a_silent_worker_is_suspect_until_it_responds() {
    let mut world = World::new(settings(), 5);
    world.list(ListKind::Saved, vec![worker(0)]);
    world.arrive(0, 1);
    world.start(0, 0);
    world.advance(ms(2500));
    world.arrive(1, 1);
    world.advance(ms(60));
    assert!(world.requests[&RequestId(1)].attempts.is_empty(), "a suspect gets no unsafe requests");
    world.end(0, 0, Outcome::Ok);
    assert_eq!(world.requests[&RequestId(1)].attempts.len(), 1, "used again after its response");
}

/// A broken connection makes a worker suspect. Safe requests try it again, so it is never excluded for good.
#[test]
fn a_worker_with_broken_connections_is_tried_again() {
    let mut world = two_workers(6);
    for n in 0..40 {
        world.arrive(n, 0);
        let connection_lost =
            world.requests[&RequestId(n)].attempts.last().is_some_and(|a| a.0 == WorkerId(1));
        if connection_lost {
            let outcome = if n % 2 == 0 { Outcome::Reset } else { Outcome::ConnectFailed };
            world.end(n, 0, outcome);
        }
        serve(&mut world, ms(50));
    }
    let sends_during = sent_to(&world, 1);
    assert!((1..12).contains(&sends_during), "{sends_during} of 40 while its connections break");
    for n in 40..240 {
        world.arrive(n, 0);
        serve(&mut world, ms(50));
    }
    let sends_after = sent_to(&world, 1) - sends_during;
    assert!((50..150).contains(&sends_after), "{sends_after} of 200 after it has recovered");
}

/// Fast errors raise a worker's price: their short times must not count as a fast pace.
#[test]
fn a_worker_that_fails_fast_is_avoided() {
    let mut world = two_workers(7);
    for n in 0..200 {
        world.arrive(n, 0);
        let mut attempt = 0;
        while let Some(a) = world.requests[&RequestId(n)].attempts.get(attempt as usize) {
            let at_failing_worker = a.0 == WorkerId(1);
            world.start(n, attempt);
            world.advance(ms(if at_failing_worker { 5 } else { 50 }));
            world.end(n, attempt, if at_failing_worker { Outcome::Error } else { Outcome::Ok });
            attempt += 1;
        }
    }
    let share = sent_to(&world, 1) as f64 / world.sends().len() as f64;
    assert!(share < 0.2, "{share}");
}

/// A dispatcher with only suspect workers still sends safe requests.
#[test]
fn suspect_workers_are_still_tried_if_all_are_suspect() {
    let mut world = two_workers(9);
    for n in 0..2 {
        world.arrive(n, 0);
        world.end(n, 0, Outcome::Reset);
        world.end(n, 1, Outcome::Reset);
    }
    world.advance(ms(1500));
    let before = world.sends().len();
    for n in 10..14 {
        world.arrive(n, 0);
        world.advance(ms(600));
        serve(&mut world, ms(50));
    }
    assert!(world.sends().len() > before, "nothing was tried");
}

/// A worker that slows down loses most of its share, and regains it seconds after it has recovered.
#[test]
fn a_slow_worker_loses_its_share_and_regains_it() {
    let mut world = two_workers(20);
    share_of_worker_1(&mut world, 0..100, 50);
    let share_while_slow = share_of_worker_1(&mut world, 100..300, 500);
    assert!(share_while_slow < 0.3, "{share_while_slow} while it is slow");
    share_of_worker_1(&mut world, 300..500, 50);
    let recovered_share = share_of_worker_1(&mut world, 500..700, 50);
    assert!((0.35..0.65).contains(&recovered_share), "{recovered_share} after it has recovered");
}

/// A worker that does not answer requests of one class loses that class, keeps the others, and regains the
/// class.
#[test]
fn a_class_that_a_worker_leaves_unanswered_goes_elsewhere() {
    let mut world = two_workers(19);
    let run_requests = |world: &mut World, ids: std::ops::Range<u32>, worker_1_silent: bool| {
        let before = world.sends().len();
        for n in ids {
            world.arrive(n, if n % 2 == 0 { 0 } else { 3 });
            world.advance(ms(30));
            for (id, attempt) in world.outstanding() {
                let tracked = &world.requests[&RequestId(id)];
                let affected =
                    tracked.attempts[attempt as usize].0 == WorkerId(1) && tracked.class == ClassId(0);
                if !(affected && worker_1_silent) {
                    world.start(id, attempt);
                    world.end(id, attempt, Outcome::Ok);
                }
            }
            world.advance(ms(400));
            for (id, attempt) in world.outstanding() {
                world.end(id, attempt, Outcome::Cancelled);
            }
        }
        let sends = world.sends().split_off(before);
        let share_at_worker_1 = |class: u32| {
            let of_class = |id: &RequestId| world.requests[id].class == ClassId(class);
            let class_sends = sends.iter().filter(|(id, _)| of_class(id)).count();
            let sends_to_worker_1 = sends.iter().filter(|(id, w)| of_class(id) && *w == WorkerId(1)).count();
            sends_to_worker_1 as f64 / class_sends as f64
        };
        (share_at_worker_1(0), share_at_worker_1(3))
    };
    let (silent_class_share, other_class_share) = run_requests(&mut world, 0..200, true);
    assert!(
        silent_class_share < 0.25 && other_class_share > 0.3,
        "{silent_class_share} of the unanswered class, {other_class_share} of the other"
    );
    world.advance(ms(20_000));
    let (recovered_share, _) = run_requests(&mut world, 200..300, false);
    assert!(recovered_share > 0.3, "{recovered_share} of the class after it is answered again");
}

/// Two of four workers fail most of their attempts, and immediately. They seem idle while the others are
/// full, and soon most outcomes are theirs, so by a mean over outcomes their failures would be usual. They
/// are still avoided: each worker's failure rate is compared with the lowest rate among the workers.
#[test]
fn workers_that_fail_fast_do_not_attract_the_traffic() {
    let mut world = World::new(Settings { zone: None, ..settings() }, 31);
    world.list(ListKind::Saved, (0..4).map(worker).collect());
    let (mut failing_attempts, mut all_attempts, mut avoided_steps) = (0, 0, [0; 4]);
    for step in 0..4000u32 {
        if step % 10 == 0 {
            world.arrive(step, [0, 2, 3][step as usize / 10 % 3]);
        }
        world.advance(ms(5));
        for (n, steps) in avoided_steps.iter_mut().enumerate() {
            *steps += u32::from(world.balancer.avoids(WorkerId(n as u32)));
        }
        for (id, attempt) in world.outstanding() {
            let (at, sent, _) = world.requests[&RequestId(id)].attempts[attempt as usize];
            let fails = at.0 < 2 && !(id / 10 + attempt).is_multiple_of(6);
            let age = world.now - sent;
            if age < ms(10) {
                world.start(id, attempt);
                all_attempts += u32::from(step > 400);
                failing_attempts += u32::from(step > 400 && at.0 < 2);
            }
            if fails || age > ms(400) {
                world.end(id, attempt, if fails { Outcome::Error } else { Outcome::Ok });
            }
        }
    }
    let share = f64::from(failing_attempts) / f64::from(all_attempts);
    assert!(share < 0.2, "{failing_attempts} of {all_attempts} attempts went to the workers that fail");
    assert!(
        avoided_steps[0] > 1000 && avoided_steps[1] > 1000 && avoided_steps[2..] == [0, 0],
        "{avoided_steps:?} of 4000 steps"
    );
    assert_eq!(world.violations, [""; 0]);
}

/// Errors in a worker's report count like failures seen by the dispatcher itself, which sees few if it has
/// little traffic: the worker is avoided before it has failed any attempt of this dispatcher. A single
/// reported error does not matter.
#[test]
fn a_worker_is_avoided_for_its_reported_errors_alone() {
    let mut world = World::new(Settings { zone: None, ..settings() }, 9);
    world.list(ListKind::Saved, (0..3).map(worker).collect());
    let report_errors = |world: &mut World, n: u32, errors: f64, inflight: f64| {
        let (errors_per_s, inflight) = (Some(errors), Some(inflight));
        let report = Report { errors_per_s, inflight, ..Report::default() };
        world.deliver(Event::Probed(WorkerId(n), true, Some(report)));
    };
    report_errors(&mut world, 0, 20.0, 1.0);
    report_errors(&mut world, 1, 1.0, 0.0);
    let avoided = |world: &World| [0, 1, 2].map(|n| world.balancer.avoids(WorkerId(n)));
    assert_eq!(avoided(&world), [true, false, false]);
    for n in 0..20 {
        world.arrive(n, 0);
        serve(&mut world, ms(5));
    }
    assert_eq!(sent_to(&world, 0), 0);
    // Old reports decay, and invalid values change nothing.
    for outlier in [f64::NAN, f64::INFINITY, -1e300] {
        report_errors(&mut world, 1, outlier, outlier);
        assert!(!world.balancer.avoids(WorkerId(1)), "{outlier}");
    }
    world.advance(ms(20_000));
    world.arrive(20, 0);
    assert_eq!(avoided(&world), [false; 3]);
}
