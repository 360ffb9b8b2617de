//! The section `mesh` of the configuration.

use merlinreel_mesh::{Key, Keys, MeshError};
use serde::Deserialize;
use std::collections::HashMap;
use std::net::{SocketAddr, SocketAddrV4};
use std::path::PathBuf;

/// The section `mesh` of the configuration.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct MeshConfig {
    /// Where datagrams of other limiters are received.
    pub listen: SocketAddrV4,
    /// The address at which other limiters reach this one, if addresses are translated on the way.
    #[serde(rename = "as")]
    pub advertised: Option<SocketAddrV4>,
    /// Limiters that are asked for the others. All limiters may have the same list.
    #[serde(default)]
    pub seeds: Vec<SocketAddrV4>,
    /// The keys that are accepted.
    pub keys: Vec<KeyFile>,
    /// The id of the key that signs; the first key signs if it is left out.
    #[serde(rename = "sign_with")]
    pub signing_key_id: Option<u8>,
    /// Where datagrams for a limiter are sent, if not to its own address.
    #[serde(default)]
    pub routes: HashMap<SocketAddrV4, SocketAddr>,
    /// Bytes that may be sent a second.
    #[serde(rename = "bytes_a_second", default = "default_bytes_per_second")]
    pub bytes_per_second: u32,
    /// Number of limiters in the settings, which bounds what is held of others.
    #[serde(skip)]
    pub limiters: usize,
}

const fn default_bytes_per_second() -> u32 {
    8000
}

/// A key in a file.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct KeyFile {
    /// The key's id, the same on all limiters.
    pub id: u8,
    /// The file that holds the key.
    #[serde(rename = "file")]
    pub path: PathBuf,
}

impl MeshConfig {
    /// Reads the key files.
    ///
    /// # Errors
    ///
    /// If a file can't be read or is too short, or the list of keys is not valid.
    pub fn read_keys(&self) -> Result<Keys, MeshError> {
        let keys: Result<Vec<Key>, MeshError> = self
            .keys
            .iter()
            .map(|key| Key::read(key.id, &key.path))
            .collect();
        Keys::new(keys?, self.signing_key_id)
    }

    /// Takes over what a running limiter can change: its keys.
    pub fn reload_from(&mut self, new: MeshConfig) {
        self.keys = new.keys;
        self.signing_key_id = new.signing_key_id;
    }

    /// Whether anything differs that a running limiter can't change.
    pub fn needs_restart(&self, new: &MeshConfig) -> bool {
        let mut reloaded = self.clone();
        reloaded.reload_from(new.clone());
        reloaded != *new
    }
}
