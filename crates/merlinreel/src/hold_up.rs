//! Notices that the process was held up: suspended, starved of processor time, or busy with one thing for too long. What
//! arrived meanwhile lay unread in the sockets, and the limiter must not count its time from when it was read.
//!
//! The event loop is woken at times that it sets itself. Where it runs much later than that, everything else ran late too.

use crate::log;
use crate::sync::lock;
use crate::telemetry::metrics::Metrics;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The event loop may run this late on a machine that is not busy.
const MAX_DELAY: Duration = Duration::from_millis(20);
/// After a hold-up, what lay in the sockets is read within this.
const CATCH_UP_TIME: Duration = Duration::from_millis(20);
/// A hold-up this long is told in the log.
const LOGGED_DELAY: Duration = Duration::from_millis(100);

/// A hold-up that is over.
#[derive(Clone, Copy, Debug)]
struct HoldUp {
    /// It began then or later.
    since: Instant,
    /// It was noticed then.
    noticed_at: Instant,
}

/// When the event loop ran and is to run.
#[derive(Clone, Copy, Debug)]
struct Schedule {
    last_run: Instant,
    next_due: Option<Instant>,
    last_hold_up: Option<HoldUp>,
}

/// Knows since when bytes that are read now may have been there. One a process, shared by the event loop and its clients'
/// connections.
pub struct HoldUpMonitor {
    schedule: Mutex<Schedule>,
    metrics: Arc<Metrics>,
}

impl Schedule {
    /// How late the event loop is, where that is more than a machine that is not busy makes it.
    fn delay(&self, now: Instant) -> Option<Duration> {
        let delay = now.saturating_duration_since(self.next_due?);
        (delay > MAX_DELAY).then_some(delay)
    }

    /// The last hold-up, while what lay in the sockets then is still being read.
    fn recent_hold_up(&self, now: Instant) -> Option<HoldUp> {
        self.last_hold_up
            .filter(|hold_up| now.saturating_duration_since(hold_up.noticed_at) <= CATCH_UP_TIME)
    }

    fn arrived_since(&self, now: Instant) -> Instant {
        match self.recent_hold_up(now) {
            Some(hold_up) => hold_up.since,
            None if self.delay(now).is_some() => self.last_run,
            None => now,
        }
    }
}

impl HoldUpMonitor {
    /// A monitor that has seen no run; hold-ups are counted in `metrics`.
    pub fn new(metrics: Arc<Metrics>) -> Arc<HoldUpMonitor> {
        Arc::new(HoldUpMonitor {
            schedule: Mutex::new(Schedule {
                last_run: Instant::now(),
                next_due: None,
                last_hold_up: None,
            }),
            metrics,
        })
    }

    /// Records that the event loop runs now.
    pub fn record_run(&self, now: Instant) {
        let mut schedule = lock(&self.schedule);
        let Some(delay) = schedule.delay(now) else {
            schedule.last_run = now;
            return;
        };
        schedule.last_hold_up = Some(HoldUp {
            since: schedule.arrived_since(now),
            noticed_at: now,
        });
        schedule.last_run = now;
        drop(schedule);
        self.metrics.count_hold_up(delay);
        if delay >= LOGGED_DELAY {
            log!(
                "held up for {} ms: see whether the process was suspended or the machine is too busy",
                delay.as_millis()
            );
        }
    }

    /// Records when the event loop is to run next at the latest.
    pub fn set_next_due(&self, next_due: Option<Instant>) {
        lock(&self.schedule).next_due = next_due;
    }

    /// The earliest time at which bytes that are read now can have arrived: now, unless the process is held up or
    /// was a moment ago.
    pub fn arrived_since(&self, now: Instant) -> Instant {
        lock(&self.schedule).arrived_since(now)
    }
}

#[cfg(test)]
mod tests;
