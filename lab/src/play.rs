//! Plays an experiment: for each phase it starts halls, discovery and real dispatchers, lets clients come
//! and faults happen, and turns what was seen and what truly happened into named figures. It owns the
//! order of a run and the judging of bounds.

use crate::clients::{Clients, Seen};
use crate::experiment::{Bound, Experiment, Phase};
use crate::fleet::{Dispatcher, settings};
use sablerun_stand_ins::discovery::Discovery;
use sablerun_stand_ins::hall::Halls;
use sablerun_stand_ins::program::program_path;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

/// The figures of a run by phase and name, and the points of its latencies.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Figures {
    /// `phase.figure`.
    pub values: BTreeMap<String, f64>,
    /// By phase: the first odd or lost tries.
    pub remarks: BTreeMap<String, Vec<String>>,
    /// By phase: share of requests in hundredths, and the milliseconds within which they were served.
    pub latency: BTreeMap<String, Vec<(f64, f64)>>,
}

/// A bound and whether it holds.
#[derive(Clone, Debug, Serialize)]
pub struct Judged {
    /// `phase.figure`.
    pub figure: String,
    /// Its value; none if there is no such figure.
    pub value: Option<f64>,
    /// At least.
    pub min: Option<f64>,
    /// At the most.
    pub max: Option<f64>,
    /// Whether it holds.
    pub holds: bool,
}

/// Plays all phases; `tick` hears the phase's name and how far the whole run is, from 0 to 1.
///
/// # Errors
///
/// Says what could not be started.
pub async fn play(
    experiment: &Experiment,
    folder: &Path,
    switched_off: &[String],
    tick: impl Fn(&str, f64),
) -> Result<Figures, String> {
    let command = program_path()?;
    let total: f64 = experiment.phase.iter().map(|phase| phase.seconds).sum();
    let (mut figures, mut before) = (Figures::default(), 0.0);
    for phase in &experiment.phase {
        let told = |at: f64| tick(&phase.name, (before + at) / total);
        told(0.0);
        let operator = without(&phase.operator, switched_off)?;
        play_phase(experiment, phase, &operator, &command, &folder.join(&phase.name), told, &mut figures)
            .await
            .map_err(|e| format!("phase {}: {e}", phase.name))?;
        before += phase.seconds;
    }
    Ok(figures)
}

/// The operator's file without some of its sections.
///
/// # Errors
///
/// Says why the file is none.
pub fn without(operator: &str, sections: &[String]) -> Result<String, String> {
    let mut table: toml::Table = toml::from_str(operator).map_err(|e| format!("operator: {e}"))?;
    sections.iter().for_each(|section| {
        table.remove(section);
    });
    Ok(table.to_string())
}

async fn play_phase(
    experiment: &Experiment,
    phase: &Phase,
    operator: &str,
    command: &Path,
    folder: &Path,
    tick: impl Fn(f64),
    figures: &mut Figures,
) -> Result<(), String> {
    let plan = |number| Dispatcher::plan(command, folder, number).map(Arc::new);
    let dispatchers: Vec<_> = (0..experiment.dispatchers).map(plan).collect::<Result<_, _>>()?;
    let addresses: Vec<_> = dispatchers.iter().map(|dispatcher| dispatcher.at).collect();
    let halls =
        Halls::start(&experiment.hall, &experiment.class, &experiment.faults, experiment.seed, &addresses)
            .await
            .map_err(|e| format!("halls: {e}"))?;
    let discovery = Discovery::start(halls.hosts.clone()).await.map_err(|e| format!("discovery: {e}"))?;
    for (number, dispatcher) in dispatchers.iter().enumerate() {
        dispatcher.start(settings(experiment, number), discovery.addresses[number], operator).await?;
    }
    let mut kills = tokio::task::JoinSet::new();
    for kill in experiment.kill.iter().filter(|_| phase.kills) {
        let (dispatcher, kill) = (dispatchers[kill.dispatcher].clone(), kill.clone());
        kills.spawn(async move {
            tokio::time::sleep(Duration::from_secs_f64(kill.at_s)).await;
            dispatcher.kill(Duration::from_secs_f64(kill.back_s)).await
        });
    }
    let clients = Clients::new(experiment, &dispatchers);
    let wander = phase.wander.unwrap_or(experiment.clients.wander);
    clients.play(experiment, phase.seconds, wander, tick).await;
    while let Some(killed) = kills.join_next().await {
        killed.map_err(|e| e.to_string())??;
    }
    // What runs on for nobody has its effect too.
    let longest = experiment.class.iter().map(|class| class.work_ms[1]).fold(0.0, f64::max);
    let slower = experiment.faults.slow_by.max(1.0);
    tokio::time::sleep(Duration::from_secs_f64((longest * slower / 1e3 + 0.1).min(2.0))).await;
    let mut cpu = 0.0;
    for dispatcher in &dispatchers {
        cpu += dispatcher.cpu_s().await.unwrap_or(0.0);
        dispatcher.stop().await;
    }
    collect(&phase.name, &clients.seen(), &halls, cpu, figures);
    Ok(())
}

fn collect(phase: &str, seen: &Seen, halls: &Halls, cpu_s: f64, figures: &mut Figures) {
    let truth = &halls.ground_truth;
    let percentile = |at: f64| seen.latency.value_at_quantile(at / 100.0) as f64 / 1e3;
    let requests = seen.requests.max(1) as f64;
    for (name, value) in [
        ("requests", seen.requests as f64),
        ("keyed_requests", seen.keyed as f64),
        ("tries", seen.tries as f64),
        ("served_tries", seen.served as f64),
        ("refused_tries", seen.refused as f64),
        ("failed_tries", seen.failed as f64),
        ("cut_tries", seen.cut as f64),
        ("left_tries", seen.left as f64),
        ("odd_tries", seen.odd as f64),
        ("lost", seen.lost as f64),
        ("served_share", seen.done as f64 / requests),
        ("in_time_share", seen.in_time as f64 / requests),
        ("unlike_results", seen.unlike as f64),
        ("keys_run", truth.executed_keys() as f64),
        ("double_runs", truth.duplicated_keys() as f64),
        ("double_runs_in_two_halls", truth.keys_duplicated_across_halls() as f64),
        ("attempts", truth.attempts.load(Relaxed) as f64),
        ("repeats_dropped_by_halls", truth.repeats_dropped.load(Relaxed) as f64),
        ("faults", truth.faults.load(Relaxed) as f64),
        ("p50_ms", percentile(50.0)),
        ("p99_ms", percentile(99.0)),
        ("cpu_us_per_try", cpu_s * 1e6 / seen.tries.max(1) as f64),
    ] {
        figures.values.insert(format!("{phase}.{name}"), value);
    }
    figures.remarks.insert(phase.to_owned(), seen.remarks.clone());
    let points = [1.0, 10.0, 25.0, 50.0, 75.0, 90.0, 95.0, 99.0, 99.9, 100.0];
    figures.latency.insert(phase.to_owned(), points.map(|at| (at, percentile(at))).to_vec());
}

/// Holds the figures against bounds.
pub fn judge(bounds: &[Bound], figures: &Figures) -> Vec<Judged> {
    let judged = bounds.iter().map(|bound| {
        let value = figures.values.get(&bound.figure).copied();
        let holds = value.is_some_and(|value| {
            bound.min.is_none_or(|min| value >= min) && bound.max.is_none_or(|max| value <= max)
        });
        Judged { figure: bound.figure.clone(), value, min: bound.min, max: bound.max, holds }
    });
    judged.collect()
}
