use super::*;
use test_case::test_case;

#[test_case(NetworkConditions::default(), 1 => 1000 ; "default")]
#[test_case(NetworkConditions { partitioned: true, ..NetworkConditions::default() }, 1 => 0 ; "partitioned")]
#[test_case(NetworkConditions { loss_percent: 100, ..NetworkConditions::default() }, 1 => 0 ; "all lost")]
#[test_case(NetworkConditions { duplicate_percent: 100, ..NetworkConditions::default() }, 1 => 2000 ; "all duplicated")]
fn datagrams_arrive_as_the_conditions_say(conditions: NetworkConditions, seed: u64) -> usize {
    let direction = LinkDirection::new(seed);
    direction.set(conditions);
    (0..1000).map(|_| direction.draw_copies().len()).sum()
}

/// A run can be repeated exactly.
#[test]
fn same_seed_draws_the_same_copies() {
    let play = |seed| {
        let direction = LinkDirection::new(seed);
        direction.set(NetworkConditions {
            loss_percent: 30,
            duplicate_percent: 10,
            reorder_percent: 10,
            jitter: Duration::from_millis(9),
            ..NetworkConditions::default()
        });
        (0..200)
            .map(|_| direction.draw_copies())
            .collect::<Vec<_>>()
    };
    assert!(play(4) == play(4) && play(4) != play(5));
}
