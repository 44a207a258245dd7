//! The way to a worker: connections that rest, break or cost, ways that are slow, and own stalls.
//! It owns one small test for each such symptom; it must never wait for real time or draw without a seed.

mod common;

use common::*;
use sablerun::*;

/// Connections that rest too long are dropped unseen: after a reset at once, the next send after such a
/// rest opens a new one, and the worker is not suspected.
#[test]
fn a_connection_that_broke_after_a_rest_is_renewed_before_the_next() {
    let mut world = World::new(Settings { idle_limit: ms(15000), ..settings() }, 16);
    world.list(ListKind::Saved, vec![worker(0)]);
    let releases = |w: &World| w.log.iter().filter(|(_, a)| *a == Action::CloseIdle(WorkerId(0))).count();
    world.arrive(0, 0);
    serve(&mut world, ms(50));
    world.pass(ms(3000));
    world.arrive(1, 0);
    world.end(1, 0, Outcome::Reset);
    assert_eq!(world.requests[&RequestId(1)].attempts.len(), 2, "sent again to the same worker");
    assert_eq!(releases(&world), 0);
    serve(&mut world, ms(50));
    world.pass(ms(3000));
    world.arrive(2, 1);
    assert_eq!(releases(&world), 1, "the rested connection is closed first");
    assert_eq!(world.requests[&RequestId(2)].attempts.len(), 1);
    serve(&mut world, ms(50));
    world.arrive(3, 1);
    assert_eq!(releases(&world), 1, "one in use a moment ago is kept");
}

/// Where a new connection has a price, a ready worker with an open one is used again.
#[test]
fn an_open_connection_comes_first() {
    let prices = Prices { handshake: 0.1, ..Prices::default() };
    let mut world = World::new(Settings { prices, ..settings() }, 17);
    world.list(ListKind::Saved, (0..10).map(worker).collect());
    for n in 0..20 {
        world.arrive(n, 0);
        serve(&mut world, ms(50));
    }
    let used: std::collections::BTreeSet<_> = world.sends().into_iter().map(|(_, w)| w).collect();
    assert_eq!(used.len(), 1, "{used:?}");
}

/// Starts over a fresh connection take longer; once known they are not taken for late, nor moved.
#[test]
fn a_slow_way_is_learned_and_not_held_against_workers() {
    let mut world = World::new(Settings { zone: None, ..settings() }, 30);
    world.list(ListKind::Saved, (0..40).map(worker).collect());
    for n in 0..100 {
        world.arrive(n, 0);
        world.pass(ms(70));
        serve(&mut world, ms(50));
    }
    let before = world.sends().len();
    for n in 100..130 {
        world.arrive(n, 0);
        world.pass(ms(70));
        serve(&mut world, ms(50));
    }
    let sends = world.sends().len() - before;
    assert!(sends <= 33, "{sends} attempts for 30 requests: the way is no reason to move");
}

/// What came during an own stall is taken in before a worker is judged: no attempt is moved on timers that came
/// late together with the start notes. Without a stall the same silence moves it.
#[test]
fn after_an_own_stall_the_backlog_comes_first() {
    for stall in [true, false] {
        let mut world = two_workers(31);
        world.arrive(0, 0);
        if stall {
            world.now = world.now + ms(600);
            let late: Vec<_> =
                world.timers.iter().filter(|(k, _)| k.0 <= world.now).map(|(_, t)| *t).collect();
            world.timers.retain(|k, _| k.0 > START + ms(600));
            late.into_iter().for_each(|token| world.event(Event::Timer(token)));
            world.start(0, 0);
        }
        world.pass(ms(300));
        let moved = world.requests[&RequestId(0)].attempts.len() > 1;
        assert_eq!(moved, !stall);
    }
}
