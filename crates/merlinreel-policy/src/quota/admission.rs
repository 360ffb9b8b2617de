//! Decides whether a customer's quota admits a request, and when a rejected one may come back.

use super::account::Account;
use super::aggregation::{ESTIMATE_LIFETIME, admission_probability};
use super::window::WindowAge;
use crate::model::fleet::FleetConfig;
use crate::model::plan::Plan;
use crate::time;
use std::time::Duration;

/// Other limiters' customers wait for the refill too.
const REFILL_FACTOR: f64 = 2.0;
const LEAST_REFILL_WAIT_SECONDS: f64 = 0.05;
const LEAST_RATE: f64 = 0.001;
const LEAST_OBSERVED_SECONDS: f64 = 0.1;
/// Other limiters' requests come in bursts: this many times the mean is expected.
const BURST_FACTOR: f64 = 2.0;

/// What is known beside the account when a request is to be admitted.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionContext {
    /// The fleet's configuration.
    pub fleet: FleetConfig,
    /// Time for which limiters do not know of each other's admissions, in seconds.
    pub staleness_seconds: f64,
    /// A random number from 0 to 1.
    pub sample: f64,
}

impl Account {
    /// Time after which a rejected request may come back: at the end of the window, or sooner if the even refill covers
    /// its units before.
    pub fn retry_after_seconds(&self, now: Duration, plan: &Plan, units: f64) -> f64 {
        let window_end = self.bucket.window.end_seconds(plan) - time::seconds(now);
        let missing = REFILL_FACTOR * units - self.remaining(now, plan);
        let refill = missing / plan.rate.max(LEAST_RATE);
        window_end.min(refill.max(LEAST_REFILL_WAIT_SECONDS))
    }

    /// Number of limiters that the quota is split over while they do not know of each other's admissions: those that
    /// used it lately, as far as they are likely to use it in that time. A slow customer's quota is hardly split.
    pub fn active_limiters(
        &self,
        now: Duration,
        plan: &Plan,
        staleness_seconds: f64,
        fleet: &FleetConfig,
    ) -> f64 {
        let set_size = f64::from(self.limiters.divisor());
        if now < self.split_until {
            return set_size;
        }
        let used =
            self.used_elsewhere(WindowAge::Current) + self.used_elsewhere(WindowAge::Previous);
        let others = if fleet.counter && used > 0.0 {
            set_size - 1.0
        } else {
            self.bucket.elsewhere.reporting_limiters() as f64
        };
        let observed_seconds =
            time::seconds(now) - self.bucket.window.previous().start_seconds(plan);
        let requests = self.requests.current + self.requests.previous;
        let rate = (requests * others).max(used) / observed_seconds.max(LEAST_OBSERVED_SECONDS);
        1.0 + others.min(BURST_FACTOR * rate * staleness_seconds)
    }

    fn is_at_concurrency_limit(&self, plan: &Plan) -> bool {
        let share = (plan.max_concurrent / self.limiters.divisor()).max(1);
        plan.max_concurrent > 0 && self.in_progress >= share
    }

    /// Whether the quota admits a request of so many units.
    pub fn admits(
        &self,
        now: Duration,
        plan: &Plan,
        units: f64,
        context: &AdmissionContext,
    ) -> bool {
        if self.is_at_concurrency_limit(plan) {
            return false;
        }
        if plan.rate <= 0.0 {
            return true;
        }
        let remaining = self.remaining(now, plan);
        let published = &self.aggregation.published;
        if let Some(demand_rate) = published.fresh_demand_rate(now, ESTIMATE_LIFETIME) {
            let remaining = remaining.min(published.remaining_at(now, plan));
            let probability = admission_probability(remaining, demand_rate, plan);
            return remaining >= units && context.sample <= probability;
        }
        let unreported = self.replication.unreported_units;
        let active_limiters =
            self.active_limiters(now, plan, context.staleness_seconds, &context.fleet);
        let share = (remaining + unreported) / active_limiters - unreported;
        let is_first = now < self.split_until && unreported == 0.0;
        remaining >= units && (is_first || units <= share)
    }
}
