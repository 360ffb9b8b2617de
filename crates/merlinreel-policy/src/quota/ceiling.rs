//! Decides whether a request stays below its customer's hard ceiling.

use super::account::Account;
use crate::model::plan::Plan;
use crate::time;
use std::time::Duration;

/// Each limiter uses its share of the slack divided by this.
const SLACK_DIVISOR: f64 = 2.0;

impl Account {
    /// Whether the hard ceiling admits these units; always true for a plan without one. Each limiter of the customer
    /// enforces an equal share of the ceiling, independently of the others. A share starts with nothing but the slack,
    /// as the limiter may have restarted after its share was used up.
    pub fn is_under_ceiling(&mut self, now: Duration, plan: &Plan, units: f64) -> bool {
        if plan.ceiling_rate <= 0.0 {
            return true;
        }
        let parts = f64::from(self.limiters.divisor());
        let ceiling = &mut self.ceiling;
        let elapsed_seconds = time::seconds(now.saturating_sub(ceiling.refilled_at));
        let refill = elapsed_seconds * plan.ceiling_rate / parts;
        ceiling.units = (ceiling.units + refill).min(plan.ceiling_burst / parts);
        ceiling.refilled_at = now;
        units <= ceiling.units + plan.ceiling_slack / parts / SLACK_DIVISOR
    }
}
