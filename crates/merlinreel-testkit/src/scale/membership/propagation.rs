//! Data points of how records reach all limiters.

use super::convergence::{cpu_share, report_held_back, report_traffic};
use super::{FIXED_LIMITERS, Fleet, Urgency};
use crate::scale::{Report, ScaleError, Source, Unit};
use merlinreel_mesh::PublishError;
use std::time::Duration;

/// How often it is checked who holds a record.
const WATCH_CHECK: Duration = Duration::from_millis(500);
const URGENT_RECORDS: usize = 3;
const ROUTINE_RECORDS: usize = 8;
/// When the share of holders of a routine record is reported, as far as it is watched that long.
const ROUTINE_SHARES: [(Duration, &str); 3] = [
    (Duration::from_secs(10), "routine_share_after_10_s"),
    (Duration::from_secs(30), "routine_share_after_30_s"),
    (Duration::from_secs(60), "routine_share_after_60_s"),
];
/// A change of configuration must be in force at all limiters by then.
const IN_FORCE: Duration = Duration::from_secs(4);
/// How long changes are published at a rate.
const CHANGES: Duration = Duration::from_secs(20);
const SECONDS_PER_DAY: u64 = 86_400;
/// Between a routine record and an urgent one of the same limiter.
const ROUTINE_BEFORE_URGENT: Duration = Duration::from_secs(1);

/// The names of the values for when records were held by all limiters.
struct CompletionMetrics {
    records_held_by_all: &'static str,
    seconds_until_last: &'static str,
}

const URGENT_COMPLETION: CompletionMetrics = CompletionMetrics {
    records_held_by_all: "urgent_records_held_by_all",
    seconds_until_last: "urgent_seconds_until_last",
};
const ROUTINE_COMPLETION: CompletionMetrics = CompletionMetrics {
    records_held_by_all: "routine_records_held_by_all",
    seconds_until_last: "routine_seconds_until_last",
};

/// Publishes urgent and routine records at one moment, and reports when they were held by whom.
pub fn report_records(
    fleet: &mut Fleet,
    report: &mut Report,
    watch_time: Duration,
) -> Result<(), ScaleError> {
    let urgent = publish_several(fleet, report, URGENT_RECORDS, Urgency::Urgent)?;
    let routine = publish_several(fleet, report, ROUTINE_RECORDS, Urgency::Routine)?;
    fleet.run_until(watch_time, WATCH_CHECK, |fleet| {
        urgent
            .iter()
            .chain(&routine)
            .all(|watch| fleet.watch(*watch).is_held_by_all())
    });
    report_share(fleet, report, &urgent, "urgent_share_after_4_s", IN_FORCE)?;
    report_completion(fleet, report, &urgent, &URGENT_COMPLETION)?;
    for (after, metric) in ROUTINE_SHARES {
        if after <= watch_time {
            report_share(fleet, report, &routine, metric, after)?;
        }
    }
    report_completion(fleet, report, &routine, &ROUTINE_COMPLETION)?;
    report_urgent_after_routine(fleet, report)
}

/// Urgent records of limiters that have just published a routine one, which not all limiters hold yet.
fn report_urgent_after_routine(fleet: &mut Fleet, report: &mut Report) -> Result<(), ScaleError> {
    let mut shares = Vec::new();
    for _ in 0..URGENT_RECORDS {
        let owner = fleet.draw_limiter();
        publish_watched(fleet, report, owner, Urgency::Routine)?;
        fleet.run(ROUTINE_BEFORE_URGENT);
        let watch = publish_watched(fleet, report, owner, Urgency::Urgent)?;
        fleet.run(IN_FORCE);
        shares.push(fleet.watch(watch).share_after(IN_FORCE));
    }
    report.runs(
        "urgent_after_routine_share_after_4_s",
        Unit::Count,
        Source::Counted,
        shares,
    )
}

/// The share of limiters that held each record after a time.
fn report_share(
    fleet: &Fleet,
    report: &mut Report,
    watches: &[usize],
    metric: &'static str,
    after: Duration,
) -> Result<(), ScaleError> {
    let shares = watches
        .iter()
        .map(|watch| fleet.watch(*watch).share_after(after))
        .collect();
    report.runs(metric, Unit::Count, Source::Counted, shares)
}

/// How many records all limiters hold, and after what time the last one did.
fn report_completion(
    fleet: &Fleet,
    report: &mut Report,
    watches: &[usize],
    metrics: &CompletionMetrics,
) -> Result<(), ScaleError> {
    let times: Vec<f64> = watches
        .iter()
        .filter_map(|watch| fleet.watch(*watch).time_to_all())
        .map(|time| time.as_secs_f64())
        .collect();
    report.counted(metrics.records_held_by_all, Unit::Count, times.len() as f64)?;
    report.runs(
        metrics.seconds_until_last,
        Unit::Seconds,
        Source::Counted,
        times,
    )
}

fn publish_several(
    fleet: &mut Fleet,
    report: &Report,
    records: usize,
    urgency: Urgency,
) -> Result<Vec<usize>, ScaleError> {
    let mut watches = Vec::new();
    for _ in 0..records {
        let owner = fleet.draw_limiter();
        watches.push(publish_watched(fleet, report, owner, urgency)?);
    }
    Ok(watches)
}

fn publish_watched(
    fleet: &mut Fleet,
    report: &Report,
    owner: u32,
    urgency: Urgency,
) -> Result<usize, ScaleError> {
    fleet
        .publish_watched(owner, urgency)
        .map_err(|error| report.failed(error))
}

/// Publishes records at a rate, first to measure their cost, then to watch them.
pub fn report_changes(fleet: &mut Fleet, report: &mut Report) -> Result<(), ScaleError> {
    let interval = Duration::from_secs_f64(SECONDS_PER_DAY as f64 / report.size as f64);
    let limiters = FIXED_LIMITERS as u64;
    let before = fleet.counts();
    fleet.network_mut().reset_traffic();
    let mut outcome = Ok(());
    let share = cpu_share(fleet, limiters, CHANGES, |fleet| {
        outcome = run_with_changes(fleet, interval, |fleet, owner| {
            fleet.publish(owner, Urgency::Urgent).map(|_| ())
        });
    });
    outcome.map_err(|error| report.failed(error))?;
    report_traffic(fleet, report, CHANGES.as_secs_f64())?;
    report_held_back(fleet, report, before)?;
    report.measured("cpu_share_per_limiter", Unit::CpuShare, vec![share])?;
    let mut watches = Vec::new();
    run_with_changes(fleet, interval, |fleet, owner| {
        watches.push(fleet.publish_watched(owner, Urgency::Urgent)?);
        Ok(())
    })
    .map_err(|error| report.failed(error))?;
    fleet.run(IN_FORCE);
    report_share(fleet, report, &watches, "urgent_share_after_4_s", IN_FORCE)
}

fn run_with_changes(
    fleet: &mut Fleet,
    interval: Duration,
    mut publish: impl FnMut(&mut Fleet, u32) -> Result<(), PublishError>,
) -> Result<(), PublishError> {
    let end = fleet.now() + CHANGES;
    while fleet.now() < end {
        let owner = fleet.draw_limiter();
        publish(fleet, owner)?;
        fleet.run(interval.min(end.saturating_sub(fleet.now())));
    }
    Ok(())
}
