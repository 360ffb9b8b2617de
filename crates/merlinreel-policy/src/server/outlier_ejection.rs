//! Decides which servers are ejected after failures, and which of them have probably restarted.

use super::pool::ServerPool;
use super::pool_latency::PoolLatency;
use super::server_state::Server;
use crate::time;
use std::time::Duration;

/// Ejection time before it is doubled with each consecutive failure, up to [`MAX_DOUBLINGS`] times: from 0.25 s, the
/// time of several responses, to 4 s, a considerable part of a short outage.
const BASE_EJECTION_SECONDS: f64 = 0.125;
/// Consecutive failures beyond this number do not prolong the ejection.
const MAX_DOUBLINGS: u32 = 5;
/// Time for which a server is sent nothing after it rejected an attempt.
const REJECTION_PAUSE: Duration = Duration::from_millis(100);
/// Weight of one error in the moving average of a server's error rate.
const ERROR_RATE_GAIN: f64 = 0.1;
/// Multiplies a server's error rate at each success.
const ERROR_RATE_DECAY: f64 = 0.9;
/// Weight of one error in the moving average of the error rate of all servers.
const POOL_ERROR_RATE_GAIN: f64 = 0.01;
/// Multiplies the error rate of all servers at each success.
const POOL_ERROR_RATE_DECAY: f64 = 0.99;
/// A server whose error rate exceeds that of all servers by more than this is failing.
const MAX_EXCESS_ERROR_RATE: f64 = 0.3;
/// Lost connections without a response between them that are attributed to the server; fewer are attributed to the
/// network.
const MIN_LOST_CONNECTIONS: u32 = 3;
/// Lost connections are attributed to the server only if at the error rate of all servers so many in a row are less
/// probable than this.
const MAX_CHANCE_LOSS_PROBABILITY: f64 = 0.002;
/// Consecutive failures from which on lost connections indicate a restart of the server.
const MIN_FAILURES_FOR_RESTART: u32 = 2;

impl Server {
    /// Ejects the server for a time that doubles with each consecutive failure. After that it is sent at most one
    /// attempt at a time until it responds successfully.
    pub fn record_failure(&mut self, now: Duration) {
        let health = &mut self.health;
        health.consecutive_failures += 1;
        let doublings = health.consecutive_failures.min(MAX_DOUBLINGS);
        let seconds = BASE_EJECTION_SECONDS * f64::from(1u32 << doublings);
        health.ejected_until = now + time::from_seconds(seconds);
    }

    /// Whether the server's error rate is far above that of all servers; errors that all servers have in common are not
    /// attributed to one.
    pub fn is_failing(&self, pool_error_rate: f64) -> bool {
        self.health.error_rate > MAX_EXCESS_ERROR_RATE + pool_error_rate
    }

    /// Records a successful response, and begins a slow start if the failures before it indicate a restart. If the
    /// whole subset was unreachable at some time since this server became unreachable, the limiter's own network is
    /// taken for the cause, and no slow start begins.
    pub fn record_success(
        &mut self,
        now: Duration,
        latency: &mut PoolLatency,
        all_unreachable_at: Option<Duration>,
    ) {
        let health = &mut self.health;
        health.error_rate *= ERROR_RATE_DECAY;
        latency.error_rate *= POOL_ERROR_RATE_DECAY;
        health.consecutive_failures = 0;
        health.lost_connections = 0;
        let unreachable_since = health.unreachable_since.take();
        let all_were_unreachable =
            unreachable_since.is_some_and(|since| all_unreachable_at.is_some_and(|at| at >= since));
        if std::mem::take(&mut health.restart_suspected) && !all_were_unreachable {
            self.slow_start_since = Some(now);
        }
    }

    /// Records a connection that broke before the response was complete.
    pub fn record_lost_connection(&mut self, now: Duration, latency: &mut PoolLatency) {
        self.health.lost_connections += 1;
        self.record_error(now, latency);
    }

    /// Records an error response or a lost connection. Ejects the server if its error rate is far above that of all
    /// servers, or if the lost connections since its last response are hardly due to chance.
    pub fn record_error(&mut self, now: Duration, latency: &mut PoolLatency) {
        let health = &mut self.health;
        health.error_rate += (1.0 - health.error_rate) * ERROR_RATE_GAIN;
        latency.error_rate += (1.0 - latency.error_rate) * POOL_ERROR_RATE_GAIN;
        let losses = health.lost_connections;
        let losses_by_server = losses >= MIN_LOST_CONNECTIONS
            && latency.error_rate.powi(losses as i32) < MAX_CHANCE_LOSS_PROBABILITY;
        if losses_by_server || self.is_failing(latency.error_rate) {
            self.record_failure(now);
            let health = &mut self.health;
            if losses_by_server && health.consecutive_failures >= MIN_FAILURES_FOR_RESTART {
                health.restart_suspected = true;
            }
        }
    }

    /// Sends the server nothing for [`REJECTION_PAUSE`] after it rejected an attempt.
    pub fn pause_after_rejection(&mut self, now: Duration) {
        let health = &mut self.health;
        health.ejected_until = health.ejected_until.max(now + REJECTION_PAUSE);
    }

    /// Records a connection that the server's machine refused, which shows that the server's process is down.
    pub fn record_refused_connection(&mut self, now: Duration) {
        self.health.restart_suspected = true;
        self.health.unreachable_since = None;
        self.record_failure(now);
    }

    /// Records that no connection could be opened, because of the server, its machine or the network.
    pub fn record_unreachable(&mut self, now: Duration) {
        self.health.restart_suspected = true;
        self.health.unreachable_since.get_or_insert(now);
        self.record_failure(now);
    }
}

impl ServerPool {
    /// Whether each server of the subset is unreachable; also true for an empty subset. This is attributed to this
    /// limiter's own machine or network: otherwise all servers would be taken for restarted ones afterwards (compare
    /// local health awareness in failure detectors: Dadgar, Phillips and Currey, Lifeguard, 2017). Where the subset is
    /// a single server, its crash looks the same, but discovery reports its next start.
    pub fn is_whole_subset_unreachable(&self) -> bool {
        self.servers
            .values()
            .filter(|server| server.is_subset_member())
            .all(|server| server.health.unreachable_since.is_some())
    }
}
