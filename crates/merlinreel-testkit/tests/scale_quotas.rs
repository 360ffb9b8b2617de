//! The short form of the quota measurements: counts only, the same each run.

use merlinreel_testkit::scale::quotas::{
    Counts, FleetSetting, count, count_recovery, count_spread, measure, measure_pressed,
    measure_reported_tenants, measure_restarts, measure_tenants,
};
use merlinreel_testkit::scale::{Figure, MeasureRequest, ScaleError, SlopeError, check_slope};
use std::time::Duration;

const SEED: u64 = 7;
const WARM_UP: Duration = Duration::from_secs(4);
/// A pressed customer's store, full at first, is used up by then.
const STORES_EMPTY: Duration = Duration::from_secs(15);
const TIME: Duration = Duration::from_secs(3);
const LIMITERS: [u32; 4] = [20, 40, 80, 160];

/// What a limiter sends is bounded by its peers' inboxes and its customers, not by the fleet: today's exponent is about
/// nothing, and below it where larger fleets tell each peer less often. The margin is for chance at small sizes.
const MOST_BY_LIMITERS: f64 = 0.15;

fn fleet(limiters: u32) -> FleetSetting {
    FleetSetting {
        limiters,
        set_size: 10,
        ..FleetSetting::default()
    }
}

fn counted(setting: FleetSetting) -> Counts {
    count(setting, SEED, WARM_UP, TIME).expect("sound settings")
}

/// By the number of limiters, what fleets counted.
fn by_limiters(sizes: &[u32], tells_everybody: bool) -> Vec<(f64, Counts)> {
    let point = |&limiters: &u32| {
        let setting = FleetSetting {
            tells_everybody,
            ..fleet(limiters)
        };
        (f64::from(limiters), counted(setting))
    };
    sizes.iter().map(point).collect()
}

fn points(counts: &[(f64, Counts)], value: fn(&Counts) -> f64) -> Vec<(f64, f64)> {
    counts
        .iter()
        .map(|(limiters, counts)| (*limiters, value(counts)))
        .collect()
}

#[test]
fn messages_and_bytes_of_a_limiter_do_not_grow_with_the_fleet() {
    let checked: [fn(&Counts) -> f64; 3] = [
        |counts| counts.messages_sent,
        |counts| counts.bytes_sent,
        |counts| counts.messages_received_greatest,
    ];
    let counts = by_limiters(&LIMITERS, false);
    for value in checked {
        let points = points(&counts, value);
        assert!(
            points.iter().all(|(_, value)| *value > 0.0),
            "nothing was sent: {points:?}"
        );
        check_slope(&points, MOST_BY_LIMITERS)
            .unwrap_or_else(|steep| panic!("{steep}: {points:?}"));
    }
}

#[test]
fn a_limiter_that_tells_everybody_is_caught() {
    // Three sizes are enough for a slope so steep, and as quick as the others.
    let points = points(&by_limiters(&LIMITERS[..3], true), |counts| {
        counts.bytes_sent
    });
    let caught = check_slope(&points, MOST_BY_LIMITERS);
    assert!(
        matches!(caught, Err(SlopeError::TooSteep { exponent, .. }) if exponent > 0.8),
        "{caught:?}"
    );
}

#[test]
fn one_seed_counts_the_same_each_time() {
    assert_eq!(counted(fleet(30)), counted(fleet(30)));
    assert_ne!(
        counted(fleet(30)),
        count(fleet(30), SEED + 1, WARM_UP, TIME).expect("sound settings")
    );
    let spread = || count_spread(fleet(20), SEED, 2).expect("sound settings");
    assert_eq!(spread(), spread());
    let recovery = || count_recovery(fleet(5), SEED, 5).expect("sound settings");
    assert_eq!(recovery(), recovery());
}

#[test]
fn pressed_customers_are_refused_and_without_messages_their_quotas_do_not_hold() {
    let counted = |peer_messages| {
        let setting = FleetSetting {
            peer_messages,
            ..fleet(30)
        };
        count(setting, SEED, STORES_EMPTY, TIME * 2).expect("sound settings")
    };
    let (told, untold) = (counted(true), counted(false));
    assert_eq!(untold.messages_sent, 0.0);
    // They ask for twice their quota: with nothing known of one another, limiters let in nearly all of it.
    assert!(untold.quota_used_share > 1.5, "{untold:?}");
    assert!((0.5..1.3).contains(&told.quota_used_share), "{told:?}");
    assert!(
        told.beyond_share < untold.beyond_share / 2.0,
        "{told:?} {untold:?}"
    );
}

#[test]
fn a_restart_of_all_lets_in_more_than_that_of_one() {
    let beyond = |restarted| {
        count_recovery(fleet(30), SEED, restarted)
            .expect("sound settings")
            .beyond_in_seconds_of_refill
    };
    let (one, all) = (beyond(1), beyond(30));
    assert!(all > 0.0 && all > one, "{one} {all}");
}

#[test]
fn each_figure_says_its_setting_and_what_does_not_fit_is_refused() {
    let request = MeasureRequest::new(vec![20, 30], SEED, 1, Some(512)).expect("sound");
    let mut figures: Vec<Figure> = Vec::new();
    let mut keep = |figure| {
        figures.push(figure);
        Ok(())
    };
    measure(&request, &mut keep).expect("it fits");
    assert!(
        figures
            .iter()
            .all(|figure| figure.variable == "limiters" && figure.setting.contains("sets of"))
    );
    assert!(
        figures
            .iter()
            .any(|figure| figure.size == 30 && figure.metric == "bytes_sent_greatest")
    );
    let of_memory = figures
        .iter()
        .filter(|figure| figure.metric == "memory_per_limiter");
    assert_eq!(
        of_memory.map(|figure| figure.size).collect::<Vec<_>>(),
        [20]
    );
    let narrow = MeasureRequest::new(vec![50], SEED, 1, Some(64)).expect("sound");
    for refused in [
        measure_pressed(&narrow, &mut |_| Ok(())),
        measure_restarts(&narrow, &mut |_| Ok(())),
    ] {
        assert!(
            matches!(refused, Err(ScaleError::Memory { .. })),
            "{refused:?}"
        );
    }
}

#[test]
fn tables_are_measured_for_each_number_of_tenants() {
    let request = MeasureRequest::new(vec![100, 200], SEED, 2, Some(128)).expect("sound");
    let mut figures: Vec<Figure> = Vec::new();
    let mut keep = |figure| {
        figures.push(figure);
        Ok(())
    };
    measure_tenants(&request, &mut keep).expect("it fits");
    measure_reported_tenants(&request, &mut keep).expect("it fits");
    let found: Vec<_> = figures
        .iter()
        .map(|figure| (figure.variable, figure.size, figure.runs))
        .collect();
    let asked = |size| [1, 2, 2].map(|runs| ("tenants_asked", size, runs));
    let reported = [("tenants_reported", 100, 1), ("tenants_reported", 200, 1)];
    assert_eq!(found, [&asked(100)[..], &asked(200), &reported].concat());
}
