//! Messages between the event loop and other tasks. They are defined here, apart from their senders and receivers, so that no
//! task's module depends on the event loop's or on another task's.

pub mod streaming_body;

use crate::admission::AdmissionPermit;
use hyper::body::Bytes;
use hyper::{HeaderMap, Method, Uri};
use merlinreel_discovery::DiscoveryUpdate;
use merlinreel_policy::{
    AttemptOutcome, BodyLength, HealthCheckResult, LoadReport, PeerMessage, Request,
};
use merlinreel_settings::Settings;
use std::sync::Arc;
use std::time::{Duration, Instant};
use streaming_body::StreamingBody;
use tokio::sync::{mpsc, oneshot, watch};

/// Identifies one attempt within this process; never reused.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct AttemptId(pub u64);

impl AttemptId {
    /// The id that follows this one.
    pub fn next(self) -> AttemptId {
        AttemptId(self.0 + 1)
    }
}

/// A client's request as it is to be sent to a server, independent of the protocol.
#[derive(Debug)]
pub struct UpstreamRequest {
    /// The request method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// End-to-end headers only.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// The request's id and body memory, released when this is dropped.
    pub permit: Option<AdmissionPermit>,
}

/// A server's successful response.
#[derive(Debug)]
pub struct UpstreamResponse {
    /// End-to-end headers only.
    pub headers: HeaderMap,
    /// The complete body; empty where `streaming_body` is set.
    pub body: Bytes,
    /// A body that is passed on while it is received; `None` if `body` is the complete one.
    pub streaming_body: Option<Box<StreamingBody>>,
}

/// The final response to a client's request.
#[derive(Debug)]
pub enum ClientResponse {
    /// A server's response.
    Success(UpstreamResponse),
    /// The request was not admitted. The value is the time after which to retry; `None` if it is unknown.
    Rejected(Option<Duration>),
    /// Every attempt failed, or the deadline could not be met.
    Failed,
}

/// A request that a client's connection has read completely.
#[derive(Debug)]
pub struct IncomingRequest {
    /// Identifies the request within this process until its response is sent.
    pub request_id: u64,
    /// The request as the policy sees it; the event loop fills in its index and its remaining time.
    pub request: Request,
    /// When the client stops waiting for a response. Decisions and attempts use the same deadline: otherwise an attempt
    /// could be decided, found to be too late and decided again at once.
    pub deadline: Instant,
    /// The request to be sent to a server.
    pub upstream_request: UpstreamRequest,
    /// Sends the final response to the client's connection.
    pub response_sender: oneshot::Sender<ClientResponse>,
}

/// The result of one attempt.
#[derive(Debug)]
pub struct AttemptCompletion {
    /// Identifies the attempt.
    pub attempt_id: AttemptId,
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// Time from the decision to start the attempt until its result, or until the first bytes of the body of a response that
    /// is still arriving.
    pub latency: Duration,
    /// Quota units that the server charged; `None` if its response does not report them.
    pub units: Option<f64>,
    /// The server's load as reported in the response.
    pub load: LoadReport,
    /// The response for the client; `None` unless the attempt succeeded.
    pub upstream_response: Option<UpstreamResponse>,
    /// Whether the connection can carry another attempt.
    pub reusable: bool,
}

/// Reports that a part of an attempt's response has arrived, and that the rest has not.
#[derive(Clone, Copy, Debug)]
pub struct AttemptProgress {
    /// Identifies the attempt.
    pub attempt_id: AttemptId,
    /// How long the response's body will be.
    pub length: BodyLength,
}

/// An input of the event loop.
#[derive(Debug)]
pub enum Event {
    /// A client's request was read completely.
    Request(Box<IncomingRequest>),
    /// The client of the request with this `request_id` has disconnected.
    ClientDisconnected(u64),
    /// More of an attempt's response has arrived.
    ResponseProgress(AttemptProgress),
    /// An attempt has ended.
    AttemptCompleted(AttemptCompletion),
    /// A health check has ended.
    HealthCheck(HealthCheckResult),
    /// Discovery sent an endpoint list or changes to it.
    EndpointUpdate(DiscoveryUpdate),
    /// Another limiter sent a message.
    PeerMessage(PeerMessage),
    /// Settings were reloaded and are valid.
    Reconfigure(Box<Settings>),
}

/// The sending side of the event loop's queue.
pub type Queue = mpsc::Sender<Event>;

/// The active settings for client requests, with the policy's index of each of their classes.
#[derive(Debug)]
pub struct ActiveSettings {
    /// The settings by which new client requests are decoded.
    pub settings: Settings,
    /// The policy's index of each class, by the position of the class in `settings.classes`.
    pub indices: Vec<usize>,
}

impl ActiveSettings {
    /// The settings at the start: the index of each class is its position.
    pub fn initial(settings: Settings) -> ActiveSettings {
        ActiveSettings {
            indices: (0..settings.classes.len()).collect(),
            settings,
        }
    }

    /// Creates a channel that initially holds the settings at the start.
    pub fn channel(
        settings: &Settings,
    ) -> (
        watch::Sender<Arc<ActiveSettings>>,
        watch::Receiver<Arc<ActiveSettings>>,
    ) {
        watch::channel(Arc::new(ActiveSettings::initial(settings.clone())))
    }
}
