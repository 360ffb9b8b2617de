//! Decides, in a fleet too large for limiters to report to each other, which of a customer's limiters aggregates the
//! reports, when the aggregator publishes an estimate, and how an estimate affects admission.

use super::account::Account;
use super::estimate::QuotaSnapshot;
use super::peer_links::PeerLink;
use super::window::{CurrentAndPrevious, window_seconds};
use crate::model::fleet::FleetConfig;
use crate::model::plan::Plan;
use std::time::Duration;

/// Time over which demand is measured: long enough for several reports from each limiter, short enough that a burst
/// soon ceases to count.
pub const DEMAND_WINDOW: Duration = Duration::from_secs(3);
/// How long a limiter is sent estimates after a report, and hence how long an estimate is valid. A limiter that goes on
/// admitting requests of the customer reports again before that.
pub const ESTIMATE_LIFETIME: Duration = Duration::from_secs(5);
/// An estimate is relayed only while it is younger than its lifetime divided by this.
const RELAYED_LIFETIME_DIVISOR: u32 = 2;
/// While demand does not exceed the plan's rate, all requests are admitted as long as the bucket holds its capacity
/// divided by this.
const FULL_ADMISSION_DIVISOR: f64 = 3.0;
/// Number of unanswered reports after which an aggregator is considered down. A few lost messages must not lead a
/// limiter to another aggregator: with two of them, too much would be counted for a customer.
const MAX_UNANSWERED_REPORTS: u32 = 5;
/// Relative change of the admission probability above which an estimate is published. Smaller changes are within the
/// random variation of usage.
const MIN_PUBLISHED_CHANGE_FRACTION: f64 = 0.35;
/// Multiplier of a multiplicative hash, with well-mixed bits, which spreads customers evenly over their limiters.
const HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
/// Keeps the highest 24 bits of the product, which are the best mixed.
const HASH_SHIFT: u32 = 40;

/// Probability of admitting a request, which falls as the bucket empties and as demand rises. Under high demand, usage
/// settles at the refill rate with a third of the bucket left, however old the estimate is.
pub fn admission_probability(remaining: f64, demand_rate: f64, plan: &Plan) -> f64 {
    let full = demand_rate.max(plan.rate) * window_seconds(plan) / FULL_ADMISSION_DIVISOR;
    (remaining / full).clamp(0.0, 1.0)
}

/// Whether a snapshot is relayed in messages to other limiters: it has to be recent, and the customer's demand has to
/// exceed its quota. Without relayed estimates, each of hundreds of limiters would admit a first request against a
/// quota that is used up.
pub fn is_relayed(snapshot: &QuotaSnapshot, plan: &Plan) -> bool {
    let exceeds_quota = snapshot.demand_rate > plan.rate
        && admission_probability(snapshot.remaining, snapshot.demand_rate, plan) < 1.0;
    exceeds_quota && snapshot.age < ESTIMATE_LIFETIME / RELAYED_LIFETIME_DIVISOR
}

impl Account {
    /// Index of the limiter that aggregates this customer's reports: a limiter of the set chosen by the customer's
    /// hash, or the next one in the set that is not considered down. If all of them are, it is this limiter.
    pub fn aggregator(&self, fleet: &FleetConfig, links: &[PeerLink]) -> u32 {
        let set_size = u64::from(self.limiters.divisor());
        let start = self.customer.wrapping_mul(HASH_MULTIPLIER) >> HASH_SHIFT;
        let first = self.limiters.first % fleet.limiters;
        (0..set_size)
            .map(|step| (first + ((start + step) % set_size) as u32) % fleet.limiters)
            .find(|&limiter| {
                limiter == fleet.own_index
                    || links[limiter as usize].unanswered < MAX_UNANSWERED_REPORTS
            })
            .unwrap_or(fleet.own_index)
    }

    /// Makes a new estimate due to all subscribers, if the admission probability has changed too much from the one that
    /// they derive from the last estimate. Removes subscribers whose last report is older than [`ESTIMATE_LIFETIME`].
    pub fn notify_subscribers(&mut self, now: Duration, plan: &Plan) {
        let remaining = self.remaining(now, plan);
        let demand_rate = self.demand_rate(now);
        let aggregation = &mut self.aggregation;
        let published = &mut aggregation.published;
        let published_probability = admission_probability(
            published.remaining_at(now, plan),
            published.demand_rate.unwrap_or(0.0),
            plan,
        );
        let probability = admission_probability(remaining, demand_rate, plan);
        if (probability - published_probability).abs()
            > MIN_PUBLISHED_CHANGE_FRACTION * probability.max(published_probability)
        {
            published.remaining = remaining;
            published.demand_rate = Some(demand_rate);
            published.at = now;
            for subscriber in &mut aggregation.subscribers {
                subscriber.estimate_due = true;
            }
        }
        aggregation
            .subscribers
            .retain(|subscriber| now < subscriber.reported_at + ESTIMATE_LIFETIME);
    }

    /// Clears what is due to the aggregator: it has been sent, or need not be as this limiter is the aggregator or has
    /// had no request of the customer.
    pub fn mark_reported(&mut self) {
        self.replication.pending_broadcasts = CurrentAndPrevious::default();
        self.replication.update_due.current = false;
        self.aggregation.unreported_demand = 0.0;
    }
}
