//! An attempt to make at a server, and the event loop's handle on the connection that carries it.

use crate::messages::{AttemptId, UpstreamRequest};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;
use tokio::sync::mpsc;

/// One attempt to make at a server.
#[derive(Debug)]
pub struct Attempt {
    /// Identifies it.
    pub attempt_id: AttemptId,
    /// What the server receives.
    pub upstream_request: Arc<UpstreamRequest>,
    /// When it was decided.
    pub started: Instant,
    /// The limiter waits for the response until then.
    pub deadline: Instant,
    /// Where it is set, the last byte is written by then or never.
    pub write_deadline: Option<Instant>,
}

impl Attempt {
    /// The last byte is written by then or never.
    pub(super) fn written_by(&self) -> Instant {
        self.write_deadline
            .map_or(self.deadline, |at| at.min(self.deadline))
    }
}

/// What the event loop asks of a connection's task.
#[derive(Debug)]
pub(super) enum Command {
    /// Makes an attempt.
    Start(Attempt),
    /// Closes the connection, whatever part of the attempt was written.
    Cancel(AttemptId),
    /// The same, but only where nothing of the attempt was written yet.
    CancelIfNotStarted(AttemptId),
}

/// The event loop's handle on one connection, which closes once this is dropped.
#[derive(Debug)]
pub struct ConnectionHandle {
    pub(super) commands: mpsc::Sender<Command>,
    pub(super) address: SocketAddr,
}

impl ConnectionHandle {
    /// Closes the connection if it still carries this attempt.
    pub fn cancel(&self, attempt_id: AttemptId) {
        let _ = self.commands.try_send(Command::Cancel(attempt_id));
    }

    /// Closes the connection if it still carries this attempt and has written nothing of it.
    pub fn cancel_if_not_started(&self, attempt_id: AttemptId) {
        let _ = self
            .commands
            .try_send(Command::CancelIfNotStarted(attempt_id));
    }
}
