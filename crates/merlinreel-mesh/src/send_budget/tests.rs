use super::*;
use proptest::prelude::*;

proptest! {
    /// From the start to any time, no more bytes are sent than the bucket's capacity and its refill since then.
    #[test]
    fn sent_bytes_stay_within_burst_and_rate(sends in proptest::collection::vec((0..1200usize, 0..200u64, 0..3u8), 1..300)) {
        let (mut budget, mut now, mut sent) = (SendBudget::new(4000, 12000, Duration::ZERO), 0, 0);
        for (bytes, delay, priority) in sends {
            now += delay;
            let priority = [Priority::Membership, Priority::Urgent, Priority::Routine][usize::from(priority)];
            if budget.try_take(bytes, priority, Duration::from_millis(now)) {
                sent += bytes;
            }
            prop_assert!(sent as f64 <= 12000.0 + 4.0 * now as f64 + 0.001);
        }
    }
}

/// Lower priorities can't use the reserves of the higher ones.
#[test]
fn membership_messages_always_find_their_reserve() {
    let mut budget = SendBudget::new(0, 10_000, Duration::ZERO);
    while budget.try_take(500, Priority::Routine, Duration::ZERO) {}
    assert!(budget.try_take(1000, Priority::Urgent, Duration::ZERO));
    while budget.try_take(500, Priority::Urgent, Duration::ZERO) {}
    assert!(budget.try_take(1000, Priority::Membership, Duration::ZERO));
}
