use super::*;

#[test]
fn quotas_are_enforced_from_the_first_of_three_seconds_without_excess() {
    let recovered = recovery(&[1.0, 3.0], &[9.0, 2.0, 7.0, 3.0, 0.0, 1.0, 9.0], 4.0);
    assert_eq!(recovered.enforced_after, Some(Duration::from_secs(3)));
    assert_eq!(recovered.overage_in_seconds_of_refill, (18.0 - 6.0) / 4.0);
    assert_eq!(
        recovery(&[1.0], &[9.0, 9.0, 9.0, 1.0], 4.0).enforced_after,
        None
    );
}
