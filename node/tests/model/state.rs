//! The model's state next to the core under test: what is known of each client and each attempt, and the
//! settings of the run. Checks no effects.

use sablerun as sr;
use sablerun_keys as keys;
use sablerun_node::core::{AttemptId, Core, Input, ListedRunner, Source};
use sablerun_settings::{NameTable, Tables};
use std::collections::HashMap;
use std::net::SocketAddr;

pub const ZONES: [&str; 4] = ["hall-a", "hall-a", "hall-b", "hall-b"];

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Client {
    Waiting,
    Answered,
    Left,
}

/// One client request.
pub struct Request {
    pub class: u32,
    /// The time by which the client must have its answer.
    pub deadline: sr::Time,
    pub client: Client,
    pub key: Option<u8>,
    /// The ticket whose request this client waits for: its own, or the one that it joined.
    pub leader: usize,
}

/// One attempt at a runner.
pub struct Attempt {
    pub id: AttemptId,
    pub ticket: usize,
    pub runner: usize,
    pub started_at: sr::Time,
    /// `None` while the attempt runs; otherwise whether it may have run the job.
    pub ended: Option<bool>,
    /// The outcome of the call-back that ended the attempt, if one did.
    pub reported_outcome: Option<sr::Outcome>,
}

pub struct Model {
    pub core: Core<usize>,
    pub now: sr::Time,
    pub requests: Vec<Request>,
    pub attempts: Vec<Attempt>,
    pub runner_states: [sr::WorkerState; 4],
    pub discovery: SocketAddr,
    pub list_requests: usize,
    pub stop_at: Option<sr::Time>,
    /// Finished requests by the ticket that led them: when each finished and whether it was served.
    pub finished: HashMap<usize, (sr::Time, bool)>,
}

/// How long runners remember a key, and the core its result.
pub const WINDOW: sr::Span = sr::Span(4_000_000_000);
/// How long the core remembers a key whose job may have run without a known result.
pub const UNCERTAIN_TTL: sr::Span = sr::Span(9_000_000_000);

pub fn discovery_address(host: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, host], 8500))
}

pub fn runner_name(runner: usize) -> String {
    format!("s-{runner}")
}

pub fn listed_runner(runner: usize, state: sr::WorkerState) -> ListedRunner {
    let (zone, kind) = (ZONES[runner].to_owned(), "k".to_owned());
    ListedRunner { name: runner_name(runner), zone, kind, cell: 0, state, size: 1.0, up_since: None }
}

/// The idempotency of each class.
pub fn idempotency_classes() -> [sr::Idempotency; 3] {
    [sr::Idempotency::Safe, sr::Idempotency::Keyed(sr::DedupScope::Zone), sr::Idempotency::Unsafe]
}

impl Model {
    pub fn new(seed: u64) -> Model {
        let class = |idempotency| sr::Class {
            objective: sr::Span::from_secs(0.2),
            stretch: 2.0,
            deadline: sr::Span::from_secs(3.0),
            worth: 1.0,
            late_worth: 0.0,
            idempotency,
            window: WINDOW,
            kind: None,
        };
        let settings = sr::Settings {
            classes: idempotency_classes().into_iter().map(class).collect(),
            parallel_attempts: true,
            reports_start: true,
            max_attempts: 5,
            discovery: sr::Discovery::OnRequest,
            max_hold_off: sr::Span::from_secs(2.0),
            ..sr::Settings::default()
        };
        let names = NameTable::default;
        let (workers, zones, kinds, classes, tenants) = (names(), names(), names(), names(), names());
        let tables = Tables { workers, zones, kinds, classes, tenants, fields: Vec::new() };
        let now = sr::Time(1_000_000_000_000);
        let mut core = Core::new(settings, tables, discovery_address(1), seed, now, 20).unwrap();
        let bounds = keys::Bounds {
            max_entries: 1000,
            max_bytes: 1 << 20,
            max_result_bytes: 100,
            max_key_bytes: 100,
            max_entries_per_member: 1000,
            hold_off: sr::Span(1),
        };
        core.set_key_store(keys::Store::new(
            bounds,
            vec![keys::Retention { window: WINDOW, uncertain_ttl: UNCERTAIN_TTL }; 3],
        ));
        let runner_states = [sr::WorkerState::Ready; 4];
        let (requests, attempts) = (Vec::new(), Vec::new());
        let (discovery, list_requests, stop_at) = (discovery_address(1), 0, None);
        let finished = HashMap::new();
        let mut model = Model {
            core,
            now,
            requests,
            attempts,
            runner_states,
            discovery,
            list_requests,
            stop_at,
            finished,
        };
        let all = (0..4).map(|runner| listed_runner(runner, sr::WorkerState::Ready)).collect();
        model.step_core(Input::List(Source::Discovery, sr::ListKind::Saved, all), None);
        // No attempt starts by a saved list until discovery has reported the changes since.
        model.step_core(Input::List(Source::Discovery, sr::ListKind::Delta, Vec::new()), None);
        model
    }
}

pub fn idempotency_of(class: u32) -> sr::Idempotency {
    idempotency_classes()[class as usize]
}
