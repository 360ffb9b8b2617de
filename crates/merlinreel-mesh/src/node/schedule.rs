//! Schedule of a node's periodic tasks.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// How often digests are compared with one other member; a digest list of fifty owners takes 0.9 KB.
const COMPARISON_INTERVAL: Duration = Duration::from_secs(1);
/// How often this process increments its heartbeat. Its records' ages are accurate to this.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// How often the seeds are contacted while no other member is known.
const REJOIN_INTERVAL: Duration = Duration::from_secs(1);
/// How often this process announces itself to one departed member or seed.
const DEPARTED_PROBE_INTERVAL: Duration = Duration::from_secs(3);

/// When each periodic task is due next, by the node's monotonic clock.
#[derive(Debug)]
pub struct Schedule {
    next_comparison: Duration,
    next_heartbeat: Duration,
    next_rejoin: Duration,
    next_departed_probe: Duration,
}

impl Schedule {
    /// A schedule that begins at `now`, with the first heartbeat due at once and the first comparison due after
    /// `comparison_delay`.
    pub fn new(now: Duration, comparison_delay: Duration) -> Schedule {
        Schedule {
            next_comparison: now + comparison_delay,
            next_heartbeat: now,
            next_rejoin: now,
            next_departed_probe: now + DEPARTED_PROBE_INTERVAL,
        }
    }

    /// The earliest time at which a task is due.
    pub fn next(&self) -> Duration {
        self.next_comparison
            .min(self.next_heartbeat)
            .min(self.next_rejoin)
            .min(self.next_departed_probe)
    }

    /// Returns whether a heartbeat is due, and schedules the next one if so.
    pub fn take_heartbeat(&mut self, now: Duration) -> bool {
        take_due(&mut self.next_heartbeat, HEARTBEAT_INTERVAL, now)
    }

    /// Returns whether the seeds are due to be contacted if no other member is known, and schedules the next time if
    /// so.
    pub fn take_rejoin(&mut self, now: Duration) -> bool {
        take_due(&mut self.next_rejoin, REJOIN_INTERVAL, now)
    }

    /// Returns whether a departed member or seed is due to be probed, and schedules the next probe if so.
    pub fn take_departed_probe(&mut self, now: Duration) -> bool {
        take_due(&mut self.next_departed_probe, DEPARTED_PROBE_INTERVAL, now)
    }

    /// Returns whether a comparison of digests is due, and schedules the next one if so, with jitter so that the
    /// members don't synchronize.
    pub fn take_comparison(&mut self, now: Duration, random: &mut ChaCha8Rng) -> bool {
        let is_due = self.next_comparison <= now;
        if is_due {
            self.next_comparison = now + COMPARISON_INTERVAL.mul_f64(random.random_range(0.8..1.2));
        }
        is_due
    }
}

fn take_due(next: &mut Duration, interval: Duration, now: Duration) -> bool {
    let is_due = *next <= now;
    if is_due {
        *next = now + interval;
    }
    is_due
}
