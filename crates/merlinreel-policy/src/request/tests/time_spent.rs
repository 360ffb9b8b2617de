use crate::request::remaining_time::{RemainingTimeHistogram, Step};
use crate::request::time_spent::time_already_spent;
use crate::tests::helpers::*;
use test_case::test_case;

/// So many requests of a class whose deadline is 2 s arrived with some 1.4 s left.
fn histogram(requests: u32) -> RemainingTimeHistogram {
    let mut histogram = RemainingTimeHistogram::default();
    let step = Step::of(89.5 / 128.0);
    (0..requests).for_each(|_| histogram.add(step));
    histogram
}

#[test_case(1.4, 1.0, 0.0 ; "a common remaining time is a first attempt's")]
#[test_case(0.5, 1.0, 1.5 ; "a rare one is what the deadline leaves")]
#[test_case(0.5, 0.1, 0.0 ; "nothing is known where few are common")]
fn time_spent_follows_from_a_rare_remaining_time(remaining: f64, first_share: f64, spent: f64) {
    let mut histogram = histogram(50);
    histogram.first_attempt_share = first_share;
    assert_eq!(
        time_already_spent(at(remaining), at(2.0), &mut histogram),
        at(spent)
    );
}

#[test]
fn new_common_remaining_time_is_soon_a_first_attempts() {
    let mut histogram = histogram(400);
    (0..60).for_each(|_| _ = time_already_spent(at(0.3), at(2.0), &mut histogram));
    assert_eq!(
        time_already_spent(at(0.3), at(2.0), &mut histogram),
        at(0.0)
    );
}
