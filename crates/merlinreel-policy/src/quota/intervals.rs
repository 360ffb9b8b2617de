//! Decides how often limiters report to each other, and whether they report through an aggregator.

use crate::model::fleet::FleetConfig;
use crate::time;
use std::time::Duration;

/// Fraction of a peer's inbox rate that all other limiters together may use.
const INBOX_FRACTION: f64 = 0.75;
const MIN_MESSAGE_INTERVAL_SECONDS: f64 = 0.02;
/// Shorter than [`MAX_TICK_INTERVAL`], as a counter service replies within a few milliseconds.
const MAX_TICK_INTERVAL_WITH_COUNTER: Duration = Duration::from_millis(20);
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Longest message interval with which limiters report to each other directly: with a longer one, most reports would be
/// older than a burst lasts.
const MAX_DIRECT_INTERVAL: Duration = Duration::from_millis(600);

/// Time between two messages of this limiter to the same peer: the shortest that cannot overload the peers' inboxes.
pub fn message_interval(fleet: &FleetConfig) -> Duration {
    let others = f64::from(fleet.limiters.saturating_sub(1));
    let seconds = others / (INBOX_FRACTION * fleet.peer_inbox_rate.max(1.0));
    time::from_seconds(seconds.max(MIN_MESSAGE_INTERVAL_SECONDS))
}

/// Time between two ticks, which do the work that no event triggers.
pub fn tick_interval(fleet: &FleetConfig) -> Duration {
    let max_interval = if fleet.counter {
        MAX_TICK_INTERVAL_WITH_COUNTER
    } else {
        MAX_TICK_INTERVAL
    };
    max_interval.min(message_interval(fleet))
}

/// Whether the fleet is too large for limiters to report to each other in time, so that one limiter of each customer's
/// limiter set aggregates the reports of the others. Never without peer messages.
pub fn uses_aggregator(fleet: &FleetConfig) -> bool {
    fleet.peer_messages && message_interval(fleet) > MAX_DIRECT_INTERVAL
}
