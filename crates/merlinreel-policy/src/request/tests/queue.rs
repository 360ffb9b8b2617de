use crate::events::EventBatch;
use crate::limiter::Limiter;
use crate::model::attempt::{AttemptOutcome, AttemptResult};
use crate::model::index::{RequestIndex, ServerIndex};
use crate::model::plan::Plan;
use crate::model::request::Request;
use crate::model::request_class::Idempotency;
use crate::tests::helpers::*;
use test_case::test_case;

/// Makes the pending request wait for its first attempt, with its latency objective at this time.
fn queue_pending(limiter: &mut Limiter, request: u32, objective_at: f64) {
    let pending = pending_mut(limiter, request);
    pending.queued = true;
    pending.objective_at = at(objective_at);
    pending.attempts.clear();
}

fn dispatch(limiter: &mut Limiter, now: f64) -> Vec<String> {
    let mut actions = RecordedActions::default();
    limiter.dispatch().run(at(now), &mut actions);
    actions.lines
}

#[test_case(0.1, 2.0, "attempt 0 at 0" ; "sent where the concurrency limit allows")]
#[test_case(0.1, 1.05, "reject 0 3.0" ; "rejected at once when its latency objective cannot be met")]
#[test_case(9.0, 1.4, "attempt 0 at 0" ; "sent in spite of slow responses")]
fn queued_request_is_sent_or_rejected(typical_seconds: f64, objective_at: f64, decision: &str) {
    let mut limiter = with_attempt(Idempotency::Idempotent);
    limiter.latency.typical_seconds = typical_seconds;
    limiter.requests.queue = vec![RequestIndex(0)];
    // A response in the window, so that the typical latency counts.
    limiter.latency.successes.add(at(1.0), 1.0);
    server_mut(&mut limiter, 0).limit.in_flight = 0;
    limiter.servers.servers.remove(ServerIndex(1));
    queue_pending(&mut limiter, 0, objective_at);
    assert_eq!(dispatch(&mut limiter, 1.0), [decision]);
}

#[test_case(1.0, 1.0 => "attempt 1 at 0" ; "newest first at equal value")]
#[test_case(4.0, 1.0 => "attempt 0 at 0" ; "far higher value before the newest")]
fn most_valuable_request_goes_first(older: f64, newer: f64) -> String {
    let mut limiter = with_attempt(Idempotency::Idempotent);
    limiter.config.plans = [older, newer]
        .map(|plan_weight| Plan {
            plan_weight,
            ..plan()
        })
        .to_vec();
    let server = server_mut(&mut limiter, 0);
    server.limit.attempts = 1.0;
    server.limit.in_flight = 0;
    limiter.servers.servers.remove(ServerIndex(1));
    *limiter.requests.pending.slot(RequestIndex(1)) = Some(pending_request());
    for index in 0..2 {
        queue_pending(&mut limiter, index, 2.0);
        let pending = pending_mut(&mut limiter, index);
        pending.arrived_at = at(1.0 + f64::from(index) / 10.0);
        pending.request.id = RequestIndex(index);
        pending.request.plan = index as usize;
    }
    limiter.requests.queue = vec![RequestIndex(0), RequestIndex(1)];
    dispatch(&mut limiter, 1.2).remove(0)
}

#[test]
fn request_queued_twice_is_sent_once() {
    let mut limiter = with_attempt(Idempotency::NonIdempotent);
    limiter.requests.queue = vec![RequestIndex(0), RequestIndex(0)];
    queue_pending(&mut limiter, 0, 2.0);
    assert_eq!(dispatch(&mut limiter, 1.0).len(), 1);
}

/// Without any response yet, a request with little time left is sent, so that the limiter learns its servers' latency.
/// Once responses have taken longer than the time left, it is rejected.
#[test_case(None, 0.1 => "attempt 0 at 0" ; "no response yet")]
#[test_case(Some(0.02), 0.1 => "attempt 0 at 0" ; "fast responses")]
#[test_case(Some(0.2), 0.1 => "reject 0 2.5" ; "slow responses")]
fn request_with_little_time_is_sent_or_rejected(
    observed_latency: Option<f64>,
    remaining: f64,
) -> String {
    let mut limiter = with_servers(limiter(Idempotency::Idempotent, fleet()));
    limiter.servers.servers.remove(ServerIndex(1));
    if let Some(latency) = observed_latency {
        for _ in 0..60 {
            *limiter.requests.pending.slot(RequestIndex(0)) = Some(pending_request());
            account(&mut limiter);
            let result = AttemptResult {
                latency: at(latency),
                ..attempt_result(AttemptOutcome::Success, true)
            };
            limiter.handle_attempt_result(at(1.0), &result, &mut RecordedActions::default());
        }
    }
    let batch = EventBatch {
        requests: vec![Request {
            remaining_time: at(remaining),
            ..request()
        }],
        ..EventBatch::default()
    };
    let mut actions = RecordedActions::default();
    limiter.process(at(1.5), &batch, &mut actions);
    actions.lines.remove(0)
}
