use super::*;
use test_case::test_case;

#[test_case(200 => ResponseOutcome::Success ; "success")]
#[test_case(429 => ResponseOutcome::Rejected ; "rejected")]
#[test_case(503 => ResponseOutcome::Rejected ; "busy")]
#[test_case(400 => ResponseOutcome::Failed ; "malformed")]
#[test_case(502 => ResponseOutcome::Failed ; "failed")]
fn outcome_follows_from_the_status(status: u16) -> ResponseOutcome {
    ResponseOutcome::from_status(StatusCode::from_u16(status).expect("a status"))
}

#[test]
fn removed_class_keeps_its_counts_and_unknown_class_counts_nothing() {
    let metrics = Metrics::new(&["look".to_owned()]);
    metrics.count_response("look", ResponseOutcome::Success);
    metrics.count_response("garbage", ResponseOutcome::Failed);
    metrics.set_classes(&["put".to_owned()]);
    metrics.count_response("look", ResponseOutcome::Success);
    metrics.count_attempt("put");
    let text = metrics.render(3);
    assert!(
        text.contains("limiter.requests.look.served:1|c\n"),
        "{text}"
    );
    assert!(
        text.contains("limiter.requests.put.attempts:1|c\n")
            && text.contains("limiter.attempts:1|c\n")
    );
    assert!(
        !text.contains("garbage") && text.contains("limiter.in_flight:3|g\n"),
        "{text}"
    );
}

#[test]
fn stats_have_their_literal_text() {
    let metrics = Metrics::new(&["look".to_owned()]);
    for (status, times) in [(200, 4), (429, 3), (502, 2)] {
        (0..times).for_each(|_| {
            metrics.count_response(
                "look",
                ResponseOutcome::from_status(StatusCode::from_u16(status).expect("a status")),
            );
        });
    }
    metrics.count_attempt("look");
    metrics.count_reload(ReloadOutcome::Applied);
    metrics.count_reload(ReloadOutcome::Failed);
    metrics.count_rejection(RejectReason::Quota);
    metrics.count_rejection(RejectReason::Quota);
    metrics.count_rejection(RejectReason::NoServerInTime);
    metrics.count_excess_connection();
    metrics.servers_known.store(10, Ordering::Relaxed);
    metrics.servers_excluded.store(6, Ordering::Relaxed);
    assert_eq!(
        metrics.render(14),
        "limiter.requests.look.served:4|c\n\
        limiter.requests.look.refused:3|c\n\
        limiter.requests.look.failed:2|c\n\
        limiter.requests.look.attempts:1|c\n\
        limiter.rejected.quota:2|c\n\
        limiter.rejected.too_many_customers:0|c\n\
        limiter.rejected.late_arrival:0|c\n\
        limiter.rejected.no_server_in_time:1|c\n\
        limiter.rejected.attempts_failed:0|c\n\
        limiter.rejected.too_many_in_flight:0|c\n\
        limiter.rejected.too_many_connections:1|c\n\
        limiter.in_flight:14|g\n\
        limiter.attempts:1|c\n\
        limiter.servers_known:10|g\n\
        limiter.servers_excluded:6|g\n\
        limiter.reloads_ok:1|c\n\
        limiter.reloads_failed:1|c\n\
        limiter.hold_ups:0|c\n\
        limiter.longest_hold_up_ms:0|g\n"
    );
}
