//! Least-squares line fit.

use super::Measurement;

/// Straight line fitted to measurements.
#[derive(Debug, Clone, Copy)]
pub struct Line {
    /// Cost at size zero.
    pub intercept: f64,
    /// Additional cost per unit of size.
    pub slope: f64,
}

impl Line {
    /// Fits a line by least squares; its slope is zero if all sizes are equal.
    #[must_use]
    pub fn fit(measurements: &[Measurement]) -> Self {
        let count = measurements.len().max(1) as f64;
        let mean_size = measurements
            .iter()
            .map(|measurement| measurement.size)
            .sum::<f64>()
            / count;
        let mean_cost = measurements
            .iter()
            .map(|measurement| measurement.cost)
            .sum::<f64>()
            / count;
        let mut covariance = 0.0;
        let mut variance = 0.0;
        for measurement in measurements {
            covariance += (measurement.size - mean_size) * (measurement.cost - mean_cost);
            variance += (measurement.size - mean_size).powi(2);
        }
        let slope = if variance > 0.0 {
            covariance / variance
        } else {
            0.0
        };
        Self {
            intercept: mean_cost - slope * mean_size,
            slope,
        }
    }

    /// Returns the cost that the line predicts for a size.
    #[must_use]
    pub fn predict(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}
