//! Requests and attempts in flight.

use crate::messages::{AttemptId, ClientResponse, UpstreamRequest};
use crate::upstream::ConnectionHandle;
use merlinreel_policy::{Index, RequestIndex, ServerIndex};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// An attempt that has no result yet.
pub struct InFlightAttempt {
    /// The request that the attempt is made for.
    pub request: RequestIndex,
    /// Position among the attempts of the request, from 0.
    pub number: u32,
    /// The server at which the attempt is made.
    pub server: ServerIndex,
    /// The connection that carries the attempt.
    pub connection: ConnectionHandle,
    /// When it was first reported that a part of the response has arrived that is not known to be short.
    pub response_began_at: Option<Instant>,
}

/// Refers from a request to one of its attempts in flight.
#[derive(Clone, Copy)]
pub struct AttemptReference {
    /// The policy's number for the attempt: its position among the attempts of the request, from 0.
    pub number: u32,
    /// The attempt's id, unique within this process.
    pub attempt_id: AttemptId,
}

/// A request that has no response yet, or still has attempts in flight.
pub struct InFlightRequest {
    /// The id assigned when the request was read from the client's connection; names the request in disconnect events.
    pub request_id: u64,
    /// When the client stops waiting for a response.
    pub deadline: Instant,
    /// The request as it is sent to servers, shared by all attempts.
    pub upstream_request: Arc<UpstreamRequest>,
    /// Where the response is sent; `None` once it was sent or the client has disconnected.
    pub response_sender: Option<oneshot::Sender<ClientResponse>>,
    /// The number of the next attempt; those that could not be sent count too.
    pub next_attempt_number: u32,
    /// Attempts in flight.
    pub attempts: Vec<AttemptReference>,
    /// When the response of the first attempt began that was cancelled while its response was arriving.
    pub cancelled_response_began_at: Option<Instant>,
}

impl InFlightRequest {
    /// Whether the response was sent or the client has disconnected.
    pub fn is_completed(&self) -> bool {
        self.response_sender.is_none()
    }

    /// Records that a server may have run the request.
    pub fn record_possible_run(&self) {
        if let Some(permit) = &self.upstream_request.permit {
            permit.record_possible_run();
        }
    }

    /// Until when an attempt may wait for a response, so that the response can reach the client `margin` before the
    /// client's deadline.
    pub fn attempt_deadline(&self, margin: Duration) -> Instant {
        self.deadline.checked_sub(margin).unwrap_or(self.deadline)
    }
}

/// The requests in flight, by the index that the policy uses for them.
#[derive(Default)]
pub struct InFlightRequests {
    pub(super) slots: Vec<Option<InFlightRequest>>,
    /// Indices of empty slots, which are reused.
    free: Vec<RequestIndex>,
    /// Indices of the requests without a response whose clients are connected, by request id.
    waiting: HashMap<u64, RequestIndex>,
}

impl InFlightRequests {
    /// The number of requests that have no response yet and whose clients are connected.
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

    /// The request at `index`; `None` if that slot is empty.
    pub fn get_mut(&mut self, index: RequestIndex) -> Option<&mut InFlightRequest> {
        self.slots
            .get_mut(index.position())
            .and_then(Option::as_mut)
    }

    /// Marks a request as no longer waiting for a response. Returns its index, or `None` if it was not waiting.
    pub fn stop_waiting(&mut self, request_id: u64) -> Option<RequestIndex> {
        self.waiting.remove(&request_id)
    }

    /// Whether the request at `index` is completed; true if there is no such request.
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
