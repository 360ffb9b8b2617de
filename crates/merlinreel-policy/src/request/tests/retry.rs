use crate::model::attempt::AttemptOutcome;
use crate::model::request_class::{Idempotency, IdempotencyScope};
use crate::tests::helpers::*;
use std::time::Duration;
use test_case::test_case;

const ZONE: Idempotency =
    Idempotency::IdempotencyKey(IdempotencyScope::Zone, Duration::from_millis(600));

#[test_case(Idempotency::Idempotent, AttemptOutcome::Error, 1.1 => (vec![0], 0) ; "an idempotent one again")]
#[test_case(Idempotency::NonIdempotent, AttemptOutcome::Rejected, 1.1 => (vec![0], 0) ; "another one that never ran")]
#[test_case(Idempotency::NonIdempotent, AttemptOutcome::ConnectionLost, 1.1 => (vec![], 1) ; "another one that may have run")]
#[test_case(ZONE, AttemptOutcome::ConnectionLost, 1.1 => (vec![0], 0) ; "one whose key is still known")]
#[test_case(ZONE, AttemptOutcome::ConnectionLost, 1.7 => (vec![], 1) ; "one whose key is not")]
#[test_case(Idempotency::Idempotent, AttemptOutcome::DeadlineExceeded, 3.0 => (vec![], 1) ; "none after the client's deadline")]
fn ended_attempt_is_retried_where_it_may(
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

/// The limiter may be held up for 0.15 s between reading its clock and sending: a retry with a key is sent so long before
/// its servers forget the key, which they keep for 0.6 s from 1 s on.
#[test_case(1.40 => "attempt 0 at 1 within 0.05" ; "just in time")]
#[test_case(1.46 => "fail 0" ; "a hold-up might make it late")]
fn retry_with_a_key_allows_for_a_hold_up(now: f64) -> String {
    let idempotency = Idempotency::IdempotencyKey(IdempotencyScope::Zone, at(0.6));
    let mut limiter = with_attempt(idempotency);
    let mut actions = RecordedActions::default();
    // All in one zone.
    server_mut(&mut limiter, 1).endpoint.zone = 0;
    pending_mut(&mut limiter, 0).objective_at = at(2.5);
    let result = attempt_result(AttemptOutcome::ConnectionLost, false);
    limiter.handle_attempt_result(at(now), &result, &mut actions);
    limiter.dispatch().run(at(now), &mut actions);
    actions.lines.join(", ")
}

/// A further attempt must reach its server while the key of a first one that may have run is known, for 0.6 s here since
/// that was sent at 1 s, less what the limiter may be held up; else there is no hurry. Otherwise a retry that its
/// connection holds up would have its effect twice.
#[test_case(Idempotency::IdempotencyKey(IdempotencyScope::All, at(0.6)), AttemptOutcome::ConnectionLost => "attempt 0 at 1 within 0.25" ; "with a key, it may have run")]
#[test_case(Idempotency::IdempotencyKey(IdempotencyScope::All, at(0.6)), AttemptOutcome::NotSent => "attempt 0 at 1" ; "with a key, it never ran")]
#[test_case(Idempotency::Idempotent, AttemptOutcome::ConnectionLost => "attempt 0 at 1" ; "an idempotent one")]
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
