//! The shared log in which clients, stubs and fault injection record events, in chronological order.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// A request's `X-Txn` header value, as the client wrote it. All attempts of the request carry the same value.
pub type RequestId = String;

/// Identifies the link between a limiter and a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LinkId {
    /// The limiter's index in the cluster, from 0.
    pub limiter: usize,
    /// The server's index in the cluster, from 0.
    pub server: usize,
}

/// An observed event. Limiters and servers are identified by their indices in the cluster, from 0.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A client is about to write a request to a limiter, or the second part of a request that it sends in two.
    RequestSent {
        /// Unique id of the new request.
        id: RequestId,
        /// Name of the request class, as in the settings.
        class: &'static str,
        /// The customer whose quota the request uses.
        customer: u32,
        /// Index of the limiter that receives the request.
        limiter: usize,
        /// Time allowed for the response, from this event on. The client sends it in `X-Remaining`.
        timeout: Duration,
    },
    /// The client has written the last byte of a request to its socket, that is, to its kernel's send buffer. Recorded after
    /// the write returns, even if it failed.
    RequestWritten {
        /// Id given in [`Event::RequestSent`].
        id: RequestId,
    },
    /// The client read a complete response.
    ResponseReceived {
        /// Id of the answered request.
        id: RequestId,
        /// The HTTP status code.
        status: u16,
        /// Whether the response carried `Retry-After`.
        has_retry_after: bool,
    },
    /// The connection ended, or the client timed out, before a complete and well-formed response.
    NoResponse {
        /// Id of the unanswered request.
        id: RequestId,
        /// Whether the request was sent in the first round on its connection (pipelined requests form one round).
        is_first_on_connection: bool,
    },
    /// The client closed the connection while the request was in flight.
    ClientDisconnected {
        /// Id of the abandoned request.
        id: RequestId,
    },
    /// A server received an attempt completely.
    AttemptReceived {
        /// Id of the request that the limiter forwarded.
        id: RequestId,
        /// Index of the receiving server.
        server: usize,
        /// Number of the attempt, unique among all stub servers of the test process.
        attempt: u64,
        /// The remaining time in the attempt's `X-Remaining` header; `None` if the header is missing or malformed.
        advertised_time: Option<Duration>,
    },
    /// The server rejected the attempt without running it.
    AttemptRejected {
        /// Number given in [`Event::AttemptReceived`].
        attempt: u64,
    },
    /// The server ran the attempt to completion and is about to write the response.
    AttemptCompleted {
        /// Number given in [`Event::AttemptReceived`].
        attempt: u64,
    },
    /// The connection from the limiter ended before the attempt completed.
    AttemptAborted {
        /// Number given in [`Event::AttemptReceived`].
        attempt: u64,
    },
    /// Discovery is about to send a limiter a list in which a server is draining or removed. Recorded for each such response.
    DrainAnnounced(LinkId),
    /// The link stops carrying traffic in both directions, or only from the server to the limiter, so that at least one side
    /// no longer sees what the other does.
    LinkPartitioned(LinkId),
    /// The link carries traffic in both directions again.
    LinkHealed(LinkId),
    /// The limiter's process is about to be sent, or was just sent, SIGKILL. May be recorded twice for one kill.
    LimiterKilled {
        /// Index of the limiter.
        limiter: usize,
    },
    /// The limiter's process is about to be sent SIGTERM. If it doesn't exit in time, [`Event::LimiterKilled`] follows.
    LimiterTerminated {
        /// Index of the limiter.
        limiter: usize,
    },
    /// Connections that never send a complete request begin to occupy all of the limiter's connection slots.
    BurstStarted {
        /// Index of the limiter.
        limiter: usize,
    },
    /// The connections opened since [`Event::BurstStarted`] to occupy the limiter's connection slots were closed.
    BurstEnded {
        /// Index of the limiter.
        limiter: usize,
    },
    /// The limiter's process is about to be sent SIGSTOP.
    LimiterSuspended {
        /// Index of the limiter.
        limiter: usize,
    },
    /// The limiter's process was sent SIGCONT.
    LimiterContinued {
        /// Index of the limiter.
        limiter: usize,
    },
}

/// An event with the time at which it was recorded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEntry {
    /// Time since the log was created.
    pub at: Duration,
    /// The recorded event.
    pub event: Event,
}

/// A log shared by all observers. Clones append to the same log.
#[derive(Clone, Debug)]
pub struct EventLog {
    created: Instant,
    entries: Arc<Mutex<Vec<LogEntry>>>,
}

impl Default for EventLog {
    fn default() -> EventLog {
        EventLog {
            created: Instant::now(),
            entries: Arc::default(),
        }
    }
}

impl EventLog {
    /// Appends an event with the current time.
    pub fn record(&self, event: Event) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        // The time is read under the lock to keep the entries in chronological order.
        entries.push(LogEntry {
            at: self.created.elapsed(),
            event,
        });
    }

    /// Returns a copy of all entries so far, in chronological order.
    pub fn entries(&self) -> Vec<LogEntry> {
        self.entries
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}
