//! Requests and attempts in flight.

use crate::messages::{AttemptId, ClientResponse, UpstreamRequest};
use crate::upstream::ConnectionHandle;
use merlinreel_policy::{Index, RequestIndex, ServerIndex};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// An attempt whose result is still to come.
pub struct InFlightAttempt {
    /// Index of its request.
    pub request: RequestIndex,
    /// Its number among the attempts of its request, from 0.
    pub number: u32,
    /// Index of its server.
    pub server: ServerIndex,
    /// The connection that carries it.
    pub connection: ConnectionHandle,
}

/// Names an attempt in flight to its request.
#[derive(Clone, Copy)]
pub struct AttemptReference {
    /// The number by which the policy knows it, from 0 for each request.
    pub number: u32,
    /// Its id in this process.
    pub attempt_id: AttemptId,
}

/// A request that has no response yet, or still has attempts in flight.
pub struct InFlightRequest {
    /// The id that its client's connection gave it.
    pub request_id: u64,
    /// When the client gives up.
    pub deadline: Instant,
    /// What servers receive.
    pub upstream_request: Arc<UpstreamRequest>,
    /// Takes the response; none once that is sent, or the client has disconnected.
    pub response_sender: Option<oneshot::Sender<ClientResponse>>,
    /// How many attempts have had a number.
    pub attempts_numbered: u32,
    /// Attempts in flight.
    pub attempts: Vec<AttemptReference>,
}

impl InFlightRequest {
    /// Whether the client has its response or has disconnected.
    pub fn is_completed(&self) -> bool {
        self.response_sender.is_none()
    }

    /// When an attempt must have its response, so that it reaches the client `margin` before the deadline.
    pub fn attempt_deadline(&self, margin: Duration) -> Instant {
        self.deadline.checked_sub(margin).unwrap_or(self.deadline)
    }
}

/// The requests in flight by the index that the policy knows them by.
#[derive(Default)]
pub struct InFlightRequests {
    pub(super) slots: Vec<Option<InFlightRequest>>,
    /// Indices of empty slots.
    free: Vec<RequestIndex>,
    /// Indices of the requests that have no response and whose clients are connected.
    waiting: HashMap<u64, RequestIndex>,
}

impl InFlightRequests {
    /// How many requests have no response yet and a client that waits for it.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Adds a request and returns its index.
    pub fn insert(&mut self, request: InFlightRequest) -> RequestIndex {
        let index = self.free.pop().unwrap_or_else(|| {
            self.slots.push(None);
            RequestIndex::from_position(self.slots.len() - 1)
        });
        self.waiting.insert(request.request_id, index);
        self.slots[index.position()] = Some(request);
        index
    }

    /// The request at `index`.
    pub fn get_mut(&mut self, index: RequestIndex) -> Option<&mut InFlightRequest> {
        self.slots
            .get_mut(index.position())
            .and_then(Option::as_mut)
    }

    /// Nobody waits for the response of this request any more; returns its index where it had none yet.
    pub fn stop_waiting(&mut self, request_id: u64) -> Option<RequestIndex> {
        self.waiting.remove(&request_id)
    }

    /// Whether the request at `index` is completed or not there.
    pub fn is_completed(&self, index: RequestIndex) -> bool {
        self.slots
            .get(index.position())
            .and_then(Option::as_ref)
            .is_none_or(InFlightRequest::is_completed)
    }

    /// Frees the index of a completed request that has no attempt in flight.
    pub fn release_if_finished(&mut self, index: RequestIndex) {
        let finished = self
            .get_mut(index)
            .is_some_and(|request| request.is_completed() && request.attempts.is_empty());
        if finished {
            self.slots[index.position()] = None;
            self.free.push(index);
        }
    }
}
