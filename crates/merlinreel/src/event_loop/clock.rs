//! The clock from which the policy gets its time.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Unix time, read from the system clock once and advanced by the monotonic clock: quota windows align between limiters
/// and across restarts, and time never runs backwards within a process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    pub(super) started: Instant,
    unix_time_at_start: Duration,
}

impl Clock {
    /// Reads the system clock. A system clock set before 1970 counts as 1970.
    pub fn start() -> Clock {
        let unix_time_at_start = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            started: Instant::now(),
            unix_time_at_start,
        }
    }

    /// Unix time at `instant`. An instant before the start of the clock counts as the start.
    pub fn unix_time_at(&self, instant: Instant) -> Duration {
        self.unix_time_at_start + instant.saturating_duration_since(self.started)
    }
}
