//! Workers that err, break, fall silent or slow down: how each is left alone, and found well again.
//! It owns one small test for each such symptom; it must never wait for real time or draw without a seed.

mod common;

use common::*;
use sablerun::*;

/// A worker that falls silent with work outstanding gets no unsafe work; once heard, it is used again.
#[test]
fn a_silent_worker_is_suspect_until_heard() {
    let mut world = World::new(settings(), 5);
    world.list(ListKind::Saved, vec![worker(0)]);
    world.arrive(0, 1);
    world.start(0, 0);
    world.pass(ms(2500));
    world.arrive(1, 1);
    world.pass(ms(60));
    assert!(world.requests[&RequestId(1)].attempts.is_empty(), "nothing unsafe goes to a suspect");
    world.end(0, 0, Outcome::Ok);
    assert_eq!(world.requests[&RequestId(1)].attempts.len(), 1, "heard again, used again");
}

/// A broken connection makes a worker suspect; safe work tries it again, so it is never shut out.
#[test]
fn a_worker_that_was_cut_off_is_tried_again() {
    let mut world = two_workers(6);
    for n in 0..40 {
        world.arrive(n, 0);
        let lost = world.requests[&RequestId(n)].attempts.last().is_some_and(|a| a.0 == WorkerId(1));
        if lost {
            let outcome = if n % 2 == 0 { Outcome::Reset } else { Outcome::ConnectFailed };
            world.end(n, 0, outcome);
        }
        serve(&mut world, ms(50));
    }
    let during = sent_to(&world, 1);
    assert!((1..12).contains(&during), "{during} of 40 while cut off");
    for n in 40..240 {
        world.arrive(n, 0);
        serve(&mut world, ms(50));
    }
    let after = sent_to(&world, 1) - during;
    assert!((50..150).contains(&after), "{after} of 200 after it came back");
}

/// Fast errors raise the price, whatever the short answers say of the worker's pace.
#[test]
fn a_worker_that_errs_quickly_is_left_alone() {
    let mut world = two_workers(7);
    for n in 0..200 {
        world.arrive(n, 0);
        let mut attempt = 0;
        while let Some(a) = world.requests[&RequestId(n)].attempts.get(attempt as usize) {
            let bad = a.0 == WorkerId(1);
            world.start(n, attempt);
            world.pass(ms(if bad { 5 } else { 50 }));
            world.end(n, attempt, if bad { Outcome::Error } else { Outcome::Ok });
            attempt += 1;
        }
    }
    let share = sent_to(&world, 1) as f64 / world.sends().len() as f64;
    assert!(share < 0.2, "{share}");
}

/// A dispatcher whose whole list is suspect still serves safe requests.
#[test]
fn a_fleet_under_suspicion_is_still_used() {
    let mut world = two_workers(9);
    for n in 0..2 {
        world.arrive(n, 0);
        world.end(n, 0, Outcome::Reset);
        world.end(n, 1, Outcome::Reset);
    }
    world.pass(ms(1500));
    let before = world.sends().len();
    for n in 10..14 {
        world.arrive(n, 0);
        world.pass(ms(600));
        serve(&mut world, ms(50));
    }
    assert!(world.sends().len() > before, "nothing was tried");
}

/// A worker that slows down loses most of its share and has it back seconds after it is well again.
#[test]
fn a_slow_worker_is_left_and_comes_back() {
    let mut world = two_workers(20);
    share_of_slow(&mut world, 0..100, 50);
    let slow = share_of_slow(&mut world, 100..300, 500);
    assert!(slow < 0.3, "{slow} while it is slow");
    share_of_slow(&mut world, 300..500, 50);
    let back = share_of_slow(&mut world, 500..700, 50);
    assert!((0.35..0.65).contains(&back), "{back} after it is well again");
}

/// A worker that leaves one class unanswered loses that class, keeps the others, and gets it back.
#[test]
fn one_class_left_unanswered_goes_elsewhere() {
    let mut world = two_workers(19);
    let play = |world: &mut World, ids: std::ops::Range<u32>, sick: bool| {
        let before = world.sends().len();
        for n in ids {
            world.arrive(n, if n % 2 == 0 { 0 } else { 3 });
            world.pass(ms(30));
            for (id, attempt) in world.open() {
                let known = &world.requests[&RequestId(id)];
                let lost = known.attempts[attempt as usize].0 == WorkerId(1) && known.class == ClassId(0);
                if !(lost && sick) {
                    world.start(id, attempt);
                    world.end(id, attempt, Outcome::Ok);
                }
            }
            world.pass(ms(400));
            for (id, attempt) in world.open() {
                world.end(id, attempt, Outcome::Cancelled);
            }
        }
        let sends = world.sends().split_off(before);
        let there = |class: u32| {
            let of_class = |id: &RequestId| world.requests[id].class == ClassId(class);
            let all = sends.iter().filter(|(id, _)| of_class(id)).count();
            let there = sends.iter().filter(|(id, w)| of_class(id) && *w == WorkerId(1)).count();
            there as f64 / all as f64
        };
        (there(0), there(3))
    };
    let (lost, kept) = play(&mut world, 0..200, true);
    assert!(lost < 0.25 && kept > 0.3, "{lost} of the unanswered class, {kept} of the other");
    world.pass(ms(20_000));
    let (back, _) = play(&mut world, 200..300, false);
    assert!(back > 0.3, "{back} of the class after it is answered again");
}

/// Two of four workers fail most of what they get, and at once: they look idle while the others are full, and
/// soon most answers are theirs. They are left alone all the same: what is usual is the mean of the others,
/// each counted once.
#[test]
fn workers_that_fail_fast_do_not_draw_the_traffic() {
    let mut world = World::new(Settings { zone: None, ..settings() }, 31);
    world.list(ListKind::Saved, (0..4).map(worker).collect());
    let (mut bad, mut all, mut avoided) = (0, 0, [0; 4]);
    for step in 0..4000u32 {
        if step % 10 == 0 {
            world.arrive(step, [0, 2, 3][step as usize / 10 % 3]);
        }
        world.pass(ms(5));
        for (n, steps) in avoided.iter_mut().enumerate() {
            *steps += u32::from(world.balancer.avoids(WorkerId(n as u32)));
        }
        for (id, attempt) in world.open() {
            let (at, sent, _) = world.requests[&RequestId(id)].attempts[attempt as usize];
            let fails = at.0 < 2 && !(id / 10 + attempt).is_multiple_of(6);
            let age = world.now - sent;
            if age < ms(10) {
                world.start(id, attempt);
                all += u32::from(step > 400);
                bad += u32::from(step > 400 && at.0 < 2);
            }
            if fails || age > ms(400) {
                world.end(id, attempt, if fails { Outcome::Error } else { Outcome::Ok });
            }
        }
    }
    let share = f64::from(bad) / f64::from(all);
    assert!(share < 0.2, "{bad} of {all} attempts went to the workers that fail");
    assert!(avoided[0] > 1000 && avoided[1] > 1000 && avoided[2..] == [0, 0], "{avoided:?} of 4000 steps");
    assert_eq!(world.broken, [""; 0]);
}

/// What a worker's report tells of its errors counts like own losses, of which a dispatcher with little traffic
/// has few: it is avoided before it has failed anything here, and a single error of its does not matter.
#[test]
fn reported_errors_speak_for_a_worker_that_failed_nothing_here() {
    let mut world = World::new(Settings { zone: None, ..settings() }, 9);
    world.list(ListKind::Saved, (0..3).map(worker).collect());
    let tell = |world: &mut World, n: u32, errors: f64, inflight: f64| {
        let (errors_per_s, inflight) = (Some(errors), Some(inflight));
        let report = Report { errors_per_s, inflight, ..Report::default() };
        world.event(Event::Probed(WorkerId(n), true, Some(report)));
    };
    tell(&mut world, 0, 20.0, 1.0);
    tell(&mut world, 1, 1.0, 0.0);
    let avoided = |world: &World| [0, 1, 2].map(|n| world.balancer.avoids(WorkerId(n)));
    assert_eq!(avoided(&world), [true, false, false]);
    for n in 0..20 {
        world.arrive(n, 0);
        serve(&mut world, ms(5));
    }
    assert_eq!(sent_to(&world, 0), 0);
    // Old news fade, and absurd figures change nothing.
    for figure in [f64::NAN, f64::INFINITY, -1e300] {
        tell(&mut world, 1, figure, figure);
        assert!(!world.balancer.avoids(WorkerId(1)), "{figure}");
    }
    world.pass(ms(20_000));
    world.arrive(20, 0);
    assert_eq!(avoided(&world), [false; 3]);
}
