//! A limiter's inbox: so many peer messages in each second of the clock, the rest is dropped and counted.

use std::time::Duration;

/// Messages taken and dropped.
#[derive(Clone, Copy, Debug, Default)]
pub struct Inbox {
    second: u64,
    taken: u32,
    pub dropped: u64,
}

impl Inbox {
    /// Whether a message that arrives now is taken.
    pub fn takes(&mut self, now: Duration, per_second: u32) -> bool {
        if now.as_secs() != self.second {
            (self.second, self.taken) = (now.as_secs(), 0);
        }
        if self.taken >= per_second {
            self.dropped += 1;
            return false;
        }
        self.taken += 1;
        true
    }
}

#[cfg(test)]
mod tests;
