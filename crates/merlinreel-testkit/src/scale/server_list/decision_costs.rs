//! The decisions over the servers: what an idle limiter spends, and what a request costs.

use super::update_costs::limiter_with_list;
use crate::scale::{Meter, Report, ScaleError, Unit};
use std::time::Duration;

/// How long an idle limiter is measured on the simulated clock, at the largest size.
const IDLE: Duration = Duration::from_secs(3);
const SELECTION_INTERVALS: u64 = 10;
/// Requests in each interval at the largest size.
const REQUESTS: u64 = 40;
/// After a list, before anything is measured.
const SETTLE: Duration = Duration::from_secs(1);

/// Event batches as the decision module schedules them, once it has settled.
pub(super) fn measure_idle(report: &mut Report) -> Result<(), ScaleError> {
    let mut limiter = limiter_with_list(report)?;
    limiter.idle(SETTLE);
    let duration = IDLE * report.repeats() as u32;
    let mut shares = Vec::new();
    let mut wakeups = 0;
    for _ in 0..report.request.runs {
        let before = limiter.actions().wakeups;
        let meter = Meter::start();
        limiter.idle(duration);
        shares.push(meter.read().cpu_seconds / duration.as_secs_f64());
        wakeups = limiter.actions().wakeups - before;
    }
    report.measured("idle_cpu", Unit::CpuShare, shares)?;
    let wakeups_per_10_s = wakeups * 10 / duration.as_secs();
    report.counted("idle_rounds_per_10_s", Unit::Count, wakeups_per_10_s as f64)
}

/// One request at a time, answered at once, between two ticks: two event batches each.
pub(super) fn measure_requests(report: &mut Report) -> Result<(), ScaleError> {
    let mut limiter = limiter_with_list(report)?;
    limiter.idle(SETTLE);
    let per_interval = REQUESTS * report.repeats();
    let before = limiter.actions().attempts;
    let mut costs = Vec::new();
    for _ in 0..report.request.runs {
        let mut cpu_seconds = 0.0;
        for _ in 0..SELECTION_INTERVALS {
            limiter.advance_selection_interval();
            let meter = Meter::start();
            (0..per_interval).for_each(|_| limiter.request());
            cpu_seconds += meter.read().cpu_seconds;
        }
        costs.push(cpu_seconds / (SELECTION_INTERVALS * per_interval) as f64);
    }
    let requests = SELECTION_INTERVALS * per_interval * u64::from(report.request.runs);
    let attempts = limiter.actions().attempts - before;
    report.measured("request_cpu", Unit::CpuSeconds, costs)?;
    report.counted(
        "requests_sent_of_1000",
        Unit::Count,
        (attempts * 1_000 / requests) as f64,
    )
}
