//! Idle connections to one server.

use super::attempt::ConnectionHandle;
use std::time::{Duration, Instant};

/// An open connection without an attempt in flight.
pub(super) struct IdleConnection {
    /// When the connection became idle.
    pub since: Instant,
    /// Handle to the connection, which closes when the handle is dropped.
    pub handle: ConnectionHandle,
}

/// Which idle connections may carry an attempt. A connection is settled once it has been idle for the settle time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Reuse {
    /// A settled connection if there is one, otherwise any.
    PreferSettled,
    /// Only a settled connection.
    OnlySettled,
}

/// The idle connections to one server, in the order in which they became idle.
#[derive(Default)]
pub(super) struct IdleConnections(pub Vec<IdleConnection>);

impl IdleConnections {
    /// Takes the newest connection that has been idle for `settle_time`, so that surplus ones reach their idle timeout.
    /// If there is none and `reuse` allows it, takes the oldest connection.
    ///
    /// A server that closes the connection after a response, or sends a second response, does so before the connection
    /// is settled; on a connection that is reused earlier, the close would race with the next attempt.
    pub fn take(
        &mut self,
        now: Instant,
        settle_time: Duration,
        reuse: Reuse,
    ) -> Option<ConnectionHandle> {
        let newest_settled = self
            .0
            .iter()
            .rposition(|idle| now.duration_since(idle.since) >= settle_time);
        let oldest = (reuse == Reuse::PreferSettled && !self.0.is_empty()).then_some(0);
        let position = newest_settled.or(oldest)?;
        Some(self.0.remove(position).handle)
    }

    /// Adds a connection that has just become idle, and removes connections that have closed.
    pub fn add(&mut self, handle: ConnectionHandle) {
        self.0.retain(|idle| !idle.handle.commands.is_closed());
        self.0.push(IdleConnection {
            since: Instant::now(),
            handle,
        });
    }

    /// Closes the connection that has been idle the longest, if there is one.
    pub fn close_oldest(&mut self) {
        if !self.0.is_empty() {
            self.0.remove(0);
        }
    }
}
