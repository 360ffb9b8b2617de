//! Decides for limiters that are too many to report to each other: which of a customer's limiters aggregates its reports,
//! who is sent the aggregator's estimates, and how an estimate admits requests.

use super::account::Account;
use super::estimate::QuotaSnapshot;
use super::peer_links::PeerLink;
use super::window::{CurrentAndPrevious, window_seconds};
use crate::model::fleet::FleetConfig;
use crate::model::plan::Plan;
use std::time::Duration;

/// Time over which demand is measured: some reports of each limiter, while a burst is soon forgotten.
pub const DEMAND_WINDOW: Duration = Duration::from_secs(3);
/// How long a limiter that reported is sent estimates, and so how long an estimate holds; a limiter that goes on
/// admitting requests of the customer reports sooner again.
pub const ESTIMATE_LIFETIME: Duration = Duration::from_secs(5);
/// Estimates older than this share of their lifetime are not relayed.
const RELAYED_LIFETIME_DIVISOR: u32 = 2;
/// With the demand at the plan's rate, every request is admitted while this part of the bucket is left.
const FULL_ADMISSION_DIVISOR: f64 = 3.0;
/// Reports without an answer after which an aggregator counts as down. Some messages are lost, and two aggregators for
/// one customer would count too much.
const MAX_UNANSWERED_REPORTS: u32 = 5;
/// Change of the admission probability that is published; less is no more than use varies by chance.
const PUBLISHED_CHANGE: f64 = 0.35;
/// Multiplier whose bits are well mixed: it spreads customers evenly over their limiters.
const SPREAD_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
const SPREAD_SHIFT: u32 = 40;

/// The probability with which a request is admitted: less as the bucket empties and as more is requested. Use settles at
/// the refill with a third of the bucket left, however old the estimate is.
pub fn admission_probability(remaining: f64, demand_rate: f64, plan: &Plan) -> f64 {
    let full = demand_rate.max(plan.rate) * window_seconds(plan) / FULL_ADMISSION_DIVISOR;
    (remaining / full).clamp(0.0, 1.0)
}

/// Whether a snapshot is relayed with messages to other limiters: it is where a customer requests more than its quota,
/// as otherwise each of hundreds of limiters would admit a first request of a quota that is used up.
pub fn is_relayed(snapshot: &QuotaSnapshot, plan: &Plan) -> bool {
    let exceeds_quota = snapshot.demand_rate > plan.rate
        && admission_probability(snapshot.remaining, snapshot.demand_rate, plan) < 1.0;
    exceeds_quota && snapshot.age < ESTIMATE_LIFETIME / RELAYED_LIFETIME_DIVISOR
}

impl Account {
    /// The limiter that aggregates this customer's reports; the next of its limiters where that one does not answer.
    pub fn aggregator(&self, fleet: &FleetConfig, links: &[PeerLink]) -> u32 {
        let set_size = u64::from(self.limiters.divisor());
        let start = self.customer.wrapping_mul(SPREAD_MULTIPLIER) >> SPREAD_SHIFT;
        let first = self.limiters.first % fleet.limiters;
        (0..set_size)
            .map(|step| (first + ((start + step) % set_size) as u32) % fleet.limiters)
            .find(|&limiter| {
                limiter == fleet.own_index
                    || links[limiter as usize].unanswered < MAX_UNANSWERED_REPORTS
            })
            .unwrap_or(fleet.own_index)
    }

    /// Has the limiters that reported lately sent an estimate, if what is left is not what they must believe.
    pub fn notify_subscribers(&mut self, now: Duration, plan: &Plan) {
        let remaining = self.remaining(now, plan);
        let demand_rate = self.demand_rate(now);
        let aggregation = &mut self.aggregation;
        let published = &mut aggregation.published;
        let believed = admission_probability(
            published.remaining_at(now, plan),
            published.demand_rate.unwrap_or(0.0),
            plan,
        );
        let actual = admission_probability(remaining, demand_rate, plan);
        if (actual - believed).abs() > PUBLISHED_CHANGE * actual.max(believed) {
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

    /// Nothing is left to report: the counts of this limiter have reached the aggregator, or are its own.
    pub fn mark_reported(&mut self) {
        self.replication.pending_broadcasts = CurrentAndPrevious::default();
        self.replication.update_due.current = false;
        self.aggregation.unreported_demand = 0.0;
    }
}
