//! Decides which server an attempt is sent to.

use super::pool::ServerPool;
use super::pool_latency::PoolLatency;
use super::server_state::Server;
use crate::model::endpoint::{Endpoint, EndpointConfig};
use crate::model::fleet::FleetConfig;
use crate::model::index::ServerIndex;
use crate::model::request_class::{Idempotency, IdempotencyScope};
use crate::request_table::PendingRequest;
use crate::time;
use nanorand::{Rng, WyRand};
use std::time::Duration;

/// There is spare capacity for requests beyond the quotas while less than this fraction of the concurrency limits is in
/// use; the rest is left for requests within the quotas.
const MAX_SPARE_UTILIZATION_FRACTION: f64 = 0.5;
/// Phase added per server index: multiples of the golden ratio, modulo 1, are evenly spread.
const PHASE_PER_SERVER: f64 = 0.618;
/// Phase added per interval: one minus the golden ratio.
const PHASE_PER_INTERVAL: f64 = 0.382;
/// Time after which the phases change; longer than most attempts.
const PHASE_INTERVAL_SECONDS: f64 = 0.5;
/// A starting server to which less than one attempt is still due in an overload window is sent an attempt only while
/// `phase * window_seconds < due_attempts * SLOW_START_PHASE_SECONDS`.
const SLOW_START_PHASE_SECONDS: f64 = 0.5;
/// Multiplies the cost of servers in other zones: among servers of nearly equal cost, the limiter's own zone is
/// preferred.
const OTHER_ZONE_COST_FACTOR: f64 = 1.02;
/// The cost is multiplied by a random factor between 1 and 1 plus this fraction, so that attempts are spread over
/// servers of nearly equal cost.
const COST_JITTER_FRACTION: f64 = 0.05;
/// Lower bound of the success rate by which the cost is divided: keeps the cost of a server that always fails finite.
const MIN_SUCCESS_RATE: f64 = 0.05;
/// The cost is divided by the success rate to this power: a server that fails fast has few attempts in flight, and
/// would otherwise look idle.
const SUCCESS_RATE_EXPONENT: i32 = 4;

/// Input for the selection of a server for one attempt.
pub struct Selection<'a> {
    /// Current time by the limiter's clock.
    pub now: Duration,
    /// Number of limiters and this limiter's index, by which fractions of attempts are spread over the fleet.
    pub fleet: &'a FleetConfig,
    /// This limiter's zone, and the settings of the slow start and the overload window.
    pub config: &'a EndpointConfig,
    /// Latency, error rate and limit multiplier over all servers.
    pub latency: &'a PoolLatency,
    /// The request that needs an attempt, with its earlier attempts.
    pub request: &'a PendingRequest,
    /// Idempotency of the request's class, which may restrict where the request is retried.
    pub idempotency: Idempotency,
    /// Whether no other request waits for an attempt.
    pub queue_is_empty: bool,
}

/// A server that may be selected, and the expected cost of an attempt there (see [`Selection::cost`]).
#[derive(Clone, Copy)]
struct Candidate {
    server: ServerIndex,
    cost: f64,
}

impl Selection<'_> {
    /// Selects the server with the lowest expected cost among the allowed servers that are below their concurrency
    /// limits; `None` where there is none. Also records in the pool whether there is spare capacity, and which of the
    /// servers have finished their slow start.
    pub fn select(&self, pool: &mut ServerPool, random: &mut WyRand) -> Option<ServerIndex> {
        if !self.total_limit_allows_attempt(pool) {
            return None;
        }
        let first_server = self.request.first_run.map(|run| run.server);
        let first_endpoint = first_server
            .and_then(|server| pool.servers.get(server))
            .map(|server| server.endpoint);
        let subset_scale = pool.subset_scale;
        let full_capacity_attempts = pool.full_capacity_attempts;
        let mut best: Option<Candidate> = None;
        for (index, server) in pool.servers.iter_mut() {
            if !self.is_allowed(index, server, first_endpoint.as_ref()) {
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

    /// Whether the sum of the concurrency limits, scaled from the subset to all servers, allows another attempt; the
    /// sum counts as 1 at least. The limits are also checked together because, where limiters are many, the limit of a
    /// single server is a fraction of an attempt.
    fn total_limit_allows_attempt(&self, pool: &mut ServerPool) -> bool {
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
        pool.has_spare_capacity =
            in_flight < MAX_SPARE_UTILIZATION_FRACTION * limit && self.queue_is_empty;
        in_flight + 1.0 <= limit.max(1.0)
    }

    /// Whether the request may be sent to a server, regardless of the server's concurrency limit: the server is
    /// eligible, not ejected, has no attempt of this request in flight, and is in the subset and in the scope of the
    /// idempotency key where these apply. `first_endpoint` is the server of the first attempt that may have run, if
    /// there was one.
    fn is_allowed(
        &self,
        index: ServerIndex,
        server: &Server,
        first_endpoint: Option<&Endpoint>,
    ) -> bool {
        let has_attempt_in_flight = self
            .request
            .attempts
            .iter()
            .any(|attempt| attempt.in_flight && attempt.server == index);
        // A request that may have run is not restricted to the subset: its scope may contain no server of it.
        let outside_subset = server.outside_subset && first_endpoint.is_none();
        if has_attempt_in_flight
            || outside_subset
            || !server.eligible
            || server.is_ejected(self.now)
        {
            return false;
        }
        let (Some(first_endpoint), Idempotency::IdempotencyKey(scope, _)) =
            (first_endpoint, self.idempotency)
        else {
            return true;
        };
        match scope {
            IdempotencyScope::All => true,
            IdempotencyScope::Zone => first_endpoint.zone == server.endpoint.zone,
            IdempotencyScope::Cell => first_endpoint.cell == server.endpoint.cell,
        }
    }

    /// A number from 0 to below 1 that is evenly spread over limiters, servers and time intervals.
    fn phase(&self, server: ServerIndex) -> f64 {
        let interval = time::seconds(self.now).div_euclid(PHASE_INTERVAL_SECONDS);
        let phase = f64::from(server.0) * PHASE_PER_SERVER + interval * PHASE_PER_INTERVAL;
        let limiter = f64::from(self.fleet.own_index) / f64::from(self.fleet.limiters);
        (phase + limiter).fract()
    }

    /// Number of attempts that the server may have in flight now. A fraction of an attempt is allowed as a full attempt
    /// for that fraction of the time, at one limiter after another, so that not all limiters send to one server at
    /// once. A server that failed since its last response, or whose error rate is far above that of all servers, has a
    /// limit of 1 at most.
    fn limit(&self, server: &Server, capacity: f64, subset_scale: f64, phase: f64) -> f64 {
        let is_suspect =
            server.health.consecutive_failures > 0 || server.is_failing(self.latency.error_rate);
        let full_limit = if is_suspect {
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

    /// Whether a starting server has been sent its share. All limiters together send it as many attempts as a server
    /// with full capacity, times its capacity fraction, which is far below its overload factor. As in
    /// [`Selection::limit`], a fraction of an attempt is allowed as a full attempt in some of the phases.
    fn is_slow_start_share_used(
        &self,
        server: &mut Server,
        capacity: f64,
        full_capacity_attempts: f64,
        phase: f64,
    ) -> bool {
        let due_attempts = full_capacity_attempts * capacity - server.recent_attempts.sum(self.now);
        let window_seconds = time::seconds(self.config.overload_window);
        capacity < 1.0
            && due_attempts < 1.0
            && phase * window_seconds >= due_attempts * SLOW_START_PHASE_SECONDS
    }

    /// Expected time of the attempt at the server, in seconds, weighted up for servers in other zones, for servers with
    /// errors and for servers that this request has already been sent to.
    fn cost(&self, index: ServerIndex, server: &Server, random: &mut WyRand) -> f64 {
        let earlier_attempts = self
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
            OTHER_ZONE_COST_FACTOR
        };
        let random_factor = 1.0 + COST_JITTER_FRACTION * random.generate::<f64>();
        let success_rate = (1.0 - server.health.error_rate).max(MIN_SUCCESS_RATE);
        let in_flight = f64::from(server.limit.in_flight + 1);
        latency_seconds * in_flight * zone_factor * random_factor * (1 + earlier_attempts) as f64
            / success_rate.powi(SUCCESS_RATE_EXPONENT)
    }
}
