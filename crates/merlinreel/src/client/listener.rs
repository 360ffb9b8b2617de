//! What the connections of all clients share.

use super::connection::ClientConnection;
use crate::admission::AdmissionPermits;
use crate::config::limits::Limits;
use crate::hold_up::HoldUpMonitor;
use crate::messages::{ActiveSettings, Queue};
use crate::telemetry::metrics::Metrics;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Instant;
use tokio::sync::watch;

/// Accepts clients' connections, and holds what they share. The modules beside this one say how: `accept`, `serving`,
/// `request_reader`, `eviction` and `shutdown`.
pub struct ClientListener {
    pub(super) limits: Limits,
    /// The settings in force, and the index that the policy has for each class.
    pub(super) active_settings: watch::Receiver<Arc<ActiveSettings>>,
    /// Where the event loop takes its events from.
    pub(super) queue: Queue,
    /// Numbers requests and connections.
    pub(super) next_id: AtomicU64,
    /// Whether requests have been accepted yet.
    pub(super) started: AtomicBool,
    /// When the shutdown was requested.
    pub(super) shutdown_requested_at: OnceLock<Instant>,
    /// From some time after that on: responses announce that their connection closes.
    pub(super) announcing_close: AtomicBool,
    pub(super) in_flight: AtomicUsize,
    pub(super) permits: AdmissionPermits,
    pub(super) client_connections: Mutex<HashMap<u64, Arc<ClientConnection>>>,
    pub(super) metrics: Arc<Metrics>,
    pub(super) hold_ups: Arc<HoldUpMonitor>,
}

impl ClientListener {
    /// A listener that accepts nothing yet; requests go into `queue`.
    pub fn new(
        limits: Limits,
        active_settings: watch::Receiver<Arc<ActiveSettings>>,
        queue: Queue,
        metrics: Arc<Metrics>,
        hold_ups: Arc<HoldUpMonitor>,
    ) -> Arc<ClientListener> {
        Arc::new(ClientListener {
            metrics,
            hold_ups,
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

    /// The number of requests that are completely read and not answered, or whose response is still streaming.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Whether requests are accepted: from the start until a shutdown is requested.
    pub fn is_serving(&self) -> bool {
        self.started.load(Ordering::Relaxed) && self.shutdown_requested_at.get().is_none()
    }

    /// Ends a request in flight: its connection is idle from now on.
    pub(super) fn complete_request(&self, client_connection: &ClientConnection) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
        client_connection.mark_idle();
        client_connection.busy.store(false, Ordering::Relaxed);
    }
}
