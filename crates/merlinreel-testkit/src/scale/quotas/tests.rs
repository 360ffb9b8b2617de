use super::*;

#[test]
fn quotas_hold_again_from_the_first_of_three_seconds_like_those_before() {
    let found = recovery(&[1.0, 3.0], &[9.0, 2.0, 7.0, 3.0, 0.0, 1.0, 9.0], 4.0);
    assert_eq!(found.holds_after, Some(Duration::from_secs(3)));
    assert_eq!(found.beyond_in_seconds_of_refill, (18.0 - 6.0) / 4.0);
    assert_eq!(
        recovery(&[1.0], &[9.0, 9.0, 9.0, 1.0], 4.0).holds_after,
        None
    );
}
