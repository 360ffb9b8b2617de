//! Whether this limiter is sent the endpoint list. Nothing is decided here.

use std::time::Duration;

/// The subscription to the endpoint list and its changes.
#[derive(Debug, Default)]
pub struct EndpointSubscription {
    /// It must be asked for: the last call failed or is yet to be made.
    pub lost: bool,
    /// When it was asked for last.
    pub requested_at: Duration,
}
