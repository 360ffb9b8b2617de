//! Decides which of the queued requests get an attempt now.

use super::completion::reject_or_fail;
use super::retry::{may_attempt, must_arrive_within};
use crate::actions::Actions;
use crate::model::index::{RequestIndex, ServerIndex};
use crate::model::limiter_config::LimiterConfig;
use crate::quota::table::QuotaTable;
use crate::request_table::{PendingAttempt, PendingRequest, RequestTable};
use crate::server::pool::ServerPool;
use crate::server::pool_latency::PoolLatency;
use crate::server::selection::Selection;
use crate::time;
use nanorand::WyRand;
use std::cmp::Reverse;
use std::time::Duration;

/// Lower bound of a latency objective, by which a request's value is divided.
const MIN_OBJECTIVE_SECONDS: f64 = 0.001;
/// Lower bound of a request's value, by which the highest value in the queue is divided.
const MIN_VALUE: f64 = 1e-9;
/// A request is sent only if this many typical latencies remain until its latency objective and its deadline.
const NEEDED_TYPICAL_LATENCIES: f64 = 1.5;
/// The remaining time required is at most the latency objective divided by this, so that slow responses never stop all
/// attempts permanently.
const NEEDED_OBJECTIVE_DIVISOR: f64 = 2.0;

/// The state that dispatching the queue reads and updates.
pub struct Dispatch<'a> {
    /// The limiter's configuration.
    pub config: &'a LimiterConfig,
    /// The customers' accounts: a rejected request that was never sent gets its units back.
    pub quotas: &'a mut QuotaTable,
    /// The servers that attempts are sent to.
    pub servers: &'a mut ServerPool,
    /// Latency and error rates over all servers.
    pub latency: &'a mut PoolLatency,
    /// The requests in progress and the queue.
    pub requests: &'a mut RequestTable,
    /// The limiter's random number generator.
    pub random: &'a mut WyRand,
}

impl Dispatch<'_> {
    /// Starts attempts for queued requests as far as servers have capacity, and ends those that can no longer succeed.
    pub fn run(&mut self, now: Duration, actions: &mut dyn Actions) {
        let queue = std::mem::take(&mut self.requests.queue);
        let responses_seen = self.latency.successes.sum(now) > 0.0;
        for request in self.sorted(now, queue) {
            let Some(pending) = self.requests.pending.get(request) else {
                continue;
            };
            if pending.completed || !pending.queued {
                continue;
            }
            let cannot_meet_deadline = self.cannot_meet_deadline(now, pending, responses_seen);
            if cannot_meet_deadline || !may_attempt(now, self.config, pending) {
                reject_or_fail(
                    now,
                    request,
                    self.config,
                    self.quotas,
                    self.requests,
                    actions,
                );
                continue;
            }
            match self.select(now, request) {
                Some(server) => self.start_attempt(now, request, server, actions),
                None => self.requests.queue.push(request),
            }
        }
    }

    /// Sorts the queue by value, highest first, in bands that each span a factor of two below the highest value. Within
    /// a band the newest request is first: under overload the newest get a response in time, while oldest first would
    /// make all late.
    fn sorted(&self, now: Duration, mut queue: Vec<RequestIndex>) -> Vec<RequestIndex> {
        let max_value = queue
            .iter()
            .filter_map(|&request| self.requests.pending.get(request))
            .map(|pending| self.value(pending))
            .fold(0.0, f64::max);
        queue.sort_by_cached_key(|&request| match self.requests.pending.get(request) {
            Some(pending) => {
                let ratio = max_value / self.value(pending).max(MIN_VALUE);
                (ratio.log2() as u32, Reverse(pending.arrived_at))
            }
            None => (0, Reverse(now)),
        });
        queue
    }

    /// Value of a timely response to the request, per second of its latency objective.
    fn value(&self, pending: &PendingRequest) -> f64 {
        let class = &self.config.classes[pending.request.class];
        let plan = &self.config.plans[pending.request.plan];
        let objective_seconds = time::seconds(class.latency_objective);
        class.priority_weight * plan.plan_weight / objective_seconds.max(MIN_OBJECTIVE_SECONDS)
    }

    /// Whether a response would probably come after the latency objective or the deadline. While no recent response is
    /// known, no time is required: a limiter whose requests all have little time left would otherwise never learn how
    /// fast its servers are.
    fn cannot_meet_deadline(
        &self,
        now: Duration,
        pending: &PendingRequest,
        responses_seen: bool,
    ) -> bool {
        let class = &self.config.classes[pending.request.class];
        let max_seconds = time::seconds(class.latency_objective) / NEEDED_OBJECTIVE_DIVISOR;
        let needed_seconds = if responses_seen {
            (self.latency.typical_seconds * NEEDED_TYPICAL_LATENCIES).min(max_seconds)
        } else {
            0.0
        };
        let ends_at = pending.objective_at.min(pending.deadline_at);
        now + time::from_seconds(needed_seconds) >= ends_at
    }

    /// Selects the server for the request's next attempt; `None` if no allowed server has capacity.
    pub fn select(&mut self, now: Duration, request: RequestIndex) -> Option<ServerIndex> {
        let pending = self.requests.pending.get(request)?;
        let selection = Selection {
            now,
            fleet: &self.config.fleet,
            config: &self.config.endpoints,
            latency: self.latency,
            request: pending,
            idempotency: self.config.classes[pending.request.class].idempotency,
            queue_is_empty: self.requests.queue.is_empty(),
        };
        selection.select(self.servers, self.random)
    }

    fn start_attempt(
        &mut self,
        now: Duration,
        request: RequestIndex,
        server: ServerIndex,
        actions: &mut dyn Actions,
    ) {
        let Some(pending) = self.requests.pending.get_mut(request) else {
            return;
        };
        let Some(upstream) = self.servers.servers.get_mut(server) else {
            return;
        };
        pending.queued = false;
        pending.attempts.push(PendingAttempt::new(server, now));
        if upstream.limit.in_flight == 0 {
            upstream.health.unanswered_since = now;
        }
        upstream.limit.in_flight += 1;
        upstream.recent_attempts.add(now, 1.0);
        let within = must_arrive_within(now, self.config, pending);
        actions.start_attempt(request, server, within);
    }
}
