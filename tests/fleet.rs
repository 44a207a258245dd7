//! Many dispatchers on one simulated clock: what each does harmlessly alone must not add up to harm.
//! It owns a stand-in for discovery; it must never wait for real time or draw without a seed.

mod common;

use common::*;
use sablerun::*;
use std::collections::BinaryHeap;

/// How many of `fleet` dispatchers that start or lose their watches together have one after `run`, and the calls
/// made. Discovery handles calls in turn, `pace` each; one that has waited 2 s fails, but still takes its turn.
fn listed_after(fleet: u32, pace: Span, run: Span, loss: Option<&Event>) -> (usize, usize) {
    let settings =
        Settings { discovery: Discovery::OnRequest, dispatchers: fleet, probing: false, ..settings() };
    let mut worlds: Vec<World> = (0..fleet)
        .map(|number| World::new(Settings { number, ..settings.clone() }, 77 + u64::from(number)))
        .collect();
    for world in &mut worlds {
        world.list(ListKind::Saved, vec![worker(0)]);
        if let Some(loss) = loss {
            world.pass(ms(10_000));
            world.list(ListKind::Full, vec![worker(0)]);
            world.log.clear();
            world.event(loss.clone());
        }
    }
    // Answers under way: when, to whom, and whether it is the list.
    let mut answers: BinaryHeap<std::cmp::Reverse<(Time, usize, bool)>> = BinaryHeap::new();
    let (mut free, mut calls) = (START, 0);
    let (mut watching, mut seen) = (vec![false; worlds.len()], vec![0; worlds.len()]);
    let mut now = START;
    while now < START + run {
        now = now + ms(1);
        for (d, world) in worlds.iter_mut().enumerate() {
            world.pass(ms(1));
            let called = world.log[seen[d]..].iter().filter(|(_, a)| *a == Action::Subscribe).count();
            seen[d] = world.log.len();
            for _ in 0..called {
                calls += 1;
                let done = free.max(now) + pace;
                free = done;
                let in_time = done <= now + ms(2000);
                answers.push(std::cmp::Reverse((if in_time { done } else { now + ms(2000) }, d, in_time)));
            }
        }
        while let Some(&std::cmp::Reverse((at, d, listed))) = answers.peek()
            && at <= now
        {
            answers.pop();
            watching[d] |= listed;
            worlds[d].event(if listed {
                Event::List(ListKind::Delta, Vec::new())
            } else {
                Event::ListFailed
            });
        }
    }
    (watching.iter().filter(|w| **w).count(), calls)
}

/// Guards against a fleet that keeps discovery's line full of calls which end unanswered.
#[test]
fn a_fleet_that_starts_together_gets_its_list() {
    let (listed, calls) = listed_after(100, ms(50), ms(20_000), None);
    assert_eq!(listed, 100, "all watch after four times what their calls take");
    assert!(calls <= 300, "{calls} calls for 100 watches");
    // A small site is not made to wait.
    assert_eq!(listed_after(5, ms(50), ms(500), None), (5, 5));
}

/// The whole fleet's calls fit into the time for which a lost list holds, and nobody calls twice for them.
#[test]
fn a_fleet_that_loses_its_watches_together_is_back_while_the_list_holds() {
    for loss in [Event::ListFailed, Event::ListSilent] {
        let settings = settings();
        let holds = if loss == Event::ListSilent {
            settings.validity_after_silence
        } else {
            settings.validity_after_loss
        };
        let (listed, calls) = listed_after(300, ms(8), holds, Some(&loss));
        assert_eq!((listed, calls), (300, 300), "after {loss:?}");
    }
}
