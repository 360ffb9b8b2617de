//! The history of each request, put together from what clients and servers observed.

use crate::event_log::{Event, LinkId, LogEntry, RequestId};
use std::collections::BTreeMap;
use std::time::Duration;

/// The class of non-idempotent requests.
const NON_IDEMPOTENT_CLASS: &str = "pay";

/// An attempt as its server observed it.
#[derive(Debug)]
pub struct Attempt {
    /// The server.
    pub server: usize,
    /// When its last byte arrived.
    pub received_at: Duration,
    /// The remaining time that the limiter advertised.
    pub advertised_time: Option<Duration>,
    /// When it was completed, rejected or aborted.
    pub ended_at: Option<Duration>,
    /// Whether the server rejected it without running it.
    pub was_rejected: bool,
}

/// A response as its client observed it.
#[derive(Debug)]
pub struct Response {
    /// When it was complete.
    pub at: Duration,
    /// The HTTP status code.
    pub status: u16,
}

/// A request from its sending on.
#[derive(Debug)]
pub struct RequestHistory {
    /// Its request class.
    pub class: &'static str,
    /// The customer that sent it.
    pub customer: u32,
    /// The limiter that it was sent to.
    pub limiter: usize,
    /// When it was sent.
    pub sent_at: Duration,
    /// When the kernel had taken its last byte; `None` where the client never got to record it.
    pub written_at: Option<Duration>,
    /// The deadline that the client gave it.
    pub timeout: Duration,
    /// Its responses; there should be one.
    pub responses: Vec<Response>,
    /// Whether the client stopped waiting, or its connection ended, without a response.
    pub client_gave_up: bool,
    /// Whether it had no response and was the first on its connection.
    pub is_first_on_connection: bool,
    /// When its client closed the connection.
    pub disconnected_at: Option<Duration>,
    /// Its attempts in the order in which they were received.
    pub attempts: Vec<Attempt>,
}

impl RequestHistory {
    /// The link from its limiter to a server.
    pub fn link_to(&self, server: usize) -> LinkId {
        LinkId {
            limiter: self.limiter,
            server,
        }
    }

    /// Whether a non-idempotent request was retried, or rejected, after an attempt that may have run.
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

    /// Whether an attempt arrived while an earlier one was in flight, as far as its server could observe:
    /// `is_unobserved` says whether the earlier one may have ended unobserved by that time.
    pub fn has_concurrent_attempts(
        &self,
        is_unobserved: impl Fn(&Attempt, Duration) -> bool,
    ) -> bool {
        let is_in_flight = |attempt: &Attempt, at| {
            attempt.ended_at.is_none_or(|ended| ended > at) && !is_unobserved(attempt, at)
        };
        self.attempts.iter().enumerate().any(|(i, later)| {
            self.attempts[..i]
                .iter()
                .any(|earlier| is_in_flight(earlier, later.received_at))
        })
    }
}

/// The history of all requests of a log. Attempts and responses without a request are left out.
pub fn from_log(entries: &[LogEntry]) -> BTreeMap<RequestId, RequestHistory> {
    let mut histories = Histories::default();
    for entry in entries {
        histories.add(entry.at, &entry.event);
    }
    histories.requests
}

/// An attempt's request and its place among that request's attempts.
struct AttemptPlace {
    id: RequestId,
    index: usize,
}

#[derive(Default)]
struct Histories {
    requests: BTreeMap<RequestId, RequestHistory>,
    attempts: BTreeMap<u64, AttemptPlace>,
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

    /// Adds an event to its request, where that is known.
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
                let place = AttemptPlace {
                    id: id.clone(),
                    index: request.attempts.len(),
                };
                self.attempts.insert(*attempt, place);
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

    fn end_attempt(&mut self, attempt: u64, at: Duration, was_rejected: bool) {
        let place = self.attempts.get(&attempt);
        let found = place.and_then(|place| {
            let request = self.requests.get_mut(&place.id)?;
            request.attempts.get_mut(place.index)
        });
        if let Some(attempt) = found {
            attempt.ended_at.get_or_insert(at);
            attempt.was_rejected |= was_rejected;
        }
    }
}
