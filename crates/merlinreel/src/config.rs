//! The configuration: one place reads, checks and completes it, and an error names the key at fault. Values of the
//! environment stand in for keys that the file leaves out.

mod check;
mod environment;
mod error;
mod file;
pub mod limits;
mod reload;
#[cfg(test)]
mod tests;

pub use error::ConfigError;
pub use reload::reload;

use crate::mesh::MeshConfig;
use check::{check_peers, check_settings};
use environment::{ADMIN, CONFIG, DISCOVERY, LISTEN, NAME, address_or_variable};
use file::ConfigFile;
use limits::Limits;
use merlinreel_discovery::DiscoveryUpdate;
use merlinreel_settings::{Settings, SettingsTree};
use std::net::SocketAddr;

/// A limiter's name where neither the file nor the environment gives one.
const DEFAULT_NAME: &str = "merlinreel";
/// MiB of memory where the file gives none; enough for a small machine.
const DEFAULT_MEMORY_MB: u32 = 192;
/// Descriptors where the file gives none; enough for a small machine.
const DEFAULT_SOCKETS: u32 = 1024;

/// What a limiter is run with.
#[derive(Clone, Debug)]
pub struct GatewayConfig {
    /// This limiter's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The discovery agent.
    pub discovery: SocketAddr,
    /// The admin endpoint, where there is one.
    pub admin: Option<SocketAddr>,
    /// Where peer messages arrive.
    pub peer_listen: Option<SocketAddr>,
    /// Where every limiter receives peer messages, by its index, this one's included.
    pub peers: Vec<SocketAddr>,
    /// Seeds all random draws.
    pub seed: u64,
    /// Sizes, counts and times that bound the sockets.
    pub limits: Limits,
    /// The settings of the gateway.
    pub settings: Settings,
    /// The endpoints that a process before had from discovery.
    pub cached_endpoints: Option<DiscoveryUpdate>,
    /// The mesh of limiters, where this one is a member.
    pub mesh: Option<MeshConfig>,
    /// Keys of the file that have no meaning here: misspelt, or meant for another version.
    pub unknown_keys: Vec<String>,
}

/// Loads the file that `PROXY_CONFIG` names. `variable` looks up the environment.
///
/// # Errors
///
/// The file is not named, not readable or not valid.
pub fn load(variable: impl Fn(&str) -> Option<String>) -> Result<GatewayConfig, ConfigError> {
    let path = variable(CONFIG).ok_or(ConfigError::FileNotNamed)?;
    let text = match std::fs::read_to_string(&path) {
        Ok(text) => text,
        Err(error) => return Err(ConfigError::Unreadable { path, error }),
    };
    parse(&text, variable).map_err(|error| ConfigError::InFile {
        path,
        error: Box::new(error),
    })
}

/// Reads and checks the text of a configuration file. `variable` looks up the environment.
///
/// # Errors
///
/// The text is no valid configuration; the error's text begins with the key at fault.
pub fn parse(
    text: &str,
    variable: impl Fn(&str) -> Option<String>,
) -> Result<GatewayConfig, ConfigError> {
    let (file, unknown_keys) = ConfigFile::parse(text)?;
    let section = file.settings.ok_or(ConfigError::SettingsMissing)?;
    let settings = Settings::read(&SettingsTree::from_json(&section)?)?;
    check_settings(&settings)?;
    if settings.fleet.peer_messages && file.peer_listen.is_some() {
        check_peers(&file.peers, settings.fleet.limiters as usize)?;
    }
    let seed = match file.seed {
        None => std::process::id().into(),
        Some(seed) => seed.value()?,
    };
    let name = file.name.or_else(|| variable(NAME));
    let has_admin = file.admin.is_some() || variable(ADMIN).is_some();
    Ok(GatewayConfig {
        name: name.unwrap_or_else(|| DEFAULT_NAME.to_owned()),
        listen: address_or_variable("listen", file.listen, LISTEN, &variable)?,
        discovery: address_or_variable("discovery", file.discovery, DISCOVERY, &variable)?,
        admin: has_admin
            .then(|| address_or_variable("ops", file.admin, ADMIN, &variable))
            .transpose()?,
        mesh: file.mesh.map(|mesh| MeshConfig {
            limiters: settings.fleet.limiters as usize,
            ..mesh
        }),
        peer_listen: file.peer_listen,
        peers: file.peers,
        seed,
        limits: Limits::new(
            file.limits.sockets.unwrap_or(DEFAULT_SOCKETS),
            file.limits.memory_mb.unwrap_or(DEFAULT_MEMORY_MB),
            &settings,
        )?,
        cached_endpoints: file
            .cached_endpoints
            .map(DiscoveryUpdate::try_from)
            .transpose()?,
        settings,
        unknown_keys,
    })
}
