//! The part of the scale run that plays all hollow runners in one process: converts the run's layout and
//! commands for the stand-ins and records when requests start.

use super::part;
use super::protocol::{
    Command, Counts, Layout, PartitionDirection, Ready, Setup, Start, control_view, now_us, view,
};
use sablerun_stand_ins::hollow::{Dispatcher, Partition, RunnerSpec, Runners, View, profile::Profile};
use sablerun_stand_ins::metrics::TrafficSource;
use std::fs::File;
use std::sync::{Arc, Mutex};

/// Threads that serve all runners.
const WORKERS: usize = 2;

/// The file of starts, and the first error in writing it.
struct StartLog {
    writer: csv::Writer<File>,
    error: Option<String>,
}

type SharedStartLog = Arc<Mutex<StartLog>>;

/// Plays the part until standard input ends.
///
/// # Errors
///
/// If it could not start.
pub fn run() -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(WORKERS).enable_all().build();
    runtime.map_err(|e| e.to_string())?.block_on(part::run(start, execute))
}

/// Returns the views in the order of the run's numbers.
pub(super) fn views(layout: &Layout) -> Vec<View> {
    let regions = layout.zones.iter().map(|zone| zone.region + 1).max().unwrap_or(0);
    let mut views = vec![View { region: 0, source: TrafficSource::Control }; control_view(regions) + 1];
    for region in 0..regions {
        for hollow in [false, true] {
            views[view(region, hollow)] = View { region, source: TrafficSource::of_dispatcher(hollow) };
        }
    }
    views
}

/// Returns the region of a zone.
pub(super) fn region(layout: &Layout, zone: usize) -> Result<usize, String> {
    layout.zones.get(zone).map(|zone| zone.region).ok_or_else(|| format!("layout: there is no zone {zone}"))
}

async fn start(setup: Setup) -> Result<((Runners, SharedStartLog), Ready), String> {
    let layout = setup.layout;
    let path = layout.folder.join("starts.csv");
    let writer = csv::Writer::from_path(&path).map_err(|e| format!("{}: {e}", path.display()))?;
    let starts = Arc::new(Mutex::new(StartLog { writer, error: None }));
    let specs = layout.runners.iter().map(|runner| {
        let region = region(&layout, runner.zone)?;
        Ok(RunnerSpec { name: runner.name.clone(), region, slots: runner.slots })
    });
    let dispatchers = layout.dispatchers.iter().map(|dispatcher| {
        let view = view(region(&layout, dispatcher.zone)?, dispatcher.hollow);
        Ok(Dispatcher { callback_address: dispatcher.listen, view })
    });
    let specs = specs.collect::<Result<Vec<_>, String>>()?;
    let dispatchers = dispatchers.collect::<Result<Vec<_>, String>>()?;
    let log = starts.clone();
    let on_start = Box::new(move |id: &str, runner| {
        let row = Start { id: id.to_owned(), at_us: now_us(), runner };
        let mut log = log.lock().expect("no holder panics");
        if let Err(e) = log.writer.serialize(row) {
            log.error.get_or_insert(e.to_string());
        }
    });
    let profile = Profile::from_settings(&layout.settings);
    let runners = Runners::start(&specs, &views(&layout), &dispatchers, profile, on_start).await;
    let runners = runners.map_err(|e| format!("runners: {e}"))?;
    let ready = Ready { dial: runners.addresses(), ..Ready::default() };
    Ok(((runners, starts), ready))
}

async fn execute(
    (runners, starts): &mut (Runners, SharedStartLog),
    command: Command,
) -> Result<Counts, String> {
    match command {
        Command::RunnersDown { runners: which } => runners.crash(&which).await.map_err(|e| e.to_string())?,
        Command::RunnersUp { runners: which } => runners.restart(&which).map_err(|e| e.to_string())?,
        Command::Link { cut } => runners.set_partition(cut.map(partition)),
        Command::End => {
            let mut log = starts.lock().expect("no holder panics");
            log.writer.flush().map_err(|e| format!("starts.csv: {e}"))?;
            if let Some(e) = &log.error {
                return Err(format!("starts.csv: {e}"));
            }
        }
        _ => {}
    }
    Ok(Counts { at_us: now_us(), values: runners.metrics().values(), ..Counts::default() })
}

/// Converts the direction of a partition to the stand-ins' type.
pub(super) fn partition(direction: PartitionDirection) -> Partition {
    match direction {
        PartitionDirection::Both => Partition::BothDirections,
        PartitionDirection::Back => Partition::ToDispatchers,
    }
}
