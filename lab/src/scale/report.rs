//! Writes the results of a scale run: `points.csv`, `fits.csv`, a page with tables, and for each figure a
//! chart with a panel for each series.

use super::figures::Values;
use super::fit::{axis_figure, by_point, fit, series_names};
use crate::run_result::RunResult;
use plotters::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::path::Path;

/// The figures in the page's tables and in the charts, with their titles.
const SHOWN: [(&str, &str); 21] = [
    ("real.cpu_pct", "real dispatcher, % of a core"),
    ("hollow.cpu_pct", "hollow dispatcher, % of a core"),
    ("real.rss_mb", "real dispatcher, resident MiB"),
    ("real.anon_mb", "real dispatcher, MiB of its own"),
    ("hollow.anon_mb", "hollow dispatcher, MiB of its own"),
    ("real.descriptors", "real dispatcher, descriptors"),
    ("control.real.bytes_per_s", "control, real dispatcher, bytes a second"),
    ("control.hollow.bytes_per_s", "control, hollow dispatcher, bytes a second"),
    ("control.real.bytes_probes_per_s", "probes of a real dispatcher, bytes a second"),
    ("control.real.bytes_changes_per_s", "changes told to a real dispatcher, bytes a second"),
    ("control.real.bytes_settings_per_s", "settings handed to a real dispatcher, bytes a second"),
    ("dispatchers.decision.all.p99_us", "one decision at the 99th percentile, us"),
    ("dispatchers.decision.all.mean_us", "one decision, mean, us"),
    ("discovery.cpu_pct", "discovery, % of a core"),
    ("discovery.rss_mb", "discovery, resident MiB"),
    ("runners.cpu_pct", "all runners, % of a core"),
    ("start.urgent_within_1300_ms_share", "urgent started within 1.3 s, share"),
    ("start.urgent_p99_ms", "urgent start, 99th percentile, ms"),
    ("changes.real.list_last_ms", "change of the list to the last real one, ms"),
    ("changes.hollow.list_last_ms", "change of the list to the last hollow one, ms"),
    ("changes.hollow.settings_last_ms", "change of settings to the last hollow one, ms"),
];

/// Whether a result is that of a scale run.
pub fn is_scale(result: &RunResult) -> bool {
    result.figures.values.keys().any(|name| name.ends_with(".size.runners"))
}

/// Writes all tables and charts into a folder.
///
/// # Errors
///
/// Names the file that could not be written.
pub fn write(result: &RunResult, folder: &Path) -> Result<(), String> {
    let points = by_point(&result.figures.values);
    let in_file = |name: &str, e: &dyn std::fmt::Display| format!("{}: {e}", folder.join(name).display());
    std::fs::create_dir_all(folder).map_err(|e| in_file("", &e))?;
    let json = serde_json::to_string_pretty(result).map_err(|e| in_file("result.json", &e))?;
    std::fs::write(folder.join("result.json"), json + "\n").map_err(|e| in_file("result.json", &e))?;
    points_csv(&points, &folder.join("points.csv")).map_err(|e| in_file("points.csv", &e))?;
    fits_csv(&points, &folder.join("fits.csv")).map_err(|e| in_file("fits.csv", &e))?;
    std::fs::write(folder.join("README.md"), results_page(result, &points))
        .map_err(|e| in_file("README.md", &e))?;
    draw(result, folder)
}

/// Draws the charts.
///
/// # Errors
///
/// Names the chart that could not be drawn.
pub fn draw(result: &RunResult, folder: &Path) -> Result<(), String> {
    let points = by_point(&result.figures.values);
    for (figure, title) in SHOWN {
        if fit(&points, "all", figure).is_none() {
            continue;
        }
        let path = folder.join(format!("{}.svg", figure.replace('.', "-")));
        draw_chart(&points, figure, title, &path).map_err(|e| format!("{}: {e}", path.display()))?;
    }
    Ok(())
}

fn points_csv(points: &BTreeMap<String, Values>, path: &Path) -> Result<(), csv::Error> {
    let figures: BTreeSet<_> = points.values().flat_map(BTreeMap::keys).collect();
    let mut csv = csv::Writer::from_path(path)?;
    csv.write_record(std::iter::once("figure").chain(points.keys().map(String::as_str)))?;
    for figure in figures {
        let value =
            |values: &Values| values.get(figure).map(|value| format!("{value:.4}")).unwrap_or_default();
        csv.write_record(std::iter::once(figure.clone()).chain(points.values().map(value)))?;
    }
    Ok(csv.flush()?)
}

fn fits_csv(points: &BTreeMap<String, Values>, path: &Path) -> Result<(), csv::Error> {
    let figures: BTreeSet<_> = points.values().flat_map(BTreeMap::keys).collect();
    let mut csv = csv::Writer::from_path(path)?;
    csv.write_record([
        "quantity",
        "figure",
        "points",
        "slope",
        "intercept",
        "r2",
        "largest_residual",
        "verdict",
        "unit_of_quantity",
    ])?;
    for quantity in series_names() {
        for figure in figures.iter().filter(|figure| !figure.starts_with("size.")) {
            let Some(fit) = fit(points, quantity, figure) else { continue };
            csv.write_record([
                quantity.to_owned(),
                (*figure).clone(),
                fit.points.len().to_string(),
                format!("{:.6}", fit.slope),
                format!("{:.4}", fit.intercept),
                format!("{:.3}", fit.r2),
                format!("{:.4}", fit.residual),
                fit.verdict().to_owned(),
                axis_figure(quantity).to_owned(),
            ])?;
        }
    }
    Ok(csv.flush()?)
}

fn results_page(result: &RunResult, points: &BTreeMap<String, Values>) -> String {
    let mut page = String::from("# The scale run\n\n");
    let _ = writeln!(
        page,
        "Made by `{}` at revision {} on a machine of {}. `points.csv` has every figure of every point, `fits.csv` \
         every straight line (least squares) with its R2 and largest residual. [docs/LAB.md](../../docs/LAB.md) \
         says what the figures are.\n",
        result.command, result.revision, result.machine
    );
    let sizes = ["size.runners", "size.dispatchers", "size.running"].map(|figure| (figure, figure));
    let _ = writeln!(page, "| point | runners | dispatchers | running |{}", column_numbers());
    let _ = writeln!(page, "|{}", " --- |".repeat(4 + SHOWN.len()));
    for (point, values) in points.iter().filter(|(_, values)| values.contains_key("size.runners")) {
        let cell = |(figure, _): &(&str, &str)| {
            values.get(*figure).map_or("-".to_owned(), |value| format_short(*value))
        };
        let cells: Vec<_> = sizes.iter().chain(&SHOWN).map(cell).collect();
        let _ = writeln!(page, "| {point} | {} |", cells.join(" | "));
    }
    let _ = writeln!(page, "\nColumns after the sizes:\n");
    for (number, (figure, title)) in SHOWN.iter().enumerate() {
        let _ = writeln!(page, "{}. {title} (`{figure}`)", number + 1);
    }
    let _ = writeln!(
        page,
        "\n## Slopes\n\n`no line` marks a figure that varies by more than a tenth and of whose \
        variance a line explains less than 0.9; `flat` one that varies by less than a tenth.\n"
    );
    let _ = writeln!(page, "| figure | with | slope | at none | R2 | largest residual | verdict |");
    let _ = writeln!(page, "|{}", " --- |".repeat(7));
    for (figure, _) in SHOWN {
        for quantity in series_names() {
            let Some(fit) = fit(points, quantity, figure) else { continue };
            let (slope, intercept, residual) =
                (format_short(fit.slope), format_short(fit.intercept), format_short(fit.residual));
            let verdict = fit.verdict();
            let _ = writeln!(
                page,
                "| {figure} | {quantity} | {slope} | {intercept} | {:.2} | {residual} | {verdict} |",
                fit.r2
            );
        }
    }
    page
}

fn column_numbers() -> String {
    (1..=SHOWN.len()).map(|number| format!(" {number} |")).collect()
}

fn format_short(value: f64) -> String {
    match value.abs() {
        0.0 => "0".to_owned(),
        size if size >= 100.0 => format!("{value:.0}"),
        size if size >= 1.0 => format!("{value:.1}"),
        size if size >= 0.01 => format!("{value:.3}"),
        _ => format!("{value:.2e}"),
    }
}

fn draw_chart(
    points: &BTreeMap<String, Values>,
    figure: &str,
    title: &str,
    path: &Path,
) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(path, (1020, 560)).into_drawing_area();
    area.fill(&WHITE)?;
    let area = area.titled(title, ("sans-serif", 18))?;
    for (panel, quantity) in area.split_evenly((2, 3)).iter().zip(series_names()) {
        let Some(fit) = fit(points, quantity, figure) else { continue };
        let max = |of: fn(&(f64, f64)) -> f64| fit.points.iter().map(of).fold(1e-9, f64::max) * 1.15;
        let (right, top) = (max(|point| point.0), max(|point| point.1));
        let caption =
            format!("{quantity}: {} each, R2 {:.2}, {}", format_short(fit.slope), fit.r2, fit.verdict());
        let mut chart = ChartBuilder::on(panel)
            .caption(caption, ("sans-serif", 13))
            .margin(8)
            .x_label_area_size(32)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..right, 0.0..top)?;
        let axis = if quantity == "all" { "runners (all in proportion)" } else { quantity };
        chart.configure_mesh().x_labels(5).y_labels(5).x_desc(axis).draw()?;
        let ends = [0.0, right].map(|x| (x, (fit.intercept + fit.slope * x).clamp(0.0, top)));
        chart.draw_series(LineSeries::new(ends, BLUE.stroke_width(1)))?;
        chart.draw_series(fit.points.iter().map(|point| Circle::new(*point, 3, RED.filled())))?;
    }
    area.present()?;
    Ok(())
}
