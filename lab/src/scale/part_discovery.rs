//! The part of the scale run that plays discovery: the stand-in with an address for each dispatcher, the list as
//! seen from its region and side, and the run's changes of it. It owns the entries of runners; it must never
//! decide when they change.

use super::part;
use super::part_runners::{cut_of, region, views};
use super::words::{Begin, Command, Counts, Layout, Ready, now_us, view};
use sablerun_stand_ins::discovery::{Config, Discovery};
use serde_json::{Value, json};
use std::net::SocketAddr;

/// Threads that serve all dispatchers.
const WORKERS: usize = 2;
/// Changes that are known to those who ask what came after a version.
const HELD: usize = 1000;
/// Cells of a zone have numbers of their own.
const CELLS: usize = 1000;

/// The part's state: the service, and how each runner was last listed.
struct Listing {
    discovery: Discovery,
    layout: Layout,
    dial: Vec<Vec<SocketAddr>>,
    runners: Vec<Listed>,
}

/// How a runner is listed.
#[derive(Clone)]
struct Listed {
    health: String,
    born_ms: u64,
}

/// Plays the part until standard input ends.
///
/// # Errors
///
/// If it could not begin.
pub fn run() -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(WORKERS).enable_all().build();
    runtime.map_err(|e| e.to_string())?.block_on(part::run(begin, obey))
}

/// A runner's entry as seen from a view. Its share is its registered size, a slot the unit.
fn entry(layout: &Layout, runner: usize, dial: SocketAddr, listed: &Listed) -> Value {
    let of = &layout.runners[runner];
    json!({"host": of.name, "dial": dial.to_string(), "site": layout.zones[of.zone].name,
           "class": layout.settings["kinds"][of.kind], "block": of.zone * CELLS + of.rack,
           "health": listed.health, "share": f64::from(of.slots), "born_ms": listed.born_ms})
}

async fn begin(told: Begin) -> Result<(Listing, Ready), String> {
    let (layout, dial) = (told.layout, told.dial);
    let views = views(&layout);
    if dial.len() != layout.runners.len() || dial.iter().any(|dial| dial.len() != views.len()) {
        return Err(format!("dial: not an address for each of {} runners and views", layout.runners.len()));
    }
    for runner in &layout.runners {
        region(&layout, runner.zone)?;
    }
    let of = layout.dispatchers.iter().map(|d| Ok(view(region(&layout, d.zone)?, d.hollow)));
    let mut dispatcher_views = of.collect::<Result<Vec<_>, String>>()?;
    dispatcher_views.push(views.len() - 1);
    let runners = vec![Listed { health: "active".to_owned(), born_ms: 0 }; layout.runners.len()];
    let seen = |view: usize| {
        let all = runners.iter().enumerate();
        all.map(|(runner, listed)| entry(&layout, runner, dial[runner][view], listed)).collect()
    };
    let hosts = (0..views.len()).map(seen).collect();
    let plan = Config { views, dispatcher_views, chunk_bytes: None, indented: false, retained_changes: HELD };
    let discovery =
        Discovery::start_with_config(hosts, plan, &[]).await.map_err(|e| format!("discovery: {e}"))?;
    let ready = Ready { discovery: discovery.addresses.clone(), ..Ready::default() };
    Ok((Listing { discovery, layout, dial, runners }, ready))
}

async fn obey(listing: &mut Listing, told: Command) -> Result<Counts, String> {
    let mut counts = Counts::default();
    match told {
        Command::List { runners, health, up } => {
            (counts.at_us, counts.seq) = listing.change(&runners, &health, up)?;
        }
        Command::Link { cut } => listing.discovery.set_partition(cut.map(cut_of)),
        _ => {}
    }
    counts.values = listing.discovery.metrics().values();
    Ok(counts)
}

impl Listing {
    /// Tells a change: when discovery had it, a moment before it is written to the watches, and its version.
    fn change(&mut self, runners: &[usize], health: &str, up: bool) -> Result<(u64, u64), String> {
        if !["active", "leaving", "left"].contains(&health) {
            return Err(format!("health: {health:?} is none of active, leaving, left"));
        }
        if let Some(none) = runners.iter().find(|runner| **runner >= self.runners.len()) {
            return Err(format!("there is no runner {none}"));
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
        let seen = |view: usize| {
            let one =
                |&runner: &usize| entry(&self.layout, runner, self.dial[runner][view], &self.runners[runner]);
            runners.iter().map(one).collect()
        };
        let changed: Vec<Vec<Value>> = (0..views).map(seen).collect();
        Ok((at_us, self.discovery.update(&changed)))
    }
}
