//! Random steps against a model of the core's answers and attempts: each request waits, is answered or its
//! client leaves; each attempt runs or has ended. The model makes no decisions; it has the rules that every
//! decision must keep. For keys: a job that may have run never goes to a second zone, nor anywhere once its
//! zone has forgotten the key, and a repeat gets only a result made under its key.

mod apply;
mod rules;
mod state;
mod steps;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sablerun as sr;
use sablerun_node::core::{AttemptEnd, Input, Source};
use state::{Client, Model, WINDOW, ZONES, listed_runner, runner_name};
use steps::{Step, step};

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
        let mut model = Model::new(seed);
        for step in steps {
            model.apply(step);
        }
        // At the end no client waits, no attempt runs and nothing is retained.
        model.advance_to(model.now + sr::Span::from_secs(10.0));
        assert!(model.requests.iter().all(|request| request.client != Client::Waiting));
        assert!(model.attempts.iter().all(|attempt| attempt.ended.is_some()));
        assert_eq!((model.core.open(), model.core.retained()), (0, (0, 0)));
        assert_eq!(model.core.keys().unwrap().in_progress(), 0, "a key in progress without a request");
    }
}

/// A full list from one source does not remove runners that another source reported.
#[test]
fn a_full_list_keeps_runners_of_other_sources() {
    let mut model = Model::new(1);
    let gone = (0..4).map(|runner| listed_runner(runner, sr::WorkerState::Gone)).collect();
    model.step_core(Input::List(Source::Discovery, sr::ListKind::Delta, gone), None);
    model.runner_states = [sr::WorkerState::Gone; 4];
    model.runner_states[1] = sr::WorkerState::Ready;
    let registered = vec![listed_runner(1, sr::WorkerState::Ready)];
    model.step_core(Input::List(Source::SelfRegistered, sr::ListKind::Delta, registered), None);
    model.step_core(Input::List(Source::Discovery, sr::ListKind::Full, Vec::new()), None);
    model.apply(Step::Arrive { class: 0, timeout_ms: 1000, key: None, retry: false });
    assert_eq!(model.attempts.len(), 1);
}

/// A client that joined a request has its own deadline: the attempt continues for whoever still waits after
/// the first client's deadline.
#[test]
fn a_joined_repeat_is_served_after_the_first_clients_deadline() {
    let mut model = Model::new(1);
    let arrive = |timeout_ms| Step::Arrive { class: 1, timeout_ms, key: Some(1), retry: false };
    model.apply(arrive(300));
    let (id, from) = ("r0".to_owned(), runner_name(model.attempts[0].runner));
    model.step_core(Input::Started { id: id.clone(), from: from.clone() }, None);
    model.apply(Step::Advance { ms: 200 });
    model.apply(arrive(2000));
    assert_eq!((model.attempts.len(), model.requests[1].leader), (1, 0));
    model.apply(Step::Advance { ms: 1000 });
    assert_eq!(model.requests[0].client, Client::Answered, "by its own deadline");
    assert_eq!(model.attempts[0].ended, None, "cancelled although a client waits");
    let attempt_end = AttemptEnd { outcome: sr::Outcome::Ok, result: "made of r0".into(), report: None };
    model.step_core(Input::Finished { id, from, end: attempt_end }, Some((0, sr::Outcome::Ok)));
    assert_eq!(model.requests[1].client, Client::Answered);
    assert_eq!(model.core.tally().served, 1);
}

/// A repeat that waits for its hall is not sent once the hall has forgotten the key, nor refused as if the
/// job had never run.
#[test]
fn a_waiting_repeat_ends_with_its_window() {
    let mut model = Model::new(1);
    let arrive = |timeout_ms| Step::Arrive { class: 1, timeout_ms, key: Some(1), retry: true };
    model.apply(arrive(300));
    let (started_at, hall) = (model.attempts[0].started_at, ZONES[model.attempts[0].runner]);
    model.apply(Step::Advance { ms: 400 });
    assert_eq!(model.core.tally().failed, 1);
    let before = model.attempts.len();
    let hall_runners: Vec<_> = (0..4).filter(|runner| ZONES[*runner] == hall).collect();
    let set_hall_state = |model: &mut Model, state| {
        hall_runners.iter().for_each(|&runner| model.apply(Step::List { runner, state }));
    };
    set_hall_state(&mut model, sr::WorkerState::Gone);
    model.advance_to(started_at + WINDOW - sr::Span(100_000_000));
    model.apply(arrive(2000));
    assert_eq!(model.core.keys().unwrap().counts().resent, 1);
    assert_eq!(model.attempts.len(), before, "sent to another hall");
    model.advance_to(started_at + WINDOW + sr::Span(10_000_000));
    set_hall_state(&mut model, sr::WorkerState::Ready);
    model.apply(Step::Advance { ms: 3000 });
    assert_eq!(model.attempts.len(), before, "sent to a hall that has forgotten the key");
    assert_eq!((model.core.tally().failed, model.core.tally().refused), (2, 0));
}
