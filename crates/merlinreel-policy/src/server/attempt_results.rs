//! Decides what the result of an attempt says about its server and about all servers.

use super::concurrency_limit::{least_limit, long_seconds, next_limit_multiplier};
use super::fleet_latency::FleetLatency;
use super::overdue_attempts::is_latency_sample;
use super::pool::ServerPool;
use super::server_state::Server;
use crate::model::attempt::{AttemptOutcome, AttemptResult, LoadReport};
use crate::request_table::EndedAttempt;
use crate::time;
use std::time::Duration;

/// Responses in a bucket that are enough for their mean time.
const BASELINE_RESPONSES: f64 = 20.0;
const PRESSURE_GAIN: f64 = 0.03;
/// A client that gave up would have waited longer: this multiple of a long time stands for it.
const ABANDONED_LATENCY_FACTOR: f64 = 3.0;
const SERVER_LATENCY_GAIN: f64 = 0.1;
const TYPICAL_LATENCY_GAIN: f64 = 0.05;
const LOSS_DECAY: f64 = 0.98;

/// The result of an attempt and what is needed to judge it.
pub struct ObservedResult<'a> {
    /// The result.
    pub result: &'a AttemptResult,
    /// What was known of the attempt.
    pub ended: EndedAttempt,
    /// Latency objective of the request's class, in seconds.
    pub objective_seconds: f64,
    /// Requests wait for an attempt.
    pub requests_waiting: bool,
    /// Number of limiters.
    pub limiters: u32,
    /// The server's report, where it is used.
    pub load: LoadReport,
}

impl ObservedResult<'_> {
    fn latency_seconds(&self) -> f64 {
        time::seconds(self.result.latency)
    }

    /// Whether its time says how fast the server is.
    fn is_latency_observation(&self) -> bool {
        let outcome = self.result.outcome;
        let counted = !self.ended.overdue || outcome == AttemptOutcome::Success;
        !outcome.never_ran() && counted
    }

    /// Whether the server itself ended the attempt.
    fn ended_by_server(&self) -> bool {
        !matches!(
            self.result.outcome,
            AttemptOutcome::Cancelled | AttemptOutcome::DeadlineExceeded | AttemptOutcome::NotSent
        )
    }
}

/// Takes over the result of an attempt.
pub fn observe(
    now: Duration,
    observed: &ObservedResult,
    pool: &mut ServerPool,
    latency: &mut FleetLatency,
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
    if outcome == AttemptOutcome::Unreachable && pool.reaches_none() {
        pool.all_unreachable_at = Some(now);
    }
}

/// The baseline is the fastest of the last buckets with enough responses, as load slows all responses of a bucket.
fn update_baseline(now: Duration, latency_seconds: f64, latency: &mut FleetLatency) {
    latency.successes.add(now, 1.0);
    latency.success_seconds.add(now, latency_seconds);
    let fastest = latency
        .success_seconds
        .least_mean(&latency.successes, BASELINE_RESPONSES);
    if let Some(seconds) = fastest {
        latency.baseline_seconds = seconds;
    }
}

fn adjust_limits(
    now: Duration,
    observed: &ObservedResult,
    server: &mut Server,
    latency: &mut FleetLatency,
) {
    let seconds = observed.latency_seconds();
    let long = long_seconds(observed.objective_seconds, latency.baseline_seconds);
    let least_limit = least_limit(observed.limiters);
    server.adjust_limit(now, seconds, long, least_limit, observed.requests_waiting);
    let perceived = if observed.result.outcome == AttemptOutcome::DeadlineExceeded {
        seconds.max(ABANDONED_LATENCY_FACTOR * long)
    } else {
        seconds
    };
    latency.pressure += (perceived / long - latency.pressure) * PRESSURE_GAIN;
    latency.limit_multiplier = next_limit_multiplier(
        latency.limit_multiplier,
        latency.pressure,
        observed.requests_waiting,
        &observed.load,
    );
}

fn record_outcome(
    now: Duration,
    observed: &ObservedResult,
    server: &mut Server,
    latency: &mut FleetLatency,
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
            server.reduce_limit_on_rejection(least_limit(observed.limiters));
            server.pause_after_rejection(now);
        }
        AttemptOutcome::ConnectionRefused => server.record_refused_connection(now),
        AttemptOutcome::Unreachable => server.record_unreachable(now),
        AttemptOutcome::DeadlineExceeded | AttemptOutcome::Cancelled | AttemptOutcome::NotSent => {}
    }
}

fn record_latency(observed: &ObservedResult, server: &mut Server, latency: &mut FleetLatency) {
    let seconds = observed.latency_seconds();
    let gain = if server.latency_seconds > 0.0 {
        SERVER_LATENCY_GAIN
    } else {
        1.0
    };
    server.latency_seconds += (seconds - server.latency_seconds) * gain;
    if is_latency_sample(observed.result.request) {
        latency.typical_seconds += (seconds - latency.typical_seconds) * TYPICAL_LATENCY_GAIN;
        latency.loss_rate *= LOSS_DECAY;
    }
}
