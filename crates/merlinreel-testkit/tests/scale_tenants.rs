//! Tests of the tenant measurements: a limiter's reports grow no faster than the number of its tenants, and accounts of
//! idle tenants are removed.

use merlinreel_testkit::scale::tenants::{
    self, DecisionCounts, FleetSetting, SimulatedLimiter, TICKS_PER_SWEEP,
};
use merlinreel_testkit::scale::{
    DataPoint, MeasureRequest, Point, SlopeError, Source, check_slope,
};

/// Numbers of tenants, few enough that all reports fit into the messages of a minute.
const SIZES: [u64; 4] = [50, 100, 200, 400];
const FLEET: FleetSetting = FleetSetting {
    limiters: 300,
    set_size: 37,
};
const SEED: u64 = 11;
/// A tenant's counts are reported to one limiter of its set, so bytes and requests per tenant are the same at each size,
/// except for messages that are not full and for random differences.
const MAX_EXPONENT_PER_TENANT: f64 = 0.12;

fn limiter(seed: u64) -> SimulatedLimiter {
    SimulatedLimiter::new(FLEET, seed).expect("valid settings")
}

/// Counts from the tenants' first requests until twenty seconds after the last one.
fn counts(tenants: u64, seed: u64) -> DecisionCounts {
    let mut limiter = limiter(seed);
    limiter.add_tenants(tenants, 50);
    limiter.run_ticks(20 * TICKS_PER_SWEEP);
    limiter.counts()
}

fn per_tenant(count: impl Fn(u64) -> u64) -> Vec<Point> {
    SIZES
        .iter()
        .map(|&size| Point::new(size as f64, count(size) as f64 / size as f64))
        .collect()
}

#[test]
fn bytes_and_requests_per_tenant_do_not_grow_with_the_number_of_tenants() {
    let bytes = per_tenant(|size| counts(size, SEED).peer_bytes);
    check_slope(&bytes, MAX_EXPONENT_PER_TENANT)
        .unwrap_or_else(|error| panic!("peer bytes {error}: {bytes:?}"));
    let admitted = per_tenant(|size| counts(size, SEED).admitted);
    check_slope(&admitted, MAX_EXPONENT_PER_TENANT)
        .unwrap_or_else(|error| panic!("requests {error}: {admitted:?}"));
    assert!(bytes.iter().all(|point| point.value > 0.0), "{bytes:?}");
}

#[test]
fn same_seed_gives_the_same_counts() {
    assert_eq!(counts(200, SEED), counts(200, SEED));
    assert_ne!(counts(200, SEED), counts(200, SEED + 1));
}

/// A deliberate quadratic cost: all earlier tenants send a request for each new one.
#[test]
fn cost_of_requests_from_all_tenants_for_each_new_one_is_too_steep() {
    let requests = per_tenant(|size| {
        let mut limiter = limiter(SEED);
        for tenant in 0..size as usize {
            limiter.add_tenant();
            (0..tenant).for_each(|earlier| {
                limiter.request(earlier);
            });
        }
        let DecisionCounts {
            admitted, rejected, ..
        } = limiter.counts();
        admitted + rejected
    });
    let slope = check_slope(&requests, MAX_EXPONENT_PER_TENANT);
    assert!(
        matches!(slope, Err(SlopeError::TooSteep { exponent, .. }) if exponent > 0.8),
        "{slope:?}"
    );
}

#[test]
fn accounts_are_kept_for_half_a_minute_without_requests() {
    let kept = |seconds: u64| {
        let mut limiter = limiter(SEED);
        limiter.add_tenants(100, 50);
        limiter.run_ticks(seconds * TICKS_PER_SWEEP);
        limiter.accounts_kept()
    };
    assert_eq!((kept(20), kept(40)), (100, 0));
}

#[test]
fn accounts_kept_are_the_same_in_each_run() {
    let counted = || {
        let request = MeasureRequest::new(vec![50, 100], SEED, 1, None).expect("valid");
        let mut points = Vec::new();
        let mut emit = |point: DataPoint| {
            assert_eq!(point.source, Source::Counted);
            points.push((point.metric, point.size, point.value));
            Ok(())
        };
        tenants::count(&request, &mut emit).expect("counted");
        points
    };
    let first = counted();
    assert_eq!(first.first(), Some(&("accounts_after_20_s", 50, 50.0)));
    assert_eq!(first, counted());
}
