use crate::events::EventBatch;
use crate::model::index::{RequestIndex, ServerIndex};
use crate::model::request_class::Idempotency;
use crate::quota::table::AccountIndex;
use crate::quota::window::WindowNumber;
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
        AccountIndex(kept.0)
    );
    kept
}
