use super::*;
use proptest::prelude::*;

proptest! {
    /// Over any span, no more goes than the store and what came in meanwhile.
    #[test]
    fn what_goes_is_bounded(sends in proptest::collection::vec((0..1200usize, 0..200u64, 0..3u8), 1..300)) {
        let (mut budget, mut now, mut sent) = (Budget::new(4000, 12000, Duration::ZERO), 0, 0);
        for (bytes, later, weight) in sends {
            now += later;
            let weight = [Weight::Membership, Weight::Urgent, Weight::Routine][usize::from(weight)];
            if budget.takes(bytes, weight, Duration::from_millis(now)) {
                sent += bytes;
            }
            prop_assert!(sent as f64 <= 12000.0 + 4.0 * now as f64 + 0.001);
        }
    }
}

/// Routine alone can't take what the membership needs.
#[test]
fn the_membership_always_has_its_part() {
    let mut budget = Budget::new(0, 10_000, Duration::ZERO);
    while budget.takes(500, Weight::Routine, Duration::ZERO) {}
    assert!(budget.takes(1000, Weight::Urgent, Duration::ZERO));
    while budget.takes(500, Weight::Urgent, Duration::ZERO) {}
    assert!(budget.takes(1000, Weight::Membership, Duration::ZERO));
}
