//! A limiter's inbox for peer messages, which accepts a number of messages in each second and drops the others.

use std::time::Duration;

/// The messages accepted and dropped.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerInbox {
    second: u64,
    accepted: u32,
    /// Messages dropped.
    pub dropped: u64,
}

impl PeerInbox {
    /// Whether a message that arrives now is accepted.
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
