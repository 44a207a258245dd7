//! The cases, and what they share.

mod disabled_worker;
mod foreign_id;
mod late_fetch;
mod new_settings;
mod pipeline;
mod planned_restart;
mod stale_snapshot;

use crate::discovery::{Discovery, Host};
use crate::dispatcher::Dispatcher;
use crate::record::Record;
use crate::runner::{Effect, Hall, Runner};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};

/// How a case ended.
pub enum Verdict {
    Held,
    Broken(String),
}

/// The result of a case; the error says why it could not run.
pub type Played = Result<Verdict, String>;

/// A run of a case.
pub struct Case {
    pub record: Record,
    /// Whether the disruption is to happen.
    pub trouble: bool,
}

impl Case {
    /// Plays the case of this name.
    pub fn play(&self, name: &str) -> Played {
        match name {
            "disabled-worker" => disabled_worker::play(self),
            "foreign-id" => foreign_id::play(self),
            "late-fetch" => late_fetch::play(self),
            "new-settings" => new_settings::play(self),
            "stale-snapshot" => stale_snapshot::play(self),
            "pipeline" => pipeline::play(self),
            "planned-restart" => planned_restart::play(self),
            _ => Err(format!("no case {name}")),
        }
    }
}

/// Any error as text.
pub fn text(error: impl std::fmt::Display) -> String {
    error.to_string()
}

/// The effects of jobs at all runners.
pub type Effects = Arc<Mutex<Vec<Effect>>>;

/// A prepared dispatcher between discovery and one runner for each name and hall.
pub fn with_runners(
    case: &Case,
    runners: &[(&str, &str)],
    slots: usize,
) -> std::io::Result<(Dispatcher, Effects)> {
    let (dispatcher, effects, runners) = with_held_runners(case, runners, slots)?;
    runners.into_iter().for_each(|(runner, listener)| runner.serve(listener));
    Ok((dispatcher, effects))
}

/// Runners with their listeners, which are bound but not served yet.
pub type HeldRunners = Vec<(Runner, TcpListener)>;

/// The same with runners that do not accept connections yet.
pub fn with_held_runners(
    case: &Case,
    runners: &[(&str, &str)],
    slots: usize,
) -> std::io::Result<(Dispatcher, Effects, HeldRunners)> {
    let effects = Effects::default();
    let listen = crate::dispatcher::free_address();
    let mut halls: BTreeMap<&str, Hall> = BTreeMap::new();
    let (mut hosts, mut held) = (Vec::new(), Vec::new());
    for (name, hall) in runners {
        let hall = halls.entry(hall).or_insert_with(|| Hall::new(hall)).clone();
        let (runner, listener) = Runner::bind(name, &hall, slots, listen, &effects, &case.record)?;
        hosts.push(host(&runner.name, runner.address, &hall.name));
        held.push((runner, listener));
    }
    let discovery = Discovery::start(hosts)?;
    let dispatcher = Dispatcher::new("n0", listen, discovery.address)?;
    Ok((dispatcher, effects, held))
}

/// An active runner's entry in the list.
pub fn host(name: &str, dial: SocketAddr, hall: &str) -> Host {
    Host { name: name.to_owned(), dial, hall: hall.to_owned(), health: "active" }
}

/// The keys that took effect more than once, each with where it did.
pub fn repeated_effects(effects: &Effects) -> BTreeMap<String, Vec<String>> {
    let mut places: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for Effect { key, hall, runner, id } in effects.lock().expect("no holder panics").iter() {
        places.entry(key.clone()).or_default().push(format!("{hall} ({runner}, request {id})"));
    }
    places.retain(|_, places| places.len() > 1);
    places
}

/// The verdict on keys that may take effect once.
pub fn judge_effects(case: &Case, effects: &Effects) -> Verdict {
    let repeated = repeated_effects(effects);
    for (key, places) in &repeated {
        case.record.line(format!("key {key} took effect {} times: {}", places.len(), places.join("; ")));
    }
    let keys: BTreeSet<_> =
        effects.lock().expect("no holder panics").iter().map(|effect| effect.key.clone()).collect();
    case.record.line(format!("keys that took effect: {}, more than once: {}", keys.len(), repeated.len()));
    match repeated.len() {
        0 => Verdict::Held,
        count => Verdict::Broken(format!("{count} of {} keys took effect more than once", keys.len())),
    }
}
