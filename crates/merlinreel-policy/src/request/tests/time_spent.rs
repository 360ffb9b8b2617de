use crate::request::remaining_time::{Bin, RemainingTimeHistogram};
use crate::request::time_spent::time_already_spent;
use crate::tests::helpers::*;
use test_case::test_case;

/// A histogram of requests with about 1.4 s left of a deadline of 2 s.
fn histogram(requests: u32) -> RemainingTimeHistogram {
    let mut histogram = RemainingTimeHistogram::default();
    let bin = Bin::of(89.5 / 128.0);
    (0..requests).for_each(|_| histogram.add(bin));
    histogram
}

#[test_case(1.4, 1.0, 0.0 ; "common remaining time is a first attempt")]
#[test_case(0.5, 1.0, 1.5 ; "rare remaining time is a retry")]
#[test_case(0.5, 0.1, 0.0 ; "rare remaining time says nothing with few first attempts")]
fn rare_remaining_time_shows_the_time_spent(remaining: f64, first_fraction: f64, spent: f64) {
    let mut histogram = histogram(50);
    histogram.first_attempt_fraction = first_fraction;
    assert_eq!(
        time_already_spent(at(remaining), at(2.0), &mut histogram),
        at(spent)
    );
}

#[test]
fn new_common_remaining_time_is_soon_recognized() {
    let mut histogram = histogram(400);
    (0..60).for_each(|_| _ = time_already_spent(at(0.3), at(2.0), &mut histogram));
    assert_eq!(
        time_already_spent(at(0.3), at(2.0), &mut histogram),
        at(0.0)
    );
}
