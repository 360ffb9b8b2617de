//! Assigns each endpoint the index that the policy uses for it.

use crate::message::{DiscoveredEndpoint, DiscoveryUpdate};
use merlinreel_policy::{Endpoint, EndpointState, EndpointUpdate, Index, ServerIndex, ring_hash};
use std::collections::HashMap;
use std::net::SocketAddr;

/// The endpoint that has an index.
#[derive(Debug)]
struct TableEntry {
    name: String,
    /// The endpoint as last reported. Its state also becomes removed if a snapshot omits it, a new endpoint takes over its address
    /// or its index is released.
    endpoint: Endpoint,
    address: SocketAddr,
}

impl TableEntry {
    fn is_listed(&self) -> bool {
        self.endpoint.state != EndpointState::Removed
    }
}

/// The endpoints by index. An endpoint keeps its index until it is released; the index is then reused for another endpoint.
#[derive(Debug, Default)]
pub struct EndpointTable {
    zones: Vec<String>,
    index_by_name: HashMap<String, ServerIndex>,
    /// The endpoint that was last recorded at an address. It may have been removed since.
    index_by_address: HashMap<SocketAddr, ServerIndex>,
    entries: Vec<TableEntry>,
    /// Indices of released endpoints.
    free_indices: Vec<ServerIndex>,
}

impl EndpointTable {
    /// An empty table. `zones` are the zones' names by their index in the settings; a zone name that first appears in a message
    /// gets the next index.
    pub fn new(zones: Vec<String>) -> EndpointTable {
        EndpointTable {
            zones,
            ..EndpointTable::default()
        }
    }

    /// Number of indices, assigned and free.
    pub fn index_count(&self) -> usize {
        self.entries.len()
    }

    /// Address at which an endpoint accepts connections; `None` if the index was never assigned. A released index keeps its
    /// last address until it is reused.
    pub fn address(&self, server: ServerIndex) -> Option<SocketAddr> {
        self.entry(server).map(|entry| entry.address)
    }

    /// Whether an endpoint is listed, as ready or draining.
    pub fn is_listed(&self, server: ServerIndex) -> bool {
        self.entry(server).is_some_and(TableEntry::is_listed)
    }

    /// Whether an endpoint is listed as ready.
    pub fn is_ready(&self, server: ServerIndex) -> bool {
        self.entry(server)
            .is_some_and(|entry| entry.endpoint.state == EndpointState::Ready)
    }

    /// Applies an update and returns it with indices in place of names. If a new endpoint has the address of a listed one, or a
    /// known one moves there, the listed one precedes it in the result, as removed. `cached` marks a list that was stored before this limiter's start.
    pub fn apply(&mut self, update: DiscoveryUpdate, cached: bool) -> EndpointUpdate {
        let mut endpoints = Vec::with_capacity(update.endpoints.len());
        if update.complete {
            for entry in &mut self.entries {
                entry.endpoint.state = EndpointState::Removed;
            }
        }
        let taken_over = self.endpoints_at_taken_over_addresses(&update);
        for server in taken_over {
            endpoints.push(self.remove(server));
        }
        for discovered in update.endpoints {
            self.apply_endpoint(discovered, &mut endpoints);
        }
        EndpointUpdate {
            complete: update.complete,
            cached,
            unavailable: false,
            endpoints,
        }
    }

    /// Frees an endpoint's index for reuse, so that memory does not grow with every endpoint that is ever listed.
    pub fn release(&mut self, server: ServerIndex) {
        let Some(entry) = self.entries.get_mut(server.position()) else {
            return;
        };
        entry.endpoint.state = EndpointState::Removed;
        let name = std::mem::take(&mut entry.name);
        let address = entry.address;
        if self.index_by_name.get(&name) == Some(&server) {
            self.index_by_name.remove(&name);
        }
        self.clear_address(server, address);
        self.free_indices.push(server);
    }

    fn entry(&self, server: ServerIndex) -> Option<&TableEntry> {
        self.entries.get(server.position())
    }

    fn apply_endpoint(&mut self, discovered: DiscoveredEndpoint, endpoints: &mut Vec<Endpoint>) {
        let mut endpoint = Endpoint {
            server: ServerIndex::default(),
            ring_hash: ring_hash(&discovered.name),
            zone: self.zone_index(discovered.zone),
            cell: discovered.cell,
            state: discovered.state,
            weight: discovered.weight,
            started_at: discovered.started_at,
        };
        endpoint.server = if let Some(&server) = self.index_by_name.get(&discovered.name) {
            server
        } else {
            endpoints.extend(self.remove_listed_at(discovered.address));
            self.insert(discovered.name, endpoint, discovered.address)
        };
        self.set_address(endpoint.server, discovered.address);
        self.entries[endpoint.server.position()].endpoint = endpoint;
        endpoints.push(endpoint);
    }

    fn zone_index(&mut self, name: String) -> u32 {
        let known = self.zones.iter().position(|zone| *zone == name);
        let index = known.unwrap_or_else(|| {
            self.zones.push(name);
            self.zones.len() - 1
        });
        index as u32
    }

    /// The listed endpoint that is recorded at an address.
    fn listed_at(&self, address: SocketAddr) -> Option<ServerIndex> {
        let server = *self.index_by_address.get(&address)?;
        let entry = &self.entries[server.position()];
        (entry.address == address && entry.is_listed()).then_some(server)
    }

    /// Marks the listed endpoint at an address as removed because a new endpoint has that address. The agent may report the
    /// removal only later, and until then attempts at the old endpoint would reach the new one.
    fn remove_listed_at(&mut self, address: SocketAddr) -> Option<Endpoint> {
        let server = self.listed_at(address)?;
        Some(self.remove(server))
    }

    /// The listed endpoints to whose addresses other known endpoints move by an update that does not name them.
    fn endpoints_at_taken_over_addresses(&self, update: &DiscoveryUpdate) -> Vec<ServerIndex> {
        let moves_to = |discovered: &DiscoveredEndpoint| {
            let moving = self.index_by_name.get(&discovered.name)?;
            let other = self.listed_at(discovered.address)?;
            let is_named = || {
                let name = &self.entries[other.position()].name;
                update.endpoints.iter().any(|named| named.name == *name)
            };
            (other != *moving && !is_named()).then_some(other)
        };
        update.endpoints.iter().filter_map(moves_to).collect()
    }

    fn remove(&mut self, server: ServerIndex) -> Endpoint {
        let endpoint = &mut self.entries[server.position()].endpoint;
        endpoint.state = EndpointState::Removed;
        *endpoint
    }

    fn insert(&mut self, name: String, endpoint: Endpoint, address: SocketAddr) -> ServerIndex {
        let next = ServerIndex::from_position(self.entries.len());
        let server = self.free_indices.pop().unwrap_or(next);
        self.index_by_name.insert(name.clone(), server);
        let entry = TableEntry {
            name,
            endpoint,
            address,
        };
        match self.entries.get_mut(server.position()) {
            Some(released) => *released = entry,
            None => self.entries.push(entry),
        }
        server
    }

    /// Sets an endpoint's address. If a listed endpoint is already recorded at this address, that record stays.
    fn set_address(&mut self, server: ServerIndex, address: SocketAddr) {
        let entry = &mut self.entries[server.position()];
        let previous = std::mem::replace(&mut entry.address, address);
        if previous != address {
            self.clear_address(server, previous);
        }
        if self.listed_at(address).is_none() {
            self.index_by_address.insert(address, server);
        }
    }

    fn clear_address(&mut self, server: ServerIndex, address: SocketAddr) {
        if self.index_by_address.get(&address) == Some(&server) {
            self.index_by_address.remove(&address);
        }
    }
}

#[cfg(test)]
mod tests;
