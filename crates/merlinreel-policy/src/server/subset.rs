//! Decides which servers this limiter regularly sends to, where limiters are many (deterministic subsetting).

use super::pool::ServerPool;
use super::server_state::Server;
use crate::model::endpoint::EndpointConfig;
use crate::model::fleet::FleetConfig;
use std::time::Duration;

/// Mean number of limiters that send to a server: high enough that the number varies little from server to server.
const LIMITERS_PER_SERVER: f64 = 10.0;
/// Minimum capacity of a subset, in servers with full capacity: leaves a choice within a zone.
const MIN_SUBSET_CAPACITY: f64 = 6.0;
/// Multiples of the golden ratio, modulo 1, spread the limiters' starting points evenly over the ring for any number of
/// limiters.
const GOLDEN_RATIO: f64 = 0.618;

impl ServerPool {
    /// Chooses the subset: consecutive servers on the hash ring from this limiter's own starting point, until their
    /// capacity reaches the size of the subset. A starting server counts with its capacity fraction, and an
    /// ejected one with 0.
    ///
    /// Without subsets, each of many limiters would open a connection for each attempt, and would see too few responses
    /// from a server to distinguish good servers from bad ones.
    pub fn rebuild_subset(&mut self, now: Duration, config: &EndpointConfig, fleet: &FleetConfig) {
        let capacity = |server: &Server| {
            if server.is_ejected(now) {
                0.0
            } else {
                server.capacity_fraction(now, config)
            }
        };
        let mut ring: Vec<&mut Server> = self.eligible_mut().collect();
        ring.sort_by_key(|server| server.endpoint.ring_hash);
        let mean_size = LIMITERS_PER_SERVER * ring.len() as f64 / f64::from(fleet.limiters);
        let size = mean_size.max(MIN_SUBSET_CAPACITY);
        let total_capacity: f64 = ring.iter().map(|server| capacity(server)).sum();
        let start_fraction = (f64::from(fleet.own_index) * GOLDEN_RATIO).fract();
        let start = (start_fraction * ring.len() as f64) as usize;
        ring.rotate_left(start);
        let mut subset_capacity = 0.0;
        for server in ring {
            server.outside_subset = subset_capacity >= size;
            if !server.outside_subset {
                subset_capacity += capacity(server);
            }
        }
        self.subset_scale = if subset_capacity > 0.0 {
            (total_capacity / subset_capacity).max(1.0)
        } else {
            1.0
        };
    }
}
