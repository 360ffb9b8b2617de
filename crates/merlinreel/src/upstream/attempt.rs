//! An attempt at a server, and the event loop's handle to the connection that carries it.

use crate::messages::{AttemptId, UpstreamRequest};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// One attempt to send a request to a server.
#[derive(Debug)]
pub struct Attempt {
    /// Identifies the attempt in commands and in its [`AttemptCompletion`](crate::messages::AttemptCompletion).
    pub attempt_id: AttemptId,
    /// The request, shared by all attempts that are made for it.
    pub upstream_request: Arc<UpstreamRequest>,
    /// When the event loop decided to make the attempt; its latency is measured from here.
    pub started: Instant,
    /// The limiter waits for the response until this time.
    pub deadline: Instant,
    /// An attempt whose last byte has not been written by this time is abandoned; `None` where only `deadline` applies.
    pub write_deadline: Option<Instant>,
    /// How long before `started` the first bytes of a response to an earlier attempt of the same request arrived; `None` if
    /// there was no such response.
    pub earlier_response_age: Option<Duration>,
}

impl Attempt {
    /// The earlier of the two deadlines: the last byte is written by this time or not at all.
    pub(super) fn effective_write_deadline(&self) -> Instant {
        self.write_deadline
            .map_or(self.deadline, |deadline| deadline.min(self.deadline))
    }
}

/// A command of the event loop to a connection's task.
#[derive(Debug)]
pub(super) enum Command {
    /// Make this attempt.
    Start(Attempt),
    /// Cancel the attempt by closing the connection, even if some or all of the request was written.
    Cancel(AttemptId),
    /// Cancel the attempt by closing the connection, but only if none of the request was written yet.
    CancelIfNotStarted(AttemptId),
}

/// The event loop's handle to one connection. Dropping it closes the connection, unless a response is being streamed to
/// its client: the connection then closes when the stream ends.
#[derive(Debug)]
pub struct ConnectionHandle {
    pub(super) commands: mpsc::Sender<Command>,
    pub(super) address: SocketAddr,
}

impl ConnectionHandle {
    /// Closes the connection if it still carries this attempt, even if some or all of the request was written.
    pub fn cancel(&self, attempt_id: AttemptId) {
        let _ = self.commands.try_send(Command::Cancel(attempt_id));
    }

    /// Closes the connection if it still carries this attempt and none of the request was written yet.
    pub fn cancel_if_not_started(&self, attempt_id: AttemptId) {
        let _ = self
            .commands
            .try_send(Command::CancelIfNotStarted(attempt_id));
    }
}
