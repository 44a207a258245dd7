//! Stored results: the figures with the command, machine size and revision that produced them, as JSON and
//! CSV for scripts and as an SVG chart for readers.

use crate::play::Figures;
use plotters::prelude::*;
use serde::{Deserialize, Serialize};
use std::path::Path;

/// The result of a run, as it is stored.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RunResult {
    /// The command line that produced it.
    pub command: String,
    /// The size of the machine: cores and memory.
    pub machine: String,
    /// The revision of the program, from `git describe`.
    pub revision: String,
    /// The figures.
    pub figures: Figures,
}

impl RunResult {
    /// Adds the command line, machine size and revision to figures.
    pub fn new(figures: Figures) -> RunResult {
        let git = std::process::Command::new("git").args(["describe", "--always", "--dirty"]).output();
        let revision = git.ok().filter(|out| out.status.success());
        let revision = revision.map(|out| String::from_utf8_lossy(&out.stdout).trim().to_owned());
        let cores = std::thread::available_parallelism().map_or(0, usize::from);
        let memory = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
        let kib = memory.lines().next().and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
        let program = std::env::args().next().unwrap_or_default();
        let name = Path::new(&program).file_name().map(|n| n.to_string_lossy().into_owned());
        let command = name.into_iter().chain(std::env::args().skip(1)).collect::<Vec<_>>().join(" ");
        RunResult {
            command,
            machine: format!("{cores} cores, {} GiB", kib.unwrap_or(0) >> 20),
            revision: revision.unwrap_or_else(|| "unknown".to_owned()),
            figures,
        }
    }

    /// Writes `result.json` and `figures.csv` into a folder.
    ///
    /// # Errors
    ///
    /// Names the file that could not be written.
    pub fn write(&self, folder: &Path) -> Result<(), String> {
        let in_folder = |e: &dyn std::fmt::Display| format!("{}: {e}", folder.display());
        std::fs::create_dir_all(folder).map_err(|e| in_folder(&e))?;
        let json = serde_json::to_string_pretty(self).map_err(|e| in_folder(&e))?;
        std::fs::write(folder.join("result.json"), json + "\n").map_err(|e| in_folder(&e))?;
        let mut csv = csv::Writer::from_path(folder.join("figures.csv")).map_err(|e| in_folder(&e))?;
        csv.write_record(["phase", "figure", "value"]).map_err(|e| in_folder(&e))?;
        for (name, value) in &self.figures.values {
            let (phase, figure) = name.split_once('.').unwrap_or(("", name));
            csv.write_record([phase, figure, &value.to_string()]).map_err(|e| in_folder(&e))?;
        }
        csv.flush().map_err(|e| in_folder(&e))
    }

    /// Reads a folder's `result.json`.
    ///
    /// # Errors
    ///
    /// Names the file and the cause.
    pub fn read(folder: &Path) -> Result<RunResult, String> {
        let path = folder.join("result.json");
        let text = std::fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))?;
        serde_json::from_str(&text).map_err(|e| format!("{}: {e}", path.display()))
    }

    /// Draws `latency.svg`: the time within which a share of the requests was served, a line for each phase.
    ///
    /// # Errors
    ///
    /// The cause, if the chart could not be drawn.
    pub fn draw(&self, folder: &Path) -> Result<(), String> {
        let path = folder.join("latency.svg");
        draw(self, &path).map_err(|e| format!("{}: {e}", path.display()))
    }
}

fn draw(result: &RunResult, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let lines = &result.figures.latency;
    let max_ms = lines.values().flatten().map(|point| point.1).fold(1.0, f64::max);
    let area = SVGBackend::new(path, (860, 480)).into_drawing_area();
    area.fill(&WHITE)?;
    let title = format!("Latency from the intended time ({}, {})", result.revision, result.machine);
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..100.0, (0.1..max_ms * 1.2).log_scale())?;
    chart.configure_mesh().x_desc("requests served, %").y_desc("within, ms").draw()?;
    for (number, (phase, points)) in lines.iter().enumerate() {
        let colour = Palette99::pick(number).to_rgba();
        let points = points.iter().map(|(share, ms)| (*share, ms.max(0.1)));
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
            .label(phase.as_str())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour));
    }
    chart.configure_series_labels().border_style(BLACK).background_style(WHITE.mix(0.8)).draw()?;
    area.present()?;
    Ok(())
}
