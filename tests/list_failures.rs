//! Which workers may be sent to while list calls fail, a watch falls silent, lists are wrong or outdated, and
//! workers drain.

mod common;

use common::*;
use sablerun::*;

/// A failed call for the list is repeated, and the saved list stays in use meanwhile where settings allow
/// that, as the simulator's rules do.
#[test]
fn a_failed_list_call_is_repeated_and_the_saved_list_kept() {
    let saved_list_validity = Span::from_secs(5.8);
    let mut world =
        World::new(Settings { discovery: Discovery::OnRequest, saved_list_validity, ..settings() }, 10);
    world.list(ListKind::Saved, vec![worker(0)]);
    world.advance(ms(500));
    let calls = |w: &World| w.log.iter().filter(|(_, a)| *a == Action::Subscribe).count();
    assert_eq!(calls(&world), 1);
    world.deliver(Event::ListFailed);
    world.advance(ms(1000));
    assert_eq!(calls(&world), 2);
    world.arrive(0, 0);
    assert_eq!(world.sends().len(), 1);
}

/// By the simulator's rule, each failed call restarts the validity of a list whose watch is lost, unless it
/// has expired. Without that rule no failed call prolongs it.
#[test]
fn failed_calls_prolong_a_lists_validity_by_the_simulators_rule_only() {
    for (failed_calls_renew, seed) in [(true, 11), (false, 12)] {
        let mut world = World::new(
            Settings {
                discovery: Discovery::OnRequest,
                failed_calls_renew_validity: failed_calls_renew,
                ..settings()
            },
            seed,
        );
        let validity = world.settings.validity_after_loss;
        world.list(ListKind::Full, vec![worker(0)]);
        world.deliver(Event::ListFailed);
        world.advance(Span(validity.0 / 2));
        world.deliver(Event::ListFailed);
        world.advance(ms(100));
        world.advance(Span(validity.0 / 2));
        world.arrive(0, 0);
        assert_eq!(
            world.sends().len(),
            usize::from(failed_calls_renew),
            "renewed by calls: {failed_calls_renew}"
        );
        // The validity has expired in both cases by now, and stays so.
        serve(&mut world, validity);
        world.deliver(Event::ListFailed);
        let sent = world.sends().len();
        world.arrive(1, 0);
        assert_eq!(world.sends().len(), sent, "renewed by calls: {failed_calls_renew}");
        assert!(world.violations.is_empty(), "{:?}", world.violations);
    }
}

/// A silent watch is replaced before the changes that it missed count as reported, in a fleet of any size. If
/// that fails until then, nothing is sent until the list is back.
#[test]
fn a_silent_watch_is_replaced_in_time_and_nothing_is_sent_by_an_expired_list() {
    for (dispatchers, seed) in (0..60).map(|n| ([1, 40, 300][n % 3], n as u64)) {
        let number = seed as u32 % dispatchers;
        let settings = Settings { discovery: Discovery::OnRequest, dispatchers, number, ..settings() };
        let validity = settings.validity_after_silence;
        let mut world = World::new(settings, seed);
        world.list(ListKind::Full, vec![worker(0)]);
        world.advance(ms(10_000));
        let calls = |w: &World| w.log.iter().filter(|(_, a)| *a == Action::Subscribe).count();
        let (before, silent_since) = (calls(&world), world.now);
        world.deliver(Event::ListSilent);
        world.advance(Span(validity.0 / 2));
        assert!(calls(&world) > before, "of {dispatchers}: no call by half of the validity");
        world.arrive(0, 0);
        assert_eq!(world.sends().len(), 1, "until then the list is valid");
        serve(&mut world, ms(50));
        world.deliver(Event::ListFailed);
        world.advance(silent_since + validity - world.now);
        world.arrive(1, 0);
        assert_eq!(world.sends().len(), 1, "of {dispatchers}: sent to a worker that may have drained");
        world.list(ListKind::Delta, Vec::new());
        assert_eq!(world.sends().len(), 2, "the list is known again");
        assert!(world.violations.is_empty(), "{:?}", world.violations);
    }
}

/// Returns settings under which only a draining entry excludes a worker.
fn lists_may_be_wrong() -> Settings {
    Settings { zone: None, only_draining_excludes: true, ..settings() }
}

/// Where only draining excludes workers, a list that reports all of them as gone, or omits them, stops no
/// requests. A worker that has crashed meanwhile is detected by its failed connections. Once the list is
/// right, that worker gets requests again, and the others keep their shares.
#[test]
fn a_wrong_list_stops_nothing_and_a_crash_is_still_detected() {
    let mut world = World::new(lists_may_be_wrong(), 21);
    world.list(ListKind::Saved, vec![worker(0), worker(1), worker(2)]);
    world
        .list(ListKind::Delta, (0..3).map(|n| ListEntry { state: WorkerState::Gone, ..worker(n) }).collect());
    world.list(ListKind::Full, vec![]);
    let serve_with_worker_2_down = |world: &mut World, ids: std::ops::Range<u32>| {
        let before = sent_to(world, 2);
        for n in ids {
            world.arrive(n, 0);
            if world.requests[&RequestId(n)].attempts[0].0 == WorkerId(2) {
                world.end(n, 0, Outcome::ConnectFailed);
            }
            serve(world, ms(50));
        }
        sent_to(world, 2) - before
    };
    let sends_to_crashed = serve_with_worker_2_down(&mut world, 0..60);
    assert!(sends_to_crashed < 10, "{sends_to_crashed} of 60 to the crashed worker");
    assert!(
        sent_to(&world, 0) > 10 && sent_to(&world, 1) > 10,
        "workers that are gone only by the list are still used"
    );
    world.list(ListKind::Full, vec![worker(0), worker(1), worker(2)]);
    world.advance(ms(2000));
    let before = sent_to(&world, 2);
    for n in 100..200 {
        world.arrive(n, 0);
        serve(&mut world, ms(50));
    }
    let sends_after_recovery = sent_to(&world, 2) - before;
    assert!((15..60).contains(&sends_after_recovery), "{sends_after_recovery} of 100 after it has recovered");
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// A reported drain counts, whatever later lists say, until the list reports a later start of the worker.
#[test]
fn a_reported_drain_counts_until_a_later_start() {
    let gone = |n| ListEntry { state: WorkerState::Gone, ..worker(n) };
    let later_lists: [&dyn Fn(&mut World); 3] =
        [&|w| w.list(ListKind::Delta, vec![gone(0)]), &|w| w.list(ListKind::Full, vec![]), &|w| {
            w.list(ListKind::Full, vec![worker(0)])
        }];
    for (seed, deliver_later_list) in later_lists.iter().enumerate() {
        let mut world = World::new(lists_may_be_wrong(), seed as u64);
        world.list(ListKind::Saved, vec![worker(0)]);
        world.list(ListKind::Delta, vec![ListEntry { state: WorkerState::Draining, ..worker(0) }]);
        deliver_later_list(&mut world);
        world.arrive(0, 0);
        world.advance(ms(1500));
        assert!(world.sends().is_empty(), "case {seed}");
        world.list(ListKind::Delta, vec![ListEntry { up_since: Some(world.now), ..worker(0) }]);
        for n in 1..200 {
            world.arrive(n, 0);
            serve(&mut world, ms(100));
        }
        assert!(!world.sends().is_empty(), "case {seed}: used again after its later start");
        assert!(world.violations.is_empty(), "{:?}", world.violations);
    }
}

/// A worker that was missing from the list and returns with the same start time keeps its learned estimates.
#[test]
fn a_worker_that_returns_with_the_same_start_keeps_its_estimates() {
    let mut world = World::new(lists_may_be_wrong(), 22);
    world.list(ListKind::Saved, vec![worker(0), worker(1)]);
    share_of_worker_1(&mut world, 0..100, 800);
    world.list(ListKind::Full, vec![]);
    world.list(ListKind::Full, vec![worker(0), worker(1)]);
    let share = share_of_worker_1(&mut world, 100..130, 800);
    assert!(share < 0.35, "{share}: as slow as before");
}

/// A worker that returns from a drain gets one request, although it is in a remote zone and the local one has
/// free slots.
#[test]
fn a_worker_back_from_a_drain_gets_a_request_in_any_zone() {
    let prices = Prices { cross_zone: 0.03, ..Prices::default() };
    let mut world = World::new(Settings { prices, ..settings() }, 7);
    world.list(ListKind::Saved, vec![worker(0), worker(1)]);
    let run_requests = |world: &mut World, ids: std::ops::Range<u32>| {
        for n in ids {
            world.arrive(n, 0);
            serve(world, ms(20));
        }
    };
    run_requests(&mut world, 0..20);
    assert_eq!(sent_to(&world, 1), 0, "the local zone has free slots");
    world.list(ListKind::Delta, vec![ListEntry { state: WorkerState::Draining, ..worker(1) }]);
    run_requests(&mut world, 20..30);
    world.list(ListKind::Delta, vec![worker(1)]);
    run_requests(&mut world, 30..50);
    assert_eq!(sent_to(&world, 1), 1, "one request, then the local zone again");
}
