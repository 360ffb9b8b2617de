//! What comes in: the events that [`crate::Limiter::process`] handles.

use crate::model::attempt::{AttemptResult, LoadReport};
use crate::model::endpoint::Endpoint;
use crate::model::index::{RequestIndex, ServerIndex};
use crate::model::request::Request;
use std::time::Duration;

/// A change of the endpoint list.
#[derive(Clone, Debug)]
pub struct EndpointUpdate {
    /// A complete snapshot: a server that it does not name is removed.
    pub complete: bool,
    /// Kept from before this limiter's start; may be out of date.
    pub cached: bool,
    /// Asking for the endpoint list failed; the list known before stays in use.
    pub unavailable: bool,
    /// The servers that are new or changed, or all of them in a complete snapshot.
    pub endpoints: Vec<Endpoint>,
}

/// The answer to a health check.
#[derive(Clone, Copy, Debug)]
pub struct HealthCheckResult {
    /// Server that was checked.
    pub server: ServerIndex,
    /// It answered.
    pub answered: bool,
    /// Time that the check took.
    pub latency: Duration,
    /// The server's load as the answer reports it.
    pub load: LoadReport,
}

/// A message from another limiter (see [`crate::peer_batch`]).
#[derive(Clone, Debug)]
pub struct PeerMessage {
    /// Index of the sender.
    pub from: u32,
    /// The message as it was received.
    pub bytes: Vec<u8>,
}

/// The counter service's reply to an increment.
#[derive(Clone, Copy, Debug)]
pub struct CounterReply {
    /// Customer whose counter was incremented.
    pub customer: u64,
    /// Number of the window that was incremented.
    pub window: u64,
    /// The fleet's total after the increment, if a reply came.
    pub total: Option<f64>,
    /// The amount is known not to have been added.
    pub not_added: bool,
}

/// All that came in for one limiter since its last batch, one list for each kind of event.
#[derive(Clone, Debug, Default)]
pub struct EventBatch {
    /// Changes of the endpoint list.
    pub endpoint_updates: Vec<EndpointUpdate>,
    /// Messages from other limiters.
    pub peer_messages: Vec<PeerMessage>,
    /// Replies of the counter service.
    pub counter_replies: Vec<CounterReply>,
    /// Attempts that have ended.
    pub attempt_results: Vec<AttemptResult>,
    /// Answers to health checks.
    pub health_checks: Vec<HealthCheckResult>,
    /// New requests.
    pub requests: Vec<Request>,
    /// Requests whose streamed response has started.
    pub streaming: Vec<RequestIndex>,
    /// Requests whose client has disconnected.
    pub disconnects: Vec<RequestIndex>,
}
