//! Which faults a log holds, by limiter and by link.

use crate::event_log::{Event, LinkId, LogEntry};
use std::collections::BTreeMap;
use std::time::Duration;

/// A request sent this long after SIGTERM must have its response before SIGKILL.
const LATE_IN_SHUTDOWN: Duration = Duration::from_millis(700);
/// SIGKILL follows SIGTERM within this time; a later kill is of a process that was started again.
const KILL_FOLLOWS_WITHIN: Duration = Duration::from_millis(2450);

/// A closed interval of the log's time.
#[derive(Clone, Copy, Debug)]
pub struct Interval {
    /// Its first moment.
    pub start: Duration,
    /// Its last moment; [`Duration::MAX`] while it is open.
    pub end: Duration,
}

impl Interval {
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

    fn overlap(&self, other: Interval) -> Duration {
        let end = self.end.min(other.end);
        end.saturating_sub(self.start.max(other.start))
    }
}

/// The faults of a log.
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
    /// Collects the faults of a log.
    pub fn from_log(entries: &[LogEntry]) -> FaultTimeline {
        let mut timeline = FaultTimeline::default();
        for entry in entries {
            timeline.add(entry.at, &entry.event);
        }
        timeline
    }

    fn add(&mut self, at: Duration, event: &Event) {
        let opened = Interval::open_from(at);
        match *event {
            Event::LimiterKilled { limiter } => self.kills.entry(limiter).or_default().push(at),
            Event::LimiterTerminated { limiter } => {
                self.terminations.entry(limiter).or_default().push(at);
            }
            Event::BurstStarted { limiter } => {
                self.bursts.entry(limiter).or_default().push(opened);
            }
            Event::BurstEnded { limiter } => close_open(self.bursts.get_mut(&limiter), at),
            Event::LimiterSuspended { limiter } => {
                self.suspensions.entry(limiter).or_default().push(opened);
            }
            Event::LimiterContinued { limiter } => {
                // One signal ends one suspension: the last that is open.
                let suspensions = self.suspensions.get_mut(&limiter).into_iter().flatten();
                if let Some(last) = suspensions.rev().find(|interval| interval.is_open()) {
                    last.end = at;
                }
            }
            Event::LinkPartitioned(link) => {
                self.partitions.entry(link).or_default().push(opened);
            }
            Event::LinkHealed(link) => close_open(self.partitions.get_mut(&link), at),
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

    /// Whether the limiter was killed within the interval at the end of a shutdown, in which the interval began late.
    pub fn was_killed_late_in_shutdown(&self, limiter: usize, interval: Interval) -> bool {
        let terminations = self.terminations.get(&limiter).into_iter().flatten();
        let last = terminations.filter(|&&at| at <= interval.start).max();
        let Some(&terminated) = last else {
            return false;
        };
        let is_late = interval.start > terminated + LATE_IN_SHUTDOWN;
        let kills = self.kills.get(&limiter).into_iter().flatten();
        let mut kills = kills.filter(|&&at| interval.contains(at));
        is_late && kills.any(|&killed| killed < terminated + KILL_FOLLOWS_WITHIN)
    }

    /// How long the limiter was suspended within the interval.
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

    /// When discovery first announced to the link's limiter that the link's server drains.
    pub fn drain_announced_at(&self, link: LinkId) -> Option<Duration> {
        self.drains.get(&link).copied()
    }
}

fn close_open(intervals: Option<&mut Vec<Interval>>, at: Duration) {
    for interval in intervals.into_iter().flatten() {
        interval.end = interval.end.min(at);
    }
}
