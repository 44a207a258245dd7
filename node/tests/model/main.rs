//! Random steps against a model of what a client's connection and a runner's may be told: each
//! request waits, is answered or left; each attempt is out or over. The model knows no decision, only
//! the rules that every decision must keep. Of keys it knows that a job which may have run never goes to
//! a second zone, nor anywhere once its zone has forgotten it, and that only what was made under a key is
//! handed back for it.

mod rules;
mod steps;
mod take;
mod world;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sablerun as sr;
use sablerun_node::core::{AttemptEnd, Input, Source};
use steps::{Step, step};
use world::{Client, WINDOW, World, ZONES, listed, name};

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(0x5ab1e),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn every_request_is_answered_once_and_in_time_and_every_attempt_ends_once(
        seed in any::<u64>(),
        steps in prop::collection::vec(step(), 1..120),
    ) {
        let mut world = World::new(seed);
        for step in steps {
            world.take(step);
        }
        // In the end nothing is owed, out or held.
        world.pass(world.now + sr::Span::from_secs(10.0));
        assert!(world.asked.iter().all(|asked| asked.client != Client::Waits));
        assert!(world.tried.iter().all(|tried| tried.over.is_some()));
        assert_eq!((world.core.open(), world.core.retained()), (0, (0, 0)));
        assert_eq!(world.core.keys().unwrap().in_progress(), 0, "a key under way with no request");
    }
}

/// A whole list of one source says nothing of the runners that another has told of.
#[test]
fn a_whole_list_leaves_other_sources_runners_alone() {
    let mut world = World::new(1);
    let gone = (0..4).map(|runner| listed(runner, sr::WorkerState::Gone)).collect();
    world.input(Input::List(Source::Discovery, sr::ListKind::Delta, gone), None);
    world.standing = [sr::WorkerState::Gone; 4];
    world.standing[1] = sr::WorkerState::Ready;
    let caller = vec![listed(1, sr::WorkerState::Ready)];
    world.input(Input::List(Source::SelfRegistered, sr::ListKind::Delta, caller), None);
    world.input(Input::List(Source::Discovery, sr::ListKind::Full, Vec::new()), None);
    world.take(Step::Arrive { class: 0, patience_ms: 1000, key: None, retry: false });
    assert_eq!(world.tried.len(), 1);
}

/// The first client's deadline is not the joined one's: the attempt goes on for whoever still waits.
#[test]
fn a_repeat_that_joined_is_served_after_the_first_clients_deadline() {
    let mut world = World::new(1);
    let arrive = |patience_ms| Step::Arrive { class: 1, patience_ms, key: Some(1), retry: false };
    world.take(arrive(300));
    let (id, from) = ("r0".to_owned(), name(world.tried[0].runner));
    world.input(Input::Started { id: id.clone(), from: from.clone() }, None);
    world.take(Step::Pass { ms: 200 });
    world.take(arrive(2000));
    assert_eq!((world.tried.len(), world.asked[1].lead), (1, 0));
    world.take(Step::Pass { ms: 1000 });
    assert_eq!(world.asked[0].client, Client::Answered, "by its own deadline");
    assert_eq!(world.tried[0].over, None, "given up though somebody waits");
    let ending = AttemptEnd { outcome: sr::Outcome::Ok, result: "made of r0".into(), report: None };
    world.input(Input::Finished { id, from, end: ending }, Some((0, sr::Outcome::Ok)));
    assert_eq!(world.asked[1].client, Client::Answered);
    assert_eq!(world.core.tally().served, 1);
}

/// A repeat that waits for its hall is not sent any more once the hall has forgotten the key, nor refused
/// as if it were harmless.
#[test]
fn a_window_that_ends_while_a_repeat_waits_ends_the_repeat() {
    let mut world = World::new(1);
    let arrive = |patience_ms| Step::Arrive { class: 1, patience_ms, key: Some(1), retry: true };
    world.take(arrive(300));
    let (at, hall) = (world.tried[0].at, ZONES[world.tried[0].runner]);
    world.take(Step::Pass { ms: 400 });
    assert_eq!(world.core.tally().failed, 1);
    let before = world.tried.len();
    let of_hall: Vec<_> = (0..4).filter(|runner| ZONES[*runner] == hall).collect();
    let list = |world: &mut World, standing| {
        of_hall.iter().for_each(|&runner| world.take(Step::List { runner, standing }));
    };
    list(&mut world, sr::WorkerState::Gone);
    world.pass(at + WINDOW - sr::Span(100_000_000));
    world.take(arrive(2000));
    assert_eq!(world.core.keys().unwrap().counts().resent, 1);
    assert_eq!(world.tried.len(), before, "sent to another hall");
    world.pass(at + WINDOW + sr::Span(10_000_000));
    list(&mut world, sr::WorkerState::Ready);
    world.take(Step::Pass { ms: 3000 });
    assert_eq!(world.tried.len(), before, "sent where nobody knows the key any more");
    assert_eq!((world.core.tally().failed, world.core.tally().refused), (2, 0));
}
