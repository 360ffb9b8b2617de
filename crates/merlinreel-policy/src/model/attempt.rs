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
    /// The client's deadline passed first.
    DeadlineExceeded,
    /// The server's machine refused the connection: the server's process is down.
    ConnectionRefused,
    /// No connection could be opened, for an unknown reason: the server is down, or either side is cut off.
    Unreachable,
    /// The connection broke before the response was complete.
    ConnectionLost,
    /// The limiter cancelled it.
    Cancelled,
    /// It never left the limiter.
    NotSent,
}

impl AttemptOutcome {
    /// Whether the server surely never ran the request.
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

/// A server's own report of its load; a value that it does not report is absent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests in progress there.
    pub in_flight: Option<f64>,
    /// Requests that wait there.
    pub queued: Option<f64>,
    /// Share of its cores that is busy, 0 to 1.
    pub utilization: Option<f64>,
    /// Time that it takes for a request, in milliseconds.
    pub service_time_ms: Option<f64>,
    /// Requests that it handles per second.
    pub requests_per_second: Option<f64>,
    /// Errors that it returns per second.
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
    /// Time from its start to its end.
    pub latency: Duration,
    /// The client has the final response.
    pub request_completed: bool,
    /// Units that the request really counts, where the response says so.
    pub units: Option<f64>,
    /// The customer's metered use, as a share of its quota.
    pub metered_usage: Option<f64>,
    /// The server's load as the response reports it.
    pub load: LoadReport,
}
