//! A client's request as it reaches the limiter, and the limits for each request.

use crate::model::index::RequestIndex;
use std::time::Duration;

/// Limits on attempts and on requests in progress, and permissions that apply to each request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestLimits {
    /// Maximum number of attempts, the first one included.
    pub max_attempts: u32,
    /// A second attempt may be started while the first is in flight; this crate never does so.
    pub hedging: bool,
    /// An attempt may be cancelled.
    pub cancellation: bool,
    /// A rejection carries a retry-after time.
    pub retry_after: bool,
    /// Upper bound of the retry-after time; not applied by this crate.
    pub max_retry_after: Duration,
    /// Maximum number of requests that one limiter has in progress; 0 leaves only the limit on client connections.
    pub max_in_flight: usize,
}

/// A new request from a client.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Index by which all events and actions identify the request.
    pub id: RequestIndex,
    /// The customer whose quota it counts against.
    pub customer: u64,
    /// Index of the customer's plan.
    pub plan: usize,
    /// Index of its request class.
    pub class: usize,
    /// Cost of the request in units of quota.
    pub units: f64,
    /// Time until the client abandons this request.
    pub remaining_time: Duration,
    /// Size of the limiter set over which this customer's requests are spread; 0 counts as 1.
    pub set_size: u32,
    /// Index of the first limiter of the set. The others have the next indices, wrapping around after the last limiter.
    pub set_first: u32,
    /// The client marked this request as a retry.
    pub is_retry: bool,
}
