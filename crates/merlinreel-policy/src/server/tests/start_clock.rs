//! Capacity of servers at a limiter whose wall clock is wrong: the starts that discovery reports limit the error.

use crate::events::EventBatch;
use crate::model::endpoint::Endpoint;
use crate::model::request_class::Idempotency;
use crate::server::server_state::Server;
use crate::tests::helpers::*;
use test_case::test_case;

/// Time of the limiter's clock when the endpoint list arrives, in seconds.
const NOW: f64 = 100_000.0;

/// Capacity fraction of each server, `seconds_later` after a list arrived. The list reports each server as started
/// `starts` seconds ago by the limiter's clock; `None` for a start long ago. Servers have full capacity 10 s after
/// their start.
fn capacity_fractions(starts: &[Option<f64>], seconds_later: f64) -> Vec<f64> {
    let mut limiter = limiter(Idempotency::Idempotent, fleet());
    let endpoints = (0..)
        .zip(starts)
        .map(|(server, ago)| Endpoint {
            started_at: ago.map(|ago| at(NOW - ago)),
            ..endpoint(server)
        })
        .collect();
    let batch = EventBatch {
        endpoint_updates: vec![endpoint_update(true, endpoints)],
        ..EventBatch::default()
    };
    limiter.process(at(NOW), &batch, &mut RecordedActions::default());
    let fraction =
        |server: &Server| server.capacity_fraction(at(NOW + seconds_later), &endpoint_config());
    limiter.servers.servers.values().map(fraction).collect()
}

/// One server started a second ago, the others long ago; the limiter's clock is ahead by `clock_error_seconds`.
#[test_case(0.0 ; "clock is right")]
#[test_case(12.0 ; "clock is seconds ahead")]
#[test_case(3600.0 ; "clock is an hour ahead")]
#[test_case(-12.0 ; "clock is seconds behind")]
#[test_case(-3600.0 ; "clock is an hour behind")]
fn server_that_just_started_gets_full_capacity_later(clock_error_seconds: f64) {
    let starts = [Some(1.0 + clock_error_seconds), None, None];
    let at_once = capacity_fractions(&starts, 0.0);
    assert!(
        at_once[0] < 0.4 && at_once[1..] == [1.0, 1.0],
        "{at_once:?}"
    );
    let later = capacity_fractions(&starts, 10.0);
    assert_eq!(later, [1.0, 1.0, 1.0]);
}

/// Ages that an error of the limiter's clock of an hour at most cannot explain.
#[test_case(&[Some(7300.0), None], 0 => 1.0 ; "hours ago, more than the clock error")]
#[test_case(&[Some(100.0), Some(1.0)], 0 => 1.0 ; "long before the latest start")]
#[test_case(&[Some(3700.0), Some(3601.0), None], 0 => 1.0 ; "long before the latest start, with the clock an hour ahead")]
#[test_case(&[Some(100.0), Some(101.0)], 0 => 1.0 ; "all long ago, as otherwise no server could take the traffic")]
fn server_that_started_long_ago_has_full_capacity(starts: &[Option<f64>], server: usize) -> f64 {
    capacity_fractions(starts, 0.0)[server]
}
