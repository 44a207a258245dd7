//! A world in miniature for the tests: it delivers timers, keeps attempts, and checks the five rules
//! on every action. It models no server; the test says what each attempt does.
#![allow(dead_code, unused_imports)]

pub mod cold;
mod play;
pub mod workers;
mod world;

pub use play::*;
pub use world::*;

use sablerun::*;
use std::collections::BTreeMap;

/// The clock that the tests start at.
pub const START: Time = Time(5_000_000_000);

/// How long after the deadline an answer still counts: 20 ms.
pub const ANSWER_SLACK: Span = Span(20_000_000);

/// A length in milliseconds.
pub fn ms(n: u64) -> Span {
    Span(n * 1_000_000)
}

/// A class with an objective of 200 ms and a deadline of 5 s.
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

/// Two dispatchers; classes: 0 safe, 1 unsafe, 2 keyed by cell, 3 keyed by all.
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

/// A worker in zone and cell `n % 2`.
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
