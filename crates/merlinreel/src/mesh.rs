//! This limiter's membership in the mesh of all limiters. It is disabled unless the configuration has the section `mesh`.

mod config;
mod key_reload;
mod status;
mod tasks;
#[cfg(test)]
mod tests;

pub use config::{KeyFile, MeshConfig};
pub use key_reload::reload_keys;
pub use status::{LimiterRecord, status_json};
pub use tasks::MeshTasks;
