//! Decides which servers this limiter sends to as a rule, where limiters are many.

use super::pool::ServerPool;
use super::server_state::Server;
use crate::model::endpoint::EndpointConfig;
use crate::model::fleet::FleetConfig;
use std::time::Duration;

/// Limiters at each server on the mean: enough that the number of limiters at the single servers varies little.
const LIMITERS_PER_SERVER: f64 = 10.0;
/// Leaves a choice within a zone.
const LEAST_SUBSET: f64 = 6.0;
/// The golden ratio spreads the limiters' points on the ring evenly, however many they are.
const GOLDEN_RATIO: f64 = 0.618;

impl ServerPool {
    /// Chooses the subset: the next servers on the ring of their hashes from a point of this limiter's own. Ejected and
    /// starting servers count for the capacity that they have.
    ///
    /// Without a subset each of many limiters would open a connection for each attempt, and would see too few responses
    /// from a server to distinguish a good one from a bad one.
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
        let share = LIMITERS_PER_SERVER * ring.len() as f64 / f64::from(fleet.limiters);
        let size = share.max(LEAST_SUBSET);
        let total_capacity: f64 = ring.iter().map(|server| capacity(server)).sum();
        let point = (f64::from(fleet.own_index) * GOLDEN_RATIO).fract();
        let start = (point * ring.len() as f64) as usize;
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
