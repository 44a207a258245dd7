//! Lists that fail, fall silent, are wrong or come again, and drains: who may be sent to by then.
//! It owns one small test for each such symptom; it must never wait for real time or draw without a seed.

mod common;

use common::*;
use sablerun::*;

/// The list is asked for where it must be, again after a failure, and the old list stays in use where the rules
/// let a saved one be used, as the simulator's do.
#[test]
fn a_failed_list_call_is_made_again_and_the_old_list_kept() {
    let saved_list_validity = Span::from_secs(5.8);
    let mut world =
        World::new(Settings { discovery: Discovery::OnRequest, saved_list_validity, ..settings() }, 10);
    world.list(ListKind::Saved, vec![worker(0)]);
    world.pass(ms(500));
    let calls = |w: &World| w.log.iter().filter(|(_, a)| *a == Action::Subscribe).count();
    assert_eq!(calls(&world), 1);
    world.event(Event::ListFailed);
    world.pass(ms(1000));
    assert_eq!(calls(&world), 2);
    world.arrive(0, 0);
    assert_eq!(world.sends().len(), 1);
}

/// The simulator holds a dispatcher to its list for so long from the last call that failed, and so begins the time anew
/// by each, unless it has run out; without that rule no failure prolongs it.
#[test]
fn failed_calls_prolong_a_lost_list_by_the_simulators_rule_alone() {
    for (failed_calls_renew, seed) in [(true, 11), (false, 12)] {
        let mut world = World::new(
            Settings {
                discovery: Discovery::OnRequest,
                failed_calls_renew_validity: failed_calls_renew,
                ..settings()
            },
            seed,
        );
        let holds = world.settings.validity_after_loss;
        world.list(ListKind::Full, vec![worker(0)]);
        world.event(Event::ListFailed);
        world.pass(Span(holds.0 / 2));
        world.event(Event::ListFailed);
        world.pass(ms(100));
        world.pass(Span(holds.0 / 2));
        world.arrive(0, 0);
        assert_eq!(
            world.sends().len(),
            usize::from(failed_calls_renew),
            "renewed by calls: {failed_calls_renew}"
        );
        // Both have run out by now, and stay so.
        serve(&mut world, holds);
        world.event(Event::ListFailed);
        let sent = world.sends().len();
        world.arrive(1, 0);
        assert_eq!(world.sends().len(), sent, "renewed by calls: {failed_calls_renew}");
        assert!(world.broken.is_empty(), "{:?}", world.broken);
    }
}

/// A silent watch is begun anew before what it misses counts as told, in a fleet of any size; while it is not
/// back by then, nobody is sent to, and once it is, all is as before.
#[test]
fn a_silent_watch_is_called_for_in_time_and_nothing_is_sent_blindly() {
    for (dispatchers, seed) in (0..60).map(|n| ([1, 40, 300][n % 3], n as u64)) {
        let number = seed as u32 % dispatchers;
        let settings = Settings { discovery: Discovery::OnRequest, dispatchers, number, ..settings() };
        let told = settings.validity_after_silence;
        let mut world = World::new(settings, seed);
        world.list(ListKind::Full, vec![worker(0)]);
        world.pass(ms(10_000));
        let calls = |w: &World| w.log.iter().filter(|(_, a)| *a == Action::Subscribe).count();
        let (before, silent) = (calls(&world), world.now);
        world.event(Event::ListSilent);
        world.pass(Span(told.0 / 2));
        assert!(calls(&world) > before, "of {dispatchers}: no call half way to the time that counts as told");
        world.arrive(0, 0);
        assert_eq!(world.sends().len(), 1, "until then the list holds");
        serve(&mut world, ms(50));
        world.event(Event::ListFailed);
        world.pass(silent + told - world.now);
        world.arrive(1, 0);
        assert_eq!(world.sends().len(), 1, "of {dispatchers}: sent to what may have drained");
        world.list(ListKind::Delta, Vec::new());
        assert_eq!(world.sends().len(), 2, "the list is known again");
        assert!(world.broken.is_empty(), "{:?}", world.broken);
    }
}

/// Settings under which only draining binds.
fn lists_may_be_wrong() -> Settings {
    Settings { zone: None, only_draining_excludes: true, ..settings() }
}

/// A list that calls all workers gone, or leaves them out, stops nothing where only draining binds; a crash
/// at the same time is found by its broken connections, and the rest keep their work when the list is right again.
#[test]
fn a_wrong_list_is_doubted_and_a_crash_behind_it_found() {
    let mut world = World::new(lists_may_be_wrong(), 21);
    world.list(ListKind::Saved, vec![worker(0), worker(1), worker(2)]);
    world
        .list(ListKind::Delta, (0..3).map(|n| ListEntry { state: WorkerState::Gone, ..worker(n) }).collect());
    world.list(ListKind::Full, vec![]);
    let lose_two = |world: &mut World, ids: std::ops::Range<u32>| {
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
    let there = lose_two(&mut world, 0..60);
    assert!(there < 10, "{there} of 60 to the crashed one");
    assert!(sent_to(&world, 0) > 10 && sent_to(&world, 1) > 10, "gone by the list alone is still used");
    world.list(ListKind::Full, vec![worker(0), worker(1), worker(2)]);
    world.pass(ms(2000));
    let before = sent_to(&world, 2);
    for n in 100..200 {
        world.arrive(n, 0);
        serve(&mut world, ms(50));
    }
    let back = sent_to(&world, 2) - before;
    assert!((15..60).contains(&back), "{back} of 100 after it is back");
    assert!(world.broken.is_empty(), "{:?}", world.broken);
}

/// A drain once seen holds in every order of later entries, until the list tells of a later start.
#[test]
fn a_seen_drain_holds_until_a_later_start() {
    let gone = |n| ListEntry { state: WorkerState::Gone, ..worker(n) };
    let later: [&dyn Fn(&mut World); 3] =
        [&|w| w.list(ListKind::Delta, vec![gone(0)]), &|w| w.list(ListKind::Full, vec![]), &|w| {
            w.list(ListKind::Full, vec![worker(0)])
        }];
    for (seed, then) in later.iter().enumerate() {
        let mut world = World::new(lists_may_be_wrong(), seed as u64);
        world.list(ListKind::Saved, vec![worker(0)]);
        world.list(ListKind::Delta, vec![ListEntry { state: WorkerState::Draining, ..worker(0) }]);
        then(&mut world);
        world.arrive(0, 0);
        world.pass(ms(1500));
        assert!(world.sends().is_empty(), "case {seed}");
        world.list(ListKind::Delta, vec![ListEntry { up_since: Some(world.now), ..worker(0) }]);
        for n in 1..200 {
            world.arrive(n, 0);
            serve(&mut world, ms(100));
        }
        assert!(!world.sends().is_empty(), "case {seed}: used again after its later start");
        assert!(world.broken.is_empty(), "{:?}", world.broken);
    }
}

/// An old list that comes again wipes nothing: what was learned of a worker with the same start is kept.
#[test]
fn a_worker_that_comes_back_with_the_same_start_keeps_what_was_learned() {
    let mut world = World::new(lists_may_be_wrong(), 22);
    world.list(ListKind::Saved, vec![worker(0), worker(1)]);
    share_of_slow(&mut world, 0..100, 800);
    world.list(ListKind::Full, vec![]);
    world.list(ListKind::Full, vec![worker(0), worker(1)]);
    let share = share_of_slow(&mut world, 100..130, 800);
    assert!(share < 0.35, "{share}: as slow as before");
}

/// A worker that comes back from a drain gets a request, though it is away and home has room.
#[test]
fn a_worker_back_from_a_drain_gets_a_request_wherever_it_stands() {
    let prices = Prices { cross_zone: 0.03, ..Prices::default() };
    let mut world = World::new(Settings { prices, ..settings() }, 7);
    world.list(ListKind::Saved, vec![worker(0), worker(1)]);
    let play = |world: &mut World, ids: std::ops::Range<u32>| {
        for n in ids {
            world.arrive(n, 0);
            serve(world, ms(20));
        }
    };
    play(&mut world, 0..20);
    assert_eq!(sent_to(&world, 1), 0, "home has room");
    world.list(ListKind::Delta, vec![ListEntry { state: WorkerState::Draining, ..worker(1) }]);
    play(&mut world, 20..30);
    world.list(ListKind::Delta, vec![worker(1)]);
    play(&mut world, 30..50);
    assert_eq!(sent_to(&world, 1), 1, "one, and then home is nearer again");
}
