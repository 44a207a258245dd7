//! The simulated scenario: its size, the settings, and its runners.

use sablerun as sr;
use sablerun_node::core::ListedRunner;
use sablerun_settings::{NameTable, Tables};

/// The mean running time of a request, in seconds.
pub const RUNNING_TIME_S: f64 = 65.0;
/// Busy slots of a runner, unless this dispatcher alone has more requests there: 13,000 requests on 680
/// runners.
pub const BUSY_SLOTS: f64 = 19.0;
const ZONES: usize = 5;
/// Slots of each kind of runner.
const SLOTS: [f64; 4] = [20.0, 22.0, 24.0, 20.0];

/// The size of a scenario. The first `cold` runners have just started, and restart before their slow start
/// ends.
#[derive(Clone, Copy)]
pub struct Shape {
    pub runners: usize,
    pub outstanding: usize,
    pub tenants: usize,
    pub dispatchers: usize,
    pub cold: usize,
}

/// Returns the name tables of a scenario.
pub fn tables(shape: Shape) -> Tables {
    let tenants: Vec<_> = (0..shape.tenants).map(|t| format!("team-{t}")).collect();
    let zones: Vec<_> = (0..ZONES).map(|zone| format!("zone-{zone}")).collect();
    Tables {
        workers: NameTable::default(),
        zones: NameTable::of(&zones),
        kinds: NameTable::default(),
        classes: NameTable::of([&"task".to_owned(), &"urgent".to_owned()]),
        tenants: NameTable::of(&tenants),
        fields: Vec::new(),
    }
}

/// Returns the settings of a platform of this size, modelled on the site that the other benches simulate.
pub fn settings(shape: Shape) -> sr::Settings {
    let class = |objective, worth| sr::Class {
        objective: sr::Span::from_secs(objective),
        stretch: 2.0,
        deadline: sr::Span::from_secs(300.0),
        worth,
        late_worth: 0.5,
        idempotency: sr::Idempotency::Safe,
        window: sr::Span(0),
        kind: None,
    };
    let quota_per_s = 300.0 / shape.tenants as f64;
    sr::Settings {
        dispatchers: shape.dispatchers as u32,
        zone: Some(sr::ZoneId(0)),
        classes: vec![class(RUNNING_TIME_S, 1.0), class(1.3, 4.0)],
        tenants: vec![sr::Tenant { quota_per_s }; shape.tenants],
        over_share_worth: 0.05,
        prices: sr::Prices { cross_zone: 0.03, handshake: 0.02, waste: 0.04, probe: 0.0018, late_fail: 0.07 },
        discovery: sr::Discovery::OnRequest,
        tick: sr::Span(4_000_000),
        reports_start: true,
        probing: true,
        parallel_attempts: true,
        max_attempts: 5,
        max_hold_off: sr::Span::from_secs(2.0),
        warm_after: sr::Span::from_secs(7.0),
        cold_from: 0.4,
        fall_multiple: 2.5,
        worth_by_work: true,
        marked_retries: true,
        has_worker_sizes: true,
        ..sr::Settings::default()
    }
}

/// Returns the list entry of a runner.
pub fn listed(runner: usize, up_since: Option<sr::Time>) -> ListedRunner {
    ListedRunner {
        name: name(runner),
        zone: format!("zone-{}", runner % ZONES),
        kind: format!("kind-{}", runner % 4),
        cell: (runner / 8) as u32,
        state: sr::WorkerState::Ready,
        size: SLOTS[runner % 4],
        up_since,
    }
}

/// Returns the report of a runner with `own` requests of this dispatcher and at least `busy_slots` in all.
pub fn report(runner: usize, own: f64, busy_slots: f64) -> sr::Report {
    let slots = SLOTS[runner % 4];
    let inflight = own.max(busy_slots).min(slots);
    let latency = (inflight > 0.0).then(|| sr::Span::from_secs(RUNNING_TIME_S));
    sr::Report {
        inflight: Some(inflight),
        free_slots: Some(slots - inflight),
        latency,
        ..sr::Report::default()
    }
}

pub fn name(runner: usize) -> String {
    format!("r-{runner}")
}
