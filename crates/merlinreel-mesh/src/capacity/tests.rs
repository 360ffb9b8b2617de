use super::*;
use test_case::test_case;

#[test_case(0 => (2048, 4096) ; "none named")]
#[test_case(1 => (2048, 4096) ; "one")]
#[test_case(2300 => (4600, 9200) ; "a large fleet")]
#[test_case(65_536 => (131_072, 262_144) ; "the most that settings may name")]
fn room_follows_the_fleet(limiters: usize) -> (usize, usize) {
    let capacity = Capacity::for_limiters(limiters);
    assert_eq!(capacity.dead, capacity.owners);
    (capacity.owners, capacity.senders)
}
