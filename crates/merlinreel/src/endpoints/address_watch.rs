//! The watch of discovery at one address.
//!
//! Each call follows the last response at once. Where a call fails or is silent the list is kept, and another call is made
//! on a connection of its own beside those that are silent: the first response of any counts and ends all others, so that
//! none arrives late. A discovery that is back is noticed while a call of the outage is still open, and a slow one is not
//! given up just short of its response. Where too many calls are open one is ended (see [`OpenCalls`]).

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

/// A response, and the connection that can carry the next call.
pub struct CallResponse {
    /// The connection.
    pub connection: DiscoveryConnection,
    /// The list, or what has changed of it.
    pub update: DiscoveryUpdate,
}

/// The tasks of the open calls.
pub type CallTasks = JoinSet<Result<CallResponse, DiscoveryError>>;

/// The result of the first call that ends by itself, before the newest one counts as silent. Calls that were aborted have
/// no result: else each of them would be followed by another call at once, without end.
///
/// # Errors
///
/// That call failed, or all are silent.
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
        .unwrap_or(Err(DiscoveryError::NoAnswer(silent_after)))
}

/// The watch of discovery at one address.
pub struct AddressWatch<'a> {
    address: SocketAddr,
    /// Of the list that is known.
    version: Option<u64>,
    limits: &'a Limits,
    queue: &'a Queue,
    /// Taken once the queue has the first list.
    first_list: &'a mut Option<oneshot::Sender<()>>,
    /// Consecutive calls that failed or were silent.
    failed: u32,
    failure_log: FailureLog,
    open_calls: OpenCalls,
    calls: CallTasks,
    /// Idle since the last response.
    connection: Option<DiscoveryConnection>,
}

impl<'a> AddressWatch<'a> {
    /// A watch that has made no call; see [`watch`](super::watch) for its parts.
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
            failed: 0,
            failure_log: FailureLog::default(),
            open_calls: OpenCalls::default(),
            calls: CallTasks::new(),
            connection: None,
        }
    }

    /// Runs until it is dropped.
    pub async fn run(mut self) {
        loop {
            let kind = CallKind::next(self.version, self.first_list.is_some(), self.failed);
            let timing = CallTiming::new(kind, &self.limits.endpoints);
            self.start_call(timing);
            match first_result(&mut self.calls, timing.silent_after).await {
                Ok(response) => self.take_response(response).await,
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

    /// Makes a call on the idle connection, or on a new one.
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

    /// Ends all other calls and passes the update on, where it says anything.
    async fn take_response(&mut self, response: CallResponse) {
        self.calls.shutdown().await;
        self.open_calls.clear();
        self.connection = Some(response.connection);
        let update = response.update;
        self.version = Some(update.version);
        if self.failed > 0 {
            log!("discovery: discovery answers again");
        }
        self.failed = 0;
        self.failure_log = FailureLog::default();
        if !update.endpoints.is_empty() || update.complete {
            let _ = self.queue.send(Event::EndpointUpdate(update)).await;
        }
        if let Some(first_list) = self.first_list.take() {
            // Whoever starts the process may have stopped waiting.
            let _ = first_list.send(());
        }
    }

    fn record_failure(&mut self, error: &DiscoveryError) {
        self.failed = self.failed.saturating_add(1);
        if self.failure_log.admits(error) {
            let failed = self.failed;
            log!("discovery: {error}; the last list is kept ({failed} consecutive failed calls)");
        }
    }
}
