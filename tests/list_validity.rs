//! How long a worker list may be used. By the protocol, a change counts as reported 6 s after it was
//! available, whatever has become of the watch and of the calls since. Guards against sends by an outdated
//! list; a simulated discovery service fails in every way at every step.

mod common;

use common::*;
use sablerun::*;

/// Time after which the protocol counts an available change as reported.
const REPORTED_AFTER: Span = Span(6_000_000_000);
/// Time after which the host abandons a call.
const CALL_TIMEOUT: Span = Span(1_500_000_000);
/// Time without a sign of life after which the host reports a watch as silent.
const SILENCE_TIMEOUT: Span = Span(2_500_000_000);
/// Maximum time that a call may wait in discovery's queue, as the design assumes.
const MAX_DISCOVERY_QUEUE_WAIT: Span = Span(250_000_000);

/// The result of a call for the list, or of the watch that it opened.
#[derive(Clone, Copy, Debug, PartialEq)]
enum CallResult {
    Refused,
    Busy,
    Reset,
    TimedOut,
    /// Answered slowly, just within the timeout, and the watch ends 0.1 s later.
    AnsweredThenLost,
    AnsweredThenSilent,
    Answered,
}

const FAILURES: [CallResult; 6] = [
    CallResult::Refused,
    CallResult::Busy,
    CallResult::Reset,
    CallResult::TimedOut,
    CallResult::AnsweredThenLost,
    CallResult::AnsweredThenSilent,
];

/// A notification by the host: its time, the event, and the latest time at which the list is known to have
/// been complete once it is received.
type Notification = (Time, Event, Time);

/// Returns the notifications that follow a call made at `at`.
fn notifications(call: CallResult, at: Time, confirmed_at: Time) -> Vec<Notification> {
    let list = || Event::List(ListKind::Delta, Vec::new());
    let after = |span: Span, event| vec![(at + span, event, confirmed_at)];
    match call {
        // A failure confirms nothing: discovery may have accepted changes before it stopped listening.
        CallResult::Refused | CallResult::Busy => after(ms(1), Event::ListFailed),
        CallResult::Reset => after(ms(50), Event::ListFailed),
        CallResult::TimedOut => after(CALL_TIMEOUT, Event::ListFailed),
        CallResult::AnsweredThenLost => {
            let listed = at + ms(1400);
            vec![(listed, list(), listed), (listed + ms(100), Event::ListFailed, listed)]
        }
        CallResult::AnsweredThenSilent => {
            let listed = at + ms(20);
            vec![(listed, list(), listed), (listed + SILENCE_TIMEOUT, Event::ListSilent, listed)]
        }
        CallResult::Answered => vec![(at + MAX_DISCOVERY_QUEUE_WAIT, list(), at + MAX_DISCOVERY_QUEUE_WAIT)],
    }
}

fn subscriptions(world: &World) -> usize {
    world.log.iter().filter(|(_, action)| *action == Action::Subscribe).count()
}

/// Loses the watch, or starts with a saved list, while requests keep arriving. The calls end as planned, and
/// all further ones are answered. Returns the time of each send with the time at which the list was last
/// confirmed as complete then, and the time at which the list was back.
fn simulate(
    fleet_size: u32,
    seed: u64,
    loss: Option<Event>,
    planned: &[CallResult],
) -> (Vec<(Time, Time)>, Time) {
    let number = seed as u32 % fleet_size;
    let settings =
        Settings { discovery: Discovery::OnRequest, dispatchers: fleet_size, number, ..settings() };
    let mut world = World::new(settings, seed);
    if loss.is_some() {
        world.list(ListKind::Full, vec![worker(0)]);
    }
    world.advance(ms(8000));
    let (mut confirmed_at, mut calls_seen, mut planned) = (world.now, subscriptions(&world), planned.iter());
    match loss {
        Some(Event::ListSilent) => world.advance(SILENCE_TIMEOUT),
        Some(_) => {}
        // The age of a saved list is unknown, so it counts as infinitely old.
        None => {
            confirmed_at = Time(0);
            world.list(ListKind::Saved, vec![worker(0)]);
        }
    }
    loss.into_iter().for_each(|loss| world.deliver(loss));
    let (mut pending, mut sends, mut processed, mut step) =
        (Vec::<Notification>::new(), Vec::new(), world.log.len(), 0);
    let (mut answered_at, end) = (None, world.now + ms(40_000));
    while world.now.0 < end.0 && answered_at.is_none_or(|at: Time| world.now.0 < at.0 + ms(1000).0) {
        if step % 10 == 0 {
            world.arrive(step / 10, 0);
        }
        step += 1;
        serve(&mut world, ms(10));
        for (at, action) in &world.log[processed..] {
            if matches!(action, Action::Send(..)) {
                sends.push((*at, confirmed_at));
            }
        }
        processed = world.log.len();
        for _ in calls_seen..subscriptions(&world) {
            let call = *planned.next().unwrap_or(&CallResult::Answered);
            pending.extend(notifications(call, world.now, confirmed_at));
            if call == CallResult::Answered {
                answered_at = answered_at.or(Some(world.now + MAX_DISCOVERY_QUEUE_WAIT));
            }
        }
        calls_seen = subscriptions(&world);
        pending.sort_by_key(|(at, ..)| at.0);
        while pending.first().is_some_and(|(at, ..)| at.0 <= world.now.0) {
            let (_, event, confirmed_until) = pending.remove(0);
            confirmed_at = confirmed_at.max(confirmed_until);
            world.deliver(event);
        }
    }
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    (sends, answered_at.expect("a call is answered in the end"))
}

/// Whatever fails, and whenever: nothing is sent by a list that was not confirmed for 6 s, nor by one from
/// before the start, and sends go on as soon as one call is answered.
#[test]
fn an_unconfirmed_list_is_not_used_beyond_its_validity() {
    let (mut seed, mut cases) = (0, Vec::new());
    for one in FAILURES {
        for two in FAILURES {
            cases.extend(FAILURES.map(|three| [one, two, three]));
        }
    }
    for planned in cases {
        for loss in [None, Some(Event::ListFailed), Some(Event::ListSilent)] {
            for fleet_size in [1, 300] {
                seed += 1;
                let (sends, answered_at) = simulate(fleet_size, seed, loss.clone(), &planned);
                let late_send =
                    sends.iter().find(|(at, confirmed_at)| at.0 > confirmed_at.0 + REPORTED_AFTER.0);
                assert_eq!(late_send, None, "of {fleet_size}, after {loss:?} and {planned:?}");
                assert!(
                    sends.iter().any(|(at, _)| at.0 > answered_at.0),
                    "of {fleet_size}, after {loss:?} and {planned:?}"
                );
            }
        }
    }
}

/// Noticing the loss, the wait, one call that fails in any way, the next wait and discovery's queue together
/// take less time than the list stays valid, so a single failure never stops the service.
#[test]
fn one_failed_call_does_not_interrupt_the_service() {
    for seed in 0..12 {
        for call in FAILURES {
            for loss in [Event::ListFailed, Event::ListSilent] {
                for fleet_size in [1, 40, 300] {
                    let (sends, _) = simulate(fleet_size, seed, Some(loss.clone()), &[call]);
                    let longest_gap = sends.windows(2).map(|pair| (pair[1].0 - pair[0].0).0).max();
                    assert!(
                        longest_gap < Some(ms(400).0),
                        "of {fleet_size}, after {loss:?} and {call:?}: {longest_gap:?}"
                    );
                }
            }
        }
    }
}

/// A list from before the start may have missed any change, also one made long before. Nothing is sent by it,
/// however long discovery is unavailable; requests that can wait are sent by the first list from discovery.
#[test]
fn a_list_from_before_the_start_sends_nothing() {
    for (fleet_size, seed) in [(1, 1), (300, 2)] {
        for failure in [None, Some(Event::ListFailed), Some(Event::ListSilent)] {
            let settings =
                Settings { discovery: Discovery::OnRequest, dispatchers: fleet_size, ..settings() };
            let mut world = World::new(settings, seed);
            world.list(ListKind::Saved, vec![worker(0)]);
            for n in 0..90 {
                world.arrive(n, 0);
                serve(&mut world, ms(100));
                failure.iter().for_each(|failure| world.deliver(failure.clone()));
            }
            assert!(world.sends().is_empty(), "of {fleet_size}, {failure:?}: sent by an old list");
            assert!(subscriptions(&world) > 0, "of {fleet_size}: discovery is called");
            world.arrive(90, 0);
            world.list(ListKind::Delta, Vec::new());
            world.advance(ms(20));
            assert!(!world.sends().is_empty(), "of {fleet_size}: the list is confirmed");
            assert!(world.violations.is_empty(), "{:?}", world.violations);
        }
    }
}
