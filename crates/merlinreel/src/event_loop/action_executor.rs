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
    pub job: u32,
    pub attempt: u32,
    pub server: u32,
    pub link: ConnectionHandle,
}

/// A job that is held.
pub struct InFlightRequest {
    pub ticket: u64,
    pub until: Instant,
    pub parcel: Arc<UpstreamRequest>,
    pub answer: Option<oneshot::Sender<ClientResponse>>,
    pub attempts: u32,
    /// Serial numbers of the attempts that are out, with their own numbers.
    pub out: Vec<(u32, u64)>,
}

/// Everything that decisions are carried out with.
pub struct ActionExecutor {
    pub clock: Clock,
    pub servers: UpstreamPool,
    pub post: Option<PeerSender>,
    /// Attempts end so long before the client gives up.
    pub margin: Duration,
    pub held: Vec<Option<InFlightRequest>>,
    pub free: Vec<u32>,
    pub tickets: HashMap<u64, u32>,
    pub attempts: HashMap<u64, InFlightAttempt>,
    pub serial: u64,
    /// Attempts that could not begin: news for the next round.
    pub unsent: Vec<AttemptResult>,
    /// Jobs that may be over once the round is.
    pub closed: Vec<u32>,
    pub wake_at: Option<Instant>,
    pub now: Instant,
}

impl ActionExecutor {
    pub fn held(&mut self, job: u32) -> Option<&mut InFlightRequest> {
        self.held.get_mut(job as usize).and_then(Option::as_mut)
    }

    /// The client's final answer; there is none after it.
    pub fn answer(&mut self, job: u32, answer: ClientResponse) {
        let Some(held) = self.held(job) else { return };
        if let Some(client) = held.answer.take() {
            let ticket = held.ticket;
            // A client that left meanwhile needs none.
            let _ = client.send(answer);
            self.tickets.remove(&ticket);
            self.closed.push(job);
        }
    }

    /// The client has gone: no attempt begins for it any more, also where attempts that have begun may not be
    /// cancelled.
    pub fn forget_client(&mut self, job: u32) {
        let Some(held) = self.held(job) else { return };
        held.answer = None;
        for (_, serial) in held.out.clone() {
            if let Some(out) = self.attempts.get(&serial) {
                out.link.withdraw(serial);
            }
        }
        self.closed.push(job);
    }

    /// Attempts that have not begun leave servers that drain or are gone. Guards the rule on drains against a connection
    /// that comes up after the grace.
    pub fn withdraw_from_leaving(&self) {
        let leaving = self
            .attempts
            .iter()
            .filter(|(_, out)| !self.servers.is_up(out.server));
        leaving.for_each(|(&serial, out)| out.link.withdraw(serial));
    }

    /// An index is free again once its job is answered and no attempt is out.
    pub fn free_if_over(&mut self, job: u32) {
        if self
            .held(job)
            .is_some_and(|held| held.answer.is_none() && held.out.is_empty())
        {
            self.held[job as usize] = None;
            self.free.push(job);
        }
    }

    /// The first good answer goes to the client as it stands.
    pub fn end_attempt(&mut self, end: AttemptCompletion) -> Option<AttemptResult> {
        let out = self.attempts.remove(&end.serial)?;
        if end.reusable {
            self.servers.keep(out.server, out.link);
        }
        let held = self.held(out.job)?;
        held.out.retain(|&(_, serial)| serial != end.serial);
        if let Some(delivery) = end.delivery {
            self.answer(out.job, ClientResponse::Success(delivery));
        }
        self.closed.push(out.job);
        let finished = self.held(out.job).is_none_or(|held| held.answer.is_none());
        Some(AttemptResult {
            request: out.job,
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
    fn start_attempt(&mut self, job: u32, server: u32, within: Option<Duration>) {
        let (now, margin, serial) = (self.now, self.margin, self.serial + 1);
        let Some(held) = self.held(job) else { return };
        let number = held.attempts;
        held.attempts += 1;
        let until = held.until.checked_sub(margin).unwrap_or(held.until);
        let begins_by = within.map(|within| now + within);
        let attempt = Attempt {
            serial,
            parcel: held.parcel.clone(),
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
            self.serial = serial;
            self.attempts.insert(
                serial,
                InFlightAttempt {
                    job,
                    attempt: number,
                    server,
                    link,
                },
            );
            if let Some(held) = self.held(job) {
                held.out.push((number, serial));
            }
            return;
        }
        let finished = self.held(job).is_none_or(|held| held.answer.is_none());
        self.unsent.push(AttemptResult {
            request: job,
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

    fn reject(&mut self, job: u32, retry_after: Option<Duration>) {
        self.answer(job, ClientResponse::Rejected(retry_after));
    }

    fn fail(&mut self, job: u32) {
        self.answer(job, ClientResponse::Failed);
    }

    fn cancel_attempt(&mut self, job: u32, attempt: u32) {
        let out = self
            .held(job)
            .and_then(|held| held.out.iter().find(|(n, _)| *n == attempt).copied());
        if let Some(out) =
            out.and_then(|(_, serial)| self.attempts.get(&serial).map(|out| (serial, out)))
        {
            out.1.link.abandon(out.0);
        }
    }

    fn start_health_check(&mut self, server: u32) {
        self.servers.probe(server);
    }

    fn send_peer_message(&mut self, limiter: u32, peer_message: &[u8]) {
        if let Some(post) = &self.post {
            post.tell(limiter, peer_message);
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
