use crate::model::attempt::AttemptOutcome;
use crate::model::index::RequestIndex;
use crate::model::request_class::Idempotency;
use crate::tests::helpers::*;
use test_case::test_case;

#[test_case(AttemptOutcome::ConnectionLost, 0, 0.0 => (0, false) ; "one lost connection is the network's fault")]
#[test_case(AttemptOutcome::ConnectionLost, 2, 0.0 => (1, false) ; "three in a row are the server's")]
#[test_case(AttemptOutcome::ConnectionLost, 2, 0.4 => (0, false) ; "three in a row are chance where all fail often")]
#[test_case(AttemptOutcome::ConnectionLost, 9, 0.4 => (1, false) ; "ten are not")]
#[test_case(AttemptOutcome::ConnectionRefused, 0, 0.0 => (1, true) ; "no connection: the process is down")]
#[test_case(AttemptOutcome::Unreachable, 0, 0.0 => (1, true) ; "no connection could be opened: it may be down")]
#[test_case(AttemptOutcome::Error, 0, 0.4 => (0, false) ; "what all servers share is no server's fault")]
fn failed_attempt_is_recorded(
    outcome: AttemptOutcome,
    lost_connections: u32,
    error_rate: f64,
) -> (u32, bool) {
    let mut limiter = with_attempt(Idempotency::Idempotent);
    limiter.latency.error_rate = error_rate;
    let server = server_mut(&mut limiter, 0);
    server.health.lost_connections = lost_connections;
    server.health.error_rate = error_rate;
    let result = attempt_result(outcome, false);
    limiter.handle_attempt_result(at(1.1), &result, &mut RecordedActions::default());
    let health = &server_mut(&mut limiter, 0).health;
    (health.consecutive_failures, health.connection_failed)
}

/// Server 0 could not be reached and then responds; whether it is taken for one that has just started.
#[test_case(AttemptOutcome::Unreachable, true => false ; "nor could any other: it was this limiter's own network")]
#[test_case(AttemptOutcome::Unreachable, false => true ; "others could be")]
#[test_case(AttemptOutcome::ConnectionRefused, true => true ; "it refused: its process was down")]
fn server_that_was_unreachable_has_started_again(
    outcome: AttemptOutcome,
    others_too: bool,
) -> bool {
    let mut limiter = with_attempt(Idempotency::Idempotent);
    server_mut(&mut limiter, 1).health.unreachable_since = others_too.then_some(at(1.05));
    let mut actions = RecordedActions::default();
    limiter.handle_attempt_result(at(1.1), &attempt_result(outcome, false), &mut actions);
    *limiter.requests.pending.slot(RequestIndex(0)) = Some(pending_request());
    let response = attempt_result(AttemptOutcome::Success, true);
    limiter.handle_attempt_result(at(2.0), &response, &mut actions);
    server_mut(&mut limiter, 0).slow_start_since.is_some()
}
