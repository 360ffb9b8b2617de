//! The membership's cost by the number of limiters, in a short form: counts alone, the same each run.

use merlinreel_testkit::scale::membership::{Fleet, FleetSetting, measure};
use merlinreel_testkit::scale::{Figure, MeasureRequest, SlopeError, Source, check_slope};
use std::sync::LazyLock;
use std::time::Duration;

const SEED: u64 = 5;
const SIZES: [u64; 3] = [48, 68, 96];
/// In the quiet a limiter probes one other a second and sends one list of stamps a second, whatever the fleet's size.
/// From 44 limiters on that list fills one datagram. What still grows between these sizes is the membership's own news of
/// the start, which is longer on its way in a larger fleet. The exponent was 0.33 when this was written; a margin of 0.12
/// is given.
const MOST_EXPONENT: f64 = 0.45;
const SETTLE: Duration = Duration::from_secs(14);
const QUIET: Duration = Duration::from_secs(3);

/// Bytes that a limiter sent, by the number of limiters.
struct Sent {
    quiet: Vec<(f64, f64)>,
    planted: Vec<(f64, f64)>,
}

static SENT: LazyLock<Sent> = LazyLock::new(|| {
    let mut sent = Sent {
        quiet: Vec::new(),
        planted: Vec::new(),
    };
    for size in SIZES {
        let mut fleet = Fleet::start(FleetSetting::of(size as usize), SEED).expect("a key");
        fleet.run(SETTLE);
        sent.quiet
            .push((size as f64, bytes_sent(&mut fleet, size as u32, |_, _| {})));
        sent.planted.push((
            size as f64,
            bytes_sent(&mut fleet, size as u32, tell_everybody),
        ));
    }
    sent
});

/// By each limiter, in the quiet; `every_second` may send more.
fn bytes_sent(fleet: &mut Fleet, size: u32, every_second: fn(&mut Fleet, u32)) -> f64 {
    fleet.network_mut().reset_traffic();
    for _ in 0..QUIET.as_secs() {
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

/// The planted fault: each limiter tells all others.
fn tell_everybody(fleet: &mut Fleet, size: u32) {
    const BYTES: usize = 100;
    let now = fleet.now();
    for from in 0..size {
        for to in (0..size).filter(|to| *to != from) {
            fleet.network_mut().send(now, from, to, vec![0; BYTES]);
        }
    }
}

#[test]
fn the_quiet_costs_each_limiter_less_than_in_proportion_to_the_fleet() {
    let law = check_slope(&SENT.quiet, MOST_EXPONENT).expect("as flat as it was");
    eprintln!("{law:?} through {:?}", SENT.quiet);
}

#[test]
fn a_sender_that_tells_everybody_is_caught() {
    let slope = check_slope(&SENT.planted, MOST_EXPONENT);
    eprintln!("{slope:?} through {:?}", SENT.planted);
    assert!(
        matches!(slope, Err(SlopeError::TooSteep { .. })),
        "{slope:?}"
    );
}

fn counted(seed: u64) -> Vec<(&'static str, u64, f64, f64, f64)> {
    let request = MeasureRequest::new(vec![6, 12], seed, 1, Some(64)).expect("sound");
    let mut figures = Vec::new();
    let mut emit = |figure: Figure| {
        if figure.source == Source::Counted {
            figures.push((
                figure.metric,
                figure.size,
                figure.value,
                figure.least,
                figure.most,
            ));
        }
        Ok(())
    };
    measure(&request, &mut emit).expect("two small fleets");
    figures
}

#[test]
fn a_seed_gives_the_same_counts_each_run_and_another_seed_others() {
    let first = counted(SEED);
    assert!(first.len() > 20, "{first:?}");
    assert_eq!(first, counted(SEED));
    assert_ne!(first, counted(SEED + 1));
}

#[test]
fn a_small_fleet_becomes_whole_and_all_hold_an_urgent_record() {
    let mut fleet = Fleet::start(FleetSetting::of(20), SEED).expect("a key");
    assert!(
        fleet.run_until_whole(Duration::from_secs(120)),
        "{:?}",
        fleet.knowledge()
    );
    let watch = fleet.publish_watched(7, true).expect("short");
    let held = |fleet: &Fleet| fleet.watch(watch).is_held_by_all();
    assert!(fleet.run_until(Duration::from_secs(30), Duration::from_millis(100), held));
    assert!(fleet.watch(watch).time_to_all().is_some());
}

/// Who starts again has lost what it held, and the fleet is not whole until it has that back.
#[test]
fn a_restarted_limiter_is_missed_until_it_is_back() {
    let mut fleet = Fleet::start(FleetSetting::of(12), SEED).expect("a key");
    assert!(fleet.run_until_whole(Duration::from_secs(120)));
    fleet.restart([11], Duration::from_secs(2));
    fleet.run(Duration::from_secs(1));
    assert_eq!(fleet.knowledge().least_members, 0.0);
    assert!(
        fleet.run_until_whole(Duration::from_secs(240)),
        "{:?}",
        fleet.knowledge()
    );
}
