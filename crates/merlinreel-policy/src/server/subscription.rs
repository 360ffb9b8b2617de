//! State of the subscription to the endpoint list; the decisions are made in the other modules.

use std::time::Duration;

/// The subscription to the endpoint list and its changes.
#[derive(Debug, Default)]
pub struct EndpointSubscription {
    /// The list must be requested: the last request failed, or none was made yet where discovery does not push the
    /// list.
    pub lost: bool,
    /// When the list was last requested after a loss, by the limiter's clock; 0 before the first request.
    pub requested_at: Duration,
}
