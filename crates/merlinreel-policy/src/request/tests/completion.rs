use crate::limiter::Limiter;
use crate::model::attempt::{AttemptOutcome, AttemptResult};
use crate::model::index::{RequestIndex, ServerIndex};
use crate::model::request_class::{Idempotency, IdempotencyScope};
use crate::request::completion::{reject_or_fail, response_started};
use crate::request_table::FirstRun;
use crate::tests::helpers::*;
use std::time::Duration;
use test_case::test_case;

const ZONE_KEY: Idempotency =
    Idempotency::IdempotencyKey(IdempotencyScope::Zone, Duration::from_millis(600));

fn end_without_response(limiter: &mut Limiter) -> Vec<String> {
    let mut actions = RecordedActions::default();
    reject_or_fail(
        at(1.0),
        RequestIndex(0),
        &limiter.config,
        &mut limiter.quotas,
        &mut limiter.requests,
        &mut actions,
    );
    actions.lines
}

#[test_case(Idempotency::Idempotent => "reject 0 3.0" ; "the client may retry")]
#[test_case(Idempotency::NonIdempotent => "fail 0" ; "the client may not retry a request that may have run")]
#[test_case(ZONE_KEY => "fail 0" ; "the client may not retry outside the scope of its key")]
fn request_without_a_response_is_rejected_or_fails(idempotency: Idempotency) -> String {
    let mut limiter = with_attempt(idempotency);
    pending_mut(&mut limiter, 0).first_run = Some(FirstRun {
        server: ServerIndex(0),
        sent_at: at(1.0),
    });
    end_without_response(&mut limiter).remove(0)
}

#[test]
fn request_never_sent_has_its_units_refunded() {
    let mut limiter = with_attempt(Idempotency::NonIdempotent);
    pending_mut(&mut limiter, 0).attempts.clear();
    end_without_response(&mut limiter);
    assert_eq!(first_account(&mut limiter).bucket.own.current, 0.0);
}

#[test]
fn streaming_server_counts_as_responding() {
    let mut limiter = with_attempt(Idempotency::Idempotent);
    response_started(
        at(4.0),
        RequestIndex(0),
        &mut limiter.servers,
        &mut limiter.requests,
    );
    assert!(server_mut(&mut limiter, 0).health.unanswered_since == at(4.0));
}

#[test]
fn response_corrects_the_charged_units() {
    let mut limiter = with_attempt(Idempotency::Idempotent);
    limiter.config.fleet.settles_units = true;
    let result = AttemptResult {
        units: Some(3.0),
        ..attempt_result(AttemptOutcome::Success, true)
    };
    limiter.handle_attempt_result(at(1.1), &result, &mut RecordedActions::default());
    assert_eq!(first_account(&mut limiter).bucket.own.current, 3.0);
}
