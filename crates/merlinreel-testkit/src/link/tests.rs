use super::*;
use test_case::test_case;

#[test_case(NetworkConditions::default(), 1 => 1000 ; "default")]
#[test_case(NetworkConditions { partitioned: true, ..NetworkConditions::default() }, 1 => 0 ; "partitioned")]
#[test_case(NetworkConditions { loss_percent: 100, ..NetworkConditions::default() }, 1 => 0 ; "all lost")]
#[test_case(NetworkConditions { duplicate_percent: 100, ..NetworkConditions::default() }, 1 => 2000 ; "all duplicated")]
fn copies_of_datagrams_follow_the_conditions(conditions: NetworkConditions, seed: u64) -> usize {
    let direction = LinkDirection::new(seed);
    direction.set(conditions);
    (0..1000).map(|_| direction.draw_copies().len()).sum()
}

/// Draws are reproducible from the seed, and differ between seeds.
#[test]
fn same_seed_draws_the_same_copies() {
    let draw_200 = |seed| {
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
    assert!(draw_200(4) == draw_200(4) && draw_200(4) != draw_200(5));
}
