//! Sums over a rolling window of time.

use crate::time;
use std::time::Duration;

/// Buckets of a window, so that a sum covers its length to within an eighth.
const BUCKETS: usize = 8;
const LEAST_BUCKET_SECONDS: f64 = 0.001;

/// Amounts of the last so many seconds, summed in buckets that are used again in turn.
#[derive(Default)]
pub struct RollingWindow {
    bucket_seconds: f64,
    /// Number of the latest bucket since the clock's zero.
    latest: u64,
    sums: [f64; BUCKETS],
    /// The last sum was zero and nothing was added since, so that the next one needs no work.
    empty: bool,
}

impl RollingWindow {
    /// An empty window of this length.
    pub fn new(length: Duration) -> RollingWindow {
        RollingWindow {
            bucket_seconds: (time::seconds(length) / BUCKETS as f64).max(LEAST_BUCKET_SECONDS),
            latest: 0,
            sums: [0.0; BUCKETS],
            empty: true,
        }
    }

    fn advance(&mut self, now: Duration) {
        let latest = (time::seconds(now) / self.bucket_seconds) as u64;
        for expired in (self.latest + 1..=latest).rev().take(BUCKETS) {
            self.sums[expired as usize % BUCKETS] = 0.0;
        }
        self.latest = self.latest.max(latest);
    }

    /// Adds an amount at this time.
    pub fn add(&mut self, now: Duration, amount: f64) {
        self.advance(now);
        self.sums[self.latest as usize % BUCKETS] += amount;
        self.empty = false;
    }

    /// The least mean of a bucket, of the buckets with at least `least_count` in the window of counts.
    pub fn least_mean(&self, counts: &RollingWindow, least_count: f64) -> Option<f64> {
        self.sums
            .iter()
            .zip(&counts.sums)
            .filter(|(_, count)| **count >= least_count)
            .map(|(sum, count)| sum / count)
            .min_by(f64::total_cmp)
    }

    /// The sum over the window that ends at this time.
    pub fn sum(&mut self, now: Duration) -> f64 {
        if self.empty {
            return 0.0;
        }
        self.advance(now);
        let sum = self.sums.iter().sum();
        self.empty = self.sums == [0.0; BUCKETS];
        sum
    }
}
