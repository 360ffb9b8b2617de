//! A limiter's inbox for peer messages, which accepts a limited number in each second of simulated time and drops the
//! others.

use std::time::Duration;

/// Counts the messages accepted in the current second, and all that were dropped.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerInbox {
    second: u64,
    accepted: u32,
    /// Messages dropped; the owner resets it together with its other counts.
    pub dropped: u64,
}

impl PeerInbox {
    /// Accepts a message that arrives at `now`, or drops it if `per_second` messages were accepted in the current second.
    /// Returns whether it was accepted.
    pub fn accept(&mut self, now: Duration, per_second: u32) -> bool {
        if now.as_secs() != self.second {
            self.second = now.as_secs();
            self.accepted = 0;
        }
        if self.accepted >= per_second {
            self.dropped += 1;
            return false;
        }
        self.accepted += 1;
        true
    }
}

#[cfg(test)]
mod tests;
