//! Serves clients until the end of a graceful shutdown. After the signal clients still send requests on every open
//! connection, and new clients connect for a while. The shutdown therefore proceeds in steps:
//!
//! 1. Requests are served as before.
//! 2. Each response announces that its connection closes, and idle connections are closed.
//! 3. The connections pending on the listening socket are accepted, and the socket is closed.
//! 4. The limiter ends once no client is left.
//!
//! With an inherited socket this process's descriptor is closed at once, and steps 2 and 4 follow.

use super::listener::ClientListener;
use crate::config::limits;
use crate::log;
use crate::sync::lock;
use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::time::sleep;

/// Whether another process may accept connections from the listening socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenerOrigin {
    /// This process bound the socket, and no other process has it.
    Bound,
    /// The socket was inherited and stays open in the next process, which accepts the connections pending at a shutdown.
    Inherited,
}

/// What keeps a shutdown from completing.
struct Remaining {
    /// Whether any connection is open.
    connections: bool,
    /// Whether a request is in flight or a response waits for its client to read it. A response whose server has stalled
    /// does not count.
    unfinished: bool,
}

impl ClientListener {
    /// Accepts and serves connections until `shutdown` completes or the event loop ends, then shuts down gracefully. Returns
    /// once no client is left or, after the shutdown deadline, nothing is in flight.
    pub async fn serve(
        self: Arc<ClientListener>,
        listener: TcpListener,
        origin: ListenerOrigin,
        shutdown: impl Future<Output = ()>,
    ) {
        let connection_permits = Arc::new(Semaphore::new(self.limits.client.max_connections));
        self.started.store(true, Ordering::Relaxed);
        tokio::pin!(shutdown);
        tokio::select! {
            () = self.accept(&listener, &connection_permits) => {}
            () = &mut shutdown => {}
        }
        let requested_at = *self.shutdown_requested_at.get_or_init(Instant::now);
        match origin {
            ListenerOrigin::Inherited => self.shut_down_inherited(listener).await,
            ListenerOrigin::Bound => {
                self.shut_down_bound(listener, &connection_permits, requested_at)
                    .await;
            }
        }
    }

    /// When the last request is answered at the latest. `None` before a shutdown is requested.
    pub(super) fn shutdown_deadline(&self) -> Option<Instant> {
        self.shutdown_requested_at
            .get()
            .map(|&requested_at| self.shutdown_deadline_from(requested_at))
    }

    /// The shutdown deadline, given when the shutdown was requested.
    fn shutdown_deadline_from(&self, requested_at: Instant) -> Instant {
        requested_at + limits::shutdown_deadline(&self.active_settings.borrow().settings.classes)
    }

    /// Shuts down with an inherited socket. Accepts no further connections, as the next process accepts and serves them.
    async fn shut_down_inherited(&self, listener: TcpListener) {
        log!(
            "clients: shutdown requested; leaving the listening socket to the next process, then completing the requests in flight"
        );
        drop(listener);
        self.announcing_close.store(true, Ordering::Relaxed);
        self.drain_connections(Duration::ZERO).await;
    }

    /// Shuts down with a socket that this process bound.
    async fn shut_down_bound(
        self: &Arc<ClientListener>,
        listener: TcpListener,
        connection_permits: &Arc<Semaphore>,
        requested_at: Instant,
    ) {
        log!(
            "clients: shutdown requested; accepting connections for a short time, then completing the requests in flight"
        );
        tokio::select! {
            () = self.accept(&listener, connection_permits) => {}
            () = sleep(self.limits.shutdown.announce_after) => {}
        }
        self.announcing_close.store(true, Ordering::Relaxed);
        // Ends before the shutdown deadline, so that the last connection accepted still gets its response.
        let accept_until = self
            .shutdown_deadline_from(requested_at)
            .checked_sub(self.limits.shutdown.quiet_period)
            .unwrap_or(requested_at);
        let accept_for = self
            .limits
            .shutdown
            .accept_for
            .min(accept_until.saturating_duration_since(Instant::now()));
        tokio::select! {
            () = self.accept(&listener, connection_permits) => {}
            () = sleep(accept_for) => {}
            () = self.drain_connections(self.limits.shutdown.quiet_period) => {}
        }
        // Idle connections are closed meanwhile, to free slots for the pending ones.
        tokio::select! {
            accepted = self.accept_pending(listener, connection_permits) => {
                if let Err(error) = accepted {
                    log!("clients: pending connections could not be accepted during the shutdown: {error}; the kernel resets them");
                }
            }
            () = self.keep_closing_idle() => {}
        }
        self.drain_connections(Duration::ZERO).await;
    }

    /// The interval at which idle connections are closed during a shutdown.
    fn drain_interval(&self) -> Duration {
        self.limits.shutdown.quiet_period / 20
    }

    /// Closes idle connections periodically. Never returns.
    async fn keep_closing_idle(&self) {
        loop {
            self.close_idle();
            sleep(self.drain_interval()).await;
        }
    }

    /// Closes idle connections until no connection has been open for `quiet_period`. After the shutdown deadline, open
    /// connections count only while a request is in flight or a response waits for its client to read it.
    async fn drain_connections(&self, quiet_period: Duration) {
        let mut quiet_since = Instant::now();
        loop {
            let remaining = self.close_idle();
            let past_deadline = self
                .shutdown_deadline()
                .is_some_and(|deadline| deadline <= Instant::now());
            if remaining.connections && (remaining.unfinished || !past_deadline) {
                quiet_since = Instant::now();
            } else if quiet_since.elapsed() >= quiet_period {
                return;
            }
            sleep(self.drain_interval()).await;
        }
    }

    /// Asks idle connections to close and returns what remains.
    fn close_idle(&self) -> Remaining {
        let close_all_idle = self
            .shutdown_requested_at
            .get()
            .map(|&requested_at| requested_at + self.limits.shutdown.close_idle_after)
            .is_some_and(|at| at <= Instant::now());
        let mut remaining = Remaining {
            connections: false,
            unfinished: false,
        };
        let mut stalled = 0;
        for client_connection in lock(&self.client_connections).values() {
            remaining.connections = true;
            if client_connection.can_shut_down(&self.limits, close_all_idle) {
                client_connection.evict();
            }
            // The rest of a response may be waiting for a client that reads slowly.
            let times = lock(&client_connection.times);
            remaining.unfinished |= times.is_write_blocked(&self.limits);
            stalled += usize::from(times.is_server_stalled(&self.limits));
        }
        remaining.unfinished |= self.in_flight() > stalled;
        remaining
    }
}
