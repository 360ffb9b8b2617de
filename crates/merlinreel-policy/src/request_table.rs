//! The requests in progress and their attempts. Nothing is decided here.

use crate::model::arriving_body::BodyLength;
use crate::model::attempt::AttemptResult;
use crate::model::index::{RequestIndex, ServerIndex};
use crate::model::request::Request;
use crate::quota::table::AccountIndex;
use crate::quota::window::WindowNumber;
use crate::slots::Slots;
use std::time::Duration;

/// One attempt of a request in progress.
pub struct PendingAttempt {
    /// Server that it was sent to.
    pub server: ServerIndex,
    /// When it was sent, on the limiter's clock.
    pub sent_at: Duration,
    /// No result has been received yet.
    pub in_flight: bool,
    /// Cancellation must not be requested any more: it already was, or the streamed response has started.
    pub cancelled: bool,
    /// The response is late: the attempt no longer counts against the server's concurrency limit.
    pub overdue: bool,
    /// The response that is arriving; `None` until a part of its body has arrived.
    pub response: Option<ArrivingResponse>,
}

impl PendingAttempt {
    /// An attempt that is being sent.
    pub fn new(server: ServerIndex, sent_at: Duration) -> PendingAttempt {
        PendingAttempt {
            server,
            sent_at,
            in_flight: true,
            cancelled: false,
            overdue: false,
            response: None,
        }
    }
}

/// A response that is arriving.
#[derive(Clone, Copy, Debug)]
pub struct ArrivingResponse {
    /// Length of its body, as far as known.
    pub length: BodyLength,
    /// When it was last reported that more of it had arrived.
    pub progress_at: Duration,
}

/// The first attempt to end that may have run the request; running the request again needs care from then on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FirstRun {
    /// Server that it was sent to.
    pub server: ServerIndex,
    /// When it was sent, on the limiter's clock.
    pub sent_at: Duration,
}

/// An admitted request in progress.
pub struct PendingRequest {
    /// The request as it arrived.
    pub request: Request,
    /// The account to which its units are charged.
    pub account: AccountIndex,
    /// When it arrived, on the limiter's clock.
    pub arrived_at: Duration,
    /// When its latency objective ends, on the limiter's clock.
    pub objective_at: Duration,
    /// When its client abandons it, on the limiter's clock.
    pub deadline_at: Duration,
    /// All attempts so far, in the order in which they were started.
    pub attempts: Vec<PendingAttempt>,
    /// The window to which its units were charged; `None` if they were not.
    pub window: Option<WindowNumber>,
    /// Number of requests that its charge represents; 0 if only a sample of requests is charged, without this one.
    pub sampling_factor: f64,
    /// The client has the final response or has disconnected.
    pub completed: bool,
    /// It waits in the queue for its next attempt.
    pub queued: bool,
    /// The first ended attempt that may have run the request; `None` if there is none.
    pub first_run: Option<FirstRun>,
}

impl PendingRequest {
    /// An admitted request that waits for its first attempt.
    pub fn new(
        request: &Request,
        account: AccountIndex,
        now: Duration,
        objective_at: Duration,
        window: Option<WindowNumber>,
    ) -> PendingRequest {
        PendingRequest {
            request: *request,
            account,
            arrived_at: now,
            objective_at,
            deadline_at: now + request.remaining_time,
            attempts: Vec::new(),
            window,
            sampling_factor: 1.0,
            completed: false,
            queued: true,
            first_run: None,
        }
    }

    /// Whether the result of any attempt is still outstanding.
    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }
}

/// What was known of an attempt when its result was received.
#[derive(Clone, Copy, Debug)]
pub struct EndedAttempt {
    /// Index of the request's class.
    pub class: usize,
    /// The response was late, so that the attempt no longer counted against the server's concurrency limit.
    pub overdue: bool,
}

/// The requests in progress and the queue.
#[derive(Default)]
pub struct RequestTable {
    /// The requests in progress, also those whose client is served while an attempt is still in flight.
    pub pending: Slots<RequestIndex, PendingRequest>,
    /// Requests that wait for an attempt. Entries may be outdated: only requests marked as queued are sent.
    pub queue: Vec<RequestIndex>,
}

impl RequestTable {
    /// Adds a request to the queue and marks it as queued.
    pub fn enqueue(&mut self, request: RequestIndex) {
        if let Some(pending) = self.pending.get_mut(request) {
            pending.queued = true;
            self.queue.push(request);
        }
    }

    /// Marks an attempt as ended; `None` if no such attempt is in flight.
    pub fn end_attempt(&mut self, result: &AttemptResult) -> Option<EndedAttempt> {
        let pending = self.pending.get_mut(result.request)?;
        let attempt = pending.attempts.get_mut(result.attempt as usize)?;
        if !attempt.in_flight {
            return None;
        }
        attempt.in_flight = false;
        if !result.outcome.never_ran() && pending.first_run.is_none() {
            pending.first_run = Some(FirstRun {
                server: result.server,
                sent_at: attempt.sent_at,
            });
        }
        Some(EndedAttempt {
            class: pending.request.class,
            overdue: attempt.overdue,
        })
    }
}
