//! What the admin endpoint reports.

use crate::admin::AdminStatus;
use crate::client::ClientListener;
use crate::mesh;
use crate::telemetry::metrics::Metrics;
use merlinreel_mesh::runtime::Mesh;
use std::sync::Arc;

/// The state of a limiter that runs.
pub struct GatewayStatus {
    /// Knows whether requests are accepted.
    pub client_listener: Arc<ClientListener>,
    /// The mesh, where this limiter is a member.
    pub mesh: Option<Mesh>,
    /// Counts what happens.
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
