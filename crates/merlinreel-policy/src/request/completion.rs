//! Decides what follows the end of an attempt: the final response, another attempt, or a rejection.

use super::retry::{client_may_retry, may_attempt};
use crate::actions::Actions;
use crate::model::arriving_body::ResponseProgress;
use crate::model::attempt::AttemptResult;
use crate::model::index::RequestIndex;
use crate::model::limiter_config::LimiterConfig;
use crate::model::reject_reason::RejectReason;
use crate::model::request::RequestLimits;
use crate::quota::table::QuotaTable;
use crate::request_table::{ArrivingResponse, RequestTable};
use crate::server::pool::ServerPool;
use crate::time;
use std::time::Duration;

/// Continues a request after one of its attempts has ended.
pub fn continue_request(
    now: Duration,
    result: &AttemptResult,
    config: &LimiterConfig,
    quotas: &mut QuotaTable,
    requests: &mut RequestTable,
    actions: &mut dyn Actions,
) {
    settle_units(now, result, config, quotas, requests);
    let Some(pending) = requests.pending.get(result.request) else {
        return;
    };
    if result.request_completed || pending.completed {
        complete(
            result.request,
            &config.request_limits,
            quotas,
            requests,
            actions,
        );
        return;
    }
    if pending.queued || pending.has_attempt_in_flight() {
        return;
    }
    if may_attempt(now, config, pending) {
        requests.enqueue(result.request);
    } else {
        reject_or_fail(now, result.request, config, quotas, requests, actions);
    }
}

/// Replaces the units charged for the request by those that the response reports.
fn settle_units(
    now: Duration,
    result: &AttemptResult,
    config: &LimiterConfig,
    quotas: &mut QuotaTable,
    requests: &RequestTable,
) {
    let Some(pending) = requests.pending.get(result.request) else {
        return;
    };
    let (Some(units), Some(window), true) =
        (result.units, pending.window, config.fleet.settles_units)
    else {
        return;
    };
    let account = &mut quotas[pending.account];
    account.advance(now, &config.plans[account.plan]);
    let correction = (units - pending.request.units) * pending.sampling_factor;
    account.charge(window, correction);
    quotas.mark_dirty(pending.account);
}

/// Handles the start of a streamed response: the server counts as responding, and its attempts in
/// flight must not be cancelled any more.
pub fn response_started(
    now: Duration,
    request: RequestIndex,
    servers: &mut ServerPool,
    requests: &mut RequestTable,
) {
    let Some(pending) = requests.pending.get_mut(request) else {
        return;
    };
    for attempt in &mut pending.attempts {
        if !attempt.in_flight {
            continue;
        }
        attempt.cancelled = true;
        if let Some(server) = servers.servers.get_mut(attempt.server) {
            server.health.unanswered_since = now;
        }
    }
}

/// Handles the arrival of more of a response: the server counts as responding, and whether the attempt becomes overdue
/// depends on the length of the response.
pub fn record_progress(
    now: Duration,
    progress: &ResponseProgress,
    servers: &mut ServerPool,
    requests: &mut RequestTable,
) {
    let attempt = requests
        .pending
        .get_mut(progress.request)
        .and_then(|pending| pending.attempts.get_mut(progress.attempt as usize))
        .filter(|attempt| attempt.in_flight);
    let Some(attempt) = attempt else {
        return;
    };
    attempt.response = Some(ArrivingResponse {
        length: progress.length,
        progress_at: now,
    });
    if let Some(server) = servers.servers.get_mut(attempt.server) {
        server.health.unanswered_since = now;
    }
}

/// Ends a request that got no response: rejects it if the client may retry, else fails it. Units of a request that was
/// never sent are refunded.
pub fn reject_or_fail(
    now: Duration,
    request: RequestIndex,
    config: &LimiterConfig,
    quotas: &mut QuotaTable,
    requests: &mut RequestTable,
    actions: &mut dyn Actions,
) {
    let Some(pending) = requests.pending.get(request) else {
        return;
    };
    if pending.completed {
        return;
    }
    let account = &mut quotas[pending.account];
    let plan = &config.plans[account.plan];
    if pending.attempts.is_empty() {
        account.advance(now, plan);
        if let Some(window) = pending.window {
            account.charge(window, -pending.request.units * pending.sampling_factor);
        }
        account.ceiling.units += pending.request.units;
        quotas.mark_dirty(pending.account);
    }
    if client_may_retry(now, config, pending) {
        // The client retries at the end of the window, not as soon as the refill allows: overloaded servers need a
        // pause.
        let window = quotas[pending.account].bucket.window;
        let wait_seconds = window.end_seconds(plan) - time::seconds(now);
        let retry_after = config.request_limits.retry_after;
        let reason = if pending.attempts.is_empty() {
            RejectReason::NoServerInTime
        } else {
            RejectReason::AttemptsFailed
        };
        actions.reject(
            request,
            reason,
            retry_after.then(|| time::from_seconds(wait_seconds)),
        );
    } else {
        actions.fail(request);
    }
    complete(request, &config.request_limits, quotas, requests, actions);
}

/// Ends a request whose client has the final response or has disconnected: cancels its attempts in flight, if the
/// limits allow that, and starts no others.
pub fn complete(
    request: RequestIndex,
    limits: &RequestLimits,
    quotas: &mut QuotaTable,
    requests: &mut RequestTable,
    actions: &mut dyn Actions,
) {
    let Some(pending) = requests.pending.get_mut(request) else {
        return;
    };
    if !std::mem::replace(&mut pending.completed, true) {
        let account = &mut quotas[pending.account];
        account.in_progress = account.in_progress.saturating_sub(1);
    }
    for (number, attempt) in (0..).zip(&mut pending.attempts) {
        let may_cancel = attempt.in_flight && limits.cancellation;
        if may_cancel && !std::mem::replace(&mut attempt.cancelled, true) {
            actions.cancel_attempt(request, number);
        }
    }
    if !pending.has_attempt_in_flight() {
        requests.pending.remove(request);
    }
}
