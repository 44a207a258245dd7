//! The choice of a worker while nothing fails: by price, preferably in the local zone, and by the client's
//! hint.

mod common;

use common::*;
use sablerun::*;

/// Of two idle workers of one kind, one is four times slower. Workers are drawn in proportion to 1/C, so it
/// gets about a fifth. The prior pulls its price towards that of its kind, so the accepted range is wide.
#[test]
fn picks_follow_the_inverse_of_the_price() {
    let mut world = two_workers(11);
    let share = share_of_worker_1(&mut world, 0..1500, 200);
    assert!((0.12..0.35).contains(&share), "{share}");
}

/// Where crossing zones has a price, a request stays in the local zone while a slot is free there.
#[test]
fn a_free_slot_in_the_local_zone_is_preferred() {
    let prices = Prices { cross_zone: 0.1, ..Prices::default() };
    let mut world = World::new(Settings { prices, ..settings() }, 12);
    world.list(ListKind::Saved, vec![worker(0), worker(1)]);
    for n in 0..20 {
        world.arrive(n, 0);
        serve(&mut world, ms(50));
    }
    assert_eq!(sent_to(&world, 0), 20);
    for n in 20..32 {
        world.arrive(n, 0);
    }
    assert!(sent_to(&world, 1) > 0, "a full local zone does not hold back requests that fit elsewhere");
}

/// The local zone is preferred only while starts there are not late much more often than in remote zones.
#[test]
fn a_slow_local_zone_is_left_where_crossing_costs_little() {
    let prices = Prices { cross_zone: 0.01, ..Prices::default() };
    let mut world = World::new(Settings { prices, ..settings() }, 27);
    world.list(ListKind::Saved, (0..8).map(worker).collect());
    let run_requests = |world: &mut World, ids: std::ops::Range<u32>, local_starts_late: bool| {
        let before = world.sends().len();
        for n in ids {
            world.arrive(n, 1);
            let in_local_zone = world.requests[&RequestId(n)].attempts[0].0.0.is_multiple_of(2);
            world.advance(ms(if local_starts_late && in_local_zone { 400 } else { 1 }));
            serve(world, ms(50));
        }
        let sends = world.sends().split_off(before);
        sends.iter().filter(|(_, w)| w.0 % 2 == 1).count() as f64 / sends.len() as f64
    };
    assert_eq!(run_requests(&mut world, 0..40, false), 0.0, "the local zone serves at once");
    run_requests(&mut world, 40..100, true);
    let remote_share = run_requests(&mut world, 100..140, true);
    assert!(remote_share > 0.2, "{remote_share} remote while the local zone starts late");
    run_requests(&mut world, 140..340, false);
    assert!(run_requests(&mut world, 340..380, false) < 0.2, "local again once it starts at once");
}

/// A worker without recent reports is assumed to be as busy as its peers, not idle.
#[test]
fn a_worker_without_reports_is_priced_as_its_peers() {
    let mut world = World::new(Settings { zone: None, ..settings() }, 18);
    world.list(ListKind::Saved, (0..40).map(|n| ListEntry { zone: ZoneId(0), ..worker(n) }).collect());
    for n in 0..30 {
        world.arrive(n, 1);
        world.start(n, 0);
        world.advance(ms(20));
        world.end_with(n, 0, Outcome::Ok, Some(9.0));
    }
    let before = world.sends().len();
    for n in 100..110 {
        world.arrive(n, 1);
    }
    assert_eq!(world.sends().len(), before, "all peers reported nine in flight on four slots");
}

/// A long job on a slow worker ends late however early it starts. If its hint states the running time, it
/// waits for a worker that is fast enough, while short jobs go to both.
#[test]
fn a_job_with_a_long_hint_avoids_workers_that_would_end_it_late() {
    let mut world = two_workers(5);
    let mut sends_by_worker = [0, 0];
    for n in 0..200 {
        world.arrive_hinted(n, 0, ms(50));
        let slow = world.requests[&RequestId(n)].attempts[0].0 == WorkerId(1);
        sends_by_worker[usize::from(slow)] += 1;
        serve(&mut world, ms(if slow { 150 } else { 50 }));
    }
    assert!(sends_by_worker[0] > 20 && sends_by_worker[1] > 20, "{sends_by_worker:?}");
    let before = sent_to(&world, 1);
    for n in 200..230 {
        world.arrive_hinted(n, 0, ms(1000));
        serve(&mut world, ms(10));
    }
    assert_eq!(sent_to(&world, 1), before);
    assert_eq!(world.violations, Vec::<String>::new());
}
