//! More requests than capacity: which are queued, moved, refused or served last, and when their clients are
//! answered.

mod common;

use common::*;
use sablerun::*;

/// With more requests than slots, the rest waits in the dispatcher's queue and not at the workers.
#[test]
fn requests_beyond_capacity_are_queued_and_refused_in_time() {
    let mut world = two_workers(2);
    for n in 0..60 {
        world.arrive(n, 0);
    }
    let sent = world.sends().len();
    assert!((6..=14).contains(&sent), "{sent} sent to eight slots");
    world.advance(ms(3000));
    let refused = world.log.iter().filter(|(_, a)| matches!(a, Action::Refuse(..))).count();
    assert!(refused >= 60 - 30, "{refused} refused");
    world.advance(ms(3000));
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Attempts that do not start are moved to other workers, but only within a bound: cancelled attempts may
/// still run, so unbounded moves would double the load of a full fleet.
#[test]
fn moves_are_bounded() {
    let mut world = World::new(Settings { zone: None, ..settings() }, 4);
    world.list(ListKind::Saved, (0..30).map(worker).collect());
    for n in 0..60 {
        world.arrive(n, 0);
        world.advance(ms(40));
    }
    world.advance(ms(400));
    let moved_attempts =
        world.sends().len() - world.requests.values().filter(|k| !k.attempts.is_empty()).count();
    assert!(moved_attempts > 0, "an attempt that is not started is moved");
    assert!(moved_attempts <= 5 + 6, "{moved_attempts} moves for 60 arrivals");
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Without a configured retry budget, the moves of a fleet do not grow with its number of dispatchers: each
/// has a part of the floor.
#[test]
fn dispatchers_share_the_floor_of_moves() {
    for (dispatchers, max_moves) in [(8, 6), (318, 1)] {
        let mut world = World::new(Settings { zone: None, dispatchers, ..settings() }, 4);
        world.list(ListKind::Saved, (0..30).map(worker).collect());
        for n in 0..10 {
            world.arrive(n, 0);
            world.advance(ms(40));
        }
        world.advance(ms(400));
        let requests_sent = world.requests.values().filter(|k| !k.attempts.is_empty()).count();
        let moved_attempts = world.sends().len() - requests_sent;
        assert!(
            (1..=max_moves).contains(&moved_attempts),
            "{moved_attempts} moves for 10 arrivals at one of {dispatchers}"
        );
    }
}

/// In overload the queue is served by worth: requests beyond their tenant's share come last.
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

/// A first try with a short deadline is served: the short time left is not taken for the age of a retry.
#[test]
fn a_first_try_with_a_short_deadline_is_served() {
    let mut world = two_workers(14);
    world.arrive(0, 0);
    serve(&mut world, ms(50));
    world.arrive_with_deadline(1, 0, None, world.now + ms(300));
    assert_eq!(world.requests[&RequestId(1)].attempts.len(), 1, "sent at once");
}

/// Retries are not served once their target has passed: in overload they would displace first tries. An
/// unmarked request counts as a retry if it has more than a third of the class's time left: this one, with
/// 3 s of 5 s, is 2 s old.
#[test]
fn a_retry_past_its_target_is_refused() {
    let mut world = two_workers(15);
    world.arrive(0, 0);
    serve(&mut world, ms(50));
    world.arrive_with_deadline(1, 0, None, world.now + ms(3000));
    assert!(world.log.iter().any(|(_, a)| matches!(a, Action::Refuse(RequestId(1), _))));
}

/// If the retry budget allows no further attempt in time, the request is answered at once, not at its
/// deadline.
#[test]
fn a_spent_budget_means_an_answer_at_once() {
    let budget = Some(Budget { floor: 1.0, ratio: 0.0, window: ms(5000) });
    let mut world = World::new(Settings { zone: None, budget, ..settings() }, 23);
    world.list(ListKind::Saved, vec![worker(0), worker(1)]);
    for n in 0..2 {
        world.arrive(n, 0);
        world.end(n, 0, Outcome::Full);
    }
    let sends = |n: u32| world.requests[&RequestId(n)].attempts.len();
    assert_eq!((sends(0), sends(1)), (2, 1), "one further attempt in all");
    assert!(world.requests[&RequestId(1)].finished, "answered at once");
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Where missed targets count, an attempt that waits at a worker and will be late is cancelled, and its
/// request is refused within its target. Elsewhere unsafe requests, which could only fail, keep waiting.
#[test]
fn a_waiting_request_that_will_be_late_is_refused_within_its_target() {
    for (weight, class, refused) in [(0.3, 0, true), (0.0, 1, false)] {
        let tail = Tail { weight, tolerated: 0.02 };
        let mut world = World::new(Settings { zone: None, tail, ..settings() }, 24);
        world.list(ListKind::Saved, vec![worker(0)]);
        world.arrive(0, class);
        world.advance(ms(400));
        assert_eq!(world.requests[&RequestId(0)].finished, refused, "class {class}");
        let withdrawn = world.log.iter().any(|(_, a)| *a == Action::Cancel(RequestId(0), 0));
        assert_eq!(withdrawn, refused, "class {class}");
    }
}

/// While workers reject attempts as full, requests of low worth leave slots free; otherwise they use them.
#[test]
fn requests_of_low_worth_leave_slots_free_while_workers_are_full() {
    let mut classes = vec![class(Idempotency::Safe), class(Idempotency::Safe)];
    classes[0].worth = 12.0;
    let sent_at_once = |full: bool| {
        let classes = classes.clone();
        let mut world = World::new(Settings { zone: None, classes, max_attempts: 1, ..settings() }, 28);
        world.list(ListKind::Saved, vec![worker(0), worker(1)]);
        for n in 0..30 {
            world.arrive(n, 1);
            if full {
                world.end(n, 0, Outcome::Full);
            }
            serve(&mut world, ms(50));
            world.advance(ms(500));
        }
        let before = world.sends().len();
        for n in 100..112 {
            world.arrive(n, 1);
        }
        world.sends().len() - before
    };
    let (free, full) = (sent_at_once(false), sent_at_once(true));
    assert!(free > 4 && full < free / 2, "{free} sent at once, {full} after workers were full");
}

/// A marked retry carries the deadline of its first try, which gives its age: a late one is refused. An
/// unmarked request with the same deadline is served.
#[test]
fn the_age_of_a_marked_retry_follows_from_its_deadline() {
    let mut world = World::new(Settings { zone: None, marked_retries: true, ..settings() }, 29);
    world.list(ListKind::Saved, vec![worker(0)]);
    world.arrive(0, 0);
    serve(&mut world, ms(50));
    let deadline = world.now + ms(1000);
    world.arrive_with_deadline(1, 0, None, deadline);
    assert_eq!(
        world.requests[&RequestId(1)].attempts.len(),
        1,
        "not marked: a first try with a short deadline"
    );
    world.retry_with_deadline(2, 0, deadline);
    assert!(world.requests[&RequestId(2)].finished, "four seconds old: refused");
}

/// A refusal states a hold-off of one objective, after which a retry may still be in time, or the maximum
/// hold-off if that is shorter.
#[test]
fn a_refusal_states_a_hold_off() {
    for (max_hold_off, expected) in [(2000, 200), (50, 50)] {
        let mut world = World::new(Settings { zone: None, max_hold_off: ms(max_hold_off), ..settings() }, 32);
        world.arrive(0, 0);
        world.advance(ms(1000));
        assert!(
            world.log.iter().any(|(_, a)| *a == Action::Refuse(RequestId(0), ms(expected))),
            "{:?}",
            world.log
        );
    }
}

/// A request that has a worth when late keeps waiting, in the queue or at a worker, and its late retry is
/// sent. If it were abandoned, it would still run where it waits, and its client would send it again.
#[test]
fn requests_with_late_worth_are_not_abandoned() {
    for (late_worth, served) in [(0.5, true), (0.0, false)] {
        let classes = vec![Class { late_worth, ..class(Idempotency::Safe) }];
        let settings = Settings { zone: None, classes, marked_retries: true, max_attempts: 1, ..settings() };
        let mut world = World::new(settings, 33);
        world.list(ListKind::Saved, vec![worker(0)]);
        world.arrive(0, 0);
        world.advance(ms(3000));
        assert_eq!(world.requests[&RequestId(0)].finished, !served, "waiting at a worker");
        world.end(0, 0, Outcome::Ok);
        world.retry_with_deadline(1, 0, world.now + ms(1000));
        assert_eq!(world.requests[&RequestId(1)].attempts.len(), usize::from(served), "a late retry");
        world.end(1, 0, Outcome::Ok);
        world.list(ListKind::Full, Vec::new());
        world.arrive(2, 0);
        world.advance(ms(3000));
        assert_eq!(world.requests[&RequestId(2)].finished, !served, "queued at the dispatcher");
        world.advance(ms(3000));
        assert!(world.requests[&RequestId(2)].finished, "never past the deadline");
        assert!(world.violations.is_empty(), "{:?}", world.violations);
    }
}

/// Long jobs are not taken for slow workers: the mean running time of a class stays true. The time for which
/// a request is queued shows that mean: here it is the objective plus twelve times the mean.
#[test]
fn long_jobs_do_not_lower_the_mean_of_their_class() {
    let long = Class { objective: ms(500), stretch: 41.0, deadline: ms(60_000), ..class(Idempotency::Safe) };
    let mut world = World::new(Settings { zone: None, classes: vec![long], ..settings() }, 34);
    world.list(ListKind::Saved, (0..40).map(worker).collect());
    for n in 0..400 {
        world.arrive(n, 0);
        serve(&mut world, ms([50, 100, 300, 1550][n as usize % 4]));
    }
    world.list(ListKind::Full, Vec::new());
    let arrived_at = world.now;
    world.arrive(400, 0);
    world.advance(ms(60_000));
    let refused = world.log.iter().find(|(_, a)| matches!(a, Action::Refuse(RequestId(400), _)));
    let queued = refused.map(|(at, _)| (*at - arrived_at).secs()).expect("refused");
    assert!(
        (0.5 + 12.0 * 0.4..0.5 + 12.0 * 0.6).contains(&queued),
        "{queued} s queued, 6.5 s by the true mean"
    );
}
