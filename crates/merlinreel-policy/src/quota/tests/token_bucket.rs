use crate::quota::account::Account;
use crate::quota::token_bucket::UsageSource;
use crate::quota::window::{CurrentAndPrevious, WindowNumber};
use crate::tests::helpers::*;
use test_case::test_case;

fn set_usage_of_peer(account: &mut Account, now: f64, window: u64, total: f64) {
    let source = UsageSource::Peer(1);
    account.set_usage_elsewhere(at(now), &plan(), source, WindowNumber(window), total, 0.0);
}

#[test_case(15.0, 3.9, 4.1, 1.2 ; "remaining units are carried over and the bucket is not filled up")]
#[test_case(0.0, 1.0, 9.0, 8.0 ; "the bucket never holds more than its capacity")]
fn window_change_keeps_what_remains(used: f64, used_at: f64, read_at: f64, remaining: f64) {
    let mut account = lone_account(0.0);
    account.bucket.own.current = used;
    account.advance(at(used_at), &plan());
    account.advance(at(read_at), &plan());
    assert!((account.remaining(at(read_at), &plan()) - remaining).abs() < 1e-6);
}

/// Windows, refill and rolling windows have to be as exact with Unix time, which the limiter uses on sockets, as with
/// times near zero: large numbers of seconds leave a float less precision.
#[test_case(0.0 ; "near zero")]
#[test_case(1_900_000_000.0 ; "Unix time")]
fn account_is_exact_near_zero_and_in_unix_time(start: f64) {
    let mut account = lone_account(start + 0.5);
    account.charge(account.bucket.window, 8.0);
    account.aggregation.demand.add(at(start + 0.5), 8.0);
    account.advance(at(start + 4.1), &plan());
    assert_eq!(
        (account.bucket.window, account.bucket.own),
        (
            WindowNumber(start as u64 / 4 + 1),
            CurrentAndPrevious {
                current: 0.0,
                previous: 8.0
            }
        )
    );
    assert!((account.remaining(at(start + 4.5), &plan()) - 8.0).abs() < 1e-5);
    assert!((account.retry_after_seconds(at(start + 4.1), &plan(), 8.0) - 3.9).abs() < 1e-5);
    let window_seconds = crate::time::seconds(crate::quota::aggregation::DEMAND_WINDOW);
    assert_eq!(
        (account.demand_rate(at(start + 1.0)) * window_seconds).round(),
        8.0
    );
    assert_eq!(account.demand_rate(at(start + 30.0)), 0.0);
}

#[test]
fn refill_is_even_across_a_window_change() {
    let mut account = lone_account(0.0);
    account.advance(at(1.0), &plan());
    account.bucket.own.current = 8.0;
    account.advance(at(5.0), &plan());
    assert!((account.remaining(at(5.0), &plan()) - 8.0).abs() < 1e-6);
}

#[test_case(0, 3.0, 5.0 ; "total of the current window")]
#[test_case(9, 3.0, 8.0 ; "total of a window that has not begun is ignored")]
fn reported_total_counts_once(window: u64, total: f64, remaining: f64) {
    let mut account = lone_account(1.0);
    set_usage_of_peer(&mut account, 1.0, window, total);
    set_usage_of_peer(&mut account, 1.0, window, total);
    assert!((account.remaining(at(1.0), &plan()) - remaining).abs() < 1e-6);
}

#[test]
fn late_total_of_the_previous_window_still_counts() {
    let mut account = lone_account(3.9);
    account.bucket.own.current = 4.0;
    account.advance(at(4.0), &plan());
    set_usage_of_peer(&mut account, 4.0, 0, 3.0);
    assert!(account.remaining(at(4.0), &plan()) < 1.3);
}

#[test]
fn usage_beyond_an_empty_bucket_is_not_subtracted() {
    let mut account = lone_account(1.0);
    set_usage_of_peer(&mut account, 1.0, 0, 12.0);
    assert!(account.remaining(at(1.0), &plan()).abs() < 1e-6);
}

#[test_case(0, 0.0, 1.0 => false ; "correction of the previous window")]
#[test_case(1, 0.0, 1.0 => true ; "correction of the current window")]
fn correction_counts_in_the_window_charged(window: u64, before: f64, units: f64) -> bool {
    let mut account = lone_account(5.0);
    account.bucket.own.current = before;
    account.charge(WindowNumber(window), units);
    account.bucket.own.current == before + units
}
