//! The requests in progress and their attempts; nothing is decided here.

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
    /// When it was sent.
    pub sent_at: Duration,
    /// Its result has not come yet.
    pub in_flight: bool,
    /// Its cancellation was asked for, or must not be asked for any more.
    pub cancelled: bool,
    /// Its response is no longer expected, and it no longer counts against the server's concurrency limit.
    pub overdue: bool,
}

/// The first attempt of a request that may have run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FirstRun {
    /// Server that it was sent to.
    pub server: ServerIndex,
    /// When it was sent.
    pub sent_at: Duration,
}

/// A request that was admitted.
pub struct PendingRequest {
    /// The request as it arrived.
    pub request: Request,
    /// The account that it counts against.
    pub account: AccountIndex,
    /// When it arrived.
    pub arrived_at: Duration,
    /// When its latency objective ends.
    pub objective_at: Duration,
    /// When its client abandons it.
    pub deadline_at: Duration,
    /// Its attempts so far.
    pub attempts: Vec<PendingAttempt>,
    /// The window that its units were charged to, if they were.
    pub window: Option<WindowNumber>,
    /// Number of requests like it that its charge stands for.
    pub sampling_factor: f64,
    /// The client has the final response.
    pub completed: bool,
    /// It waits for its next attempt.
    pub queued: bool,
    /// The first attempt that may have run.
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

    /// Whether an attempt of it is in flight.
    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }
}

/// What was known of an attempt when its result came.
#[derive(Clone, Copy, Debug)]
pub struct EndedAttempt {
    /// Index of the request's class.
    pub class: usize,
    /// It was overdue.
    pub overdue: bool,
}

/// The requests in progress, by their index, and those that wait for an attempt.
#[derive(Default)]
pub struct RequestTable {
    /// The requests in progress.
    pub pending: Slots<RequestIndex, PendingRequest>,
    /// Requests that wait for an attempt.
    pub queue: Vec<RequestIndex>,
}

impl RequestTable {
    /// Puts a request into the queue.
    pub fn enqueue(&mut self, request: RequestIndex) {
        if let Some(pending) = self.pending.get_mut(request) {
            pending.queued = true;
            self.queue.push(request);
        }
    }

    /// Marks an attempt as ended; `None` where no such attempt is in flight.
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
