//! Decides which attempts are overdue, and what follows from it.

use super::fleet_latency::FleetLatency;
use super::pool::ServerPool;
use crate::actions::Actions;
use crate::model::index::RequestIndex;
use crate::model::limiter_config::LimiterConfig;
use crate::model::request_class::Idempotency;
use crate::request_table::{PendingRequest, RequestTable};
use crate::time;
use std::time::Duration;

/// So many typical latencies without a response hardly happen by chance; the bounds fit short outages.
const OVERDUE_TYPICAL_LATENCIES: f64 = 6.0;
const LEAST_OVERDUE_SECONDS: f64 = 0.1;
const MAX_OVERDUE_SECONDS: f64 = 1.5;
/// Share of attempts that are overdue because they are slow rather than lost.
const SLOW_RATE: f64 = 0.03;
/// With one attempt in nine lost, the wait is half as long.
const LOSS_FACTOR: f64 = 12.0;
const LOSS_GAIN: f64 = 0.02;
/// One request in so many is a latency sample.
const SAMPLED_REQUESTS: u32 = 4;
/// Part of the time for which a key is known in which the request is retried.
const KEY_LIFETIME_DIVISOR: u32 = 2;

/// Time after which an attempt is overdue. Where many more are lost than slow ones make up, waiting pays off less.
pub fn overdue_after(typical_seconds: f64, loss_rate: f64) -> Duration {
    let losses = (loss_rate - SLOW_RATE).max(0.0);
    let seconds = typical_seconds * OVERDUE_TYPICAL_LATENCIES / (1.0 + LOSS_FACTOR * losses);
    time::from_seconds(seconds.clamp(LEAST_OVERDUE_SECONDS, MAX_OVERDUE_SECONDS))
}

/// Whether this request's attempts are always waited for in full. If slow attempts of all requests were cancelled, the
/// typical latency would seem ever shorter and slow responses would seem lost.
pub fn is_latency_sample(request: RequestIndex) -> bool {
    request.0.is_multiple_of(SAMPLED_REQUESTS)
}

/// Finds the attempts that are overdue. They no longer count against the limit of the server, which has done the work if
/// it is alive; a server that answered nothing since has failed; and a request that may be retried has its attempt
/// cancelled. This covers servers that hang as well as responses that are lost on the way.
pub fn detect_overdue_attempts(
    now: Duration,
    config: &LimiterConfig,
    servers: &mut ServerPool,
    latency: &mut FleetLatency,
    requests: &mut RequestTable,
    actions: &mut dyn Actions,
) {
    let shortened = overdue_after(latency.typical_seconds, latency.loss_rate);
    let full = overdue_after(latency.typical_seconds, 0.0);
    for pending in requests.pending.values_mut() {
        let may_cancel =
            config.request_limits.cancellation && may_run_elsewhere(now, config, pending);
        let is_sample = is_latency_sample(pending.request.id);
        let patience = if is_sample { full } else { shortened };
        for (number, attempt) in (0..).zip(&mut pending.attempts) {
            if !attempt.in_flight || attempt.overdue || now <= attempt.sent_at + patience {
                continue;
            }
            attempt.overdue = true;
            if let Some(server) = servers.servers.get_mut(attempt.server) {
                server.release_attempt();
                if is_sample {
                    latency.loss_rate += (1.0 - latency.loss_rate) * LOSS_GAIN;
                }
                let unanswered_since = server.health.unanswered_since;
                if unanswered_since <= attempt.sent_at && now > unanswered_since + full {
                    server.record_failure(now);
                }
            }
            if may_cancel && !std::mem::replace(&mut attempt.cancelled, true) {
                actions.cancel_attempt(pending.request.id, number);
            }
        }
    }
}

/// Whether a request whose attempt is cancelled may be sent to another server.
fn may_run_elsewhere(now: Duration, config: &LimiterConfig, pending: &PendingRequest) -> bool {
    let may_repeat = match config.classes[pending.request.class].idempotency {
        Idempotency::Idempotent => true,
        Idempotency::IdempotencyKey(_, lifetime) => pending
            .attempts
            .iter()
            .all(|attempt| now < attempt.sent_at + lifetime / KEY_LIFETIME_DIVISOR),
        Idempotency::NonIdempotent => false,
    };
    may_repeat
        && !pending.completed
        && pending.attempts.len() < config.request_limits.max_attempts as usize
        && now < pending.objective_at
}
