use crate::events::EventBatch;
use crate::limiter::Limiter;
use crate::model::index::{RequestIndex, ServerIndex};
use crate::model::reject_reason::RejectReason;
use crate::model::request::Request;
use crate::model::request_class::Idempotency;
use crate::quota::table::AccountIndex;
use crate::quota::window::WindowNumber;
use crate::request::completion::reject_or_fail;
use crate::request_table::{PendingAttempt, PendingRequest};
use crate::tests::helpers::*;
use test_case::test_case;

/// Processes one batch per second, and returns the number of accounts and servers that are kept.
#[test_case(33, 0.0, false => (0, 1) ; "customer with a single request, and removed server")]
#[test_case(20, 0.0, false => (1, 2) ; "within half a minute")]
#[test_case(33, 200.0, false => (1, 1) ; "bucket not full again")]
#[test_case(33, 0.0, true => (1, 2) ; "pending request refers to both")]
fn unused_accounts_and_servers_expire(seconds: u32, used: f64, pending: bool) -> (usize, usize) {
    let mut limiter = with_servers(limiter(Idempotency::Idempotent, fleet()));
    let update = endpoint_update(true, vec![endpoint(1)]);
    apply_endpoint_update(&mut limiter, at(1.0), &update);
    account(&mut limiter).charge(WindowNumber(0), used);
    if pending {
        let attempts = vec![PendingAttempt {
            cancelled: true,
            overdue: true,
            ..PendingAttempt::new(ServerIndex(0), at(1.0))
        }];
        let objective_at = at(900.0);
        *limiter.requests.pending.slot(RequestIndex(0)) = Some(PendingRequest {
            attempts,
            queued: false,
            ..PendingRequest::new(&request(), AccountIndex(0), at(1.0), objective_at, None)
        });
    }
    let mut actions = RecordedActions::default();
    for second in 1..=seconds {
        let now = at(f64::from(second));
        limiter.process(now, &EventBatch::default(), &mut actions);
    }
    let kept = (
        limiter.quotas.by_customer.len(),
        limiter.servers.servers.values().count(),
    );
    assert_eq!(
        actions
            .lines
            .iter()
            .filter(|line| *line == "release 0")
            .count(),
        2 - kept.1
    );
    // The next customer gets the index of an expired account.
    let plans = &limiter.config.plans;
    assert_eq!(
        limiter.quotas.find_or_create(at(99.0), 78, 0, plans),
        Some(AccountIndex(kept.0))
    );
    kept
}

/// Has requests of `customers` new customers arrive at one second, each rejected without an attempt if `is_rejected`, and
/// returns the number of accounts that are kept and the last request's reason for a rejection.
fn flood(
    limiter: &mut Limiter,
    customers: u64,
    is_rejected: bool,
) -> (usize, Option<RejectReason>) {
    let mut actions = RecordedActions::default();
    for customer in 0..customers {
        let new = Request {
            customer: 1000 + customer,
            ..request()
        };
        limiter.handle_request(at(1.0), &new, &mut actions);
        if is_rejected && limiter.requests.pending.get(RequestIndex(0)).is_some() {
            reject_pending(limiter, &mut actions);
        }
        limiter.requests.pending.remove(RequestIndex(0));
        limiter.quotas.last_early_drop = None;
    }
    let kept = limiter.quotas.by_customer.len();
    (kept, actions.reject_reasons.last().copied())
}

fn reject_pending(limiter: &mut Limiter, actions: &mut RecordedActions) {
    let Limiter {
        config,
        quotas,
        requests,
        ..
    } = limiter;
    reject_or_fail(at(1.0), RequestIndex(0), config, quotas, requests, actions);
}

/// Guards against memory that grows with the number of names under which clients send: accounts of customers that used
/// nothing make room, and where all have used something, further customers are rejected.
#[test_case(true => (8, Some(RejectReason::NoServerInTime)) ; "customers that used nothing")]
#[test_case(false => (8, Some(RejectReason::TooManyCustomers)) ; "customers that used something")]
fn number_of_accounts_is_bounded(is_rejected: bool) -> (usize, Option<RejectReason>) {
    let mut limiter = limiter(Idempotency::Idempotent, fleet()).with_max_accounts(8);
    flood(&mut limiter, 32, is_rejected)
}

/// A customer that has used a part of its quota keeps its account, and is served, although many others arrive.
#[test]
fn account_in_use_is_kept_when_the_table_is_full() {
    let mut limiter = limiter(Idempotency::Idempotent, fleet()).with_max_accounts(8);
    account(&mut limiter).charge(WindowNumber(0), 1.0);
    flood(&mut limiter, 33, true);
    assert_eq!(account(&mut limiter).bucket.own.current, 1.0);
}

/// An account that is dropped while it has something to report is listed once as dirty for its next customer.
#[test]
fn index_of_a_dropped_account_is_dirty_once() {
    let mut limiter = limiter(Idempotency::Idempotent, fleet()).with_max_accounts(2);
    flood(&mut limiter, 8, true);
    assert_eq!(limiter.quotas.dirty.len(), 2);
}
