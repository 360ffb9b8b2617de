//! The faults recorded in a log, grouped by limiter and by link.

use crate::event_log::{Event, LinkId, LogEntry};
use std::collections::BTreeMap;
use std::time::Duration;

/// A request sent later than this after SIGTERM must be answered before SIGKILL.
const LATE_REQUEST_AFTER_SIGTERM: Duration = Duration::from_millis(700);
/// A kill within less than this time after SIGTERM ends that shutdown. A later one kills a restarted process.
const MAX_KILL_DELAY_AFTER_SIGTERM: Duration = Duration::from_millis(2450);

/// A time interval that includes both bounds, measured like [`LogEntry::at`].
#[derive(Clone, Copy, Debug)]
pub struct Interval {
    /// Lower bound.
    pub start: Duration,
    /// Upper bound; [`Duration::MAX`] if the interval has not ended.
    pub end: Duration,
}

impl Interval {
    /// An interval that has not ended.
    fn open_from(start: Duration) -> Interval {
        Interval {
            start,
            end: Duration::MAX,
        }
    }

    fn is_open(&self) -> bool {
        self.end == Duration::MAX
    }

    fn contains(&self, at: Duration) -> bool {
        at >= self.start && at <= self.end
    }

    fn overlaps(&self, other: Interval) -> bool {
        self.start <= other.end && self.end >= other.start
    }

    /// Length of the intersection; zero if there is none.
    fn overlap(&self, other: Interval) -> Duration {
        let end = self.end.min(other.end);
        end.saturating_sub(self.start.max(other.start))
    }
}

/// Times and intervals of the faults in a log.
#[derive(Default)]
pub struct FaultTimeline {
    kills: BTreeMap<usize, Vec<Duration>>,
    terminations: BTreeMap<usize, Vec<Duration>>,
    bursts: BTreeMap<usize, Vec<Interval>>,
    suspensions: BTreeMap<usize, Vec<Interval>>,
    partitions: BTreeMap<LinkId, Vec<Interval>>,
    drains: BTreeMap<LinkId, Duration>,
}

impl FaultTimeline {
    /// Collects the faults of a log, whose entries must be in chronological order.
    pub fn from_log(entries: &[LogEntry]) -> FaultTimeline {
        let mut timeline = FaultTimeline::default();
        for entry in entries {
            timeline.add(entry.at, &entry.event);
        }
        timeline
    }

    fn add(&mut self, at: Duration, event: &Event) {
        let open_interval = Interval::open_from(at);
        match *event {
            Event::LimiterKilled { limiter } => self.kills.entry(limiter).or_default().push(at),
            Event::LimiterTerminated { limiter } => {
                self.terminations.entry(limiter).or_default().push(at);
            }
            Event::BurstStarted { limiter } => {
                self.bursts.entry(limiter).or_default().push(open_interval);
            }
            Event::BurstEnded { limiter } => end_open_intervals(self.bursts.get_mut(&limiter), at),
            Event::LimiterSuspended { limiter } => {
                self.suspensions
                    .entry(limiter)
                    .or_default()
                    .push(open_interval);
            }
            Event::LimiterContinued { limiter } => {
                // SIGCONT ends only the latest suspension that has not ended.
                let suspensions = self.suspensions.get_mut(&limiter).into_iter().flatten();
                if let Some(last) = suspensions.rev().find(|interval| interval.is_open()) {
                    last.end = at;
                }
            }
            Event::LinkPartitioned(link) => {
                self.partitions.entry(link).or_default().push(open_interval);
            }
            Event::LinkHealed(link) => end_open_intervals(self.partitions.get_mut(&link), at),
            Event::DrainAnnounced(link) => {
                self.drains.entry(link).or_insert(at);
            }
            _ => {}
        }
    }

    /// Whether the limiter was killed within the interval.
    pub fn was_killed(&self, limiter: usize, interval: Interval) -> bool {
        let mut kills = self.kills.get(&limiter).into_iter().flatten();
        kills.any(|&at| interval.contains(at))
    }

    /// Whether the interval began late in a shutdown of the limiter, and the SIGKILL of that shutdown lies within it.
    pub fn was_killed_late_in_shutdown(&self, limiter: usize, interval: Interval) -> bool {
        let terminations = self.terminations.get(&limiter).into_iter().flatten();
        let last = terminations.filter(|&&at| at <= interval.start).max();
        let Some(&terminated) = last else {
            return false;
        };
        let is_late = interval.start > terminated + LATE_REQUEST_AFTER_SIGTERM;
        let kills = self.kills.get(&limiter).into_iter().flatten();
        let mut kills = kills.filter(|&&at| interval.contains(at));
        is_late && kills.any(|&killed| killed < terminated + MAX_KILL_DELAY_AFTER_SIGTERM)
    }

    /// Total time of the interval in which the limiter was suspended.
    pub fn suspended_for(&self, limiter: usize, interval: Interval) -> Duration {
        let suspensions = self.suspensions.get(&limiter).into_iter().flatten();
        suspensions
            .map(|suspension| suspension.overlap(interval))
            .sum()
    }

    /// Whether a burst occupied the limiter's connection slots at any time of the interval.
    pub fn had_burst(&self, limiter: usize, interval: Interval) -> bool {
        let mut bursts = self.bursts.get(&limiter).into_iter().flatten();
        bursts.any(|burst| burst.overlaps(interval))
    }

    /// Whether the link was partitioned at any time of the interval.
    pub fn was_partitioned(&self, link: LinkId, interval: Interval) -> bool {
        let mut partitions = self.partitions.get(&link).into_iter().flatten();
        partitions.any(|partition| partition.overlaps(interval))
    }

    /// When discovery first announced to the link's limiter that the link's server is draining or removed; `None` if it
    /// never did.
    pub fn drain_announced_at(&self, link: LinkId) -> Option<Duration> {
        self.drains.get(&link).copied()
    }
}

/// Ends at `at` all intervals that have not ended by then.
fn end_open_intervals(intervals: Option<&mut Vec<Interval>>, at: Duration) {
    for interval in intervals.into_iter().flatten() {
        interval.end = interval.end.min(at);
    }
}
