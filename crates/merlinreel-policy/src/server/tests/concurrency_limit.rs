use crate::model::attempt::{AttemptOutcome, AttemptResult, LoadReport};
use crate::model::index::RequestIndex;
use crate::model::request_class::Idempotency;
use crate::server::concurrency_limit::next_limit_multiplier;
use crate::tests::helpers::*;
use test_case::test_case;

#[test_case(0.02, 2.0 => true ; "fast responses while requests wait raise the limit")]
#[test_case(1.0, 2.0 => false ; "slow responses reduce the limit")]
fn limit_follows_latency(latency_seconds: f64, limit: f64) -> bool {
    let mut server = server(0, 3);
    server.limit.attempts = limit;
    (0..8).for_each(|i| server.adjust_limit(at(f64::from(i)), latency_seconds, 0.2, 1.0, true));
    server.limit.attempts > limit
}

#[test_case(2.0, 0.4, true, None => 2.01 ; "fast responses while requests wait raise the multiplier")]
#[test_case(2.0, 0.4, false, None => 2.0 ; "unchanged while no request waits")]
#[test_case(2.0, 0.9, true, None => 1.97 ; "slow responses reduce the multiplier")]
#[test_case(1.0, 0.9, true, None => 1.0 ; "at least one")]
#[test_case(4.0, 0.1, true, None => 4.0 ; "at most four by latency")]
#[test_case(2.0, 0.9, true, Some((0.6, 0.0)) => 2.4 ; "reported free cores outweigh slow responses")]
#[test_case(2.0, 0.1, true, Some((0.95, 0.0)) => 2.0 ; "unchanged while busy cores are reported")]
#[test_case(2.0, 0.1, true, Some((0.6, 2.0)) => 1.6 ; "reported queued requests reduce the multiplier")]
#[test_case(7.9, 0.1, true, Some((0.6, 0.0)) => 8.0 ; "at most eight by reports")]
fn limit_multiplier_follows_latency_and_reports(
    multiplier: f64,
    latency_ratio: f64,
    requests_waiting: bool,
    report: Option<(f64, f64)>,
) -> f64 {
    let load = report.map_or_else(LoadReport::default, |(utilization, queued)| LoadReport {
        utilization: Some(utilization),
        queued: Some(queued),
        ..LoadReport::default()
    });
    let next = next_limit_multiplier(multiplier, latency_ratio, requests_waiting, &load);
    (next * 1000.0).round() / 1000.0
}

/// A client deadline that ends an attempt before a typical response could have arrived must not reduce the server's
/// limit: servers may drop such requests without a response. A deadline after a longer wait reduces it.
#[test_case(0.05 => true ; "shorter than a typical response")]
#[test_case(0.5 => false ; "longer than a typical response")]
fn limit_after_an_exceeded_deadline_is_kept(latency_seconds: f64) -> bool {
    let limit = |limiter: &mut crate::Limiter| server_mut(limiter, 0).limit.attempts;
    let before = limit(&mut with_attempt(Idempotency::Idempotent));
    let mut limiter = with_attempt(Idempotency::Idempotent);
    limiter.latency.typical_seconds = 0.1;
    for result_index in 0..8 {
        *limiter.requests.pending.slot(RequestIndex(0)) = Some(pending_request());
        let result = AttemptResult {
            latency: at(latency_seconds),
            ..attempt_result(AttemptOutcome::DeadlineExceeded, true)
        };
        let now = at(1.1 + f64::from(result_index));
        limiter.handle_attempt_result(now, &result, &mut RecordedActions::default());
    }
    limit(&mut limiter) == before
}
