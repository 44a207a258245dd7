//! The steps that the model takes at random, and how often each. It owns what may happen, in any order; it
//! must never look at the state.

use proptest::prelude::*;
use sablerun as sr;

#[derive(Clone, Debug)]
pub enum Step {
    Arrive {
        class: u32,
        patience_ms: u64,
        key: Option<u8>,
        retry: bool,
    },
    Leave(prop::sample::Index),
    Start(prop::sample::Index),
    /// A runner's word by id and name, or what a link saw, of an attempt that is out or over.
    End {
        of: prop::sample::Index,
        told: bool,
        outcome: sr::Outcome,
    },
    /// A runner's word of how an attempt ended, again: the answer to the first was lost.
    Repeat(prop::sample::Index),
    Unusable(prop::sample::Index),
    /// A word of a runner that may not hold the job at all.
    Stray {
        of: prop::sample::Index,
        runner: usize,
    },
    List {
        runner: usize,
        standing: sr::WorkerState,
    },
    ListFailed,
    RosterAt(u8),
    StopIn {
        ms: u64,
    },
    Pass {
        ms: u64,
    },
}

pub fn step() -> impl Strategy<Value = Step> {
    use sr::Outcome::*;
    let index = any::<prop::sample::Index>;
    let outcome = prop::sample::select(vec![Ok, Ok, Ok, Error, Full, Timeout, ConnectFailed, Reset]);
    let standing = prop::sample::select(vec![
        sr::WorkerState::Ready,
        sr::WorkerState::Ready,
        sr::WorkerState::Draining,
        sr::WorkerState::Gone,
    ]);
    prop_oneof![
        5 => (0..3u32, prop_oneof![9 => 1..3000u64, 1 => Just(0)], prop::option::of(0..3u8), any::<bool>())
            .prop_map(|(class, patience_ms, key, retry)| Step::Arrive { class, patience_ms, key, retry }),
        1 => index().prop_map(Step::Leave),
        3 => index().prop_map(Step::Start),
        6 => (index(), any::<bool>(), outcome).prop_map(|(of, told, outcome)| Step::End { of, told, outcome }),
        3 => index().prop_map(Step::Repeat),
        1 => index().prop_map(Step::Unusable),
        1 => (index(), 0..4usize).prop_map(|(of, runner)| Step::Stray { of, runner }),
        2 => (0..4usize, standing).prop_map(|(runner, standing)| Step::List { runner, standing }),
        1 => Just(Step::ListFailed),
        1 => (1..4u8).prop_map(Step::RosterAt),
        1 => (1..3000u64).prop_map(|ms| Step::StopIn { ms }),
        4 => (1..400u64).prop_map(|ms| Step::Pass { ms }),
    ]
}
