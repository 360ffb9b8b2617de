//! Limits of the sizes, counts and times of the limiter's sockets: computed at start from the configured descriptors, memory
//! and settings, and grouped by the part of the program that uses them.

mod budget;

pub use budget::CapacityError;

use budget::Budget;
use merlinreel_policy::RequestClass;
use merlinreel_settings::Settings;
use std::time::Duration;

/// All limits, by the part that uses them.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Time within which a connection to a server or to the discovery agent must be established.
    pub connect_timeout: Duration,
    /// Maximum size of a request or response body that is buffered completely.
    pub max_body_bytes: usize,
    /// Maximum size of the head of an HTTP message.
    pub max_head_bytes: usize,
    /// Limits of the listening sockets.
    pub listener: ListenerLimits,
    /// Limits of client connections.
    pub client: ClientLimits,
    /// Limits of connections to servers.
    pub upstream: UpstreamLimits,
    /// Limits of the watch of the endpoint list.
    pub endpoints: EndpointWatchLimits,
    /// Limits of the event loop and its queue.
    pub event_loop: EventLoopLimits,
    /// Times of a graceful shutdown.
    pub shutdown: ShutdownLimits,
    /// Limits of the admin endpoint.
    pub admin: AdminLimits,
}

/// Limits of the listening sockets.
#[derive(Clone, Debug, PartialEq)]
pub struct ListenerLimits {
    /// Binding a socket at the start is retried for this long.
    pub bind_timeout: Duration,
    /// Length of the accept queue; the kernel drops further connection attempts, which clients repeat after a second.
    pub backlog: u32,
}

/// Limits of client connections. The `evict_…` times apply when too many connections are open.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientLimits {
    /// Maximum number of connections with a request in flight; requests on further ones, up to `max_connections`, get status
    /// 503.
    pub max_served_connections: usize,
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Above this number of connections, idle ones that carried at most one request are evicted.
    pub max_idle_connections: usize,
    /// Maximum total size of the request bodies in memory.
    pub max_buffered_body_bytes: usize,
    /// A connection that carried two or more requests is closed after this long without another one. A client that reads
    /// nothing of a response for this long counts as disconnected.
    pub idle_timeout: Duration,
    /// Time in which a request must be complete, counted from the start of the connection for the first one. A connection
    /// that carried one request is closed after this time without a second one.
    pub request_timeout: Duration,
    /// A body that arrives at least at this rate, in bytes per second, may exceed `request_timeout` until its client's
    /// deadline.
    pub min_body_bytes_per_second: u32,
    /// Longest pause within a body.
    pub max_body_pause: Duration,
    /// A connection that has been idle between requests for this long may be evicted.
    pub evict_idle_after: Duration,
    /// A connection that has been open for this long without any request may be evicted.
    pub evict_unused_after: Duration,
    /// A connection whose request has been incomplete for this long may be evicted.
    pub evict_partial_after: Duration,
    /// After closing its side of a connection, the limiter waits this long for the client to close.
    pub linger_timeout: Duration,
    /// Maximum number of bytes read ahead while a request is in flight; those beyond the size of a head count against
    /// `max_buffered_body_bytes`.
    pub max_read_ahead_bytes: usize,
    /// Maximum number of ids that are remembered of requests that have ended and may have run.
    pub max_recent_ids: usize,
    /// Maximum size of a file by which the two processes of an upgrade share ids.
    pub max_shared_ids_bytes: u64,
}

/// Limits of connections to servers.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamLimits {
    /// Maximum number of connections that are open or being opened.
    pub max_connections: usize,
    /// Maximum total size of complete responses that clients have not taken yet.
    pub max_buffered_response_bytes: usize,
    /// Maximum size of a streaming response.
    pub max_streaming_bytes: u64,
    /// Longest pause within a streaming response; it ends incomplete if its server sends nothing for longer.
    pub max_streaming_pause: Duration,
    /// A connection that has been idle for this long is closed.
    pub idle_timeout: Duration,
    /// A server that closes a connection right after a response does so within this time; connections idle for longer are
    /// reused first.
    pub settle_time: Duration,
    /// A health check without a response for this long has failed.
    pub health_check_timeout: Duration,
}

/// Limits of the watch of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointWatchLimits {
    /// Maximum size of an endpoint list.
    pub max_list_bytes: usize,
    /// How long the discovery agent may wait for a change before it responds to a watch.
    pub watch_timeout: Duration,
    /// `watch_timeout` of a watch whose response is needed at once: for the first list, or after a failed call.
    pub immediate_timeout: Duration,
    /// A call without a response for this long after its wait counts as silent; another one is started in parallel.
    pub response_grace: Duration,
    /// Maximum number of calls to the discovery agent that are open at once.
    pub max_open_calls: usize,
    /// Delay before a failed call is repeated.
    pub retry_delay: Duration,
    /// A new process waits this long for its first list before it accepts clients.
    pub first_list_timeout: Duration,
}

/// Limits of the event loop.
#[derive(Clone, Debug, PartialEq)]
pub struct EventLoopLimits {
    /// Maximum number of requests in flight.
    pub max_requests: usize,
    /// Maximum number of customers whose accounts are kept at the same time.
    pub max_accounts: usize,
    /// Maximum number of events waiting in the queue.
    pub queue_length: usize,
    /// Maximum number of events processed in one batch.
    pub batch_size: usize,
    /// Attempts end this long before the client stops waiting, so that the response reaches the client in time.
    pub response_margin: Duration,
}

/// Times of a graceful shutdown, counted from the signal unless stated otherwise.
#[derive(Clone, Debug, PartialEq)]
pub struct ShutdownLimits {
    /// Until this time, requests are served as usual; later, responses announce that their connection closes.
    pub announce_after: Duration,
    /// A connection that has been idle between requests for this long is closed.
    pub idle_before_close: Duration,
    /// From this time on, [`ClientLimits::evict_idle_after`] replaces `idle_before_close`.
    pub close_idle_after: Duration,
    /// A connection without its first request is closed after this time, counted from the start of the connection.
    pub first_request_timeout: Duration,
    /// Longest time for which connections are still accepted, counted from when responses begin to announce that their
    /// connection closes.
    pub accept_for: Duration,
    /// The listening socket is closed before `accept_for` is over if no connection has been open for this long.
    pub quiet_period: Duration,
    /// After the deadline of the shutdown, a streaming response whose server has sent nothing for this long is cut off.
    pub max_server_pause: Duration,
    /// Pipelined requests are still answered for this long after the deadline of the shutdown.
    pub response_grace: Duration,
}

/// Limits of the admin endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct AdminLimits {
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Time in which the head of a call must be complete; the connection may last twice as long.
    pub call_timeout: Duration,
}

/// An endpoint list that is being received may take up to the memory divided by this.
const LIST_MEMORY_DIVISOR: usize = 5;
/// Number of remembered ids for each MiB of the memory; they take some 5 % of it.
const RECENT_IDS_PER_MB: usize = 1024;
/// Size of a file of shared ids for each MiB of the memory, as files count against it; there are up to four.
const SHARED_IDS_BYTES_PER_MB: u64 = 8 << 10;
/// Number of customers' accounts for each MiB of the memory; an account takes up to 1 KiB.
const ACCOUNTS_PER_MB: usize = 192;
/// Size of an endpoint list that is allowed even if the memory is small.
const MIN_LIST_BYTES: usize = 4 << 20;
/// Time after which servers close idle connections, if the settings set none.
const DEFAULT_SERVER_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Connect timeout if the settings set none.
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// A pooled connection is closed after this fraction of the server's idle timeout: a request written to a connection that
/// the server has just closed would be lost.
const POOLED_IDLE_FRACTION: f64 = 0.6;
/// Time after the longest deadline within which the last request of a shutdown is answered.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(300);
/// Cap of the longest class deadline in a shutdown: the process is killed no sooner than 0.7 s after the longest deadline,
/// capped at this.
const MAX_CLASS_DEADLINE: Duration = Duration::from_secs(3);

impl Limits {
    /// Computes the limits from the number of descriptors, the memory in MiB and the settings.
    ///
    /// # Errors
    ///
    /// The descriptors or the memory do not suffice for the minimum number of connections.
    pub fn new(sockets: u32, memory_mb: u32, settings: &Settings) -> Result<Limits, CapacityError> {
        let budget = Budget::new(sockets, memory_mb)?;
        Ok(Limits {
            connect_timeout: given_or(settings.sockets.connect_timeout, DEFAULT_CONNECT_TIMEOUT),
            max_body_bytes: 64 * 1024,
            max_head_bytes: 8 * 1024,
            listener: ListenerLimits::new(),
            client: ClientLimits::new(&budget, sockets, memory_mb),
            upstream: UpstreamLimits::new(&budget, settings),
            endpoints: EndpointWatchLimits::new(memory_mb, settings),
            event_loop: EventLoopLimits::new(&budget, memory_mb, settings),
            shutdown: ShutdownLimits::new(),
            admin: AdminLimits::new(),
        })
    }
}

/// Returns `default` for a time that the settings leave out, which they represent as zero.
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
    fn new(budget: &Budget, sockets: u32, memory_mb: u32) -> ClientLimits {
        // The remaining connections answer new requests with status 503.
        let max_served_connections = budget.client_connections - budget.client_connections / 4;
        ClientLimits {
            max_served_connections,
            max_connections: budget.client_connections,
            max_idle_connections: (sockets as usize / 4).min(max_served_connections),
            max_buffered_body_bytes: budget.body_kb * 1024,
            idle_timeout: Duration::from_secs(10),
            // A connection without a valid request must be closed within 3 s.
            request_timeout: Duration::from_millis(2200),
            min_body_bytes_per_second: 64_000,
            max_body_pause: Duration::from_millis(700),
            evict_idle_after: Duration::from_millis(10),
            evict_unused_after: Duration::from_millis(30),
            evict_partial_after: Duration::from_millis(100),
            linger_timeout: Duration::from_millis(250),
            max_read_ahead_bytes: 512 * 1024,
            max_recent_ids: memory_mb as usize * RECENT_IDS_PER_MB,
            max_shared_ids_bytes: u64::from(memory_mb) * SHARED_IDS_BYTES_PER_MB,
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
            max_streaming_pause: Duration::from_secs(10),
            idle_timeout: server_idle.mul_f64(POOLED_IDLE_FRACTION),
            settle_time: Duration::from_millis(25),
            health_check_timeout: Duration::from_millis(250),
        }
    }
}

impl EndpointWatchLimits {
    fn new(memory_mb: u32, settings: &Settings) -> EndpointWatchLimits {
        let memory_bytes = (memory_mb as usize) << 20;
        // The grace period of a drain starts at the end of a discovery outage, so a silent call must be replaced
        // within half of it.
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
    fn new(budget: &Budget, memory_mb: u32, settings: &Settings) -> EventLoopLimits {
        let max_in_flight = settings.request_limits.max_in_flight;
        EventLoopLimits {
            max_requests: if max_in_flight == 0 {
                budget.client_connections
            } else {
                max_in_flight
            },
            max_accounts: memory_mb as usize * ACCOUNTS_PER_MB,
            // Holds a request and a disconnect for each client connection, and a completion for each attempt.
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
            // From 0.7 s on, a request that crosses the close of its connection may count as lost.
            close_idle_after: Duration::from_millis(620),
            first_request_timeout: Duration::from_millis(400),
            accept_for: Duration::from_secs(1),
            quiet_period: Duration::from_millis(200),
            max_server_pause: Duration::from_secs(1),
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

/// Time from the shutdown signal until the last request is answered, for the active classes. This is before the process is
/// killed, which happens no sooner than the longest deadline (of which at most 3 s count) plus 0.7 s.
pub fn shutdown_deadline(classes: &[RequestClass]) -> Duration {
    let longest = classes.iter().map(|class| class.deadline).max();
    longest.unwrap_or_default().min(MAX_CLASS_DEADLINE) + SHUTDOWN_MARGIN
}

#[cfg(test)]
mod tests;
