//! The random steps of the model and how often each occurs. Generated without regard to the state.

use proptest::prelude::*;
use sablerun as sr;

#[derive(Clone, Debug)]
pub enum Step {
    Arrive {
        class: u32,
        timeout_ms: u64,
        key: Option<u8>,
        retry: bool,
    },
    ClientLeaves(prop::sample::Index),
    /// A runner reports that it started an attempt's job.
    Started(prop::sample::Index),
    /// An attempt ends, as reported by a call-back (which names request and runner) or as observed by the
    /// link. The attempt may have ended before.
    Ended {
        index: prop::sample::Index,
        by_call_back: bool,
        outcome: sr::Outcome,
    },
    /// A runner repeats the call-back that ended an attempt because the answer to the first was lost.
    RepeatedCallBack(prop::sample::Index),
    /// A runner reports that it cannot use the request of an attempt.
    RequestRejected(prop::sample::Index),
    /// A call-back from a runner that may not have the job at all.
    UnmatchedCallBack {
        index: prop::sample::Index,
        runner: usize,
    },
    List {
        runner: usize,
        state: sr::WorkerState,
    },
    ListFailed,
    DiscoveryMoves(u8),
    /// The program stops after this time; all clients are answered by then.
    StopIn {
        ms: u64,
    },
    Advance {
        ms: u64,
    },
}

pub fn step() -> impl Strategy<Value = Step> {
    use sr::Outcome::*;
    let any_index = any::<prop::sample::Index>;
    let outcome = prop::sample::select(vec![Ok, Ok, Ok, Error, Full, Timeout, ConnectFailed, Reset]);
    let state = prop::sample::select(vec![
        sr::WorkerState::Ready,
        sr::WorkerState::Ready,
        sr::WorkerState::Draining,
        sr::WorkerState::Gone,
    ]);
    prop_oneof![
        5 => (0..3u32, prop_oneof![9 => 1..3000u64, 1 => Just(0)], prop::option::of(0..3u8), any::<bool>())
            .prop_map(|(class, timeout_ms, key, retry)| Step::Arrive { class, timeout_ms, key, retry }),
        1 => any_index().prop_map(Step::ClientLeaves),
        3 => any_index().prop_map(Step::Started),
        6 => (any_index(), any::<bool>(), outcome)
            .prop_map(|(index, by_call_back, outcome)| Step::Ended { index, by_call_back, outcome }),
        3 => any_index().prop_map(Step::RepeatedCallBack),
        1 => any_index().prop_map(Step::RequestRejected),
        1 => (any_index(), 0..4usize).prop_map(|(index, runner)| Step::UnmatchedCallBack { index, runner }),
        2 => (0..4usize, state).prop_map(|(runner, state)| Step::List { runner, state }),
        1 => Just(Step::ListFailed),
        1 => (1..4u8).prop_map(Step::DiscoveryMoves),
        1 => (1..3000u64).prop_map(|ms| Step::StopIn { ms }),
        4 => (1..400u64).prop_map(|ms| Step::Advance { ms }),
    ]
}
