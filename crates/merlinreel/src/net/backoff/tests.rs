use super::*;

#[test]
fn pauses_after_several_failures_double_and_reset() {
    let mut backoff = Backoff::default();
    let mut pauses = |count| {
        (0..count)
            .map(|_| backoff.next_pause().as_millis())
            .collect::<Vec<_>>()
    };
    assert_eq!(pauses(11), [0, 0, 0, 0, 1, 2, 4, 8, 16, 32, 32]);
    assert_eq!(pauses(60)[59], 32);
    backoff.reset();
    assert_eq!(backoff.next_pause(), Duration::ZERO);
}
