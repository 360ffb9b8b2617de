use super::*;

#[test]
fn what_is_let_in_from_an_empty_store_is_beyond_the_quota() {
    let mut customer = Customer::new(5, 0, (3, 2), 1.0, 2.0);
    (0..4).for_each(|_| customer.count(Duration::from_secs(9), true));
    customer.count(Duration::from_secs(9), false);
    assert_eq!(
        customer.used,
        Use {
            asked: 5,
            admitted: 4,
            beyond: 2
        }
    );
    customer.count(Duration::from_secs(10), true);
    assert_eq!(
        (customer.used.beyond, customer.last_beyond),
        (2, Some(Duration::from_secs(9)))
    );
    assert_eq!(customer.set(4).collect::<Vec<_>>(), [3, 0]);
}
