//! The section `mesh` of the configuration file.

use merlinreel_mesh::{Key, Keys, MeshError};
use serde::Deserialize;
use std::collections::HashMap;
use std::net::{SocketAddr, SocketAddrV4};
use std::path::PathBuf;

/// Configuration of this limiter's membership in the mesh.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct MeshConfig {
    /// Address at which datagrams of other limiters are received.
    pub listen: SocketAddrV4,
    /// Address at which other limiters reach this one, if addresses are translated on the way; `None` if it is `listen`.
    #[serde(rename = "as")]
    pub advertised: Option<SocketAddrV4>,
    /// Limiters that are asked for the other members. All limiters may have the same list.
    #[serde(default)]
    pub seeds: Vec<SocketAddrV4>,
    /// Keys whose signatures are accepted.
    pub keys: Vec<KeyFile>,
    /// Id of the key that signs this limiter's datagrams; `None` for the first key.
    #[serde(rename = "sign_with")]
    pub signing_key_id: Option<u8>,
    /// Addresses to which datagrams are sent instead of the limiter's own address, by the limiter's own address.
    #[serde(default)]
    pub routes: HashMap<SocketAddrV4, SocketAddr>,
    /// Bytes that may be sent per second, on average.
    #[serde(rename = "bytes_a_second", default = "default_bytes_per_second")]
    pub bytes_per_second: u32,
    /// Number of limiters in the settings, which limits how much is stored about others. Not part of the section.
    #[serde(skip)]
    pub limiters: usize,
}

const fn default_bytes_per_second() -> u32 {
    8000
}

/// A key for the signatures of datagrams, which is stored in a file.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct KeyFile {
    /// Id of the key, the same on all limiters.
    pub id: u8,
    /// Path of the file that holds the key.
    #[serde(rename = "file")]
    pub path: PathBuf,
}

impl MeshConfig {
    /// Reads the key files.
    ///
    /// # Errors
    ///
    /// A file can't be read or is too short, or the list of keys is not valid.
    pub fn read_keys(&self) -> Result<Keys, MeshError> {
        let keys: Result<Vec<Key>, MeshError> = self
            .keys
            .iter()
            .map(|key| Key::read(key.id, &key.path))
            .collect();
        Keys::new(keys?, self.signing_key_id)
    }

    /// Replaces what can change in a running limiter: the keys.
    pub fn reload_from(&mut self, new: MeshConfig) {
        self.keys = new.keys;
        self.signing_key_id = new.signing_key_id;
    }

    /// Whether `new` differs in anything that can't change in a running limiter.
    pub fn needs_restart(&self, new: &MeshConfig) -> bool {
        let mut reloaded = self.clone();
        reloaded.reload_from(new.clone());
        reloaded != *new
    }
}
