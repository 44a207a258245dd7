//! A scale run or its check: selects the points, checks the machine's capacity, plays the points in order and
//! collects their figures.

use super::figures::figures;
use super::machine::{Machine, raise_descriptors};
use super::plan::Plan;
use super::play::{PlayOptions, play_point};
use super::point::Point;
use super::record_reader::Records;
use crate::play::{Figures, remove_sections};
use std::path::Path;

/// The options of a command.
#[derive(Clone, Debug, Default)]
pub struct RunOptions {
    /// The factor for all sizes, in place of the file's.
    pub size: Option<f64>,
    /// The seed, in place of the file's.
    pub seed: Option<u64>,
    /// The points to play; all if empty.
    pub points: Vec<String>,
    /// Sections to leave out of the operator's file.
    pub switch_off: Vec<String>,
    /// Whether to play only the points of the check.
    pub check: bool,
}

/// Plays the points. `tick` is called with the point's name and the progress of the run, `on_figures` with
/// all figures so far after each point.
///
/// # Errors
///
/// Names what the machine lacks, or the process that failed.
pub async fn run_session(
    plan: &Plan,
    options: &RunOptions,
    folder: &Path,
    tick: impl Fn(&str, f64),
    on_figures: impl Fn(&Figures) -> Result<(), String>,
) -> Result<Figures, String> {
    let factor = options.size.unwrap_or(if options.check { plan.size } else { 1.0 });
    if !(factor > 0.0 && factor.is_finite()) {
        return Err(format!("--size: {factor}; more than 0, e.g. 1/32"));
    }
    let points = selected_points(plan, options)?;
    raise_descriptors();
    let machine = Machine::inspect()?;
    points
        .iter()
        .try_for_each(|point| machine.check_capacity(plan, point, &point.quantities(plan, factor)))?;
    let operator = remove_sections(&plan.control.operator, &options.switch_off)?;
    let seed = options.seed.unwrap_or(plan.seed);
    // About 7 s go to the start of the processes, the startup time and the grace time.
    let length = |point: &Point| point.fill_s + point.rest_s + point.measured_s + 7.0;
    let total: f64 = points.iter().map(length).sum();
    let (mut figures_so_far, mut elapsed) = (Figures::default(), 0.0);
    for point in &points {
        let report_progress = |part: f64| tick(&point.name, (elapsed + part * length(point)) / total);
        let play_options = PlayOptions { factor, seed, folder, operator: &operator };
        let in_point = |e: String| format!("point {}: {e}", point.name);
        let played = play_point(plan, point, &play_options, report_progress).await.map_err(in_point)?;
        let mut records = Records::read(&played.layout.folder).map_err(in_point)?;
        let killed = played.faults.iter().flat_map(|fault| {
            fault.killed.iter().map(|dispatcher| (*dispatcher, fault.at_us, fault.back_us))
        });
        records.mark_lost(&killed.collect::<Vec<_>>());
        for (name, value) in figures(&played, &records) {
            figures_so_far.values.insert(format!("{}.{name}", point.name), value);
        }
        add_ratios(plan, &mut figures_so_far);
        on_figures(&figures_so_far)?;
        elapsed += length(point);
    }
    Ok(figures_so_far)
}

/// Returns the points to play.
fn selected_points(plan: &Plan, options: &RunOptions) -> Result<Vec<Point>, String> {
    let all = plan.points();
    if let Some(name) = options.points.iter().find(|name| all.iter().all(|point| point.name != **name)) {
        let names: Vec<_> = all.iter().map(|point| point.name.as_str()).collect();
        return Err(format!("--point: there is no {name:?}; there are: {}", names.join(", ")));
    }
    let wanted = |point: &Point| {
        if options.points.is_empty() {
            !options.check || point.check
        } else {
            options.points.contains(&point.name)
        }
    };
    Ok(all.into_iter().filter(wanted).collect())
}

/// Adds the ratios of hollow dispatchers' figures to those of real ones.
fn add_ratios(plan: &Plan, all: &mut Figures) {
    for compare in &plan.compare {
        let figures_of = |point: &str, source: &str| {
            let prefix = format!("{point}.");
            let figures = all.values.iter().filter_map(|(name, value)| {
                let figure = name.strip_prefix(&prefix)?;
                // The traffic source may be any of the name's words.
                let words: Vec<_> = figure.split('.').filter(|word| *word != source).collect();
                (words.len() < figure.split('.').count()).then(|| (words.join("."), *value))
            });
            figures.collect::<std::collections::BTreeMap<_, _>>()
        };
        let (real, hollow) = (figures_of(&compare.real, "real"), figures_of(&compare.hollow, "hollow"));
        for (name, real) in real {
            if let Some(hollow) = hollow.get(&name).filter(|_| real != 0.0) {
                all.values.insert(format!("{}.{name}", compare.name), hollow / real);
            }
        }
    }
}

/// Parses a size of the command line: a decimal, or a fraction such as 1/32.
///
/// # Errors
///
/// Names the values it may have.
pub fn parse_size(text: &str) -> Result<f64, String> {
    let number = |text: &str| text.trim().parse::<f64>().ok();
    let size = match text.split_once('/') {
        Some((numerator, denominator)) => {
            number(numerator).zip(number(denominator)).map(|(numerator, denominator)| numerator / denominator)
        }
        None => number(text),
    };
    size.filter(|size| *size > 0.0 && size.is_finite())
        .ok_or_else(|| "more than 0, e.g. 1/32 or 0.5".to_owned())
}
