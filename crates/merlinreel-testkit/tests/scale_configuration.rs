//! The file grows with its routes and plans, what stays of changed classes with the changes, and no faster.

use merlinreel_testkit::scale::configuration::{self, Entries};
use merlinreel_testkit::scale::{
    Figure, MeasureRequest, ScaleError, SlopeError, Source, check_slope,
};

const SIZES: [u64; 4] = [100, 200, 400, 800];
const SEED: u64 = 11;
/// A route is written once, and a change adds one class whatever the number of routes: the cost of one does not
/// grow. What all files have in common makes it less than 0.
const PER_ENTRY_MOST: f64 = 0.1;
const CHANGES: usize = 5;

/// Classes that a limiter keeps beyond those of its settings, after each was read and changed some times.
fn classes_left_over(routes: u64, change: impl Fn(&mut Entries)) -> f64 {
    let mut entries = Entries::new(routes, 4, SEED);
    let mut limiter = configuration::read(&entries.text())
        .expect("sound")
        .limiter(SEED);
    for _ in 0..CHANGES {
        change(&mut entries);
        let terms = configuration::read(&entries.text()).expect("sound");
        limiter.reconfigure(&terms.classes, terms.request_limits);
    }
    (limiter.class_count() - entries.classes()) as f64
}

type Emit<'a> = &'a mut dyn FnMut(Figure) -> Result<(), ScaleError>;

fn counted(
    measure: fn(&MeasureRequest, Emit) -> Result<(), ScaleError>,
    sizes: &[u64],
) -> Vec<(&'static str, u64, f64)> {
    let request = MeasureRequest::new(sizes.to_vec(), SEED, 1, None).expect("sound");
    let mut figures = Vec::new();
    let mut emit = |figure: Figure| {
        let counted = figure.source == Source::Counted;
        figures.extend(counted.then_some((figure.metric, figure.size, figure.value)));
        Ok(())
    };
    measure(&request, &mut emit).expect("measured");
    figures
}

#[test]
fn a_route_or_plan_takes_the_same_bytes_however_many_there_are() {
    let file = |classes, plans| Entries::new(classes, plans, SEED).text().len() as f64;
    let routes = SIZES.map(|size| (size as f64, file(size, 4) / size as f64));
    let plans = SIZES.map(|size| (size as f64, file(4, size) / size as f64));
    for each in [routes, plans] {
        check_slope(&each, PER_ENTRY_MOST)
            .unwrap_or_else(|error| panic!("bytes {error}: {each:?}"));
    }
}

#[test]
fn a_change_leaves_one_class_over_however_many_routes_there_are() {
    let left: Vec<_> = SIZES
        .iter()
        .map(|&size| (size as f64, classes_left_over(size, Entries::change_one)))
        .collect();
    check_slope(&left, PER_ENTRY_MOST).unwrap_or_else(|error| panic!("classes {error}: {left:?}"));
    assert!(
        left.iter().all(|(_, classes)| *classes == CHANGES as f64),
        "{left:?}"
    );
}

/// Each change touches every class: the same harness, with a cost of all routes for one change.
#[test]
fn a_change_that_touches_all_classes_is_caught() {
    let change_all =
        |entries: &mut Entries| (0..entries.classes()).for_each(|number| entries.change(number));
    let left: Vec<_> = SIZES
        .iter()
        .map(|&size| (size as f64, classes_left_over(size, change_all)))
        .collect();
    let caught = check_slope(&left, PER_ENTRY_MOST);
    assert!(
        matches!(caught, Err(SlopeError::TooSteep { exponent, .. }) if exponent > 0.8),
        "{caught:?}"
    );
}

/// Of routes and of plans 4,096 are read and one more is refused, by the key at fault.
#[test]
fn one_entry_more_than_4096_is_refused() {
    let refused =
        |classes, plans| configuration::read(&Entries::new(classes, plans, SEED).text()).err();
    assert_eq!((refused(4_096, 1), refused(1, 4_096)), (None, None));
    let why = |list: &str| Some(format!("setting {list}.count: 4097 is too many"));
    assert_eq!(refused(4_097, 1), why("classes"));
    assert_eq!(refused(1, 4_097), why("packages"));
}

#[test]
fn two_runs_with_one_seed_count_the_same() {
    let reloads = counted(configuration::measure_reloads, &[10, 20]);
    assert_eq!(reloads, counted(configuration::measure_reloads, &[10, 20]));
    assert_eq!(
        reloads,
        [("classes_kept", 10, 1_010.0), ("classes_kept", 20, 1_020.0)]
    );
    let plans = counted(configuration::measure_plans, &[50]);
    assert!(
        plans.iter().any(|(metric, ..)| *metric == "file"),
        "{plans:?}"
    );
    assert_eq!(plans, counted(configuration::measure_plans, &[50]));
    let file = |seed| {
        let mut entries = Entries::new(50, 4, seed);
        entries.change_one();
        entries.text()
    };
    assert_eq!(file(SEED), file(SEED));
    assert_ne!(file(SEED), file(SEED + 1));
}
