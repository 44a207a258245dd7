//! The test harness: [`World`] is the simulated environment of one balancer. It delivers timers, tracks
//! attempts, and checks on every action the rules that the balancer must keep. It does not model workers:
//! the test says what becomes of each attempt, or uses the simulated workers of `cold_workers` and
//! `worker_pool`.
#![allow(dead_code, unused_imports)]

pub mod cold_workers;
mod traffic;
pub mod worker_pool;
mod world;

pub use traffic::*;
pub use world::*;

use sablerun::*;
use std::collections::BTreeMap;

/// The time at which the tests start.
pub const START: Time = Time(5_000_000_000);

/// How long after its deadline an answer still counts as on time: 20 ms.
pub const ANSWER_SLACK: Span = Span(20_000_000);

/// Returns a span of `n` milliseconds.
pub fn ms(n: u64) -> Span {
    Span(n * 1_000_000)
}

/// Returns a class with an objective of 200 ms and a deadline of 5 s.
pub fn class(idempotency: Idempotency) -> Class {
    Class {
        objective: ms(200),
        stretch: 2.0,
        deadline: ms(5000),
        worth: 1.0,
        late_worth: 0.0,
        idempotency,
        window: ms(2000),
        kind: None,
    }
}

/// Returns settings for two dispatchers and four classes: 0 safe, 1 unsafe, 2 keyed by cell, 3 keyed by all.
pub fn settings() -> Settings {
    Settings {
        dispatchers: 2,
        zone: Some(ZoneId(0)),
        classes: [
            Idempotency::Safe,
            Idempotency::Unsafe,
            Idempotency::Keyed(DedupScope::Cell),
            Idempotency::Keyed(DedupScope::All),
        ]
        .map(class)
        .to_vec(),
        tick: ms(5),
        reports_start: true,
        progress: ms(1000),
        parallel_attempts: true,
        max_attempts: 4,
        ..Settings::default()
    }
}

/// Returns the list entry of a ready worker in zone and cell `n % 2`.
pub fn worker(n: u32) -> ListEntry {
    ListEntry {
        worker: WorkerId(n),
        zone: ZoneId(n % 2),
        kind: KindId(0),
        cell: n % 2,
        state: WorkerState::Ready,
        size: 1.0,
        up_since: None,
    }
}
