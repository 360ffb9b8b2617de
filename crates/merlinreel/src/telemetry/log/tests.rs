use super::*;

#[test]
fn lines_beyond_the_rate_are_counted_and_told_later() {
    let (mut gauge, now) = (LogRateLimiter::new(), Instant::now());
    assert!((0..LINES).all(|_| gauge.admits(now) == Some(0)));
    assert_eq!((gauge.admits(now), gauge.admits(now)), (None, None));
    assert_eq!(gauge.admits(now + PERIOD), Some(2));
}
