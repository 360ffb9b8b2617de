//! The format of the configuration file.

use super::error::ConfigError;
use crate::mesh::MeshConfig;
use merlinreel_discovery::Message;
use serde::Deserialize;
use std::net::SocketAddr;

/// The configuration file as it is written.
#[derive(Deserialize, Default)]
pub struct ConfigFile {
    /// This limiter's name.
    pub name: Option<String>,
    /// Where clients connect.
    pub listen: Option<SocketAddr>,
    /// The discovery agent.
    pub discovery: Option<SocketAddr>,
    /// The admin endpoint.
    #[serde(rename = "ops")]
    pub admin: Option<SocketAddr>,
    /// Seeds all random draws.
    pub seed: Option<Seed>,
    /// What the limiter may use of the machine.
    #[serde(default)]
    pub limits: MachineLimits,
    /// Where peer messages arrive.
    pub peer_listen: Option<SocketAddr>,
    /// Where every limiter receives peer messages.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// The endpoints that a process before had from discovery.
    #[serde(rename = "known")]
    pub cached_endpoints: Option<Message>,
    /// The settings of the gateway.
    pub settings: Option<serde_json::Value>,
    /// The mesh of limiters.
    pub mesh: Option<MeshConfig>,
    /// Known and unused: peer messages go to one limiter at a time.
    #[serde(rename = "peers_all")]
    _peers_all: Option<serde_json::Value>,
}

/// What the limiter may use of the machine.
#[derive(Deserialize, Default)]
pub struct MachineLimits {
    /// MiB of memory.
    pub memory_mb: Option<u32>,
    /// Descriptors.
    pub sockets: Option<u32>,
    /// Known and unused: one thread takes one core at most.
    #[serde(rename = "cores")]
    _cores: Option<serde_json::Value>,
}

/// A seed as it is written.
#[derive(Deserialize)]
#[serde(untagged)]
pub enum Seed {
    /// A number.
    Number(u64),
    /// 16 hexadecimal digits.
    Hex(String),
}

impl Seed {
    /// The seed's number.
    ///
    /// # Errors
    ///
    /// The text is no hexadecimal number of 64 bits.
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
    /// Reads the file's text, and names the keys that have no meaning.
    ///
    /// # Errors
    ///
    /// The text is no JSON, or a key's value has the wrong type.
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
        // Discovery's lists may hold more than is read here.
        unknown_keys.retain(|key| !key.starts_with("known."));
        Ok((file, unknown_keys))
    }
}
