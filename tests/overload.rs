//! More work than there is room: what is held, moved, refused or served last, and when its client hears.
//! It owns one small test for each such symptom; it must never wait for real time or draw without a seed.

mod common;

use common::*;
use sablerun::*;

/// With more work than slots, requests are held here and not queued at the workers.
#[test]
fn what_fits_nowhere_is_held_and_refused_in_time() {
    let mut world = two_workers(2);
    for n in 0..60 {
        world.arrive(n, 0);
    }
    let sent = world.sends().len();
    assert!((6..=14).contains(&sent), "{sent} sent to eight slots");
    world.pass(ms(3000));
    let refused = world.log.iter().filter(|(_, a)| matches!(a, Action::Refuse(..))).count();
    assert!(refused >= 60 - 30, "{refused} refused");
    world.pass(ms(3000));
    assert!(world.broken.is_empty(), "{:?}", world.broken);
}

/// Work that waits where it was sent is moved, but only as far as the budget goes: withdrawn work may
/// still run there, and moves without bound would double the load of a full fleet.
#[test]
fn moves_are_bounded() {
    let mut world = World::new(Settings { zone: None, ..settings() }, 4);
    world.list(ListKind::Saved, (0..30).map(worker).collect());
    for n in 0..60 {
        world.arrive(n, 0);
        world.pass(ms(40));
    }
    world.pass(ms(400));
    let moves = world.sends().len() - world.requests.values().filter(|k| !k.attempts.is_empty()).count();
    assert!(moves > 0, "an attempt that is not started is moved");
    assert!(moves <= 5 + 6, "{moves} moves for 60 arrivals");
    assert!(world.broken.is_empty(), "{:?}", world.broken);
}

/// What a fleet moves without a stated budget does not grow with its dispatchers: each has a part of the floor.
#[test]
fn a_large_fleet_shares_the_floor_of_its_moves() {
    for (dispatchers, most) in [(8, 6), (318, 1)] {
        let mut world = World::new(Settings { zone: None, dispatchers, ..settings() }, 4);
        world.list(ListKind::Saved, (0..30).map(worker).collect());
        for n in 0..10 {
            world.arrive(n, 0);
            world.pass(ms(40));
        }
        world.pass(ms(400));
        let first = world.requests.values().filter(|k| !k.attempts.is_empty()).count();
        let moves = world.sends().len() - first;
        assert!((1..=most).contains(&moves), "{moves} moves for 10 arrivals at one of {dispatchers}");
    }
}

/// In overload the line is served by worth: requests beyond their tenant's share come last.
#[test]
fn requests_beyond_a_share_are_served_last() {
    let tenants = vec![Tenant { quota_per_s: 1.0 }, Tenant { quota_per_s: 1000.0 }];
    let mut world = World::new(Settings { tenants, ..settings() }, 13);
    world.list(ListKind::Saved, vec![worker(0)]);
    for n in 0..30 {
        world.arrive_from(n, 0, Some(TenantId(u32::from(n >= 20))));
    }
    let before = world.sends().len();
    serve(&mut world, ms(50));
    let next: Vec<_> = world.sends().split_off(before);
    assert!(!next.is_empty());
    assert!(next.iter().all(|(id, _)| id.0 >= 20), "{next:?}");
}

/// A client with little time left is served; the missing patience is not taken for a retry's age.
#[test]
fn a_first_try_with_little_time_is_served() {
    let mut world = two_workers(14);
    world.arrive(0, 0);
    serve(&mut world, ms(50));
    world.arrive_until(1, 0, None, world.now + ms(300));
    assert_eq!(world.requests[&RequestId(1)].attempts.len(), 1, "sent at once");
}

/// Old retries are not served once their aim has passed: in overload they would crowd out first tries.
#[test]
fn a_retry_of_seconds_ago_is_refused() {
    let mut world = two_workers(15);
    world.arrive(0, 0);
    serve(&mut world, ms(50));
    world.arrive_until(1, 0, None, world.now + ms(3000));
    assert!(world.log.iter().any(|(_, a)| matches!(a, Action::Refuse(RequestId(1), _))));
}

/// With the budget spent and no turn before a start is of use, the answer comes at once, not at the deadline.
#[test]
fn no_turn_in_time_means_an_answer_at_once() {
    let budget = Some(Budget { floor: 1.0, ratio: 0.0, window: ms(5000) });
    let mut world = World::new(Settings { zone: None, budget, ..settings() }, 23);
    world.list(ListKind::Saved, vec![worker(0), worker(1)]);
    for n in 0..2 {
        world.arrive(n, 0);
        world.end(n, 0, Outcome::Full);
    }
    let sends = |n: u32| world.requests[&RequestId(n)].attempts.len();
    assert_eq!((sends(0), sends(1)), (2, 1), "one further attempt in all");
    assert!(world.requests[&RequestId(1)].settled, "answered at once");
    assert!(world.broken.is_empty(), "{:?}", world.broken);
}

/// Waiting work that will be late is withdrawn and refused inside its aim where misses are weighed; elsewhere
/// unsafe work, which could only fail, waits on.
#[test]
fn waiting_work_that_will_be_late_is_refused_within_its_aim() {
    for (weight, class, refused) in [(0.3, 0, true), (0.0, 1, false)] {
        let tail = Tail { weight, tolerated: 0.02 };
        let mut world = World::new(Settings { zone: None, tail, ..settings() }, 24);
        world.list(ListKind::Saved, vec![worker(0)]);
        world.arrive(0, class);
        world.pass(ms(400));
        assert_eq!(world.requests[&RequestId(0)].settled, refused, "class {class}");
        let withdrawn = world.log.iter().any(|(_, a)| *a == Action::Cancel(RequestId(0), 0));
        assert_eq!(withdrawn, refused, "class {class}");
    }
}

/// While workers turn work away as full, work of little worth leaves them room; without that it uses it.
#[test]
fn work_of_little_worth_leaves_room_while_workers_are_full() {
    let mut classes = vec![class(Idempotency::Safe), class(Idempotency::Safe)];
    classes[0].worth = 12.0;
    let held = |full: bool| {
        let classes = classes.clone();
        let mut world = World::new(Settings { zone: None, classes, max_attempts: 1, ..settings() }, 28);
        world.list(ListKind::Saved, vec![worker(0), worker(1)]);
        for n in 0..30 {
            world.arrive(n, 1);
            if full {
                world.end(n, 0, Outcome::Full);
            }
            serve(&mut world, ms(50));
            world.pass(ms(500));
        }
        let before = world.sends().len();
        for n in 100..112 {
            world.arrive(n, 1);
        }
        world.sends().len() - before
    };
    let (free, full) = (held(false), held(true));
    assert!(free > 4 && full < free / 2, "{free} sent at once, {full} after workers were full");
}

/// A marked retry carries its first try's deadline: late ones are refused, an unmarked short one is served.
#[test]
fn a_marked_retry_is_as_old_as_its_deadline_tells() {
    let mut world = World::new(Settings { zone: None, marked_retries: true, ..settings() }, 29);
    world.list(ListKind::Saved, vec![worker(0)]);
    world.arrive(0, 0);
    serve(&mut world, ms(50));
    let deadline = world.now + ms(1000);
    world.arrive_until(1, 0, None, deadline);
    assert_eq!(world.requests[&RequestId(1)].attempts.len(), 1, "not marked: a client with little time");
    world.retry_until(2, 0, deadline);
    assert!(world.requests[&RequestId(2)].settled, "four seconds old: refused");
}

/// A refused client hears to come back after one objective, while it may still be in time, or sooner if it
/// heeds less.
#[test]
fn a_refusal_says_when_to_come_back() {
    for (most, told) in [(2000, 200), (50, 50)] {
        let mut world = World::new(Settings { zone: None, max_hold_off: ms(most), ..settings() }, 32);
        world.arrive(0, 0);
        world.pass(ms(1000));
        assert!(
            world.log.iter().any(|(_, a)| *a == Action::Refuse(RequestId(0), ms(told))),
            "{:?}",
            world.log
        );
    }
}

/// What is paid for when late waits on, held here or at a worker, and a late retry of it is sent: given up, it
/// would run for nothing where it waits, and come again.
#[test]
fn what_pays_when_late_is_not_given_up() {
    for (late_worth, served) in [(0.5, true), (0.0, false)] {
        let classes = vec![Class { late_worth, ..class(Idempotency::Safe) }];
        let settings = Settings { zone: None, classes, marked_retries: true, max_attempts: 1, ..settings() };
        let mut world = World::new(settings, 33);
        world.list(ListKind::Saved, vec![worker(0)]);
        world.arrive(0, 0);
        world.pass(ms(3000));
        assert_eq!(world.requests[&RequestId(0)].settled, !served, "waiting at a worker");
        world.end(0, 0, Outcome::Ok);
        world.retry_until(1, 0, world.now + ms(1000));
        assert_eq!(world.requests[&RequestId(1)].attempts.len(), usize::from(served), "a late retry");
        world.end(1, 0, Outcome::Ok);
        world.list(ListKind::Full, Vec::new());
        world.arrive(2, 0);
        world.pass(ms(3000));
        assert_eq!(world.requests[&RequestId(2)].settled, !served, "held here");
        world.pass(ms(3000));
        assert!(world.requests[&RequestId(2)].settled, "never past the deadline");
        assert!(world.broken.is_empty(), "{:?}", world.broken);
    }
}

/// Long jobs are not taken for slow workers: a class's mean stays what its jobs take, and with it the time
/// for which a request is held, here twelve times that mean beside the objective.
#[test]
fn long_jobs_do_not_wear_their_class_mean_down() {
    let long = Class { objective: ms(500), stretch: 41.0, deadline: ms(60_000), ..class(Idempotency::Safe) };
    let mut world = World::new(Settings { zone: None, classes: vec![long], ..settings() }, 34);
    world.list(ListKind::Saved, (0..40).map(worker).collect());
    for n in 0..400 {
        world.arrive(n, 0);
        serve(&mut world, ms([50, 100, 300, 1550][n as usize % 4]));
    }
    world.list(ListKind::Full, Vec::new());
    let came = world.now;
    world.arrive(400, 0);
    world.pass(ms(60_000));
    let refused = world.log.iter().find(|(_, a)| matches!(a, Action::Refuse(RequestId(400), _)));
    let held = refused.map(|(at, _)| (*at - came).secs()).expect("refused");
    assert!((0.5 + 12.0 * 0.4..0.5 + 12.0 * 0.6).contains(&held), "{held} s held, 6.5 s by the true mean");
}
