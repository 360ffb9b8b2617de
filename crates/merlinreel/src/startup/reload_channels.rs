//! The channels by which a reload reaches a limiter that runs.

use crate::config::GatewayConfig;
use crate::mesh::MeshConfig;
use crate::telemetry::metrics::ReloadOutcome;
use merlinreel_settings::Settings;
use std::net::SocketAddr;
use tokio::sync::watch;

/// What a reload may change while a limiter runs, with the values of the start.
#[derive(Debug)]
pub struct ReloadChannels {
    /// The settings of the gateway.
    pub settings: watch::Receiver<Settings>,
    /// The discovery agent.
    pub discovery: watch::Receiver<SocketAddr>,
    /// The section `mesh`; its key files are read again at each notification.
    pub mesh: watch::Receiver<Option<MeshConfig>>,
}

/// The sending sides of [`ReloadChannels`].
#[derive(Debug)]
pub struct ReloadSenders {
    settings: watch::Sender<Settings>,
    discovery: watch::Sender<SocketAddr>,
    mesh: watch::Sender<Option<MeshConfig>>,
}

impl ReloadSenders {
    /// Channels that hold what `config` says.
    pub fn new(config: &GatewayConfig) -> (ReloadSenders, ReloadChannels) {
        let (discovery_sender, discovery) = watch::channel(config.discovery);
        let (settings_sender, settings) = watch::channel(config.settings.clone());
        let (mesh_sender, mesh) = watch::channel(config.mesh.clone());
        let senders = ReloadSenders {
            settings: settings_sender,
            discovery: discovery_sender,
            mesh: mesh_sender,
        };
        let channels = ReloadChannels {
            settings,
            discovery,
            mesh,
        };
        (senders, channels)
    }

    /// Passes a reloaded configuration on. Receivers hear only of values that have changed, except for the mesh's keys:
    /// the key files may hold other keys under the same names.
    pub fn publish(&self, config: &GatewayConfig, outcome: ReloadOutcome) {
        self.discovery
            .send_if_modified(|present| replace_if_changed(present, &config.discovery));
        self.settings
            .send_if_modified(|present| replace_if_changed(present, &config.settings));
        if outcome == ReloadOutcome::Applied {
            self.mesh.send_replace(config.mesh.clone());
        }
    }
}

/// Whether the value was another.
fn replace_if_changed<T: Clone + PartialEq>(present: &mut T, new: &T) -> bool {
    let has_changed = present != new;
    if has_changed {
        present.clone_from(new);
    }
    has_changed
}
