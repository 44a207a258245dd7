//! Many dispatchers and a simulated discovery service on one simulated clock. Guards against a thundering
//! herd: list requests that are harmless from one dispatcher but overload discovery when a whole fleet makes
//! them.

mod common;

use common::*;
use sablerun::*;
use std::collections::BinaryHeap;

/// Lets a fleet start, or lose its watches, all at once. Returns how many dispatchers have a watch after
/// `run`, and the number of calls made. Discovery handles one call at a time, in `call_time`; a call that has
/// waited 2 s fails, but is still handled.
fn simulate_fleet(fleet_size: u32, call_time: Span, run: Span, loss: Option<&Event>) -> (usize, usize) {
    let settings =
        Settings { discovery: Discovery::OnRequest, dispatchers: fleet_size, probing: false, ..settings() };
    let mut worlds: Vec<World> = (0..fleet_size)
        .map(|number| World::new(Settings { number, ..settings.clone() }, 77 + u64::from(number)))
        .collect();
    for world in &mut worlds {
        world.list(ListKind::Saved, vec![worker(0)]);
        if let Some(loss) = loss {
            world.advance(ms(10_000));
            world.list(ListKind::Full, vec![worker(0)]);
            world.log.clear();
            world.deliver(loss.clone());
        }
    }
    // Pending answers: time, dispatcher, and whether the answer is the list.
    let mut pending_answers: BinaryHeap<std::cmp::Reverse<(Time, usize, bool)>> = BinaryHeap::new();
    let (mut discovery_free_at, mut calls) = (START, 0);
    let (mut has_watch, mut processed) = (vec![false; worlds.len()], vec![0; worlds.len()]);
    let mut now = START;
    while now < START + run {
        now = now + ms(1);
        for (d, world) in worlds.iter_mut().enumerate() {
            world.advance(ms(1));
            let new_calls = world.log[processed[d]..].iter().filter(|(_, a)| *a == Action::Subscribe).count();
            processed[d] = world.log.len();
            for _ in 0..new_calls {
                calls += 1;
                let answered_at = discovery_free_at.max(now) + call_time;
                discovery_free_at = answered_at;
                let in_time = answered_at <= now + ms(2000);
                pending_answers.push(std::cmp::Reverse((
                    if in_time { answered_at } else { now + ms(2000) },
                    d,
                    in_time,
                )));
            }
        }
        while let Some(&std::cmp::Reverse((at, d, list_received))) = pending_answers.peek()
            && at <= now
        {
            pending_answers.pop();
            has_watch[d] |= list_received;
            worlds[d].deliver(if list_received {
                Event::List(ListKind::Delta, Vec::new())
            } else {
                Event::ListFailed
            });
        }
    }
    (has_watch.iter().filter(|w| **w).count(), calls)
}

/// Guards against a fleet that keeps discovery's queue full of calls that time out unanswered.
#[test]
fn a_fleet_that_starts_together_gets_its_list() {
    let (with_watch, calls) = simulate_fleet(100, ms(50), ms(20_000), None);
    assert_eq!(with_watch, 100, "all have a watch after four times the duration of their calls");
    assert!(calls <= 300, "{calls} calls for 100 watches");
    // A small fleet does not wait.
    assert_eq!(simulate_fleet(5, ms(50), ms(500), None), (5, 5));
}

/// All calls of a fleet, one by each dispatcher, fit into the time for which a list stays valid after a loss.
#[test]
fn a_fleet_that_loses_its_watches_together_recovers_while_the_list_is_valid() {
    for loss in [Event::ListFailed, Event::ListSilent] {
        let settings = settings();
        let validity = if loss == Event::ListSilent {
            settings.validity_after_silence
        } else {
            settings.validity_after_loss
        };
        let (with_watch, calls) = simulate_fleet(300, ms(8), validity, Some(&loss));
        assert_eq!((with_watch, calls), (300, 300), "after {loss:?}");
    }
}
