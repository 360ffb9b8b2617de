//! Decides how many attempts a server may have in flight: adjusts the concurrency limit of each server, and the
//! multiplier of all limits, by response latency and by the load that servers report.

use super::server_state::Server;
use crate::model::attempt::LoadReport;
use crate::time;
use std::time::Duration;

/// Initial limit of a server, whose latency is not known yet; divided among the limiters.
const INITIAL_ATTEMPTS: f64 = 4.0;
/// Attempts in flight that keep a server busy however long its responses take; divided among the limiters.
const MIN_ATTEMPTS: f64 = 2.0;
/// Maximum limit of a server at one limiter, before the multiplier.
const MAX_ATTEMPTS: f64 = 32.0;
/// Weight of one attempt in the moving average of a server's latency ratio.
const LATENCY_RATIO_GAIN: f64 = 0.25;
/// Latency ratio (latency over the slow threshold) above which the limit is reduced.
const REDUCE_ABOVE_LATENCY_RATIO: f64 = 1.0;
/// Latency ratio below which the limit is raised, if requests wait.
const RAISE_BELOW_LATENCY_RATIO: f64 = 0.55;
/// Multiplies the limit at each reduction for high latency.
const LATENCY_REDUCTION_FACTOR: f64 = 0.85;
/// Each raise is this fraction of the minimum limit, and less as the limit grows: all limiters see the same fast
/// responses and raise their limits together.
const RAISE_STEP_FRACTION: f64 = 0.15;
/// Multiplies the limit when the server rejects an attempt.
const REJECTION_REDUCTION_FACTOR: f64 = 0.7;
/// Fraction of the latency objective above which an attempt is slow: leaves time for a second attempt.
const SLOW_OBJECTIVE_FRACTION: f64 = 0.4;
/// Multiple of the baseline latency above which an attempt is slow: more concurrency would only lengthen the server's
/// queue.
const SLOW_BASELINE_MULTIPLE: f64 = 2.5;
/// Keeps the slow threshold, by which latencies are divided, above zero.
const MIN_SLOW_THRESHOLD_SECONDS: f64 = 0.001;

/// Concurrency limit, at each of `limiters` limiters, of a server whose latency is not known yet; below 1 where
/// limiters are many.
pub fn initial_limit(limiters: u32) -> f64 {
    INITIAL_ATTEMPTS / f64::from(limiters)
}

/// Minimum concurrency limit of a server at each of `limiters` limiters; below 1 where limiters are many.
pub fn min_limit(limiters: u32) -> f64 {
    MIN_ATTEMPTS / f64::from(limiters)
}

/// Latency in seconds above which an attempt is slow. A latency ratio is a latency divided by this threshold.
pub fn slow_threshold_seconds(objective_seconds: f64, baseline_seconds: f64) -> f64 {
    (objective_seconds * SLOW_OBJECTIVE_FRACTION)
        .min(baseline_seconds * SLOW_BASELINE_MULTIPLE)
        .max(MIN_SLOW_THRESHOLD_SECONDS)
}

impl Server {
    /// Adjusts the limit by the latency ratio of an attempt, with or without a response: reduces the limit while
    /// the moving average of the ratio is high, and raises it while the average is low and requests wait. Limiters do
    /// not see the queue at a server, and a response that comes too late is wasted work.
    pub fn adjust_limit(
        &mut self,
        now: Duration,
        latency_seconds: f64,
        slow_threshold_seconds: f64,
        min_limit: f64,
        requests_waiting: bool,
    ) {
        let ratio = latency_seconds / slow_threshold_seconds;
        self.latency_ratio += (ratio - self.latency_ratio) * LATENCY_RATIO_GAIN;
        let limit = &mut self.limit;
        if self.latency_ratio > REDUCE_ABOVE_LATENCY_RATIO && now >= limit.next_reduction_at {
            limit.attempts = (limit.attempts * LATENCY_REDUCTION_FACTOR).max(min_limit);
            // No further reduction until this one can affect the observed latency.
            let pause = time::from_seconds(latency_seconds.min(slow_threshold_seconds));
            limit.next_reduction_at = now + pause;
        } else if self.latency_ratio < RAISE_BELOW_LATENCY_RATIO && requests_waiting {
            let step = min_limit * RAISE_STEP_FRACTION / (limit.attempts / min_limit).max(1.0);
            limit.attempts = (limit.attempts + step).min(MAX_ATTEMPTS);
        }
    }

    /// Reduces the limit after the server rejected an attempt, down to the minimum limit; a limit that is already below
    /// the minimum stays.
    pub fn reduce_limit_on_rejection(&mut self, min_limit: f64) {
        let attempts = self.limit.attempts;
        self.limit.attempts = (attempts * REJECTION_REDUCTION_FACTOR).max(min_limit.min(attempts));
    }
}

/// How one attempt changes the multiplier of all limits.
struct MultiplierChange {
    reduce: bool,
    /// Takes effect only while requests wait.
    raise: bool,
    reduction_factor: f64,
    raise_factor: f64,
    max: f64,
}

/// Change by a server's load report: a report covers the requests of all limiters, so a few suffice. The maximum of 8
/// is for a limiter that takes over the clients of neighbouring limiters at a site with few servers left.
fn change_by_report(utilization: f64, queued: f64) -> MultiplierChange {
    MultiplierChange {
        reduce: queued >= 2.0,
        raise: utilization < 0.9 && queued < 1.0,
        reduction_factor: 0.8,
        raise_factor: 1.2,
        max: 8.0,
    }
}

/// Change by latency alone, where the server reports no load: doubling the multiplier takes well over a hundred
/// attempts.
fn change_by_latency(latency_ratio: f64) -> MultiplierChange {
    MultiplierChange {
        reduce: latency_ratio > 0.8,
        raise: latency_ratio < 0.65,
        reduction_factor: 0.985,
        raise_factor: 1.005,
        max: 4.0,
    }
}

/// Next value of the multiplier of all concurrency limits, at least 1. Where limiters are many, each sees too few
/// responses from one server, and its limit there is too low for a burst: without the multiplier, capacity would stay
/// unused while requests wait when other limiters fail or lose clients.
pub fn next_limit_multiplier(
    multiplier: f64,
    latency_ratio: f64,
    requests_waiting: bool,
    load: &LoadReport,
) -> f64 {
    let change = match (load.utilization, load.queued) {
        (Some(utilization), Some(queued)) => change_by_report(utilization, queued),
        _ => change_by_latency(latency_ratio),
    };
    let factor = if change.reduce {
        change.reduction_factor
    } else if requests_waiting && change.raise {
        change.raise_factor
    } else {
        1.0
    };
    (multiplier * factor).clamp(1.0, change.max)
}
