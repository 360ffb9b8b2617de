//! Reports data points about the propagation of records to all limiters.

use super::convergence::{cpu_share, report_held_back, report_traffic};
use super::{FIXED_LIMITERS, Fleet, Urgency};
use crate::scale::{Report, ScaleError, Source, Unit};
use merlinreel_mesh::PublishError;
use std::time::Duration;

/// Simulated time between two checks of whether all limiters hold the watched records.
const WATCH_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Number of urgent records whose propagation is measured, each published by a random limiter.
const URGENT_RECORDS: usize = 3;
/// Number of routine records whose propagation is measured, each published by a random limiter.
const ROUTINE_RECORDS: usize = 8;
/// Times after publication at which the share of limiters that hold a routine record is reported, with the metric.
/// Times after the end of the watch are left out.
const ROUTINE_SHARES: [(Duration, &str); 3] = [
    (Duration::from_secs(10), "routine_share_after_10_s"),
    (Duration::from_secs(30), "routine_share_after_30_s"),
    (Duration::from_secs(60), "routine_share_after_60_s"),
];
/// A change of configuration must have reached all limiters within this time.
const MAX_URGENT_PROPAGATION: Duration = Duration::from_secs(4);
/// Simulated duration of each of the two phases in which changes are published: one to measure their cost,
/// one to measure their propagation.
const CHANGES_DURATION: Duration = Duration::from_secs(20);
const SECONDS_PER_DAY: u64 = 86_400;
/// Simulated time between a routine record and an urgent one of the same limiter.
const ROUTINE_TO_URGENT_DELAY: Duration = Duration::from_secs(1);

/// Names of the metrics for records that all limiters hold.
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

/// Publishes urgent and routine records at the same time, and reports the share of the limiters that hold them at given
/// times after publication, and when all do.
pub fn report_records(
    fleet: &mut Fleet,
    report: &mut Report,
    watch_time: Duration,
) -> Result<(), ScaleError> {
    let urgent = publish_several(fleet, report, URGENT_RECORDS, Urgency::Urgent)?;
    let routine = publish_several(fleet, report, ROUTINE_RECORDS, Urgency::Routine)?;
    fleet.run_until(watch_time, WATCH_CHECK_INTERVAL, |fleet| {
        urgent
            .iter()
            .chain(&routine)
            .all(|watch| fleet.watch(*watch).is_held_by_all())
    });
    report_share(
        fleet,
        report,
        &urgent,
        "urgent_share_after_4_s",
        MAX_URGENT_PROPAGATION,
    )?;
    report_completion(fleet, report, &urgent, &URGENT_COMPLETION)?;
    for (after, metric) in ROUTINE_SHARES {
        if after <= watch_time {
            report_share(fleet, report, &routine, metric, after)?;
        }
    }
    report_completion(fleet, report, &routine, &ROUTINE_COMPLETION)?;
    report_urgent_after_routine(fleet, report)
}

/// Reports the propagation of urgent records whose limiters published a routine one shortly before, which not all
/// limiters hold yet.
fn report_urgent_after_routine(fleet: &mut Fleet, report: &mut Report) -> Result<(), ScaleError> {
    let mut shares = Vec::new();
    for _ in 0..URGENT_RECORDS {
        let owner = fleet.draw_limiter();
        publish_watched(fleet, report, owner, Urgency::Routine)?;
        fleet.run(ROUTINE_TO_URGENT_DELAY);
        let watch = publish_watched(fleet, report, owner, Urgency::Urgent)?;
        fleet.run(MAX_URGENT_PROPAGATION);
        shares.push(fleet.watch(watch).share_after(MAX_URGENT_PROPAGATION));
    }
    report.runs(
        "urgent_after_routine_share_after_4_s",
        Unit::Count,
        Source::Counted,
        shares,
    )
}

/// Reports the share of limiters that held each record within a time after its publication.
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

/// Reports how many records all limiters hold, and how long after publication the last limiter received each of them.
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

/// Publishes urgent records at the rate that the size gives, first to measure their cost, then to measure their
/// propagation.
pub fn report_changes(fleet: &mut Fleet, report: &mut Report) -> Result<(), ScaleError> {
    let interval = Duration::from_secs_f64(SECONDS_PER_DAY as f64 / report.size as f64);
    let limiters = FIXED_LIMITERS as u64;
    let before = fleet.counts();
    fleet.network_mut().reset_traffic();
    let mut outcome = Ok(());
    let share = cpu_share(fleet, limiters, CHANGES_DURATION, |fleet| {
        outcome = run_with_changes(fleet, interval, |fleet, owner| {
            fleet.publish(owner, Urgency::Urgent).map(|_| ())
        });
    });
    outcome.map_err(|error| report.failed(error))?;
    report_traffic(fleet, report, CHANGES_DURATION.as_secs_f64())?;
    report_held_back(fleet, report, before)?;
    report.measured("cpu_share_per_limiter", Unit::CpuShare, vec![share])?;
    let mut watches = Vec::new();
    run_with_changes(fleet, interval, |fleet, owner| {
        watches.push(fleet.publish_watched(owner, Urgency::Urgent)?);
        Ok(())
    })
    .map_err(|error| report.failed(error))?;
    fleet.run(MAX_URGENT_PROPAGATION);
    report_share(
        fleet,
        report,
        &watches,
        "urgent_share_after_4_s",
        MAX_URGENT_PROPAGATION,
    )
}

/// Runs the fleet for [`CHANGES_DURATION`], and publishes a record of a random limiter at each interval.
fn run_with_changes(
    fleet: &mut Fleet,
    interval: Duration,
    mut publish: impl FnMut(&mut Fleet, u32) -> Result<(), PublishError>,
) -> Result<(), PublishError> {
    let end = fleet.now() + CHANGES_DURATION;
    while fleet.now() < end {
        let owner = fleet.draw_limiter();
        publish(fleet, owner)?;
        fleet.run(interval.min(end.saturating_sub(fleet.now())));
    }
    Ok(())
}
