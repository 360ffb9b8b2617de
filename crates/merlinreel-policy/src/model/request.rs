//! A client's request as it reaches the limiter, and what is allowed for it.

use crate::model::index::RequestIndex;
use std::time::Duration;

/// What is allowed for one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestLimits {
    /// Attempts at most, the first one included.
    pub max_attempts: u32,
    /// A second attempt may run beside the first.
    pub hedging: bool,
    /// An attempt may be cancelled.
    pub cancellation: bool,
    /// A rejection may carry a retry-after time.
    pub retry_after: bool,
    /// The longest retry-after time.
    pub max_retry_after: Duration,
    /// Requests at most that one limiter has in progress.
    pub max_in_flight: usize,
}

/// A request that a client has just sent.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Index of the request, as all events and actions name it.
    pub id: RequestIndex,
    /// The customer whose quota it counts against.
    pub customer: u64,
    /// Index of the customer's plan.
    pub plan: usize,
    /// Index of its request class.
    pub class: usize,
    /// Units that it counts.
    pub units: f64,
    /// Time until the client abandons this request.
    pub remaining_time: Duration,
    /// Number of limiters through which this customer comes.
    pub set_size: u32,
    /// Index of the first of those limiters; the others follow it, and the first limiter follows the last.
    pub set_first: u32,
    /// The client marked this request as a retry.
    pub is_retry: bool,
}
