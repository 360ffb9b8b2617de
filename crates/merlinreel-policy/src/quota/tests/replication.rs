use crate::model::fleet::FleetConfig;
use crate::model::request_class::Idempotency;
use crate::quota::intervals::tick_interval;
use crate::quota::window::WindowNumber;
use crate::tests::helpers::*;
use test_case::test_case;

#[test]
fn update_goes_to_the_customers_limiters_only() {
    let mut limiter = limiter(Idempotency::Idempotent, fleet());
    account(&mut limiter).charge(WindowNumber(0), 1.0);
    let mut actions = RecordedActions::default();
    limiter.send_updates(at(1.0), &mut actions);
    assert_eq!(actions.receivers(), [1]);
}

#[test]
fn rows_that_exceed_a_message_wait_and_the_emptiest_buckets_go_first() {
    let mut limiter = limiter(Idempotency::Idempotent, fleet());
    for customer in 0..60 {
        let account = account_of(&mut limiter, customer);
        account.limiters.size = 2;
        account.charge(WindowNumber(0), 1.0 + customer as f64 / 10.0);
    }
    let mut actions = RecordedActions::default();
    limiter.send_updates(at(1.0), &mut actions);
    let rows = actions.rows(0);
    assert_eq!((actions.peer_messages.len(), rows[0].customer), (1, 59));
}

#[test_case(3 ; "a few limiters")]
#[test_case(40 ; "many limiters with infrequent peer messages")]
fn tick_interval_is_short(limiters: u32) {
    let fleet = FleetConfig {
        limiters,
        ..fleet()
    };
    assert!(tick_interval(&fleet) <= at(0.1));
}
