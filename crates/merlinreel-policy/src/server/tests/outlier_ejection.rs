use crate::model::attempt::AttemptOutcome;
use crate::model::index::RequestIndex;
use crate::model::request_class::Idempotency;
use crate::tests::helpers::*;
use test_case::test_case;

#[test_case(AttemptOutcome::ConnectionLost, 0, 0.0 => (0, false) ; "one lost connection is attributed to the network")]
#[test_case(AttemptOutcome::ConnectionLost, 2, 0.0 => (1, false) ; "three in a row are attributed to the server")]
#[test_case(AttemptOutcome::ConnectionLost, 2, 0.4 => (0, false) ; "three in a row are chance at a high error rate of all servers")]
#[test_case(AttemptOutcome::ConnectionLost, 9, 0.4 => (1, false) ; "ten in a row are not chance")]
#[test_case(AttemptOutcome::ConnectionRefused, 0, 0.0 => (1, true) ; "a refused connection shows that the process is down")]
#[test_case(AttemptOutcome::Unreachable, 0, 0.0 => (1, true) ; "an unreachable server may be down")]
#[test_case(AttemptOutcome::Error, 0, 0.4 => (0, false) ; "errors of all servers are not attributed to one")]
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
    (health.consecutive_failures, health.restart_suspected)
}

/// Whether server 0 begins a slow start when it responds after it could not be reached.
#[test_case(AttemptOutcome::Unreachable, true => false ; "no server was reachable, so this limiter's own network failed")]
#[test_case(AttemptOutcome::Unreachable, false => true ; "other servers were reachable")]
#[test_case(AttemptOutcome::ConnectionRefused, true => true ; "a refused connection shows that the process was down")]
fn response_after_unreachability_begins_a_slow_start(
    outcome: AttemptOutcome,
    others_unreachable: bool,
) -> bool {
    let mut limiter = with_attempt(Idempotency::Idempotent);
    server_mut(&mut limiter, 1).health.unreachable_since = others_unreachable.then_some(at(1.05));
    let mut actions = RecordedActions::default();
    limiter.handle_attempt_result(at(1.1), &attempt_result(outcome, false), &mut actions);
    *limiter.requests.pending.slot(RequestIndex(0)) = Some(pending_request());
    let response = attempt_result(AttemptOutcome::Success, true);
    limiter.handle_attempt_result(at(2.0), &response, &mut actions);
    server_mut(&mut limiter, 0).slow_start_since.is_some()
}
