//! Checks that the settings file grows only in proportion to its routes and plans, and the number of superseded classes
//! only in proportion to the changes.

use merlinreel_testkit::scale::configuration::{self, Entries};
use merlinreel_testkit::scale::{
    DataPoint, Emit, MeasureRequest, Point, ScaleError, SlopeError, Source, check_slope,
};

const SIZES: [u64; 4] = [100, 200, 400, 800];
const SEED: u64 = 11;
/// Each route is written once, and a change adds one class whatever the number of routes, so the cost per entry does
/// not grow (exponent 0). The part that all files have in common makes the exponent negative.
const MAX_EXPONENT_PER_ENTRY: f64 = 0.1;
const CHANGES: usize = 5;

/// Number of classes that a limiter keeps in addition to those of its settings, after [`CHANGES`] calls of `change`.
fn superseded_classes(routes: u64, change: impl Fn(&mut Entries)) -> f64 {
    let mut entries = Entries::new(routes, 4, SEED);
    let mut limiter = configuration::read(&entries.text())
        .expect("valid")
        .limiter(SEED);
    for _ in 0..CHANGES {
        change(&mut entries);
        let settings = configuration::read(&entries.text()).expect("valid");
        limiter.reconfigure(&settings.classes, settings.request_limits);
    }
    (limiter.class_count() - entries.classes()) as f64
}

/// The counts of a measurement, as metric, size and value.
fn counts_of(
    measure: fn(&MeasureRequest, Emit) -> Result<(), ScaleError>,
    sizes: &[u64],
) -> Vec<(&'static str, u64, f64)> {
    let request = MeasureRequest::new(sizes.to_vec(), SEED, 1, None).expect("valid");
    let mut counts = Vec::new();
    let mut emit = |point: DataPoint| {
        let is_counted = point.source == Source::Counted;
        counts.extend(is_counted.then_some((point.metric, point.size, point.value)));
        Ok(())
    };
    measure(&request, &mut emit).expect("measured");
    counts
}

#[test]
fn bytes_of_a_route_or_plan_do_not_grow_with_their_number() {
    let file_bytes = |classes, plans| Entries::new(classes, plans, SEED).text().len() as f64;
    let routes = SIZES.map(|size| Point::new(size as f64, file_bytes(size, 4) / size as f64));
    let plans = SIZES.map(|size| Point::new(size as f64, file_bytes(4, size) / size as f64));
    for points in [routes, plans] {
        check_slope(&points, MAX_EXPONENT_PER_ENTRY)
            .unwrap_or_else(|error| panic!("bytes {error}: {points:?}"));
    }
}

#[test]
fn change_of_one_class_leaves_one_superseded_class_whatever_the_number_of_routes() {
    let superseded: Vec<_> = SIZES
        .iter()
        .map(|&size| Point::new(size as f64, superseded_classes(size, Entries::change_one)))
        .collect();
    check_slope(&superseded, MAX_EXPONENT_PER_ENTRY)
        .unwrap_or_else(|error| panic!("classes {error}: {superseded:?}"));
    assert!(
        superseded.iter().all(|point| point.value == CHANGES as f64),
        "{superseded:?}"
    );
}

/// The slope check must fail for a change that grows with the number of routes.
#[test]
fn change_of_all_classes_is_too_steep() {
    let change_all =
        |entries: &mut Entries| (0..entries.classes()).for_each(|index| entries.change(index));
    let superseded: Vec<_> = SIZES
        .iter()
        .map(|&size| Point::new(size as f64, superseded_classes(size, change_all)))
        .collect();
    let slope = check_slope(&superseded, MAX_EXPONENT_PER_ENTRY);
    assert!(
        matches!(slope, Err(SlopeError::TooSteep { exponent, .. }) if exponent > 0.8),
        "{slope:?}"
    );
}

/// The error names the setting that has too many entries.
#[test]
fn settings_with_more_than_4096_entries_are_rejected() {
    let error_text = |classes, plans| {
        configuration::read(&Entries::new(classes, plans, SEED).text())
            .err()
            .map(|error| error.to_string())
    };
    assert_eq!((error_text(4_096, 1), error_text(1, 4_096)), (None, None));
    let expected = |list: &str| {
        Some(format!(
            "setting {list}.count: 4097 items, but a list has at most 4096"
        ))
    };
    assert_eq!(error_text(4_097, 1), expected("classes"));
    assert_eq!(error_text(1, 4_097), expected("packages"));
}

#[test]
fn same_seed_gives_the_same_counts() {
    let reloads = counts_of(configuration::measure_reloads, &[10, 20]);
    assert_eq!(
        reloads,
        counts_of(configuration::measure_reloads, &[10, 20])
    );
    assert_eq!(
        reloads,
        [("classes_kept", 10, 1_010.0), ("classes_kept", 20, 1_020.0)]
    );
    let plans = counts_of(configuration::measure_plans, &[50]);
    assert!(
        plans.iter().any(|(metric, ..)| *metric == "file"),
        "{plans:?}"
    );
    assert_eq!(plans, counts_of(configuration::measure_plans, &[50]));
    let changed_text = |seed| {
        let mut entries = Entries::new(50, 4, seed);
        entries.change_one();
        entries.text()
    };
    assert_eq!(changed_text(SEED), changed_text(SEED));
    assert_ne!(changed_text(SEED), changed_text(SEED + 1));
}
