//! Plays one point: starts its processes, waits for the fill, takes samples and counts at both ends of the
//! window while changes and faults happen, ends the stream and stops all processes. Computes no figures.

use super::changes::{Change, ChangeDriver};
use super::faults::{self, InjectedFault};
use super::layout::build_layout;
use super::plan::Plan;
use super::point::{Point, Quantities};
use super::processes::Processes;
use super::protocol::{Command, Counts, Layout, now_us};
use super::sample::Sample;
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Time from the start of all processes to the stream, in which lists are fetched and connections opened.
const STARTUP_TIME: Duration = Duration::from_secs(2);
/// Time after the window in which the last changes may still be adopted.
const GRACE_TIME: Duration = Duration::from_secs(3);
/// The interval between checks that all processes run.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// What was measured while a point was played.
pub struct PlayedPoint {
    /// The layout that was played.
    pub layout: Layout,
    /// The absolute quantities.
    pub quantities: Quantities,
    /// When the stream began, in microseconds of Unix time.
    pub play_us: u64,
    /// Usage after the start of the processes, before the stream.
    pub before_stream: Sample,
    /// Usage at the start and the end of the window.
    pub samples: [Sample; 2],
    /// Counts at the same moments, by role.
    pub counts: [BTreeMap<&'static str, Counts>; 2],
    /// The changes that were made.
    pub changes: Vec<Change>,
    /// The faults that were injected.
    pub faults: Vec<InjectedFault>,
    /// The logs of the real dispatchers.
    pub logs: Vec<String>,
    /// The log of the load digest's publisher; empty if there is none.
    pub publisher_log: String,
}

/// Options for playing a point.
pub struct PlayOptions<'a> {
    /// The factor for its sizes.
    pub factor: f64,
    /// The seed of all random numbers.
    pub seed: u64,
    /// The folder for the run's records.
    pub folder: &'a Path,
    /// The text of the dispatchers' operator's file.
    pub operator: &'a str,
}

/// Plays a point; `tick` is called with the progress, from 0 to 1.
///
/// # Errors
///
/// Names the process that could not start, or that exited unexpectedly.
pub async fn play_point(
    plan: &Plan,
    point: &Point,
    options: &PlayOptions<'_>,
    tick: impl Fn(f64),
) -> Result<PlayedPoint, String> {
    let folder = options.folder.join(&point.name);
    std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let quantities = point.quantities(plan, options.factor);
    let mut layout = build_layout(plan, point, &quantities, options.seed, &folder)?;
    layout.stream.seconds += GRACE_TIME.as_secs_f64();
    let processes = Arc::new(Processes::start(point, layout, options.operator.to_owned()).await?);
    let played = tokio::select! {
        played = run_phases(point, &quantities, &processes, &tick) => played,
        error = first_exit(&processes) => Err(error),
    };
    processes.stop().await;
    played
}

/// Waits until a process exits unexpectedly; returns the error.
async fn first_exit(processes: &Processes) -> String {
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        if let Err(error) = processes.check_running().await {
            return error;
        }
    }
}

async fn run_phases(
    point: &Point,
    quantities: &Quantities,
    processes: &Arc<Processes>,
    tick: &impl Fn(f64),
) -> Result<PlayedPoint, String> {
    let total = STARTUP_TIME.as_secs_f64()
        + point.fill_s
        + point.rest_s
        + point.measured_s
        + GRACE_TIME.as_secs_f64();
    let began = Instant::now();
    let report_progress = || tick((began.elapsed().as_secs_f64() / total).min(1.0));
    let pause = async |seconds: f64| {
        let end = Instant::now() + Duration::from_secs_f64(seconds);
        while Instant::now() < end {
            report_progress();
            tokio::time::sleep_until(end.min(Instant::now() + POLL_INTERVAL)).await;
        }
    };
    pause(STARTUP_TIME.as_secs_f64()).await;
    let before_stream = Sample::take(processes).await;
    let play_us = now_us();
    processes.send_all(&Command::Play).await?;
    pause(point.fill_s + point.rest_s).await;
    let changes = Arc::new(ChangeDriver::new(processes.clone()));
    let before = (processes.send_all(&Command::Count).await?, Sample::take(processes).await);
    let (steady, faults, ()) = tokio::join!(
        changes.run_at_rate(quantities.changes_per_s, point.measured_s),
        faults::inject(&point.fault, processes, &changes),
        pause(point.measured_s),
    );
    steady?;
    let faults = faults?;
    let after = (processes.send_all(&Command::Count).await?, Sample::take(processes).await);
    pause(GRACE_TIME.as_secs_f64()).await;
    processes.send_all(&Command::End).await?;
    Ok(PlayedPoint {
        layout: processes.layout.clone(),
        quantities: *quantities,
        play_us,
        before_stream,
        samples: [before.1, after.1],
        counts: [before.0, after.0],
        changes: changes.made().await,
        faults,
        logs: processes.real.iter().map(|dispatcher| dispatcher.log()).collect(),
        publisher_log: processes.publisher.as_ref().map(|publisher| publisher.log()).unwrap_or_default(),
    })
}
