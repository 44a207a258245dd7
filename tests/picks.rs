//! Where a request goes while nothing is broken: by price, at home first, and by what its client hints.
//! It owns one small test for each such rule; it must never wait for real time or draw without a seed.

mod common;

use common::*;
use sablerun::*;

/// Two idle workers of one kind, one four times slower: the draw follows 1/C, so the slow one gets
/// about a fifth. Priors pull its price towards its kind's, so the band is wide.
#[test]
fn picks_follow_the_inverse_of_the_price() {
    let mut world = two_workers(11);
    let share = share_of_slow(&mut world, 0..1500, 200);
    assert!((0.12..0.35).contains(&share), "{share}");
}

/// Where crossing zones has a price, a free slot at home keeps the request at home.
#[test]
fn a_free_slot_at_home_comes_first() {
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
    assert!(sent_to(&world, 1) > 0, "a full home does not hold what fits elsewhere");
}

/// Home comes first only as long as starts there are late little more often than away.
#[test]
fn a_full_home_is_left_where_crossing_costs_little() {
    let prices = Prices { cross_zone: 0.01, ..Prices::default() };
    let mut world = World::new(Settings { prices, ..settings() }, 27);
    world.list(ListKind::Saved, (0..8).map(worker).collect());
    let play = |world: &mut World, ids: std::ops::Range<u32>, late: bool| {
        let before = world.sends().len();
        for n in ids {
            world.arrive(n, 1);
            let home = world.requests[&RequestId(n)].attempts[0].0.0.is_multiple_of(2);
            world.pass(ms(if late && home { 400 } else { 1 }));
            serve(world, ms(50));
        }
        let sends = world.sends().split_off(before);
        sends.iter().filter(|(_, w)| w.0 % 2 == 1).count() as f64 / sends.len() as f64
    };
    assert_eq!(play(&mut world, 0..40, false), 0.0, "home serves at once");
    play(&mut world, 40..100, true);
    let away = play(&mut world, 100..140, true);
    assert!(away > 0.2, "{away} away while home starts late");
    play(&mut world, 140..340, false);
    assert!(play(&mut world, 340..380, false) < 0.2, "home again once it starts at once");
}

/// A worker not seen for long is believed as busy as its peers, not idle.
#[test]
fn an_unseen_worker_is_priced_as_its_peers() {
    let mut world = World::new(Settings { zone: None, ..settings() }, 18);
    world.list(ListKind::Saved, (0..40).map(|n| ListEntry { zone: ZoneId(0), ..worker(n) }).collect());
    for n in 0..30 {
        world.arrive(n, 1);
        world.start(n, 0);
        world.pass(ms(20));
        world.end_with(n, 0, Outcome::Ok, Some(9.0));
    }
    let before = world.sends().len();
    for n in 100..110 {
        world.arrive(n, 1);
    }
    assert_eq!(world.sends().len(), before, "all peers showed nine in hand on four slots");
}

/// A heavy job at a slow worker ends late however early it starts: where a hint tells how long it runs,
/// it waits for one that is fast enough, while light jobs still go to both.
#[test]
fn a_job_hinted_to_be_heavy_avoids_workers_that_would_end_it_late() {
    let mut world = two_workers(5);
    let mut seen = [0, 0];
    for n in 0..200 {
        world.arrive_hinted(n, 0, ms(50));
        let slow = world.requests[&RequestId(n)].attempts[0].0 == WorkerId(1);
        seen[usize::from(slow)] += 1;
        serve(&mut world, ms(if slow { 150 } else { 50 }));
    }
    assert!(seen[0] > 20 && seen[1] > 20, "{seen:?}");
    let before = sent_to(&world, 1);
    for n in 200..230 {
        world.arrive_hinted(n, 0, ms(1000));
        serve(&mut world, ms(10));
    }
    assert_eq!(sent_to(&world, 1), before);
    assert_eq!(world.broken, Vec::<String>::new());
}
