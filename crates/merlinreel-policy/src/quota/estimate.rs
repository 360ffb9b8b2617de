//! Estimates of a customer's quota, as its aggregator publishes them. Times are on the limiter's clock.

use crate::model::plan::Plan;
use crate::time;
use std::time::Duration;

/// State of a customer's quota at one moment, as known to its aggregator or to a limiter that relays an estimate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaSnapshot {
    /// Units that were left; negative where more was admitted than the quota allows.
    pub remaining: f64,
    /// Units requested per second.
    pub demand_rate: f64,
    /// Time since that moment.
    pub age: Duration,
}

/// The latest estimate: at the aggregator the one it published, at other limiters the one they received.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PublishedEstimate {
    /// Units that were left at `at`, less those admitted at this limiter since.
    pub remaining: f64,
    /// Units requested per second; `None` until there is an estimate.
    pub demand_rate: Option<f64>,
    /// Time that the estimate describes; zero until there is one.
    pub at: Duration,
}

impl PublishedEstimate {
    /// Units to assume as left at `now`: of the refill since the estimate, only what exceeds the demand is added.
    pub fn remaining_at(&self, now: Duration, plan: &Plan) -> f64 {
        let free_rate = plan.rate - self.demand_rate.unwrap_or(0.0).min(plan.rate);
        let elapsed_seconds = time::seconds(now.saturating_sub(self.at));
        (self.remaining + free_rate * elapsed_seconds).min(plan.burst)
    }

    /// The demand rate; `None` if there is no estimate or it is not younger than `lifetime`.
    pub fn fresh_demand_rate(&self, now: Duration, lifetime: Duration) -> Option<f64> {
        self.demand_rate.filter(|_| now < self.at + lifetime)
    }

    /// The estimate with its age; `None` if there is none.
    pub fn snapshot(&self, now: Duration) -> Option<QuotaSnapshot> {
        let demand_rate = self.demand_rate?;
        Some(QuotaSnapshot {
            remaining: self.remaining,
            demand_rate,
            age: now.saturating_sub(self.at),
        })
    }
}
