//! Fits a straight line to points by least squares.

/// The line `y = start + slope * x`, the share of the variance that it explains, and the largest residual.
#[derive(Clone, Copy, Debug)]
pub struct Fit {
    pub start: f64,
    pub slope: f64,
    pub r2: f64,
    pub residual: f64,
}

impl Fit {
    /// Fits the line to points with at least two different `x`.
    pub fn of(points: &[(f64, f64)]) -> Fit {
        let n = points.len() as f64;
        let (x, y) = points.iter().fold((0.0, 0.0), |(x, y), p| (x + p.0 / n, y + p.1 / n));
        let spread = |a: fn(&(f64, f64)) -> f64, b: fn(&(f64, f64)) -> f64, (ma, mb): (f64, f64)| {
            points.iter().map(|p| (a(p) - ma) * (b(p) - mb)).sum::<f64>()
        };
        let (xx, xy) = (spread(|p| p.0, |p| p.0, (x, x)), spread(|p| p.0, |p| p.1, (x, y)));
        let yy = spread(|p| p.1, |p| p.1, (y, y));
        let slope = xy / xx;
        let start = y - slope * x;
        let distance = |p: &(f64, f64)| p.1 - start - slope * p.0;
        let residual_sum: f64 = points.iter().map(|p| distance(p).powi(2)).sum();
        let residual = points.iter().map(|p| distance(p).abs()).fold(0.0, f64::max);
        // All `y` are equal: there is no variance to explain.
        let r2 = if yy > 0.0 { 1.0 - residual_sum / yy } else { 1.0 };
        Fit { start, slope, r2, residual }
    }
}
