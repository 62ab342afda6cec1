//! The straight line through some points.

/// A line and how far the points are from it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// Height at 0.
    pub base: f64,
    /// Rise for each.
    pub slope: f64,
    /// Largest distance of a point from the line, as a share of the point.
    pub residual: f64,
}

/// Fits a line by least squares.
///
/// ```
/// let line = havengrade_replay::measure::fit(&[(1.0, 12.0), (2.0, 14.0), (3.0, 16.0)]);
/// assert!((line.base - 10.0).abs() < 1e-9 && (line.slope - 2.0).abs() < 1e-9 && line.residual < 1e-9);
/// ```
pub fn fit(points: &[(f64, f64)]) -> Line {
    let count = points.len().max(1) as f64;
    let (mean_x, mean_y) = points.iter().fold((0.0, 0.0), |(x, y), point| (x + point.0 / count, y + point.1 / count));
    let spread: f64 = points.iter().map(|point| (point.0 - mean_x).powi(2)).sum();
    let rise: f64 = points.iter().map(|point| (point.0 - mean_x) * (point.1 - mean_y)).sum();
    let slope = if spread > 0.0 { rise / spread } else { 0.0 };
    let base = mean_y - slope * mean_x;
    let distance = |point: &(f64, f64)| ((base + slope * point.0 - point.1) / point.1.abs().max(f64::EPSILON)).abs();
    let residual = points.iter().map(distance).fold(0.0, f64::max);
    Line { base, slope, residual }
}
