//! Decides which fraction of its full capacity a recently started server is assumed to have (slow start).

use super::pool::ServerPool;
use super::server_state::Server;
use crate::model::endpoint::EndpointConfig;
use crate::time;
use std::time::Duration;

/// Lower bound of the configured duration, by which the time since the start is divided.
const MIN_SLOW_START_SECONDS: f64 = 0.001;
/// Lower bound of the configured initial fraction where a load is divided by it.
const MIN_SLOW_START_FRACTION: f64 = 0.05;

impl Server {
    /// Fraction of its full capacity, 0 to 1, that the server has at least: it grows linearly from
    /// `slow_start_fraction` at its last known start to 1 after `slow_start_duration`.
    pub fn capacity_fraction(&self, now: Duration, config: &EndpointConfig) -> f64 {
        let Some(since) = self.slow_start_since else {
            return 1.0;
        };
        let duration_seconds =
            time::seconds(config.slow_start_duration).max(MIN_SLOW_START_SECONDS);
        let progress = time::seconds(now.saturating_sub(since)) / duration_seconds;
        let initial = config.slow_start_fraction;
        (initial + (1.0 - initial) * progress).min(1.0)
    }
}

impl ServerPool {
    /// Takes the start times of all eligible servers from the wall clock, if the start clock leaves none with full
    /// capacity although the wall clock says that one has it. This applies to an endpoint list that arrives while no
    /// server is eligible, as the first one does: a limiter that restarts soon after its servers would otherwise have
    /// no server to send to.
    pub fn fall_back_to_wall_clock(&mut self, now: Duration, config: &EndpointConfig) {
        let any_has_full_capacity = self
            .eligible()
            .any(|server| server.capacity_fraction(now, config) >= 1.0);
        let started_long_ago =
            |started_at: Duration| now >= started_at + config.slow_start_duration;
        let any_started_long_ago = self
            .eligible()
            .any(|server| server.endpoint.started_at.is_some_and(started_long_ago));
        if any_has_full_capacity || !any_started_long_ago {
            return;
        }
        for server in self.eligible_mut() {
            let started_at = server.endpoint.started_at;
            server.slow_start_since = started_at.map(|started_at| started_at.min(now));
        }
    }

    /// Measures how many attempts this limiter sent to a server with full capacity in the last overload window, on
    /// average. A starting server is sent this number times its capacity fraction. While no server has full capacity,
    /// the last measurement stays, raised where necessary so that a starting server is sent one attempt; without that
    /// minimum, a service whose servers all start at once would be sent nothing.
    pub fn measure_full_capacity_load(&mut self, now: Duration, config: &EndpointConfig) {
        let mut server_count = 0.0;
        let mut attempts = 0.0;
        for server in self.servers.values_mut() {
            let has_full_capacity = server.is_subset_member()
                && server.slow_start_since.is_none()
                && !server.is_ejected(now);
            if has_full_capacity {
                server_count += 1.0;
                attempts += server.recent_attempts.sum(now);
            }
        }
        let min_attempts = 1.0 / config.slow_start_fraction.max(MIN_SLOW_START_FRACTION);
        self.full_capacity_attempts = if server_count > 0.0 {
            attempts / server_count
        } else {
            self.full_capacity_attempts.max(min_attempts)
        };
    }
}
