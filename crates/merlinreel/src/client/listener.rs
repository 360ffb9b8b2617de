//! State that all client connections of the limiter share.

use super::connection::ClientConnection;
use crate::admission::{AdmissionPermits, SharedIds, SharedIdsError};
use crate::config::limits::Limits;
use crate::messages::{ActiveSettings, Queue};
use crate::stall::StallMonitor;
use crate::telemetry::metrics::Metrics;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Instant;
use tokio::sync::watch;

/// Accepts client connections and holds the state that they share. Its methods are in the modules `accept`, `serving`,
/// `request_reader`, `body`, `eviction` and `shutdown` beside this one.
pub struct ClientListener {
    pub(super) limits: Limits,
    /// The active settings, and the policy's index of each class.
    pub(super) active_settings: watch::Receiver<Arc<ActiveSettings>>,
    /// The event loop's queue.
    pub(super) queue: Queue,
    /// The id of the next request or connection; both are numbered from one sequence.
    pub(super) next_id: AtomicU64,
    /// Set once the listener accepts connections; it stays set during a shutdown.
    pub(super) started: AtomicBool,
    /// When the shutdown was requested. Empty before.
    pub(super) shutdown_requested_at: OnceLock<Instant>,
    /// Set during a shutdown, once responses announce that their connection closes.
    pub(super) announcing_close: AtomicBool,
    pub(super) in_flight: AtomicUsize,
    pub(super) permits: AdmissionPermits,
    pub(super) client_connections: Mutex<HashMap<u64, Arc<ClientConnection>>>,
    pub(super) metrics: Arc<Metrics>,
    pub(super) stall_monitor: Arc<StallMonitor>,
}

impl ClientListener {
    /// Creates a listener that accepts nothing yet. Requests will be sent to `queue`.
    pub fn new(
        limits: Limits,
        active_settings: watch::Receiver<Arc<ActiveSettings>>,
        queue: Queue,
        metrics: Arc<Metrics>,
        stall_monitor: Arc<StallMonitor>,
    ) -> Arc<ClientListener> {
        Arc::new(ClientListener {
            metrics,
            stall_monitor,
            permits: AdmissionPermits::new(&limits),
            limits,
            active_settings,
            queue,
            next_id: AtomicU64::new(0),
            started: AtomicBool::new(false),
            shutdown_requested_at: OnceLock::new(),
            announcing_close: AtomicBool::new(false),
            in_flight: AtomicUsize::new(0),
            client_connections: Mutex::new(HashMap::new()),
        })
    }

    /// Shares the ids of requests with the other process of an upgrade, by files in `folder`. `listen` names the limiter.
    ///
    /// # Errors
    ///
    /// The files can't be created or read.
    pub fn share_ids(&self, folder: &Path, listen: SocketAddr) -> Result<(), SharedIdsError> {
        let limits = &self.limits.client;
        let max_file_bytes = limits.max_shared_ids_bytes;
        let shared = SharedIds::open(folder, listen, limits.max_recent_ids, max_file_bytes)?;
        self.permits.share_ids(shared);
        Ok(())
    }

    /// Number of requests that were read completely and are not answered, or whose response is still streaming.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Whether the limiter reports itself as serving: from the start until a shutdown is requested.
    pub fn is_serving(&self) -> bool {
        self.started.load(Ordering::Relaxed) && self.shutdown_requested_at.get().is_none()
    }

    /// Ends a request in flight and marks its connection idle.
    pub(super) fn complete_request(&self, client_connection: &ClientConnection) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
        client_connection.mark_idle();
        client_connection.busy.store(false, Ordering::Relaxed);
    }
}
