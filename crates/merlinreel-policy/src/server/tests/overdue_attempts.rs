use crate::events::EventBatch;
use crate::limiter::Limiter;
use crate::model::arriving_body::{BodyLength, ResponseProgress};
use crate::model::index::{RequestIndex, ServerIndex};
use crate::model::request_class::Idempotency;
use crate::request::completion::record_progress;
use crate::request_table::PendingAttempt;
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

#[test_case(Idempotency::Idempotent => 1 ; "attempt of an idempotent request is cancelled")]
#[test_case(Idempotency::NonIdempotent => 0 ; "attempt of a non idempotent request is not cancelled")]
fn overdue_attempt_is_cancelled_for_a_retry(idempotency: Idempotency) -> usize {
    let mut limiter = with_attempt(idempotency);
    pending_mut(&mut limiter, 0).objective_at = at(9.0);
    detect(&mut limiter, 4.0).lines.len()
}

#[test_case(0.02, 0.6 ; "not shortened by slow responses alone")]
#[test_case(0.12, 0.288 ; "shortened where many attempts are lost")]
#[test_case(0.9, 0.1 ; "at least a tenth of a second")]
fn overdue_time_follows_the_loss_rate(loss_rate: f64, seconds: f64) {
    assert!((crate::time::seconds(overdue_after(0.1, loss_rate)) - seconds).abs() < 0.001);
}

#[test_case(0.5 => (0, 1) ; "a server that has not responded since has failed")]
#[test_case(2.0 => (0, 0) ; "a server that responded to other attempts has not failed")]
fn overdue_attempt_no_longer_counts(last_response_at: f64) -> (u32, u32) {
    let mut limiter = with_attempt(Idempotency::NonIdempotent);
    server_mut(&mut limiter, 0).health.unanswered_since = at(last_response_at);
    detect(&mut limiter, 4.0);
    let server = server_mut(&mut limiter, 0);
    (server.limit.in_flight, server.health.consecutive_failures)
}

/// After an event loop stall, responses may still be unread. A late tick must not record failures of servers or cancel
/// attempts; the next tick does so.
#[test]
fn late_tick_does_not_detect_overdue_attempts() {
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
    assert_eq!(run_at(1.05), (false, 0), "tick on time");
    assert_eq!(run_at(4.0), (false, 0), "tick that is seconds late");
    assert_eq!(run_at(4.1), (true, 1), "tick after the late one");
}

fn report(limiter: &mut Limiter, now: f64, attempt: u32, length: BodyLength) {
    let progress = ResponseProgress {
        request: RequestIndex(0),
        attempt,
        length,
    };
    record_progress(
        at(now),
        &progress,
        &mut limiter.servers,
        &mut limiter.requests,
    );
}

/// Guards against cutting off a long response that is still arriving: only its first bytes are timed. The attempt, sent at
/// 1 s, would be overdue at 2.5 s at the latest. An attempt that is not overdue changes no statistics either.
#[test_case(BodyLength::Long, 9.0 => (0, false) ; "a long response is never overdue")]
#[test_case(BodyLength::ProbablyLong, 3.9 => (0, false) ; "a probably long response is not overdue while it arrives")]
#[test_case(BodyLength::ProbablyLong, 9.0 => (1, true) ; "a probably long response that stalls is cancelled")]
#[test_case(BodyLength::Undetermined, 3.9 => (1, true) ; "a response of which little has arrived is cancelled")]
fn arriving_response_is_cancelled_only_if_it_may_be_short(
    length: BodyLength,
    now: f64,
) -> (usize, bool) {
    let mut limiter = with_attempt(Idempotency::Idempotent);
    pending_mut(&mut limiter, 0).objective_at = at(20.0);
    report(&mut limiter, 3.0, 0, length);
    let loss_rate = limiter.latency.loss_rate;
    let cancelled = detect(&mut limiter, now).lines.len();
    assert_eq!(server_mut(&mut limiter, 0).health.consecutive_failures, 0);
    (cancelled, limiter.latency.loss_rate > loss_rate)
}

/// Where two responses in a row are not complete in time, they are long rather than broken off: the second is left to
/// arrive. An attempt without any response is still cancelled.
#[test_case(Some(BodyLength::Undetermined) => 0 ; "a second response is arriving")]
#[test_case(None => 1 ; "nothing of a second response has arrived")]
fn second_arriving_response_is_not_cancelled(length: Option<BodyLength>) -> usize {
    let mut limiter = with_attempt(Idempotency::Idempotent);
    report(&mut limiter, 1.1, 0, BodyLength::Undetermined);
    let pending = pending_mut(&mut limiter, 0);
    pending.objective_at = at(20.0);
    pending.attempts[0].cancelled = true;
    pending.attempts[0].in_flight = false;
    pending
        .attempts
        .push(PendingAttempt::new(ServerIndex(0), at(2.0)));
    if let Some(length) = length {
        report(&mut limiter, 2.1, 1, length);
    }
    detect(&mut limiter, 9.0).lines.len()
}

/// Guards against giving up a response that is probably long where its request would then be rejected: the objective is too
/// close for another attempt, or other requests wait for servers already.
#[test_case(BodyLength::ProbablyLong, 20.0, false => 1 ; "another attempt has time and need not wait")]
#[test_case(BodyLength::ProbablyLong, 9.1, false => 0 ; "the objective is too close")]
#[test_case(BodyLength::ProbablyLong, 20.0, true => 0 ; "other requests are queued")]
#[test_case(BodyLength::Undetermined, 9.1, true => 1 ; "a response of which little has arrived is given up")]
fn stalled_response_is_cancelled_only_if_another_attempt_can_follow(
    length: BodyLength,
    objective: f64,
    others_wait: bool,
) -> usize {
    let mut limiter = with_attempt(Idempotency::Idempotent);
    limiter.latency.typical_seconds = 0.1;
    pending_mut(&mut limiter, 0).objective_at = at(objective);
    report(&mut limiter, 3.0, 0, length);
    if others_wait {
        limiter.requests.queue.push(RequestIndex(1));
    }
    detect(&mut limiter, 9.0).lines.len()
}
