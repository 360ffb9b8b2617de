use super::*;
use test_case::test_case;

#[test_case(0 => (2048, 4096) ; "no limiters configured")]
#[test_case(1 => (2048, 4096) ; "one limiter")]
#[test_case(2300 => (4600, 9200) ; "a large fleet")]
#[test_case(65_536 => (131_072, 262_144) ; "the maximum of the settings")]
fn capacity_for_limiters_follows_their_number(limiters: usize) -> (usize, usize) {
    let capacity = Capacity::for_limiters(limiters);
    assert_eq!(capacity.departed, capacity.owners);
    (capacity.owners, capacity.senders)
}
