//! Reports data points about the convergence of a fleet and about an idle fleet.

use super::{Fleet, FleetCounts, Phases};
use crate::scale::{Meter, Report, ScaleError, Traffic, Unit};
use std::time::Duration;

/// Simulated time between two checks of whether each limiter knows nearly all others.
const NEARLY_CONVERGED_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Runs the fleet until it has converged or the timeout has passed. Reports the time and traffic that this took, and
/// how much the limiters know at its end.
pub fn report_convergence(
    fleet: &mut Fleet,
    report: &mut Report,
    timeout: Duration,
) -> Result<(), ScaleError> {
    let start = fleet.now();
    fleet.network_mut().reset_traffic();
    let has_nearly_converged = fleet.run_until(timeout, NEARLY_CONVERGED_CHECK_INTERVAL, |fleet| {
        fleet.knowledge().is_nearly_complete()
    });
    if has_nearly_converged {
        let seconds = fleet.now().saturating_sub(start).as_secs_f64();
        report.counted("seconds_until_all_know_99_percent", Unit::Seconds, seconds)?;
    }
    let has_converged = fleet.run_until_converged((start + timeout).saturating_sub(fleet.now()));
    let seconds = fleet.now().saturating_sub(start).as_secs_f64();
    let metric = if has_converged {
        "seconds_until_whole"
    } else {
        "seconds_not_whole"
    };
    report.counted(metric, Unit::Seconds, seconds)?;
    let sent = per_limiter(fleet, |traffic| traffic.sent_bytes as f64);
    report.counted("settling_bytes_of_all", Unit::Bytes, sent.iter().sum())?;
    report.counted("settling_bytes_per_limiter", Unit::Bytes, mean(&sent))?;
    report.counted("settling_bytes_of_greatest", Unit::Bytes, greatest(&sent))?;
    let knowledge = fleet.knowledge();
    let shares = [
        ("members_known_share", knowledge.members),
        ("members_known_share_least", knowledge.least_members),
        ("records_held_share", knowledge.records),
        ("records_held_share_least", knowledge.least_records),
    ];
    shares
        .into_iter()
        .try_for_each(|(metric, share)| report.counted(metric, Unit::Count, share))
}

/// Runs the fleet without changes, and reports its traffic and processor time.
pub fn report_idle(
    fleet: &mut Fleet,
    report: &mut Report,
    phases: Phases,
) -> Result<(), ScaleError> {
    fleet.run(phases.settle);
    let mut shares = Vec::new();
    let before = fleet.counts();
    fleet.network_mut().reset_traffic();
    let start = fleet.now();
    for _ in 0..report.request.runs {
        shares.push(cpu_share(fleet, report.size, phases.idle, |fleet| {
            fleet.run(phases.idle);
        }));
    }
    let seconds = fleet.now().saturating_sub(start).as_secs_f64();
    report_traffic(fleet, report, seconds)?;
    report_held_back(fleet, report, before)?;
    report.measured("cpu_share_per_limiter", Unit::CpuShare, shares)
}

/// Processor time of `run` per limiter, as a share of a core over the simulated `duration`. Includes the in-memory
/// network.
pub fn cpu_share(
    fleet: &mut Fleet,
    limiters: u64,
    duration: Duration,
    run: impl FnOnce(&mut Fleet),
) -> f64 {
    let meter = Meter::start();
    run(fleet);
    meter.read().cpu_seconds / limiters as f64 / duration.as_secs_f64()
}

/// Reports the mean and greatest traffic of a limiter since the last reset, which was this many simulated seconds ago.
pub fn report_traffic(fleet: &Fleet, report: &mut Report, seconds: f64) -> Result<(), ScaleError> {
    let bytes = per_limiter(fleet, |traffic| traffic.sent_bytes as f64 / seconds);
    let messages = per_limiter(fleet, |traffic| traffic.sent_messages as f64 / seconds);
    let rates = [
        ("sent_bytes_per_limiter", Unit::BytesPerSecond, mean(&bytes)),
        (
            "sent_bytes_of_greatest",
            Unit::BytesPerSecond,
            greatest(&bytes),
        ),
        (
            "sent_messages_per_limiter",
            Unit::MessagesPerSecond,
            mean(&messages),
        ),
        (
            "sent_messages_of_greatest",
            Unit::MessagesPerSecond,
            greatest(&messages),
        ),
    ];
    rates
        .into_iter()
        .try_for_each(|(metric, unit, rate)| report.counted(metric, unit, rate))
}

/// Reports the share of messages since `before` that were not sent, because the byte budget of their limiter was
/// exhausted.
pub fn report_held_back(
    fleet: &Fleet,
    report: &mut Report,
    before: FleetCounts,
) -> Result<(), ScaleError> {
    let after = fleet.counts();
    let sent = after.sent - before.sent;
    let held_back = after.held_back - before.held_back;
    let share = held_back as f64 / (sent + held_back).max(1) as f64;
    report.counted("held_back_share", Unit::Count, share)
}

fn per_limiter(fleet: &Fleet, value: impl Fn(&Traffic) -> f64) -> Vec<f64> {
    fleet.network().traffic().iter().map(value).collect()
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

fn greatest(values: &[f64]) -> f64 {
    values.iter().copied().fold(0.0, f64::max)
}
