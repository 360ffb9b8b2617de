//! What a limiter knows of a customer's quota from its aggregator, by its own clock. Nothing is decided here.

use crate::model::plan::Plan;
use crate::time;
use std::time::Duration;

/// The state of a customer's quota at one moment, as its aggregator or a limiter that relays it knows it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaSnapshot {
    /// Units that were left.
    pub remaining: f64,
    /// Units requested per second.
    pub demand_rate: f64,
    /// How old it is.
    pub age: Duration,
}

/// The estimate that was published last: at the aggregator the one that it sent, elsewhere the one that was received.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PublishedEstimate {
    /// Units that were left, less those admitted here since.
    pub remaining: f64,
    /// Units requested per second; `None` until an estimate was published.
    pub demand_rate: Option<f64>,
    /// When it was true.
    pub at: Duration,
}

impl PublishedEstimate {
    /// Units that its holder must believe to be left now: refill that others request does not count.
    pub fn remaining_at(&self, now: Duration, plan: &Plan) -> f64 {
        let free_rate = plan.rate - self.demand_rate.unwrap_or(0.0).min(plan.rate);
        let elapsed_seconds = time::seconds(now.saturating_sub(self.at));
        (self.remaining + free_rate * elapsed_seconds).min(plan.burst)
    }

    /// The demand rate, if the estimate is younger than this lifetime.
    pub fn fresh_demand_rate(&self, now: Duration, lifetime: Duration) -> Option<f64> {
        self.demand_rate.filter(|_| now < self.at + lifetime)
    }

    /// The estimate with its age, if there is one.
    pub fn snapshot(&self, now: Duration) -> Option<QuotaSnapshot> {
        let demand_rate = self.demand_rate?;
        Some(QuotaSnapshot {
            remaining: self.remaining,
            demand_rate,
            age: now.saturating_sub(self.at),
        })
    }
}
