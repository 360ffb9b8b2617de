use super::*;

#[test]
fn units_admitted_from_an_empty_bucket_are_overage() {
    let set = LimiterSet { first: 3, size: 2 };
    let mut customer = Customer::new(5, 0, set, 1.0, 2.0);
    (0..4).for_each(|_| customer.count(Duration::from_secs(9), true));
    customer.count(Duration::from_secs(9), false);
    assert_eq!(
        customer.usage,
        Usage {
            requested: 5,
            admitted: 4,
            overage: 2
        }
    );
    customer.count(Duration::from_secs(10), true);
    assert_eq!(
        (customer.usage.overage, customer.last_overage_at),
        (2, Some(Duration::from_secs(9)))
    );
    assert_eq!(customer.set.limiters(4).collect::<Vec<_>>(), [3, 0]);
}
