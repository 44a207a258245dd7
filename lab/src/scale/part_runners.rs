//! The part of the scale run that plays all runners, hollow, in one process. It owns the way from the run's words
//! to the stand-ins' and the record of starts; it must never decide anything for a runner.

use super::part;
use super::words::{Begin, Command, Counts, Layout, Ready, Start, Way, control_view, now_us, view};
use sablerun_stand_ins::hollow::{Dispatcher, Partition, RunnerSpec, Runners, View, profile::Profile};
use sablerun_stand_ins::metrics::TrafficSource;
use std::fs::File;
use std::sync::{Arc, Mutex};

/// Threads that serve all runners.
const WORKERS: usize = 2;

/// The record of starts, and what went wrong first in writing it.
struct Record {
    writer: csv::Writer<File>,
    failed: Option<String>,
}

type Starts = Arc<Mutex<Record>>;

/// Plays the part until standard input ends.
///
/// # Errors
///
/// If it could not begin.
pub fn run() -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(WORKERS).enable_all().build();
    runtime.map_err(|e| e.to_string())?.block_on(part::run(begin, obey))
}

/// The views by number, as the run numbers them.
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

/// The region of a zone.
pub(super) fn region(layout: &Layout, zone: usize) -> Result<usize, String> {
    layout.zones.get(zone).map(|zone| zone.region).ok_or_else(|| format!("layout: there is no zone {zone}"))
}

async fn begin(told: Begin) -> Result<((Runners, Starts), Ready), String> {
    let layout = told.layout;
    let path = layout.folder.join("starts.csv");
    let writer = csv::Writer::from_path(&path).map_err(|e| format!("{}: {e}", path.display()))?;
    let starts = Arc::new(Mutex::new(Record { writer, failed: None }));
    let planned = layout.runners.iter().map(|runner| {
        let region = region(&layout, runner.zone)?;
        Ok(RunnerSpec { name: runner.name.clone(), region, slots: runner.slots })
    });
    let dispatchers = layout.dispatchers.iter().map(|dispatcher| {
        let view = view(region(&layout, dispatcher.zone)?, dispatcher.hollow);
        Ok(Dispatcher { callback_address: dispatcher.listen, view })
    });
    let planned = planned.collect::<Result<Vec<_>, String>>()?;
    let dispatchers = dispatchers.collect::<Result<Vec<_>, String>>()?;
    let record = starts.clone();
    let began = Box::new(move |id: &str, runner| {
        let start = Start { id: id.to_owned(), at_us: now_us(), runner };
        let mut record = record.lock().expect("no holder panics");
        if let Err(e) = record.writer.serialize(start) {
            record.failed.get_or_insert(e.to_string());
        }
    });
    let manner = Profile::from_settings(&layout.settings);
    let runners = Runners::start(&planned, &views(&layout), &dispatchers, manner, began).await;
    let runners = runners.map_err(|e| format!("runners: {e}"))?;
    let ready = Ready { dial: runners.addresses(), ..Ready::default() };
    Ok(((runners, starts), ready))
}

async fn obey((runners, starts): &mut (Runners, Starts), told: Command) -> Result<Counts, String> {
    match told {
        Command::RunnersDown { runners: which } => runners.crash(&which).await.map_err(|e| e.to_string())?,
        Command::RunnersUp { runners: which } => runners.restart(&which).map_err(|e| e.to_string())?,
        Command::Link { cut } => runners.set_partition(cut.map(cut_of)),
        Command::End => {
            let mut record = starts.lock().expect("no holder panics");
            record.writer.flush().map_err(|e| format!("starts.csv: {e}"))?;
            if let Some(e) = &record.failed {
                return Err(format!("starts.csv: {e}"));
            }
        }
        _ => {}
    }
    Ok(Counts { at_us: now_us(), values: runners.metrics().values(), ..Counts::default() })
}

/// A cut in the stand-ins' words.
pub(super) fn cut_of(way: Way) -> Partition {
    match way {
        Way::Both => Partition::BothDirections,
        Way::Back => Partition::ToDispatchers,
    }
}
