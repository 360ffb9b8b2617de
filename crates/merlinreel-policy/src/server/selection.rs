//! Decides which server an attempt goes to.

use super::fleet_latency::FleetLatency;
use super::pool::ServerPool;
use super::server_state::Server;
use crate::model::endpoint::{Endpoint, EndpointConfig};
use crate::model::fleet::FleetConfig;
use crate::model::index::ServerIndex;
use crate::model::request_class::{Idempotency, IdempotencyScope};
use crate::request_table::PendingRequest;
use crate::time;
use nanorand::{Rng, WyRand};
use std::time::Duration;

/// Less than this share of the limits in use leaves capacity for what comes within the quotas.
const SPARE_SHARE: f64 = 0.5;
/// The golden ratio spreads the phases of servers evenly, and each interval moves them on by the rest of it.
const PHASE_PER_SERVER: f64 = 0.618;
const PHASE_PER_INTERVAL: f64 = 0.382;
/// Outlasts most attempts.
const PHASE_INTERVAL_SECONDS: f64 = 0.5;
/// An attempt in this share of an overload window in which a part of an attempt is due.
const SLOW_START_PHASE_SHARE: f64 = 0.5;
const OTHER_ZONE_FACTOR: f64 = 1.02;
const RANDOM_SPREAD: f64 = 0.05;
const LEAST_SUCCESS_RATE: f64 = 0.05;
const SUCCESS_RATE_POWER: i32 = 4;

/// What the selection of a server for one attempt reads.
pub struct Selection<'a> {
    /// The time.
    pub now: Duration,
    /// The limiters.
    pub fleet: &'a FleetConfig,
    /// Settings of servers.
    pub config: &'a EndpointConfig,
    /// What is known of all servers together.
    pub latency: &'a FleetLatency,
    /// The request.
    pub request: &'a PendingRequest,
    /// Whether it may run again.
    pub idempotency: Idempotency,
    /// No request waits for an attempt.
    pub queue_is_empty: bool,
}

/// A server and what an attempt there is expected to cost.
#[derive(Clone, Copy)]
struct Candidate {
    server: ServerIndex,
    cost: f64,
}

impl Selection<'_> {
    /// Selects the server with the least expected cost, of those that are below their concurrency limits. Also notes in
    /// the pool whether it has capacity to spare, and which servers have finished their slow start.
    pub fn select(&self, pool: &mut ServerPool, random: &mut WyRand) -> Option<ServerIndex> {
        if !self.has_fleet_capacity(pool) {
            return None;
        }
        let first_server = self.request.first_run.map(|run| run.server);
        let origin = first_server
            .and_then(|server| pool.servers.get(server))
            .map(|server| server.endpoint);
        let subset_scale = pool.subset_scale;
        let full_capacity_attempts = pool.full_capacity_attempts;
        let mut best: Option<Candidate> = None;
        for (index, server) in pool.servers.iter_mut() {
            if !self.is_allowed(index, server, origin.as_ref()) {
                continue;
            }
            let capacity = server.capacity_fraction(self.now, self.config);
            if capacity >= 1.0 {
                server.slow_start_since = None;
            }
            let phase = self.phase(index);
            let limit = self.limit(server, capacity, subset_scale, phase);
            if f64::from(server.limit.in_flight) + 1.0 > limit
                || self.is_slow_start_share_used(server, capacity, full_capacity_attempts, phase)
            {
                continue;
            }
            let cost = self.cost(index, server, random);
            if best.is_none_or(|best| cost < best.cost) {
                best = Some(Candidate {
                    server: index,
                    cost,
                });
            }
        }
        best.map(|best| best.server)
    }

    /// Whether all limits together allow another attempt. Where limiters are many a single limit is a part of an attempt.
    fn has_fleet_capacity(&self, pool: &mut ServerPool) -> bool {
        let mut limit = 0.0;
        let mut in_flight = 0.0;
        for server in pool.servers.values() {
            in_flight += f64::from(server.limit.in_flight);
            if server.is_subset_member() && !server.is_ejected(self.now) {
                limit += server.limit.attempts
                    * self.latency.limit_multiplier
                    * pool.subset_scale
                    * server.capacity_fraction(self.now, self.config);
            }
        }
        pool.has_spare_capacity = in_flight < SPARE_SHARE * limit && self.queue_is_empty;
        in_flight + 1.0 <= limit.max(1.0)
    }

    /// Whether the request may go to a server at all.
    fn is_allowed(&self, index: ServerIndex, server: &Server, origin: Option<&Endpoint>) -> bool {
        let has_attempt_there = self
            .request
            .attempts
            .iter()
            .any(|attempt| attempt.in_flight && attempt.server == index);
        // A request that may have run goes anywhere in its scope, which may hold no server of the subset.
        let outside_subset = server.outside_subset && origin.is_none();
        if has_attempt_there || outside_subset || !server.eligible || server.is_ejected(self.now) {
            return false;
        }
        let (Some(origin), Idempotency::IdempotencyKey(scope, _)) = (origin, self.idempotency)
        else {
            return true;
        };
        match scope {
            IdempotencyScope::All => true,
            IdempotencyScope::Zone => origin.zone == server.endpoint.zone,
            IdempotencyScope::Cell => origin.cell == server.endpoint.cell,
        }
    }

    /// A number from 0 to 1 that is different at each limiter, server and interval of time, and evenly spread.
    fn phase(&self, server: ServerIndex) -> f64 {
        let interval = time::seconds(self.now).div_euclid(PHASE_INTERVAL_SECONDS);
        let phase = f64::from(server.0) * PHASE_PER_SERVER + interval * PHASE_PER_INTERVAL;
        let limiter = f64::from(self.fleet.own_index) / f64::from(self.fleet.limiters);
        (phase + limiter).fract()
    }

    /// Attempts that the server may have in flight now. A fraction of an attempt is a full one for that
    /// fraction of the time, at one limiter after the other, so that not all send to one server at once.
    fn limit(&self, server: &Server, capacity: f64, subset_scale: f64, phase: f64) -> f64 {
        let is_on_trial =
            server.health.consecutive_failures > 0 || server.is_failing(self.latency.error_rate);
        let full_limit = if is_on_trial {
            server.limit.attempts.min(1.0)
        } else {
            server.limit.attempts * self.latency.limit_multiplier * subset_scale
        };
        let limit = full_limit * capacity;
        let full_attempts = limit.floor();
        if phase < limit.fract() {
            full_attempts + 1.0
        } else {
            full_attempts
        }
    }

    /// Whether a starting server was already sent its share. All limiters together send it what a server with full
    /// capacity is sent, times its fraction of capacity, far below its overload factor. Here too a fraction of an attempt is
    /// a full one in some of the limiter's phases.
    fn is_slow_start_share_used(
        &self,
        server: &mut Server,
        capacity: f64,
        full_capacity_attempts: f64,
        phase: f64,
    ) -> bool {
        let left = full_capacity_attempts * capacity - server.recent_attempts.sum(self.now);
        let window_seconds = time::seconds(self.config.overload_window);
        capacity < 1.0 && left < 1.0 && phase * window_seconds >= left * SLOW_START_PHASE_SHARE
    }

    /// The time that the attempt is expected to take there, with a malus for other zones, errors and servers where the
    /// request was before.
    fn cost(&self, index: ServerIndex, server: &Server, random: &mut WyRand) -> f64 {
        let attempts_there = self
            .request
            .attempts
            .iter()
            .filter(|attempt| attempt.server == index)
            .count();
        let latency_seconds = if server.latency_seconds > 0.0 {
            server.latency_seconds
        } else {
            self.latency.typical_seconds
        };
        let zone_factor = if server.endpoint.zone == self.config.zone {
            1.0
        } else {
            OTHER_ZONE_FACTOR
        };
        let random_factor = 1.0 + RANDOM_SPREAD * random.generate::<f64>();
        let success_rate = (1.0 - server.health.error_rate).max(LEAST_SUCCESS_RATE);
        let in_flight = f64::from(server.limit.in_flight + 1);
        latency_seconds * in_flight * zone_factor * random_factor * (1 + attempts_there) as f64
            / success_rate.powi(SUCCESS_RATE_POWER)
    }
}
