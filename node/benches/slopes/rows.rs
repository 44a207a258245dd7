//! The tables: their rows, how they are printed and written. It owns their form, not a figure in them.

use serde::Serialize;
use std::path::Path;

/// One kind of step at one point. Times in nanoseconds.
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

/// What the state of a core takes and what it is asked to do, at one point.
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

/// A dispatcher without requests, in a second of its time.
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

/// A straight line, `start + slope * value`, through one kind of figure of one quantity.
#[derive(Serialize)]
pub struct Slope {
    pub quantity: &'static str,
    pub kind: String,
    pub start: f64,
    pub slope: f64,
    pub r2: f64,
    pub residual: f64,
}

/// To four significant digits after the point at the most: what is measured is no more exact.
pub fn rounded(figure: f64) -> f64 {
    (figure * 1e4).round() / 1e4
}

/// Prints rows as a table, and writes them as CSV where there is a folder.
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
