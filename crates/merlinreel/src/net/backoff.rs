//! Pauses between attempts at a system call that fails: none at first, longer while it goes on failing.

use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::sleep;

/// Failures in a row that are followed by no pause, so that a single failure costs no time.
const FAILURES_WITHOUT_PAUSE: u32 = 4;
/// The first pause: calls that go on failing are at most a thousand a second.
const FIRST_PAUSE: Duration = Duration::from_millis(1);
/// The longest pause.
const LONGEST_PAUSE: Duration = Duration::from_millis(32);

/// Counts the failures in a row, and waits after each.
#[derive(Debug, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// The length of the next pause: zero after the first failures, then twice the one before, up to the longest.
    pub fn next_pause(&mut self) -> Duration {
        let doublings = self.failures.checked_sub(FAILURES_WITHOUT_PAUSE);
        self.failures = self.failures.saturating_add(1);
        doublings.map_or(Duration::ZERO, |doublings| {
            (FIRST_PAUSE * 2u32.saturating_pow(doublings)).min(LONGEST_PAUSE)
        })
    }

    /// Waits for the next pause; yields to other tasks in any case.
    pub async fn pause(&mut self) {
        match self.next_pause() {
            Duration::ZERO => yield_now().await,
            pause => sleep(pause).await,
        }
    }

    /// A call has succeeded: the next failure is the first one.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}

#[cfg(test)]
mod tests;
