//! Errors of the configuration.

use super::limits::CapacityError;
use merlinreel_discovery::MessageError;
use merlinreel_settings::SettingsError;
use std::net::SocketAddr;
use thiserror::Error;

/// An error in the configuration. The text names the file, then the invalid key or environment variable.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// `PROXY_CONFIG` is not set.
    #[error("PROXY_CONFIG is not set; set it to the path of the configuration file")]
    FileNotNamed,
    /// The file can't be read.
    #[error(
        "{path}: cannot read the configuration file: {error}; it must exist and be readable by the limiter's user"
    )]
    Unreadable {
        /// Path of the file.
        path: String,
        /// The error of the system call.
        error: std::io::Error,
    },
    /// The file is not valid.
    #[error("{path}: {error}")]
    InFile {
        /// Path of the file.
        path: String,
        /// The error in its content.
        error: Box<ConfigError>,
    },
    /// The text is not a JSON object.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// The value of a key has the wrong type.
    #[error("{key}: {error}")]
    Key {
        /// Path of the key.
        key: String,
        /// The error in its value.
        error: serde_json::Error,
    },
    /// A required key is missing in the file, and its environment variable is not set.
    #[error("{key}: missing, and {variable} is not set; set one of them to an IP address and port")]
    Missing {
        /// Path of the key.
        key: &'static str,
        /// Environment variable that is the fallback for the key.
        variable: &'static str,
    },
    /// An environment variable does not hold an address.
    #[error("{variable}: expected an IP address and port, found '{given}'")]
    InvalidAddress {
        /// Name of the environment variable.
        variable: &'static str,
        /// Value of the environment variable.
        given: String,
    },
    /// The section `settings` is missing.
    #[error("settings: section is missing; add it to the configuration file")]
    SettingsMissing,
    /// A setting has an invalid value.
    #[error("{0}")]
    Settings(#[from] SettingsError),
    /// A required setting is missing or 0.
    #[error("setting {key}: missing or 0; set a number of seconds above 0")]
    SettingMissing {
        /// Path of the setting.
        key: String,
    },
    /// A class or plan has no name, or the name of an earlier one.
    #[error(
        "setting {key}.name: missing or used twice; each class and each plan needs its own name"
    )]
    InvalidName {
        /// Path of the class or plan.
        key: String,
    },
    /// A list in the settings is empty.
    #[error("setting {0}: list is empty; add at least one entry")]
    Empty(&'static str),
    /// The settings enable a counter service, whose protocol is not implemented.
    #[error(
        "setting familyInfo.hasCounter: the protocol of a counter service is not supported; leave the setting out"
    )]
    CounterUnsupported,
    /// The number of peer addresses differs from the number of limiters.
    #[error(
        "peers: found {given} addresses, expected {expected} as in setting balancers; list each limiter's address"
    )]
    PeerCount {
        /// Number of addresses in the file.
        given: usize,
        /// Number of limiters in the settings.
        expected: usize,
    },
    /// Two limiters have the same address.
    #[error("peers: {0} is listed twice; each limiter needs its own address")]
    DuplicatePeer(SocketAddr),
    /// The seed is not a hexadecimal number of 64 bits.
    #[error("seed: expected up to 16 hexadecimal digits, found '{0}'")]
    InvalidSeed(String),
    /// The configured number of descriptors or memory is too small.
    #[error(transparent)]
    Capacity(#[from] CapacityError),
    /// The cached endpoint list is malformed.
    #[error("known.{0}")]
    CachedEndpoints(#[from] MessageError),
}
