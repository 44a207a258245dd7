//! The model's state: what each client and each attempt was told so far, beside the core under test. It owns
//! the settings of the run and must never judge an effect.

use sablerun as sr;
use sablerun_keys as keys;
use sablerun_node::core::{AttemptId, Core, Input, ListedRunner, Source};
use sablerun_settings::{NameTable, Tables};
use std::collections::HashMap;
use std::net::SocketAddr;

pub const ZONES: [&str; 4] = ["hall-a", "hall-a", "hall-b", "hall-b"];

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Client {
    Waits,
    Answered,
    Left,
}

pub struct Asked {
    pub class: u32,
    pub deadline: sr::Time,
    pub client: Client,
    pub key: Option<u8>,
    /// Whose request its client waits for: its own, or the one that it joined.
    pub lead: usize,
}

pub struct Tried {
    pub id: AttemptId,
    pub ticket: usize,
    pub runner: usize,
    pub at: sr::Time,
    /// `None` while it is out; else whether it may have run.
    pub over: Option<bool>,
    /// The word of its runner that ended it.
    pub word: Option<sr::Outcome>,
}

pub struct World {
    pub core: Core<usize>,
    pub now: sr::Time,
    pub asked: Vec<Asked>,
    pub tried: Vec<Tried>,
    pub standing: [sr::WorkerState; 4],
    pub roster: SocketAddr,
    pub asked_for_list: usize,
    pub stop: Option<sr::Time>,
    /// Requests that led a key and were settled: when, and whether they were served.
    pub settled: HashMap<usize, (sr::Time, bool)>,
}

pub const WINDOW: sr::Span = sr::Span(4_000_000_000);
pub const KEEP: sr::Span = sr::Span(9_000_000_000);

pub fn roster(host: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, host], 8500))
}

pub fn name(runner: usize) -> String {
    format!("s-{runner}")
}

pub fn listed(runner: usize, standing: sr::WorkerState) -> ListedRunner {
    let (zone, kind) = (ZONES[runner].to_owned(), "k".to_owned());
    ListedRunner { name: name(runner), zone, kind, cell: 0, state: standing, size: 1.0, up_since: None }
}

pub fn effects() -> [sr::Idempotency; 3] {
    [sr::Idempotency::Safe, sr::Idempotency::Keyed(sr::DedupScope::Zone), sr::Idempotency::Unsafe]
}

impl World {
    pub fn new(seed: u64) -> World {
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
            classes: effects().into_iter().map(class).collect(),
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
        let mut core = Core::new(settings, tables, roster(1), seed, now, 20).unwrap();
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
            vec![keys::Retention { window: WINDOW, uncertain_ttl: KEEP }; 3],
        ));
        let standing = [sr::WorkerState::Ready; 4];
        let (asked, tried) = (Vec::new(), Vec::new());
        let (roster, asked_for_list, stop) = (roster(1), 0, None);
        let settled = HashMap::new();
        let mut world = World { core, now, asked, tried, standing, roster, asked_for_list, stop, settled };
        let all = (0..4).map(|runner| listed(runner, sr::WorkerState::Ready)).collect();
        world.input(Input::List(Source::Discovery, sr::ListKind::Saved, all), None);
        // A saved list sends nothing until discovery has told what has changed since.
        world.input(Input::List(Source::Discovery, sr::ListKind::Delta, Vec::new()), None);
        world
    }
}

pub fn effects_of(class: u32) -> sr::Idempotency {
    effects()[class as usize]
}
