//! The shared keys with which datagrams are signed.

use crate::error::MeshError;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddrV4;
use std::path::PathBuf;

/// The length of a SHA-256 hash: a shorter key would weaken the signature.
const MIN_KEY_BYTES: usize = 32;

/// One shared key: an id and a secret.
#[derive(Clone, PartialEq, Eq)]
pub struct Key {
    id: u8,
    secret: Vec<u8>,
}

impl fmt::Debug for Key {
    /// Leaves the secret out.
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter
            .debug_struct("Key")
            .field("id", &self.id)
            .finish_non_exhaustive()
    }
}

impl Key {
    /// A key with the given secret, whose length is not checked. All members must use the same id for the same secret.
    pub const fn new(id: u8, secret: Vec<u8>) -> Key {
        Key { id, secret }
    }

    /// Reads a key from a file. The secret is the content of the file without white space at its end.
    ///
    /// # Errors
    ///
    /// [`MeshError::UnreadableKey`] if the file can't be read, [`MeshError::ShortKey`] if it holds fewer than 32 bytes.
    pub fn read(id: u8, path: impl Into<PathBuf>) -> Result<Key, MeshError> {
        let path = path.into();
        let secret = match std::fs::read(&path) {
            Ok(bytes) => bytes.trim_ascii_end().to_vec(),
            Err(source) => return Err(MeshError::UnreadableKey { path, source }),
        };
        if secret.len() < MIN_KEY_BYTES {
            return Err(MeshError::ShortKey {
                path,
                bytes: secret.len(),
                min: MIN_KEY_BYTES,
            });
        }
        Ok(Key { id, secret })
    }
}

/// The keys that this process accepts, and the one with which it signs. Several keys are accepted so that a new key can
/// be distributed to all members before any of them signs with it, and the old one stays valid until all of them have
/// changed.
#[derive(Clone)]
pub struct Keys {
    secrets: BTreeMap<u8, Vec<u8>>,
    signing_id: u8,
}

impl fmt::Debug for Keys {
    /// Leaves the secrets out.
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        let ids: Vec<&u8> = self.secrets.keys().collect();
        formatter
            .debug_struct("Keys")
            .field("ids", &ids)
            .field("signing_id", &self.signing_id)
            .finish()
    }
}

impl Keys {
    /// Accepts these keys; the first one signs unless `signing_id` names another.
    ///
    /// # Errors
    ///
    /// [`MeshError::NoKey`] without any key, [`MeshError::DuplicateKeyId`] if two have the same id,
    /// [`MeshError::UnknownSigningKey`] if none has the id `signing_id`.
    pub fn new(keys: Vec<Key>, signing_id: Option<u8>) -> Result<Keys, MeshError> {
        let first_id = keys.first().ok_or(MeshError::NoKey)?.id;
        let mut secrets = BTreeMap::new();
        for Key { id, secret } in keys {
            if secrets.insert(id, secret).is_some() {
                return Err(MeshError::DuplicateKeyId(id));
            }
        }
        let signing_id = signing_id.unwrap_or(first_id);
        if !secrets.contains_key(&signing_id) {
            return Err(MeshError::UnknownSigningKey(signing_id));
        }
        Ok(Keys {
            secrets,
            signing_id,
        })
    }

    /// The id of the key that signs.
    pub(crate) fn signing_id(&self) -> u8 {
        self.signing_id
    }

    /// The authentication code of the bytes `signed` for the receiver at `to`; `None` if no key has the id `key_id`.
    /// The receiver's address is covered by the code but is not part of the datagram, so that a datagram for one member
    /// can't be replayed to another.
    pub(crate) fn authentication_code(
        &self,
        key_id: u8,
        signed: &[u8],
        to: SocketAddrV4,
    ) -> Option<Hmac<Sha256>> {
        let secret = self.secrets.get(&key_id)?;
        let mut code = Hmac::<Sha256>::new_from_slice(secret).ok()?;
        code.update(signed);
        code.update(&to.ip().octets());
        code.update(&to.port().to_be_bytes());
        Some(code)
    }
}
