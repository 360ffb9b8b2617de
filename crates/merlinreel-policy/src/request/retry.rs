//! Decides whether a request may have another attempt, and whether its client may send it again.

use crate::model::limiter_config::LimiterConfig;
use crate::model::request_class::{Idempotency, IdempotencyScope};
use crate::request_table::PendingRequest;
use std::time::Duration;

/// Time for which the limiter may be held up between reading its clock and sending, as the operators' page has it.
const MAX_HOLD_UP: Duration = Duration::from_millis(150);

/// Whether the request may have an attempt now.
pub fn may_attempt(now: Duration, config: &LimiterConfig, pending: &PendingRequest) -> bool {
    let class = &config.classes[pending.request.class];
    let before_objective = now < pending.objective_at;
    let is_in_time = before_objective || class.late_weight > 0.0 && now < pending.deadline_at;
    let may_run = match (class.idempotency, pending.first_run) {
        (_, None) | (Idempotency::Idempotent, _) => true,
        (Idempotency::IdempotencyKey(_, lifetime), Some(first_run)) => {
            now + MAX_HOLD_UP < first_run.sent_at + lifetime
        }
        (Idempotency::NonIdempotent, Some(_)) => false,
    };
    let attempts_left = pending.attempts.len() < config.request_limits.max_attempts as usize;
    may_run && is_in_time && attempts_left
}

/// Time within which an attempt must reach its server: servers know a key only so long after the first attempt that may
/// have run. `None` where it does not matter.
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
    Some((first_run.sent_at + lifetime).saturating_sub(now + MAX_HOLD_UP))
}

/// Whether the client may send the request again, so that it can be rejected rather than failed. A key must still be
/// known at every server then, as the client's retry may go to any.
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
