use crate::model::plan::Plan;
use crate::quota::account::Account;
use crate::quota::admission::AdmissionContext;
use crate::quota::token_bucket::UsageSource;
use crate::quota::window::WindowAge;
use crate::tests::helpers::*;
use test_case::test_case;

fn admits_one_unit(account: &Account, now: f64, sample: f64) -> bool {
    let context = AdmissionContext {
        fleet: fleet(),
        staleness_seconds: 0.1,
        sample,
    };
    account.admits(at(now), &plan(), 1.0, &context)
}

#[test_case(0.0, 8.0, 0.0 => true ; "first request of a new customer")]
#[test_case(0.0, 8.0, 4.0 => false ; "quota of a new customer is split over its limiters")]
#[test_case(1.0, 8.0, 4.0 => true ; "all of the quota counts once the split has ended")]
#[test_case(1.0, 0.5, 0.0 => false ; "fewer units left than requested")]
fn new_customer_is_admitted_by_its_share(after: f64, remaining: f64, unreported: f64) -> bool {
    let mut account = lone_account(0.0);
    account.limiters.size = 2;
    account.split_until = at(0.5);
    account.bucket.carried_over = remaining - 2.0 * after;
    account.replication.unreported_units = unreported;
    account.bucket.carried_over -= unreported * f64::from(u8::from(after == 0.0));
    admits_one_unit(&account, after, 0.999)
}

#[test_case(3.0, 0.0, 40.0 => true ; "share beside an active peer suffices")]
#[test_case(1.5, 0.0, 40.0 => false ; "share beside an active peer is less than a unit")]
#[test_case(3.0, 2.0, 40.0 => false ; "unreported units are taken from the share")]
#[test_case(1.5, 0.0, 0.0 => true ; "quota of a customer with few requests is hardly split")]
fn quota_is_split_over_active_limiters(remaining: f64, unreported: f64, requests: f64) -> bool {
    let mut account = lone_account(4.0);
    let elsewhere = &mut account.bucket.elsewhere;
    elsewhere.set(WindowAge::Current, UsageSource::Peer(1), 1.0);
    account.bucket.carried_over = remaining + 1.0;
    account.bucket.own.current = unreported;
    account.replication.unreported_units = unreported;
    account.requests.current = requests;
    admits_one_unit(&account, 4.0, 0.0)
}

#[test_case(0.2, 1.0 => false ; "share is almost empty after a restart")]
#[test_case(4.0, 1.0 => true ; "share is refilled over time")]
#[test_case(60.0, 6.0 => false ; "share of the capacity is not exceeded")]
fn ceiling_admits_the_share_of_a_limiter(after: f64, units: f64) -> bool {
    let plan = Plan {
        ceiling_rate: 1.0,
        ceiling_burst: 10.0,
        ceiling_slack: 1.0,
        ..plan()
    };
    let mut account = Account::new(
        5,
        0,
        &plan,
        at(0.0),
        crate::quota::aggregation::DEMAND_WINDOW,
    );
    account.limiters.size = 2;
    account.is_under_ceiling(at(after), &plan, units)
}
