//! The cost of membership by the number of limiters, in a short form: counts only, which are the same each run.

use merlinreel_testkit::scale::membership::{Fleet, FleetSetting, Urgency, measure};
use merlinreel_testkit::scale::{
    DataPoint, MeasureRequest, Point, SlopeError, Source, check_slope,
};
use std::sync::LazyLock;
use std::time::Duration;

const SEED: u64 = 5;
const SIZES: [u64; 3] = [48, 68, 96];
/// A limiter of an idle fleet checks one other per second and sends one list of record versions per second, whatever the
/// fleet's size; from 44 limiters on that list fills one datagram. What still grows between these sizes are updates about
/// the start, which take longer to reach all limiters of a larger fleet.
const MAX_EXPONENT: f64 = 0.45;
const CONVERGENCE: Duration = Duration::from_secs(14);
const IDLE: Duration = Duration::from_secs(3);

/// Bytes that a limiter sent, by the number of limiters.
struct Sent {
    idle: Vec<Point>,
    /// With a deliberate cost.
    broadcast: Vec<Point>,
}

static SENT: LazyLock<Sent> = LazyLock::new(|| {
    let mut sent = Sent {
        idle: Vec::new(),
        broadcast: Vec::new(),
    };
    for size in SIZES {
        let mut fleet = Fleet::start(FleetSetting::of(size as usize), SEED).expect("a key");
        fleet.run(CONVERGENCE);
        sent.idle.push(Point::new(
            size as f64,
            bytes_sent(&mut fleet, size as u32, |_, _| {}),
        ));
        sent.broadcast.push(Point::new(
            size as f64,
            bytes_sent(&mut fleet, size as u32, broadcast),
        ));
    }
    sent
});

/// Bytes that each limiter of an idle fleet sent; `every_second` may send more.
fn bytes_sent(fleet: &mut Fleet, size: u32, every_second: fn(&mut Fleet, u32)) -> f64 {
    fleet.network_mut().reset_traffic();
    for _ in 0..IDLE.as_secs() {
        every_second(fleet, size);
        fleet.run(Duration::from_secs(1));
    }
    let bytes: u64 = fleet
        .network()
        .traffic()
        .iter()
        .map(|one| one.sent_bytes)
        .sum();
    bytes as f64 / f64::from(size)
}

/// A deliberate cost: each limiter sends a message to all others.
fn broadcast(fleet: &mut Fleet, size: u32) {
    const BYTES: usize = 100;
    let now = fleet.now();
    for from in 0..size {
        for to in (0..size).filter(|to| *to != from) {
            fleet.network_mut().send(now, from, to, vec![0; BYTES]);
        }
    }
}

#[test]
fn bytes_of_an_idle_limiter_grow_less_than_the_fleet() {
    let law = check_slope(&SENT.idle, MAX_EXPONENT).expect("no steeper than allowed");
    eprintln!("{law:?} through {:?}", SENT.idle);
}

#[test]
fn broadcast_by_all_limiters_is_too_steep() {
    let slope = check_slope(&SENT.broadcast, MAX_EXPONENT);
    eprintln!("{slope:?} through {:?}", SENT.broadcast);
    assert!(
        matches!(slope, Err(SlopeError::TooSteep { .. })),
        "{slope:?}"
    );
}

fn counted(seed: u64) -> Vec<(&'static str, u64, f64, f64, f64)> {
    let request = MeasureRequest::new(vec![6, 12], seed, 1, Some(64)).expect("valid");
    let mut counts = Vec::new();
    let mut emit = |point: DataPoint| {
        if point.source == Source::Counted {
            counts.push((
                point.metric,
                point.size,
                point.value,
                point.least,
                point.most,
            ));
        }
        Ok(())
    };
    measure(&request, &mut emit).expect("two small fleets");
    counts
}

#[test]
fn same_seed_gives_the_same_counts_and_another_seed_others() {
    let first = counted(SEED);
    assert!(first.len() > 20, "{first:?}");
    assert_eq!(first, counted(SEED));
    assert_ne!(first, counted(SEED + 1));
}

#[test]
fn small_fleet_converges_and_all_hold_an_urgent_record() {
    let mut fleet = Fleet::start(FleetSetting::of(20), SEED).expect("a key");
    assert!(
        fleet.run_until_converged(Duration::from_secs(120)),
        "{:?}",
        fleet.knowledge()
    );
    let watch = fleet.publish_watched(7, Urgency::Urgent).expect("short");
    let held = |fleet: &Fleet| fleet.watch(watch).is_held_by_all();
    assert!(fleet.run_until(Duration::from_secs(30), Duration::from_millis(100), held));
    assert!(fleet.watch(watch).time_to_all().is_some());
}

#[test]
fn fleet_with_a_restarted_limiter_converges_once_it_is_back() {
    let mut fleet = Fleet::start(FleetSetting::of(12), SEED).expect("a key");
    assert!(fleet.run_until_converged(Duration::from_secs(120)));
    fleet.restart([11], Duration::from_secs(2));
    fleet.run(Duration::from_secs(1));
    assert_eq!(fleet.knowledge().least_members, 0.0);
    assert!(
        fleet.run_until_converged(Duration::from_secs(240)),
        "{:?}",
        fleet.knowledge()
    );
}
