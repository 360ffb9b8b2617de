use super::*;
use test_case::test_case;

#[test_case(200 => Outcome::Served ; "served")]
#[test_case(429 => Outcome::Refused ; "refused")]
#[test_case(503 => Outcome::Refused ; "busy")]
#[test_case(400 => Outcome::Failed ; "malformed")]
#[test_case(502 => Outcome::Failed ; "failed")]
fn a_status_is_read_as_its_client_reads_it(status: u16) -> Outcome {
    Outcome::of(status)
}

#[test]
fn classes_dropped_keep_their_counts_and_strangers_count_nothing() {
    let metrics = Metrics::new(&["look".to_owned()]);
    metrics.answered("look", Outcome::Served);
    metrics.answered("garbage", Outcome::Failed);
    metrics.classes_now(&["put".to_owned()]);
    metrics.answered("look", Outcome::Served);
    metrics.attempted("put");
    let text = metrics.text(3);
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
        (0..times).for_each(|_| metrics.answered("look", Outcome::of(status)));
    }
    metrics.attempted("look");
    metrics.reloaded(true);
    metrics.reloaded(false);
    metrics.servers_known.store(10, Ordering::Relaxed);
    metrics.servers_excluded.store(6, Ordering::Relaxed);
    assert_eq!(
        metrics.text(14),
        "limiter.requests.look.served:4|c\n\
        limiter.requests.look.refused:3|c\n\
        limiter.requests.look.failed:2|c\n\
        limiter.requests.look.attempts:1|c\n\
        limiter.in_flight:14|g\n\
        limiter.attempts:1|c\n\
        limiter.servers_known:10|g\n\
        limiter.servers_excluded:6|g\n\
        limiter.reloads_ok:1|c\n\
        limiter.reloads_failed:1|c\n"
    );
}
