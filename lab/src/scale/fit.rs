//! Straight lines through a sweep's points, by ordinary least squares, and how well they fit. It owns that
//! reckoning and the choice of a series' points; it must never read or write anything.

use super::figures::Values;
use super::plan::QUANTITIES;
use std::collections::BTreeMap;

/// Figures that vary by less than this part of their mean are flat: a line says nothing then.
const FLAT: f64 = 0.1;
/// A line that explains less than this part of the variance is none.
const STRAIGHT: f64 = 0.9;

/// A straight line.
#[derive(Clone, Debug, PartialEq)]
pub struct Fit {
    /// By how much the figure grows with one more.
    pub slope: f64,
    /// What is left at none.
    pub intercept: f64,
    /// Part of the variance that the line explains.
    pub r2: f64,
    /// Largest distance of a point from the line.
    pub residual: f64,
    /// The points.
    pub points: Vec<(f64, f64)>,
}

/// The line of least squares: slope = sum((x - mx)(y - my)) / sum((x - mx)^2), through the point of both means.
/// None with fewer than three points, or without any spread of x.
pub fn line(points: &[(f64, f64)]) -> Option<Fit> {
    let many = points.len() as f64;
    let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / many;
    let (mx, my) = (mean(|point| point.0), mean(|point| point.1));
    let sxx: f64 = points.iter().map(|(x, _)| (x - mx).powi(2)).sum();
    if points.len() < 3 || sxx <= 0.0 {
        return None;
    }
    let slope = points.iter().map(|(x, y)| (x - mx) * (y - my)).sum::<f64>() / sxx;
    let intercept = my - slope * mx;
    let off = |(x, y): &(f64, f64)| y - (intercept + slope * x);
    let left: f64 = points.iter().map(|point| off(point).powi(2)).sum();
    let all: f64 = points.iter().map(|(_, y)| (y - my).powi(2)).sum();
    let r2 = if all > 0.0 { 1.0 - left / all } else { 1.0 };
    let residual = points.iter().map(|point| off(point).abs()).fold(0.0, f64::max);
    Some(Fit { slope, intercept, r2, residual, points: points.to_vec() })
}

impl Fit {
    /// What the line is worth: `flat`, `line`, or `no line`.
    pub fn verdict(&self) -> &'static str {
        let (mut least, mut most, mut sum) = (f64::INFINITY, f64::NEG_INFINITY, 0.0);
        for (_, y) in &self.points {
            (least, most, sum) = (least.min(*y), most.max(*y), sum + y.abs());
        }
        match sum / self.points.len() as f64 {
            mean if most - least <= mean * FLAT => "flat",
            _ if self.r2 >= STRAIGHT => "line",
            _ => "no line",
        }
    }
}

/// Figures by point, out of `point.figure`.
pub fn by_point(values: &Values) -> BTreeMap<String, Values> {
    let mut points: BTreeMap<String, Values> = BTreeMap::new();
    for (name, value) in values {
        if let Some((point, figure)) = name.split_once('.') {
            points.entry(point.to_owned()).or_default().insert(figure.to_owned(), *value);
        }
    }
    points
}

/// The unit of a quantity's axis.
pub fn figure_of(quantity: &str) -> &'static str {
    match quantity {
        "runners" => "size.runners",
        "dispatchers" => "size.dispatchers",
        "tenants" => "size.tenants",
        "running" => "size.running",
        "changes" => "size.changes_per_s",
        // All together are told by their runners.
        _ => "size.runners",
    }
}

/// The points of a series, by the quantity on its axis: those named after it, and for one quantity alone the one
/// of `all` whose other quantities are the same.
pub fn series<'a>(points: &'a BTreeMap<String, Values>, quantity: &str) -> Vec<(f64, &'a Values)> {
    let named = |name: &str, series: &str| {
        name.strip_prefix(series)
            .and_then(|rest| rest.strip_prefix('-'))
            .is_some_and(|p| p.parse::<f64>().is_ok())
    };
    let own: Vec<_> =
        points.iter().filter(|(name, _)| named(name, quantity)).map(|(_, values)| values).collect();
    let others: Vec<_> =
        QUANTITIES.iter().filter(|other| **other != quantity).map(|q| figure_of(q)).collect();
    let base = points.iter().filter(|(name, values)| {
        let alike = |first: &&Values| others.iter().all(|figure| first.get(*figure) == values.get(*figure));
        quantity != "all" && named(name, "all") && own.first().is_some_and(alike)
    });
    let all = own.iter().copied().chain(base.map(|(_, values)| values));
    let axis = figure_of(quantity);
    let mut series: Vec<_> = all.filter_map(|values| Some((*values.get(axis)?, values))).collect();
    series.sort_by(|one, other| one.0.total_cmp(&other.0));
    series
}

/// The fit of a figure against a quantity.
pub fn fit(points: &BTreeMap<String, Values>, quantity: &str, figure: &str) -> Option<Fit> {
    let series = series(points, quantity);
    let points: Vec<_> = series.iter().filter_map(|(x, values)| Some((*x, *values.get(figure)?))).collect();
    line(&points)
}

/// All series' names: all together, and each quantity alone.
pub fn series_names() -> impl Iterator<Item = &'static str> {
    std::iter::once("all").chain(QUANTITIES)
}
