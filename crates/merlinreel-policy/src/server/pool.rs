//! State of all servers that this limiter knows; the decisions are made in the other modules.

use super::server_state::Server;
use super::start_clock::StartClock;
use crate::model::endpoint::EndpointState;
use crate::model::index::{Index, ServerIndex};
use crate::slots::Slots;
use std::time::Duration;

/// Numbers of servers, for the operators' metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointCounts {
    /// Servers that are not removed; `limiter.servers_known`.
    pub known: usize,
    /// Known servers that are sent no new requests because they are draining or ejected;
    /// `limiter.servers_excluded`.
    pub avoided: usize,
}

/// The servers, and the state that concerns all of them together.
pub struct ServerPool {
    /// The servers by their index, removed ones included until they expire.
    pub servers: Slots<ServerIndex, Server>,
    /// Capacity of all eligible servers divided by that of the subset, 1 at least: scales concurrency limits, which are
    /// learned in the subset, to the whole.
    pub subset_scale: f64,
    /// Mean number of attempts that this limiter sent to a server with full capacity in the last overload window; the
    /// last measurement, or a minimum, while there is no such server.
    pub full_capacity_attempts: f64,
    /// At the last selection, less than half of the sum of the concurrency limits was in use and no other request
    /// waited.
    pub has_spare_capacity: bool,
    /// Estimates how long ago servers started.
    pub start_clock: StartClock,
    /// When the whole subset was last found unreachable, by the limiter's clock; `None` if never.
    pub all_unreachable_at: Option<Duration>,
}

impl Default for ServerPool {
    fn default() -> ServerPool {
        ServerPool {
            servers: Slots::default(),
            subset_scale: 1.0,
            full_capacity_attempts: 0.0,
            has_spare_capacity: false,
            start_clock: StartClock::default(),
            all_unreachable_at: None,
        }
    }
}

impl ServerPool {
    /// The servers that take new requests, whether they are in the subset or not.
    pub fn eligible(&self) -> impl Iterator<Item = &Server> {
        self.servers.values().filter(|server| server.eligible)
    }

    /// The servers that take new requests, whether they are in the subset or not, for changes.
    pub fn eligible_mut(&mut self) -> impl Iterator<Item = &mut Server> {
        self.servers.values_mut().filter(|server| server.eligible)
    }

    /// Counts the known servers and the avoided ones among them; removed servers are not counted.
    pub fn counts(&self, now: Duration) -> EndpointCounts {
        let mut counts = EndpointCounts::default();
        for server in self.servers.values() {
            if server.endpoint.state == EndpointState::Removed {
                continue;
            }
            counts.known += 1;
            if !server.eligible || server.is_ejected(now) {
                counts.avoided += 1;
            }
        }
        counts
    }

    /// Removes the expired servers that are not in use, and returns their indices. `is_expired` is called once for each
    /// server that is not in use.
    pub fn remove_expired(
        &mut self,
        in_use: impl Iterator<Item = ServerIndex>,
        mut is_expired: impl FnMut(&mut Server) -> bool,
    ) -> Vec<ServerIndex> {
        let mut keep = vec![false; self.servers.end()];
        for server in in_use {
            keep[server.position()] = true;
        }
        self.servers
            .remove_if(|index, server| !keep[index.position()] && is_expired(server))
    }
}
