//! One connection to a server: what its task needs, and the commands and ends that interrupt an attempt.

use super::attempt::Command;
use super::response_memory::ResponseMemory;
use super::unsolicited_bytes::{UnsolicitedBytes, is_unsolicited};
use crate::config::limits::Limits;
use crate::messages::{AttemptId, Queue};
use crate::telemetry::metrics::Metrics;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::mpsc;

/// One connection to a server.
pub struct UpstreamConnection {
    /// Commands of the event loop, which ends the connection by dropping the other side.
    pub commands: mpsc::Receiver<Command>,
    /// The server's address.
    pub address: SocketAddr,
    /// The bounds in effect.
    pub limits: Limits,
    /// Whether load reports of responses count.
    pub responses_carry_load: bool,
    /// The memory for complete responses.
    pub response_memory: ResponseMemory,
    /// Where results go.
    pub queue: Queue,
    /// Counts attempts.
    pub metrics: Arc<Metrics>,
    /// Records what servers send without a request.
    pub unsolicited_bytes: Arc<UnsolicitedBytes>,
}

impl UpstreamConnection {
    /// Waits for a command to cancel this attempt, or for the event loop's end. A command to cancel it if it has not
    /// started counts as long as `has_started` is false.
    pub(super) async fn wait_for_cancellation(
        &mut self,
        attempt_id: AttemptId,
        has_started: impl Fn() -> bool,
    ) {
        while let Some(command) = self.commands.recv().await {
            match command {
                Command::Cancel(cancelled) if cancelled == attempt_id => return,
                Command::CancelIfNotStarted(cancelled)
                    if cancelled == attempt_id && !has_started() =>
                {
                    return;
                }
                _ => {}
            }
        }
    }

    /// Records that a connection has ended, maybe because of what its server sent behind a response.
    pub(super) fn record_connection_end(&self, result: hyper::Result<()>) {
        if result.is_err_and(|error| is_unsolicited(&error)) {
            self.unsolicited_bytes.record();
        }
    }
}
