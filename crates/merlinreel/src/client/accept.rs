//! Accepts client connections and spawns a task for each.

use super::connection::ClientConnection;
use super::listener::ClientListener;
use crate::log;
use crate::messages::Event;
use crate::net::backoff::Backoff;
use crate::net::system_errors::concerns_one_connection;
use crate::sync::lock;
use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Instant;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::time::timeout;

/// Resources acquired before a connection is accepted, so that an accepted connection is never dropped for lack of them.
struct ConnectionSlot {
    /// Counts the connection against the limit of open connections.
    connection_permit: OwnedSemaphorePermit,
    /// Reserved capacity in the event queue, so that the client's disconnect can be reported even if the queue is full.
    disconnect_event: mpsc::OwnedPermit<Event>,
}

/// Registers an accepted connection with the runtime's poller.
fn register(stream: std::net::TcpStream) -> io::Result<TcpStream> {
    stream.set_nonblocking(true)?;
    TcpStream::from_std(stream)
}

impl ClientListener {
    /// Accepts connections until the event loop ends.
    pub(super) async fn accept(
        self: &Arc<ClientListener>,
        listener: &TcpListener,
        connection_permits: &Arc<Semaphore>,
    ) {
        let mut backoff = Backoff::default();
        loop {
            let Some(slot) = self.acquire_slot(connection_permits).await else {
                return;
            };
            match listener.accept().await {
                Ok((stream, _)) => {
                    backoff.reset();
                    self.spawn_connection(stream, slot);
                }
                Err(error) => {
                    log!("clients: cannot accept a connection: {error}; trying again");
                    if !concerns_one_connection(&error) {
                        backoff.pause().await;
                    }
                }
            }
        }
    }

    /// Accepts all connections pending on the socket, then closes it. The kernel resets any connection that is still
    /// pending at that moment, with the requests on it unread.
    ///
    /// # Errors
    ///
    /// `accept` still fails at the shutdown deadline, for lack of descriptors or memory.
    pub(super) async fn accept_pending(
        self: &Arc<ClientListener>,
        listener: TcpListener,
        connection_permits: &Arc<Semaphore>,
    ) -> io::Result<()> {
        // Calls accept(2) directly, as the poller may not have reported the last connections yet.
        let listener = listener.into_std()?;
        let mut backoff = Backoff::default();
        while let Some(slot) = self.acquire_slot(connection_permits).await {
            match listener.accept().and_then(|(stream, _)| register(stream)) {
                Ok(stream) => {
                    backoff.reset();
                    self.spawn_connection(stream, slot);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) if concerns_one_connection(&error) => {}
                Err(error)
                    if self
                        .shutdown_deadline()
                        .is_some_and(|deadline| deadline <= Instant::now()) =>
                {
                    return Err(error);
                }
                Err(_) => backoff.pause().await,
            }
        }
        Ok(())
    }

    /// Waits for a slot for the next connection. `None` if the event loop has ended.
    async fn acquire_slot(&self, connection_permits: &Arc<Semaphore>) -> Option<ConnectionSlot> {
        let connection_permit = loop {
            // Evicts before and during the wait, so that idle connections can't occupy all connection slots.
            self.evict_idle();
            match timeout(
                self.limits.client.evict_idle_after,
                connection_permits.clone().acquire_owned(),
            )
            .await
            {
                Ok(permit) => break permit.ok()?,
                Err(_) => {
                    log!(
                        "clients: connection limit of {} reached; new connections wait until one closes",
                        self.limits.client.max_connections
                    );
                }
            }
        };
        Some(ConnectionSlot {
            connection_permit,
            disconnect_event: self.queue.clone().reserve_owned().await.ok()?,
        })
    }

    /// Spawns a task that serves the connection, and tracks the connection until it ends.
    fn spawn_connection(self: &Arc<ClientListener>, stream: TcpStream, slot: ConnectionSlot) {
        let client_connection = Arc::new(ClientConnection::new(slot.disconnect_event));
        let connection_permit = slot.connection_permit;
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        lock(&self.client_connections).insert(id, client_connection.clone());
        let client_listener = self.clone();
        tokio::spawn(async move {
            client_listener
                .serve_connection(stream, client_connection)
                .await;
            lock(&client_listener.client_connections).remove(&id);
            drop(connection_permit);
        });
    }
}
