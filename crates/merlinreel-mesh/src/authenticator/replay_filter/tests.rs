use super::*;
use crate::capacity::Capacity;
use test_case::test_case;

fn member(incarnation: u64) -> Member {
    Member {
        address: SocketAddrV4::new([127, 0, 0, 1].into(), 9),
        incarnation,
    }
}

#[test_case(&[(5, 1), (5, 2), (5, 1)] => vec![true, true, false] ; "received twice")]
#[test_case(&[(5, 3), (5, 1), (5, 2), (5, 2)] => vec![true, true, true, false] ; "out of order")]
#[test_case(&[(5, 200), (5, 72), (5, 73)] => vec![true, false, true] ; "older than the window")]
#[test_case(&[(5, 1), (5, 500), (5, 1)] => vec![true, true, false] ; "jump ahead")]
#[test_case(&[(5, 9), (6, 1), (5, 10), (6, 1)] => vec![true, true, false, false] ; "next incarnation")]
fn each_sequence_number_is_accepted_once(sequences: &[(u64, u64)]) -> Vec<bool> {
    let mut filter = ReplayFilter::new(1);
    let accept = |&(incarnation, sequence): &(u64, u64)| {
        filter.accept(member(incarnation), sequence, Duration::ZERO)
    };
    sequences
        .iter()
        .map(accept)
        .map(|accepted| accepted.is_ok())
        .collect()
}

fn sender(number: usize) -> Member {
    let address = SocketAddrV4::new((number as u32).to_be_bytes().into(), 9);
    Member {
        address,
        incarnation: 5,
    }
}

/// As many senders as the capacity for a fleet allows are remembered, and a replay of any of them is detected.
#[test_case(1 ; "one limiter configured")]
#[test_case(2300 ; "a large fleet")]
fn replays_of_all_members_of_a_fleet_are_detected(limiters: usize) {
    let capacity = Capacity::for_limiters(limiters);
    let mut filter = ReplayFilter::new(capacity.senders);
    for expected in [Ok(()), Err(DropReason::Replayed)] {
        let accepted =
            (0..capacity.senders).map(|number| filter.accept(sender(number), 1, Duration::ZERO));
        assert!({ accepted }.all(|accepted| accepted == expected));
    }
}

/// A new sender above the capacity is refused with a reason of its own, and the remembered senders stay. Once one of
/// them has sent nothing for the retention time, the new sender replaces it.
#[test]
fn sender_above_capacity_is_refused_and_others_stay_remembered() {
    let mut filter = ReplayFilter::new(3);
    for number in 0..3 {
        assert_eq!(
            filter.accept(sender(number), 1, Duration::from_secs(number as u64)),
            Ok(())
        );
    }
    let late = Duration::from_secs(3);
    assert_eq!(
        filter.accept(sender(3), 1, late),
        Err(DropReason::SendersAtCapacity)
    );
    assert_eq!(filter.accept(sender(0), 1, late), Err(DropReason::Replayed));
    assert_eq!(filter.accept(sender(2), 2, late), Ok(()));
    assert_eq!(filter.accept(sender(3), 1, late + RETENTION), Ok(()));
}
