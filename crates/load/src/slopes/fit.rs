//! Least squares.

use super::Point;

/// A fitted line.
#[derive(Debug, Clone, Copy)]
pub struct Line {
    /// Cost at size zero.
    pub base: f64,
    /// Cost of each unit of size.
    pub slope: f64,
}

impl Line {
    /// Fits a line to points.
    #[must_use]
    pub fn fit(points: &[Point]) -> Self {
        let count = points.len().max(1) as f64;
        let mean_size = points.iter().map(|point| point.size).sum::<f64>() / count;
        let mean_cost = points.iter().map(|point| point.cost).sum::<f64>() / count;
        let mut covariance = 0.0;
        let mut variance = 0.0;
        for point in points {
            covariance += (point.size - mean_size) * (point.cost - mean_cost);
            variance += (point.size - mean_size).powi(2);
        }
        let slope = if variance > 0.0 {
            covariance / variance
        } else {
            0.0
        };
        Self {
            base: mean_cost - slope * mean_size,
            slope,
        }
    }

    /// Returns the line's cost at a size.
    #[must_use]
    pub fn at(&self, size: f64) -> f64 {
        self.base + self.slope * size
    }
}
