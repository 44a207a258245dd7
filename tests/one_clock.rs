//! One clock for the list: what discovery has counts as told 6 s after it could be had, whatever became of the
//! watch and the calls since. It owns a stand-in for discovery that fails in every way at every step; it must
//! never wait for real time or draw without a seed.

mod common;

use common::*;
use sablerun::*;

/// The protocol's clock.
const TOLD: Span = Span(6_000_000_000);
/// Time after which the host gives a call up, and a watch is silent.
const GIVEN_UP: Span = Span(1_500_000_000);
const SILENT: Span = Span(2_500_000_000);
/// Longest time for which a call's answer may wait in discovery's line in the sum that the design note states.
const LINE: Span = Span(250_000_000);

/// What becomes of a call for the list, or of the watch that it opened.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Call {
    Refused,
    Busy,
    Reset,
    GivenUp,
    Slow,
    Silent,
    Well,
}

const FAILING: [Call; 6] = [Call::Refused, Call::Busy, Call::Reset, Call::GivenUp, Call::Slow, Call::Silent];

/// What the host tells next, when, and the last moment for which that vouches.
type Told = (Time, Event, Time);

fn told(call: Call, at: Time, vouched: Time) -> Vec<Told> {
    let list = || Event::List(ListKind::Delta, Vec::new());
    let after = |span: Span, event| vec![(at + span, event, vouched)];
    match call {
        // That nobody listens just now does not say that nobody did before: no failure vouches.
        Call::Refused | Call::Busy => after(ms(1), Event::ListFailed),
        Call::Reset => after(ms(50), Event::ListFailed),
        Call::GivenUp => after(GIVEN_UP, Event::ListFailed),
        Call::Slow => {
            let listed = at + ms(1400);
            vec![(listed, list(), listed), (listed + ms(100), Event::ListFailed, listed)]
        }
        Call::Silent => {
            let listed = at + ms(20);
            vec![(listed, list(), listed), (listed + SILENT, Event::ListSilent, listed)]
        }
        Call::Well => vec![(at + LINE, list(), at + LINE)],
    }
}

fn calls(world: &World) -> usize {
    world.log.iter().filter(|(_, action)| *action == Action::Subscribe).count()
}

/// Loses the watch at once, or starts with a saved list, answers each call as planned and then well, and offers
/// requests all the while: the times of the sends, with the last moment for which the list was vouched then, and
/// when the list was back.
fn play(fleet: u32, seed: u64, loss: Option<Event>, plan: &[Call]) -> (Vec<(Time, Time)>, Time) {
    let number = seed as u32 % fleet;
    let settings = Settings { discovery: Discovery::OnRequest, dispatchers: fleet, number, ..settings() };
    let mut world = World::new(settings, seed);
    if loss.is_some() {
        world.list(ListKind::Full, vec![worker(0)]);
    }
    world.pass(ms(8000));
    let (mut vouched, mut made, mut plan) = (world.now, calls(&world), plan.iter());
    match loss {
        Some(Event::ListSilent) => world.pass(SILENT),
        Some(_) => {}
        // How old the list is, nothing tells: as old as can be.
        None => {
            vouched = Time(0);
            world.list(ListKind::Saved, vec![worker(0)]);
        }
    }
    loss.into_iter().for_each(|loss| world.event(loss));
    let (mut news, mut sends, mut seen, mut n) = (Vec::<Told>::new(), Vec::new(), world.log.len(), 0);
    let (mut well, end) = (None, world.now + ms(40_000));
    while world.now.0 < end.0 && well.is_none_or(|at: Time| world.now.0 < at.0 + ms(1000).0) {
        if n % 10 == 0 {
            world.arrive(n / 10, 0);
        }
        n += 1;
        serve(&mut world, ms(10));
        for (at, action) in &world.log[seen..] {
            if matches!(action, Action::Send(..)) {
                sends.push((*at, vouched));
            }
        }
        seen = world.log.len();
        for _ in made..calls(&world) {
            let call = *plan.next().unwrap_or(&Call::Well);
            news.extend(told(call, world.now, vouched));
            if call == Call::Well {
                well = well.or(Some(world.now + LINE));
            }
        }
        made = calls(&world);
        news.sort_by_key(|(at, ..)| at.0);
        while news.first().is_some_and(|(at, ..)| at.0 <= world.now.0) {
            let (_, event, until) = news.remove(0);
            vouched = vouched.max(until);
            world.event(event);
        }
    }
    assert!(world.broken.is_empty(), "{:?}", world.broken);
    (sends, well.expect("a call is answered well in the end"))
}

/// Whatever fails, and whenever: nobody is sent to by a list for which nothing has vouched for 6 s, nor by one from
/// before the start, and as soon as one call is answered all is as before.
#[test]
fn a_list_for_which_nothing_vouches_is_used_no_longer_than_the_clock_allows() {
    let (mut seed, mut cases) = (0, Vec::new());
    for one in FAILING {
        for two in FAILING {
            cases.extend(FAILING.map(|three| [one, two, three]));
        }
    }
    for plan in cases {
        for loss in [None, Some(Event::ListFailed), Some(Event::ListSilent)] {
            for fleet in [1, 300] {
                seed += 1;
                let (sends, well) = play(fleet, seed, loss.clone(), &plan);
                let late = sends.iter().find(|(at, vouched)| at.0 > vouched.0 + TOLD.0);
                assert_eq!(late, None, "of {fleet}, after {loss:?} and {plan:?}");
                assert!(sends.iter().any(|(at, _)| at.0 > well.0), "of {fleet}, after {loss:?} and {plan:?}");
            }
        }
    }
}

/// The sum: noticing, waiting, a call that fails in any way, waiting again and discovery's line stay within the
/// clock, so that one failure never stops the service.
#[test]
fn one_failed_call_costs_no_service() {
    for seed in 0..12 {
        for call in FAILING {
            for loss in [Event::ListFailed, Event::ListSilent] {
                for fleet in [1, 40, 300] {
                    let (sends, _) = play(fleet, seed, Some(loss.clone()), &[call]);
                    let gap = sends.windows(2).map(|pair| (pair[1].0 - pair[0].0).0).max();
                    assert!(gap < Some(ms(400).0), "of {fleet}, after {loss:?} and {call:?}: {gap:?}");
                }
            }
        }
    }
}

/// A list from before the start may have missed any change, also one that was made long before: nobody is sent to by
/// it for however long discovery tells nothing, and the requests that can wait for it are sent by its first list.
#[test]
fn a_list_from_before_the_start_sends_nothing() {
    for (fleet, seed) in [(1, 1), (300, 2)] {
        for news in [None, Some(Event::ListFailed), Some(Event::ListSilent)] {
            let settings = Settings { discovery: Discovery::OnRequest, dispatchers: fleet, ..settings() };
            let mut world = World::new(settings, seed);
            world.list(ListKind::Saved, vec![worker(0)]);
            for n in 0..90 {
                world.arrive(n, 0);
                serve(&mut world, ms(100));
                news.iter().for_each(|news| world.event(news.clone()));
            }
            assert!(world.sends().is_empty(), "of {fleet}, {news:?}: sent by an old list");
            assert!(calls(&world) > 0, "of {fleet}: discovery is asked");
            world.arrive(90, 0);
            world.list(ListKind::Delta, Vec::new());
            world.pass(ms(20));
            assert!(!world.sends().is_empty(), "of {fleet}: the list is vouched for");
            assert!(world.broken.is_empty(), "{:?}", world.broken);
        }
    }
}
