//! A small layout for tests of the scale run, with hollow runners and discovery of its own.

use sablerun_lab::scale::words::{Dispatcher, Layout, Runner, Stream, Zone};
use sablerun_stand_ins::discovery::Discovery;
use sablerun_stand_ins::hollow::manner::Manner;
use sablerun_stand_ins::hollow::{self, Planned, Runners, View};
use sablerun_stand_ins::installation::Class;
use sablerun_stand_ins::program::{free_port, settings_of};
use serde_json::{Value, json};
use std::path::PathBuf;

/// Runners of 64 slots and dispatchers, all in one zone, with two tenants and an empty stream.
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
    let mut settings = settings_of(&[class("task"), class("urgent")], &["a"], "a");
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

/// The runners of a layout, and what discovery says of them to each dispatcher.
pub async fn runners(layout: &Layout) -> (Runners, Vec<Vec<Value>>) {
    let planned = layout.runners.iter().map(|r| Planned { name: r.name.clone(), region: 0, slots: r.slots });
    let planned: Vec<_> = planned.collect();
    let views = [false, true].map(|hollow| View { region: 0, hollow });
    let of = |d: &Dispatcher| hollow::Dispatcher { listen: d.listen, view: usize::from(d.hollow) };
    let dispatchers: Vec<_> = layout.dispatchers.iter().map(of).collect();
    let manner = Manner::of(&layout.settings);
    let runners = Runners::start(&planned, &views, &dispatchers, manner, Box::new(|_, _| {})).await.unwrap();
    let dial = runners.dial();
    let hosts = layout.dispatchers.iter().map(|d| {
        let told = (0..planned.len()).map(|n| host(layout, n, dial[n][usize::from(d.hollow)], "active"));
        told.collect()
    });
    (runners, hosts.collect())
}

/// What discovery says of a runner.
pub fn host(layout: &Layout, runner: usize, dial: std::net::SocketAddr, health: &str) -> Value {
    json!({"host": layout.runners[runner].name, "dial": dial.to_string(), "site": "a", "class": "k4-full",
           "block": 0, "health": health, "share": 1.0, "born_ms": 0})
}

/// Discovery with these lists.
pub async fn discovery(hosts: &[Vec<Value>]) -> Discovery {
    Discovery::start(hosts.to_vec()).await.unwrap()
}
