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

/// One client connection.
pub struct ClientConnection {
    /// A request is in flight, or its response is still streaming.
    pub busy: AtomicBool,
    /// Complete requests that it carried.
    pub requests: AtomicUsize,
    /// It was idle, and was asked to close.
    pub evicted: AtomicBool,
    /// The limiter's side has ended: no request is read any more.
    pub closing: AtomicBool,
    /// More arrived behind a request than is kept: some of it was dropped.
    pub overflowed: AtomicBool,
    /// Bytes that the HTTP library was given.
    pub delivered_bytes: AtomicU64,
    /// Those of them that make up the requests before the next one.
    consumed_bytes: AtomicU64,
    /// The last read found nothing more: what is missing of a request is the client's to send.
    awaits_input: AtomicBool,
    /// A frame of a body was read since this was asked last.
    body_progressed: AtomicBool,
    /// Bytes that were read and that the library was not given yet.
    pub buffered_bytes: AtomicUsize,
    /// The head that the HTTP library read last has a Content-Length line.
    has_content_length: AtomicBool,
    /// When it last did what.
    pub times: Mutex<ConnectionTimes>,
    /// Asks its task to close it.
    pub close_requested: Notify,
    /// Reserved capacity of the queue for the event that the client has disconnected, which happens once at most.
    pub disconnect_event: Mutex<Option<mpsc::OwnedPermit<Event>>>,
}

/// When a client connection last did what.
pub struct ConnectionTimes {
    /// The head that the HTTP library read last had arrived by then.
    pub head_arrived_at: Instant,
    /// When the next piece of a body that is being read is due.
    pub body_due: Option<Instant>,
    /// It waits for a request since then.
    pub idle_since: Instant,
    /// Part of a request is there since then.
    pub partial_since: Option<Instant>,
    /// The rest of a response waits since then for the client to read on.
    pub write_blocked_since: Option<Instant>,
}

impl ConnectionTimes {
    /// Whether the end of a response waits for a client that reads slowly. A client that takes none of it for as long as a
    /// connection may be idle counts as disconnected.
    pub fn is_write_blocked(&self, limits: &Limits) -> bool {
        self.write_blocked_since
            .is_some_and(|since| since.elapsed() < limits.client.idle_timeout)
    }
}

/// Decides which connections are evicted first: the least one is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EvictionRank {
    /// Requests that it carried, up to 2. A client that came back is kept longer, so that many that came once can't
    /// displace those that come again.
    requests: usize,
    idle_since: Instant,
}

impl ClientConnection {
    /// A new connection, whose first request is still to come.
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
            }),
            close_requested: Notify::new(),
            disconnect_event: Mutex::new(Some(disconnect_event)),
        }
    }

    /// Records a head that was given to the HTTP library, and when it had arrived.
    pub fn record_head(&self, head: ObservedHead, arrived_at: Instant) {
        self.has_content_length
            .store(head.content_length, Ordering::Relaxed);
        lock(&self.times).head_arrived_at = arrived_at;
    }

    /// What the head showed that the HTTP library read last. That is a request's own head only while the library hands the
    /// request over: it may read the next head right after.
    pub fn last_head(&self) -> ObservedHead {
        ObservedHead {
            content_length: self.has_content_length.load(Ordering::Relaxed),
        }
    }

    /// When the head of [`ClientConnection::last_head`] had arrived.
    pub fn head_arrived_at(&self) -> Instant {
        lock(&self.times).head_arrived_at
    }

    /// Records whether the last read found nothing more.
    pub fn set_awaits_input(&self, awaits_input: bool) {
        self.awaits_input.store(awaits_input, Ordering::Relaxed);
    }

    /// Whether the last read found nothing more: only then may a client be held to a deadline of its request.
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

    /// Counts all that the HTTP library was given so far as consumed: complete requests, or heads whose body is to come. The
    /// library hands a request over before it reads anything behind its head, and a chunked body ends with a section.
    pub fn consume_delivered(&self) {
        self.consumed_bytes.store(
            self.delivered_bytes.load(Ordering::Relaxed),
            Ordering::Relaxed,
        );
    }

    /// Counts the body of the request whose head was consumed last as consumed.
    pub fn consume_body(&self, bytes: u64) {
        self.consumed_bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Whether the HTTP library has read part of the next request, or all of it.
    fn next_request_started(&self) -> bool {
        self.delivered_bytes.load(Ordering::Relaxed) > self.consumed_bytes.load(Ordering::Relaxed)
    }

    /// Whether anything was read behind the request in flight.
    pub fn has_pipelined_input(&self) -> bool {
        self.next_request_started() || self.buffered_bytes.load(Ordering::Relaxed) > 0
    }

    /// Marks it idle from now on, except for what was read of the next request meanwhile.
    pub fn mark_idle(&self) {
        let partial_since = self.next_request_started().then(Instant::now);
        let mut times = lock(&self.times);
        times.idle_since = Instant::now();
        times.partial_since = partial_since;
        times.body_due = None;
    }

    /// Records that part of a request is there, unless a request is in flight.
    pub fn mark_partial(&self) {
        if !self.busy.load(Ordering::Relaxed) {
            lock(&self.times)
                .partial_since
                .get_or_insert_with(Instant::now);
        }
    }

    /// When its next request must be complete: it closes then, as one that never sends a request, or never completes it,
    /// must not keep its place.
    pub fn request_due(&self, limits: &Limits) -> Instant {
        let times = lock(&self.times);
        let due = match (self.requests.load(Ordering::Relaxed), times.partial_since) {
            (0, _) | (1, None) => times.idle_since + limits.client.request_timeout,
            (_, Some(partial_since)) => partial_since + limits.client.request_timeout,
            (_, None) => times.idle_since + limits.client.idle_timeout,
        };
        times.body_due.map_or(due, |body_due| due.max(body_due))
    }

    /// Whether the rest of a request may lie unread, as the limiter is behind its client. One that takes no response is
    /// behind itself.
    fn may_have_unread_rest(&self, times: &ConnectionTimes) -> bool {
        times.partial_since.is_some()
            && times.write_blocked_since.is_none()
            && !self.awaits_input()
            && !self.closing.load(Ordering::Relaxed)
    }

    /// Whether it can be closed under pressure. A new connection has longer, as its first request may not have been read
    /// yet: clients repeat a lost request by themselves only on connections that they used before.
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

    /// Whether a shutdown can close it: no request is in flight, no part of one is there, no response waits to be read, and
    /// it was idle for a while; any time is enough where `close_idle`. One whose first request is still to come has longer.
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

    /// Asks it to close, unless something arrives meanwhile.
    pub fn evict(&self) {
        self.evicted.store(true, Ordering::Relaxed);
        self.close_requested.notify_one();
    }

    /// Its place in the order of eviction.
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
            // Idle from the last byte on.
            times.idle_since = Instant::now();
        }
    }

    fn on_write_blocked(&self) {
        // From the first time on: a write is tried again whenever the connection is polled.
        lock(&self.times)
            .write_blocked_since
            .get_or_insert_with(Instant::now);
    }

    fn expects_more(&self) -> bool {
        !self.busy.load(Ordering::Relaxed) && lock(&self.times).partial_since.is_some()
    }
}
