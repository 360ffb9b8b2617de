//! Decides whether a request is a client's retry and, if so, how long the client has already waited.

use super::remaining_time::{Bin, RemainingTimeHistogram};
use crate::time;
use std::time::Duration;

/// Lower bound of a deadline, by which the remaining time is divided.
const MIN_DEADLINE_SECONDS: f64 = 0.001;
/// With fewer requests, every remaining time counts as common.
const MIN_REQUESTS: f64 = 30.0;
/// Fraction of all requests from which on a remaining time is common. Even in a retry storm, first attempts make up
/// more.
const COMMON_FRACTION: f64 = 0.1;
/// Counts are halved above this number, so that a new common remaining time is recognized within some dozens of
/// requests.
const MAX_COUNTED_REQUESTS: f64 = 400.0;
/// Weight of one request in the moving average of the fraction of first attempts.
const FIRST_ATTEMPT_FRACTION_GAIN: f64 = 0.02;
/// With a lower fraction of first attempts, a rare remaining time does not indicate a retry.
const MIN_FIRST_ATTEMPT_FRACTION: f64 = 0.15;

/// How long the client has already waited for earlier attempts of its own; zero for a first attempt.
///
/// First attempts of a class all arrive with about the same remaining time. A rarer remaining time indicates a retry,
/// for which the client has used up the rest of the deadline. A retry that is too late to be of value should use no
/// quota and no server. Counts decay fast, as clients may change their time-outs.
pub fn time_already_spent(
    remaining: Duration,
    deadline: Duration,
    histogram: &mut RemainingTimeHistogram,
) -> Duration {
    let deadline_seconds = time::seconds(deadline).max(MIN_DEADLINE_SECONDS);
    let bin = Bin::of(time::seconds(remaining) / deadline_seconds);
    let total = histogram.total();
    histogram.add(bin);
    let is_common = total < MIN_REQUESTS || histogram.count_near(bin) >= COMMON_FRACTION * total;
    if total > MAX_COUNTED_REQUESTS {
        histogram.halve();
    }
    let is_first = if is_common { 1.0 } else { 0.0 };
    histogram.first_attempt_fraction +=
        (is_first - histogram.first_attempt_fraction) * FIRST_ATTEMPT_FRACTION_GAIN;
    if is_common || histogram.first_attempt_fraction < MIN_FIRST_ATTEMPT_FRACTION {
        Duration::ZERO
    } else {
        deadline.saturating_sub(remaining)
    }
}
