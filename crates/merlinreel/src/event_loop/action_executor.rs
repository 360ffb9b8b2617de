//! Carries out the policy's decisions: starts and cancels attempts, responds to clients, sends peer messages.

use super::clock::Clock;
use super::in_flight::{AttemptReference, InFlightAttempt, InFlightRequests};
use crate::log;
use crate::messages::{AttemptCompletion, AttemptId, AttemptProgress, ClientResponse};
use crate::peers::PeerSocket;
use crate::telemetry::metrics::Metrics;
use crate::upstream::{Attempt, ConnectionHandle, UpstreamPool};
use merlinreel_policy::{Actions, AttemptOutcome, AttemptResult, LoadReport};
use merlinreel_policy::{RejectReason, RequestIndex, ResponseProgress, ServerIndex};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The state that the policy's actions read and change.
pub struct ActionExecutor {
    /// Converts instants to the Unix time that the policy uses.
    pub clock: Clock,
    /// The pool of connections to servers.
    pub upstreams: UpstreamPool,
    /// The socket for peer messages; `None` if limiters exchange none.
    pub peer_socket: Option<PeerSocket>,
    /// How long before its client's deadline an attempt must end, so that the response reaches the client in time.
    pub response_margin: Duration,
    /// Requests in flight, by index.
    pub requests: InFlightRequests,
    /// Attempts in flight, by id.
    pub attempts: HashMap<AttemptId, InFlightAttempt>,
    /// Id of the attempt that was started last; 0 before the first one.
    pub last_attempt_id: AttemptId,
    /// Results of attempts of the current batch that could not be sent; the next batch reports them to the policy.
    pub not_sent: Vec<AttemptResult>,
    /// Indices of requests to check at the end of the batch; those that are finished are released.
    pub maybe_finished: Vec<RequestIndex>,
    /// Metrics, in which rejections are counted.
    pub metrics: Arc<Metrics>,
    /// When the policy is to be called again even without an event; `None` if it has asked for no wakeup.
    pub wake_at: Option<Instant>,
    /// The time of the current batch.
    pub now: Instant,
}

impl ActionExecutor {
    /// Creates an executor without requests.
    pub fn new(
        clock: Clock,
        upstreams: UpstreamPool,
        peer_socket: Option<PeerSocket>,
        response_margin: Duration,
        metrics: Arc<Metrics>,
    ) -> ActionExecutor {
        ActionExecutor {
            clock,
            upstreams,
            peer_socket,
            response_margin,
            requests: InFlightRequests::default(),
            attempts: HashMap::new(),
            last_attempt_id: AttemptId::default(),
            not_sent: Vec::new(),
            maybe_finished: Vec::new(),
            metrics,
            wake_at: None,
            now: Instant::now(),
        }
    }

    /// Sends the client its final response. Drops the response if the client had one before or has disconnected.
    pub fn send_response(&mut self, request: RequestIndex, response: ClientResponse) {
        let Some(in_flight) = self.requests.get_mut(request) else {
            return;
        };
        if let Some(response_sender) = in_flight.response_sender.take() {
            let request_id = in_flight.request_id;
            // Sending fails if the client has disconnected meanwhile; the response is then not needed.
            let _ = response_sender.send(response);
            self.requests.stop_waiting(request_id);
            self.maybe_finished.push(request);
        }
    }

    /// Handles the disconnect of a request's client: cancels the attempts of which nothing was written yet, even if the
    /// settings forbid the cancellation of started attempts.
    pub fn handle_disconnect(&mut self, request: RequestIndex) {
        let Some(in_flight) = self.requests.get_mut(request) else {
            return;
        };
        in_flight.response_sender = None;
        for reference in &in_flight.attempts {
            if let Some(attempt) = self.attempts.get(&reference.attempt_id) {
                attempt
                    .connection
                    .cancel_if_not_started(reference.attempt_id);
            }
        }
        self.maybe_finished.push(request);
    }

    /// Cancels attempts of which nothing was written yet at servers that are draining or removed: their connections
    /// might be established only after the drain grace.
    pub fn cancel_unstarted_attempts_at_unready_servers(&self) {
        for (&attempt_id, attempt) in &self.attempts {
            if !self.upstreams.is_ready(attempt.server) {
                attempt.connection.cancel_if_not_started(attempt_id);
            }
        }
    }

    /// Frees the indices of finished requests.
    pub fn release_finished_requests(&mut self) {
        for request in std::mem::take(&mut self.maybe_finished) {
            self.requests.release_if_finished(request);
        }
    }

    /// Handles the completion of an attempt: returns a reusable connection to the pool and sends a successful response
    /// to the client. Returns the result for the policy, or `None` if the attempt or its request is not in flight.
    pub fn complete_attempt(&mut self, completion: AttemptCompletion) -> Option<AttemptResult> {
        let attempt = self.attempts.remove(&completion.attempt_id)?;
        if completion.reusable {
            self.upstreams
                .return_connection(attempt.server, attempt.connection);
        }
        let in_flight = self.requests.get_mut(attempt.request)?;
        in_flight
            .attempts
            .retain(|reference| reference.attempt_id != completion.attempt_id);
        if !completion.outcome.never_ran() {
            in_flight.record_possible_run();
        }
        if let Some(response) = completion.upstream_response {
            self.send_response(attempt.request, ClientResponse::Success(response));
        }
        self.maybe_finished.push(attempt.request);
        Some(AttemptResult {
            request: attempt.request,
            attempt: attempt.number,
            server: attempt.server,
            outcome: completion.outcome,
            latency: completion.latency,
            request_completed: self.requests.is_completed(attempt.request),
            units: completion.units,
            metered_usage: None,
            load: completion.load,
        })
    }

    /// Names the request of an attempt of whose response more has arrived. `None` if the attempt is not in flight.
    pub fn locate_progress(&mut self, progress: AttemptProgress) -> Option<ResponseProgress> {
        let attempt = self.attempts.get_mut(&progress.attempt_id)?;
        attempt.response_began_at.get_or_insert(self.now);
        Some(ResponseProgress {
            request: attempt.request,
            attempt: attempt.number,
            length: progress.length,
        })
    }

    /// Records an attempt that was handed to a connection.
    fn track_attempt(&mut self, attempt_id: AttemptId, attempt: InFlightAttempt) {
        self.last_attempt_id = attempt_id;
        if let Some(in_flight) = self.requests.get_mut(attempt.request) {
            in_flight.attempts.push(AttemptReference {
                number: attempt.number,
                attempt_id,
            });
        }
        self.attempts.insert(attempt_id, attempt);
    }

    /// Queues the result of an attempt that could not be handed to a connection.
    fn report_not_sent(&mut self, request: RequestIndex, number: u32, server: ServerIndex) {
        self.not_sent.push(AttemptResult {
            request,
            attempt: number,
            server,
            outcome: AttemptOutcome::NotSent,
            latency: Duration::ZERO,
            request_completed: self.requests.is_completed(request),
            units: None,
            metered_usage: None,
            load: LoadReport::default(),
        });
    }

    fn send_attempt(&mut self, server: ServerIndex, attempt: Attempt) -> Option<ConnectionHandle> {
        if attempt.deadline > self.now {
            self.upstreams.start_attempt(server, attempt)
        } else {
            None
        }
    }
}

impl Actions for ActionExecutor {
    fn start_attempt(
        &mut self,
        request: RequestIndex,
        server: ServerIndex,
        within: Option<Duration>,
    ) {
        let attempt_id = self.last_attempt_id.next();
        let response_margin = self.response_margin;
        let Some(in_flight) = self.requests.get_mut(request) else {
            return;
        };
        let number = in_flight.next_attempt_number;
        in_flight.next_attempt_number += 1;
        let attempt = Attempt {
            attempt_id,
            upstream_request: in_flight.upstream_request.clone(),
            started: self.now,
            deadline: in_flight.attempt_deadline(response_margin),
            write_deadline: within.map(|within| self.now + within),
            earlier_response_age: in_flight
                .cancelled_response_began_at
                .map(|began_at| self.now.saturating_duration_since(began_at)),
        };
        match self.send_attempt(server, attempt) {
            Some(connection) => self.track_attempt(
                attempt_id,
                InFlightAttempt {
                    request,
                    number,
                    server,
                    connection,
                    response_began_at: None,
                },
            ),
            None => self.report_not_sent(request, number, server),
        }
    }

    fn reject(
        &mut self,
        request: RequestIndex,
        reason: RejectReason,
        retry_after: Option<Duration>,
    ) {
        self.metrics.count_rejection(reason);
        self.send_response(request, ClientResponse::Rejected(retry_after));
    }

    fn fail(&mut self, request: RequestIndex) {
        self.send_response(request, ClientResponse::Failed);
    }

    fn cancel_attempt(&mut self, request: RequestIndex, attempt: u32) {
        let Some(in_flight) = self.requests.get_mut(request) else {
            return;
        };
        let reference = in_flight
            .attempts
            .iter()
            .find(|reference| reference.number == attempt);
        let Some(&AttemptReference { attempt_id, .. }) = reference else {
            return;
        };
        if let Some(attempt) = self.attempts.get(&attempt_id) {
            attempt.connection.cancel(attempt_id);
            in_flight.cancelled_response_began_at = in_flight
                .cancelled_response_began_at
                .or(attempt.response_began_at);
        }
    }

    fn start_health_check(&mut self, server: ServerIndex) {
        self.upstreams.start_health_check(server);
    }

    fn send_peer_message(&mut self, limiter: u32, peer_message: &[u8]) {
        if let Some(peer_socket) = &self.peer_socket {
            peer_socket.send(limiter, peer_message);
        }
    }

    /// Never called: a configuration with a counter service is rejected at startup.
    fn increment_counter(&mut self, customer: u64, window: u64, _: f64, _: Duration) {
        log!(
            "counter service: none is configured; an increment for customer {customer}, window {window} was dropped"
        );
    }

    /// Does nothing: the endpoint list is always watched.
    fn set_endpoint_subscription(&mut self, _: bool) {}

    /// Does nothing: the endpoint list is always watched.
    fn poll_endpoints(&mut self) {}

    fn close_idle_connections(&mut self, server: ServerIndex) {
        self.upstreams.close_idle_connections(server);
    }

    fn release_endpoint(&mut self, server: ServerIndex) {
        self.upstreams.release_endpoint(server);
    }

    fn schedule_wakeup(&mut self, after: Duration) {
        let at = self.now + after;
        self.wake_at = Some(self.wake_at.map_or(at, |set| set.min(at)));
    }

    fn log(&mut self, text: &str) {
        log!("{text}");
    }
}
