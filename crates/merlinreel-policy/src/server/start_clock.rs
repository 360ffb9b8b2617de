//! Decides how long ago servers are assumed to have started, even where this limiter's own wall clock is wrong.

use std::time::Duration;

/// A wrong wall clock is assumed to be off by less than this.
const MAX_CLOCK_ERROR: Duration = Duration::from_secs(3660);

/// The latest server start that discovery reported.
#[derive(Clone, Copy, Debug)]
struct ReportedStart {
    /// Start of the server, in Unix time or simulated time, as discovery reported it.
    started_at: Duration,
    /// When the report arrived, by the limiter's clock.
    reported_at: Duration,
}

/// Estimates the current time from the server starts that discovery reports; only intervals are measured by the
/// limiter's own clock.
#[derive(Debug, Default)]
pub struct StartClock {
    latest: Option<ReportedStart>,
}

impl StartClock {
    /// Lower bound of the true time: the latest reported start plus the time since its report. The true time is later
    /// by the delay of that report. `None` before the first report.
    fn estimated_time(&self, now: Duration) -> Option<Duration> {
        let latest = self.latest?;
        Some(latest.started_at + now.saturating_sub(latest.reported_at))
    }

    /// Records a server start that discovery reported; only one that is later than the estimated time changes the
    /// estimate.
    pub fn report(&mut self, now: Duration, started_at: Duration) {
        if self
            .estimated_time(now)
            .is_none_or(|estimated| started_at > estimated)
        {
            self.latest = Some(ReportedStart {
                started_at,
                reported_at: now,
            });
        }
    }

    /// Lower bound of the time since a reported start.
    ///
    /// With the wall clock alone, a limiter whose clock is ahead would overload servers that have just started, and one
    /// whose clock is behind would leave servers unused. The wall clock is used only where it is ahead of the estimated
    /// time by more than [`MAX_CLOCK_ERROR`]. The delay of the latest report is missing from the age, and prolongs the
    /// slow start by as much.
    pub fn age(&self, now: Duration, started_at: Duration) -> Duration {
        let estimated = self.estimated_time(now).unwrap_or(started_at);
        let current_time = if now > estimated + MAX_CLOCK_ERROR {
            now
        } else {
            estimated
        };
        current_time.saturating_sub(started_at)
    }
}
