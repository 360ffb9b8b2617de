use crate::model::request_class::Idempotency;
use crate::tests::helpers::*;
use test_case::test_case;

#[test_case(0.3, true => 1 ; "overage worth more than its cost, servers idle")]
#[test_case(0.3, false => 0 ; "overage worth more than its cost, servers busy")]
#[test_case(0.0, true => 0 ; "overage without value, servers idle")]
fn overage_is_admitted_with_spare_capacity(overage_value: f64, has_spare_capacity: bool) -> usize {
    let mut limiter = limiter(Idempotency::Idempotent, fleet());
    limiter.config.plans[0].overage_value = overage_value;
    limiter.servers.has_spare_capacity = has_spare_capacity;
    account(&mut limiter).bucket.carried_over = -5.0;
    limiter.handle_request(at(1.0), &request(), &mut RecordedActions::default());
    assert_eq!(first_account(&mut limiter).bucket.own.current, 0.0);
    limiter.requests.queue.len()
}

#[test_case(-5.0, "reject 0 2.5" ; "retry when the refill covers it")]
#[test_case(-20.0, "reject 0 3.0" ; "retry at the end of the window at the latest")]
fn request_above_the_quota_is_rejected_at_once(carried_over: f64, decision: &str) {
    let mut limiter = limiter(Idempotency::Idempotent, fleet());
    account(&mut limiter).bucket.carried_over = carried_over;
    let mut actions = RecordedActions::default();
    limiter.handle_request(at(1.0), &request(), &mut actions);
    assert_eq!(actions.lines, [decision]);
}
