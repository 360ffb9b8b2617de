//! The state of one client connection, shared by its stream, the requests on it, eviction and shutdown.

use super::framing::ObservedHead;
use crate::config::limits::Limits;
use crate::messages::Event;
use crate::net::observed_stream::IoObserver;
use crate::sync::lock;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Instant;
use tokio::sync::{Notify, mpsc};

/// A client connection, from its acceptance until its task has closed it.
pub struct ClientConnection {
    /// Set while a request is in flight or its response is still streaming.
    pub busy: AtomicBool,
    /// Number of valid requests received completely on this connection; `/up` calls don't count.
    pub requests: AtomicUsize,
    /// Set once the connection was asked to close while idle.
    pub evicted: AtomicBool,
    /// Set once the limiter has shut down its side: no further request is read.
    pub closing: AtomicBool,
    /// Set when data after a request in flight exceeded the read-ahead limit and some of it was dropped.
    pub overflowed: AtomicBool,
    /// Total number of bytes passed to the HTTP library.
    pub delivered_bytes: AtomicU64,
    /// The part of `delivered_bytes` that makes up the heads handed over so far and the bodies read completely.
    consumed_bytes: AtomicU64,
    /// Whether the last read found no data: if a request is incomplete, the client has to send the rest.
    awaits_input: AtomicBool,
    /// Whether a frame of a body was read since the last call of `take_body_progress`.
    body_progressed: AtomicBool,
    /// Number of bytes read from the socket and not yet passed to the HTTP library.
    pub buffered_bytes: AtomicUsize,
    /// Whether the head that the HTTP library read last has a Content-Length line.
    has_content_length: AtomicBool,
    /// Times of the last events on the connection.
    pub times: Mutex<ConnectionTimes>,
    /// Asks the connection's task to close it.
    pub close_requested: Notify,
    /// Reserved capacity in the event queue for the client's disconnect. `None` once that is reported, as it happens at
    /// most once.
    pub disconnect_event: Mutex<Option<mpsc::OwnedPermit<Event>>>,
}

/// Times of the last events on a client connection.
pub struct ConnectionTimes {
    /// When the head that the HTTP library read last had arrived completely.
    pub head_arrived_at: Instant,
    /// When the next frame of the body being read is due. `None` if no body is being read.
    pub body_due: Option<Instant>,
    /// Since when the connection has been waiting for a request.
    pub idle_since: Instant,
    /// Since when the connection has had a partial request. `None` if it has none.
    pub partial_since: Option<Instant>,
    /// Since when a response has been waiting for the client to read more of it. `None` if no write is blocked.
    pub write_blocked_since: Option<Instant>,
    /// Since when a streaming response has been waiting for its server to send more of it. `None` if none is.
    pub waits_for_server_since: Option<Instant>,
}

impl ConnectionTimes {
    /// Whether the rest of a response waits for a client that reads slowly. A client that reads none of it for the idle
    /// timeout counts as disconnected.
    pub fn is_write_blocked(&self, limits: &Limits) -> bool {
        self.write_blocked_since
            .is_some_and(|since| since.elapsed() < limits.client.idle_timeout)
    }

    /// Whether the server of a streaming response has stalled for so long that a shutdown no longer waits for it.
    pub fn is_server_stalled(&self, limits: &Limits) -> bool {
        self.waits_for_server_since
            .is_some_and(|since| since.elapsed() >= limits.shutdown.max_server_pause)
    }
}

/// Order of eviction: the connection with the lowest rank is evicted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EvictionRank {
    /// Requests received on the connection, capped at 2. Connections with repeated requests are kept longer, so that many
    /// clients with one request each can't displace them.
    requests: usize,
    idle_since: Instant,
}

impl ClientConnection {
    /// Creates the state of a new connection, which has not received a request.
    pub fn new(disconnect_event: mpsc::OwnedPermit<Event>) -> ClientConnection {
        ClientConnection {
            busy: AtomicBool::new(false),
            requests: AtomicUsize::new(0),
            evicted: AtomicBool::new(false),
            closing: AtomicBool::new(false),
            overflowed: AtomicBool::new(false),
            delivered_bytes: AtomicU64::new(0),
            consumed_bytes: AtomicU64::new(0),
            awaits_input: AtomicBool::new(false),
            body_progressed: AtomicBool::new(false),
            buffered_bytes: AtomicUsize::new(0),
            has_content_length: AtomicBool::new(false),
            times: Mutex::new(ConnectionTimes {
                head_arrived_at: Instant::now(),
                body_due: None,
                idle_since: Instant::now(),
                partial_since: None,
                write_blocked_since: None,
                waits_for_server_since: None,
            }),
            close_requested: Notify::new(),
            disconnect_event: Mutex::new(Some(disconnect_event)),
        }
    }

    /// Records a head that is passed to the HTTP library, and when it had arrived.
    pub fn record_head(&self, head: ObservedHead, arrived_at: Instant) {
        self.has_content_length
            .store(head.content_length, Ordering::Relaxed);
        lock(&self.times).head_arrived_at = arrived_at;
    }

    /// What was observed of the head that the HTTP library read last. This is the head of a request only at the moment when
    /// the library hands the request over, as it may read the next head right after.
    pub fn last_head(&self) -> ObservedHead {
        ObservedHead {
            content_length: self.has_content_length.load(Ordering::Relaxed),
        }
    }

    /// When the head of [`ClientConnection::last_head`] had arrived completely.
    pub fn head_arrived_at(&self) -> Instant {
        lock(&self.times).head_arrived_at
    }

    /// Records whether the last read found no data.
    pub fn set_awaits_input(&self, awaits_input: bool) {
        self.awaits_input.store(awaits_input, Ordering::Relaxed);
    }

    /// Whether the last read found no data. Only then does a deadline of the request apply to the client.
    pub fn awaits_input(&self) -> bool {
        self.awaits_input.load(Ordering::Relaxed)
    }

    /// Records that a frame of a body was read.
    pub fn record_body_progress(&self) {
        self.body_progressed.store(true, Ordering::Relaxed);
    }

    /// Whether a frame of a body was read since the last call.
    pub fn take_body_progress(&self) -> bool {
        self.body_progressed.swap(false, Ordering::Relaxed)
    }

    /// Counts all bytes passed to the HTTP library so far as consumed. They end with a request's head or a chunked body: the
    /// library hands a request over before it reads anything after its head, and a chunked body ends with a section.
    pub fn consume_delivered(&self) {
        self.consumed_bytes.store(
            self.delivered_bytes.load(Ordering::Relaxed),
            Ordering::Relaxed,
        );
    }

    /// Counts the body of the request whose head was consumed last as consumed. `bytes` is its announced length.
    pub fn consume_body(&self, bytes: u64) {
        self.consumed_bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Whether the HTTP library has read any part of the next request.
    fn next_request_started(&self) -> bool {
        self.delivered_bytes.load(Ordering::Relaxed) > self.consumed_bytes.load(Ordering::Relaxed)
    }

    /// Whether any data was read after the request in flight.
    pub fn has_pipelined_input(&self) -> bool {
        self.next_request_started() || self.buffered_bytes.load(Ordering::Relaxed) > 0
    }

    /// Marks the connection idle from now on, or partial if the HTTP library has read any of the next request.
    pub fn mark_idle(&self) {
        let partial_since = self.next_request_started().then(Instant::now);
        let mut times = lock(&self.times);
        times.idle_since = Instant::now();
        times.partial_since = partial_since;
        times.body_due = None;
    }

    /// Records that the connection has a partial request from now on, unless it had one before or a request is in flight.
    pub fn mark_partial(&self) {
        if !self.busy.load(Ordering::Relaxed) {
            lock(&self.times)
                .partial_since
                .get_or_insert_with(Instant::now);
        }
    }

    /// When the connection's next request must be complete. The connection is closed then, so that clients that never send
    /// or complete a request can't keep a connection slot.
    pub fn request_due(&self, limits: &Limits) -> Instant {
        let times = lock(&self.times);
        let due = match (self.requests.load(Ordering::Relaxed), times.partial_since) {
            (0, _) | (1, None) => times.idle_since + limits.client.request_timeout,
            (_, Some(partial_since)) => partial_since + limits.client.request_timeout,
            (_, None) => times.idle_since + limits.client.idle_timeout,
        };
        times.body_due.map_or(due, |body_due| due.max(body_due))
    }

    /// Whether the rest of a partial request may be unread in the socket receive buffer because the limiter is late. While a
    /// response waits for the client to read it, the client is late.
    fn may_have_unread_rest(&self, times: &ConnectionTimes) -> bool {
        times.partial_since.is_some()
            && times.write_blocked_since.is_none()
            && !self.awaits_input()
            && !self.closing.load(Ordering::Relaxed)
    }

    /// Whether the connection can be closed now to free its slot. A new connection is kept longer, as its first request may
    /// not have been read yet: clients retry a lost request by themselves only on connections that they used before.
    pub fn is_evictable(&self, limits: &Limits) -> bool {
        let times = lock(&self.times);
        if times.is_write_blocked(limits) || self.may_have_unread_rest(&times) {
            return false;
        }
        let evict_after = match (times.partial_since, self.requests.load(Ordering::Relaxed)) {
            (Some(_), _) => limits.client.evict_partial_after,
            (None, 0) => limits.client.evict_unused_after,
            (None, _) => limits.client.evict_idle_after,
        };
        !self.busy.load(Ordering::Relaxed)
            && times.partial_since.unwrap_or(times.idle_since).elapsed() >= evict_after
    }

    /// Whether a shutdown can close the connection: no request is in flight or partly read, no response waits for the
    /// client to read it, and the connection was idle for long enough. With `close_idle` that is `evict_idle_after`; a
    /// connection without a request so far has `first_request_timeout` in either case.
    pub fn can_shut_down(&self, limits: &Limits, close_idle: bool) -> bool {
        let min_idle = match self.requests.load(Ordering::Relaxed) {
            0 => limits.shutdown.first_request_timeout,
            _ if close_idle => limits.client.evict_idle_after,
            _ => limits.shutdown.idle_before_close,
        };
        let times = lock(&self.times);
        times.partial_since.is_none()
            && !self.closing.load(Ordering::Relaxed)
            && !self.busy.load(Ordering::Relaxed)
            && !times.is_write_blocked(limits)
            && times.idle_since.elapsed() >= min_idle
    }

    /// Asks the connection to close. If a request arrives before it does, that is answered first.
    pub fn evict(&self) {
        self.evicted.store(true, Ordering::Relaxed);
        self.close_requested.notify_one();
    }

    /// The connection's rank in the order of eviction.
    pub fn eviction_rank(&self) -> EvictionRank {
        EvictionRank {
            requests: self.requests.load(Ordering::Relaxed).min(2),
            idle_since: lock(&self.times).idle_since,
        }
    }
}

impl IoObserver for ClientConnection {
    fn on_read(&self, _: usize) {
        self.mark_partial();
    }

    fn on_write(&self, _: usize) {
        let mut times = lock(&self.times);
        if times.write_blocked_since.take().is_some() {
            // Idle time counts from the last byte written.
            times.idle_since = Instant::now();
        }
    }

    fn on_write_blocked(&self) {
        // Keeps the first time, as a write is retried whenever the connection is polled.
        lock(&self.times)
            .write_blocked_since
            .get_or_insert_with(Instant::now);
    }

    fn expects_more(&self) -> bool {
        !self.busy.load(Ordering::Relaxed) && lock(&self.times).partial_since.is_some()
    }
}
