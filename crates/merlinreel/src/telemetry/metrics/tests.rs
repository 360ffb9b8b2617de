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
