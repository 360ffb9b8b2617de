//! Applies changed mesh keys while the limiter runs.

use super::config::MeshConfig;
use crate::log;
use merlinreel_mesh::runtime::Mesh;
use tokio::sync::watch;

/// Reads the key files again each time `configs` changes, until its sender is dropped. If the keys can't be read, the current
/// ones stay in use.
pub async fn reload_keys(mesh: Mesh, mut configs: watch::Receiver<Option<MeshConfig>>) {
    while configs.changed().await.is_ok() {
        let Some(config) = configs.borrow_and_update().clone() else {
            continue;
        };
        match config.read_keys() {
            Ok(keys) => mesh.replace_keys(keys),
            Err(error) => log!("mesh: keys not reloaded: {error}; the current keys stay in use"),
        }
    }
}
