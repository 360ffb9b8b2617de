use super::*;
use crate::capacity::Capacity;
use test_case::test_case;

fn from(incarnation: u64) -> Member {
    Member {
        at: SocketAddrV4::new([127, 0, 0, 1].into(), 9),
        incarnation,
    }
}

#[test_case(&[(5, 1), (5, 2), (5, 1)] => vec![true, true, false] ; "again")]
#[test_case(&[(5, 3), (5, 1), (5, 2), (5, 2)] => vec![true, true, true, false] ; "out of order")]
#[test_case(&[(5, 200), (5, 72), (5, 73)] => vec![true, false, true] ; "too old to tell")]
#[test_case(&[(5, 1), (5, 500), (5, 1)] => vec![true, true, false] ; "a leap")]
#[test_case(&[(5, 9), (6, 1), (5, 10), (6, 1)] => vec![true, true, false, false] ; "another life")]
fn numbers_are_new_once(numbers: &[(u64, u64)]) -> Vec<bool> {
    let mut repeats = Repeats::new(1);
    let note = |&(life, number): &(u64, u64)| repeats.note(from(life), number, Duration::ZERO);
    numbers
        .iter()
        .map(note)
        .map(|noted| noted.is_ok())
        .collect()
}
fn sender(number: usize) -> Member {
    let at = SocketAddrV4::new((number as u32).to_be_bytes().into(), 9);
    Member { at, incarnation: 5 }
}

/// A fleet of that size is all remembered, and a repeat of any sender is still seen.
#[test_case(1 ; "one limiter named")]
#[test_case(2300 ; "a large fleet")]
fn a_whole_fleet_is_remembered(limiters: usize) {
    let capacity = Capacity::for_limiters(limiters);
    let mut repeats = Repeats::new(capacity.senders);
    for round in [Ok(()), Err(Dropped::Repeated)] {
        let noted = (0..capacity.senders).map(|one| repeats.note(sender(one), 1, Duration::ZERO));
        assert!({ noted }.all(|noted| noted == round));
    }
}

/// One sender too many is refused by name; those remembered stay, and once they were silent for long there is room.
#[test]
fn a_sender_beyond_the_bound_is_refused_and_harms_nobody() {
    let mut repeats = Repeats::new(3);
    for one in 0..3 {
        assert_eq!(
            repeats.note(sender(one), 1, Duration::from_secs(one as u64)),
            Ok(())
        );
    }
    let late = Duration::from_secs(3);
    assert_eq!(repeats.note(sender(3), 1, late), Err(Dropped::SendersFull));
    assert_eq!(repeats.note(sender(0), 1, late), Err(Dropped::Repeated));
    assert_eq!(repeats.note(sender(2), 2, late), Ok(()));
    assert_eq!(repeats.note(sender(3), 1, late + MEMORY), Ok(()));
}
