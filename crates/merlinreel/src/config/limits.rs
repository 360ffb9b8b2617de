//! Sizes, counts and times that bound the limiter's sockets: computed once at start from the configured descriptors and
//! memory, grouped by the part of the program that reads them.

use merlinreel_policy::RequestClass;
use merlinreel_settings::Settings;
use std::time::Duration;
use thiserror::Error;

/// The configured descriptors or memory are too little to run on.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum CapacityError {
    /// `limits.memory_mb` leaves no memory for the least number of connections.
    #[error(
        "limits.memory_mb: {given} is too little, {needed} are needed; give the limiter more memory"
    )]
    Memory {
        /// Configured MiB.
        given: u32,
        /// MiB needed.
        needed: usize,
    },
    /// `limits.sockets` leaves no descriptors for the least number of connections.
    #[error(
        "limits.sockets: {given} is too few, {needed} are needed; raise the limit on descriptors"
    )]
    Sockets {
        /// Configured descriptors.
        given: u32,
        /// Descriptors needed.
        needed: usize,
    },
}

/// All bounds, by the part that reads them.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// A connection to a server or to the discovery agent must be up within this.
    pub connect_timeout: Duration,
    /// Bytes of a body that is buffered completely, of a request or of a response.
    pub max_body_bytes: usize,
    /// Bytes of the head of a message.
    pub max_head_bytes: usize,
    /// Listening sockets.
    pub listener: ListenerLimits,
    /// Clients' connections.
    pub client: ClientLimits,
    /// Connections to servers.
    pub upstream: UpstreamLimits,
    /// The watch of the endpoint list.
    pub endpoints: EndpointWatchLimits,
    /// The event loop and its queue.
    pub event_loop: EventLoopLimits,
    /// Graceful shutdown.
    pub shutdown: ShutdownLimits,
    /// The admin endpoint.
    pub admin: AdminLimits,
}

/// Bounds of the listening sockets.
#[derive(Clone, Debug, PartialEq)]
pub struct ListenerLimits {
    /// A socket that can't be bound at the start is tried again for this long.
    pub bind_timeout: Duration,
    /// Connections that wait to be accepted; the kernel drops further ones, whose clients try again after a second.
    pub backlog: u32,
}

/// Bounds of clients' connections.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientLimits {
    /// Connections served at once; further ones are answered 503, up to `max_connections`.
    pub max_served_connections: usize,
    /// Connections held at once.
    pub max_connections: usize,
    /// Above this many connections, idle ones that carried one request at most are evicted.
    pub max_idle_connections: usize,
    /// Bytes of all request bodies that are held at once.
    pub max_buffered_body_bytes: usize,
    /// A connection closes after this long without a request.
    pub idle_timeout: Duration,
    /// A request must be complete within this, the first one counted from the connection's beginning; a connection that
    /// carried one request closes after this without a second one.
    pub request_timeout: Duration,
    /// A body that arrives at this rate, in bytes a second, has as long as it takes.
    pub min_body_bytes_per_second: u32,
    /// The longest pause in a body that arrives.
    pub max_body_pause: Duration,
    /// Under pressure a connection idle between requests is evicted after this.
    pub evict_idle_after: Duration,
    /// Under pressure a connection that never carried a request is evicted after this.
    pub evict_unused_after: Duration,
    /// Under pressure a connection with an incomplete request is evicted after this.
    pub evict_partial_after: Duration,
    /// After the limiter has ended its side of a connection it waits this long for the client's end.
    pub linger_timeout: Duration,
    /// Bytes read ahead behind a request in flight; those that exceed a head count against `max_buffered_body_bytes`.
    pub max_read_ahead_bytes: usize,
}

/// Bounds of connections to servers.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamLimits {
    /// Connections open or opening.
    pub max_connections: usize,
    /// Bytes of all complete responses that clients have not taken yet.
    pub max_buffered_response_bytes: usize,
    /// Bytes of a streaming response.
    pub max_streaming_bytes: u64,
    /// A connection idle for this long is closed.
    pub idle_timeout: Duration,
    /// A server that closes a connection behind a response does so within this.
    pub settle_time: Duration,
    /// A health check unanswered for this long has failed.
    pub health_check_timeout: Duration,
}

/// Bounds of the watch of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointWatchLimits {
    /// Bytes of an endpoint list.
    pub max_list_bytes: usize,
    /// How long a watch may wait for a change.
    pub watch_timeout: Duration,
    /// How long a call may wait where an answer is wanted at once.
    pub immediate_timeout: Duration,
    /// A call that is late by this counts as silent: another one is made beside it.
    pub response_grace: Duration,
    /// Calls open at once.
    pub max_open_calls: usize,
    /// A failed call is repeated after this.
    pub retry_delay: Duration,
    /// A new process waits this long for the first list before it admits requests.
    pub first_list_timeout: Duration,
}

/// Bounds of the event loop.
#[derive(Clone, Debug, PartialEq)]
pub struct EventLoopLimits {
    /// Requests in flight at once.
    pub max_requests: usize,
    /// Events that wait in the queue.
    pub queue_length: usize,
    /// Events taken into one batch.
    pub batch_size: usize,
    /// Attempts end this long before the client gives up, so that the response arrives in time.
    pub response_margin: Duration,
}

/// Bounds of a graceful shutdown; times count from the signal unless stated otherwise.
#[derive(Clone, Debug, PartialEq)]
pub struct ShutdownLimits {
    /// Requests are served as before until then; from then on responses announce that their connection closes.
    pub announce_after: Duration,
    /// A connection idle for this long is closed between requests.
    pub idle_before_close: Duration,
    /// From then on every idle connection is closed.
    pub close_idle_after: Duration,
    /// A connection whose first request is still to come closes after this long of its own.
    pub first_request_timeout: Duration,
    /// Connections are accepted until then.
    pub accept_for: Duration,
    /// The listener closes earlier once nobody has connected for this long.
    pub quiet_period: Duration,
    /// For this long after its end requests that were read ahead are still answered.
    pub response_grace: Duration,
}

/// Bounds of the admin endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct AdminLimits {
    /// Connections at once.
    pub max_connections: usize,
    /// A call must be complete within this.
    pub call_timeout: Duration,
}

/// Descriptors that are neither clients' nor servers': standard streams, poller, listeners, peer socket, discovery.
const RESERVED_DESCRIPTORS: usize = 24;
/// MiB that the program and the policy module take.
const PROGRAM_MB: usize = 8;
/// KiB that a connection may hold with its buffers.
const CONNECTION_KB: usize = 64;
/// The least number of connections to run with.
const MIN_CONNECTIONS: usize = 32;
/// An endpoint list may take this part of the memory while it is received.
const LIST_MEMORY_DIVISOR: usize = 5;
/// Bytes of an endpoint list that are allowed whatever the memory.
const MIN_LIST_BYTES: usize = 4 << 20;
/// A server's idle limit where the settings give none.
const DEFAULT_SERVER_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// The connect timeout where the settings give none.
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// A pooled connection is dropped at this part of the server's idle limit: a request written to a connection that the
/// server just closed would be lost.
const POOLED_IDLE_FRACTION: f64 = 0.6;
/// The last request of a shutdown is answered this long after the longest deadline.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(300);
/// A process is killed no sooner than this and 0.7 s after the signal, however long deadlines are.
const MAX_SHUTDOWN_DEADLINE: Duration = Duration::from_secs(3);

/// How many connections and bytes each side gets.
struct Budget {
    connections: usize,
    client_connections: usize,
    upstream_connections: usize,
    body_kb: usize,
    response_kb: usize,
}

impl Budget {
    fn new(sockets: u32, memory_mb: u32) -> Result<Budget, CapacityError> {
        let memory_kb = memory_mb as usize * 1024;
        let body_kb = memory_kb / 5;
        let response_kb = body_kb / 2;
        let by_memory = connections_by_memory(memory_mb, body_kb + response_kb)?;
        let by_sockets = connections_by_sockets(sockets)?;
        let connections = by_sockets.min(by_memory);
        // A request holds its client's connection and at most one to a server; clients keep idle ones too.
        let upstream_connections = connections * 2 / 5;
        Ok(Budget {
            connections,
            client_connections: connections - upstream_connections,
            upstream_connections,
            body_kb,
            response_kb,
        })
    }
}

fn connections_by_memory(memory_mb: u32, buffered_kb: usize) -> Result<usize, CapacityError> {
    let needed_kb = (PROGRAM_MB * 1024 + MIN_CONNECTIONS * CONNECTION_KB) * 10 / 7;
    let left_kb = (memory_mb as usize * 1024).checked_sub(PROGRAM_MB * 1024 + buffered_kb);
    left_kb
        .map(|kb| kb / CONNECTION_KB)
        .filter(|&connections| connections >= MIN_CONNECTIONS)
        .ok_or(CapacityError::Memory {
            given: memory_mb,
            needed: needed_kb.div_ceil(1024),
        })
}

fn connections_by_sockets(sockets: u32) -> Result<usize, CapacityError> {
    (sockets as usize)
        .checked_sub(RESERVED_DESCRIPTORS)
        .filter(|&left| left >= MIN_CONNECTIONS)
        .ok_or(CapacityError::Sockets {
            given: sockets,
            needed: RESERVED_DESCRIPTORS + MIN_CONNECTIONS,
        })
}

impl Limits {
    /// Shares descriptors and memory (in MiB) out.
    ///
    /// # Errors
    ///
    /// Too few descriptors or too little memory for the least number of connections.
    pub fn new(sockets: u32, memory_mb: u32, settings: &Settings) -> Result<Limits, CapacityError> {
        let budget = Budget::new(sockets, memory_mb)?;
        Ok(Limits {
            connect_timeout: given_or(settings.sockets.connect_timeout, DEFAULT_CONNECT_TIMEOUT),
            max_body_bytes: 64 * 1024,
            max_head_bytes: 8 * 1024,
            listener: ListenerLimits::new(),
            client: ClientLimits::new(&budget, sockets),
            upstream: UpstreamLimits::new(&budget, settings),
            endpoints: EndpointWatchLimits::new(memory_mb, settings),
            event_loop: EventLoopLimits::new(&budget, settings),
            shutdown: ShutdownLimits::new(),
            admin: AdminLimits::new(),
        })
    }
}

/// Settings give zero for a time that they leave out.
fn given_or(given: Duration, default: Duration) -> Duration {
    if given.is_zero() { default } else { given }
}

impl ListenerLimits {
    fn new() -> ListenerLimits {
        ListenerLimits {
            bind_timeout: Duration::from_secs(3),
            backlog: 4096,
        }
    }
}

impl ClientLimits {
    fn new(budget: &Budget, sockets: u32) -> ClientLimits {
        // The rest answers newcomers that the limiter is busy.
        let max_served_connections = budget.client_connections - budget.client_connections / 4;
        ClientLimits {
            max_served_connections,
            max_connections: budget.client_connections,
            max_idle_connections: (sockets as usize / 4).min(max_served_connections),
            max_buffered_body_bytes: budget.body_kb * 1024,
            idle_timeout: Duration::from_secs(10),
            // A client that sends nothing usable is owed an end within 3 s.
            request_timeout: Duration::from_millis(2200),
            min_body_bytes_per_second: 64_000,
            max_body_pause: Duration::from_millis(700),
            evict_idle_after: Duration::from_millis(10),
            evict_unused_after: Duration::from_millis(30),
            evict_partial_after: Duration::from_millis(100),
            linger_timeout: Duration::from_millis(250),
            max_read_ahead_bytes: 512 * 1024,
        }
    }
}

impl UpstreamLimits {
    fn new(budget: &Budget, settings: &Settings) -> UpstreamLimits {
        let server_idle = given_or(
            settings.sockets.server_idle_timeout,
            DEFAULT_SERVER_IDLE_TIMEOUT,
        );
        UpstreamLimits {
            max_connections: budget.upstream_connections,
            max_buffered_response_bytes: budget.response_kb * 1024,
            max_streaming_bytes: 1 << 30,
            idle_timeout: server_idle.mul_f64(POOLED_IDLE_FRACTION),
            settle_time: Duration::from_millis(25),
            health_check_timeout: Duration::from_millis(250),
        }
    }
}

impl EndpointWatchLimits {
    fn new(memory_mb: u32, settings: &Settings) -> EndpointWatchLimits {
        let memory_bytes = (memory_mb as usize) << 20;
        // A drain's grace runs from the end of an outage of discovery, so a silent call must not outlast half of it.
        let half_grace = settings.endpoints.drain_grace / 2;
        EndpointWatchLimits {
            max_list_bytes: (memory_bytes / LIST_MEMORY_DIVISOR).max(MIN_LIST_BYTES),
            watch_timeout: Duration::from_secs(1),
            immediate_timeout: Duration::from_millis(10),
            response_grace: half_grace
                .clamp(Duration::from_millis(100), Duration::from_millis(500)),
            max_open_calls: 4,
            retry_delay: Duration::from_millis(100),
            first_list_timeout: Duration::from_millis(250),
        }
    }
}

impl EventLoopLimits {
    fn new(budget: &Budget, settings: &Settings) -> EventLoopLimits {
        let max_in_flight = settings.request_limits.max_in_flight;
        EventLoopLimits {
            max_requests: if max_in_flight == 0 {
                budget.client_connections
            } else {
                max_in_flight
            },
            // Each connection may have a request and its disconnect there, each attempt its end.
            queue_length: 4 * budget.connections + 256,
            batch_size: 512,
            response_margin: Duration::from_millis(5),
        }
    }
}

impl ShutdownLimits {
    fn new() -> ShutdownLimits {
        ShutdownLimits {
            announce_after: Duration::from_millis(400),
            idle_before_close: Duration::from_millis(100),
            // From 0.7 s on a request that crosses its connection's end may count as lost.
            close_idle_after: Duration::from_millis(620),
            first_request_timeout: Duration::from_millis(400),
            accept_for: Duration::from_secs(1),
            quiet_period: Duration::from_millis(200),
            response_grace: Duration::from_millis(100),
        }
    }
}

impl AdminLimits {
    fn new() -> AdminLimits {
        AdminLimits {
            max_connections: 16,
            call_timeout: Duration::from_millis(500),
        }
    }
}

/// How long after the signal of a shutdown the last request is answered, by the classes in force: before the process is
/// killed, which is no sooner than the longest deadline (at most 3 s) and 0.7 s.
pub fn shutdown_deadline(classes: &[RequestClass]) -> Duration {
    let longest = classes.iter().map(|class| class.deadline).max();
    longest.unwrap_or_default().min(MAX_SHUTDOWN_DEADLINE) + SHUTDOWN_MARGIN
}

#[cfg(test)]
mod tests;
