//! Format of the configuration file.

use super::error::ConfigError;
use crate::mesh::MeshConfig;
use merlinreel_discovery::Message;
use serde::Deserialize;
use std::net::SocketAddr;

/// The content of the configuration file, without defaults.
#[derive(Deserialize, Default)]
pub struct ConfigFile {
    /// This limiter's name in the log and in the mesh.
    pub name: Option<String>,
    /// Address at which clients connect.
    pub listen: Option<SocketAddr>,
    /// Address of the discovery agent.
    pub discovery: Option<SocketAddr>,
    /// Address of the admin endpoint.
    #[serde(rename = "ops")]
    pub admin: Option<SocketAddr>,
    /// Seed of all random choices.
    pub seed: Option<Seed>,
    /// Machine resources that the limiter may use.
    #[serde(default)]
    pub limits: MachineLimits,
    /// Address at which this limiter receives peer messages.
    pub peer_listen: Option<SocketAddr>,
    /// Addresses at which the limiters receive peer messages, by the limiter's index.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// The endpoint list that a previous process received from discovery.
    #[serde(rename = "known")]
    pub cached_endpoints: Option<Message>,
    /// The gateway's settings; required.
    pub settings: Option<serde_json::Value>,
    /// Configuration of the mesh of limiters.
    pub mesh: Option<MeshConfig>,
    /// Accepted and ignored: each peer message is sent to a single limiter.
    #[serde(rename = "peers_all")]
    _peers_all: Option<serde_json::Value>,
}

/// Machine resources that the limiter may use.
#[derive(Deserialize, Default)]
pub struct MachineLimits {
    /// Memory in MiB.
    pub memory_mb: Option<u32>,
    /// Number of open descriptors.
    pub sockets: Option<u32>,
    /// Accepted and ignored: the limiter's one thread uses at most one core.
    #[serde(rename = "cores")]
    _cores: Option<serde_json::Value>,
}

/// A seed in one of the two forms that the file may have.
#[derive(Deserialize)]
#[serde(untagged)]
pub enum Seed {
    /// The seed as a JSON number.
    Number(u64),
    /// The seed as a text of up to 16 hexadecimal digits.
    Hex(String),
}

impl Seed {
    /// Converts the seed to a number.
    ///
    /// # Errors
    ///
    /// The text is not a hexadecimal number of 64 bits.
    pub fn value(self) -> Result<u64, ConfigError> {
        match self {
            Seed::Number(seed) => Ok(seed),
            Seed::Hex(text) => {
                u64::from_str_radix(&text, 16).map_err(|_| ConfigError::InvalidSeed(text))
            }
        }
    }
}

impl ConfigFile {
    /// Parses the text of the file. Also returns the paths of unknown keys.
    ///
    /// # Errors
    ///
    /// The text is not JSON, or the value of a key has the wrong type.
    pub fn parse(text: &str) -> Result<(ConfigFile, Vec<String>), ConfigError> {
        let mut json = serde_json::Deserializer::from_str(text);
        let mut track = serde_path_to_error::Track::new();
        let mut unknown_keys = Vec::new();
        let reader = serde_path_to_error::Deserializer::new(&mut json, &mut track);
        let result = serde_ignored::deserialize(reader, |path| unknown_keys.push(path.to_string()));
        let file = result
            .and_then(|file| json.end().map(|()| file))
            .map_err(|error| {
                let key = track.path().to_string();
                if key == "." {
                    ConfigError::Json(error)
                } else {
                    ConfigError::Key { key, error }
                }
            })?;
        // Endpoint lists from discovery may have keys that the limiter does not use.
        unknown_keys.retain(|key| !key.starts_with("known."));
        Ok((file, unknown_keys))
    }
}
