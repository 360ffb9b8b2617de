//! Conversion between `Duration` and seconds as floating-point numbers, which rates and fractions are calculated with.

use std::time::Duration;

/// A duration in seconds, with fractions.
pub fn seconds(time: Duration) -> f64 {
    time.as_secs_f64()
}

/// A duration from seconds: zero for a negative number or NaN, [`Duration::MAX`] for a number that is too large.
pub fn from_seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds.max(0.0)).unwrap_or(Duration::MAX)
}
