//! A short measurement of the list of servers. It checks counts only, which are the same in each run.

use merlinreel_discovery::DiscoveryUpdate;
use merlinreel_testkit::scale::server_list::{
    EndpointTableConsumer, Format, ListConsumer, ListSource, SimulatedLimiter, measure,
    measure_limiters_restarting, measure_steps,
};
use merlinreel_testkit::scale::{
    DataPoint, Emit, MeasureRequest, Point, ScaleError, SlopeError, Source, check_slope,
};
use std::time::Duration;
use test_case::test_case;

const SIZES: &[u64] = &[100, 200, 400, 800];
const MEMORY_MB: u64 = 256;
/// Allows for numbers in messages that are a digit longer, and for rounded counts. A cost that grows with the next
/// integral power of the size is far steeper.
const EXPONENT_MARGIN: f64 = 0.1;

/// The counted value of a metric at a size.
#[derive(Clone, Debug, PartialEq)]
struct Count {
    metric: &'static str,
    size: u64,
    value: f64,
}

fn request(sizes: &[u64], seed: u64) -> MeasureRequest {
    MeasureRequest::new(sizes.to_vec(), seed, 1, Some(MEMORY_MB)).expect("a valid request")
}

/// The counts of a measurement. Times and memory are left out, as they depend on the machine.
fn counts(run: impl FnOnce(Emit) -> Result<(), ScaleError>) -> Vec<Count> {
    let mut counts = Vec::new();
    let mut emit = |point: DataPoint| {
        if point.source == Source::Counted {
            counts.push(Count {
                metric: point.metric,
                size: point.size,
                value: point.value,
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

fn points(counts: &[Count], metric: &str) -> Vec<Point> {
    let of_metric = counts.iter().filter(|count| count.metric == metric);
    of_metric
        .map(|count| Point::new(count.size as f64, count.value))
        .collect()
}

/// Checks that a metric grows with the size to at most this power, apart from the margin.
fn check_growth(counts: &[Count], metric: &str, exponent: f64) {
    let points = points(counts, metric);
    assert_eq!(points.len(), SIZES.len(), "{metric}");
    check_slope(&points, exponent + EXPONENT_MARGIN)
        .unwrap_or_else(|slope| panic!("{metric}: {slope}"));
}

#[test]
fn counts_grow_as_designed_and_are_the_same_for_one_seed() {
    let counted = counts_by_servers(7);
    // A full list contains each server once, and a replacement contains each removed and each added server. A server
    // keeps its index until it is released.
    let linear = [
        "full_list_bytes",
        "full_list_indented_bytes",
        "replacement_bytes",
        "indices_after_replacement",
        "indices_after_next_replacement",
    ];
    for metric in linear {
        check_growth(&counted, metric, 1.0);
    }
    // A change message contains only the changed servers. The tick interval does not depend on the number of servers.
    // An entry of a list is passed on once and has one index.
    let constant = [
        "change_1_bytes",
        "change_100_bytes",
        "idle_rounds_per_10_s",
        "list_steps_per_server",
    ];
    for metric in constant {
        check_growth(&counted, metric, 0.0);
    }
    assert_eq!(
        counted,
        counts_by_servers(7),
        "different counts with the same seed"
    );
}

#[test]
fn indices_of_removed_servers_are_reused() {
    let counted = counts_by_servers(7);
    let expected: Vec<Point> = SIZES
        .iter()
        .map(|&size| Point::new(size as f64, (size + size * 6 / 10) as f64))
        .collect();
    assert_eq!(points(&counted, "indices_after_replacement"), expected);
    assert_eq!(points(&counted, "indices_after_next_replacement"), expected);
}

#[test]
fn restarting_limiters_are_sent_one_list_each() {
    const SERVERS: u64 = 200;
    const LIMITERS: &[u64] = &[1, 5, 20, 100];
    let request = request(LIMITERS, 7);
    let sent = counts(|emit| measure_limiters_restarting(&request, SERVERS, emit));
    let list = ListSource::new(SERVERS, 7, Format::Indented)
        .full_list()
        .expect("encoded")
        .len() as f64;
    let expected: Vec<Point> = LIMITERS
        .iter()
        .map(|&limiters| Point::new(limiters as f64, limiters as f64 * list))
        .collect();
    assert_eq!(points(&sent, "source_bytes"), expected);
}

#[test]
fn limiter_with_a_list_knows_its_servers_and_sends_attempts_to_them() {
    const SERVERS: u64 = 500;
    let mut limiter = SimulatedLimiter::new(7).expect("settings");
    let list = ListSource::new(SERVERS, 7, Format::Indented)
        .full_list()
        .expect("encoded");
    assert_eq!(limiter.receive(list).expect("a list"), SERVERS);
    assert_eq!(limiter.servers_known(), SERVERS);
    for _ in 0..40 {
        limiter.advance_selection_interval();
        limiter.request();
    }
    assert!(limiter.actions().attempts > 0, "{:?}", limiter.actions());
    let wakeups = limiter.actions().wakeups;
    limiter.idle(Duration::from_secs(1));
    assert!(
        limiter.actions().wakeups > wakeups,
        "{:?}",
        limiter.actions()
    );
}

/// A table that is scanned for each entry, a cost that the slope check must reject. Counts the names that it compares.
#[derive(Default)]
struct ScannedTable(Vec<String>);

impl ListConsumer for ScannedTable {
    fn apply(&mut self, update: DiscoveryUpdate) -> u64 {
        let mut comparisons = 0;
        for server in update.endpoints {
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

fn endpoint_table() -> Box<dyn ListConsumer> {
    Box::<EndpointTableConsumer>::default()
}

fn scanned_table() -> Box<dyn ListConsumer> {
    Box::<ScannedTable>::default()
}

#[test_case(endpoint_table => true ; "the program's table")]
#[test_case(scanned_table => false ; "a table scanned for each entry")]
fn steps_per_server_do_not_grow(new_consumer: fn() -> Box<dyn ListConsumer>) -> bool {
    let request = request(SIZES, 7);
    let counted = counts(|emit| measure_steps(&request, &mut || new_consumer(), emit));
    match check_slope(&points(&counted, "list_steps_per_server"), EXPONENT_MARGIN) {
        Ok(_) => true,
        Err(SlopeError::TooSteep { exponent, .. }) => {
            assert!(
                exponent > 0.9,
                "exponent {exponent} although each server is compared with all"
            );
            false
        }
        Err(other) => panic!("{other}"),
    }
}

#[test]
fn size_over_the_memory_limit_is_rejected_before_any_is_measured() {
    let request = request(&[100, 1_000_000], 7);
    let mut emitted = 0;
    let rejected = measure(&request, &mut |_| {
        emitted += 1;
        Ok(())
    });
    assert!(
        matches!(rejected, Err(ScaleError::Memory { .. })),
        "{rejected:?}"
    );
    assert_eq!(emitted, 0);
}
