//! Plays one point: starts its processes, lets it fill, takes the window's two samples and counts while changes
//! and faults happen, ends it, and stops all. It owns the order, and must never reckon a figure.

use super::changes::{Change, Changes};
use super::faults::{self, Done};
use super::layout::layout;
use super::plan::Plan;
use super::point::{Numbers, Point};
use super::processes::Processes;
use super::sample::Sample;
use super::words::{Command, Counts, Layout, now_us};
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Time from the start of all processes to the stream: lists are told, connections made.
const SETTLE: Duration = Duration::from_secs(2);
/// Time after the window in which the last changes may still be acted by.
const GRACE: Duration = Duration::from_secs(3);
/// Time between two looks whether all processes run.
const LOOK: Duration = Duration::from_millis(500);

/// What was seen of a point.
pub struct Played {
    /// Who there was.
    pub layout: Layout,
    /// How many of each.
    pub numbers: Numbers,
    /// When the stream began.
    pub play_us: u64,
    /// Usage as the processes had started, before the stream.
    pub settled: Sample,
    /// Usage at the window's begin and end.
    pub samples: [Sample; 2],
    /// Counts then, by role.
    pub counts: [BTreeMap<&'static str, Counts>; 2],
    /// The changes that were made.
    pub changes: Vec<Change>,
    /// The faults that were.
    pub faults: Vec<Done>,
    /// Logs of the real dispatchers.
    pub logs: Vec<String>,
    /// The log of the digest's publisher, where there is one.
    pub published: String,
}

/// How a point is played.
pub struct How<'a> {
    /// By what its sizes are multiplied.
    pub factor: f64,
    /// The seed of all random numbers.
    pub seed: u64,
    /// For the records of the run.
    pub folder: &'a Path,
    /// The real dispatchers' operator's file.
    pub operator: &'a str,
}

/// Plays a point; `tick` hears how far it is, from 0 to 1.
///
/// # Errors
///
/// Names the process that could not start, or that ended unasked.
pub async fn play(plan: &Plan, point: &Point, how: &How<'_>, tick: impl Fn(f64)) -> Result<Played, String> {
    let folder = how.folder.join(&point.name);
    std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let numbers = point.numbers(plan, how.factor);
    let mut layout = layout(plan, point, &numbers, how.seed, &folder)?;
    layout.stream.seconds += GRACE.as_secs_f64();
    let processes = Arc::new(Processes::start(point, layout, how.operator.to_owned()).await?);
    let played = tokio::select! {
        played = course(point, &numbers, &processes, &tick) => played,
        ended = watch(&processes) => Err(ended),
    };
    processes.stop().await;
    played
}

/// Ends as a process has ended unasked.
async fn watch(processes: &Processes) -> String {
    loop {
        tokio::time::sleep(LOOK).await;
        if let Err(ended) = processes.running().await {
            return ended;
        }
    }
}

async fn course(
    point: &Point,
    numbers: &Numbers,
    processes: &Arc<Processes>,
    tick: &impl Fn(f64),
) -> Result<Played, String> {
    let total = SETTLE.as_secs_f64() + point.fill_s + point.rest_s + point.measured_s + GRACE.as_secs_f64();
    let began = Instant::now();
    let told = || tick((began.elapsed().as_secs_f64() / total).min(1.0));
    let pause = async |seconds: f64| {
        let end = Instant::now() + Duration::from_secs_f64(seconds);
        while Instant::now() < end {
            told();
            tokio::time::sleep_until(end.min(Instant::now() + LOOK)).await;
        }
    };
    pause(SETTLE.as_secs_f64()).await;
    let settled = Sample::take(processes).await;
    let play_us = now_us();
    processes.tell(&Command::Play).await?;
    pause(point.fill_s + point.rest_s).await;
    let changes = Arc::new(Changes::new(processes.clone()));
    let before = (processes.tell(&Command::Count).await?, Sample::take(processes).await);
    let (steady, faults, ()) = tokio::join!(
        changes.steadily(numbers.changes_per_s, point.measured_s),
        faults::play(&point.fault, processes, &changes),
        pause(point.measured_s),
    );
    steady?;
    let faults = faults?;
    let after = (processes.tell(&Command::Count).await?, Sample::take(processes).await);
    pause(GRACE.as_secs_f64()).await;
    processes.tell(&Command::End).await?;
    Ok(Played {
        layout: processes.layout.clone(),
        numbers: *numbers,
        play_us,
        settled,
        samples: [before.1, after.1],
        counts: [before.0, after.0],
        changes: changes.made().await,
        faults,
        logs: processes.real.iter().map(|dispatcher| dispatcher.log()).collect(),
        published: processes.publisher.as_ref().map(|publisher| publisher.log()).unwrap_or_default(),
    })
}
