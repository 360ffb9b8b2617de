//! Conversion between `Duration` and seconds as floats, in which rates and shares are calculated.

use std::time::Duration;

/// The time in seconds.
pub fn seconds(time: Duration) -> f64 {
    time.as_secs_f64()
}

/// So many seconds; nothing for a negative number, the longest time for one that is too large or none.
pub fn from_seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds.max(0.0)).unwrap_or(Duration::MAX)
}
