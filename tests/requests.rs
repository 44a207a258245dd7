//! Requests that fail, or end their worker: what is the request's own fault, and where it goes next.
//! It owns one small test for each such symptom; it must never wait for real time or draw without a seed.

mod common;

use common::*;
use sablerun::*;

/// An answer that comes back full proves that nothing ran: even unsafe work goes elsewhere.
#[test]
fn work_turned_away_goes_to_another_worker() {
    let mut world = two_workers(8);
    world.arrive(0, 1);
    let first = world.requests[&RequestId(0)].attempts[0].0;
    world.end(0, 0, Outcome::Full);
    let known = &world.requests[&RequestId(0)];
    assert_eq!(known.attempts.len(), 2);
    assert_ne!(known.attempts[1].0, first);
}

/// Serves requests one by one: those that `bad` names fail at every worker, all others only at worker 1 if
/// it is ill. The attempts per bad request, and the share of the good ones' attempts at worker 1.
fn serve_bad(
    world: &mut World,
    ids: std::ops::Range<u32>,
    bad: impl Fn(u32) -> bool,
    ill: bool,
) -> (f64, f64) {
    let (mut tries, mut bad_ones, mut there, mut good) = (0, 0, 0, 0);
    for n in ids {
        world.arrive(n, 0);
        world.pass(ms(100));
        let mut attempt = 0;
        while let Some(a) = world.requests[&RequestId(n)].attempts.get(attempt as usize) {
            let at_one = a.0 == WorkerId(1);
            world.start(n, attempt);
            world.pass(ms(20));
            let fails = bad(n) || ill && at_one;
            world.end(n, attempt, if fails { Outcome::Error } else { Outcome::Ok });
            attempt += 1;
            (there, good) = if bad(n) { (there, good) } else { (there + usize::from(at_one), good + 1) };
        }
        (tries, bad_ones) = if bad(n) { (tries + attempt, bad_ones + 1) } else { (tries, bad_ones) };
    }
    (f64::from(tries) / f64::from(bad_ones.max(1)), there as f64 / good as f64)
}

/// Requests that fail anywhere are known by their second attempts: soon they get no further ones, and workers
/// keep their share. A bad worker is still found while they come, and has its share back seconds after.
#[test]
fn bad_requests_are_not_held_against_workers_and_a_bad_worker_is_still_found() {
    let mut world = two_workers(25);
    let third = |n: u32| n.is_multiple_of(3);
    serve_bad(&mut world, 0..60, third, false);
    let (tries, share) = serve_bad(&mut world, 60..360, third, false);
    assert!(tries < 1.7, "{tries} attempts for a request that fails anywhere");
    assert!((0.3..0.7).contains(&share), "{share} of the good ones at worker 1");
    let (_, ill) = serve_bad(&mut world, 400..700, third, true);
    assert!(ill < 0.3, "{ill} of the good ones at the bad worker");
    world.pass(ms(20_000));
    let (_, back) = serve_bad(&mut world, 700..900, |_| false, false);
    assert!(back > 0.3, "{back} after it is well again");
}

/// A request whose worker breaks as soon as it starts gets no second worker; one broken long after does.
#[test]
fn a_request_that_downed_its_worker_gets_no_second_one() {
    for (ran, attempts) in [(5, 1), (500, 2)] {
        let mut world = two_workers(26);
        world.arrive(0, 0);
        world.start(0, 0);
        world.pass(ms(ran));
        world.end(0, 0, Outcome::Reset);
        let again = world.requests[&RequestId(0)].attempts.len();
        assert!(again <= attempts, "{again} attempts after {ran} ms");
        assert!(world.requests[&RequestId(0)].settled || again == 2);
    }
}

/// A request that a worker failed goes to another one first.
#[test]
fn whoever_failed_a_request_is_asked_last() {
    let mut world = World::new(Settings { zone: None, ..settings() }, 3);
    world.list(ListKind::Saved, (0..3).map(worker).collect());
    for n in 0..30 {
        world.arrive(n, 0);
        for attempt in 0..2 {
            world.end(n, attempt, Outcome::Error);
        }
        world.end(n, 2, Outcome::Ok);
        let mut asked: Vec<_> = world.requests[&RequestId(n)].attempts.iter().map(|a| a.0).collect();
        asked.sort();
        asked.dedup();
        assert_eq!(asked.len(), world.requests[&RequestId(n)].attempts.len(), "request {n}");
        world.pass(ms(100));
    }
}

/// A quarter of the answers is lost on their way: their jobs get a second copy while that may still be
/// in time, and take no slots by belief any more, so that what comes later is sent at once.
#[test]
fn lost_answers_cost_neither_their_requests_nor_the_slots() {
    let mut world = World::new(Settings { zone: None, progress: Span(0), ..settings() }, 6);
    world.list(ListKind::Saved, vec![worker(0), worker(1)]);
    for n in 0..200 {
        world.arrive_hinted(n, 0, ms(40));
        let first = world.open().into_iter().filter(|(id, attempt)| (*id, *attempt) == (n, 0));
        for (id, attempt) in first.collect::<Vec<_>>() {
            world.start(id, attempt);
        }
        world.pass(ms(50));
        for (id, attempt) in world.open() {
            // A second copy is always heard of; of the first ones, three in four.
            if attempt > 0 || id % 4 != 1 {
                world.start(id, attempt);
                world.end(id, attempt, Outcome::Ok);
            }
        }
    }
    let late = |n: &u32| world.requests[&RequestId(*n)].attempts.len();
    let copied = (49..189).step_by(4).filter(|n| late(n) > 1).count();
    let unsent = (50..200).filter(|n| late(n) == 0).count();
    assert!(copied >= 5, "{copied} of 35 lost ones were copied");
    assert_eq!(unsent, 0);
    assert_eq!(world.broken, Vec::<String>::new());
}

/// New settings allow fewer attempts: what is under way makes no more than that, and a class that they add
/// is served. More allowed again later is for later requests.
#[test]
fn new_settings_bind_requests_under_way_and_bring_classes() {
    let mut world = two_workers(5);
    let retuned = |world: &mut World, max_attempts, classes: usize| {
        let mut settings = Settings { max_attempts, ..world.settings.clone() };
        settings.classes.resize(classes, settings.classes[0].clone());
        world.settings = settings.clone();
        world.event(Event::SettingsChanged(Box::new(settings)));
    };
    let attempts = |world: &World, n| world.requests[&RequestId(n)].attempts.len();
    world.arrive(0, 0);
    world.end(0, 0, Outcome::Error);
    assert_eq!(attempts(&world, 0), 2, "four attempts are allowed");
    retuned(&mut world, 2, 5);
    retuned(&mut world, 4, 5);
    world.arrive(1, 4);
    world.end(0, 1, Outcome::Error);
    assert_eq!(attempts(&world, 0), 2, "two were, while it was under way");
    for attempt in 0..2 {
        world.end(1, attempt, Outcome::Error);
    }
    assert_eq!(attempts(&world, 1), 3, "the added class has its worker, and four attempts");
    // Settings that leave classes off the end leave those as they were.
    let fewer = Settings { classes: world.settings.classes[..1].to_vec(), ..world.settings.clone() };
    world.event(Event::SettingsChanged(Box::new(fewer)));
    world.arrive(2, 4);
    assert_eq!(attempts(&world, 2), 1);
    world.pass(ms(8000));
    assert_eq!(world.broken, [""; 0]);
}
