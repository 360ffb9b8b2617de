//! How long ago servers started, whatever the limiter's own wall clock said as the limiter started.

use std::time::Duration;

/// A wall clock that was stepped is off by an hour at most.
const MOST_CLOCK_ERROR: Duration = Duration::from_secs(3660);

/// The newest start that any list told of, and when that was heard.
#[derive(Debug, Default)]
pub struct StartClock {
    newest: Option<(Duration, Duration)>,
}

impl StartClock {
    /// The time by the lists: the newest start and what has passed since it was heard. The true time is later by as much
    /// as the news of that start was late, and never earlier.
    fn time(&self, now: Duration) -> Option<Duration> {
        self.newest
            .map(|(start, heard)| start + now.saturating_sub(heard))
    }

    /// A list told of a start.
    pub fn hear(&mut self, now: Duration, start: Duration) {
        if self.time(now).is_none_or(|time| start > time) {
            self.newest = Some((start, now));
        }
    }

    /// The least that a start, heard of before, can be ago: guards cold servers against a limiter whose clock is ahead, and
    /// their capacity against one that is behind. The clock is believed where it says more than one that was stepped
    /// could make up. It costs a server as much of its capacity as the news of the newest start was late.
    pub fn age(&self, now: Duration, start: Duration) -> Duration {
        let time = self.time(now).unwrap_or(start);
        let believed = if now > time + MOST_CLOCK_ERROR {
            now
        } else {
            time
        };
        believed.saturating_sub(start)
    }
}
