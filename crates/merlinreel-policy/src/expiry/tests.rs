use crate::events::EventBatch;
use crate::model::index::{RequestIndex, ServerIndex};
use crate::model::request_class::Idempotency;
use crate::quota::table::AccountIndex;
use crate::quota::window::WindowNumber;
use crate::request_table::{PendingAttempt, PendingRequest};
use crate::tests::helpers::*;
use test_case::test_case;

/// Batches a second apart; how many accounts and servers are kept then.
#[test_case(33, 0.0, false => (0, 1) ; "a customer that came once, and a server that was removed")]
#[test_case(20, 0.0, false => (1, 2) ; "not within half a minute")]
#[test_case(33, 200.0, false => (1, 1) ; "a bucket that is not full again")]
#[test_case(33, 0.0, true => (1, 2) ; "what a pending request refers to")]
fn unused_accounts_and_servers_expire(seconds: u32, used: f64, pending: bool) -> (usize, usize) {
    let mut limiter = with_servers(limiter(Idempotency::Idempotent, fleet()));
    let update = endpoint_update(true, vec![endpoint(1)]);
    apply_endpoint_update(&mut limiter, at(1.0), &update);
    account(&mut limiter).charge(WindowNumber(0), used);
    if pending {
        let attempts = vec![PendingAttempt {
            server: ServerIndex(0),
            sent_at: at(1.0),
            in_flight: true,
            cancelled: true,
            overdue: true,
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
    // The next customer takes the place of one that expired.
    let plans = &limiter.config.plans;
    assert_eq!(
        limiter.quotas.find_or_create(at(99.0), 78, 0, plans),
        AccountIndex(kept.0)
    );
    kept
}
