//! Decides how the result of an attempt changes what is known of its server and of all servers together.

use super::concurrency_limit::{min_limit, next_limit_multiplier, slow_threshold_seconds};
use super::overdue_attempts::is_latency_sample;
use super::pool::ServerPool;
use super::pool_latency::PoolLatency;
use super::server_state::Server;
use crate::model::attempt::{AttemptOutcome, AttemptResult, LoadReport};
use crate::request_table::EndedAttempt;
use crate::time;
use std::time::Duration;

/// Successful responses that a bucket needs before its mean latency can become the baseline.
const MIN_BASELINE_RESPONSES: f64 = 20.0;
/// Weight of one attempt in the moving average of the latency ratio of all servers.
const POOL_LATENCY_RATIO_GAIN: f64 = 0.03;
/// An attempt that the client's deadline ended would have taken longer: it counts with at least this multiple of the
/// slow threshold.
const ABANDONED_LATENCY_FACTOR: f64 = 3.0;
/// Weight of one response in the moving average of a server's latency.
const SERVER_LATENCY_GAIN: f64 = 0.1;
/// Weight of one latency sample in the moving average of the typical latency.
const TYPICAL_LATENCY_GAIN: f64 = 0.05;
/// Multiplies the loss rate at each latency sample that succeeds.
const LOSS_RATE_DECAY: f64 = 0.98;

/// The result of an attempt, and the context that is needed to evaluate it.
pub struct ObservedResult<'a> {
    /// The result, as an event reported it.
    pub result: &'a AttemptResult,
    /// Class and overdue flag of the attempt, recorded before the result arrived.
    pub ended: EndedAttempt,
    /// Latency objective of the request's class, in seconds.
    pub objective_seconds: f64,
    /// Whether requests were waiting for an attempt when the result arrived.
    pub requests_waiting: bool,
    /// Number of limiters in the fleet.
    pub limiters: u32,
    /// The load that the server reported; all values are absent where limiters are few and load reports are ignored.
    pub load: LoadReport,
}

impl ObservedResult<'_> {
    fn latency_seconds(&self) -> f64 {
        time::seconds(self.result.latency)
    }

    /// Whether the duration of the attempt shows how fast the server is. An overdue attempt counts only if it
    /// succeeded, and one that the server never ran does not count.
    fn is_latency_observation(&self) -> bool {
        let outcome = self.result.outcome;
        let is_counted = !self.ended.overdue || outcome == AttemptOutcome::Success;
        !outcome.never_ran() && is_counted
    }

    /// Whether the attempt was sent, and was ended neither by a cancellation nor by the client's deadline.
    fn ended_by_server(&self) -> bool {
        !matches!(
            self.result.outcome,
            AttemptOutcome::Cancelled | AttemptOutcome::DeadlineExceeded | AttemptOutcome::NotSent
        )
    }
}

/// Updates the state of the attempt's server and the statistics over all servers from the result of an attempt.
pub fn observe(
    now: Duration,
    observed: &ObservedResult,
    pool: &mut ServerPool,
    latency: &mut PoolLatency,
) {
    let outcome = observed.result.outcome;
    if outcome == AttemptOutcome::Success {
        update_baseline(now, observed.latency_seconds(), latency);
    }
    let all_unreachable_at = pool.all_unreachable_at;
    if let Some(server) = pool.servers.get_mut(observed.result.server) {
        if !observed.ended.overdue {
            server.release_attempt();
        }
        if observed.ended_by_server() {
            server.health.unanswered_since = now;
        }
        if observed.is_latency_observation() {
            adjust_limits(now, observed, server, latency);
        }
        record_outcome(now, observed, server, latency, all_unreachable_at);
    }
    if outcome == AttemptOutcome::Unreachable && pool.is_whole_subset_unreachable() {
        pool.all_unreachable_at = Some(now);
    }
}

/// Sets the baseline to the lowest mean latency of the window's buckets with enough responses: under load, all
/// responses of a bucket are slow.
fn update_baseline(now: Duration, latency_seconds: f64, latency: &mut PoolLatency) {
    latency.successes.add(now, 1.0);
    latency.success_seconds.add(now, latency_seconds);
    let lowest_mean = latency
        .success_seconds
        .min_mean(&latency.successes, MIN_BASELINE_RESPONSES);
    if let Some(seconds) = lowest_mean {
        latency.baseline_seconds = seconds;
    }
}

fn adjust_limits(
    now: Duration,
    observed: &ObservedResult,
    server: &mut Server,
    latency: &mut PoolLatency,
) {
    let seconds = observed.latency_seconds();
    let threshold = slow_threshold_seconds(observed.objective_seconds, latency.baseline_seconds);
    let min_limit = min_limit(observed.limiters);
    server.adjust_limit(
        now,
        seconds,
        threshold,
        min_limit,
        observed.requests_waiting,
    );
    let counted_seconds = if observed.result.outcome == AttemptOutcome::DeadlineExceeded {
        seconds.max(ABANDONED_LATENCY_FACTOR * threshold)
    } else {
        seconds
    };
    latency.latency_ratio +=
        (counted_seconds / threshold - latency.latency_ratio) * POOL_LATENCY_RATIO_GAIN;
    latency.limit_multiplier = next_limit_multiplier(
        latency.limit_multiplier,
        latency.latency_ratio,
        observed.requests_waiting,
        &observed.load,
    );
}

fn record_outcome(
    now: Duration,
    observed: &ObservedResult,
    server: &mut Server,
    latency: &mut PoolLatency,
    all_unreachable_at: Option<Duration>,
) {
    match observed.result.outcome {
        AttemptOutcome::Success => {
            record_latency(observed, server, latency);
            server.record_success(now, latency, all_unreachable_at);
        }
        AttemptOutcome::Error => server.record_error(now, latency),
        AttemptOutcome::ConnectionLost => server.record_lost_connection(now, latency),
        AttemptOutcome::Rejected => {
            server.reduce_limit_on_rejection(min_limit(observed.limiters));
            server.pause_after_rejection(now);
        }
        AttemptOutcome::ConnectionRefused => server.record_refused_connection(now),
        AttemptOutcome::Unreachable => server.record_unreachable(now),
        AttemptOutcome::DeadlineExceeded | AttemptOutcome::Cancelled | AttemptOutcome::NotSent => {}
    }
}

fn record_latency(observed: &ObservedResult, server: &mut Server, latency: &mut PoolLatency) {
    let seconds = observed.latency_seconds();
    let gain = if server.latency_seconds > 0.0 {
        SERVER_LATENCY_GAIN
    } else {
        1.0
    };
    server.latency_seconds += (seconds - server.latency_seconds) * gain;
    if is_latency_sample(observed.result.request) {
        latency.typical_seconds += (seconds - latency.typical_seconds) * TYPICAL_LATENCY_GAIN;
        latency.loss_rate *= LOSS_RATE_DECAY;
    }
}
