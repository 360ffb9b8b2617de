//! Decides whether a customer's quota admits a request, and when a rejected request may be retried.

use super::account::Account;
use super::aggregation::{ESTIMATE_LIFETIME, admission_probability};
use super::window::WindowAge;
use crate::model::fleet::FleetConfig;
use crate::model::plan::Plan;
use crate::time;
use std::time::Duration;

/// Multiple of a request's units to wait for, as requests rejected by other limiters wait for the same refill.
const REFILL_FACTOR: f64 = 2.0;
/// Lower bound of the time to wait for a refill.
const MIN_REFILL_WAIT_SECONDS: f64 = 0.05;
/// Lower bound of a plan's rate, by which missing units are divided.
const MIN_UNITS_PER_SECOND: f64 = 0.001;
/// Lower bound of the observed time, by which usage is divided.
const MIN_OBSERVED_SECONDS: f64 = 0.1;
/// Requests at other limiters come in bursts, so this multiple of their mean rate is expected.
const BURST_FACTOR: f64 = 2.0;

/// Input of an admission decision besides the account, the plan and the request.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionContext {
    /// The limiters that share the quota, and how they exchange usage.
    pub fleet: FleetConfig,
    /// Time until a limiter learns of another's admissions, in seconds.
    pub staleness_seconds: f64,
    /// Random number from 0 to 1 that is compared with the admission probability.
    pub sample: f64,
}

impl Account {
    /// Seconds until a rejected request may be retried: until the window ends, or less if enough is refilled earlier.
    pub fn retry_after_seconds(&self, now: Duration, plan: &Plan, units: f64) -> f64 {
        let window_end = self.bucket.window.end_seconds(plan) - time::seconds(now);
        let missing = REFILL_FACTOR * units - self.remaining(now, plan);
        let refill = missing / plan.rate.max(MIN_UNITS_PER_SECOND);
        window_end.min(refill.max(MIN_REFILL_WAIT_SECONDS))
    }

    /// Number of limiters over which the quota is split until they learn of each other's admissions: this one and the
    /// others that used it recently, but no more others than requests expected from them in that time. The quota of a
    /// customer with few requests is hardly split. A counter service does not tell which of the others used the quota:
    /// all of them count then.
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
        let rate = (requests * others).max(used) / observed_seconds.max(MIN_OBSERVED_SECONDS);
        1.0 + others.min(BURST_FACTOR * rate * staleness_seconds)
    }

    fn is_at_concurrency_limit(&self, plan: &Plan) -> bool {
        let share = (plan.max_concurrent / self.limiters.divisor()).max(1);
        plan.max_concurrent > 0 && self.in_progress >= share
    }

    /// Whether the plan's concurrency limit and the quota admit a request of `units`.
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
