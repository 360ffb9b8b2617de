//! What can be wrong with a configuration.

use super::limits::CapacityError;
use merlinreel_discovery::MessageError;
use merlinreel_settings::SettingsError;
use std::net::SocketAddr;
use thiserror::Error;

/// What is wrong with a configuration: the key at fault first, then what it should be.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The environment names no file.
    #[error("PROXY_CONFIG is not set: it names the configuration file")]
    FileNotNamed,
    /// The file can't be read.
    #[error("{path}: {error}; the file must be there and readable by the limiter's user")]
    Unreadable {
        /// The file.
        path: String,
        /// The system's error.
        error: std::io::Error,
    },
    /// The file is not valid.
    #[error("{path}: {error}")]
    InFile {
        /// The file.
        path: String,
        /// What is wrong with it.
        error: Box<ConfigError>,
    },
    /// The text is no JSON object.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// A key's value has the wrong type.
    #[error("{key}: {error}")]
    Key {
        /// The key's path.
        key: String,
        /// What is wrong with its value.
        error: serde_json::Error,
    },
    /// A required key is missing in the file and in the environment.
    #[error("{key}: is missing, and {variable} is not set")]
    Missing {
        /// The key.
        key: &'static str,
        /// The variable that stands in for it.
        variable: &'static str,
    },
    /// A variable of the environment holds no address.
    #[error("{variable}: '{given}' is no address and port")]
    InvalidAddress {
        /// The variable.
        variable: &'static str,
        /// Its value.
        given: String,
    },
    /// The section `settings` is missing.
    #[error("settings: is missing")]
    SettingsMissing,
    /// A setting has no valid value.
    #[error("{0}")]
    Settings(#[from] SettingsError),
    /// A setting without a default is missing.
    #[error("setting {key}: is missing")]
    SettingMissing {
        /// The setting's path.
        key: String,
    },
    /// A class or a plan has no name of its own.
    #[error("setting {key}.name: is missing or stands there twice")]
    InvalidName {
        /// The path of the class or plan.
        key: String,
    },
    /// A list of the settings has no entry.
    #[error("setting {0}: is empty")]
    Empty(&'static str),
    /// The settings want a counter service.
    #[error("setting familyInfo.hasCounter: this limiter speaks no counter's protocol")]
    CounterUnsupported,
    /// The number of addresses is not that of the limiters.
    #[error("peers: {given} addresses, but setting balancers says {wanted}")]
    PeerCount {
        /// Addresses.
        given: usize,
        /// Limiters.
        wanted: usize,
    },
    /// Two limiters have one address.
    #[error("peers: {0} stands there twice")]
    DuplicatePeer(SocketAddr),
    /// The seed is no number.
    #[error("seed: '{0}' is not 16 hex digits")]
    InvalidSeed(String),
    /// The configured descriptors or memory are too little.
    #[error(transparent)]
    Capacity(#[from] CapacityError),
    /// The cached endpoint list is malformed.
    #[error("known.{0}")]
    CachedEndpoints(#[from] MessageError),
}
