//! The result of one attempt of a request at one server.

use crate::model::index::{RequestIndex, ServerIndex};
use std::time::Duration;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The server responded.
    Success,
    /// The server returned an error.
    Error,
    /// The server rejected the request without running it.
    Rejected,
    /// The client's deadline passed before the response was complete.
    DeadlineExceeded,
    /// The server's machine refused the connection: the server's process is down.
    ConnectionRefused,
    /// No connection could be opened, for an unknown reason: the server is down, or either side is cut off.
    Unreachable,
    /// The connection broke before the response was complete.
    ConnectionLost,
    /// The limiter cancelled it.
    Cancelled,
    /// The limiter did not send it.
    NotSent,
}

impl AttemptOutcome {
    /// Whether the server certainly did not run the request.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            AttemptOutcome::Rejected
                | AttemptOutcome::ConnectionRefused
                | AttemptOutcome::Unreachable
                | AttemptOutcome::NotSent
        )
    }
}

/// A server's own report of its load; a value that it does not report is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests in progress at the server.
    pub in_flight: Option<f64>,
    /// Requests queued at the server.
    pub queued: Option<f64>,
    /// Fraction of its cores that is busy, from 0 to 1.
    pub utilization: Option<f64>,
    /// Time that it takes to serve a request, in milliseconds.
    pub service_time_ms: Option<f64>,
    /// Requests that it serves per second.
    pub requests_per_second: Option<f64>,
    /// Responses per second that are errors.
    pub errors_per_second: Option<f64>,
}

/// An attempt that has ended.
#[derive(Clone, Copy, Debug)]
pub struct AttemptResult {
    /// Index of the request.
    pub request: RequestIndex,
    /// Number of the attempt among the request's attempts, from 0.
    pub attempt: u32,
    /// Server that it was sent to.
    pub server: ServerIndex,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// Time from its start until it ended.
    pub latency: Duration,
    /// Whether the client has the final response.
    pub request_completed: bool,
    /// Actual cost of the request in units; `None` if the response does not report it.
    pub units: Option<f64>,
    /// The customer's metered usage as a fraction of its quota; `None` if the response does not report it.
    pub metered_usage: Option<f64>,
    /// The server's load as reported in the response.
    pub load: LoadReport,
}
