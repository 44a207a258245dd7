//! A small layout for tests of the scale run, with hollow runners and discovery as processes.

use super::part::PartProcess;
use sablerun_lab::scale::protocol::{Command, Dispatcher, Layout, Runner, Setup, Stream, Zone};
use sablerun_stand_ins::installation::Class;
use sablerun_stand_ins::program::{free_port, settings_for};
use serde_json::json;
use std::collections::BTreeMap;
use std::path::PathBuf;

/// Returns a layout of runners with 64 slots each and dispatchers, all in one zone, with two tenants and an
/// empty stream.
pub fn layout(name: &str, runners: usize, dispatchers: usize, hollow: bool) -> Layout {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&folder).unwrap();
    let class = |name: &str| Class {
        name: name.to_owned(),
        rate_per_s: 0.0,
        work_ms: [0.0, 0.0],
        slots: 1,
        objective_ms: 5_000,
        deadline_ms: 3_600_000,
        worth: 1.0,
        group: None,
        window_ms: 0,
    };
    let mut settings = settings_for(&[class("task"), class("urgent")], &["a"], "a");
    let tenant = |n: usize| json!({"name": format!("tenant-{n}"), "quotaPerS": 1e6, "share": 0.5});
    settings["projects"] = json!([tenant(0), tenant(1)]);
    settings["balancers"] = json!(dispatchers);
    let runner = |n: usize| Runner { name: format!("r-{n}"), zone: 0, kind: 0, rack: 0, slots: 64 };
    let dispatcher = |n: usize| Dispatcher {
        name: format!("d-{n}"),
        zone: 0,
        hollow,
        listen: free_port().unwrap(),
        share: 1.0 / dispatchers as f64,
    };
    Layout {
        seed: 7,
        folder,
        zones: vec![Zone { name: "a".to_owned(), region: 0 }],
        runners: (0..runners).map(runner).collect(),
        dispatchers: (0..dispatchers).map(dispatcher).collect(),
        stream: Stream { tenants: 2, deadline_s: 3600.0, work_most_s: 3600.0, ..Stream::default() },
        settings,
    }
}

/// The hollow runners and discovery of a layout.
pub struct Fixture {
    pub runners: PartProcess,
    pub discovery: PartProcess,
    /// The setup for other parts.
    pub setup: Setup,
}

impl Fixture {
    pub fn start(layout: &Layout) -> Fixture {
        let (mut runners, mut discovery) = (PartProcess::start("runners"), PartProcess::start("discovery"));
        let mut setup = Setup {
            layout: layout.clone(),
            dial: Vec::new(),
            discovery: Vec::new(),
            operator: String::new(),
        };
        setup.dial = runners.set_up(&setup).dial;
        setup.discovery = discovery.set_up(&setup).discovery;
        Fixture { runners, discovery, setup }
    }

    /// Returns what the runners have counted for hollow or real dispatchers.
    pub fn counted(&mut self, hollow: bool) -> BTreeMap<String, f64> {
        let source = if hollow { "hollow." } else { "real." };
        let counts = self.runners.command(&Command::Count).values.into_iter();
        counts.filter_map(|(name, value)| Some((name.strip_prefix(source)?.to_owned(), value))).collect()
    }
}
