//! Measures the decision module with a list of servers: the processor time of an idle limiter and of a request.

use super::update_costs::limiter_with_list;
use crate::scale::{Meter, Report, ScaleError, Unit};
use std::time::Duration;

/// Simulated time of one run of an idle limiter at the largest size. Multiplied by [`Report::repeats`] at smaller
/// sizes.
const IDLE_DURATION: Duration = Duration::from_secs(3);
/// Selection intervals in one run of requests.
const SELECTION_INTERVALS: u64 = 10;
/// Requests in each selection interval at the largest size. Multiplied by [`Report::repeats`] at smaller
/// sizes.
const REQUESTS_PER_INTERVAL: u64 = 40;
/// Simulated time between applying the list and the start of a measurement.
const SETTLE: Duration = Duration::from_secs(1);

/// Measures an idle limiter: the event batches that the decision module schedules, once it has settled.
pub(super) fn measure_idle(report: &mut Report) -> Result<(), ScaleError> {
    let mut limiter = limiter_with_list(report)?;
    limiter.idle(SETTLE);
    let duration = IDLE_DURATION * report.repeats() as u32;
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

/// Measures requests one at a time, between two ticks. Each takes two event batches: one for the request, and one for
/// its immediate result.
pub(super) fn measure_requests(report: &mut Report) -> Result<(), ScaleError> {
    let mut limiter = limiter_with_list(report)?;
    limiter.idle(SETTLE);
    let per_interval = REQUESTS_PER_INTERVAL * report.repeats();
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
