//! Upstream servers as described by discovery and the settings.

use crate::model::index::ServerIndex;
use std::hash::Hasher;
use std::time::Duration;

/// Settings for the endpoint list, and for servers that are draining or starting.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointConfig {
    /// This limiter's own zone.
    pub zone: u32,
    /// Time that a draining server has to finish its requests.
    pub drain_grace: Duration,
    /// Minimum fraction of its capacity that a server has when it starts.
    pub slow_start_fraction: f64,
    /// Time from the start of a server until it has its full capacity.
    pub slow_start_duration: Duration,
    /// A starting server fails if it is sent more than this multiple of its capacity for the overload window.
    pub overload_factor: f64,
    /// Time for which a starting server has to be sent too much before it fails.
    pub overload_window: Duration,
    /// Discovery does not push the endpoint list: the limiter has to request it.
    pub endpoint_polling: bool,
    /// Time after which a limiter is taken to know the endpoint list even if it has not requested it.
    pub poll_deadline: Duration,
    /// Servers respond to health checks.
    pub health_checks: bool,
}

/// The lifecycle state of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// Takes new requests.
    #[default]
    Ready,
    /// Finishes its requests in progress and takes no new ones.
    Draining,
    /// No longer part of the service.
    Removed,
}

/// One upstream server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Endpoint {
    /// Index by which all events and actions identify the server.
    pub server: ServerIndex,
    /// Position on the hash ring: the same at every limiter and evenly spread over servers (see [`ring_hash`]).
    pub ring_hash: u64,
    /// Zone that the server is in.
    pub zone: u32,
    /// Cell that the server is in.
    pub cell: u32,
    /// Lifecycle state as reported by discovery.
    pub state: EndpointState,
    /// Capacity relative to the other servers.
    pub weight: f64,
    /// When it last started, on the limiter's clock; `None` if unknown or long ago.
    pub started_at: Option<Duration>,
}

/// A server's position on the hash ring: the FNV hash of the name by which all limiters know it, mixed so that every
/// bit of the hash affects the position.
pub fn ring_hash(name: &str) -> u64 {
    let mut hasher = fnv::FnvHasher::default();
    hasher.write(name.as_bytes());
    let hash = hasher.finish();
    (hash ^ hash >> 32).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}
