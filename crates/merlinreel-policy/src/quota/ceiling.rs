//! Decides whether a request stays under its customer's hard ceiling.

use super::account::Account;
use crate::model::plan::Plan;
use crate::time;
use std::time::Duration;

/// Part of the slack that is used.
const SLACK_SHARE_DIVISOR: f64 = 2.0;

impl Account {
    /// Whether the hard ceiling lets these units pass, whatever other limiters do: each limiter of the customer keeps a
    /// part of the ceiling. A part starts empty but for the slack, as a limiter may have restarted when it was used up.
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
        units <= ceiling.units + plan.ceiling_slack / parts / SLACK_SHARE_DIVISOR
    }
}
