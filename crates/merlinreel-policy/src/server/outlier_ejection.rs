//! Decides which servers are ejected after failures, and which are likely to have started again.

use super::fleet_latency::FleetLatency;
use super::pool::ServerPool;
use super::server_state::Server;
use crate::time;
use std::time::Duration;

/// Doubled with each failure: from a quarter of a second, which is some responses long, to four seconds, which is a fair
/// part of a short outage.
const BASE_EJECTION_SECONDS: f64 = 0.125;
const MAX_DOUBLINGS: u32 = 5;
const REJECTION_PAUSE: Duration = Duration::from_millis(100);
const ERROR_GAIN: f64 = 0.1;
const ERROR_DECAY: f64 = 0.9;
const FLEET_ERROR_GAIN: f64 = 0.01;
const FLEET_ERROR_DECAY: f64 = 0.99;
/// A server fails if its error rate is this much above the fleet's.
const EXCESS_ERROR_RATE: f64 = 0.3;
/// One lost connection is the network's; so many without a response between them are the server's...
const LEAST_LOST_CONNECTIONS: u32 = 3;
/// ...if chance hardly brings them at the fleet's error rate.
const MAX_CHANCE_OF_LOSSES: f64 = 0.002;
const FAILURES_OF_A_RESTART: u32 = 2;

impl Server {
    /// A failure: the server is ejected for a time that doubles with each, and is then sent one attempt on trial.
    pub fn record_failure(&mut self, now: Duration) {
        let health = &mut self.health;
        health.consecutive_failures += 1;
        let doublings = health.consecutive_failures.min(MAX_DOUBLINGS);
        let seconds = BASE_EJECTION_SECONDS * f64::from(1u32 << doublings);
        health.ejected_until = now + time::from_seconds(seconds);
    }

    /// Whether it fails far more often than the fleet does: what all servers share is not this server's fault.
    pub fn is_failing(&self, fleet_error_rate: f64) -> bool {
        self.health.error_rate > EXCESS_ERROR_RATE + fleet_error_rate
    }

    /// The server responded. If its connections had failed it has started again, unless all servers were unreachable
    /// meanwhile, which is this limiter's own network.
    pub fn record_success(
        &mut self,
        now: Duration,
        latency: &mut FleetLatency,
        all_unreachable_at: Option<Duration>,
    ) {
        let health = &mut self.health;
        health.error_rate *= ERROR_DECAY;
        latency.error_rate *= FLEET_ERROR_DECAY;
        health.consecutive_failures = 0;
        health.lost_connections = 0;
        let unreachable_since = health.unreachable_since.take();
        let was_cut_off = unreachable_since
            .is_some_and(|since| all_unreachable_at.is_some_and(|cut_off_at| cut_off_at >= since));
        if std::mem::take(&mut health.connection_failed) && !was_cut_off {
            self.slow_start_since = Some(now);
        }
    }

    /// The connection broke before the response was complete.
    pub fn record_lost_connection(&mut self, now: Duration, latency: &mut FleetLatency) {
        self.health.lost_connections += 1;
        self.record_error(now, latency);
    }

    /// The server returned an error, or the connection broke.
    pub fn record_error(&mut self, now: Duration, latency: &mut FleetLatency) {
        let health = &mut self.health;
        health.error_rate += (1.0 - health.error_rate) * ERROR_GAIN;
        latency.error_rate += (1.0 - latency.error_rate) * FLEET_ERROR_GAIN;
        let losses = health.lost_connections;
        let losses_are_its_own = losses >= LEAST_LOST_CONNECTIONS
            && latency.error_rate.powi(losses as i32) < MAX_CHANCE_OF_LOSSES;
        if losses_are_its_own || self.is_failing(latency.error_rate) {
            self.record_failure(now);
            let health = &mut self.health;
            if losses_are_its_own && health.consecutive_failures >= FAILURES_OF_A_RESTART {
                health.connection_failed = true;
            }
        }
    }

    /// The server rejected an attempt: it is sent nothing for a moment.
    pub fn pause_after_rejection(&mut self, now: Duration) {
        let health = &mut self.health;
        health.ejected_until = health.ejected_until.max(now + REJECTION_PAUSE);
    }

    /// The server's machine refused a connection: its process is down.
    pub fn record_refused_connection(&mut self, now: Duration) {
        self.health.connection_failed = true;
        self.health.unreachable_since = None;
        self.record_failure(now);
    }

    /// No connection to the server could be opened.
    pub fn record_unreachable(&mut self, now: Duration) {
        self.health.connection_failed = true;
        self.health.unreachable_since.get_or_insert(now);
        self.record_failure(now);
    }
}

impl ServerPool {
    /// Whether no server of the subset could be reached since it responded last. After a fault of this limiter's own
    /// machine or network, all servers would otherwise be taken for starting ones (compare local health in failure
    /// detectors: Dadgar, Phillips and Currey, Lifeguard, 2017). A single server's end looks the same, but discovery
    /// reports its start.
    pub fn reaches_none(&self) -> bool {
        self.servers
            .values()
            .filter(|server| server.is_subset_member())
            .all(|server| server.health.unreachable_since.is_some())
    }
}
