use crate::events::CounterReply;
use crate::limiter::Limiter;
use crate::model::request_class::Idempotency;
use crate::quota::account_parts::CounterCall;
use crate::quota::counter::apply_reply;
use crate::quota::window::WindowNumber;
use crate::tests::helpers::*;
use test_case::test_case;

fn apply(limiter: &mut Limiter, total: Option<f64>, not_added: bool) {
    let reply = CounterReply {
        customer: 5,
        window: 0,
        total,
        not_added,
    };
    apply_reply(
        at(1.0),
        &reply,
        &limiter.config.fleet,
        &limiter.config.plans,
        &mut limiter.quotas,
        &mut limiter.counter,
    );
}

#[test_case(Some(9.0), false => (5.0, 2.0, 0) ; "total less the own units counts as usage of others")]
#[test_case(None, false => (0.0, 2.0, 0) ; "call without a reply counts as made")]
#[test_case(None, true => (0.0, 0.0, 1) ; "units known not to be added are due again")]
fn counter_reply_is_applied(total: Option<f64>, not_added: bool) -> (f64, f64, u8) {
    let mut limiter = limiter(Idempotency::Idempotent, fleet_with_counter());
    let own = account(&mut limiter);
    own.bucket.own.current = 4.0;
    own.counter.counted.current = 2.0;
    own.counter.in_flight = Some(CounterCall {
        window: WindowNumber(0),
        own_units: 4.0,
        amount: 2.0,
    });
    apply(&mut limiter, total, not_added);
    let account = first_account(&mut limiter);
    (
        account.bucket.elsewhere.counter.current,
        account.counter.counted.current,
        u8::from(account.replication.update_due.current),
    )
}

#[test_case(None => 0.8 ; "rate falls when a call fails")]
#[test_case(Some(1.0) => 1.01 ; "rate rises after a reply while calls have to wait")]
fn call_rate_follows_the_counter(total: Option<f64>) -> f64 {
    let mut limiter = limiter(Idempotency::Idempotent, fleet_with_counter());
    limiter.counter.calls_per_tick = 1.0;
    limiter.counter.overloaded_until = at(2.0);
    apply(&mut limiter, total, false);
    limiter.counter.calls_per_tick
}

#[test]
fn peer_messages_report_what_exceeds_the_budget_of_counter_calls() {
    let mut limiter = limiter(Idempotency::Idempotent, fleet_with_counter());
    for customer in 0..60 {
        let account = account_of(&mut limiter, customer);
        account.limiters.size = 2;
        account.charge(WindowNumber(0), 1.0);
    }
    let mut actions = RecordedActions::default();
    limiter.send_updates(at(1.0), &mut actions);
    assert_eq!((actions.lines.len(), actions.peer_messages.len()), (6, 1));
}
