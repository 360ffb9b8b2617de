//! Pauses between retries of a failing system call: none after the first failures, then exponentially longer.

use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::sleep;

/// Number of consecutive failures without a pause, so that a single failure costs no time.
const FAILURES_WITHOUT_PAUSE: u32 = 4;
/// The shortest pause, which limits failing calls to a thousand per second.
const MIN_PAUSE: Duration = Duration::from_millis(1);
/// Upper bound of the pauses.
const MAX_PAUSE: Duration = Duration::from_millis(32);

/// Counts consecutive failures and determines the pause after each.
#[derive(Debug, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Counts a failure and returns the pause after it: zero after the first failures, then twice the previous pause, up to
    /// a maximum.
    pub fn next_pause(&mut self) -> Duration {
        let doublings = self.failures.checked_sub(FAILURES_WITHOUT_PAUSE);
        self.failures = self.failures.saturating_add(1);
        doublings.map_or(Duration::ZERO, |doublings| {
            (MIN_PAUSE * 2u32.saturating_pow(doublings)).min(MAX_PAUSE)
        })
    }

    /// Counts a failure and waits for the pause after it; yields to other tasks even if the pause is zero.
    pub async fn pause(&mut self) {
        match self.next_pause() {
            Duration::ZERO => yield_now().await,
            pause => sleep(pause).await,
        }
    }

    /// Records a success: the next failure counts as the first one.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}

#[cfg(test)]
mod tests;
