//! Decides how often limiters report to each other, and whether through an aggregator.

use crate::model::fleet::FleetConfig;
use crate::time;
use std::time::Duration;

/// Share of a peer's inbox that all others together may fill.
const INBOX_SHARE: f64 = 0.75;
const LEAST_MESSAGE_INTERVAL_SECONDS: f64 = 0.02;
/// With a counter service, which replies within some milliseconds.
const MAX_TICK_WITH_COUNTER: Duration = Duration::from_millis(20);
const MAX_TICK: Duration = Duration::from_millis(100);
/// A longer message interval leaves most reports older than a burst lasts.
const MAX_DIRECT_INTERVAL: Duration = Duration::from_millis(600);

/// Time between two messages of this limiter to the same peer, as short as the peers' inboxes surely take.
pub fn message_interval(fleet: &FleetConfig) -> Duration {
    let others = f64::from(fleet.limiters.saturating_sub(1));
    let seconds = others / (INBOX_SHARE * fleet.peer_inbox_rate.max(1.0));
    time::from_seconds(seconds.max(LEAST_MESSAGE_INTERVAL_SECONDS))
}

/// Time between two ticks, in which everything is done that no event asks for.
pub fn tick_interval(fleet: &FleetConfig) -> Duration {
    let longest = if fleet.counter {
        MAX_TICK_WITH_COUNTER
    } else {
        MAX_TICK
    };
    longest.min(message_interval(fleet))
}

/// Whether the limiters are too many to report to each other in time, so that one of each customer's limiters aggregates
/// the reports of the others.
pub fn uses_aggregator(fleet: &FleetConfig) -> bool {
    fleet.peer_messages && message_interval(fleet) > MAX_DIRECT_INTERVAL
}
