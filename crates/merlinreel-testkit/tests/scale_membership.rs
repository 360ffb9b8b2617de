//! A short measurement of the cost of membership by the number of limiters. It checks counts only, which are the same
//! in each run.

use merlinreel_testkit::scale::membership::{Fleet, FleetSetting, Urgency, measure};
use merlinreel_testkit::scale::{
    DataPoint, MeasureRequest, Point, SlopeError, Source, check_slope,
};
use std::sync::LazyLock;
use std::time::Duration;

const SEED: u64 = 5;
const SIZES: [u64; 3] = [48, 68, 96];
/// In an idle fleet of any size, a limiter probes one other limiter and sends one list of record versions per second.
/// From 44 limiters on, that list fills one datagram. What still grows between these sizes is the traffic of updates
/// about the start, which take longer to reach all limiters of a larger fleet.
const MAX_EXPONENT: f64 = 0.45;
const CONVERGENCE_DURATION: Duration = Duration::from_secs(14);
const IDLE: Duration = Duration::from_secs(3);

/// Mean bytes that a limiter sent, by the number of limiters.
struct SentBytes {
    idle: Vec<Point>,
    /// With [`broadcast`], whose cost grows too steeply.
    broadcast: Vec<Point>,
}

static SENT_BYTES: LazyLock<SentBytes> = LazyLock::new(|| {
    let mut sent = SentBytes {
        idle: Vec::new(),
        broadcast: Vec::new(),
    };
    for size in SIZES {
        let mut fleet = Fleet::start(FleetSetting::of(size as usize), SEED).expect("a key");
        fleet.run(CONVERGENCE_DURATION);
        sent.idle.push(Point::new(
            size as f64,
            bytes_sent_per_limiter(&mut fleet, size as u32, |_, _| {}),
        ));
        sent.broadcast.push(Point::new(
            size as f64,
            bytes_sent_per_limiter(&mut fleet, size as u32, broadcast),
        ));
    }
    sent
});

/// Mean bytes that a limiter of an idle fleet sends in [`IDLE`], including those that `every_second` sends.
fn bytes_sent_per_limiter(fleet: &mut Fleet, size: u32, every_second: fn(&mut Fleet, u32)) -> f64 {
    fleet.network_mut().reset_traffic();
    for _ in 0..IDLE.as_secs() {
        every_second(fleet, size);
        fleet.run(Duration::from_secs(1));
    }
    let bytes: u64 = fleet
        .network()
        .traffic()
        .iter()
        .map(|traffic| traffic.sent_bytes)
        .sum();
    bytes as f64 / f64::from(size)
}

/// Sends a message from each limiter to all others, a cost that the slope check must reject.
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
    let law = check_slope(&SENT_BYTES.idle, MAX_EXPONENT).expect("no steeper than allowed");
    eprintln!("{law:?} through {:?}", SENT_BYTES.idle);
}

#[test]
fn broadcast_by_all_limiters_is_too_steep() {
    let slope = check_slope(&SENT_BYTES.broadcast, MAX_EXPONENT);
    eprintln!("{slope:?} through {:?}", SENT_BYTES.broadcast);
    assert!(
        matches!(slope, Err(SlopeError::TooSteep { .. })),
        "{slope:?}"
    );
}

fn counts_of_small_fleets(seed: u64) -> Vec<(&'static str, u64, f64, f64, f64)> {
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
    let first = counts_of_small_fleets(SEED);
    assert!(first.len() > 20, "{first:?}");
    assert_eq!(first, counts_of_small_fleets(SEED));
    assert_ne!(first, counts_of_small_fleets(SEED + 1));
}

#[test]
fn small_fleet_converges_and_all_hold_an_urgent_record() {
    let mut fleet = Fleet::start(FleetSetting::of(20), SEED).expect("a key");
    assert!(
        fleet.run_until_converged(Duration::from_secs(120)),
        "{:?}",
        fleet.knowledge()
    );
    let watch = fleet
        .publish_watched(7, Urgency::Urgent)
        .expect("a valid record");
    let is_held_by_all = |fleet: &Fleet| fleet.watch(watch).is_held_by_all();
    assert!(fleet.run_until(
        Duration::from_secs(30),
        Duration::from_millis(100),
        is_held_by_all
    ));
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
