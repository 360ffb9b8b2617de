use super::*;

#[test]
fn taken_bytes_have_the_time_of_their_arrival() {
    let start = Instant::now();
    let at = |milliseconds| start + Duration::from_millis(milliseconds);
    let mut arrival_times = ArrivalTimes::default();
    arrival_times.record(10, at(0));
    arrival_times.record(10, at(3));
    arrival_times.record(10, at(50));
    assert_eq!(
        arrival_times.take(15),
        Some(at(0)),
        "bytes that arrive within the resolution share the first arrival time"
    );
    assert_eq!(arrival_times.take(5), Some(at(0)));
    assert_eq!(arrival_times.take(1), Some(at(50)));
    assert_eq!(arrival_times.take(9), Some(at(50)));
    arrival_times.record(4, at(90));
    assert_eq!(arrival_times.take(4), Some(at(90)));
    assert!(arrival_times.marks.is_empty());
}
