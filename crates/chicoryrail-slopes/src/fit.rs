//! A straight line through measured points.

use serde::Serialize;

/// The least-squares line through points of (size, cost).
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fit {
    /// Cost of one more unit of size.
    pub slope: f64,
    /// Cost at size zero.
    pub base: f64,
    /// Number of points.
    pub points: usize,
    /// Largest distance of a point from the line, as a share of the largest cost.
    pub residual: f64,
}

impl Fit {
    /// Fits the line; with fewer than two different sizes the slope is zero.
    #[must_use]
    pub fn of(points: &[(f64, f64)]) -> Self {
        let n = points.len() as f64;
        let mean = |f: fn(&(f64, f64)) -> f64| points.iter().map(f).sum::<f64>() / n.max(1.0);
        let (mx, my) = (mean(|p| p.0), mean(|p| p.1));
        let spread: f64 = points.iter().map(|p| (p.0 - mx).powi(2)).sum();
        let joint: f64 = points.iter().map(|p| (p.0 - mx) * (p.1 - my)).sum();
        let slope = if spread > 0.0 { joint / spread } else { 0.0 };
        let base = my - slope * mx;
        let top = points
            .iter()
            .map(|p| p.1.abs())
            .fold(f64::MIN_POSITIVE, f64::max);
        let off = points
            .iter()
            .map(|p| (p.1 - base - slope * p.0).abs())
            .fold(0.0, f64::max);
        Self {
            slope,
            base,
            points: points.len(),
            residual: off / top,
        }
    }
}
