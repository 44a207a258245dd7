//! Requests that fail or crash their worker: which failures are the request's own fault, and where a request
//! is sent next.

mod common;

use common::*;
use sablerun::*;

/// A worker that answers full has not run the attempt: even an unsafe request is sent to another one.
#[test]
fn a_request_rejected_as_full_goes_to_another_worker() {
    let mut world = two_workers(8);
    world.arrive(0, 1);
    let first = world.requests[&RequestId(0)].attempts[0].0;
    world.end(0, 0, Outcome::Full);
    let tracked = &world.requests[&RequestId(0)];
    assert_eq!(tracked.attempts.len(), 2);
    assert_ne!(tracked.attempts[1].0, first);
}

/// Serves requests one by one. Bad requests, for which `fails_everywhere` holds, fail at every worker; good
/// ones fail only at worker 1, if `worker_1_fails`. Returns the attempts per bad request, and the share of
/// the good ones' attempts at worker 1.
fn serve_with_failures(
    world: &mut World,
    ids: std::ops::Range<u32>,
    fails_everywhere: impl Fn(u32) -> bool,
    worker_1_fails: bool,
) -> (f64, f64) {
    let (mut bad_attempts, mut bad_requests, mut good_at_1, mut good_attempts) = (0, 0, 0, 0);
    for n in ids {
        world.arrive(n, 0);
        world.advance(ms(100));
        let mut attempt = 0;
        while let Some(a) = world.requests[&RequestId(n)].attempts.get(attempt as usize) {
            let at_worker_1 = a.0 == WorkerId(1);
            world.start(n, attempt);
            world.advance(ms(20));
            let fails = fails_everywhere(n) || worker_1_fails && at_worker_1;
            world.end(n, attempt, if fails { Outcome::Error } else { Outcome::Ok });
            attempt += 1;
            (good_at_1, good_attempts) = if fails_everywhere(n) {
                (good_at_1, good_attempts)
            } else {
                (good_at_1 + usize::from(at_worker_1), good_attempts + 1)
            };
        }
        (bad_attempts, bad_requests) = if fails_everywhere(n) {
            (bad_attempts + attempt, bad_requests + 1)
        } else {
            (bad_attempts, bad_requests)
        };
    }
    (f64::from(bad_attempts) / f64::from(bad_requests.max(1)), good_at_1 as f64 / good_attempts as f64)
}

/// Second attempts show that requests fail at every worker: soon such requests get no further attempts, and
/// the workers keep their shares. A failing worker is still detected among them, and gets its share back
/// seconds after it has recovered.
#[test]
fn bad_requests_do_not_count_against_workers_and_a_failing_worker_is_still_detected() {
    let mut world = two_workers(25);
    let every_third = |n: u32| n.is_multiple_of(3);
    serve_with_failures(&mut world, 0..60, every_third, false);
    let (attempts_per_bad, share) = serve_with_failures(&mut world, 60..360, every_third, false);
    assert!(attempts_per_bad < 1.7, "{attempts_per_bad} attempts for a request that fails everywhere");
    assert!((0.3..0.7).contains(&share), "{share} of the good ones at worker 1");
    let (_, share_while_failing) = serve_with_failures(&mut world, 400..700, every_third, true);
    assert!(share_while_failing < 0.3, "{share_while_failing} of the good ones at the failing worker");
    world.advance(ms(20_000));
    let (_, recovered_share) = serve_with_failures(&mut world, 700..900, |_| false, false);
    assert!(recovered_share > 0.3, "{recovered_share} after it has recovered");
}

/// A request whose connection breaks just after its start may have crashed the worker and gets no second one;
/// if the connection breaks long after the start, the request may get one.
#[test]
fn a_request_that_may_have_crashed_its_worker_gets_no_second_one() {
    for (ran, attempts) in [(5, 1), (500, 2)] {
        let mut world = two_workers(26);
        world.arrive(0, 0);
        world.start(0, 0);
        world.advance(ms(ran));
        world.end(0, 0, Outcome::Reset);
        let attempt_count = world.requests[&RequestId(0)].attempts.len();
        assert!(attempt_count <= attempts, "{attempt_count} attempts after {ran} ms");
        assert!(world.requests[&RequestId(0)].finished || attempt_count == 2);
    }
}

/// A request that failed at a worker goes to the other workers first.
#[test]
fn a_worker_that_failed_a_request_is_tried_last() {
    let mut world = World::new(Settings { zone: None, ..settings() }, 3);
    world.list(ListKind::Saved, (0..3).map(worker).collect());
    for n in 0..30 {
        world.arrive(n, 0);
        for attempt in 0..2 {
            world.end(n, attempt, Outcome::Error);
        }
        world.end(n, 2, Outcome::Ok);
        let mut tried_workers: Vec<_> = world.requests[&RequestId(n)].attempts.iter().map(|a| a.0).collect();
        tried_workers.sort();
        tried_workers.dedup();
        assert_eq!(tried_workers.len(), world.requests[&RequestId(n)].attempts.len(), "request {n}");
        world.advance(ms(100));
    }
}

/// A quarter of the answers is lost. Their requests get a second attempt while that may still be in time, and
/// the lost attempts stop counting as slots in use, so that later requests are sent at once.
#[test]
fn lost_answers_cost_neither_requests_nor_slots() {
    let mut world = World::new(Settings { zone: None, progress: Span(0), ..settings() }, 6);
    world.list(ListKind::Saved, vec![worker(0), worker(1)]);
    for n in 0..200 {
        world.arrive_hinted(n, 0, ms(40));
        let first = world.outstanding().into_iter().filter(|(id, attempt)| (*id, *attempt) == (n, 0));
        for (id, attempt) in first.collect::<Vec<_>>() {
            world.start(id, attempt);
        }
        world.advance(ms(50));
        for (id, attempt) in world.outstanding() {
            // All second attempts are answered, and three of four first ones.
            if attempt > 0 || id % 4 != 1 {
                world.start(id, attempt);
                world.end(id, attempt, Outcome::Ok);
            }
        }
    }
    let attempt_count = |n: &u32| world.requests[&RequestId(*n)].attempts.len();
    let repeated = (49..189).step_by(4).filter(|n| attempt_count(n) > 1).count();
    let unsent = (50..200).filter(|n| attempt_count(n) == 0).count();
    assert!(repeated >= 5, "{repeated} of 35 lost ones were repeated");
    assert_eq!(unsent, 0);
    assert_eq!(world.violations, Vec::<String>::new());
}

/// New settings with a lower limit of attempts bind open requests; a later higher limit applies to later
/// requests only. A class that new settings add is served.
#[test]
fn new_settings_bind_open_requests_and_add_classes() {
    let mut world = two_workers(5);
    let change_settings = |world: &mut World, max_attempts, classes: usize| {
        let mut settings = Settings { max_attempts, ..world.settings.clone() };
        settings.classes.resize(classes, settings.classes[0].clone());
        world.settings = settings.clone();
        world.deliver(Event::SettingsChanged(Box::new(settings)));
    };
    let attempts = |world: &World, n| world.requests[&RequestId(n)].attempts.len();
    world.arrive(0, 0);
    world.end(0, 0, Outcome::Error);
    assert_eq!(attempts(&world, 0), 2, "four attempts are allowed");
    change_settings(&mut world, 2, 5);
    change_settings(&mut world, 4, 5);
    world.arrive(1, 4);
    world.end(0, 1, Outcome::Error);
    assert_eq!(attempts(&world, 0), 2, "two were allowed while it was open");
    for attempt in 0..2 {
        world.end(1, attempt, Outcome::Error);
    }
    assert_eq!(attempts(&world, 1), 3, "the added class is served, with up to four attempts");
    // Classes that new settings leave off the end keep their settings.
    let fewer = Settings { classes: world.settings.classes[..1].to_vec(), ..world.settings.clone() };
    world.deliver(Event::SettingsChanged(Box::new(fewer)));
    world.arrive(2, 4);
    assert_eq!(attempts(&world, 2), 1);
    world.advance(ms(8000));
    assert_eq!(world.violations, [""; 0]);
}
