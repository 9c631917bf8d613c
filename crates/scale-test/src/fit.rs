//! Slopes by least squares, with the residual that says how far to trust them.

use serde::Serialize;

/// A straight line fitted to measured points: `value = intercept + slope * size`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fit {
    /// Value at size 0.
    pub intercept: f64,
    /// Growth of the value by one unit of size.
    pub slope: f64,
    /// Share of the variance that the line explains, 0 to 1. 1 where all values are the same.
    pub r_squared: f64,
    /// Largest distance of a point from the line, in the unit of the value.
    pub max_residual: f64,
    /// The largest size that was measured: beyond it a value is extrapolated.
    pub largest: f64,
}

impl Fit {
    /// Fits a line to points of (size, value). `None` with fewer than two different sizes.
    pub fn of(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        let mean_size = points.iter().map(|p| p.0).sum::<f64>() / count;
        let mean_value = points.iter().map(|p| p.1).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|p| (p.0 - mean_size).powi(2)).sum();
        if points.len() < 2 || spread == 0.0 {
            return None;
        }
        let joint: f64 = points.iter().map(|p| (p.0 - mean_size) * (p.1 - mean_value)).sum();
        let slope = joint / spread;
        let intercept = mean_value - slope * mean_size;
        let residuals = points.iter().map(|p| p.1 - (intercept + slope * p.0));
        let unexplained: f64 = residuals.clone().map(|r| r * r).sum();
        let variance: f64 = points.iter().map(|p| (p.1 - mean_value).powi(2)).sum();
        Some(Self {
            intercept,
            slope,
            r_squared: if variance == 0.0 { 1.0 } else { 1.0 - unexplained / variance },
            max_residual: residuals.map(f64::abs).fold(0.0, f64::max),
            largest: points.iter().map(|p| p.0).fold(f64::MIN, f64::max),
        })
    }

    /// The line's value at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }

    /// Whether a value at this size is beyond what was measured.
    pub fn extrapolated(&self, size: f64) -> bool {
        size > self.largest
    }
}
