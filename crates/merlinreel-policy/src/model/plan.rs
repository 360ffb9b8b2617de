//! A plan: the quota that each of its customers has over all limiters.

/// What each customer of the plan may use, over all limiters together.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Units per second that refill a customer's token bucket; 0 means that the plan has no such quota.
    pub rate: f64,
    /// Capacity of the token bucket in units; a bucket starts full.
    pub burst: f64,
    /// Requests that a customer may have in progress at once; 0 means no such limit.
    pub max_concurrent: u32,
    /// Units per second of the hard ceiling; 0 means no ceiling.
    pub ceiling_rate: f64,
    /// Capacity of the hard ceiling's bucket, in units.
    pub ceiling_burst: f64,
    /// Units by which the fleet may pass the hard ceiling.
    pub ceiling_slack: f64,
    /// Factor on the priority of each request of the plan.
    pub plan_weight: f64,
    /// Share of a request's priority weight that it costs to serve it as overage.
    pub overage_cost: f64,
    /// Share of a request's priority weight that is earned by serving it as overage.
    pub overage_value: f64,
}
