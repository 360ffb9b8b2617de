//! The messages between the event loop and the tasks around it. They name neither sender nor receiver, so that no task
//! depends on the event loop's module or on another task's.

pub mod streaming_body;

use crate::admission::AdmissionPermit;
use hyper::body::Bytes;
use hyper::{HeaderMap, Method, Uri};
use merlinreel_discovery::DiscoveryUpdate;
use merlinreel_policy::{AttemptOutcome, HealthCheckResult, LoadReport, PeerMessage, Request};
use merlinreel_settings::Settings;
use std::sync::Arc;
use std::time::{Duration, Instant};
use streaming_body::StreamingBody;
use tokio::sync::{mpsc, oneshot, watch};

/// Identifies one attempt within this process; never used again.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct AttemptId(pub u64);

impl AttemptId {
    /// The id that follows this one.
    pub fn next(self) -> AttemptId {
        AttemptId(self.0 + 1)
    }
}

/// What a client sent and a server is to receive, whatever the protocol that carried it.
#[derive(Debug)]
pub struct UpstreamRequest {
    /// The client's method.
    pub method: Method,
    /// The path and query.
    pub uri: Uri,
    /// End-to-end headers only.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// The request's id and its share of the memory for bodies, given back when this is dropped.
    pub permit: Option<AdmissionPermit>,
}

/// A server's successful response.
#[derive(Debug)]
pub struct UpstreamResponse {
    /// End-to-end headers only.
    pub headers: HeaderMap,
    /// The complete body; empty where `streaming_body` is set.
    pub body: Bytes,
    /// A body that is passed on while it arrives.
    pub streaming_body: Option<Box<StreamingBody>>,
}

/// The final response to a client's request.
#[derive(Debug)]
pub enum ClientResponse {
    /// A server's response.
    Success(UpstreamResponse),
    /// Not admitted, and when to try again where that is known.
    Rejected(Option<Duration>),
    /// Every attempt failed, or the deadline could not be met.
    Failed,
}

/// A request that a client's connection has read completely.
#[derive(Debug)]
pub struct IncomingRequest {
    /// Identifies the request until it has its response.
    pub request_id: u64,
    /// The event loop fills in its index and its remaining time.
    pub request: Request,
    /// When the client gives up. Attempts and what is decided go by the same time: an attempt that is decided and then found
    /// to be too late would be decided again at once.
    pub deadline: Instant,
    /// What a server receives.
    pub upstream_request: UpstreamRequest,
    /// Takes the response.
    pub response_sender: oneshot::Sender<ClientResponse>,
}

/// The result of one attempt.
#[derive(Debug)]
pub struct AttemptCompletion {
    /// The attempt.
    pub attempt_id: AttemptId,
    /// What became of it.
    pub outcome: AttemptOutcome,
    /// From the decision to start it to its result.
    pub latency: Duration,
    /// The quota units that the server charged, where its response names them.
    pub units: Option<f64>,
    /// The server's load as the response reported it.
    pub load: LoadReport,
    /// The response for the client; only of a successful attempt.
    pub upstream_response: Option<UpstreamResponse>,
    /// The connection can carry another attempt.
    pub reusable: bool,
}

/// An input of the event loop.
#[derive(Debug)]
pub enum Event {
    /// A client sent a request.
    Request(Box<IncomingRequest>),
    /// The client of the request with this `request_id` has disconnected.
    ClientDisconnected(u64),
    /// An attempt has its result.
    AttemptCompleted(AttemptCompletion),
    /// A health check has its result.
    HealthCheck(HealthCheckResult),
    /// Discovery sent endpoints.
    EndpointUpdate(DiscoveryUpdate),
    /// Another limiter sent a message.
    PeerMessage(PeerMessage),
    /// Settings were reloaded and are valid.
    Reconfigure(Box<Settings>),
}

/// The sending side of the event loop's queue.
pub type Queue = mpsc::Sender<Event>;

/// The settings in effect for clients, with the policy's index of each of their classes.
#[derive(Debug)]
pub struct ActiveSettings {
    /// The settings.
    pub settings: Settings,
    /// By position in `settings.classes`.
    pub indices: Vec<usize>,
}

impl ActiveSettings {
    /// The settings of the start, whose classes have the indices of their positions.
    pub fn first(settings: Settings) -> ActiveSettings {
        ActiveSettings {
            indices: (0..settings.classes.len()).collect(),
            settings,
        }
    }

    /// A channel that holds the settings of the start.
    pub fn channel(
        settings: &Settings,
    ) -> (
        watch::Sender<Arc<ActiveSettings>>,
        watch::Receiver<Arc<ActiveSettings>>,
    ) {
        watch::channel(Arc::new(ActiveSettings::first(settings.clone())))
    }
}
