use super::*;
use test_case::test_case;

/// A moment so many milliseconds behind `start`.
fn at(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

/// Guards against a wait that is counted for a connection which was noticed at once.
#[test]
fn awaited_connection_came_when_it_was_noticed() {
    let start = Instant::now();
    let mut backlog = Backlog::new(start);
    backlog.record_awaited();
    assert_eq!(backlog.accept(at(start, 9000)), at(start, 9000));
    assert_eq!(
        backlog.accept(at(start, 9500)),
        at(start, 9000),
        "the next one may have come with it"
    );
}

/// Guards against a wait that is forgotten, and against one that is counted from before other connections came: three
/// wait at the first look, and two come until the second one.
#[test_case(1 => 0)]
#[test_case(3 => 0)]
#[test_case(4 => 100)]
#[test_case(5 => 100)]
#[test_case(6 => 200)]
#[test_case(9 => 200)]
fn connection_came_after_the_last_look_that_did_not_see_it(number: usize) -> u128 {
    let start = Instant::now();
    let mut backlog = Backlog::new(start);
    backlog.record_look(at(start, 100), 3);
    backlog.record_look(at(start, 200), 5);
    let came = (0..number).map(|_| backlog.accept(at(start, 300))).last();
    (came.expect("one at least") - start).as_millis()
}

/// Guards against looks that pile up while a crowd waits for ever.
#[test]
fn looks_are_forgotten_as_connections_are_accepted() {
    let start = Instant::now();
    let mut backlog = Backlog::new(start);
    for ms in 1..1000 {
        backlog.record_look(at(start, ms), 8);
        backlog.accept(at(start, ms));
    }
    assert!(backlog.looks.len() <= 10, "{}", backlog.looks.len());
}
