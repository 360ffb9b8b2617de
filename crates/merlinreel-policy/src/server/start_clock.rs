//! Decides how long ago servers started, whatever this limiter's own wall clock says.

use std::time::Duration;

/// A wall clock that is wrong is off by less than this.
const MAX_CLOCK_ERROR: Duration = Duration::from_secs(3660);

/// The latest start of a server that discovery reported.
#[derive(Clone, Copy, Debug)]
struct ReportedStart {
    started_at: Duration,
    reported_at: Duration,
}

/// A clock that is set by the starts that discovery reports.
#[derive(Debug, Default)]
pub struct StartClock {
    latest: Option<ReportedStart>,
}

impl StartClock {
    /// The time of this clock: the latest start and what has passed since it was reported. The true time is never earlier,
    /// and later by as much as the report was late.
    fn time(&self, now: Duration) -> Option<Duration> {
        let latest = self.latest?;
        Some(latest.started_at + now.saturating_sub(latest.reported_at))
    }

    /// Discovery reported a start.
    pub fn report(&mut self, now: Duration, started_at: Duration) {
        if self.time(now).is_none_or(|time| started_at > time) {
            self.latest = Some(ReportedStart {
                started_at,
                reported_at: now,
            });
        }
    }

    /// How long ago a start that was reported is at least.
    ///
    /// With the wall clock alone, a limiter whose clock is ahead would overload servers that have just started, and one
    /// whose clock is behind would leave servers unused. The wall clock is believed only where it is further ahead than a
    /// wrong one could be. A server loses as much of its capacity as the report of the latest start was late.
    pub fn age(&self, now: Duration, started_at: Duration) -> Duration {
        let time = self.time(now).unwrap_or(started_at);
        let believed = if now > time + MAX_CLOCK_ERROR {
            now
        } else {
            time
        };
        believed.saturating_sub(started_at)
    }
}
