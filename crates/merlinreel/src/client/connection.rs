//! One client's connection: what it did last, and who gives way where places are short.

use super::framing::ObservedHead;
use super::stream::ClientStream;
use crate::config::limits::Limits;
use crate::messages::Event;
use crate::net::observed_stream::IoObserver;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;
use tokio::io::AsyncWriteExt;
use tokio::sync::{Notify, mpsc};

/// One client's connection.
pub struct ClientConnection {
    pub busy: AtomicBool,
    /// Requests that it sent before.
    pub requests: AtomicUsize,
    /// It was idle and has to give way.
    pub evicted: AtomicBool,
    /// The limiter's side has ended: nothing is read for a request any more.
    pub closing: AtomicBool,
    /// More came behind a request than is kept: some of it was dropped.
    pub flooded: AtomicBool,
    /// Bytes that the HTTP library was given, and those of them that make up the requests before the next one.
    pub handed: AtomicU64,
    consumed: AtomicU64,
    /// Bytes that were read and that the library was not given yet.
    pub ahead: AtomicUsize,
    /// The head that the HTTP library read last has a line of Content-Length.
    content_length: AtomicBool,
    pub times: Mutex<Times>,
    pub close: Notify,
    /// A place in the queue for the news that the client has left; it can leave but once.
    pub leaving: Mutex<Option<mpsc::OwnedPermit<Event>>>,
}

/// Since when it waits for a request, since when part of one is there, since when the rest of an answer waits
/// for the client to read on, and when the head that the HTTP library read last had come.
pub struct Times {
    pub arrived: Instant,
    /// When the next piece of a body that is being read is due.
    pub body_due: Option<Instant>,
    pub idle: Instant,
    pub heard: Option<Instant>,
    pub held_up: Option<Instant>,
}

impl Times {
    /// Guards the end of an answer to a client that reads slowly: the job is answered, but its last bytes wait
    /// here. Who takes none of them for as long as a connection may be idle has gone.
    pub fn held_up(&self, limits: &Limits) -> bool {
        self.held_up
            .is_some_and(|since| since.elapsed() < limits.client.idle_timeout)
    }
}

impl ClientConnection {
    pub fn new(leaving: mpsc::OwnedPermit<Event>) -> ClientConnection {
        ClientConnection {
            busy: AtomicBool::new(false),
            requests: AtomicUsize::new(0),
            evicted: AtomicBool::new(false),
            closing: AtomicBool::new(false),
            flooded: AtomicBool::new(false),
            handed: AtomicU64::new(0),
            consumed: AtomicU64::new(0),
            ahead: AtomicUsize::new(0),
            content_length: AtomicBool::new(false),
            times: Mutex::new(Times {
                arrived: Instant::now(),
                body_due: None,
                idle: Instant::now(),
                heard: None,
                held_up: None,
            }),
            close: Notify::new(),
            leaving: Mutex::new(Some(leaving)),
        }
    }

    /// A head has gone to the HTTP library, which came then.
    pub fn observe(&self, head: ObservedHead, arrived: Instant) {
        self.content_length
            .store(head.content_length, Ordering::Relaxed);
        lock(&self.times).arrived = arrived;
    }

    /// When the head came that the HTTP library read last; see [`ClientConnection::observed`] for whose that is.
    pub fn arrived(&self) -> Instant {
        lock(&self.times).arrived
    }

    /// What the HTTP library was given so far makes up whole requests, or heads with their body to come. The library hands
    /// a request over with nothing behind its head, and a body in chunks ends with a section.
    pub fn consume(&self) {
        self.consumed
            .store(self.handed.load(Ordering::Relaxed), Ordering::Relaxed);
    }

    /// So many bytes more make up the request whose head was consumed last.
    pub fn extend_consumed(&self, body: u64) {
        self.consumed.fetch_add(body, Ordering::Relaxed);
    }

    /// Whether the HTTP library has read part of the next request, or all of it.
    fn next_begun(&self) -> bool {
        self.handed.load(Ordering::Relaxed) > self.consumed.load(Ordering::Relaxed)
    }

    /// Whether anything was read behind the request in hand.
    pub fn more_was_read(&self) -> bool {
        self.next_begun() || self.ahead.load(Ordering::Relaxed) > 0
    }

    /// It rests from now on, but for what was read of the next request meanwhile.
    pub fn rest(&self) {
        let heard = self.next_begun().then(Instant::now);
        let mut times = lock(&self.times);
        (times.idle, times.heard, times.body_due) = (Instant::now(), heard, None);
    }

    /// What the head showed that the HTTP library read last. That is the head of a request only while the library hands
    /// the request over: it may read the next one's right after.
    pub fn observed(&self) -> ObservedHead {
        ObservedHead {
            content_length: self.content_length.load(Ordering::Relaxed),
        }
    }

    /// The request after this must be whole by then, or the connection closes. Guards the places against who
    /// never sends one, or never ends it.
    pub fn due(&self, limits: &Limits) -> Instant {
        let times = lock(&self.times);
        let due = match (self.requests.load(Ordering::Relaxed), times.heard) {
            (0, _) | (1, None) => times.idle + limits.client.request_timeout,
            (_, Some(heard)) => heard + limits.client.request_timeout,
            (_, None) => times.idle + limits.client.idle_timeout,
        };
        times.body_due.map_or(due, |body_due| due.max(body_due))
    }

    /// Nothing is likely to be on its way here. Guards against dropping a new connection whose first request was
    /// not read yet: clients send that one again for connections that they used before only.
    pub fn rests(&self, limits: &Limits) -> bool {
        let times = lock(&self.times);
        if times.held_up(limits) {
            return false;
        }
        let settled = match (times.heard, self.requests.load(Ordering::Relaxed)) {
            (Some(_), _) => limits.client.evict_partial_after,
            (None, 0) => limits.client.evict_unused_after,
            (None, _) => limits.client.evict_idle_after,
        };
        !self.busy.load(Ordering::Relaxed) && times.heard.unwrap_or(times.idle).elapsed() >= settled
    }

    /// Whether a stop may close it: nothing is in hand, no part of a request is there, no answer waits to be read,
    /// and it has rested for a while; `late` in the stop, at all. One whose first request is still to come has longer.
    pub fn may_go(&self, limits: &Limits, late: bool) -> bool {
        let rest = match self.requests.load(Ordering::Relaxed) {
            0 => limits.shutdown.first_request_timeout,
            _ if late => limits.client.evict_idle_after,
            _ => limits.shutdown.idle_before_close,
        };
        let times = lock(&self.times);
        times.heard.is_none()
            && !self.closing.load(Ordering::Relaxed)
            && !self.busy.load(Ordering::Relaxed)
            && !times.held_up(limits)
            && times.idle.elapsed() >= rest
    }

    /// Has it close, unless something comes meanwhile.
    pub fn evict(&self) {
        self.evicted.store(true, Ordering::Relaxed);
        self.close.notify_one();
    }

    /// Closes it, for as long as that lingers or until it has to give way.
    pub async fn close(&self, line: &mut ClientStream) {
        // An order to close that came before is carried out by this.
        tokio::select! {
            biased;
            () = self.close.notified() => {}
            () = std::future::ready(()) => {}
        }
        tokio::select! {
            _ = line.shutdown() => {}
            () = self.close.notified() => {}
        }
    }

    /// Who gives way first: who never asked, then who asked once, then the others, the longest idle before.
    /// Guards those that come back against crowds that stay.
    pub fn rank(&self) -> (usize, Instant) {
        (
            self.requests.load(Ordering::Relaxed).min(2),
            lock(&self.times).idle,
        )
    }
}

impl IoObserver for ClientConnection {
    fn read(&self, _: usize) {
        if !self.busy.load(Ordering::Relaxed) {
            lock(&self.times).heard.get_or_insert_with(Instant::now);
        }
    }

    fn wrote(&self, _: usize) {
        let mut times = lock(&self.times);
        if times.held_up.take().is_some() {
            // It rests from the last byte on.
            times.idle = Instant::now();
        }
    }

    /// Part of a request is there.
    fn expects_more(&self) -> bool {
        !self.busy.load(Ordering::Relaxed) && lock(&self.times).heard.is_some()
    }

    fn held_up(&self) {
        // From the first time on: a write is tried again at every turn, read on or not.
        lock(&self.times).held_up.get_or_insert_with(Instant::now);
    }
}

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// As many idle connections as are there beyond what may stay idle; one that comes back only where all places are
/// taken. Guards against a front that holds so many connections and no more, which crowds that stay would fill.
pub fn who_gives_way<'a>(
    client_connections: impl ExactSizeIterator<Item = &'a Arc<ClientConnection>>,
    limits: &Limits,
) -> Vec<&'a ClientConnection> {
    let all = client_connections.len() + 1;
    if all <= limits.client.max_idle_connections {
        return Vec::new();
    }
    // What was asked before to give way may still be there.
    let (leaving, staying): (Vec<_>, Vec<_>) = client_connections
        .map(Arc::as_ref)
        .partition(|client_connection| client_connection.evicted.load(Ordering::Relaxed));
    let mut idle: Vec<&ClientConnection> = staying
        .into_iter()
        .filter(|client_connection| client_connection.rests(limits))
        .collect();
    if all <= limits.client.max_connections {
        idle.retain(|client_connection| client_connection.requests.load(Ordering::Relaxed) < 2);
    }
    idle.sort_unstable_by_key(|client_connection| client_connection.rank());
    idle.truncate((all - limits.client.max_idle_connections).saturating_sub(leaving.len()));
    idle
}
