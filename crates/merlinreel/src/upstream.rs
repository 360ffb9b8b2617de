//! Attempts to servers: the pool of connections, and one task for each of them. A connection carries one
//! attempt at a time; nothing is ever sent again by itself.

mod connection;
mod health_check;
mod message;
mod response;
pub mod response_memory;
pub mod streaming_body;
#[cfg(test)]
mod tests;
mod unsolicited;

pub use message::strip_hop_by_hop;

use crate::config::limits::Limits;
use crate::log;
use crate::messages::{Event, Queue, UpstreamRequest};
use crate::telemetry::metrics::Metrics;
use crate::upstream::response_memory::AnswerMemory;
use connection::UpstreamConnection;
use health_check::probe;
use merlinreel_discovery::{DiscoveryUpdate, EndpointTable};
use merlinreel_policy::{EndpointState, EndpointUpdate, HealthCheckResult};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::time::timeout;
use unsolicited::UnaskedBytes;

/// One attempt to make at a server.
#[derive(Debug)]
pub struct Attempt {
    pub serial: u64,
    pub parcel: Arc<UpstreamRequest>,
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
pub struct ConnectionHandle {
    commands: mpsc::Sender<Command>,
    address: SocketAddr,
}

impl ConnectionHandle {
    /// Closes the connection of that attempt, if it still carries it.
    pub fn abandon(&self, serial: u64) {
        let _ = self.commands.try_send(Command::Abandon(serial));
    }

    /// Keeps that attempt from beginning, if it has not yet: its client has gone.
    pub fn withdraw(&self, serial: u64) {
        let _ = self.commands.try_send(Command::Withdraw(serial));
    }
}

/// Connections to one server that rest, with the time since when, the newest last.
#[derive(Default)]
struct IdleConnections(Vec<(Instant, ConnectionHandle)>);

impl IdleConnections {
    /// The newest idle connection that is settled, so that few are kept; else the oldest, unless `only_settled`.
    /// Guards attempts against servers that end a connection behind an answer, where the end crosses the next attempt,
    /// and against those that send a second answer.
    fn take(
        &mut self,
        now: Instant,
        settled: Duration,
        only_settled: bool,
    ) -> Option<ConnectionHandle> {
        let newest = self
            .0
            .iter()
            .rposition(|(since, _)| now.duration_since(*since) >= settled);
        let oldest = (!only_settled && !self.0.is_empty()).then_some(0);
        newest.or(oldest).map(|i| self.0.remove(i).1)
    }
}

/// The servers by index, with their idle connections.
pub struct UpstreamPool {
    limits: Limits,
    loads_in_answers: bool,
    memory: AnswerMemory,
    loads_in_probes: bool,
    probes: bool,
    table: EndpointTable,
    /// By index.
    idle: Vec<IdleConnections>,
    slots: Arc<Semaphore>,
    queue: Queue,
    figures: Arc<Metrics>,
    unasked: Arc<UnaskedBytes>,
}

impl UpstreamPool {
    pub fn new(
        limits: Limits,
        terms: &merlinreel_settings::Settings,
        queue: Queue,
        figures: Arc<Metrics>,
    ) -> UpstreamPool {
        UpstreamPool {
            figures,
            unasked: Arc::default(),
            loads_in_answers: terms.sockets.load_reports_in_responses,
            memory: AnswerMemory::new(&limits),
            loads_in_probes: terms.sockets.load_reports_in_health_checks,
            probes: terms.endpoints.health_checks,
            table: EndpointTable::new(terms.sockets.zones.clone()),
            idle: Vec::new(),
            slots: Arc::new(Semaphore::new(limits.servers)),
            limits,
            queue,
        }
    }

    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Takes a message of discovery in, for the module; no connection rests to a server that is not up.
    pub fn list(&mut self, news: DiscoveryUpdate, restored: bool) -> EndpointUpdate {
        let list = self.table.apply(news, restored);
        self.idle
            .resize_with(self.table.indices(), IdleConnections::default);
        for entry in list
            .endpoints
            .iter()
            .filter(|entry| entry.state != EndpointState::Ready)
        {
            self.close_idle(entry.server);
        }
        if list.complete {
            self.close_idle_to_the_gone();
        }
        list
    }

    fn close_idle_to_the_gone(&mut self) {
        let idle = self.idle.iter_mut().enumerate();
        for (_, idle) in idle.filter(|(server, _)| !self.table.is_listed(*server as u32)) {
            idle.0.clear();
        }
    }

    /// Whether it is listed as up.
    pub fn is_up(&self, server: u32) -> bool {
        self.table.is_ready(server)
    }

    /// Nothing is kept of this server any more; its index may be another's.
    pub fn forget(&mut self, server: u32) {
        self.close_idle(server);
        self.table.release(server);
    }

    /// Starts an attempt on an idle connection, else on a new one; none where all descriptors are taken.
    pub fn send(&mut self, server: u32, mut attempt: Attempt) -> Option<ConnectionHandle> {
        let address = self.table.address(server)?;
        let idle = self.idle.get_mut(server as usize)?;
        let only_settled = self.unasked.seen();
        while let Some(link) = idle.take(attempt.started, self.limits.server_settled, only_settled)
        {
            if link.address != address {
                continue;
            }
            match link.commands.try_send(Command::Send(attempt)) {
                Ok(()) => return Some(link),
                Err(mpsc::error::TrySendError::Closed(Command::Send(back))) => attempt = back,
                Err(_) => return None,
            }
        }
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
        Some(ConnectionHandle { commands, address })
    }

    /// With the last place taken the longest idle connection of the fullest pool is let go of, for the next.
    fn slot(&mut self) -> Option<OwnedSemaphorePermit> {
        let slot = self.slots.clone().try_acquire_owned().ok();
        if self.slots.available_permits() == 0 {
            let fullest = self.idle.iter_mut().max_by_key(|idle| idle.0.len());
            if let Some(idle) = fullest.filter(|idle| !idle.0.is_empty()) {
                idle.0.remove(0);
            }
        }
        if slot.is_none() {
            log!("no descriptor is free for a connection to a server");
        }
        slot
    }

    /// Takes back a connection whose attempt is over.
    pub fn keep(&mut self, server: u32, link: ConnectionHandle) {
        if self.table.address(server) != Some(link.address) {
            return;
        }
        if let Some(idle) = self.idle.get_mut(server as usize) {
            idle.0.retain(|(_, link)| !link.commands.is_closed());
            idle.0.push((Instant::now(), link));
        }
    }

    pub fn close_idle(&mut self, server: u32) {
        if let Some(idle) = self.idle.get_mut(server as usize) {
            idle.0.clear();
        }
    }

    pub fn probe(&mut self, server: u32) {
        let Some(address) = self.table.address(server) else {
            return;
        };
        if !self.probes {
            return;
        }
        let Some(slot) = self.slot() else { return };
        let path = if self.loads_in_probes {
            "/metrics/load"
        } else {
            "/alive"
        };
        let (queue, limits) = (self.queue.clone(), self.limits.clone());
        tokio::spawn(async move {
            let started = Instant::now();
            let found = timeout(limits.probe, probe(address, path, &limits))
                .await
                .ok()
                .flatten();
            drop(slot);
            let (answered, load) = (found.is_some(), found.unwrap_or_default());
            let answer = HealthCheckResult {
                server,
                answered,
                latency: started.elapsed(),
                load,
            };
            let _ = queue.send(Event::HealthCheck(answer)).await;
        });
    }
}
