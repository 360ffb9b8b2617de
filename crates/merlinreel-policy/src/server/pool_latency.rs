//! Latency and error statistics over all servers; the decisions are made in the other modules.

use crate::rolling_window::RollingWindow;
use std::time::Duration;

/// Length of the window from which the baseline latency is taken; longer than most bursts.
const SUCCESS_WINDOW: Duration = Duration::from_secs(32);

/// Latency and error statistics over the attempts at all servers.
pub struct PoolLatency {
    /// Moving average of the time of successful responses to latency samples (see
    /// [`super::overdue_attempts::is_latency_sample`]), in seconds.
    pub typical_seconds: f64,
    /// Time of a response while servers have little load, in seconds: the lowest bucket mean of the window.
    pub baseline_seconds: f64,
    /// Moving average of the latency ratio: the latency of an attempt over the slow threshold of its class.
    pub latency_ratio: f64,
    /// Multiplies the concurrency limits of all servers, 1 at least.
    pub limit_multiplier: f64,
    /// Moving average of the fraction of attempts that end with an error or a lost connection, 0 to 1.
    pub error_rate: f64,
    /// Moving average of the fraction of latency samples that are overdue, 0 to 1.
    pub loss_rate: f64,
    /// Number of successful attempts in the window.
    pub successes: RollingWindow,
    /// Sum of the times of the successful attempts in the window, in seconds.
    pub success_seconds: RollingWindow,
}

impl PoolLatency {
    /// Statistics before the first response; `expected_seconds` stands for typical and baseline latency until there are
    /// measurements.
    pub fn new(expected_seconds: f64) -> PoolLatency {
        PoolLatency {
            typical_seconds: expected_seconds,
            baseline_seconds: expected_seconds,
            latency_ratio: 0.0,
            limit_multiplier: 1.0,
            error_rate: 0.0,
            loss_rate: 0.0,
            successes: RollingWindow::new(SUCCESS_WINDOW),
            success_seconds: RollingWindow::new(SUCCESS_WINDOW),
        }
    }
}
