//! The configuration of a limiter that runs, loaded again.

use super::{GatewayConfig, load};
use crate::log;
use crate::mesh::MeshConfig;
use crate::telemetry::metrics::ReloadOutcome;

/// Loads the file again. Discovery's address, the settings (of which the policy applies classes and attempts) and the keys
/// of the mesh are applied; anything else takes effect at the next start. `variable` looks up the environment.
pub fn reload(
    present: &mut GatewayConfig,
    variable: impl Fn(&str) -> Option<String>,
) -> ReloadOutcome {
    let new = match load(variable) {
        Ok(new) => new,
        Err(error) => {
            log!("configuration reload rejected: {error}; the last configuration is kept");
            return ReloadOutcome::Failed;
        }
    };
    log!(
        "configuration reloaded: the endpoint list is watched at {}",
        new.discovery
    );
    log_changes(present, &new);
    present.discovery = new.discovery;
    present.settings = new.settings;
    if let (Some(present), Some(new)) = (&mut present.mesh, new.mesh) {
        present.reload_from(new);
    }
    ReloadOutcome::Applied
}

/// Logs what takes effect at the next start only.
fn log_changes(present: &GatewayConfig, new: &GatewayConfig) {
    let changes = [
        ("name", new.name != present.name),
        ("listen", new.listen != present.listen),
        ("peer_listen", new.peer_listen != present.peer_listen),
        ("peers", new.peers != present.peers),
        ("limits", new.limits != present.limits),
        (
            "mesh",
            mesh_needs_restart(present.mesh.as_ref(), new.mesh.as_ref()),
        ),
    ];
    for (key, has_changed) in changes {
        if has_changed {
            log!("configuration reloaded: {key} has changed, which takes effect at the next start");
        }
    }
    if new.settings != present.settings {
        log!(
            "configuration reloaded: settings applied: classes and attempts now, the rest at the next start"
        );
    }
}

/// Whether the section has changed in what a reload does not apply.
fn mesh_needs_restart(present: Option<&MeshConfig>, new: Option<&MeshConfig>) -> bool {
    match (present, new) {
        (Some(present), Some(new)) => present.needs_restart(new),
        (present, new) => present.is_some() != new.is_some(),
    }
}
