//! How a cost grows with size: a power law through measured points, by least squares on logarithms.

use thiserror::Error;

/// A size and the value that was measured there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// The size.
    pub size: f64,
    /// The value.
    pub value: f64,
}

impl Point {
    /// The point of a size and its value.
    pub fn new(size: f64, value: f64) -> Point {
        Point { size, value }
    }
}

/// The law `value = factor * size ^ exponent`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PowerLaw {
    /// The value at size 1.
    pub factor: f64,
    /// The power of the size: 1 for a linear cost.
    pub exponent: f64,
    /// The share of the logarithms' variance that the law explains, 1 at best.
    pub r_squared: f64,
}

/// A slope that is steeper than allowed, or points that determine none.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
pub enum SlopeError {
    /// The exponent is over the bound.
    #[error("grows with size to the power {exponent:.2}, {most:.2} at most is allowed")]
    TooSteep {
        /// The exponent of the points.
        exponent: f64,
        /// The bound.
        most: f64,
    },
    /// There are fewer than two sizes; the number of valid points.
    #[error("{0} points with a positive size and value; at least two sizes are needed")]
    TooFewPoints(usize),
}

impl PowerLaw {
    /// The law through points; those that are not positive are left out.
    ///
    /// # Errors
    /// There are fewer than two sizes.
    pub fn through(points: &[Point]) -> Result<PowerLaw, SlopeError> {
        let logs: Vec<(f64, f64)> = points
            .iter()
            .filter(|point| point.size > 0.0 && point.value > 0.0)
            .map(|point| (point.size.ln(), point.value.ln()))
            .collect();
        let count = logs.len() as f64;
        let mean_x = logs.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = logs.iter().map(|(_, y)| y).sum::<f64>() / count;
        let spread: f64 = logs.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        if logs.len() < 2 || spread <= f64::EPSILON {
            return Err(SlopeError::TooFewPoints(logs.len()));
        }
        let common: f64 = logs.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        let exponent = common / spread;
        let intercept = mean_y - exponent * mean_x;
        let total: f64 = logs.iter().map(|(_, y)| (y - mean_y).powi(2)).sum();
        let residual: f64 = logs
            .iter()
            .map(|(x, y)| (y - intercept - exponent * x).powi(2))
            .sum();
        let r_squared = if total <= f64::EPSILON {
            1.0
        } else {
            1.0 - residual / total
        };
        Ok(PowerLaw {
            factor: intercept.exp(),
            exponent,
            r_squared,
        })
    }

    /// The value at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.factor * size.powf(self.exponent)
    }
}

/// The law through points, whose exponent must be at most `most`.
///
/// # Errors
/// The exponent is greater, or there are fewer than two sizes.
pub fn check_slope(points: &[Point], most: f64) -> Result<PowerLaw, SlopeError> {
    let law = PowerLaw::through(points)?;
    if law.exponent > most {
        return Err(SlopeError::TooSteep {
            exponent: law.exponent,
            most,
        });
    }
    Ok(law)
}

#[cfg(test)]
mod tests;
