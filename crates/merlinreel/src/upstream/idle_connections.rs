//! Idle connections to one server.

use super::attempt::ConnectionHandle;
use std::time::{Duration, Instant};

/// A connection that carries no attempt.
pub(super) struct IdleConnection {
    /// Since when.
    pub since: Instant,
    /// Keeps it open.
    pub handle: ConnectionHandle,
}

/// Which idle connections may carry an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Reuse {
    /// Settled ones first, then any.
    PreferSettled,
    /// Settled ones only.
    OnlySettled,
}

/// The idle connections to one server, the newest last.
#[derive(Default)]
pub(super) struct IdleConnections(pub Vec<IdleConnection>);

impl IdleConnections {
    /// The newest connection that has been idle for `settle_time`, so that few stay open; else the oldest one, where
    /// `reuse` allows that. A server that closes the connection behind a response, or sends a second one, does so before
    /// the connection is settled, and the close would cross the next attempt.
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

    /// Adds a connection that has become idle now, and drops those that have closed.
    pub fn add(&mut self, handle: ConnectionHandle) {
        self.0.retain(|idle| !idle.handle.commands.is_closed());
        self.0.push(IdleConnection {
            since: Instant::now(),
            handle,
        });
    }

    /// Closes the connection that has been idle for longest, if there is one.
    pub fn close_oldest(&mut self) {
        if !self.0.is_empty() {
            self.0.remove(0);
        }
    }
}
