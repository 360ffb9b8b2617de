//! Attempts to servers: the pool of connections, and one task for each of them. A connection carries one
//! attempt at a time; nothing is ever sent again by itself.

mod answer;
mod message;
mod probe;
#[cfg(test)]
mod tests;
mod unasked;
mod upstream;

pub use message::strip_hop_by_hop;

use crate::answers::AnswerMemory;
use crate::figures::Figures;
use crate::limits::Limits;
use crate::log;
use crate::messages::{DiscoveryNews, News, Parcel, Queue};
use merlinreel_core::{ProbeAnswer, ServerEntry, ServerList, Standing, mark};
use probe::probe;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::time::timeout;
use unasked::UnaskedBytes;
use upstream::UpstreamConnection;

/// One attempt to make at a server.
#[derive(Debug)]
pub struct Attempt {
    pub serial: u64,
    pub parcel: Arc<Parcel>,
    pub started: Instant,
    /// The limiter stops waiting then.
    pub until: Instant,
    /// Its last byte is written by then, or never.
    pub begins_by: Option<Instant>,
}

impl Attempt {
    fn written_by(&self) -> Instant {
        self.begins_by.map_or(self.until, |at| at.min(self.until))
    }
}

#[derive(Debug)]
enum Command {
    Send(Attempt),
    /// Closes the connection, whatever of the attempt was written.
    Abandon(u64),
    /// The same, but only where nothing of the attempt was written yet.
    Withdraw(u64),
}

/// The driver's hold on one connection; the connection closes once it is let go of.
#[derive(Debug)]
pub struct Link {
    commands: mpsc::Sender<Command>,
    address: SocketAddr,
}

impl Link {
    /// Closes the connection of that attempt, if it still carries it.
    pub fn abandon(&self, serial: u64) {
        let _ = self.commands.try_send(Command::Abandon(serial));
    }

    /// Keeps that attempt from beginning, if it has not yet: its client has gone.
    pub fn withdraw(&self, serial: u64) {
        let _ = self.commands.try_send(Command::Withdraw(serial));
    }
}

struct Place {
    name: String,
    /// As it was listed last.
    entry: ServerEntry,
    address: SocketAddr,
    /// With the time since when, the newest last.
    idle: Vec<(Instant, Link)>,
}

impl Place {
    fn stands(&self) -> bool {
        self.entry.standing != Standing::Gone
    }

    /// No attempt goes there any more.
    fn leave(&mut self) {
        self.entry.standing = Standing::Gone;
        self.idle.clear();
    }

    /// The newest idle connection that is settled, so that few are kept; else the oldest, unless `only_settled`.
    /// Guards attempts against servers that end a connection behind an answer, where the end crosses the next attempt,
    /// and against those that send a second answer.
    fn take(&mut self, now: Instant, settled: Duration, only_settled: bool) -> Option<Link> {
        let newest = self.idle.iter().rposition(|(since, _)| now.duration_since(*since) >= settled);
        let oldest = (!only_settled && !self.idle.is_empty()).then_some(0);
        newest.or(oldest).map(|i| self.idle.remove(i).1)
    }
}

/// The servers by index, with their idle connections.
pub struct Servers {
    limits: Limits,
    zones: Vec<String>,
    loads_in_answers: bool,
    memory: AnswerMemory,
    loads_in_probes: bool,
    probes: bool,
    names: HashMap<String, u32>,
    /// By address, the server that took it last. It may be gone since.
    addresses: HashMap<SocketAddr, u32>,
    places: Vec<Place>,
    /// Indices of servers that were forgotten.
    free: Vec<u32>,
    slots: Arc<Semaphore>,
    queue: Queue,
    figures: Arc<Figures>,
    unasked: Arc<UnaskedBytes>,
}

impl Servers {
    pub fn new(
        limits: Limits,
        terms: &merlinreel_settings::Terms,
        queue: Queue,
        figures: Arc<Figures>,
    ) -> Servers {
        Servers {
            figures,
            unasked: Arc::default(),
            zones: terms.wire.zones.clone(),
            loads_in_answers: terms.wire.loads_in_answers,
            memory: AnswerMemory::new(&limits),
            loads_in_probes: terms.wire.loads_in_probes,
            probes: terms.servers.probes,
            names: HashMap::new(),
            addresses: HashMap::new(),
            places: Vec::new(),
            free: Vec::new(),
            slots: Arc::new(Semaphore::new(limits.servers)),
            limits,
            queue,
        }
    }

    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Maps names to indices at the door; a server keeps its index until the module forgets it.
    pub fn list(&mut self, news: DiscoveryNews, restored: bool) -> ServerList {
        let mut entries = Vec::with_capacity(news.servers.len());
        if news.whole {
            // Who is not on it is gone.
            self.places.iter_mut().for_each(|place| place.leave());
        }
        for listed in news.servers {
            let zone = self.zones.iter().position(|zone| *zone == listed.zone).unwrap_or_else(|| {
                self.zones.push(listed.zone);
                self.zones.len() - 1
            });
            let mut entry = ServerEntry {
                server: 0,
                mark: mark(&listed.name),
                zone: zone as u32,
                cell: listed.cell,
                standing: listed.standing,
                weight: listed.weight,
                up_since: listed.up_since,
            };
            entry.server = match self.names.get(&listed.name) {
                Some(&server) => server,
                None => {
                    entries.extend(self.replace(listed.address));
                    self.place(listed.name, entry, listed.address)
                }
            };
            self.take_address(entry.server, listed.address);
            let place = &mut self.places[entry.server as usize];
            place.entry = entry;
            if listed.standing != Standing::Up {
                place.idle.clear();
            }
            entries.push(entry);
        }
        ServerList { whole: news.whole, restored, unavailable: false, entries }
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
        place.leave();
        Some(place.entry)
    }

    fn place(&mut self, name: String, entry: ServerEntry, address: SocketAddr) -> u32 {
        let server = self.free.pop().unwrap_or(self.places.len() as u32);
        self.names.insert(name.clone(), server);
        let place = Place { name, entry, address, idle: Vec::new() };
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
        let Some(place) = self.places.get_mut(server as usize) else { return };
        place.leave();
        let (name, address) = (std::mem::take(&mut place.name), place.address);
        if self.names.get(&name) == Some(&server) {
            self.names.remove(&name);
        }
        self.leave_address(server, address);
        self.free.push(server);
    }

    /// Starts an attempt on an idle connection, else on a new one; none where all descriptors are taken.
    pub fn send(&mut self, server: u32, mut attempt: Attempt) -> Option<Link> {
        let place = self.places.get_mut(server as usize)?;
        let only_settled = self.unasked.seen();
        while let Some(link) = place.take(attempt.started, self.limits.server_settled, only_settled) {
            if link.address != place.address {
                continue;
            }
            match link.commands.try_send(Command::Send(attempt)) {
                Ok(()) => return Some(link),
                Err(mpsc::error::TrySendError::Closed(Command::Send(back))) => attempt = back,
                Err(_) => return None,
            }
        }
        let address = place.address;
        let slot = self.slot()?;
        // Room for an attempt and for taking it back.
        let (commands, received) = mpsc::channel(4);
        let upstream = UpstreamConnection {
            commands: received,
            address,
            limits: self.limits.clone(),
            loads: self.loads_in_answers,
            memory: self.memory.clone(),
            queue: self.queue.clone(),
            figures: self.figures.clone(),
            unasked: self.unasked.clone(),
        };
        tokio::spawn(upstream.run(attempt, slot));
        Some(Link { commands, address })
    }

    /// With the last place taken the longest idle connection of the fullest pool is let go of, for the next.
    fn slot(&mut self) -> Option<OwnedSemaphorePermit> {
        let slot = self.slots.clone().try_acquire_owned().ok();
        if self.slots.available_permits() == 0 {
            let fullest = self.places.iter_mut().max_by_key(|place| place.idle.len());
            if let Some(place) = fullest.filter(|place| !place.idle.is_empty()) {
                place.idle.remove(0);
            }
        }
        if slot.is_none() {
            log!("no descriptor is free for a connection to a server");
        }
        slot
    }

    /// Takes back a connection whose attempt is over.
    pub fn keep(&mut self, server: u32, link: Link) {
        if let Some(place) =
            self.places.get_mut(server as usize).filter(|place| place.address == link.address)
        {
            place.idle.retain(|(_, link)| !link.commands.is_closed());
            place.idle.push((Instant::now(), link));
        }
    }

    pub fn close_idle(&mut self, server: u32) {
        if let Some(place) = self.places.get_mut(server as usize) {
            place.idle.clear();
        }
    }

    pub fn probe(&mut self, server: u32) {
        let Some(address) = self.places.get(server as usize).map(|place| place.address) else { return };
        if !self.probes {
            return;
        }
        let Some(slot) = self.slot() else { return };
        let path = if self.loads_in_probes { "/metrics/load" } else { "/alive" };
        let (queue, limits) = (self.queue.clone(), self.limits.clone());
        tokio::spawn(async move {
            let started = Instant::now();
            let found = timeout(limits.probe, probe(address, path, &limits)).await.ok().flatten();
            drop(slot);
            let (answered, load) = (found.is_some(), found.unwrap_or_default());
            let answer = ProbeAnswer { server, answered, took: started.elapsed(), load };
            let _ = queue.send(News::Probe(answer)).await;
        });
    }
}
