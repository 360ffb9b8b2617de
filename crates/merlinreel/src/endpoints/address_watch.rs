//! Watches discovery at one address by long polling.
//!
//! After a response the next call starts at once. When a call fails or stays without a response, the list is kept and
//! another call starts on a connection of its own, while calls that are still open stay open: the first response to any
//! of them is used and all other calls are aborted, so that no outdated response arrives later. In this way the end of
//! an outage is noticed even while a call made during the outage is still open, and a slow agent's response is not lost
//! by giving up just before it arrives. If too many calls are open, one is aborted (see [`OpenCalls`]).

use super::call_timing::{CallKind, CallTiming, pause_after};
use super::discovery_connection::{DiscoveryConnection, DiscoveryError};
use super::failure_log::FailureLog;
use super::open_calls::{OpenCalls, Progress};
use crate::config::limits::Limits;
use crate::log;
use crate::messages::{Event, Queue};
use merlinreel_discovery::DiscoveryUpdate;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// A response to a call, and the connection that it came on.
pub struct CallResponse {
    /// Idle; can carry the next call.
    pub connection: DiscoveryConnection,
    /// The complete list or the changes since the requested version.
    pub update: DiscoveryUpdate,
}

/// The tasks that run the open calls.
pub type CallTasks = JoinSet<Result<CallResponse, DiscoveryError>>;

/// Waits up to `silent_after` for the first call that responds or fails, and returns its result. Aborted calls are
/// ignored: otherwise each of them would start another call at once, which aborts the next one, and so on.
///
/// # Errors
///
/// That call failed, or no call ended within `silent_after`.
pub async fn first_result(
    calls: &mut CallTasks,
    silent_after: Duration,
) -> Result<CallResponse, DiscoveryError> {
    let first = async {
        loop {
            match calls.join_next().await {
                Some(Ok(result)) => return result,
                Some(Err(_)) => {}
                None => std::future::pending().await,
            }
        }
    };
    timeout(silent_after, first)
        .await
        .unwrap_or(Err(DiscoveryError::NoResponse(silent_after)))
}

/// The state of the watch of discovery at one address.
pub struct AddressWatch<'a> {
    address: SocketAddr,
    /// Version of the last list received or cached; `None` if the full list is needed.
    version: Option<u64>,
    limits: &'a Limits,
    queue: &'a Queue,
    /// Notified after the first response; `None` from then on.
    first_list: &'a mut Option<oneshot::Sender<()>>,
    /// Number of calls that failed or stayed without a response since the last response.
    consecutive_failures: u32,
    failure_log: FailureLog,
    open_calls: OpenCalls,
    calls: CallTasks,
    /// The connection of the last response; idle, so the next call uses it.
    connection: Option<DiscoveryConnection>,
}

impl<'a> AddressWatch<'a> {
    /// Creates a watch that has made no call; see [`watch`](super::watch) for the parameters.
    pub fn new(
        address: SocketAddr,
        version: Option<u64>,
        limits: &'a Limits,
        queue: &'a Queue,
        first_list: &'a mut Option<oneshot::Sender<()>>,
    ) -> AddressWatch<'a> {
        AddressWatch {
            address,
            version,
            limits,
            queue,
            first_list,
            consecutive_failures: 0,
            failure_log: FailureLog::default(),
            open_calls: OpenCalls::default(),
            calls: CallTasks::new(),
            connection: None,
        }
    }

    /// Runs until the future is dropped.
    pub async fn run(mut self) {
        loop {
            let kind = CallKind::next(
                self.version,
                self.first_list.is_some(),
                self.consecutive_failures,
            );
            let timing = CallTiming::new(kind, &self.limits.endpoints);
            self.start_call(timing);
            match first_result(&mut self.calls, timing.silent_after).await {
                Ok(response) => self.handle_response(response).await,
                Err(error) => {
                    self.record_failure(&error);
                    sleep(pause_after(&error, &self.limits.endpoints)).await;
                }
            }
        }
    }

    fn path(&self, timing: CallTiming) -> String {
        match self.version {
            Some(version) => format!(
                "/discovery/hosts?after={version}&wait_ms={}",
                timing.wait.as_millis()
            ),
            None => "/discovery/hosts".to_owned(),
        }
    }

    /// Starts a call on the idle connection, or on a new one if there is none.
    fn start_call(&mut self, timing: CallTiming) {
        let path = self.path(timing);
        let address = self.address;
        let idle = self.connection.take();
        let connect_timeout = self.limits.connect_timeout;
        let max_bytes = self.limits.endpoints.max_list_bytes;
        let progress = Progress::default();
        let call_progress = progress.clone();
        let task = self.calls.spawn(async move {
            let mut connection = match idle {
                Some(connection) => connection,
                None => DiscoveryConnection::open(address, connect_timeout).await?,
            };
            let update = connection.fetch(path, max_bytes, &call_progress).await?;
            Ok(CallResponse { connection, update })
        });
        self.open_calls.add(
            task,
            progress,
            self.limits.endpoints.max_open_calls,
            self.limits.endpoints.watch_timeout,
        );
    }

    /// Aborts all other calls and sends the update to the queue, unless it contains no change. Changes up to a lower version
    /// than the known one come from a new process at the agent's address: its complete list is asked for.
    async fn handle_response(&mut self, response: CallResponse) {
        self.calls.shutdown().await;
        self.open_calls.clear();
        self.connection = Some(response.connection);
        let update = response.update;
        let is_renumbered =
            !update.complete && self.version.is_some_and(|known| update.version < known);
        if is_renumbered {
            // The changes since a version that another process had say nothing of the list that this one has.
            log!("discovery: the agent numbers its lists anew; asking it for the complete list");
            self.version = None;
            return;
        }
        self.version = Some(update.version);
        if self.consecutive_failures > 0 {
            log!("discovery: the agent responds again; endpoint updates resume");
        }
        self.consecutive_failures = 0;
        self.failure_log = FailureLog::default();
        if !update.endpoints.is_empty() || update.complete {
            let _ = self.queue.send(Event::EndpointUpdate(update)).await;
        }
        if let Some(first_list) = self.first_list.take() {
            // Sending fails if startup has stopped waiting for the first list.
            let _ = first_list.send(());
        }
    }

    fn record_failure(&mut self, error: &DiscoveryError) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        if self.failure_log.should_log(error) {
            let consecutive_failures = self.consecutive_failures;
            log!(
                "discovery: {error}; keeping the last endpoint list (consecutive failed calls: {consecutive_failures})"
            );
        }
    }
}
