//! What a limiter says of its tenants grows with their number, and no faster; quiet ones are forgotten.

use merlinreel_testkit::scale::tenants::{self, BEATS_PER_SWEEP, Fleet, HollowLimiter, Said};
use merlinreel_testkit::scale::{Figure, MeasureRequest, SlopeError, Source, check_slope};

/// Few enough that all that is to be told fits into the messages of a minute.
const SIZES: [u64; 4] = [50, 100, 200, 400];
const FLEET: Fleet = Fleet {
    limiters: 300,
    set_size: 37,
};
const SEED: u64 = 11;
/// A tenant's counts are told to one limiter of its set: rows and requests a tenant are the same at each size. Messages
/// begun and not filled make it less than 1 at small sizes, chance a little more.
const PER_TENANT_MOST: f64 = 0.12;

fn limiter(seed: u64) -> HollowLimiter {
    HollowLimiter::new(FLEET, seed).expect("sound settings")
}

/// What is said from when the tenants come until they have been quiet for twenty seconds.
fn said(tenants: u64, seed: u64) -> Said {
    let mut limiter = limiter(seed);
    limiter.add_tenants(tenants, 50);
    limiter.beats(20 * BEATS_PER_SWEEP);
    limiter.said()
}

fn per_tenant(of: impl Fn(u64) -> u64) -> Vec<(f64, f64)> {
    SIZES
        .iter()
        .map(|&size| (size as f64, of(size) as f64 / size as f64))
        .collect()
}

#[test]
fn what_is_said_of_a_tenant_is_the_same_however_many_there_are() {
    let bytes = per_tenant(|size| said(size, SEED).peer_bytes);
    check_slope(&bytes, PER_TENANT_MOST)
        .unwrap_or_else(|error| panic!("peer bytes {error}: {bytes:?}"));
    let admitted = per_tenant(|size| said(size, SEED).admitted);
    check_slope(&admitted, PER_TENANT_MOST)
        .unwrap_or_else(|error| panic!("requests {error}: {admitted:?}"));
    assert!(bytes.iter().all(|(_, bytes)| *bytes > 0.0), "{bytes:?}");
}

#[test]
fn two_runs_with_one_seed_count_the_same() {
    assert_eq!(said(200, SEED), said(200, SEED));
    assert_ne!(said(200, SEED), said(200, SEED + 1));
}

/// Each new tenant makes all tenants before it come again: the same harness, with a cost that grows with the square.
#[test]
fn a_cost_of_all_tenants_for_each_new_one_is_caught() {
    let admitted = per_tenant(|size| {
        let mut limiter = limiter(SEED);
        for tenant in 0..size as usize {
            limiter.add_tenant();
            (0..tenant).for_each(|known| {
                limiter.request(known);
            });
        }
        let Said {
            admitted, refused, ..
        } = limiter.said();
        admitted + refused
    });
    let caught = check_slope(&admitted, PER_TENANT_MOST);
    assert!(
        matches!(caught, Err(SlopeError::TooSteep { exponent, .. }) if exponent > 0.8),
        "{caught:?}"
    );
}

#[test]
fn accounts_stay_for_half_a_minute_of_quiet_and_no_longer() {
    let kept = |seconds: u64| {
        let mut limiter = limiter(SEED);
        limiter.add_tenants(100, 50);
        limiter.beats(seconds * BEATS_PER_SWEEP);
        limiter.accounts_kept()
    };
    assert_eq!((kept(20), kept(40)), (100, 0));
}

#[test]
fn accounts_are_counted_the_same_twice() {
    let counted = || {
        let request = MeasureRequest::new(vec![50, 100], SEED, 1, None).expect("sound");
        let mut figures = Vec::new();
        let mut emit = |figure: Figure| {
            assert_eq!(figure.source, Source::Counted);
            figures.push((figure.metric, figure.size, figure.value));
            Ok(())
        };
        tenants::count(&request, &mut emit).expect("counted");
        figures
    };
    let first = counted();
    assert_eq!(first.first(), Some(&("accounts_after_20_s", 50, 50.0)));
    assert_eq!(first, counted());
}
