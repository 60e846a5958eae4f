//! Least-squares fit of a straight line.

/// Line through measured points.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LinearFit {
    /// Value at size zero.
    pub intercept: f64,
    /// Growth with each unit of size.
    pub slope: f64,
    /// Standard error of the slope.
    pub slope_error: f64,
}

impl LinearFit {
    /// Fits a line through points of `(size, value)`; needs at least three sizes that differ.
    pub fn through(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean = |pick: fn(&(f64, f64)) -> f64| points.iter().map(pick).sum::<f64>() / count;
        let (mean_x, mean_y) = (mean(|point| point.0), mean(|point| point.1));
        let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let together: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let slope = together / spread;
        let intercept = slope.mul_add(-mean_x, mean_y);
        let residual: f64 = points
            .iter()
            .map(|(x, y)| (y - slope.mul_add(*x, intercept)).powi(2))
            .sum();
        let slope_error = (residual / (count - 2.0) / spread).sqrt();
        Self {
            intercept,
            slope,
            slope_error,
        }
    }

    /// Returns the value of the line at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.slope.mul_add(size, self.intercept)
    }
}

#[cfg(test)]
mod tests;
