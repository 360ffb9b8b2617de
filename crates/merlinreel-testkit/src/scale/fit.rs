//! Determines how a cost grows with size: fits a power law to measured points by least squares on their logarithms.

use thiserror::Error;

/// A size and the value measured at that size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// Size, of any unit; ignored by a fit unless positive.
    pub size: f64,
    /// Measured value, of any unit; ignored by a fit unless positive.
    pub value: f64,
}

impl Point {
    /// Creates the point of a size and the value measured at it.
    pub fn new(size: f64, value: f64) -> Point {
        Point { size, value }
    }
}

/// The law `value = factor * size ^ exponent`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PowerLaw {
    /// Value at size 1.
    pub factor: f64,
    /// Power of the size: 0 for a constant cost, 1 for a linear one, 2 for a quadratic one.
    pub exponent: f64,
    /// Fraction of the variance of the values' logarithms that the law explains; 1 for a perfect fit.
    pub r_squared: f64,
}

/// The exponent of a fit is too large, or the points determine none.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
pub enum SlopeError {
    /// The exponent exceeds its maximum.
    #[error("grows with size to the power {exponent:.2}; expected at most {max_exponent:.2}")]
    TooSteep {
        /// Exponent of the law fitted to the points.
        exponent: f64,
        /// Maximum allowed exponent.
        max_exponent: f64,
    },
    /// There are fewer than two sizes; holds the number of points with a positive size and value.
    #[error(
        "found {0} points with a positive size and value; expected points at two sizes or more"
    )]
    TooFewPoints(usize),
}

impl PowerLaw {
    /// Fits a law to points; those whose size or value is not positive are ignored.
    ///
    /// # Errors
    /// There are points at fewer than two sizes.
    pub fn fit(points: &[Point]) -> Result<PowerLaw, SlopeError> {
        let logs: Vec<(f64, f64)> = points
            .iter()
            .filter(|point| point.size > 0.0 && point.value > 0.0)
            .map(|point| (point.size.ln(), point.value.ln()))
            .collect();
        let count = logs.len() as f64;
        let mean_x = logs.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = logs.iter().map(|(_, y)| y).sum::<f64>() / count;
        let sum_xx: f64 = logs.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        if logs.len() < 2 || sum_xx <= f64::EPSILON {
            return Err(SlopeError::TooFewPoints(logs.len()));
        }
        let sum_xy: f64 = logs.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        let exponent = sum_xy / sum_xx;
        let intercept = mean_y - exponent * mean_x;
        let sum_yy: f64 = logs.iter().map(|(_, y)| (y - mean_y).powi(2)).sum();
        let residual_sum: f64 = logs
            .iter()
            .map(|(x, y)| (y - intercept - exponent * x).powi(2))
            .sum();
        let r_squared = if sum_yy <= f64::EPSILON {
            1.0
        } else {
            1.0 - residual_sum / sum_yy
        };
        Ok(PowerLaw {
            factor: intercept.exp(),
            exponent,
            r_squared,
        })
    }

    /// Value that the law gives for a size.
    pub fn value_at(&self, size: f64) -> f64 {
        self.factor * size.powf(self.exponent)
    }
}

/// Fits a law to points and checks that its exponent is at most `max_exponent`.
///
/// # Errors
/// The exponent is greater, or there are points at fewer than two sizes.
pub fn check_slope(points: &[Point], max_exponent: f64) -> Result<PowerLaw, SlopeError> {
    let law = PowerLaw::fit(points)?;
    if law.exponent > max_exponent {
        return Err(SlopeError::TooSteep {
            exponent: law.exponent,
            max_exponent,
        });
    }
    Ok(law)
}

#[cfg(test)]
mod tests;
