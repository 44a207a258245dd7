//! The rows of the result tables, and how tables are printed and written.

use serde::Serialize;
use std::path::Path;

/// One kind of step at one point of the sweep. Times are in nanoseconds.
#[derive(Serialize)]
pub struct Point {
    pub quantity: &'static str,
    pub value: usize,
    pub seed: u64,
    pub kind: &'static str,
    pub steps: u64,
    pub mean: f64,
    pub p50: u64,
    pub p99: u64,
    pub max: u64,
}

/// The memory of a core's state and the cost per request, at one point of the sweep.
#[derive(Serialize)]
pub struct State {
    pub quantity: &'static str,
    pub value: usize,
    pub seed: u64,
    pub bytes: usize,
    pub kept: usize,
    pub steps_per_request: f64,
    pub refused: u64,
    pub micros_per_request: f64,
}

/// The cost of a dispatcher without requests, per second.
#[derive(Serialize)]
pub struct Idle {
    pub runners: usize,
    pub dispatchers: usize,
    pub wakes: f64,
    pub probes: f64,
    pub timer_micros: f64,
    pub probe_micros: f64,
    pub bytes: usize,
}

/// A fitted line, `start + slope * value`, of one measured value over one quantity.
#[derive(Serialize)]
pub struct Slope {
    pub quantity: &'static str,
    pub kind: String,
    pub start: f64,
    pub slope: f64,
    pub r2: f64,
    pub residual: f64,
}

/// Rounds to four decimal places: the measurements are not more precise.
pub fn rounded(value: f64) -> f64 {
    (value * 1e4).round() / 1e4
}

/// Prints rows as a table, and writes them as CSV if a folder is given.
pub fn table<T: Serialize>(folder: Option<&Path>, name: &str, rows: &[T]) -> Result<(), csv::Error> {
    let mut writer = csv::Writer::from_writer(Vec::new());
    rows.iter().try_for_each(|row| writer.serialize(row))?;
    let text = writer.into_inner().map_err(|e| csv::Error::from(std::io::Error::other(e.to_string())))?;
    if let Some(folder) = folder {
        std::fs::write(folder.join(format!("{name}.csv")), &text)?;
    }
    println!("{name}");
    for row in csv::ReaderBuilder::new().has_headers(false).from_reader(&text[..]).into_records() {
        let cells: Vec<_> = row?.iter().map(|cell| format!("{cell:>19}")).collect();
        println!("{}", cells.join(" "));
    }
    println!();
    Ok(())
}
