//! The table of servers: names and addresses to the indices by which the decision module knows them.

use crate::message::{DiscoveredEndpoint, DiscoveryUpdate};
use merlinreel_policy::{Endpoint, EndpointState, EndpointUpdate, ring_hash};
use std::collections::HashMap;
use std::net::SocketAddr;

#[derive(Debug)]
struct Place {
    name: String,
    /// As it was listed last.
    entry: Endpoint,
    address: SocketAddr,
}

impl Place {
    fn stands(&self) -> bool {
        self.entry.state != EndpointState::Removed
    }
}

/// The servers by index. A server keeps its index until it is forgotten; the index is then another's.
#[derive(Debug, Default)]
pub struct EndpointTable {
    zones: Vec<String>,
    names: HashMap<String, u32>,
    /// By address, the server that took it last. It may be gone since.
    addresses: HashMap<SocketAddr, u32>,
    places: Vec<Place>,
    /// Indices of servers that were forgotten.
    free: Vec<u32>,
}

impl EndpointTable {
    /// `zones` by their index in the settings; others are added as lists name them.
    pub fn new(zones: Vec<String>) -> EndpointTable {
        EndpointTable {
            zones,
            ..EndpointTable::default()
        }
    }

    /// How many indices are in use or free.
    pub fn indices(&self) -> usize {
        self.places.len()
    }

    pub fn address(&self, server: u32) -> Option<SocketAddr> {
        self.places.get(server as usize).map(|place| place.address)
    }

    /// Whether it is listed, be it up or draining.
    pub fn stands(&self, server: u32) -> bool {
        self.places.get(server as usize).is_some_and(Place::stands)
    }

    /// Whether it is listed as up.
    pub fn is_up(&self, server: u32) -> bool {
        self.places
            .get(server as usize)
            .is_some_and(|place| place.entry.state == EndpointState::Ready)
    }

    /// Takes a message in, and gives it back with indices in the place of names.
    pub fn apply(&mut self, news: DiscoveryUpdate, cached: bool) -> EndpointUpdate {
        let mut endpoints = Vec::with_capacity(news.servers.len());
        if news.complete {
            self.places
                .iter_mut()
                .for_each(|place| place.entry.state = EndpointState::Removed);
        }
        for listed in news.servers {
            self.take(listed, &mut endpoints);
        }
        EndpointUpdate {
            complete: news.complete,
            cached,
            unavailable: false,
            endpoints,
        }
    }

    fn take(&mut self, listed: DiscoveredEndpoint, endpoints: &mut Vec<Endpoint>) {
        let mut entry = Endpoint {
            server: 0,
            ring_hash: ring_hash(&listed.name),
            zone: self.zone(listed.zone),
            cell: listed.cell,
            state: listed.state,
            weight: listed.weight,
            started_at: listed.started_at,
        };
        entry.server = match self.names.get(&listed.name) {
            Some(&server) => server,
            None => {
                endpoints.extend(self.replace(listed.address));
                self.add(listed.name, entry, listed.address)
            }
        };
        self.take_address(entry.server, listed.address);
        self.places[entry.server as usize].entry = entry;
        endpoints.push(entry);
    }

    fn zone(&mut self, name: String) -> u32 {
        let zone = self
            .zones
            .iter()
            .position(|zone| *zone == name)
            .unwrap_or_else(|| {
                self.zones.push(name);
                self.zones.len() - 1
            });
        zone as u32
    }

    /// The server that stands at an address as far as is known.
    fn standing_at(&self, address: SocketAddr) -> Option<u32> {
        let server = *self.addresses.get(&address)?;
        let place = &self.places[server as usize];
        (place.address == address && place.stands()).then_some(server)
    }

    /// Guards against attempts at a server that is gone, but not told so yet, where another took its address.
    fn replace(&mut self, address: SocketAddr) -> Option<Endpoint> {
        let before = self.standing_at(address)?;
        let place = &mut self.places[before as usize];
        place.entry.state = EndpointState::Removed;
        Some(place.entry)
    }

    fn add(&mut self, name: String, entry: Endpoint, address: SocketAddr) -> u32 {
        let server = self.free.pop().unwrap_or(self.places.len() as u32);
        self.names.insert(name.clone(), server);
        let place = Place {
            name,
            entry,
            address,
        };
        match self.places.get_mut(server as usize) {
            Some(old) => *old = place,
            None => self.places.push(place),
        }
        server
    }

    /// Notes where a server is, unless another that stands is known there.
    fn take_address(&mut self, server: u32, address: SocketAddr) {
        let before = std::mem::replace(&mut self.places[server as usize].address, address);
        if before != address {
            self.leave_address(server, before);
        }
        if self.standing_at(address).is_none() {
            self.addresses.insert(address, server);
        }
    }

    fn leave_address(&mut self, server: u32, address: SocketAddr) {
        if self.addresses.get(&address) == Some(&server) {
            self.addresses.remove(&address);
        }
    }

    /// Its index is free for another. Guards the memory against servers replaced without end.
    pub fn forget(&mut self, server: u32) {
        let Some(place) = self.places.get_mut(server as usize) else {
            return;
        };
        place.entry.state = EndpointState::Removed;
        let (name, address) = (std::mem::take(&mut place.name), place.address);
        if self.names.get(&name) == Some(&server) {
            self.names.remove(&name);
        }
        self.leave_address(server, address);
        self.free.push(server);
    }
}

#[cfg(test)]
mod tests;
