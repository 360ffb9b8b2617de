//! Ages of servers where the limiter's wall clock was wrong as it started: what the list tells bounds how much.

use super::*;
use test_case::test_case;

/// What the limiter's clock says as the list comes.
const NOW: f64 = 100_000.0;

/// How warm a limiter takes each server for, so many seconds after a list told of starts so many seconds before its own
/// clock (none: long ago). Servers are warm 10 s after their start.
fn warmth(starts: &[Option<f64>], later: f64) -> Vec<f64> {
    let mut limiter = limiter(Idempotency::Idempotent, fleet());
    let started = |ago: &Option<f64>| ago.map(|ago| at(NOW - ago));
    let endpoints = (0..)
        .zip(starts)
        .map(|(server, ago)| Endpoint {
            started_at: started(ago),
            ..entry(server)
        })
        .collect();
    let list = EndpointUpdate {
        complete: true,
        cached: false,
        unavailable: false,
        endpoints,
    };
    let round = EventBatch {
        endpoint_updates: vec![list],
        ..EventBatch::default()
    };
    limiter.round(at(NOW), &round, &mut Notes::default());
    let warmth = |server: &Server| server.warmth(at(NOW + later), &endpoint_config());
    limiter.servers.iter().flatten().map(warmth).collect()
}

/// A server started a second ago, others long ago; the clock is off by so many seconds.
#[test_case(0.0 ; "right")]
#[test_case(12.0 ; "seconds ahead")]
#[test_case(3600.0 ; "an hour ahead")]
#[test_case(-12.0 ; "seconds behind")]
#[test_case(-3600.0 ; "an hour behind")]
fn a_server_that_just_started_is_cold_and_then_warm(off: f64) {
    let starts = [Some(1.0 + off), None, None];
    let at_once = warmth(&starts, 0.0);
    assert!(
        at_once[0] < 0.4 && at_once[1..] == [1.0, 1.0],
        "{at_once:?}"
    );
    let later = warmth(&starts, 10.0);
    assert_eq!(later, [1.0, 1.0, 1.0]);
}

/// Ages that a clock which is off by an hour at most can't have made up.
#[test_case(&[Some(7300.0), None], 0 => 1.0 ; "hours ago by any clock")]
#[test_case(&[Some(100.0), Some(1.0)], 0 => 1.0 ; "long before the newest")]
#[test_case(&[Some(3700.0), Some(3601.0), None], 0 => 1.0 ; "long before the newest, the clock an hour ahead")]
#[test_case(&[Some(100.0), Some(101.0)], 0 => 1.0 ; "all long ago: none would be left to take the traffic")]
fn a_server_that_started_long_ago_is_warm(starts: &[Option<f64>], server: usize) -> f64 {
    warmth(starts, 0.0)[server]
}
