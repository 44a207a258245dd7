//! Connections to workers: idle ones that break, the cost of new ones, slow connects, and stalls of the
//! dispatcher itself.

mod common;

use common::*;
use sablerun::*;

/// Guards against requests lost on idle connections that were dropped silently. After such a reset the
/// request is sent again at once and the worker is not suspect; before a later send, a connection that was
/// idle as long is closed, so that a new one is opened.
#[test]
fn a_connection_is_renewed_after_the_idle_time_that_broke_an_earlier_one() {
    let mut world = World::new(Settings { idle_limit: ms(15000), ..settings() }, 16);
    world.list(ListKind::Saved, vec![worker(0)]);
    let closes = |w: &World| w.log.iter().filter(|(_, a)| *a == Action::CloseIdle(WorkerId(0))).count();
    world.arrive(0, 0);
    serve(&mut world, ms(50));
    world.advance(ms(3000));
    world.arrive(1, 0);
    world.end(1, 0, Outcome::Reset);
    assert_eq!(world.requests[&RequestId(1)].attempts.len(), 2, "sent again to the same worker");
    assert_eq!(closes(&world), 0);
    serve(&mut world, ms(50));
    world.advance(ms(3000));
    world.arrive(2, 1);
    assert_eq!(closes(&world), 1, "the idle connection is closed first");
    assert_eq!(world.requests[&RequestId(2)].attempts.len(), 1);
    serve(&mut world, ms(50));
    world.arrive(3, 1);
    assert_eq!(closes(&world), 1, "a recently used one is kept");
}

/// Where a new connection has a price, a ready worker with an open connection is used again.
#[test]
fn a_worker_with_an_open_connection_is_preferred() {
    let prices = Prices { handshake: 0.1, ..Prices::default() };
    let mut world = World::new(Settings { prices, ..settings() }, 17);
    world.list(ListKind::Saved, (0..10).map(worker).collect());
    for n in 0..20 {
        world.arrive(n, 0);
        serve(&mut world, ms(50));
    }
    let used_workers: std::collections::BTreeSet<_> = world.sends().into_iter().map(|(_, w)| w).collect();
    assert_eq!(used_workers.len(), 1, "{used_workers:?}");
}

/// Starts over a new connection take longer. Once that is learned, they do not count as late, and the
/// attempts are not moved to other workers.
#[test]
fn slow_connects_are_learned_and_do_not_count_against_workers() {
    let mut world = World::new(Settings { zone: None, ..settings() }, 30);
    world.list(ListKind::Saved, (0..40).map(worker).collect());
    for n in 0..100 {
        world.arrive(n, 0);
        world.advance(ms(70));
        serve(&mut world, ms(50));
    }
    let sends_before = world.sends().len();
    for n in 100..130 {
        world.arrive(n, 0);
        world.advance(ms(70));
        serve(&mut world, ms(50));
    }
    let sends = world.sends().len() - sends_before;
    assert!(sends <= 33, "{sends} attempts for 30 requests: a slow connect is no reason to move them");
}

/// After a stall of the dispatcher itself, the events that arrived meanwhile are handled before workers are
/// judged: timers that fire late, together with the start reports, move no attempt. Without a stall the same
/// silence does.
#[test]
fn after_a_stall_the_backlog_is_handled_first() {
    for stall in [true, false] {
        let mut world = two_workers(31);
        world.arrive(0, 0);
        if stall {
            world.now = world.now + ms(600);
            let due_timers: Vec<_> =
                world.timers.iter().filter(|(k, _)| k.0 <= world.now).map(|(_, t)| *t).collect();
            world.timers.retain(|k, _| k.0 > START + ms(600));
            due_timers.into_iter().for_each(|token| world.deliver(Event::Timer(token)));
            world.start(0, 0);
        }
        world.advance(ms(300));
        let was_moved = world.requests[&RequestId(0)].attempts.len() > 1;
        assert_eq!(was_moved, !stall);
    }
}
