//! All servers that this limiter knows. Nothing is decided here.

use super::server_state::Server;
use super::start_clock::StartClock;
use crate::model::endpoint::EndpointState;
use crate::model::index::{Index, ServerIndex};
use crate::slots::Slots;
use std::time::Duration;

/// Numbers of servers, for the operators' metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointCounts {
    /// Servers that are not removed.
    pub known: usize,
    /// Those of them that are sent nothing now: they are draining or ejected.
    pub avoided: usize,
}

/// The servers, by their index, and what is known of all of them together.
pub struct ServerPool {
    /// The servers.
    pub servers: Slots<ServerIndex, Server>,
    /// The capacity of all eligible servers over that of the subset's.
    pub subset_scale: f64,
    /// Mean number of attempts that a server with full capacity was sent lately.
    pub full_capacity_attempts: f64,
    /// At the last selection less than half of the concurrency limits was in use and no request waited.
    pub has_spare_capacity: bool,
    /// How long ago servers started.
    pub start_clock: StartClock,
    /// When no server at all could be reached last.
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
    /// The servers that take new requests.
    pub fn eligible(&self) -> impl Iterator<Item = &Server> {
        self.servers.values().filter(|server| server.eligible)
    }

    /// The servers that take new requests.
    pub fn eligible_mut(&mut self) -> impl Iterator<Item = &mut Server> {
        self.servers.values_mut().filter(|server| server.eligible)
    }

    /// How many servers there are, and how many of them are sent nothing now.
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

    /// Drops the servers that are not in use and that are expired, and returns their indices; the condition is called
    /// for each server not in use.
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
