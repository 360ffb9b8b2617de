//! The configuration of one limiter.

use super::endpoint::EndpointConfig;
use super::fleet::FleetConfig;
use super::plan::Plan;
use super::request::RequestLimits;
use super::request_class::RequestClass;

/// Configuration for [`crate::Limiter::new`].
#[derive(Clone, Debug)]
pub struct LimiterConfig {
    /// The customers' plans; a request has the index of its plan here.
    pub plans: Vec<Plan>,
    /// The request classes; a request has the index of its class here.
    pub classes: Vec<RequestClass>,
    /// The limiters that share the quotas, this limiter's index among them, and how they exchange usage.
    pub fleet: FleetConfig,
    /// Settings for the endpoint list, and for servers that are draining or starting.
    pub endpoints: EndpointConfig,
    /// Limits on attempts and on requests in progress, and permissions that apply to each request.
    pub request_limits: RequestLimits,
}
