//! Input: the events that [`crate::Limiter::process`] handles.

use crate::model::arriving_body::ResponseProgress;
use crate::model::attempt::{AttemptResult, LoadReport};
use crate::model::endpoint::Endpoint;
use crate::model::index::{RequestIndex, ServerIndex};
use crate::model::request::Request;
use std::time::Duration;

/// A change of the endpoint list, or the failure to get it.
#[derive(Clone, Debug)]
pub struct EndpointUpdate {
    /// This is a complete snapshot: a server that is not in it is removed.
    pub complete: bool,
    /// The list was stored before this limiter started, and may be out of date.
    pub cached: bool,
    /// The request for the endpoint list failed: the limiter keeps the list that it has, and ignores the other fields.
    pub unavailable: bool,
    /// The new and changed servers, or all servers in a complete snapshot.
    pub endpoints: Vec<Endpoint>,
}

/// The result of a health check.
#[derive(Clone, Copy, Debug)]
pub struct HealthCheckResult {
    /// Server that was checked.
    pub server: ServerIndex,
    /// The server responded successfully.
    pub answered: bool,
    /// Time from the start of the check to its end.
    pub latency: Duration,
    /// The server's load as reported in the response.
    pub load: LoadReport,
}

/// A message from another limiter (see [`crate::peer_batch`]).
#[derive(Clone, Debug)]
pub struct PeerMessage {
    /// Index of the limiter that sent it.
    pub from: u32,
    /// The encoded message, as received.
    pub bytes: Vec<u8>,
}

/// The counter service's reply to an increment.
#[derive(Clone, Copy, Debug)]
pub struct CounterReply {
    /// Customer whose counter was incremented.
    pub customer: u64,
    /// Number of the window that was incremented.
    pub window: u64,
    /// The fleet's total in units after the increment; `None` if no reply was received.
    pub total: Option<f64>,
    /// The amount was certainly not added.
    pub not_added: bool,
}

/// The events for one limiter since its last batch, with one list for each kind.
#[derive(Clone, Debug, Default)]
pub struct EventBatch {
    /// Changes of the endpoint list, in the order in which they were received.
    pub endpoint_updates: Vec<EndpointUpdate>,
    /// Messages from other limiters.
    pub peer_messages: Vec<PeerMessage>,
    /// Replies of the counter service.
    pub counter_replies: Vec<CounterReply>,
    /// Attempts that have ended.
    pub attempt_results: Vec<AttemptResult>,
    /// Attempts of whose response more has arrived.
    pub response_progress: Vec<ResponseProgress>,
    /// Results of health checks; ignored, as this crate starts none.
    pub health_checks: Vec<HealthCheckResult>,
    /// Requests that have just arrived.
    pub requests: Vec<Request>,
    /// Requests whose streamed response has started.
    pub streaming: Vec<RequestIndex>,
    /// Requests whose client has disconnected.
    pub disconnects: Vec<RequestIndex>,
}
