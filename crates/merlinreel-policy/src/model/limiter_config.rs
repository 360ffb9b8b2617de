//! All that one limiter is configured with.

use super::endpoint::EndpointConfig;
use super::fleet::FleetConfig;
use super::plan::Plan;
use super::request::RequestLimits;
use super::request_class::RequestClass;

/// What [`crate::Limiter::new`] is given. A request names its plan and its class by their index here.
#[derive(Clone, Debug)]
pub struct LimiterConfig {
    /// The customers' plans.
    pub plans: Vec<Plan>,
    /// The request classes.
    pub classes: Vec<RequestClass>,
    /// The limiters that share the quotas.
    pub fleet: FleetConfig,
    /// Settings for servers that leave or have just started.
    pub endpoints: EndpointConfig,
    /// What is allowed for one request.
    pub request_limits: RequestLimits,
}
