//! Reloads the configuration of a running limiter.

use super::{GatewayConfig, load};
use crate::log;
use crate::mesh::MeshConfig;
use crate::telemetry::metrics::ReloadOutcome;

/// Loads the configuration file again and updates `current` with what a running limiter can apply: discovery's address, the
/// settings (of which the policy applies the classes and the request limits) and the keys of the mesh. Other changes take
/// effect at the next start. `variable` looks up an environment variable.
pub fn reload(
    current: &mut GatewayConfig,
    variable: impl Fn(&str) -> Option<String>,
) -> ReloadOutcome {
    let new = match load(variable) {
        Ok(new) => new,
        Err(error) => {
            log!("configuration: reload rejected: {error}; the current configuration stays in use");
            return ReloadOutcome::Failed;
        }
    };
    log!(
        "configuration: reloaded; the endpoint list is watched at {}",
        new.discovery
    );
    log_changes(current, &new);
    current.discovery = new.discovery;
    current.settings = new.settings;
    if let (Some(current), Some(new)) = (&mut current.mesh, new.mesh) {
        current.reload_from(new);
    }
    ReloadOutcome::Applied
}

/// Logs which changes take effect only at the next start.
fn log_changes(current: &GatewayConfig, new: &GatewayConfig) {
    let changes = [
        ("name", new.name != current.name),
        ("listen", new.listen != current.listen),
        ("peer_listen", new.peer_listen != current.peer_listen),
        ("peers", new.peers != current.peers),
        ("limits", new.limits != current.limits),
        (
            "mesh",
            mesh_needs_restart(current.mesh.as_ref(), new.mesh.as_ref()),
        ),
    ];
    for (key, has_changed) in changes {
        if has_changed {
            log!("configuration: key {key} has changed; the change takes effect at the next start");
        }
    }
    if new.settings != current.settings {
        log!(
            "configuration: settings have changed; classes and request limits are applied now, the rest at the next start"
        );
    }
}

/// Whether the section `mesh` has changes that a reload does not apply.
fn mesh_needs_restart(current: Option<&MeshConfig>, new: Option<&MeshConfig>) -> bool {
    match (current, new) {
        (Some(current), Some(new)) => current.needs_restart(new),
        (current, new) => current.is_some() != new.is_some(),
    }
}
