use crate::model::attempt::AttemptOutcome;
use crate::model::request_class::{Idempotency, IdempotencyScope};
use crate::tests::helpers::*;
use std::time::Duration;
use test_case::test_case;

const ZONE_KEY: Idempotency =
    Idempotency::IdempotencyKey(IdempotencyScope::Zone, Duration::from_millis(600));

#[test_case(Idempotency::Idempotent, AttemptOutcome::Error, 1.1 => (vec![0], 0) ; "idempotent")]
#[test_case(Idempotency::NonIdempotent, AttemptOutcome::Rejected, 1.1 => (vec![0], 0) ; "not idempotent, never ran")]
#[test_case(Idempotency::NonIdempotent, AttemptOutcome::ConnectionLost, 1.1 => (vec![], 1) ; "not idempotent, may have run")]
#[test_case(ZONE_KEY, AttemptOutcome::ConnectionLost, 1.1 => (vec![0], 0) ; "key still known")]
#[test_case(ZONE_KEY, AttemptOutcome::ConnectionLost, 1.7 => (vec![], 1) ; "key no longer known")]
#[test_case(Idempotency::Idempotent, AttemptOutcome::DeadlineExceeded, 3.0 => (vec![], 1) ; "after the client's deadline")]
fn ended_attempt_is_retried_if_allowed(
    idempotency: Idempotency,
    outcome: AttemptOutcome,
    now: f64,
) -> (Vec<u32>, usize) {
    let mut limiter = with_attempt(idempotency);
    let mut actions = RecordedActions::default();
    limiter.handle_attempt_result(at(now), &attempt_result(outcome, false), &mut actions);
    let queue = limiter.requests.queue.iter().map(|request| request.0);
    (queue.collect(), actions.lines.len())
}

/// The event loop may stall for 0.15 s between reading the clock and sending, so a retry with a key is sent at least
/// that long before its servers forget the key. They keep it for 0.6 s, from 1 s on.
#[test_case(1.40 => "attempt 0 at 1 within 0.05" ; "just in time")]
#[test_case(1.46 => "fail 0" ; "a stall might make it late")]
fn retry_with_a_key_allows_for_a_stall(now: f64) -> String {
    let idempotency = Idempotency::IdempotencyKey(IdempotencyScope::Zone, at(0.6));
    let mut limiter = with_attempt(idempotency);
    let mut actions = RecordedActions::default();
    // Both servers are in zone 0.
    server_mut(&mut limiter, 1).endpoint.zone = 0;
    pending_mut(&mut limiter, 0).objective_at = at(2.5);
    let result = attempt_result(AttemptOutcome::ConnectionLost, false);
    limiter.handle_attempt_result(at(now), &result, &mut actions);
    limiter.dispatch().run(at(now), &mut actions);
    actions.lines.join(", ")
}

/// A retry that is delayed on its connection until the servers have forgotten its key would take effect twice. It
/// therefore has to arrive while they know the key, here 0.6 s from the first attempt at 1 s, less the longest stall.
/// There is no such limit without a key or if the request never ran.
#[test_case(Idempotency::IdempotencyKey(IdempotencyScope::All, at(0.6)), AttemptOutcome::ConnectionLost => "attempt 0 at 1 within 0.25" ; "key, may have run")]
#[test_case(Idempotency::IdempotencyKey(IdempotencyScope::All, at(0.6)), AttemptOutcome::NotSent => "attempt 0 at 1" ; "key, never ran")]
#[test_case(Idempotency::Idempotent, AttemptOutcome::ConnectionLost => "attempt 0 at 1" ; "idempotent")]
fn retry_arrives_while_its_key_is_known(
    idempotency: Idempotency,
    outcome: AttemptOutcome,
) -> String {
    let mut limiter = with_attempt(idempotency);
    let mut actions = RecordedActions::default();
    limiter.handle_attempt_result(at(1.2), &attempt_result(outcome, false), &mut actions);
    limiter.dispatch().run(at(1.2), &mut actions);
    actions.lines.join(", ")
}
