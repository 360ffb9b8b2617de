//! Accepting connections, each served in a task of its own.

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

/// What a connection needs before it is accepted, so that none is dropped after it.
struct ConnectionSlot {
    /// One of the connections that may be open at once.
    connection_permit: OwnedSemaphorePermit,
    /// Capacity of the queue for the event that the client has disconnected, whatever else waits there.
    disconnect_event: mpsc::OwnedPermit<Event>,
}

/// Registers a connection that the kernel gave with the poller.
fn register(stream: std::net::TcpStream) -> io::Result<TcpStream> {
    stream.set_nonblocking(true)?;
    TcpStream::from_std(stream)
}

impl ClientListener {
    /// Accepts connections until the event loop has ended.
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
                    log!("clients: {error}");
                    if !concerns_one_connection(&error) {
                        backoff.pause().await;
                    }
                }
            }
        }
    }

    /// Accepts all connections that wait on the socket, then closes it: the kernel resets those that still wait then, the
    /// requests on them unread.
    ///
    /// # Errors
    ///
    /// None could be accepted until the end of the shutdown, for want of descriptors or memory.
    pub(super) async fn accept_pending(
        self: &Arc<ClientListener>,
        listener: TcpListener,
        connection_permits: &Arc<Semaphore>,
    ) -> io::Result<()> {
        // The kernel itself is asked: the poller may not have reported the last ones yet.
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

    /// Waits for a slot for the next connection; `None` where the event loop has ended.
    async fn acquire_slot(&self, connection_permits: &Arc<Semaphore>) -> Option<ConnectionSlot> {
        let connection_permit = loop {
            // Before the wait and during it, as idle connections must not keep all places.
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
                        "clients: all {} places are taken; new connections wait",
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

    /// Serves a connection in a task of its own.
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
