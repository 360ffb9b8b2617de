//! What passes between the driver and the tasks round it. Nothing here knows who sends or takes it, so that no task
//! needs the driver's own module, nor another's.

use crate::admission::AdmissionPermit;
use crate::upstream::streaming_body::StreamingBody;
use hyper::body::Bytes;
use hyper::{HeaderMap, Method, Uri};
use merlinreel_discovery::DiscoveryUpdate;
use merlinreel_policy::{AttemptOutcome, HealthCheckResult, LoadReport, PeerMessage, Request};
use merlinreel_settings::Settings;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot};

/// What a client sent and a server is to get, whatever the protocol that brought it.
#[derive(Debug)]
pub struct UpstreamRequest {
    pub method: Method,
    pub uri: Uri,
    /// End-to-end headers only.
    pub headers: HeaderMap,
    pub body: Bytes,
    /// Its id and its place among the bodies in hand, given back with it.
    pub permit: Option<AdmissionPermit>,
}

/// A server's good answer.
#[derive(Debug)]
pub struct UpstreamResponse {
    pub headers: HeaderMap,
    pub body: Bytes,
    /// A long body that goes on as it comes, in `body`'s place.
    pub flow: Option<Box<StreamingBody>>,
}

#[derive(Debug)]
pub enum ClientResponse {
    Success(UpstreamResponse),
    Rejected(Option<Duration>),
    Failed,
}

/// A job that a client's connection took whole.
#[derive(Debug)]
pub struct IncomingRequest {
    /// Names it until it has its answer.
    pub request_id: u64,
    /// Its index and the time left are filled in by the driver.
    pub request: Request,
    /// When the client gives up.
    pub until: Instant,
    pub upstream_request: UpstreamRequest,
    pub answer: oneshot::Sender<ClientResponse>,
}

/// How an attempt ended.
#[derive(Debug)]
pub struct AttemptCompletion {
    pub attempt_id: u64,
    pub outcome: AttemptOutcome,
    pub latency: Duration,
    pub units: Option<f64>,
    pub load: LoadReport,
    pub upstream_response: Option<UpstreamResponse>,
    /// Its connection can carry another attempt.
    pub reusable: bool,
}

#[derive(Debug)]
pub enum Event {
    Request(Box<IncomingRequest>),
    /// The client of this ticket has left.
    ClientDisconnected(u64),
    AttemptCompleted(AttemptCompletion),
    HealthCheck(HealthCheckResult),
    EndpointUpdate(DiscoveryUpdate),
    PeerMessage(PeerMessage),
    /// Settings read again, found sound.
    Reconfigure(Box<Settings>),
}

pub type Queue = mpsc::Sender<Event>;

/// The settings in force at the door, and each of their classes' index in the module.
#[derive(Debug)]
pub struct ActiveSettings {
    pub settings: Settings,
    pub indices: Vec<usize>,
}

impl ActiveSettings {
    pub fn first(settings: Settings) -> ActiveSettings {
        ActiveSettings {
            indices: (0..settings.classes.len()).collect(),
            settings,
        }
    }
}
