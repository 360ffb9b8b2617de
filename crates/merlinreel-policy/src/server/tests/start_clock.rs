//! Ages of servers where the limiter's wall clock was wrong as it started: what discovery reports bounds by how much.

use crate::events::EventBatch;
use crate::model::endpoint::Endpoint;
use crate::model::request_class::Idempotency;
use crate::server::server_state::Server;
use crate::tests::helpers::*;
use test_case::test_case;

/// What the limiter's clock says as the endpoint list arrives.
const NOW: f64 = 100_000.0;

/// The capacity fraction that a limiter takes each server for, so many seconds after a list reported starts so many
/// seconds before its own clock (none: long ago). Servers have full capacity 10 s after their start.
fn capacity_fractions(starts: &[Option<f64>], later: f64) -> Vec<f64> {
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
    let fraction = |server: &Server| server.capacity_fraction(at(NOW + later), &endpoint_config());
    limiter.servers.servers.values().map(fraction).collect()
}

/// A server started a second ago, others long ago; the clock is off by so many seconds.
#[test_case(0.0 ; "right")]
#[test_case(12.0 ; "seconds ahead")]
#[test_case(3600.0 ; "an hour ahead")]
#[test_case(-12.0 ; "seconds behind")]
#[test_case(-3600.0 ; "an hour behind")]
fn server_that_just_started_gets_full_capacity_later(off: f64) {
    let starts = [Some(1.0 + off), None, None];
    let at_once = capacity_fractions(&starts, 0.0);
    assert!(
        at_once[0] < 0.4 && at_once[1..] == [1.0, 1.0],
        "{at_once:?}"
    );
    let later = capacity_fractions(&starts, 10.0);
    assert_eq!(later, [1.0, 1.0, 1.0]);
}

/// Ages that a clock which is off by an hour at most can't have made up.
#[test_case(&[Some(7300.0), None], 0 => 1.0 ; "hours ago by any clock")]
#[test_case(&[Some(100.0), Some(1.0)], 0 => 1.0 ; "long before the latest")]
#[test_case(&[Some(3700.0), Some(3601.0), None], 0 => 1.0 ; "long before the latest, the clock an hour ahead")]
#[test_case(&[Some(100.0), Some(101.0)], 0 => 1.0 ; "all long ago: none would be left to take the traffic")]
fn server_that_started_long_ago_has_full_capacity(starts: &[Option<f64>], server: usize) -> f64 {
    capacity_fractions(starts, 0.0)[server]
}
