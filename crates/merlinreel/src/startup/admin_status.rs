//! The status that the admin endpoint reports.

use crate::admin::AdminStatus;
use crate::client::ClientListener;
use crate::mesh;
use crate::telemetry::metrics::Metrics;
use merlinreel_mesh::runtime::Mesh;
use std::sync::Arc;

/// Provides the status of a running limiter.
pub struct GatewayStatus {
    /// Reports whether requests are accepted and how many are in flight.
    pub client_listener: Arc<ClientListener>,
    /// The mesh; `None` if this limiter is not a member.
    pub mesh: Option<Mesh>,
    /// The metrics of `/stats`.
    pub metrics: Arc<Metrics>,
}

impl AdminStatus for GatewayStatus {
    fn is_serving(&self) -> bool {
        self.client_listener.is_serving()
    }

    fn stats(&self) -> String {
        self.metrics.render(self.client_listener.in_flight())
    }

    fn mesh(&self) -> Option<String> {
        self.mesh.as_ref().map(mesh::status_json)
    }
}
