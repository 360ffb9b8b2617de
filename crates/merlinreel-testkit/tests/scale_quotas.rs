//! Short runs of the quota measurements. The tests check counts, which are the same in each run, not times.

use merlinreel_testkit::scale::quotas::{
    Counts, FleetSetting, count, count_propagation, count_recovery, measure, measure_overloaded,
    measure_reported_tenants, measure_restarts, measure_tenants,
};
use merlinreel_testkit::scale::{
    DataPoint, MeasureRequest, Point, ScaleError, SlopeError, check_slope,
};
use std::time::Duration;

const SEED: u64 = 7;
const WARM_UP: Duration = Duration::from_secs(4);
/// Warm-up after which the token buckets of overloaded customers, which start full, are empty.
const EMPTYING_WARM_UP: Duration = Duration::from_secs(15);
const MEASURED_TIME: Duration = Duration::from_secs(3);
const LIMITERS: [u32; 4] = [20, 40, 80, 160];

/// The messages of a limiter are limited by its peers' inboxes and by its customers, and do not grow with the fleet. The
/// margin above 0 allows for random differences between small sizes.
const MAX_EXPONENT_BY_LIMITERS: f64 = 0.15;

fn fleet(limiters: u32) -> FleetSetting {
    FleetSetting {
        limiters,
        set_size: 10,
        ..FleetSetting::default()
    }
}

fn counted(setting: FleetSetting) -> Counts {
    count(setting, SEED, WARM_UP, MEASURED_TIME).expect("valid settings")
}

/// Counts of fleets with these numbers of limiters.
fn counts_by_limiters(sizes: &[u32], broadcasts_messages: bool) -> Vec<(f64, Counts)> {
    let point = |&limiters: &u32| {
        let setting = FleetSetting {
            broadcasts_messages,
            ..fleet(limiters)
        };
        (f64::from(limiters), counted(setting))
    };
    sizes.iter().map(point).collect()
}

fn points(counts: &[(f64, Counts)], value: fn(&Counts) -> f64) -> Vec<Point> {
    counts
        .iter()
        .map(|(limiters, counts)| Point::new(*limiters, value(counts)))
        .collect()
}

#[test]
fn messages_and_bytes_of_a_limiter_do_not_grow_with_the_fleet() {
    let values: [fn(&Counts) -> f64; 3] = [
        |counts| counts.messages_sent,
        |counts| counts.bytes_sent,
        |counts| counts.messages_received_greatest,
    ];
    let counts = counts_by_limiters(&LIMITERS, false);
    for value in values {
        let points = points(&counts, value);
        assert!(
            points.iter().all(|point| point.value > 0.0),
            "nothing was sent: {points:?}"
        );
        check_slope(&points, MAX_EXPONENT_BY_LIMITERS)
            .unwrap_or_else(|error| panic!("{error}: {points:?}"));
    }
}

#[test]
fn cost_of_broadcasting_every_message_is_too_steep() {
    // Three sizes suffice for so steep a slope; with broadcasts, they take as long as four sizes without.
    let points = points(&counts_by_limiters(&LIMITERS[..3], true), |counts| {
        counts.bytes_sent
    });
    let slope = check_slope(&points, MAX_EXPONENT_BY_LIMITERS);
    assert!(
        matches!(slope, Err(SlopeError::TooSteep { exponent, .. }) if exponent > 0.8),
        "{slope:?}"
    );
}

#[test]
fn same_seed_gives_the_same_counts() {
    assert_eq!(counted(fleet(30)), counted(fleet(30)));
    assert_ne!(
        counted(fleet(30)),
        count(fleet(30), SEED + 1, WARM_UP, MEASURED_TIME).expect("valid settings")
    );
    let propagation = || count_propagation(fleet(20), SEED, 2).expect("valid settings");
    assert_eq!(propagation(), propagation());
    let recovery = || count_recovery(fleet(5), SEED, 5).expect("valid settings");
    assert_eq!(recovery(), recovery());
}

#[test]
fn overloaded_customers_exceed_their_quotas_only_without_peer_messages() {
    let counted = |peer_messages| {
        let setting = FleetSetting {
            peer_messages,
            ..fleet(30)
        };
        count(setting, SEED, EMPTYING_WARM_UP, MEASURED_TIME * 2).expect("valid settings")
    };
    let with_messages = counted(true);
    let without_messages = counted(false);
    assert_eq!(without_messages.messages_sent, 0.0);
    // Demand is twice the quota, and limiters without reports from each other admit nearly all of it.
    assert!(
        without_messages.quota_used_share > 1.5,
        "{without_messages:?}"
    );
    assert!(
        (0.5..1.3).contains(&with_messages.quota_used_share),
        "{with_messages:?}"
    );
    assert!(
        with_messages.overage_share < without_messages.overage_share / 2.0,
        "{with_messages:?} {without_messages:?}"
    );
}

#[test]
fn restart_of_all_limiters_admits_more_overage_than_restart_of_one() {
    let overage = |restarted| {
        count_recovery(fleet(30), SEED, restarted)
            .expect("valid settings")
            .overage_in_seconds_of_refill
    };
    let (one, all) = (overage(1), overage(30));
    assert!(all > 0.0 && all > one, "{one} {all}");
}

#[test]
fn data_points_have_their_setting_and_sizes_over_the_memory_limit_are_rejected() {
    let request = MeasureRequest::new(vec![20, 30], SEED, 1, Some(512)).expect("valid");
    let mut points: Vec<DataPoint> = Vec::new();
    let mut emit = |point| {
        points.push(point);
        Ok(())
    };
    measure(&request, &mut emit).expect("measured");
    assert!(
        points
            .iter()
            .all(|point| point.variable == "limiters" && point.setting.contains("sets of"))
    );
    assert!(
        points
            .iter()
            .any(|point| point.size == 30 && point.metric == "bytes_sent_greatest")
    );
    let memory_points = points
        .iter()
        .filter(|point| point.metric == "memory_per_limiter");
    assert_eq!(
        memory_points.map(|point| point.size).collect::<Vec<_>>(),
        [20]
    );
    let small = MeasureRequest::new(vec![50], SEED, 1, Some(64)).expect("valid");
    for rejected in [
        measure_overloaded(&small, &mut |_| Ok(())),
        measure_restarts(&small, &mut |_| Ok(())),
    ] {
        assert!(
            matches!(rejected, Err(ScaleError::Memory { .. })),
            "{rejected:?}"
        );
    }
}

#[test]
fn tenant_tables_are_measured_at_each_size() {
    let request = MeasureRequest::new(vec![100, 200], SEED, 2, Some(128)).expect("valid");
    let mut points: Vec<DataPoint> = Vec::new();
    let mut emit = |point| {
        points.push(point);
        Ok(())
    };
    measure_tenants(&request, &mut emit).expect("measured");
    measure_reported_tenants(&request, &mut emit).expect("measured");
    let found: Vec<_> = points
        .iter()
        .map(|point| (point.variable, point.size, point.runs))
        .collect();
    let asked = |size| [1, 2, 2].map(|runs| ("tenants_asked", size, runs));
    let reported = [("tenants_reported", 100, 1), ("tenants_reported", 200, 1)];
    assert_eq!(found, [&asked(100)[..], &asked(200), &reported].concat());
}
