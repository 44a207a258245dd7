//! The part of the scale run that plays discovery: the stand-in with an address for each dispatcher, the
//! runner list of its view, and changes of that list on command.

use super::part;
use super::part_runners::{partition, region, views};
use super::protocol::{Command, Counts, Layout, Ready, Setup, now_us, view};
use sablerun_stand_ins::discovery::{Config, Discovery};
use serde_json::{Value, json};
use std::net::SocketAddr;

/// Threads that serve all dispatchers.
const WORKERS: usize = 2;
/// The number of past changes kept for dispatchers that ask for the changes since a version.
const RETAINED_CHANGES: usize = 1000;
/// The range of cell numbers of a zone, so that cells of different zones differ.
const CELLS_PER_ZONE: usize = 1000;

/// The state of the part: the discovery service and the current entry of each runner.
struct DiscoveryPart {
    discovery: Discovery,
    layout: Layout,
    dial: Vec<Vec<SocketAddr>>,
    runners: Vec<ListedRunner>,
}

/// The state of a runner's entry.
#[derive(Clone)]
struct ListedRunner {
    health: String,
    born_ms: u64,
}

/// Plays the part until standard input ends.
///
/// # Errors
///
/// If it could not start.
pub fn run() -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(WORKERS).enable_all().build();
    runtime.map_err(|e| e.to_string())?.block_on(part::run(start, execute))
}

/// Returns a runner's entry as seen from a view. Its `share` is its registered size in slots.
fn entry(layout: &Layout, runner: usize, dial: SocketAddr, listed: &ListedRunner) -> Value {
    let spec = &layout.runners[runner];
    json!({"host": spec.name, "dial": dial.to_string(), "site": layout.zones[spec.zone].name,
           "class": layout.settings["kinds"][spec.kind], "block": spec.zone * CELLS_PER_ZONE + spec.rack,
           "health": listed.health, "share": f64::from(spec.slots), "born_ms": listed.born_ms})
}

async fn start(setup: Setup) -> Result<(DiscoveryPart, Ready), String> {
    let (layout, dial) = (setup.layout, setup.dial);
    let views = views(&layout);
    if dial.len() != layout.runners.len() || dial.iter().any(|dial| dial.len() != views.len()) {
        return Err(format!("dial: not an address for each of {} runners and views", layout.runners.len()));
    }
    for runner in &layout.runners {
        region(&layout, runner.zone)?;
    }
    let views_of = layout.dispatchers.iter().map(|d| Ok(view(region(&layout, d.zone)?, d.hollow)));
    let mut dispatcher_views = views_of.collect::<Result<Vec<_>, String>>()?;
    dispatcher_views.push(views.len() - 1);
    let runners = vec![ListedRunner { health: "active".to_owned(), born_ms: 0 }; layout.runners.len()];
    let entries_in_view = |view: usize| {
        let all = runners.iter().enumerate();
        all.map(|(runner, listed)| entry(&layout, runner, dial[runner][view], listed)).collect()
    };
    let hosts = (0..views.len()).map(entries_in_view).collect();
    let config = Config {
        views,
        dispatcher_views,
        chunk_bytes: None,
        indented: false,
        retained_changes: RETAINED_CHANGES,
    };
    let discovery =
        Discovery::start_with_config(hosts, config, &[]).await.map_err(|e| format!("discovery: {e}"))?;
    let ready = Ready { discovery: discovery.addresses.clone(), ..Ready::default() };
    Ok((DiscoveryPart { discovery, layout, dial, runners }, ready))
}

async fn execute(part: &mut DiscoveryPart, command: Command) -> Result<Counts, String> {
    let mut counts = Counts::default();
    match command {
        Command::List { runners, health, up } => {
            (counts.at_us, counts.seq) = part.change(&runners, &health, up)?;
        }
        Command::Link { cut } => part.discovery.set_partition(cut.map(partition)),
        _ => {}
    }
    counts.values = part.discovery.metrics().values();
    Ok(counts)
}

impl DiscoveryPart {
    /// Changes entries; returns when discovery applied the change, just before it is written to the watches,
    /// and its version.
    fn change(&mut self, runners: &[usize], health: &str, up: bool) -> Result<(u64, u64), String> {
        if !["active", "leaving", "left"].contains(&health) {
            return Err(format!("health: {health:?} is none of active, leaving, left"));
        }
        if let Some(unknown) = runners.iter().find(|runner| **runner >= self.runners.len()) {
            return Err(format!("there is no runner {unknown}"));
        }
        let at_us = now_us();
        for &runner in runners {
            let listed = &mut self.runners[runner];
            health.clone_into(&mut listed.health);
            if up {
                listed.born_ms = at_us / 1000;
            }
        }
        let views = self.dial.first().map_or(0, Vec::len);
        let entries_in_view = |view: usize| {
            let one =
                |&runner: &usize| entry(&self.layout, runner, self.dial[runner][view], &self.runners[runner]);
            runners.iter().map(one).collect()
        };
        let changed: Vec<Vec<Value>> = (0..views).map(entries_in_view).collect();
        Ok((at_us, self.discovery.update(&changed)))
    }
}
