//! The clock that the policy reads.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Unix time, read once and advanced by the monotonic clock: windows align between limiters and across restarts, and
/// time never runs backwards.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    pub(super) started: Instant,
    unix: Duration,
}

impl Clock {
    /// Reads the system's clock.
    pub fn start() -> Clock {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            started: Instant::now(),
            unix,
        }
    }

    /// Time since the Unix epoch at `instant`.
    pub fn at(&self, instant: Instant) -> Duration {
        self.unix + instant.saturating_duration_since(self.started)
    }
}
