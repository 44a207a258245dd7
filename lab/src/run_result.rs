//! Tables and charts of results: JSON and CSV for scripts, SVG for readers. It owns their form, and the
//! note of what made them: command, machine's size, revision.

use crate::play::Figures;
use plotters::prelude::*;
use serde::{Deserialize, Serialize};
use std::path::Path;

/// A kept result.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RunResult {
    /// The command that made it.
    pub command: String,
    /// The machine's size.
    pub machine: String,
    /// The revision of the program, as git tells it.
    pub revision: String,
    /// The figures.
    pub figures: Figures,
}

impl RunResult {
    /// Notes what made these figures.
    pub fn new(figures: Figures) -> RunResult {
        let git = std::process::Command::new("git").args(["describe", "--always", "--dirty"]).output();
        let revision = git.ok().filter(|out| out.status.success());
        let revision = revision.map(|out| String::from_utf8_lossy(&out.stdout).trim().to_owned());
        let cores = std::thread::available_parallelism().map_or(0, usize::from);
        let memory = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
        let kib = memory.lines().next().and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
        let own = std::env::args().next().unwrap_or_default();
        let name = Path::new(&own).file_name().map(|n| n.to_string_lossy().into_owned());
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
        let told = |e: &dyn std::fmt::Display| format!("{}: {e}", folder.display());
        std::fs::create_dir_all(folder).map_err(|e| told(&e))?;
        let json = serde_json::to_string_pretty(self).map_err(|e| told(&e))?;
        std::fs::write(folder.join("result.json"), json + "\n").map_err(|e| told(&e))?;
        let mut csv = csv::Writer::from_path(folder.join("figures.csv")).map_err(|e| told(&e))?;
        csv.write_record(["phase", "figure", "value"]).map_err(|e| told(&e))?;
        for (name, value) in &self.figures.values {
            let (phase, figure) = name.split_once('.').unwrap_or(("", name));
            csv.write_record([phase, figure, &value.to_string()]).map_err(|e| told(&e))?;
        }
        csv.flush().map_err(|e| told(&e))
    }

    /// Reads a folder's `result.json`.
    ///
    /// # Errors
    ///
    /// Names the file and what is wrong with it.
    pub fn read(folder: &Path) -> Result<RunResult, String> {
        let path = folder.join("result.json");
        let text = std::fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))?;
        serde_json::from_str(&text).map_err(|e| format!("{}: {e}", path.display()))
    }

    /// Draws `latency.svg`: the time within which a share of the requests was served, a line a phase.
    ///
    /// # Errors
    ///
    /// Says why the chart could not be drawn.
    pub fn draw(&self, folder: &Path) -> Result<(), String> {
        let path = folder.join("latency.svg");
        draw(self, &path).map_err(|e| format!("{}: {e}", path.display()))
    }
}

fn draw(kept: &RunResult, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let lines = &kept.figures.latency;
    let most = lines.values().flatten().map(|point| point.1).fold(1.0, f64::max);
    let area = SVGBackend::new(path, (860, 480)).into_drawing_area();
    area.fill(&WHITE)?;
    let title = format!("Latency from the intended time ({}, {})", kept.revision, kept.machine);
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..100.0, (0.1..most * 1.2).log_scale())?;
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
