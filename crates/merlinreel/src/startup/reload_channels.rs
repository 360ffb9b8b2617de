//! Channels that pass a reloaded configuration to a running limiter.

use crate::config::GatewayConfig;
use crate::mesh::MeshConfig;
use crate::telemetry::metrics::ReloadOutcome;
use merlinreel_settings::Settings;
use std::net::SocketAddr;
use tokio::sync::watch;

/// The parts of the configuration that a reload may change, initially with their values at the start.
#[derive(Debug)]
pub struct ReloadChannels {
    /// The gateway's settings.
    pub settings: watch::Receiver<Settings>,
    /// Address of the discovery agent.
    pub discovery: watch::Receiver<SocketAddr>,
    /// The section `mesh`; `None` if this limiter is not a member. Its key files are read again at each notification.
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
    /// Creates the channels with the values of `config`.
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

    /// Passes a reloaded configuration on. Receivers are notified only of values that have changed, except for the section
    /// `mesh` after a successful reload: its key files may hold other keys under the same paths.
    pub fn publish(&self, config: &GatewayConfig, outcome: ReloadOutcome) {
        self.discovery
            .send_if_modified(|current| replace_if_changed(current, &config.discovery));
        self.settings
            .send_if_modified(|current| replace_if_changed(current, &config.settings));
        if outcome == ReloadOutcome::Applied {
            self.mesh.send_replace(config.mesh.clone());
        }
    }
}

/// Replaces `current` by `new` and returns whether they differed.
fn replace_if_changed<T: Clone + PartialEq>(current: &mut T, new: &T) -> bool {
    let has_changed = current != new;
    if has_changed {
        current.clone_from(new);
    }
    has_changed
}
