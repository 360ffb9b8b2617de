//! Upstream servers as discovery and the settings describe them.

use crate::model::index::ServerIndex;
use std::hash::Hasher;
use std::time::Duration;

/// Settings for servers that leave or have just started.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointConfig {
    /// This limiter's own zone.
    pub zone: u32,
    /// Time that a draining server is given to finish its requests.
    pub drain_grace: Duration,
    /// Fraction of its capacity, at least, with which a server starts.
    pub slow_start_fraction: f64,
    /// Time after its start by which a server has its full capacity.
    pub slow_start_duration: Duration,
    /// A starting server that is sent more than this multiple of its capacity fails...
    pub overload_factor: f64,
    /// ...if that goes on for this long.
    pub overload_window: Duration,
    /// The endpoint list must be asked for; discovery does not push it.
    pub endpoint_polling: bool,
    /// A limiter that has not asked for the endpoint list counts as informed after this time.
    pub poll_deadline: Duration,
    /// Servers answer health checks.
    pub health_checks: bool,
}

/// Where a server stands in its lifecycle.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// Takes new requests.
    #[default]
    Ready,
    /// Finishes its requests and takes no new ones.
    Draining,
    /// No longer part of the service.
    Removed,
}

/// One upstream server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Endpoint {
    /// Index of the server, as all events and actions name it.
    pub server: ServerIndex,
    /// Position on the hash ring: the same at every limiter and evenly spread over servers (see [`ring_hash`]).
    pub ring_hash: u64,
    /// Zone that the server is in.
    pub zone: u32,
    /// Cell that the server is in.
    pub cell: u32,
    /// Where it stands in its lifecycle.
    pub state: EndpointState,
    /// Relative capacity.
    pub weight: f64,
    /// When it last started, if that was not long ago; time since the epoch of the limiter's clock.
    pub started_at: Option<Duration>,
}

/// A server's position on the hash ring, from the name by which all limiters know it: the FNV hash of the name, mixed
/// so that all its bits count.
pub fn ring_hash(name: &str) -> u64 {
    let mut hasher = fnv::FnvHasher::default();
    hasher.write(name.as_bytes());
    let hash = hasher.finish();
    (hash ^ hash >> 32).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}
