use super::*;

#[test]
fn what_is_over_the_rate_is_dropped_until_the_next_second() {
    let mut inbox = Inbox::default();
    let moments = [1.0, 1.2, 1.9, 2.0].map(Duration::from_secs_f64);
    assert_eq!(
        moments.map(|now| inbox.takes(now, 2)),
        [true, true, false, true]
    );
    assert_eq!(inbox.dropped, 1);
}
