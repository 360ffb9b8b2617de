use crate::events::EventBatch;
use crate::limiter::Limiter;
use crate::model::request_class::Idempotency;
use crate::server::overdue_attempts::{detect_overdue_attempts, overdue_after};
use crate::tests::helpers::*;
use test_case::test_case;

fn detect(limiter: &mut Limiter, now: f64) -> RecordedActions {
    let mut actions = RecordedActions::default();
    detect_overdue_attempts(
        at(now),
        &limiter.config,
        &mut limiter.servers,
        &mut limiter.latency,
        &mut limiter.requests,
        &mut actions,
    );
    actions
}

#[test_case(Idempotency::Idempotent => 1 ; "an idempotent request's is cancelled")]
#[test_case(Idempotency::NonIdempotent => 0 ; "another request waits")]
fn overdue_attempt_is_cancelled_for_a_retry(idempotency: Idempotency) -> usize {
    let mut limiter = with_attempt(idempotency);
    pending_mut(&mut limiter, 0).objective_at = at(9.0);
    detect(&mut limiter, 4.0).lines.len()
}

#[test_case(0.02, 0.6 ; "a slow response is waited for")]
#[test_case(0.12, 0.288 ; "less so where many are lost")]
#[test_case(0.9, 0.1 ; "but no less than a tenth of a second")]
fn overdue_time_follows_the_loss_rate(loss_rate: f64, seconds: f64) {
    assert!((crate::time::seconds(overdue_after(0.1, loss_rate)) - seconds).abs() < 0.001);
}

#[test_case(0.5 => (0, 1) ; "a hang: the server answered nothing since and has failed")]
#[test_case(2.0 => (0, 0) ; "a lost response: it answered others")]
fn overdue_attempt_no_longer_counts(answered: f64) -> (u32, u32) {
    let mut limiter = with_attempt(Idempotency::NonIdempotent);
    server_mut(&mut limiter, 0).health.unanswered_since = at(answered);
    detect(&mut limiter, 4.0);
    let server = server_mut(&mut limiter, 0);
    (server.limit.in_flight, server.health.consecutive_failures)
}

/// Guards against servers that are blamed, and attempts that are cancelled, because the limiter itself was held up: the tick
/// after the late one judges.
#[test]
fn attempts_are_not_judged_by_a_late_tick() {
    let mut limiter = with_attempt(Idempotency::Idempotent);
    pending_mut(&mut limiter, 0).objective_at = at(9.0);
    server_mut(&mut limiter, 0).health.unanswered_since = at(0.5);
    let mut run_at = |seconds| {
        let mut actions = RecordedActions::default();
        limiter.process(at(seconds), &EventBatch::default(), &mut actions);
        let failures = server_mut(&mut limiter, 0).health.consecutive_failures;
        (
            actions.lines.iter().any(|line| line.starts_with("cancel")),
            failures,
        )
    };
    assert_eq!(run_at(1.05), (false, 0), "on time");
    assert_eq!(run_at(4.0), (false, 0), "late by seconds");
    assert_eq!(run_at(4.1), (true, 1), "the next one");
}
