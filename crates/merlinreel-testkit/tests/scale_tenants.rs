//! What a limiter reports of its tenants grows with their number, and no faster; accounts of idle ones are removed.

use merlinreel_testkit::scale::tenants::{
    self, DecisionCounts, FleetSetting, SimulatedLimiter, TICKS_PER_SWEEP,
};
use merlinreel_testkit::scale::{
    DataPoint, MeasureRequest, Point, SlopeError, Source, check_slope,
};

/// Few enough that all that must be reported fits into the messages of a minute.
const SIZES: [u64; 4] = [50, 100, 200, 400];
const FLEET: FleetSetting = FleetSetting {
    limiters: 300,
    set_size: 37,
};
const SEED: u64 = 11;
/// A tenant's counts are reported to one limiter of its set: rows and requests per tenant are the same at each size, but
/// for messages that are not full and random differences.
const MAX_EXPONENT_PER_TENANT: f64 = 0.12;

fn limiter(seed: u64) -> SimulatedLimiter {
    SimulatedLimiter::new(FLEET, seed).expect("valid settings")
}

/// The decisions from the tenants' first requests until twenty seconds after their last.
fn counts(tenants: u64, seed: u64) -> DecisionCounts {
    let mut limiter = limiter(seed);
    limiter.add_tenants(tenants, 50);
    limiter.run_ticks(20 * TICKS_PER_SWEEP);
    limiter.counts()
}

fn per_tenant(of: impl Fn(u64) -> u64) -> Vec<Point> {
    SIZES
        .iter()
        .map(|&size| Point::new(size as f64, of(size) as f64 / size as f64))
        .collect()
}

#[test]
fn messages_and_requests_of_a_tenant_do_not_grow_with_their_number() {
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

/// A deliberate cost that grows with the square: with each new tenant, all earlier ones send a request.
#[test]
fn requests_of_all_tenants_for_each_new_one_are_too_steep() {
    let admitted = per_tenant(|size| {
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
    let slope = check_slope(&admitted, MAX_EXPONENT_PER_TENANT);
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
fn accounts_kept_are_the_same_each_run() {
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
