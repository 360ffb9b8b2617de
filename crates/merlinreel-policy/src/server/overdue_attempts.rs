//! Decides which attempts are overdue, and which servers have failed and which attempts are cancelled because of that.

use super::pool::ServerPool;
use super::pool_latency::PoolLatency;
use crate::actions::Actions;
use crate::model::arriving_body::BodyLength;
use crate::model::index::RequestIndex;
use crate::model::limiter_config::LimiterConfig;
use crate::model::request_class::Idempotency;
use crate::request_table::{PendingAttempt, PendingRequest, RequestTable};
use crate::time;
use std::time::Duration;

/// Number of typical latencies after which an attempt is overdue: a response hardly takes that long by chance.
const OVERDUE_TYPICAL_LATENCIES: f64 = 6.0;
/// Lower bound of the overdue time, suited to short outages.
const MIN_OVERDUE_SECONDS: f64 = 0.1;
/// Upper bound of the overdue time, suited to short outages.
const MAX_OVERDUE_SECONDS: f64 = 1.5;
/// Fraction of attempts that are overdue because they are slow rather than lost.
const SLOW_ATTEMPT_FRACTION: f64 = 0.03;
/// Weight of the loss rate beyond [`SLOW_ATTEMPT_FRACTION`] in shortening the overdue time: with one attempt in nine
/// lost, it is half as long.
const EXCESS_LOSS_WEIGHT: f64 = 12.0;
/// Weight of one overdue latency sample in the moving average of the loss rate.
const LOSS_RATE_GAIN: f64 = 0.02;
/// One request in this many is a latency sample.
const LATENCY_SAMPLE_INTERVAL: u32 = 4;
/// Longest pause within a body that is probably long; after a longer one its attempt is overdue.
const MAX_BODY_PAUSE: Duration = Duration::from_secs(1);
/// Number of typical latencies that have to be left for another attempt if a response is cancelled while it is arriving.
const RETRY_TYPICAL_LATENCIES: f64 = 2.0;
/// A request with an idempotency key is retried only within the key's lifetime divided by this.
const KEY_LIFETIME_DIVISOR: u32 = 2;

/// Time after which an attempt is overdue. It is shorter where more attempts are lost than slow responses account for,
/// as waiting for a response is then less likely to succeed.
pub fn overdue_after(typical_seconds: f64, loss_rate: f64) -> Duration {
    let excess_loss_rate = (loss_rate - SLOW_ATTEMPT_FRACTION).max(0.0);
    let seconds =
        typical_seconds * OVERDUE_TYPICAL_LATENCIES / (1.0 + EXCESS_LOSS_WEIGHT * excess_loss_rate);
    time::from_seconds(seconds.clamp(MIN_OVERDUE_SECONDS, MAX_OVERDUE_SECONDS))
}

/// Whether attempts of this request always have the full time before they are overdue; typical latency and loss rate
/// are measured by these requests. If slow attempts of all requests were cancelled early, the measured typical latency
/// would keep falling, and slow responses would be counted as lost.
pub fn is_latency_sample(request: RequestIndex) -> bool {
    request.0.is_multiple_of(LATENCY_SAMPLE_INTERVAL)
}

/// Marks attempts as overdue, which covers servers that hang as well as responses that are lost on the network. An
/// overdue attempt no longer counts against the server's concurrency limit, as a server that is alive has finished the
/// work by then. A failure is recorded for a server from which no response was received since the attempt was sent and
/// for at least the overdue time without shortening. The attempt is cancelled if its request may be retried.
///
/// A long response takes longer than that to arrive: see [`overdue_at`]. One that is probably long is given up only if
/// there is time for another attempt, which would wait behind the requests in the queue. Where a second response is not
/// complete in time either, it is long rather than broken off.
pub fn detect_overdue_attempts(
    now: Duration,
    config: &LimiterConfig,
    servers: &mut ServerPool,
    latency: &mut PoolLatency,
    requests: &mut RequestTable,
    actions: &mut dyn Actions,
) {
    let shortened_timeout = overdue_after(latency.typical_seconds, latency.loss_rate);
    let full_timeout = overdue_after(latency.typical_seconds, 0.0);
    let retry_time = time::from_seconds(latency.typical_seconds * RETRY_TYPICAL_LATENCIES);
    let has_queue = !requests.queue.is_empty();
    for pending in requests.pending.values_mut() {
        let may_cancel =
            config.request_limits.cancellation && may_run_elsewhere(now, config, pending);
        let may_retry = !has_queue && now + retry_time < pending.objective_at;
        let was_cut_off = has_cancelled_response(pending);
        let is_sample = is_latency_sample(pending.request.id);
        let timeout = if is_sample {
            full_timeout
        } else {
            shortened_timeout
        };
        for (number, attempt) in (0..).zip(&mut pending.attempts) {
            let is_due = overdue_at(attempt, timeout).is_some_and(|due| now > due);
            if !attempt.in_flight || attempt.overdue || !is_due {
                continue;
            }
            attempt.overdue = true;
            if let Some(server) = servers.servers.get_mut(attempt.server) {
                server.release_attempt();
                if is_sample {
                    latency.loss_rate += (1.0 - latency.loss_rate) * LOSS_RATE_GAIN;
                }
                let unanswered_since = server.health.unanswered_since;
                if unanswered_since <= attempt.sent_at && now > unanswered_since + full_timeout {
                    server.record_failure(now);
                }
            }
            let is_kept = attempt.response.is_some_and(|response| {
                was_cut_off || response.length == BodyLength::ProbablyLong && !may_retry
            });
            if may_cancel && !is_kept && !std::mem::replace(&mut attempt.cancelled, true) {
                actions.cancel_attempt(pending.request.id, number);
            }
        }
    }
}

/// When an attempt is overdue: the timeout after it was sent, or once its server has stalled while the response was
/// arriving, if that is probably long. `None` if the response is long, as only its first bytes have to be in time.
fn overdue_at(attempt: &PendingAttempt, timeout: Duration) -> Option<Duration> {
    let Some(response) = attempt.response else {
        return Some(attempt.sent_at + timeout);
    };
    match response.length {
        BodyLength::Long => None,
        BodyLength::ProbablyLong => Some(response.progress_at + timeout.max(MAX_BODY_PAUSE)),
        BodyLength::Undetermined | BodyLength::Short => Some(attempt.sent_at + timeout),
    }
}

/// Whether an attempt of the request was cancelled while its response was arriving.
fn has_cancelled_response(pending: &PendingRequest) -> bool {
    pending
        .attempts
        .iter()
        .any(|attempt| attempt.cancelled && attempt.response.is_some())
}

/// Whether the request may be sent to another server after one of its attempts is cancelled.
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
