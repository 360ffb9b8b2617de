//! Reconstructs the history of each request from the events that clients and servers recorded.

use crate::event_log::{Event, LinkId, LogEntry, RequestId};
use std::collections::BTreeMap;
use std::time::Duration;

/// Name of the class of non-idempotent requests.
const NON_IDEMPOTENT_CLASS: &str = "pay";

/// An attempt as its server observed it.
#[derive(Debug)]
pub struct Attempt {
    /// Index of the server.
    pub server: usize,
    /// When the server had received the attempt completely.
    pub received_at: Duration,
    /// The remaining time in `X-Remaining`; `None` if the header is missing or malformed.
    pub advertised_time: Option<Duration>,
    /// When the attempt was completed, rejected or aborted; `None` if it was in flight at the end of the log.
    pub ended_at: Option<Duration>,
    /// Whether the server rejected the attempt without running it.
    pub was_rejected: bool,
}

/// A response as its client observed it.
#[derive(Debug)]
pub struct Response {
    /// When the client had read the response completely.
    pub at: Duration,
    /// The HTTP status code.
    pub status: u16,
}

/// A request and everything that was observed of it.
#[derive(Debug)]
pub struct RequestHistory {
    /// Name of the request class.
    pub class: &'static str,
    /// The customer whose quota the request uses.
    pub customer: u32,
    /// Index of the limiter that received the request.
    pub limiter: usize,
    /// When the client began to write the request; for a request sent in two parts, the second part.
    pub sent_at: Duration,
    /// When the client had written the last byte; `None` if it had not by the end of the log.
    pub written_at: Option<Duration>,
    /// Time allowed for the response, from `sent_at` on.
    pub timeout: Duration,
    /// All responses to the request. The rules allow one.
    pub responses: Vec<Response>,
    /// Whether the client timed out, or the connection ended, without a response.
    pub client_gave_up: bool,
    /// Whether the request was unanswered and sent in the first round on its connection.
    pub is_first_on_connection: bool,
    /// When the client closed the connection while the request was in flight; `None` if it did not.
    pub disconnected_at: Option<Duration>,
    /// The attempts in the order in which servers received them.
    pub attempts: Vec<Attempt>,
}

impl RequestHistory {
    /// The link from the request's limiter to a server.
    pub fn link_to(&self, server: usize) -> LinkId {
        LinkId {
            limiter: self.limiter,
            server,
        }
    }

    /// Whether the request is non-idempotent and was retried, or rejected with 429 or 503, after an attempt that may have run.
    /// A client may send a rejected request again.
    pub fn may_have_duplicate_effect(&self) -> bool {
        if self.class != NON_IDEMPOTENT_CLASS {
            return false;
        }
        let mut attempts = self.attempts.iter();
        let Some(may_have_run) = attempts.find(|attempt| !attempt.was_rejected) else {
            return false;
        };
        let was_retried = attempts.next().is_some();
        let was_rejected = self.responses.iter().any(|response| {
            matches!(response.status, 429 | 503) && response.at > may_have_run.received_at
        });
        was_retried || was_rejected
    }

    /// Whether an attempt arrived while an earlier one was in flight. `may_have_ended` returns whether the earlier attempt
    /// may have ended by that time although its server had not observed the end.
    pub fn has_concurrent_attempts(
        &self,
        may_have_ended: impl Fn(&Attempt, Duration) -> bool,
    ) -> bool {
        let is_in_flight = |attempt: &Attempt, at| {
            attempt.ended_at.is_none_or(|ended| ended > at) && !may_have_ended(attempt, at)
        };
        self.attempts.iter().enumerate().any(|(i, later)| {
            self.attempts[..i]
                .iter()
                .any(|earlier| is_in_flight(earlier, later.received_at))
        })
    }
}

/// Returns the histories of all requests in a log. Events of requests that are not in the log are ignored.
pub fn from_log(entries: &[LogEntry]) -> BTreeMap<RequestId, RequestHistory> {
    let mut histories = Histories::default();
    for entry in entries {
        histories.add(entry.at, &entry.event);
    }
    histories.requests
}

/// Locates an attempt: its request, and the index in [`RequestHistory::attempts`].
struct AttemptLocation {
    id: RequestId,
    index: usize,
}

#[derive(Default)]
struct Histories {
    requests: BTreeMap<RequestId, RequestHistory>,
    /// By attempt number.
    attempts: BTreeMap<u64, AttemptLocation>,
}

impl Histories {
    fn add(&mut self, at: Duration, event: &Event) {
        match event {
            Event::RequestSent {
                id,
                class,
                customer,
                limiter,
                timeout,
            } => {
                let request = RequestHistory {
                    class,
                    customer: *customer,
                    limiter: *limiter,
                    sent_at: at,
                    written_at: None,
                    timeout: *timeout,
                    responses: Vec::new(),
                    client_gave_up: false,
                    is_first_on_connection: false,
                    disconnected_at: None,
                    attempts: Vec::new(),
                };
                self.requests.insert(id.clone(), request);
            }
            Event::AttemptRejected { attempt } => self.end_attempt(*attempt, at, true),
            Event::AttemptCompleted { attempt } | Event::AttemptAborted { attempt } => {
                self.end_attempt(*attempt, at, false);
            }
            Event::RequestWritten { id }
            | Event::ResponseReceived { id, .. }
            | Event::NoResponse { id, .. }
            | Event::ClientDisconnected { id }
            | Event::AttemptReceived { id, .. } => self.update(id, at, event),
            _ => {}
        }
    }

    /// Adds an event to the history of its request. Does nothing if the request is unknown.
    fn update(&mut self, id: &RequestId, at: Duration, event: &Event) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        match event {
            Event::RequestWritten { .. } => request.written_at = Some(at),
            Event::ResponseReceived { status, .. } => request.responses.push(Response {
                at,
                status: *status,
            }),
            Event::NoResponse {
                is_first_on_connection,
                ..
            } => {
                request.client_gave_up = true;
                request.is_first_on_connection = *is_first_on_connection;
            }
            Event::ClientDisconnected { .. } => request.disconnected_at = Some(at),
            Event::AttemptReceived {
                server,
                attempt,
                advertised_time,
                ..
            } => {
                let location = AttemptLocation {
                    id: id.clone(),
                    index: request.attempts.len(),
                };
                self.attempts.insert(*attempt, location);
                request.attempts.push(Attempt {
                    server: *server,
                    received_at: at,
                    advertised_time: *advertised_time,
                    ended_at: None,
                    was_rejected: false,
                });
            }
            _ => {}
        }
    }

    /// Records the end of an attempt; only the first end counts.
    fn end_attempt(&mut self, attempt: u64, at: Duration, was_rejected: bool) {
        let location = self.attempts.get(&attempt);
        let found = location.and_then(|location| {
            let request = self.requests.get_mut(&location.id)?;
            request.attempts.get_mut(location.index)
        });
        if let Some(attempt) = found {
            attempt.ended_at.get_or_insert(at);
            attempt.was_rejected |= was_rejected;
        }
    }
}
