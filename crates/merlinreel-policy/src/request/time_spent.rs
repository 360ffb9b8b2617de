//! Decides whether a request is a client's retry, and how long the client has waited then.

use super::remaining_time::{RemainingTimeHistogram, Step};
use crate::time;
use std::time::Duration;

const LEAST_DEADLINE_SECONDS: f64 = 0.001;
/// Requests that are enough to know which remaining times are common.
const LEAST_REQUESTS: f64 = 30.0;
/// First attempts make up more than this share of all requests even in a storm of retries.
const COMMON_SHARE: f64 = 0.1;
/// A new common remaining time is known as such within some dozens of this many requests.
const HALVE_ABOVE_REQUESTS: f64 = 400.0;
const FIRST_ATTEMPT_GAIN: f64 = 0.02;
/// With fewer first attempts than this nothing is known.
const LEAST_FIRST_ATTEMPT_SHARE: f64 = 0.15;

/// How long the client has already waited for earlier attempts of its own.
///
/// First attempts of a class arrive with one and the same remaining time; a rarer one is what the deadline leaves of a
/// retry. A retry that comes too late to earn anything should take no quota and no server. Counts are forgotten fast, as
/// clients may change their time-outs.
pub fn time_already_spent(
    remaining: Duration,
    deadline: Duration,
    histogram: &mut RemainingTimeHistogram,
) -> Duration {
    let deadline_seconds = time::seconds(deadline).max(LEAST_DEADLINE_SECONDS);
    let step = Step::of(time::seconds(remaining) / deadline_seconds);
    let total = histogram.total();
    histogram.add(step);
    let is_common = total < LEAST_REQUESTS || histogram.near(step) >= COMMON_SHARE * total;
    if total > HALVE_ABOVE_REQUESTS {
        histogram.halve();
    }
    let is_first = if is_common { 1.0 } else { 0.0 };
    histogram.first_attempt_share +=
        (is_first - histogram.first_attempt_share) * FIRST_ATTEMPT_GAIN;
    if is_common || histogram.first_attempt_share < LEAST_FIRST_ATTEMPT_SHARE {
        Duration::ZERO
    } else {
        deadline.saturating_sub(remaining)
    }
}
