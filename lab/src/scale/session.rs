//! A whole scale run or check: which points are played and in which order, whether the machine bears them all, and
//! what is kept. It owns that; a point is played by `play`, and judged by the bounds of the file.

use super::figures::figures;
use super::joined::Records;
use super::machine::{Machine, raise_descriptors};
use super::plan::Plan;
use super::play::{How, play};
use super::point::Point;
use crate::play::{Figures, without};
use std::path::Path;

/// What a command says beside the file.
#[derive(Clone, Debug, Default)]
pub struct RunOptions {
    /// By what all sizes are multiplied, in place of the file's.
    pub size: Option<f64>,
    /// In place of the file's.
    pub seed: Option<u64>,
    /// Only these points.
    pub points: Vec<String>,
    /// Sections left out of the operator's file.
    pub switch_off: Vec<String>,
    /// Only the points of the check.
    pub check: bool,
}

/// Plays; `tick` hears the point's name and how far the whole run is, `kept` the figures after each point.
///
/// # Errors
///
/// Says what the machine does not bear, or which process failed.
pub async fn run_session(
    plan: &Plan,
    asked: &RunOptions,
    folder: &Path,
    tick: impl Fn(&str, f64),
    kept: impl Fn(&Figures) -> Result<(), String>,
) -> Result<Figures, String> {
    let factor = asked.size.unwrap_or(if asked.check { plan.size } else { 1.0 });
    if !(factor > 0.0 && factor.is_finite()) {
        return Err(format!("--size: {factor}; more than 0, e.g. 1/32"));
    }
    let points = chosen(plan, asked)?;
    raise_descriptors();
    let machine = Machine::look()?;
    points.iter().try_for_each(|point| machine.bears(plan, point, &point.numbers(plan, factor)))?;
    let operator = without(&plan.control.operator, &asked.switch_off)?;
    let seed = asked.seed.unwrap_or(plan.seed);
    let length = |point: &Point| point.fill_s + point.rest_s + point.measured_s + 7.0;
    let total: f64 = points.iter().map(length).sum();
    let (mut all, mut before) = (Figures::default(), 0.0);
    for point in &points {
        let told = |part: f64| tick(&point.name, (before + part * length(point)) / total);
        let how = How { factor, seed, folder, operator: &operator };
        let named = |e: String| format!("point {}: {e}", point.name);
        let played = play(plan, point, &how, told).await.map_err(named)?;
        let mut records = Records::read(&played.layout.folder).map_err(named)?;
        let killed = played.faults.iter().flat_map(|fault| {
            fault.killed.iter().map(|dispatcher| (*dispatcher, fault.at_us, fault.back_us))
        });
        records.lose(&killed.collect::<Vec<_>>());
        for (name, value) in figures(&played, &records) {
            all.values.insert(format!("{}.{name}", point.name), value);
        }
        compare(plan, &mut all);
        kept(&all)?;
        before += length(point);
    }
    Ok(all)
}

/// The points to play.
fn chosen(plan: &Plan, asked: &RunOptions) -> Result<Vec<Point>, String> {
    let all = plan.points();
    if let Some(name) = asked.points.iter().find(|name| all.iter().all(|point| point.name != **name)) {
        let names: Vec<_> = all.iter().map(|point| point.name.as_str()).collect();
        return Err(format!("--point: there is no {name:?}; there are: {}", names.join(", ")));
    }
    let wanted = |point: &Point| {
        if asked.points.is_empty() { !asked.check || point.check } else { asked.points.contains(&point.name) }
    };
    Ok(all.into_iter().filter(wanted).collect())
}

/// Figures of hollow dispatchers over those of real ones.
fn compare(plan: &Plan, all: &mut Figures) {
    for compare in &plan.compare {
        let own = |point: &str, side: &str| {
            let prefix = format!("{point}.");
            let figures = all.values.iter().filter_map(|(name, value)| {
                let figure = name.strip_prefix(&prefix)?;
                // The side is a word of its own anywhere in a figure's name.
                let words: Vec<_> = figure.split('.').filter(|word| *word != side).collect();
                (words.len() < figure.split('.').count()).then(|| (words.join("."), *value))
            });
            figures.collect::<std::collections::BTreeMap<_, _>>()
        };
        let (real, hollow) = (own(&compare.real, "real"), own(&compare.hollow, "hollow"));
        for (name, real) in real {
            if let Some(hollow) = hollow.get(&name).filter(|_| real != 0.0) {
                all.values.insert(format!("{}.{name}", compare.name), hollow / real);
            }
        }
    }
}

/// A size as a command says it: a decimal, or a fraction such as 1/32.
///
/// # Errors
///
/// Says what would do.
pub fn parse_size(text: &str) -> Result<f64, String> {
    let number = |text: &str| text.trim().parse::<f64>().ok();
    let size = match text.split_once('/') {
        Some((over, under)) => number(over).zip(number(under)).map(|(over, under)| over / under),
        None => number(text),
    };
    size.filter(|size| *size > 0.0 && size.is_finite())
        .ok_or_else(|| "more than 0, e.g. 1/32 or 0.5".to_owned())
}
