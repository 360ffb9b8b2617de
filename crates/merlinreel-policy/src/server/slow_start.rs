//! Decides how much of its capacity a server that has just started has.

use super::pool::ServerPool;
use super::server_state::Server;
use crate::model::endpoint::EndpointConfig;
use crate::time;
use std::time::Duration;

const LEAST_DURATION_SECONDS: f64 = 0.001;
const LEAST_INITIAL_FRACTION: f64 = 0.05;

impl Server {
    /// The share of its capacity that it surely has, from its last known start.
    pub fn capacity_fraction(&self, now: Duration, config: &EndpointConfig) -> f64 {
        let Some(since) = self.slow_start_since else {
            return 1.0;
        };
        let duration_seconds =
            time::seconds(config.slow_start_duration).max(LEAST_DURATION_SECONDS);
        let progress = time::seconds(now.saturating_sub(since)) / duration_seconds;
        let initial = config.slow_start_fraction;
        (initial + (1.0 - initial) * progress).min(1.0)
    }
}

impl ServerPool {
    /// Believes the wall clock if by the start clock no eligible server would have its full capacity, and by the wall
    /// clock one has. For the first endpoint list: a limiter that starts again soon after its servers would otherwise
    /// have none to send to.
    pub fn trust_wall_clock(&mut self, now: Duration, config: &EndpointConfig) {
        let any_has_full_capacity = self
            .eligible()
            .any(|server| server.capacity_fraction(now, config) >= 1.0);
        let started_long_ago =
            |started_at: Duration| now >= started_at + config.slow_start_duration;
        let any_old = self
            .eligible()
            .any(|server| server.endpoint.started_at.is_some_and(started_long_ago));
        if any_has_full_capacity || !any_old {
            return;
        }
        for server in self.eligible_mut() {
            let started_at = server.endpoint.started_at;
            server.slow_start_since = started_at.map(|started_at| started_at.min(now));
        }
    }

    /// Measures what a server with full capacity was sent lately, by which servers that start are sent their share.
    /// While no server has full capacity the last figure holds, and is enough for an attempt at a server that starts:
    /// else a fleet that all starts at once would be sent nothing.
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
        let least = 1.0 / config.slow_start_fraction.max(LEAST_INITIAL_FRACTION);
        self.full_capacity_attempts = if server_count > 0.0 {
            attempts / server_count
        } else {
            self.full_capacity_attempts.max(least)
        };
    }
}
