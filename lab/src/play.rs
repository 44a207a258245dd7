//! Plays an experiment: for each phase starts halls, discovery and real dispatchers, sends the clients'
//! requests, injects faults, and computes named figures from the clients' counts and the halls' ground truth.
//! Also checks figures against bounds.

use crate::clients::{ClientCounts, Clients};
use crate::dispatcher_process::{DispatcherProcess, dispatcher_settings};
use crate::experiment::{Bound, Experiment, Phase};
use sablerun_stand_ins::discovery::Discovery;
use sablerun_stand_ins::hall::Halls;
use sablerun_stand_ins::program::program_path;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

/// The figures of a run, and the points of its latency curves.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Figures {
    /// Values by `phase.figure`, or by `point.figure` of a scale run.
    pub values: BTreeMap<String, f64>,
    /// Descriptions of the first odd or lost tries, by phase.
    pub remarks: BTreeMap<String, Vec<String>>,
    /// By phase: a percentage of the requests, and the milliseconds within which they were served.
    pub latency: BTreeMap<String, Vec<(f64, f64)>>,
}

/// A bound, the value of its figure and whether it holds.
#[derive(Clone, Debug, Serialize)]
pub struct BoundCheck {
    /// The name of the figure, as in [`Bound`].
    pub figure: String,
    /// The value; `None` if there is no such figure.
    pub value: Option<f64>,
    /// The minimum.
    pub min: Option<f64>,
    /// The maximum.
    pub max: Option<f64>,
    /// Whether it holds.
    pub holds: bool,
}

/// Plays all phases; `tick` is called with the phase's name and the progress of the run, from 0 to 1.
///
/// # Errors
///
/// Names the phase and the cause.
pub async fn play_experiment(
    experiment: &Experiment,
    folder: &Path,
    switch_off: &[String],
    tick: impl Fn(&str, f64),
) -> Result<Figures, String> {
    let program = program_path()?;
    let total: f64 = experiment.phase.iter().map(|phase| phase.seconds).sum();
    let (mut figures, mut elapsed) = (Figures::default(), 0.0);
    for phase in &experiment.phase {
        let report_progress = |seconds: f64| tick(&phase.name, (elapsed + seconds) / total);
        report_progress(0.0);
        let operator = remove_sections(&phase.operator, switch_off)?;
        play_phase(
            experiment,
            phase,
            &operator,
            &program,
            &folder.join(&phase.name),
            report_progress,
            &mut figures,
        )
        .await
        .map_err(|e| format!("phase {}: {e}", phase.name))?;
        elapsed += phase.seconds;
    }
    Ok(figures)
}

/// Returns the text of an operator's file without some of its sections.
///
/// # Errors
///
/// The cause, if the file is not valid TOML.
pub fn remove_sections(operator: &str, sections: &[String]) -> Result<String, String> {
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
    program: &Path,
    folder: &Path,
    tick: impl Fn(f64),
    figures: &mut Figures,
) -> Result<(), String> {
    let create = |number| DispatcherProcess::new(program, folder, number).map(Arc::new);
    let dispatchers: Vec<_> = (0..experiment.dispatchers).map(create).collect::<Result<_, _>>()?;
    let addresses: Vec<_> = dispatchers.iter().map(|dispatcher| dispatcher.address).collect();
    let halls =
        Halls::start(&experiment.hall, &experiment.class, &experiment.faults, experiment.seed, &addresses)
            .await
            .map_err(|e| format!("halls: {e}"))?;
    let discovery = Discovery::start(halls.hosts.clone()).await.map_err(|e| format!("discovery: {e}"))?;
    for (number, dispatcher) in dispatchers.iter().enumerate() {
        dispatcher
            .start(dispatcher_settings(experiment, number), discovery.addresses[number], operator)
            .await?;
    }
    let mut kills = tokio::task::JoinSet::new();
    for kill in experiment.kill.iter().filter(|_| phase.kills) {
        let (dispatcher, kill) = (dispatchers[kill.dispatcher].clone(), kill.clone());
        kills.spawn(async move {
            tokio::time::sleep(Duration::from_secs_f64(kill.at_s)).await;
            dispatcher.kill_and_restart(Duration::from_secs_f64(kill.back_s)).await
        });
    }
    let clients = Clients::new(experiment, &dispatchers);
    let wander = phase.wander.unwrap_or(experiment.clients.wander);
    clients.send_requests(experiment, phase.seconds, wander, tick).await;
    while let Some(restarted) = kills.join_next().await {
        restarted.map_err(|e| e.to_string())??;
    }
    // Waits for jobs whose client is gone: they count in the ground truth too.
    let longest_ms = experiment.class.iter().map(|class| class.work_ms[1]).fold(0.0, f64::max);
    let slow_factor = experiment.faults.slow_by.max(1.0);
    tokio::time::sleep(Duration::from_secs_f64((longest_ms * slow_factor / 1e3 + 0.1).min(2.0))).await;
    let mut cpu = 0.0;
    for dispatcher in &dispatchers {
        cpu += dispatcher.cpu_s().await.unwrap_or(0.0);
        dispatcher.stop().await;
    }
    add_figures(&phase.name, &clients.counts(), &halls, cpu, figures);
    Ok(())
}

/// Adds the figures of a phase.
fn add_figures(phase: &str, counts: &ClientCounts, halls: &Halls, cpu_s: f64, figures: &mut Figures) {
    let truth = &halls.ground_truth;
    let percentile = |percent: f64| counts.latency_us.value_at_quantile(percent / 100.0) as f64 / 1e3;
    let requests = counts.requests.max(1) as f64;
    for (name, value) in [
        ("requests", counts.requests as f64),
        ("keyed_requests", counts.keyed_requests as f64),
        ("tries", counts.tries as f64),
        ("served_tries", counts.served_tries as f64),
        ("refused_tries", counts.refused_tries as f64),
        ("failed_tries", counts.failed_tries as f64),
        ("cut_tries", counts.cut_tries as f64),
        ("left_tries", counts.left_tries as f64),
        ("odd_tries", counts.odd_tries as f64),
        ("lost", counts.lost as f64),
        ("served_share", counts.served_requests as f64 / requests),
        ("in_time_share", counts.in_time_requests as f64 / requests),
        ("unlike_results", counts.unlike_results as f64),
        ("keys_run", truth.executed_keys() as f64),
        ("double_runs", truth.duplicated_keys() as f64),
        ("double_runs_in_two_halls", truth.keys_duplicated_across_halls() as f64),
        ("attempts", truth.attempts.load(Relaxed) as f64),
        ("repeats_dropped_by_halls", truth.repeats_dropped.load(Relaxed) as f64),
        ("faults", truth.faults.load(Relaxed) as f64),
        ("p50_ms", percentile(50.0)),
        ("p99_ms", percentile(99.0)),
        ("cpu_us_per_try", cpu_s * 1e6 / counts.tries.max(1) as f64),
    ] {
        figures.values.insert(format!("{phase}.{name}"), value);
    }
    figures.remarks.insert(phase.to_owned(), counts.remarks.clone());
    let points = [1.0, 10.0, 25.0, 50.0, 75.0, 90.0, 95.0, 99.0, 99.9, 100.0];
    figures.latency.insert(phase.to_owned(), points.map(|percent| (percent, percentile(percent))).to_vec());
}

/// Checks figures against bounds; a bound of a missing figure does not hold.
pub fn check_bounds(bounds: &[Bound], figures: &Figures) -> Vec<BoundCheck> {
    let checks = bounds.iter().map(|bound| {
        let value = figures.values.get(&bound.figure).copied();
        let holds = value.is_some_and(|value| {
            bound.min.is_none_or(|min| value >= min) && bound.max.is_none_or(|max| value <= max)
        });
        BoundCheck { figure: bound.figure.clone(), value, min: bound.min, max: bound.max, holds }
    });
    checks.collect()
}
