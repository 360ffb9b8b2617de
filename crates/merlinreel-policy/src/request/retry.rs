//! Decides whether a request may have another attempt, and whether its client may retry it.

use crate::model::limiter_config::LimiterConfig;
use crate::model::request_class::{Idempotency, IdempotencyScope};
use crate::request_table::PendingRequest;
use std::time::Duration;

/// Longest event loop stall between reading the clock and sending, as stated on the operators' page.
const MAX_STALL: Duration = Duration::from_millis(150);

/// Whether the request may have an attempt now: it is in time, has attempts left, and is safe to run again if it may
/// have run.
pub fn may_attempt(now: Duration, config: &LimiterConfig, pending: &PendingRequest) -> bool {
    let class = &config.classes[pending.request.class];
    let before_objective = now < pending.objective_at;
    let is_in_time = before_objective || class.late_weight > 0.0 && now < pending.deadline_at;
    let may_run = match (class.idempotency, pending.first_run) {
        (_, None) | (Idempotency::Idempotent, _) => true,
        (Idempotency::IdempotencyKey(_, lifetime), Some(first_run)) => {
            now + MAX_STALL < first_run.sent_at + lifetime
        }
        (Idempotency::NonIdempotent, Some(_)) => false,
    };
    let attempts_left = pending.attempts.len() < config.request_limits.max_attempts as usize;
    may_run && is_in_time && attempts_left
}

/// Time within which an attempt must reach its server, as servers forget an idempotency key some time after the first
/// attempt that may have run. `None` if there is no limit: the request has no key, or no attempt may have run yet.
pub fn must_arrive_within(
    now: Duration,
    config: &LimiterConfig,
    pending: &PendingRequest,
) -> Option<Duration> {
    let first_run = pending.first_run?;
    let Idempotency::IdempotencyKey(_, lifetime) =
        config.classes[pending.request.class].idempotency
    else {
        return None;
    };
    Some((first_run.sent_at + lifetime).saturating_sub(now + MAX_STALL))
}

/// Whether the client may retry the request, so that it is rejected rather than failed. An idempotency key must still
/// be known at all servers for that, as the client's retry may go to any of them.
pub fn client_may_retry(now: Duration, config: &LimiterConfig, pending: &PendingRequest) -> bool {
    match (
        config.classes[pending.request.class].idempotency,
        pending.first_run,
    ) {
        (_, None) | (Idempotency::Idempotent, _) => true,
        (Idempotency::IdempotencyKey(IdempotencyScope::All, lifetime), Some(first_run)) => {
            now < first_run.sent_at + lifetime
        }
        (_, Some(_)) => false,
    }
}
