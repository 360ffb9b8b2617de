//! Sums over a rolling time window.

use crate::time;
use std::time::Duration;

/// Buckets per window: a sum covers the length of the window to within an eighth.
const BUCKETS: usize = 8;
const MIN_BUCKET_SECONDS: f64 = 0.001;

/// Sum of the amounts added within the window's length, kept in a ring of buckets.
#[derive(Default)]
pub struct RollingWindow {
    bucket_seconds: f64,
    /// Number of the latest bucket, counted from the zero of the limiter's clock.
    latest: u64,
    sums: [f64; BUCKETS],
    /// All buckets were zero at the last sum and nothing was added since, so that the next sum needs no work.
    empty: bool,
}

impl RollingWindow {
    /// An empty window of the given length.
    pub fn new(length: Duration) -> RollingWindow {
        RollingWindow {
            bucket_seconds: (time::seconds(length) / BUCKETS as f64).max(MIN_BUCKET_SECONDS),
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

    /// Adds an amount to the bucket of this time on the limiter's clock.
    pub fn add(&mut self, now: Duration, amount: f64) {
        self.advance(now);
        self.sums[self.latest as usize % BUCKETS] += amount;
        self.empty = false;
    }

    /// The lowest mean amount of a bucket, over the buckets that hold at least `min_count` in `counts`; `None` if there
    /// is no such bucket.
    pub fn min_mean(&self, counts: &RollingWindow, min_count: f64) -> Option<f64> {
        self.sums
            .iter()
            .zip(&counts.sums)
            .filter(|(_, count)| **count >= min_count)
            .map(|(sum, count)| sum / count)
            .min_by(f64::total_cmp)
    }

    /// The sum over the window that ends at this time on the limiter's clock.
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
