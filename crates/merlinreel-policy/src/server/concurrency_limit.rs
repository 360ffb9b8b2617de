//! Decides how many attempts a server may have in flight, by how long its responses take and by what it reports.

use super::server_state::Server;
use crate::model::attempt::LoadReport;
use crate::time;
use std::time::Duration;

/// Attempts at a server whose speed is not known yet, over all limiters.
const INITIAL_ATTEMPTS: f64 = 4.0;
/// Attempts that keep a server at work however long its responses take, over all limiters.
const LEAST_ATTEMPTS: f64 = 2.0;
const MAX_ATTEMPTS: f64 = 32.0;
const LATENCY_RATIO_GAIN: f64 = 0.25;
const REDUCE_ABOVE_RATIO: f64 = 1.0;
const RAISE_BELOW_RATIO: f64 = 0.55;
const REDUCTION_FACTOR: f64 = 0.85;
/// All limiters see the same fast responses, and raise their limits together.
const RAISE_SHARE: f64 = 0.15;
const REJECTION_FACTOR: f64 = 0.7;
/// Share of the latency objective that counts as long, so that a second attempt has time.
const LONG_OBJECTIVE_SHARE: f64 = 0.4;
/// Above this multiple of the baseline latency servers only queue requests.
const LONG_BASELINE_FACTOR: f64 = 2.5;
const LEAST_LONG_SECONDS: f64 = 0.001;

/// The limit of a server whose speed is not known yet, at one of so many limiters.
pub fn initial_limit(limiters: u32) -> f64 {
    INITIAL_ATTEMPTS / f64::from(limiters)
}

/// The least limit of a server, at one of so many limiters.
pub fn least_limit(limiters: u32) -> f64 {
    LEAST_ATTEMPTS / f64::from(limiters)
}

/// The time from which on a response counts as long, in seconds.
pub fn long_seconds(objective_seconds: f64, baseline_seconds: f64) -> f64 {
    (objective_seconds * LONG_OBJECTIVE_SHARE)
        .min(baseline_seconds * LONG_BASELINE_FACTOR)
        .max(LEAST_LONG_SECONDS)
}

impl Server {
    /// The limit follows how long attempts take, whether they were answered or not, against what is long: no limiter
    /// sees the queue at a server, and work that a server does too late is of use to nobody.
    pub fn adjust_limit(
        &mut self,
        now: Duration,
        latency_seconds: f64,
        long_seconds: f64,
        least_limit: f64,
        requests_waiting: bool,
    ) {
        let ratio = latency_seconds / long_seconds;
        self.latency_ratio += (ratio - self.latency_ratio) * LATENCY_RATIO_GAIN;
        let limit = &mut self.limit;
        if self.latency_ratio > REDUCE_ABOVE_RATIO && now >= limit.next_reduction_at {
            limit.attempts = (limit.attempts * REDUCTION_FACTOR).max(least_limit);
            // Not again before this reduction can show in the responses.
            let pause = time::from_seconds(latency_seconds.min(long_seconds));
            limit.next_reduction_at = now + pause;
        } else if self.latency_ratio < RAISE_BELOW_RATIO && requests_waiting {
            let step = least_limit * RAISE_SHARE / (limit.attempts / least_limit).max(1.0);
            limit.attempts = (limit.attempts + step).min(MAX_ATTEMPTS);
        }
    }

    /// The server rejected an attempt: its limit falls, but never rises to the least one.
    pub fn reduce_limit_on_rejection(&mut self, least_limit: f64) {
        let attempts = self.limit.attempts;
        self.limit.attempts = (attempts * REJECTION_FACTOR).max(least_limit.min(attempts));
    }
}

/// How the multiplier of all limits changes.
struct MultiplierChange {
    reduce: bool,
    raise: bool,
    reduction_factor: f64,
    raise_factor: f64,
    max: f64,
}

/// From what a server reports: this covers all limiters' requests, so a few reports suffice. Up to eight times, for a
/// limiter that takes over its neighbours' clients in a site with few servers left.
fn change_by_report(utilization: f64, queued: f64) -> MultiplierChange {
    MultiplierChange {
        reduce: queued >= 2.0,
        raise: utilization < 0.9 && queued < 1.0,
        reduction_factor: 0.8,
        raise_factor: 1.2,
        max: 8.0,
    }
}

/// From responses' times alone: some hundred of them double the multiplier.
fn change_by_latency(pressure: f64) -> MultiplierChange {
    MultiplierChange {
        reduce: pressure > 0.8,
        raise: pressure < 0.65,
        reduction_factor: 0.985,
        raise_factor: 1.005,
        max: 4.0,
    }
}

/// The next multiplier of all limits. With many limiters each has too few responses from one server, and its limit there
/// is less than a burst needs: capacity would stay unused while requests wait, as limiters fail or lose clients.
pub fn next_limit_multiplier(
    multiplier: f64,
    pressure: f64,
    requests_waiting: bool,
    load: &LoadReport,
) -> f64 {
    let change = match (load.utilization, load.queued) {
        (Some(utilization), Some(queued)) => change_by_report(utilization, queued),
        _ => change_by_latency(pressure),
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
