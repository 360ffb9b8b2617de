//! Measures how many units a customer requests, admitted or not.

use crate::rolling_window::RollingWindow;
use crate::time;
use std::time::Duration;

/// Measures the rate at which units are requested, over a rolling window.
#[derive(Default)]
pub struct DemandMeter {
    units: RollingWindow,
    window_seconds: f64,
}

impl DemandMeter {
    /// A meter that averages over a rolling window of this length.
    pub fn new(window: Duration) -> DemandMeter {
        DemandMeter {
            units: RollingWindow::new(window),
            window_seconds: time::seconds(window),
        }
    }

    /// Records units that were requested at `now`.
    pub fn add(&mut self, now: Duration, units: f64) {
        self.units.add(now, units);
    }

    /// Units requested per second, averaged over the rolling window that ends at `now`.
    pub fn rate(&mut self, now: Duration) -> f64 {
        self.units.sum(now) / self.window_seconds
    }
}
