//! What decisions are carried out with: jobs that are held, attempts that are out, servers and peer messages.

use super::Clock;
use crate::log;
use crate::messages::{AttemptCompletion, ClientResponse, UpstreamRequest};
use crate::peers::PeerSender;
use crate::upstream::{Attempt, ConnectionHandle, UpstreamPool};
use merlinreel_policy::*;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// An attempt that is out: of which job, which number, where, and by which connection.
pub struct InFlightAttempt {
    pub request: u32,
    pub attempt: u32,
    pub server: u32,
    pub link: ConnectionHandle,
}

/// A job that is held.
pub struct InFlightRequest {
    pub request_id: u64,
    pub until: Instant,
    pub upstream_request: Arc<UpstreamRequest>,
    pub answer: Option<oneshot::Sender<ClientResponse>>,
    pub attempts: u32,
    /// Serial numbers of the attempts that are out, with their own numbers.
    pub out: Vec<(u32, u64)>,
}

/// Everything that decisions are carried out with.
pub struct ActionExecutor {
    pub clock: Clock,
    pub servers: UpstreamPool,
    pub peer_sender: Option<PeerSender>,
    /// Attempts end so long before the client gives up.
    pub margin: Duration,
    pub in_flight: Vec<Option<InFlightRequest>>,
    pub free: Vec<u32>,
    pub request_ids: HashMap<u64, u32>,
    pub attempts: HashMap<u64, InFlightAttempt>,
    pub attempt_id: u64,
    /// Attempts that could not begin: news for the next round.
    pub unsent: Vec<AttemptResult>,
    /// Jobs that may be over once the round is.
    pub closed: Vec<u32>,
    pub wake_at: Option<Instant>,
    pub now: Instant,
}

impl ActionExecutor {
    pub fn in_flight(&mut self, request: u32) -> Option<&mut InFlightRequest> {
        self.in_flight
            .get_mut(request as usize)
            .and_then(Option::as_mut)
    }

    /// The client's final answer; there is none after it.
    pub fn answer(&mut self, request: u32, answer: ClientResponse) {
        let Some(in_flight) = self.in_flight(request) else {
            return;
        };
        if let Some(client) = in_flight.answer.take() {
            let request_id = in_flight.request_id;
            // A client that left meanwhile needs none.
            let _ = client.send(answer);
            self.request_ids.remove(&request_id);
            self.closed.push(request);
        }
    }

    /// The client has gone: no attempt begins for it any more, also where attempts that have begun may not be
    /// cancelled.
    pub fn forget_client(&mut self, request: u32) {
        let Some(in_flight) = self.in_flight(request) else {
            return;
        };
        in_flight.answer = None;
        for (_, attempt_id) in in_flight.out.clone() {
            if let Some(out) = self.attempts.get(&attempt_id) {
                out.link.withdraw(attempt_id);
            }
        }
        self.closed.push(request);
    }

    /// Attempts that have not begun leave servers that drain or are gone. Guards the rule on drains against a connection
    /// that comes up after the grace.
    pub fn withdraw_from_leaving(&self) {
        let leaving = self
            .attempts
            .iter()
            .filter(|(_, out)| !self.servers.is_up(out.server));
        leaving.for_each(|(&attempt_id, out)| out.link.withdraw(attempt_id));
    }

    /// An index is free again once its job is answered and no attempt is out.
    pub fn free_if_over(&mut self, request: u32) {
        if self
            .in_flight(request)
            .is_some_and(|in_flight| in_flight.answer.is_none() && in_flight.out.is_empty())
        {
            self.in_flight[request as usize] = None;
            self.free.push(request);
        }
    }

    /// The first good answer goes to the client as it stands.
    pub fn end_attempt(&mut self, end: AttemptCompletion) -> Option<AttemptResult> {
        let out = self.attempts.remove(&end.attempt_id)?;
        if end.reusable {
            self.servers.keep(out.server, out.link);
        }
        let in_flight = self.in_flight(out.request)?;
        in_flight
            .out
            .retain(|&(_, attempt_id)| attempt_id != end.attempt_id);
        if let Some(upstream_response) = end.upstream_response {
            self.answer(out.request, ClientResponse::Success(upstream_response));
        }
        self.closed.push(out.request);
        let finished = self
            .in_flight(out.request)
            .is_none_or(|in_flight| in_flight.answer.is_none());
        Some(AttemptResult {
            request: out.request,
            attempt: out.attempt,
            server: out.server,
            outcome: end.outcome,
            latency: end.latency,
            request_completed: finished,
            units: end.units,
            metered_usage: None,
            load: end.load,
        })
    }
}

impl Actions for ActionExecutor {
    fn start_attempt(&mut self, request: u32, server: u32, within: Option<Duration>) {
        let (now, margin, attempt_id) = (self.now, self.margin, self.attempt_id + 1);
        let Some(in_flight) = self.in_flight(request) else {
            return;
        };
        let number = in_flight.attempts;
        in_flight.attempts += 1;
        let until = in_flight
            .until
            .checked_sub(margin)
            .unwrap_or(in_flight.until);
        let begins_by = within.map(|within| now + within);
        let attempt = Attempt {
            attempt_id,
            upstream_request: in_flight.upstream_request.clone(),
            started: now,
            until,
            begins_by,
        };
        let link = if until > now {
            self.servers.send(server, attempt)
        } else {
            None
        };
        if let Some(link) = link {
            self.attempt_id = attempt_id;
            self.attempts.insert(
                attempt_id,
                InFlightAttempt {
                    request,
                    attempt: number,
                    server,
                    link,
                },
            );
            if let Some(in_flight) = self.in_flight(request) {
                in_flight.out.push((number, attempt_id));
            }
            return;
        }
        let finished = self
            .in_flight(request)
            .is_none_or(|in_flight| in_flight.answer.is_none());
        self.unsent.push(AttemptResult {
            request,
            attempt: number,
            server,
            outcome: AttemptOutcome::NotSent,
            latency: Duration::ZERO,
            request_completed: finished,
            units: None,
            metered_usage: None,
            load: LoadReport::default(),
        });
    }

    fn reject(&mut self, request: u32, retry_after: Option<Duration>) {
        self.answer(request, ClientResponse::Rejected(retry_after));
    }

    fn fail(&mut self, request: u32) {
        self.answer(request, ClientResponse::Failed);
    }

    fn cancel_attempt(&mut self, request: u32, attempt: u32) {
        let out = self
            .in_flight(request)
            .and_then(|in_flight| in_flight.out.iter().find(|(n, _)| *n == attempt).copied());
        if let Some(out) = out
            .and_then(|(_, attempt_id)| self.attempts.get(&attempt_id).map(|out| (attempt_id, out)))
        {
            out.1.link.abandon(out.0);
        }
    }

    fn start_health_check(&mut self, server: u32) {
        self.servers.probe(server);
    }

    fn send_peer_message(&mut self, limiter: u32, peer_message: &[u8]) {
        if let Some(peer_sender) = &self.peer_sender {
            peer_sender.tell(limiter, peer_message);
        }
    }

    /// A configuration with a counter is refused at start.
    fn increment_counter(&mut self, customer: u64, window: u64, _: f64, _: Duration) {
        log!("no counter to tell of customer {customer}, window {window}");
    }

    /// The server list is always watched.
    fn set_endpoint_subscription(&mut self, _: bool) {}

    fn poll_endpoints(&mut self) {}

    fn close_idle_connections(&mut self, server: u32) {
        self.servers.close_idle(server);
    }

    fn release_endpoint(&mut self, server: u32) {
        self.servers.forget(server);
    }

    fn schedule_wakeup(&mut self, after: Duration) {
        let at = self.now + after;
        self.wake_at = Some(self.wake_at.map_or(at, |set| set.min(at)));
    }

    fn log(&mut self, text: &str) {
        log!("{text}");
    }
}
