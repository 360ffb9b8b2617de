//! A plan: the quota that each of its customers has over all limiters.

/// What each customer of the plan may use over all limiters, and how its requests are valued.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Units per second that refill a customer's token bucket; 0 means no rate limit.
    pub rate: f64,
    /// Capacity of the token bucket in units; a bucket starts full.
    pub burst: f64,
    /// Requests that a customer may have in progress at once; 0 means no limit.
    pub max_concurrent: u32,
    /// Units per second of the hard ceiling; 0 means no ceiling.
    pub ceiling_rate: f64,
    /// Capacity of the hard ceiling's token bucket, in units.
    pub ceiling_burst: f64,
    /// Units by which the fleet may exceed the hard ceiling.
    pub ceiling_slack: f64,
    /// Factor on the priority weight of each request of the plan.
    pub plan_weight: f64,
    /// Cost of serving a request as overage (beyond the quota), as a fraction of its priority weight.
    pub overage_cost: f64,
    /// Value of serving a request as overage, as a fraction of its priority weight.
    pub overage_value: f64,
}
