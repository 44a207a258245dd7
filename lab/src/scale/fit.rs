//! Least-squares lines through the points of a sweep and how well they fit. Contains no I/O.

use super::figures::Values;
use super::plan::QUANTITIES;
use std::collections::BTreeMap;

/// A figure whose range is at most this part of its mean is flat: the slope of a line would mean nothing.
const FLAT_RANGE: f64 = 0.1;
/// The least R2 at which a figure counts as linear.
const MIN_R2: f64 = 0.9;

/// A straight line fitted to points.
#[derive(Clone, Debug, PartialEq)]
pub struct Fit {
    /// The growth of the figure with one unit of the quantity.
    pub slope: f64,
    /// The figure at a quantity of zero.
    pub intercept: f64,
    /// The coefficient of determination: the part of the variance that the line explains.
    pub r2: f64,
    /// The largest vertical distance of a point from the line.
    pub residual: f64,
    /// The points, as `(quantity, figure)`.
    pub points: Vec<(f64, f64)>,
}

/// Fits a line by ordinary least squares: slope = sum((x - mean_x)(y - mean_y)) / sum((x - mean_x)^2),
/// through the point of both means. Returns `None` for fewer than three points, or if all have the same x.
pub fn least_squares(points: &[(f64, f64)]) -> Option<Fit> {
    let count = points.len() as f64;
    let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
    let (mean_x, mean_y) = (mean(|point| point.0), mean(|point| point.1));
    let x_spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    if points.len() < 3 || x_spread <= 0.0 {
        return None;
    }
    let slope = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum::<f64>() / x_spread;
    let intercept = mean_y - slope * mean_x;
    let residual_of = |(x, y): &(f64, f64)| y - (intercept + slope * x);
    let residual_sum: f64 = points.iter().map(|point| residual_of(point).powi(2)).sum();
    let total_sum: f64 = points.iter().map(|(_, y)| (y - mean_y).powi(2)).sum();
    let r2 = if total_sum > 0.0 { 1.0 - residual_sum / total_sum } else { 1.0 };
    let residual = points.iter().map(|point| residual_of(point).abs()).fold(0.0, f64::max);
    Some(Fit { slope, intercept, r2, residual, points: points.to_vec() })
}

impl Fit {
    /// Classifies the fit as `flat`, `line` or `no line`.
    pub fn verdict(&self) -> &'static str {
        let (mut min, mut max, mut sum) = (f64::INFINITY, f64::NEG_INFINITY, 0.0);
        for (_, y) in &self.points {
            (min, max, sum) = (min.min(*y), max.max(*y), sum + y.abs());
        }
        match sum / self.points.len() as f64 {
            mean if max - min <= mean * FLAT_RANGE => "flat",
            _ if self.r2 >= MIN_R2 => "line",
            _ => "no line",
        }
    }
}

/// Groups figures named `point.figure` by point.
pub fn by_point(values: &Values) -> BTreeMap<String, Values> {
    let mut points: BTreeMap<String, Values> = BTreeMap::new();
    for (name, value) in values {
        if let Some((point, figure)) = name.split_once('.') {
            points.entry(point.to_owned()).or_default().insert(figure.to_owned(), *value);
        }
    }
    points
}

/// Returns the name of the figure on a quantity's axis.
pub fn axis_figure(quantity: &str) -> &'static str {
    match quantity {
        "runners" => "size.runners",
        "dispatchers" => "size.dispatchers",
        "tenants" => "size.tenants",
        "running" => "size.running",
        "changes" => "size.changes_per_s",
        // `all` varies every quantity in proportion; the number of runners stands for them.
        _ => "size.runners",
    }
}

/// Returns the points of a series, sorted by the quantity on its axis: those named after the series and, for
/// a single quantity, also the point of `all` whose other quantities have the same sizes.
pub fn series<'a>(points: &'a BTreeMap<String, Values>, quantity: &str) -> Vec<(f64, &'a Values)> {
    let named = |name: &str, series: &str| {
        name.strip_prefix(series)
            .and_then(|rest| rest.strip_prefix('-'))
            .is_some_and(|p| p.parse::<f64>().is_ok())
    };
    let varied: Vec<_> =
        points.iter().filter(|(name, _)| named(name, quantity)).map(|(_, values)| values).collect();
    let others: Vec<_> =
        QUANTITIES.iter().filter(|other| **other != quantity).map(|q| axis_figure(q)).collect();
    let base = points.iter().filter(|(name, values)| {
        let same_others =
            |first: &&Values| others.iter().all(|figure| first.get(*figure) == values.get(*figure));
        quantity != "all" && named(name, "all") && varied.first().is_some_and(same_others)
    });
    let all = varied.iter().copied().chain(base.map(|(_, values)| values));
    let axis = axis_figure(quantity);
    let mut series: Vec<_> = all.filter_map(|values| Some((*values.get(axis)?, values))).collect();
    series.sort_by(|one, other| one.0.total_cmp(&other.0));
    series
}

/// Fits a figure against a quantity.
pub fn fit(points: &BTreeMap<String, Values>, quantity: &str, figure: &str) -> Option<Fit> {
    let series = series(points, quantity);
    let points: Vec<_> = series.iter().filter_map(|(x, values)| Some((*x, *values.get(figure)?))).collect();
    least_squares(&points)
}

/// Returns the names of all series: `all`, and each quantity.
pub fn series_names() -> impl Iterator<Item = &'static str> {
    std::iter::once("all").chain(QUANTITIES)
}
