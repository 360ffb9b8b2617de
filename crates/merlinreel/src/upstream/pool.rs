//! The pool of connections to servers.

use super::attempt::{Attempt, Command, ConnectionHandle};
use super::connection::UpstreamConnection;
use super::health_check::HealthCheck;
use super::idle_connections::{IdleConnections, Reuse};
use super::response_memory::ResponseMemory;
use super::unsolicited_bytes::UnsolicitedBytes;
use crate::config::limits::Limits;
use crate::log;
use crate::messages::Queue;
use crate::telemetry::metrics::Metrics;
use merlinreel_discovery::{DiscoveryUpdate, EndpointTable};
use merlinreel_policy::{EndpointState, EndpointUpdate, Index, ServerIndex};
use merlinreel_settings::Settings;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};

/// Capacity of a connection's command queue, which holds an attempt and its cancellation.
const COMMAND_QUEUE_LENGTH: usize = 4;

/// The servers that discovery has listed, and the connections to them.
pub struct UpstreamPool {
    pub(super) limits: Limits,
    /// Whether servers' responses may carry load reports.
    responses_carry_load: bool,
    /// Whether servers' responses to health checks are load reports.
    health_checks_carry_load: bool,
    /// Whether health checks are made at all.
    health_checks_enabled: bool,
    response_memory: ResponseMemory,
    endpoints: EndpointTable,
    /// The idle connections to each server, by the server's index.
    pub(super) idle: Vec<IdleConnections>,
    /// One permit per connection that may be open or opening.
    connection_permits: Arc<Semaphore>,
    queue: Queue,
    metrics: Arc<Metrics>,
    pub(super) unsolicited_bytes: Arc<UnsolicitedBytes>,
}

impl UpstreamPool {
    /// Creates a pool without servers. Results of attempts and health checks are sent to `queue`.
    pub fn new(
        limits: Limits,
        settings: &Settings,
        queue: Queue,
        metrics: Arc<Metrics>,
    ) -> UpstreamPool {
        UpstreamPool {
            responses_carry_load: settings.sockets.load_reports_in_responses,
            health_checks_carry_load: settings.sockets.load_reports_in_health_checks,
            health_checks_enabled: settings.endpoints.health_checks,
            response_memory: ResponseMemory::new(&limits),
            endpoints: EndpointTable::new(settings.sockets.zones.clone()),
            idle: Vec::new(),
            connection_permits: Arc::new(Semaphore::new(limits.upstream.max_connections)),
            limits,
            queue,
            metrics,
            unsolicited_bytes: Arc::default(),
        }
    }

    /// The limits that the pool was created with.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Applies an endpoint list or update from discovery, and returns it for the policy, with indices in place of
    /// names.
    pub fn apply_endpoints(&mut self, update: DiscoveryUpdate) -> EndpointUpdate {
        let update = self.endpoints.apply(update, false);
        self.close_connections_of_unready_servers(&update);
        update
    }

    /// Applies an endpoint list that an earlier process received from discovery and stored, and returns it for the
    /// policy, with indices in place of names and marked as cached.
    pub fn apply_cached_endpoints(&mut self, update: DiscoveryUpdate) -> EndpointUpdate {
        let update = self.endpoints.apply(update, true);
        self.close_connections_of_unready_servers(&update);
        update
    }

    /// Closes the idle connections to servers that are draining or removed.
    fn close_connections_of_unready_servers(&mut self, update: &EndpointUpdate) {
        self.idle
            .resize_with(self.endpoints.index_count(), IdleConnections::default);
        for endpoint in &update.endpoints {
            if endpoint.state != EndpointState::Ready {
                self.close_idle_connections(endpoint.server);
            }
        }
        if update.complete {
            self.close_connections_of_removed_servers();
        }
    }

    fn close_connections_of_removed_servers(&mut self) {
        for (server, idle) in self.idle.iter_mut().enumerate() {
            if !self.endpoints.is_listed(ServerIndex::from_position(server)) {
                idle.0.clear();
            }
        }
    }

    /// Whether discovery lists the server as ready.
    pub fn is_ready(&self, server: ServerIndex) -> bool {
        self.endpoints.is_ready(server)
    }

    /// Closes the server's idle connections and frees its index, which another server may then get.
    pub fn release_endpoint(&mut self, server: ServerIndex) {
        self.close_idle_connections(server);
        self.endpoints.release(server);
    }

    /// Starts an attempt on an idle connection, or on a new one if there is none. `None` if the server is unknown, the
    /// connection limit is reached or the idle connection's command queue is full; the attempt is then not made.
    pub fn start_attempt(
        &mut self,
        server: ServerIndex,
        mut attempt: Attempt,
    ) -> Option<ConnectionHandle> {
        let address = self.endpoints.address(server)?;
        let idle = self.idle.get_mut(server.position())?;
        let settle_time = self.limits.upstream.settle_time;
        let reuse = if self.unsolicited_bytes.seen() {
            Reuse::OnlySettled
        } else {
            Reuse::PreferSettled
        };
        while let Some(connection) = idle.take(attempt.started, settle_time, reuse) {
            if connection.address != address {
                continue;
            }
            match connection.commands.try_send(Command::Start(attempt)) {
                Ok(()) => return Some(connection),
                Err(TrySendError::Closed(Command::Start(returned))) => attempt = returned,
                Err(_) => return None,
            }
        }
        let permit = self.acquire_connection_permit()?;
        Some(self.open_connection(address, attempt, permit))
    }

    fn open_connection(
        &self,
        address: SocketAddr,
        attempt: Attempt,
        permit: OwnedSemaphorePermit,
    ) -> ConnectionHandle {
        let (commands, received) = mpsc::channel(COMMAND_QUEUE_LENGTH);
        let connection = UpstreamConnection {
            commands: received,
            address,
            limits: self.limits.clone(),
            responses_carry_load: self.responses_carry_load,
            response_memory: self.response_memory.clone(),
            queue: self.queue.clone(),
            metrics: self.metrics.clone(),
            unsolicited_bytes: self.unsolicited_bytes.clone(),
        };
        tokio::spawn(connection.run(attempt, permit));
        ConnectionHandle { commands, address }
    }

    /// Acquires a permit for one more connection. If none is left afterwards, the oldest idle connection of the server
    /// with the most idle connections is closed, so that the next attempt finds a permit.
    fn acquire_connection_permit(&mut self) -> Option<OwnedSemaphorePermit> {
        let permit = self.connection_permits.clone().try_acquire_owned().ok();
        if self.connection_permits.available_permits() == 0 {
            let most_idle = self.idle.iter_mut().max_by_key(|idle| idle.0.len());
            if let Some(idle) = most_idle {
                idle.close_oldest();
            }
        }
        if permit.is_none() {
            log!(
                "servers: connection limit reached; an attempt or health check was not made; raise limits.sockets or limits.memory_mb"
            );
        }
        permit
    }

    /// Takes back a connection whose attempt has ended. It is closed if the server has a different address by now.
    pub fn return_connection(&mut self, server: ServerIndex, connection: ConnectionHandle) {
        if self.endpoints.address(server) != Some(connection.address) {
            return;
        }
        if let Some(idle) = self.idle.get_mut(server.position()) {
            idle.add(connection);
        }
    }

    /// Closes all idle connections to a server.
    pub fn close_idle_connections(&mut self, server: ServerIndex) {
        if let Some(idle) = self.idle.get_mut(server.position()) {
            idle.0.clear();
        }
    }

    /// Starts a health check of a server, whose result goes to the queue. Does nothing if the settings disable health
    /// checks, the server is unknown or the connection limit is reached.
    pub fn start_health_check(&mut self, server: ServerIndex) {
        let Some(address) = self.endpoints.address(server) else {
            return;
        };
        if !self.health_checks_enabled {
            return;
        }
        let Some(permit) = self.acquire_connection_permit() else {
            return;
        };
        let health_check = HealthCheck {
            server,
            address,
            carries_load: self.health_checks_carry_load,
            timeout: self.limits.upstream.health_check_timeout,
            max_body_bytes: self.limits.max_body_bytes,
        };
        tokio::spawn(health_check.run(permit, self.queue.clone()));
    }
}
