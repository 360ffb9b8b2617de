//! How long responses take and how many attempts fail, over all servers. Nothing is decided here.

use crate::rolling_window::RollingWindow;
use std::time::Duration;

/// Outlasts most bursts.
const SUCCESS_WINDOW: Duration = Duration::from_secs(32);

/// What attempts say about all servers together.
pub struct FleetLatency {
    /// Time of a typical response, in seconds.
    pub typical_seconds: f64,
    /// Time of a response while servers have little to do, in seconds.
    pub baseline_seconds: f64,
    /// Mean time of responses over the time that is long for the class.
    pub pressure: f64,
    /// Factor on all servers' concurrency limits.
    pub limit_multiplier: f64,
    /// Share of attempts that end with an error.
    pub error_rate: f64,
    /// Share of attempts that are overdue.
    pub loss_rate: f64,
    /// Successful attempts of late.
    pub successes: RollingWindow,
    /// The time that they took, in seconds.
    pub success_seconds: RollingWindow,
}

impl FleetLatency {
    /// Before any response: a typical one is expected to take so many seconds.
    pub fn new(expected_seconds: f64) -> FleetLatency {
        FleetLatency {
            typical_seconds: expected_seconds,
            baseline_seconds: expected_seconds,
            pressure: 0.0,
            limit_multiplier: 1.0,
            error_rate: 0.0,
            loss_rate: 0.0,
            successes: RollingWindow::new(SUCCESS_WINDOW),
            success_seconds: RollingWindow::new(SUCCESS_WINDOW),
        }
    }
}
