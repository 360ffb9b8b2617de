//! The state of a connection's task, and how it handles cancellation and the end of the connection.

use super::attempt::Command;
use super::response_memory::ResponseMemory;
use super::unsolicited_bytes::{UnsolicitedBytes, is_unsolicited};
use crate::config::limits::Limits;
use crate::messages::{AttemptId, Queue};
use crate::telemetry::metrics::Metrics;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::mpsc;

/// The state of a connection's task. The task has at most one connection to its server open at a time; if that has ended
/// when the next attempt arrives, the task opens another one.
pub struct UpstreamConnection {
    /// Commands of the event loop, which closes the connection by dropping the sender.
    pub commands: mpsc::Receiver<Command>,
    /// The server's address, to which the task opens its connections.
    pub address: SocketAddr,
    /// The limits that applied when the connection was opened.
    pub limits: Limits,
    /// Whether load reports in responses are read; if not, they are ignored.
    pub responses_carry_load: bool,
    /// The memory for complete responses, shared by all connections.
    pub response_memory: ResponseMemory,
    /// Receives the result of each attempt.
    pub queue: Queue,
    /// Counts attempts by class.
    pub metrics: Arc<Metrics>,
    /// Whether any server has sent unsolicited bytes; shared by all connections.
    pub unsolicited_bytes: Arc<UnsolicitedBytes>,
}

impl UpstreamConnection {
    /// Waits until this attempt is cancelled, or the event loop drops the connection's handle. A command to cancel the
    /// attempt if it has not started is ignored once `has_started` returns true.
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

    /// Records unsolicited bytes if they are the reason why the connection ended.
    pub(super) fn record_connection_end(&self, result: hyper::Result<()>) {
        if result.is_err_and(|error| is_unsolicited(&error)) {
            self.unsolicited_bytes.record();
        }
    }
}
