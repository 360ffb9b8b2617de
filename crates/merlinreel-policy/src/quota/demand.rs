//! How much customers ask for, admitted or not.

use crate::rolling_window::RollingWindow;
use crate::time;
use std::time::Duration;

/// The rate at which units are requested.
#[derive(Default)]
pub struct DemandMeter {
    units: RollingWindow,
    window_seconds: f64,
}

impl DemandMeter {
    /// A meter that looks back over this time.
    pub fn new(window: Duration) -> DemandMeter {
        DemandMeter {
            units: RollingWindow::new(window),
            window_seconds: time::seconds(window),
        }
    }

    /// Units were requested.
    pub fn add(&mut self, now: Duration, units: f64) {
        self.units.add(now, units);
    }

    /// Units requested per second.
    pub fn rate(&mut self, now: Duration) -> f64 {
        self.units.sum(now) / self.window_seconds
    }
}
