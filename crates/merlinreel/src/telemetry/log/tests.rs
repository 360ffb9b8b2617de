use super::*;

#[test]
fn lines_over_the_rate_are_counted_and_reported_later() {
    let (mut rate_limiter, now) = (LogRateLimiter::new(), Instant::now());
    assert!((0..MAX_LINES_PER_PERIOD).all(|_| rate_limiter.admit(now) == Some(0)));
    assert_eq!(
        (rate_limiter.admit(now), rate_limiter.admit(now)),
        (None, None)
    );
    assert_eq!(rate_limiter.admit(now + PERIOD), Some(2));
}
