//! What clients, stubs and fault injection observed, in the order of time.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// The value of `X-Txn`, as the client wrote it.
pub type RequestId = String;

/// The link between a limiter and a server, by their numbers in the cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LinkId {
    /// The limiter.
    pub limiter: usize,
    /// The server.
    pub server: usize,
}

/// One observation. Limiters and servers are identified by their numbers in the cluster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A client is about to write a complete request to a limiter.
    RequestSent {
        /// The request.
        id: RequestId,
        /// Its request class.
        class: &'static str,
        /// The customer that sent it.
        customer: u32,
        /// The limiter that it was sent to.
        limiter: usize,
        /// The deadline that the client gave it.
        timeout: Duration,
    },
    /// The kernel has taken the last byte of a request from its client.
    RequestWritten {
        /// The request.
        id: RequestId,
    },
    /// The client read a complete response.
    ResponseReceived {
        /// The request.
        id: RequestId,
        /// The HTTP status code.
        status: u16,
        /// Whether the response carried `Retry-After`.
        has_retry_after: bool,
    },
    /// The connection ended, or the client stopped waiting, without a complete response.
    NoResponse {
        /// The request.
        id: RequestId,
        /// Whether the request was the first on its connection.
        is_first_on_connection: bool,
    },
    /// The client closed the connection while the request was in flight.
    ClientDisconnected {
        /// The request.
        id: RequestId,
    },
    /// The last byte of an attempt arrived at a server.
    AttemptReceived {
        /// The request.
        id: RequestId,
        /// The server.
        server: usize,
        /// A number unique to the attempt.
        attempt: u64,
        /// The remaining time that the limiter advertised to the server.
        advertised_time: Option<Duration>,
    },
    /// The server rejected the attempt without running it.
    AttemptRejected {
        /// The attempt.
        attempt: u64,
    },
    /// The attempt has run, and its response is about to be written.
    AttemptCompleted {
        /// The attempt.
        attempt: u64,
    },
    /// The limiter ended the connection before the attempt had run.
    AttemptAborted {
        /// The attempt.
        attempt: u64,
    },
    /// Discovery announced to a limiter that a server is draining or removed.
    DrainAnnounced(LinkId),
    /// The link carries nothing from now on, so that neither side sees what the other does.
    LinkPartitioned(LinkId),
    /// The link carries everything again.
    LinkHealed(LinkId),
    /// The limiter's process was killed.
    LimiterKilled {
        /// The limiter.
        limiter: usize,
    },
    /// The limiter's process was asked to stop; it is killed later where it has not exited by then.
    LimiterTerminated {
        /// The limiter.
        limiter: usize,
    },
    /// Connections that never send a request occupy all of the limiter's connection slots.
    BurstStarted {
        /// The limiter.
        limiter: usize,
    },
    /// Those connections were closed.
    BurstEnded {
        /// The limiter.
        limiter: usize,
    },
    /// The limiter's process was suspended.
    LimiterSuspended {
        /// The limiter.
        limiter: usize,
    },
    /// The limiter's process was continued.
    LimiterContinued {
        /// The limiter.
        limiter: usize,
    },
}

/// An event and its time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEntry {
    /// Time since the log was created.
    pub at: Duration,
    /// What was observed.
    pub event: Event,
}

/// A log that all observers share; clones append to the same log.
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
    /// Appends an event with the present time.
    pub fn record(&self, event: Event) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        // The time is read under the lock, so that entries are in the order of time.
        entries.push(LogEntry {
            at: self.created.elapsed(),
            event,
        });
    }

    /// All entries so far, in the order of time.
    pub fn entries(&self) -> Vec<LogEntry> {
        self.entries
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}
