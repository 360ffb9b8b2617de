//! The decision state over the servers: what an idle limiter spends, and what a request costs.

use super::reading::informed;
use super::report::Report;
use crate::scale::{Meter, ScaleError, Source, Unit};
use std::time::Duration;

/// What is measured of an idle limiter, on the test's clock, at the largest size.
const IDLE: Duration = Duration::from_secs(3);
const TURNS: u64 = 10;
/// Requests in a turn at the largest size.
const REQUESTS: u64 = 40;

/// Rounds as the decision module asks for them by its wakes, a second after the list came.
pub(super) fn idle(report: &mut Report) -> Result<(), ScaleError> {
    let mut limiter = informed(report)?;
    limiter.rest(Duration::from_secs(1));
    let span = IDLE * report.repeats() as u32;
    let (mut shares, mut wakes) = (Vec::new(), 0);
    for _ in 0..report.request.runs {
        let before = limiter.written().wakes;
        let meter = Meter::start();
        limiter.rest(span);
        shares.push(meter.read().cpu_seconds / span.as_secs_f64());
        wakes = limiter.written().wakes - before;
    }
    report.runs("idle_cpu", Unit::CpuShare, Source::Kernel, shares)?;
    report.counted(
        "idle_rounds_per_10_s",
        Unit::Count,
        wakes * 10 / span.as_secs(),
    )
}

/// One request at a time, answered at once, between two beats: two rounds each.
pub(super) fn requests(report: &mut Report) -> Result<(), ScaleError> {
    let mut limiter = informed(report)?;
    limiter.rest(Duration::from_secs(1));
    let in_a_turn = REQUESTS * report.repeats();
    let before = limiter.written().sent;
    let mut costs = Vec::new();
    for _ in 0..report.request.runs {
        let mut spent = 0.0;
        for _ in 0..TURNS {
            limiter.next_turn();
            let meter = Meter::start();
            (0..in_a_turn).for_each(|_| limiter.request());
            spent += meter.read().cpu_seconds;
        }
        costs.push(spent / (TURNS * in_a_turn) as f64);
    }
    let made = TURNS * in_a_turn * u64::from(report.request.runs);
    let sent = limiter.written().sent - before;
    report.runs("request_cpu", Unit::CpuSeconds, Source::Kernel, costs)?;
    report.counted("requests_sent_of_1000", Unit::Count, sent * 1_000 / made)
}
