use super::*;

#[test]
fn bytes_are_as_old_as_their_arrival() {
    let begun = Instant::now();
    let at = |milliseconds| begun + Duration::from_millis(milliseconds);
    let mut arrivals = Arrivals::default();
    arrivals.came(10, at(0));
    arrivals.came(10, at(3));
    arrivals.came(10, at(50));
    assert_eq!(
        arrivals.take(15),
        Some(at(0)),
        "what follows at once came with the first"
    );
    assert_eq!(arrivals.take(5), Some(at(0)));
    assert_eq!(arrivals.take(1), Some(at(50)));
    assert_eq!(arrivals.take(9), Some(at(50)));
    arrivals.came(4, at(90));
    assert_eq!(arrivals.take(4), Some(at(90)));
    assert!(arrivals.marks.is_empty());
}
