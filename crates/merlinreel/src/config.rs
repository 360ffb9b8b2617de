//! Reads, checks and completes the configuration. Errors name the invalid key. Environment variables are the fallback for
//! some keys that the file leaves out.

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
use environment::{ADMIN, CONFIG, DISCOVERY, LISTEN, NAME, SHARED_FOLDER, address_or_variable};
use file::ConfigFile;
use limits::Limits;
use merlinreel_discovery::DiscoveryUpdate;
use merlinreel_settings::{Settings, SettingsTree};
use std::net::SocketAddr;
use std::path::PathBuf;

/// The limiter's name if neither the file nor the environment sets one.
const DEFAULT_NAME: &str = "merlinreel";
/// Memory limit in MiB if the file sets none; fits a small machine.
const DEFAULT_MEMORY_MB: u32 = 192;
/// Limit of open descriptors if the file sets none; fits a small machine.
const DEFAULT_SOCKETS: u32 = 1024;

/// The complete, checked configuration of a limiter.
#[derive(Clone, Debug)]
pub struct GatewayConfig {
    /// This limiter's name in the log and in the mesh.
    pub name: String,
    /// Address at which clients connect, unless a listening socket is inherited.
    pub listen: SocketAddr,
    /// Address of the discovery agent.
    pub discovery: SocketAddr,
    /// Address of the admin endpoint; `None` if it is disabled.
    pub admin: Option<SocketAddr>,
    /// Address at which this limiter receives peer messages; `None` if it exchanges none.
    pub peer_listen: Option<SocketAddr>,
    /// Addresses at which the limiters receive peer messages, this one included, by the limiter's index.
    pub peers: Vec<SocketAddr>,
    /// Seed of all random choices; the process id if the file sets none.
    pub seed: u64,
    /// Limits of the sizes, counts and times of sockets.
    pub limits: Limits,
    /// The gateway's settings, from section `settings`.
    pub settings: Settings,
    /// The endpoint list that a previous process received from discovery; `None` if the file has none.
    pub cached_endpoints: Option<DiscoveryUpdate>,
    /// Configuration of the mesh of limiters; `None` if this limiter is not a member.
    pub mesh: Option<MeshConfig>,
    /// Folder that both processes of an upgrade use; `None` if the environment names none.
    pub shared_folder: Option<PathBuf>,
    /// Paths of unknown keys in the file, which have no effect: misspelt, or meant for another version.
    pub unknown_keys: Vec<String>,
}

/// Loads the configuration file whose path is in `PROXY_CONFIG`. `variable` looks up an environment variable.
///
/// # Errors
///
/// `PROXY_CONFIG` is not set, or the file is not readable or not valid.
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

/// Parses and checks the text of a configuration file. `variable` looks up an environment variable.
///
/// # Errors
///
/// The text is not a valid configuration. The error names the invalid key.
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
        shared_folder: variable(SHARED_FOLDER).map(PathBuf::from),
        unknown_keys,
    })
}
