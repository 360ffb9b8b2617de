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
mod tests {
    use super::*;

    #[test]
    fn what_is_over_the_rate_is_dropped_until_the_next_second() {
        let mut inbox = Inbox::default();
        let moments = [1.0, 1.2, 1.9, 2.0].map(Duration::from_secs_f64);
        assert_eq!(
            moments.map(|now| inbox.takes(now, 2)),
            [true, true, false, true]
        );
        assert_eq!(inbox.dropped, 1);
    }
}
