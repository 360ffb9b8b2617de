//! Pauses between tries of a system call that fails: none at first, longer while it goes on failing.

use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::sleep;

/// Tries that follow one another at once: what fails now and then costs no time.
const AT_ONCE: u32 = 4;
/// Calls that go on failing are a thousand a second at most, then thirty.
const FIRST: Duration = Duration::from_millis(1);
const LONGEST: Duration = Duration::from_millis(32);

/// Counts the failures in a row, and waits after each.
#[derive(Debug, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// The length of the next pause: none for the first tries, then each twice the one before, up to the longest.
    pub fn next_pause(&mut self) -> Duration {
        let doubled = self.failures.checked_sub(AT_ONCE);
        self.failures = self.failures.saturating_add(1);
        doubled.map_or(Duration::ZERO, |times| {
            (FIRST * 2u32.saturating_pow(times)).min(LONGEST)
        })
    }

    /// Waits for the next pause; others have their turn in any case.
    pub async fn pause(&mut self) {
        match self.next_pause() {
            Duration::ZERO => yield_now().await,
            pause => sleep(pause).await,
        }
    }

    /// A call has succeeded: the next failure begins anew.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}

#[cfg(test)]
mod tests;
