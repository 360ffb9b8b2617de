//! The scale measurement of the servers' list in a short form: counts only, which are the same each run.

use merlinreel_discovery::DiscoveryUpdate;
use merlinreel_testkit::scale::server_list::{
    Form, HollowLimiter, ListHolder, ListSource, RealHolder, measure, measure_limiters_restarting,
    measure_steps,
};
use merlinreel_testkit::scale::{
    Figure, MeasureRequest, ScaleError, SlopeError, Source, check_slope,
};
use std::time::Duration;
use test_case::test_case;

const SIZES: &[u64] = &[100, 200, 400, 800];
const MEMORY_MB: u64 = 256;
/// Numbers in texts are a digit longer here and there, and whole numbers are rounded; a cost that grows by another whole
/// power is far beyond.
const MARGIN: f64 = 0.1;

type Measured = Result<(), ScaleError>;

/// A value of a metric at a size.
#[derive(Clone, Debug, PartialEq)]
struct Count {
    metric: &'static str,
    size: u64,
    value: f64,
}

fn request(sizes: &[u64], seed: u64) -> MeasureRequest {
    MeasureRequest::new(sizes.to_vec(), seed, 1, Some(MEMORY_MB)).expect("a sound request")
}

/// What a measurement counts; times and memory, which are of the machine, are left out.
fn counts(run: impl FnOnce(&mut dyn FnMut(Figure) -> Measured) -> Measured) -> Vec<Count> {
    let mut counts = Vec::new();
    let mut emit = |figure: Figure| {
        if figure.source == Source::Counted {
            counts.push(Count {
                metric: figure.metric,
                size: figure.size,
                value: figure.value,
            });
        }
        Ok(())
    };
    run(&mut emit).expect("measured");
    counts
}

fn counts_by_servers(seed: u64) -> Vec<Count> {
    let request = request(SIZES, seed);
    counts(|emit| measure(&request, emit))
}

fn points(counts: &[Count], metric: &str) -> Vec<(f64, f64)> {
    let of_metric = counts.iter().filter(|count| count.metric == metric);
    of_metric
        .map(|count| (count.size as f64, count.value))
        .collect()
}

fn check(counts: &[Count], metric: &str, exponent: f64) {
    let points = points(counts, metric);
    assert_eq!(points.len(), SIZES.len(), "{metric}");
    check_slope(&points, exponent + MARGIN).unwrap_or_else(|slope| panic!("{metric}: {slope}"));
}

#[test]
fn counts_grow_as_the_design_has_it_and_are_the_same_for_one_seed() {
    let counted = counts_by_servers(7);
    // A list names each server once; a replacement each that goes and each that comes. An index is a server's until it
    // is forgotten.
    let linear = [
        "full_list_bytes",
        "full_list_indented_bytes",
        "replacement_bytes",
        "indices_after_replacement",
        "indices_after_next_replacement",
    ];
    linear
        .iter()
        .for_each(|metric| check(&counted, metric, 1.0));
    // A change message tells only what changed; the beat is the settings'; an entry of a list is handed on once, and has
    // one index.
    let constant = [
        "change_1_bytes",
        "change_100_bytes",
        "idle_rounds_per_10_s",
        "list_steps_per_server",
    ];
    constant
        .iter()
        .for_each(|metric| check(&counted, metric, 0.0));
    assert_eq!(counted, counts_by_servers(7), "one seed, other counts");
}

#[test]
fn indices_of_servers_that_are_gone_are_used_again() {
    let counted = counts_by_servers(7);
    let expected: Vec<(f64, f64)> = SIZES
        .iter()
        .map(|&size| (size as f64, (size + size * 6 / 10) as f64))
        .collect();
    assert_eq!(points(&counted, "indices_after_replacement"), expected);
    assert_eq!(points(&counted, "indices_after_next_replacement"), expected);
}

#[test]
fn the_source_sends_each_restarting_limiter_one_list() {
    const SERVERS: u64 = 200;
    const LIMITERS: &[u64] = &[1, 5, 20, 100];
    let request = request(LIMITERS, 7);
    let sent = counts(|emit| measure_limiters_restarting(&request, SERVERS, emit));
    let list = ListSource::new(SERVERS, 7, Form::Indented)
        .full_list()
        .expect("written")
        .len() as f64;
    let expected: Vec<(f64, f64)> = LIMITERS
        .iter()
        .map(|&limiters| (limiters as f64, limiters as f64 * list))
        .collect();
    assert_eq!(points(&sent, "source_bytes"), expected);
}

#[test]
fn a_limiter_knows_the_servers_of_a_list_and_sends_to_them() {
    const SERVERS: u64 = 500;
    let mut limiter = HollowLimiter::new(7).expect("settings");
    let list = ListSource::new(SERVERS, 7, Form::Indented)
        .full_list()
        .expect("written");
    assert_eq!(limiter.receive(list).expect("a list"), SERVERS);
    assert_eq!(limiter.servers_known(), SERVERS);
    for _ in 0..40 {
        limiter.next_turn();
        limiter.request();
    }
    assert!(limiter.written().sent > 0, "{:?}", limiter.written());
    let wakes = limiter.written().wakes;
    limiter.rest(Duration::from_secs(1));
    assert!(limiter.written().wakes > wakes, "{:?}", limiter.written());
}

/// Planted: a table that is scanned for each entry, and counts the names that it compares.
#[derive(Default)]
struct ScannedTable(Vec<String>);

impl ListHolder for ScannedTable {
    fn take(&mut self, news: DiscoveryUpdate) -> u64 {
        let mut comparisons = 0;
        for server in news.servers {
            let known = self.0.iter().any(|name| {
                comparisons += 1;
                *name == server.name
            });
            if !known {
                self.0.push(server.name);
            }
        }
        comparisons
    }
}

fn real() -> Box<dyn ListHolder> {
    Box::<RealHolder>::default()
}

fn scanned() -> Box<dyn ListHolder> {
    Box::<ScannedTable>::default()
}

#[test_case(real => true ; "the table of the program")]
#[test_case(scanned => false ; "a table scanned for each entry")]
fn the_check_of_steps_a_server_passes(holder: fn() -> Box<dyn ListHolder>) -> bool {
    let request = request(SIZES, 7);
    let counted = counts(|emit| measure_steps(&request, &mut || holder(), emit));
    match check_slope(&points(&counted, "list_steps_per_server"), MARGIN) {
        Ok(_) => true,
        Err(SlopeError::TooSteep { exponent, .. }) => {
            assert!(
                exponent > 0.9,
                "{exponent}, where each server is compared with all"
            );
            false
        }
        Err(other) => panic!("{other}"),
    }
}

#[test]
fn a_size_beyond_the_memory_is_refused_before_any_is_measured() {
    let request = request(&[100, 1_000_000], 7);
    let mut emitted = 0;
    let refused = measure(&request, &mut |_| {
        emitted += 1;
        Ok(())
    });
    assert!(
        matches!(refused, Err(ScaleError::Memory { .. })),
        "{refused:?}"
    );
    assert_eq!(emitted, 0);
}
