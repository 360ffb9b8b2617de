//! Detects event loop stalls: the process was suspended, starved of processor time, or busy with one task for too long.
//! Data that arrived during a stall stayed unread in the socket receive buffers, so the time of its requests must not be
//! counted from when it was read.
//!
//! The event loop sets the time of its next run. If it runs much later than that, all other tasks ran late as well.

use crate::log;
use crate::net::late_deadline::CATCH_UP_TIME;
use crate::sync::lock;
use crate::telemetry::metrics::Metrics;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Delay of the event loop that is normal on a machine that is not busy; a longer one is a stall.
const MAX_DELAY: Duration = Duration::from_millis(20);
/// Stalls at least this long are logged.
const MIN_LOGGED_DELAY: Duration = Duration::from_millis(100);

/// An event loop stall that is over.
#[derive(Clone, Copy, Debug)]
struct Stall {
    /// Earliest time at which data that was unread at the end of the stall can have arrived.
    since: Instant,
    /// When the event loop ran again.
    noticed_at: Instant,
}

/// The event loop's last and next run, and its last stall.
#[derive(Clone, Copy, Debug)]
struct Schedule {
    last_run: Instant,
    /// `None` while the event loop waits for events only.
    next_due: Option<Instant>,
    last_stall: Option<Stall>,
}

/// Determines since when data that is read now may have been in the socket receive buffer. One per process, shared by the
/// event loop and the client connections.
pub struct StallMonitor {
    schedule: Mutex<Schedule>,
    metrics: Arc<Metrics>,
}

impl Schedule {
    /// How late the event loop is; `None` if that is at most [`MAX_DELAY`] or no run is due.
    fn delay(&self, now: Instant) -> Option<Duration> {
        let delay = now.saturating_duration_since(self.next_due?);
        (delay > MAX_DELAY).then_some(delay)
    }

    /// The last stall, as long as data that arrived during it may still be unread.
    fn recent_stall(&self, now: Instant) -> Option<Stall> {
        self.last_stall
            .filter(|stall| now.saturating_duration_since(stall.noticed_at) <= CATCH_UP_TIME)
    }

    fn arrived_since(&self, now: Instant) -> Instant {
        match self.recent_stall(now) {
            Some(stall) => stall.since,
            None if self.delay(now).is_some() => self.last_run,
            None => now,
        }
    }
}

impl StallMonitor {
    /// Creates a monitor with no run due yet, which counts stalls in `metrics`.
    pub fn new(metrics: Arc<Metrics>) -> Arc<StallMonitor> {
        Arc::new(StallMonitor {
            schedule: Mutex::new(Schedule {
                last_run: Instant::now(),
                next_due: None,
                last_stall: None,
            }),
            metrics,
        })
    }

    /// Records that the event loop runs at `now`. If it runs late, counts a stall and logs a long one.
    pub fn record_run(&self, now: Instant) {
        let mut schedule = lock(&self.schedule);
        let Some(delay) = schedule.delay(now) else {
            schedule.last_run = now;
            return;
        };
        schedule.last_stall = Some(Stall {
            since: schedule.arrived_since(now),
            noticed_at: now,
        });
        schedule.last_run = now;
        drop(schedule);
        self.metrics.count_stall(delay);
        if delay >= MIN_LOGGED_DELAY {
            log!(
                "event loop: stalled for {} ms; check whether the process was suspended or the machine is overloaded",
                delay.as_millis()
            );
        }
    }

    /// Sets the latest time of the event loop's next run; `None` if it waits for events only.
    pub fn set_next_due(&self, next_due: Option<Instant>) {
        lock(&self.schedule).next_due = next_due;
    }

    /// The earliest time at which data that is read at `now` can have arrived: `now`, unless the event loop is late or
    /// ended a stall a moment ago.
    pub fn arrived_since(&self, now: Instant) -> Instant {
        lock(&self.schedule).arrived_since(now)
    }
}

#[cfg(test)]
mod tests;
