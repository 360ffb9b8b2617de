use super::*;

#[test]
fn messages_over_the_rate_are_dropped_until_the_next_second() {
    let mut inbox = PeerInbox::default();
    let arrivals = [1.0, 1.2, 1.9, 2.0].map(Duration::from_secs_f64);
    assert_eq!(
        arrivals.map(|now| inbox.accept(now, 2)),
        [true, true, false, true]
    );
    assert_eq!(inbox.dropped, 1);
}
