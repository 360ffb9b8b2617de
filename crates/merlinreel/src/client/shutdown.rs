//! Serving until the end of a graceful shutdown. After the signal clients still send requests on every open connection, and
//! new clients connect for a while. So the shutdown goes in steps: requests are served as before; then each response
//! announces that its connection closes, and idle connections are closed; then the connections that wait on the socket are
//! accepted and the socket is closed; and the limiter ends once no client is left.

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

/// Who else may accept from the listening socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenerOrigin {
    /// This process bound it: nobody else does.
    Bound,
    /// It was handed down, and stays open in the process that follows: what waits on it at a shutdown is left there.
    Inherited,
}

/// What a shutdown still waits for.
struct Remaining {
    /// Any connection at all.
    connections: bool,
    /// A request in flight, or a response that its client has not read yet.
    unfinished: bool,
}

impl ClientListener {
    /// Accepts and serves connections until `shutdown` completes, then shuts down gracefully, and returns once no client is
    /// left.
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
            ListenerOrigin::Inherited => self.leave_socket(listener).await,
            ListenerOrigin::Bound => {
                self.shut_down(listener, &connection_permits, requested_at)
                    .await;
            }
        }
    }

    /// When the last request has its response, once a shutdown was requested.
    pub(super) fn shutdown_deadline(&self) -> Option<Instant> {
        self.shutdown_requested_at
            .get()
            .map(|&requested_at| self.shutdown_deadline_from(requested_at))
    }

    /// The same, for a shutdown that was requested then.
    fn shutdown_deadline_from(&self, requested_at: Instant) -> Instant {
        requested_at + limits::shutdown_deadline(&self.active_settings.borrow().settings.classes)
    }

    /// Shuts down with an inherited socket: accepts nothing more, as the next process would serve it to its end.
    async fn leave_socket(&self, listener: TcpListener) {
        log!(
            "shutdown requested: the socket is the next process's, completing the requests in flight"
        );
        drop(listener);
        self.announcing_close.store(true, Ordering::Relaxed);
        self.drain_connections(Duration::ZERO).await;
    }

    /// Shuts down with a socket of its own.
    async fn shut_down(
        self: &Arc<ClientListener>,
        listener: TcpListener,
        connection_permits: &Arc<Semaphore>,
        requested_at: Instant,
    ) {
        log!(
            "shutdown requested: accepting for a moment more, then completing the requests in flight"
        );
        tokio::select! {
            () = self.accept(&listener, connection_permits) => {}
            () = sleep(self.limits.shutdown.announce_after) => {}
        }
        self.announcing_close.store(true, Ordering::Relaxed);
        // Short of the deadline, so that the last connection still has its response.
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
        // Meanwhile idle connections are closed for those that wait.
        tokio::select! {
            accepted = self.accept_pending(listener, connection_permits) => {
                if let Err(error) = accepted {
                    log!("clients: pending connections can't be accepted at the shutdown: {error}");
                }
            }
            () = self.keep_closing_idle() => {}
        }
        self.drain_connections(Duration::ZERO).await;
    }

    /// How often idle connections are looked for.
    fn drain_interval(&self) -> Duration {
        self.limits.shutdown.quiet_period / 20
    }

    /// Closes idle connections, and never returns.
    async fn keep_closing_idle(&self) {
        loop {
            self.close_idle();
            sleep(self.drain_interval()).await;
        }
    }

    /// Closes idle connections until none is left, and none was there for `quiet_period`; after the deadline of the shutdown
    /// until nothing is in flight.
    async fn drain_connections(&self, quiet_period: Duration) {
        let mut quiet_since = Instant::now();
        loop {
            let remaining = self.close_idle();
            let is_over = self
                .shutdown_deadline()
                .is_some_and(|deadline| deadline <= Instant::now());
            if remaining.connections && (remaining.unfinished || !is_over) {
                quiet_since = Instant::now();
            } else if quiet_since.elapsed() >= quiet_period {
                return;
            }
            sleep(self.drain_interval()).await;
        }
    }

    /// Asks idle connections to close, and says what remains.
    fn close_idle(&self) -> Remaining {
        let close_all_idle = self
            .shutdown_requested_at
            .get()
            .map(|&requested_at| requested_at + self.limits.shutdown.close_idle_after)
            .is_some_and(|at| at <= Instant::now());
        let mut remaining = Remaining {
            connections: false,
            unfinished: self.in_flight() > 0,
        };
        for client_connection in lock(&self.client_connections).values() {
            remaining.connections = true;
            if client_connection.can_shut_down(&self.limits, close_all_idle) {
                client_connection.evict();
            }
            // The end of a response may still wait for a client that reads slowly.
            remaining.unfinished |= lock(&client_connection.times).is_write_blocked(&self.limits);
        }
        remaining
    }
}
