//! Linear regression by least squares.

/// Straight line fitted to measured points.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LinearFit {
    /// Value of the line at size 0.
    pub intercept: f64,
    /// Increase of the value per unit of size.
    pub slope: f64,
    /// Standard error of the slope.
    pub slope_error: f64,
}

impl LinearFit {
    /// Fits a line to points of `(size, value)`; at least three different sizes are needed.
    pub fn fit(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean = |pick: fn(&(f64, f64)) -> f64| points.iter().map(pick).sum::<f64>() / count;
        let (mean_x, mean_y) = (mean(|point| point.0), mean(|point| point.1));
        let sum_of_squares: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let sum_of_products: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let slope = sum_of_products / sum_of_squares;
        let intercept = slope.mul_add(-mean_x, mean_y);
        let sum_squared_residuals: f64 = points
            .iter()
            .map(|(x, y)| (y - slope.mul_add(*x, intercept)).powi(2))
            .sum();
        let slope_error = (sum_squared_residuals / (count - 2.0) / sum_of_squares).sqrt();
        Self {
            intercept,
            slope,
            slope_error,
        }
    }

    /// Returns the value of the line at a size, also outside the measured range.
    pub fn value_at(&self, size: f64) -> f64 {
        self.slope.mul_add(size, self.intercept)
    }
}

#[cfg(test)]
mod tests;
