//! The rules that the balancer must keep, as properties over generated event sequences that include invalid
//! events; tests of the rule checker itself; and the validation of settings.

mod common;

use common::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use sablerun::*;

/// One step of a generated sequence.
#[derive(Clone, Debug)]
enum Step {
    Arrive(u32),
    Advance(u64),
    Start(usize),
    Progress(usize, f64),
    End(usize, Outcome),
    List(u32, WorkerState, bool),
    FullList(u32),
    ClientLeaves(usize),
    InvalidEvents(u32),
}

fn outcome() -> impl Strategy<Value = Outcome> {
    prop::sample::select(vec![
        Outcome::Ok,
        Outcome::Error,
        Outcome::Full,
        Outcome::Timeout,
        Outcome::ConnectFailed,
        Outcome::Reset,
        Outcome::Cancelled,
        Outcome::Moot,
    ])
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..4u32).prop_map(Step::Arrive),
        6 => (1..400u64).prop_map(Step::Advance),
        3 => any::<usize>().prop_map(Step::Start),
        1 => (any::<usize>(), 0.0..1.0).prop_map(|(n, level)| Step::Progress(n, level)),
        4 => (any::<usize>(), outcome()).prop_map(|(n, o)| Step::End(n, o)),
        1 => (0..6u32, prop::sample::select(vec![WorkerState::Ready, WorkerState::Draining, WorkerState::Gone]),
            any::<bool>()).prop_map(|(n, s, restarted)| Step::List(n, s, restarted)),
        1 => (0..6u32).prop_map(Step::FullList),
        1 => any::<usize>().prop_map(Step::ClientLeaves),
        1 => any::<u32>().prop_map(Step::InvalidEvents),
    ]
}

/// Returns the settings for a sequence. With `retry_budget` (floor and ratio), further attempts have a
/// budget, only draining excludes workers, retries are marked and missed targets count.
fn generated_settings(parallel_attempts: bool, retry_budget: Option<(f64, f64)>) -> Settings {
    let mut settings = Settings { parallel_attempts, ..settings() };
    if let Some((floor, ratio)) = retry_budget {
        settings.budget = Some(Budget { floor, ratio, window: ms(5000) });
        settings.only_draining_excludes = true;
        settings.marked_retries = true;
        settings.tail = Tail { weight: 0.3, tolerated: 0.02 };
    }
    settings
}

/// Runs a sequence to its end and returns the world.
fn run_steps(steps: &[Step], settings: Settings, seed: u64) -> World {
    let mut world = World::new(settings, seed);
    world.list(ListKind::Saved, (0..6).map(worker).collect());
    let mut next = 0;
    for step in steps {
        let open = world.outstanding();
        let pick_attempt = |n: usize| (!open.is_empty()).then(|| open[n % open.len()]);
        match *step {
            Step::Arrive(class) => {
                world.arrive(next, class);
                next += 1;
            }
            Step::Advance(n) => world.advance(ms(n)),
            Step::Start(n) => {
                if let Some((id, attempt)) = pick_attempt(n) {
                    world.start(id, attempt);
                }
            }
            Step::Progress(n, level) => {
                if let Some((id, attempt)) = pick_attempt(n) {
                    world.deliver(Event::AttemptUpdate(
                        RequestId(id),
                        attempt,
                        AttemptUpdate::Progress(level),
                    ));
                }
            }
            Step::End(n, outcome) => {
                if let Some((id, attempt)) = pick_attempt(n) {
                    world.end(id, attempt, outcome);
                }
            }
            Step::List(n, state, restarted) => {
                let up_since = restarted.then_some(world.now);
                world.list(ListKind::Delta, vec![ListEntry { state, up_since, ..worker(n) }]);
            }
            Step::FullList(omitted) => {
                world.list(ListKind::Full, (0..6).filter(|n| *n != omitted).map(worker).collect());
            }
            Step::ClientLeaves(n) => {
                let open: Vec<_> =
                    world.requests.iter().filter(|(_, k)| !k.finished).map(|(id, _)| *id).collect();
                if !open.is_empty() {
                    let id = open[n % open.len()];
                    world.requests.get_mut(&id).expect("open").finished = true;
                    world.deliver(Event::RequestClosed(id));
                }
            }
            Step::InvalidEvents(n) => deliver_invalid(&mut world, n),
        }
    }
    world.advance(ms(6000));
    world
}

/// Delivers events about requests, attempts, workers and timers that do not exist.
fn deliver_invalid(world: &mut World, n: u32) {
    let request = RequestId(1_000_000 + n % 1000);
    let ended = Event::Ended { request, attempt: n, outcome: Outcome::Ok, closed: true, report: None };
    for event in [
        Event::RequestClosed(request),
        Event::StreamStarted(request, n),
        Event::AttemptUpdate(request, n, AttemptUpdate::Started),
        Event::AttemptUpdate(RequestId(0), 200, AttemptUpdate::Progress(f64::NAN)),
        ended,
        Event::Probed(WorkerId(900 + n % 10), true, Some(Report::default())),
        Event::Timer(u64::from(n)),
        Event::Timer(u64::MAX >> 1),
        Event::ListFailed,
    ] {
        world.deliver(event);
    }
}

#[test]
fn the_rules_hold_on_any_sequence() {
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]));
    let steps = prop::collection::vec(step(), 1..120);
    let retry_budget = prop::option::of((0.0..4.0, 0.0..0.3));
    runner
        .run(&(steps, any::<bool>(), retry_budget, any::<u64>()), |(steps, parallel, retry_budget, seed)| {
            let world = run_steps(&steps, generated_settings(parallel, retry_budget), seed);
            prop_assert!(world.violations.is_empty(), "{:?}", world.violations);
            let open: Vec<_> = world.requests.iter().filter(|(_, tracked)| !tracked.finished).collect();
            prop_assert!(open.is_empty(), "unanswered: {:?}", open);
            let again = run_steps(&steps, generated_settings(parallel, retry_budget), seed);
            prop_assert_eq!(&world.log, &again.log);
            Ok(())
        })
        .unwrap();
}

/// The checker must detect a violation of each rule that it checks.
#[test]
fn the_checker_detects_violations() {
    let violations = |class: u32, break_rule: &dyn Fn(&mut World)| {
        let mut world = World::new(settings(), 1);
        world.list(ListKind::Saved, vec![worker(0), worker(1)]);
        world.arrive(1, class);
        assert!(world.violations.is_empty());
        break_rule(&mut world);
        world.violations.join("; ")
    };
    let send = |world: &mut World, n: u32| world.apply(&Action::Send(RequestId(1), WorkerId(n)));
    assert!(violations(1, &|w| send(w, 1)).contains("twice"));
    assert!(violations(2, &|w| (0..2).for_each(|n| send(w, n))).contains("twice"));
    assert!(violations(1, &|w| w.apply(&Action::Refuse(RequestId(1), Span(0)))).contains("may have run"));
    assert!(
        violations(0, &|w| (0..2).for_each(|_| w.apply(&Action::Fail(RequestId(1)))))
            .contains("answered twice")
    );
    assert!(
        violations(0, &|w| {
            w.apply(&Action::Fail(RequestId(1)));
            send(w, 0);
        })
        .contains("after its answer")
    );
    assert!(
        violations(0, &|w| {
            w.timers.clear();
            w.advance(ms(5100));
        })
        .contains("lost")
    );
    assert!(
        violations(0, &|w| {
            w.list(ListKind::Delta, vec![ListEntry { state: WorkerState::Draining, ..worker(0) }]);
            w.now = w.now + ms(1100);
            send(w, 0);
        })
        .contains("after its drain")
    );
    let budget = Some(Budget { floor: 1.0, ratio: 0.5, window: ms(5000) });
    let mut world = World::new(Settings { budget, only_draining_excludes: true, ..settings() }, 1);
    world.list(ListKind::Saved, vec![worker(0), worker(1)]);
    world.arrive(1, 0);
    send(&mut world, 0);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    send(&mut world, 1);
    assert!(world.violations.join("; ").contains("beyond the budget"));
    world.list(ListKind::Delta, vec![ListEntry { state: WorkerState::Draining, ..worker(0) }]);
    world.list(ListKind::Full, vec![worker(0), worker(1)]);
    world.now = world.now + ms(1100);
    send(&mut world, 0);
    assert!(world.violations.join("; ").contains("after its drain"), "a drain counts until a later start");
}

/// One dispatcher keeps its part of a cold worker's budget under any load, and so cannot overload the worker.
/// The budget of a window is multiple x capacity x window, counted in jobs of mean running time on a warm
/// slot.
#[test]
fn a_cold_worker_is_not_overloaded() {
    let mut world = World::new(Settings { cold_from: 0.12, fall_after: ms(2000), ..settings() }, 3);
    let cold_entry = ListEntry { up_since: Some(START), ..worker(0) };
    world.list(ListKind::Saved, vec![cold_entry]);
    // Four slots, jobs of 50 ms, and arrivals that would fill five slots.
    let (mut sent, mut running) = (0, Vec::new());
    for n in 0..2000 {
        world.arrive(n, 0);
        world.advance(ms(10));
        while let Some(&(id, _)) = running.first().filter(|(_, end)| *end <= world.now) {
            running.remove(0);
            world.end(id, 0, Outcome::Ok);
        }
        while running.len() < 4
            && let Some(&(id, _)) = world.sends().get(sent)
        {
            sent += 1;
            world.start(id.0, 0);
            running.push((id.0, world.now + ms(50)));
        }
    }
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    let sends = &world.cold_sends[&WorkerId(0)];
    assert!(sends.len() > 10, "a cold worker must get some requests to warm up");
    let (multiple, window) = (world.settings.fall_multiple, world.settings.fall_after);
    for (n, &first) in sends.iter().enumerate() {
        let age = (first - START).secs();
        let warm_up_fraction = 0.12 + 0.88 * age / world.settings.warm_after.secs();
        // Jobs of 50 ms on four slots, shared by two dispatchers.
        let budget = multiple * warm_up_fraction * 4.0 * window.secs() / 0.05 / 2.0;
        let within = sends[n..].iter().take_while(|t| **t <= first + window).count();
        assert!((within as f64) < budget, "{within} sends in a window from {age} s, budget {budget}");
    }
}

#[test]
fn errors_name_the_invalid_setting() {
    let valid = settings();
    let mut cases: Vec<(Settings, &str)> = vec![
        (Settings { dispatchers: 0, ..valid.clone() }, "dispatchers"),
        (Settings { number: 2, ..valid.clone() }, "number"),
        (Settings { classes: vec![], ..valid.clone() }, "classes"),
        (
            Settings { prices: Prices { handshake: -0.1, ..Prices::default() }, ..valid.clone() },
            "prices.handshake",
        ),
        (
            Settings { prices: Prices { cross_zone: f64::NAN, ..Prices::default() }, ..valid.clone() },
            "prices.cross_zone",
        ),
        (Settings { max_attempts: 0, ..valid.clone() }, "max_attempts"),
        (Settings { tick: Span(0), ..valid.clone() }, "tick"),
        (Settings { cold_from: 0.0, ..valid.clone() }, "cold_from"),
        (Settings { cold_from: f64::NAN, ..valid.clone() }, "cold_from"),
        (Settings { fall_multiple: -1.0, ..valid.clone() }, "fall_multiple"),
        (Settings { over_share_worth: 2.0, ..valid.clone() }, "over_share_worth"),
        (Settings { tail: Tail { weight: -0.1, tolerated: 0.0 }, ..valid.clone() }, "tail.weight"),
        (Settings { tail: Tail { weight: 0.1, tolerated: f64::NAN }, ..valid.clone() }, "tail.tolerated"),
    ];
    let valid_budget = Budget { floor: 3.0, ratio: 0.1, window: ms(5000) };
    for (budget, name) in [
        (Budget { floor: -1.0, ..valid_budget }, "budget.floor"),
        (Budget { floor: f64::INFINITY, ..valid_budget }, "budget.floor"),
        (Budget { ratio: 1.1, ..valid_budget }, "budget.ratio"),
        (Budget { ratio: f64::NAN, ..valid_budget }, "budget.ratio"),
        (Budget { window: Span(0), ..valid_budget }, "budget.window"),
    ] {
        cases.push((Settings { budget: Some(budget), ..valid.clone() }, name));
    }
    for (name, prices) in [
        ("prices.waste", Prices { waste: f64::NAN, ..Prices::default() }),
        ("prices.probe", Prices { probe: -0.1, ..Prices::default() }),
        ("prices.late_fail", Prices { late_fail: f64::INFINITY, ..Prices::default() }),
    ] {
        cases.push((Settings { prices, ..valid.clone() }, name));
    }
    let mut zero_worth = valid.clone();
    zero_worth.classes[0].worth = 0.0;
    cases.push((zero_worth, "classes.worth"));
    let mut infinite_quota = valid.clone();
    infinite_quota.tenants = vec![Tenant { quota_per_s: f64::INFINITY }];
    cases.push((infinite_quota, "tenants.quota_per_s"));
    for (settings, name) in cases {
        let error = Balancer::new(settings, 0, START).err();
        assert_eq!(error, Some(SettingsError(name)));
    }
    assert!(Balancer::new(valid, 0, START).is_ok());
}
