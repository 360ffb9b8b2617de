//! What is measured over time; nothing is decided here.

use crate::decide::BUCKETS;
use crate::state::secs;
use std::time::Duration;

/// What is measured over time: sums in fixed buckets of time, used again in a ring.
#[derive(Default)]
pub struct RollingWindow {
    pub width: f64,
    pub slot: u64,
    pub sums: [f64; BUCKETS],
    /// Nothing in it at the last reading, nor added since: read often, it need not turn.
    pub empty: bool,
}

impl RollingWindow {
    pub fn new(length: Duration) -> RollingWindow {
        RollingWindow {
            width: (secs(length) / BUCKETS as f64).max(0.001),
            slot: 0,
            sums: [0.0; BUCKETS],
            empty: true,
        }
    }

    pub fn turn(&mut self, now: Duration) {
        let slot = (secs(now) / self.width) as u64;
        for passed in (self.slot + 1..=slot).rev().take(BUCKETS) {
            self.sums[passed as usize % BUCKETS] = 0.0;
        }
        self.slot = self.slot.max(slot);
    }

    pub fn add(&mut self, now: Duration, amount: f64) {
        self.turn(now);
        self.sums[self.slot as usize % BUCKETS] += amount;
        self.empty = false;
    }

    /// The least mean of any bucket with that many counts.
    pub fn least_mean(&self, counts: &RollingWindow, enough: f64) -> Option<f64> {
        let full = self
            .sums
            .iter()
            .zip(&counts.sums)
            .filter(|(_, count)| **count >= enough);
        full.map(|(sum, count)| sum / count).min_by(f64::total_cmp)
    }

    pub fn sum(&mut self, now: Duration) -> f64 {
        if self.empty {
            return 0.0;
        }
        self.turn(now);
        let sum = self.sums.iter().sum();
        self.empty = self.sums == [0.0; BUCKETS];
        sum
    }
}
