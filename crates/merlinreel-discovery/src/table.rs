//! The table of servers: names and addresses to the indices by which the decision module knows them.

use crate::message::{DiscoveryNews, Listed};
use merlinreel_policy::{ServerEntry, ServerList, Standing, mark};
use std::collections::HashMap;
use std::net::SocketAddr;

#[derive(Debug)]
struct Place {
    name: String,
    /// As it was listed last.
    entry: ServerEntry,
    address: SocketAddr,
}

impl Place {
    fn stands(&self) -> bool {
        self.entry.standing != Standing::Gone
    }
}

/// The servers by index. A server keeps its index until it is forgotten; the index is then another's.
#[derive(Debug, Default)]
pub struct ServerTable {
    zones: Vec<String>,
    names: HashMap<String, u32>,
    /// By address, the server that took it last. It may be gone since.
    addresses: HashMap<SocketAddr, u32>,
    places: Vec<Place>,
    /// Indices of servers that were forgotten.
    free: Vec<u32>,
}

impl ServerTable {
    /// `zones` by their index in the settings; others are added as lists name them.
    pub fn new(zones: Vec<String>) -> ServerTable {
        ServerTable {
            zones,
            ..ServerTable::default()
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
            .is_some_and(|place| place.entry.standing == Standing::Up)
    }

    /// Takes a message in, and gives it back with indices in the place of names.
    pub fn apply(&mut self, news: DiscoveryNews, restored: bool) -> ServerList {
        let mut entries = Vec::with_capacity(news.servers.len());
        if news.whole {
            self.places
                .iter_mut()
                .for_each(|place| place.entry.standing = Standing::Gone);
        }
        for listed in news.servers {
            self.take(listed, &mut entries);
        }
        ServerList {
            whole: news.whole,
            restored,
            unavailable: false,
            entries,
        }
    }

    fn take(&mut self, listed: Listed, entries: &mut Vec<ServerEntry>) {
        let mut entry = ServerEntry {
            server: 0,
            mark: mark(&listed.name),
            zone: self.zone(listed.zone),
            cell: listed.cell,
            standing: listed.standing,
            weight: listed.weight,
            up_since: listed.up_since,
        };
        entry.server = match self.names.get(&listed.name) {
            Some(&server) => server,
            None => {
                entries.extend(self.replace(listed.address));
                self.add(listed.name, entry, listed.address)
            }
        };
        self.take_address(entry.server, listed.address);
        self.places[entry.server as usize].entry = entry;
        entries.push(entry);
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
    fn replace(&mut self, address: SocketAddr) -> Option<ServerEntry> {
        let before = self.standing_at(address)?;
        let place = &mut self.places[before as usize];
        place.entry.standing = Standing::Gone;
        Some(place.entry)
    }

    fn add(&mut self, name: String, entry: ServerEntry, address: SocketAddr) -> u32 {
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
        place.entry.standing = Standing::Gone;
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
