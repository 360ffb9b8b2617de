//! Datagrams signed and checked, without I/O. The form, in postcard's encoding: the form's version, the key's id, the
//! sender, a number that only grows in one incarnation, the sender's Unix time in seconds; then the content; then 16
//! bytes of HMAC-SHA256 over all of that and the address that it is meant for, which is not sent.

mod repeats;

use crate::error::{Dropped, MeshError};
use crate::member::Member;
use hmac::{Hmac, KeyInit, Mac};
use repeats::Repeats;
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::path::Path;
use std::time::Duration;

/// Bytes of a datagram: what passes any network in one piece.
pub const MOST_BYTES: usize = 1200;
/// Bytes that the head and the signature take at most.
pub const OVERHEAD: usize = 52;
const FORM: u8 = 1;
const TAG: usize = 16;
/// Bytes of a key at least, as many as its hash has.
pub const LEAST_KEY: usize = 32;
/// How far the sender's clock may be from the receiver's. It bounds what a process that starts with no memory may
/// still be told again; clocks here are agreed on anyway, as the quotas' windows need.
const CLOCK_SLACK: u64 = 60;

/// Keys by their ids, and the one that signs. All of them are good for checking, so that a new one can be given out
/// everywhere before it signs, and the old one kept until the last process has changed.
#[derive(Clone)]
pub struct Keys {
    all: BTreeMap<u8, Vec<u8>>,
    signs: u8,
}

impl std::fmt::Debug for Keys {
    fn fmt(&self, out: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(
            out,
            "Keys {{ ids: {:?}, signs: {} }}",
            self.all.keys().collect::<Vec<_>>(),
            self.signs
        )
    }
}

impl Keys {
    /// Checks keys in memory; the first signs unless `signs` names another.
    pub fn new(keys: Vec<(u8, Vec<u8>)>, signs: Option<u8>) -> Result<Keys, MeshError> {
        let first = keys.first().ok_or(MeshError::NoKey)?.0;
        let mut all = BTreeMap::new();
        for (id, key) in keys {
            if all.insert(id, key).is_some() {
                return Err(MeshError::KeyTwice(id));
            }
        }
        let signs = signs.unwrap_or(first);
        if all.contains_key(&signs) {
            Ok(Keys { all, signs })
        } else {
            Err(MeshError::NoSuchKey(signs))
        }
    }

    /// Reads keys from files: their bytes as they are, but for white space at the end.
    pub fn read<P: AsRef<Path>>(files: &[(u8, P)], signs: Option<u8>) -> Result<Keys, MeshError> {
        let mut keys = Vec::new();
        for (id, path) in files {
            let path = path.as_ref().to_owned();
            let key = match std::fs::read(&path) {
                Ok(bytes) => bytes.trim_ascii_end().to_vec(),
                Err(error) => return Err(MeshError::KeyUnread { path, error }),
            };
            if key.len() < LEAST_KEY {
                return Err(MeshError::KeyShort {
                    path,
                    bytes: key.len(),
                    least: LEAST_KEY,
                });
            }
            keys.push((*id, key));
        }
        Keys::new(keys, signs)
    }

    fn mac(&self, id: u8, signed: &[u8], to: SocketAddrV4) -> Option<Hmac<Sha256>> {
        let mut mac = Hmac::<Sha256>::new_from_slice(self.all.get(&id)?).ok()?;
        mac.update(signed);
        mac.update(&to.ip().octets());
        mac.update(&to.port().to_be_bytes());
        Some(mac)
    }
}

#[derive(Serialize, Deserialize)]
struct Head {
    form: u8,
    key: u8,
    from: Member,
    number: u64,
    sent: u64,
}

/// Signs what this process sends and checks what it gets.
#[derive(Debug)]
pub struct Seal {
    keys: Keys,
    number: u64,
    repeats: Repeats,
}

impl Seal {
    /// Signs and checks with these keys; repeats are known of so many senders.
    pub fn new(keys: Keys, most_senders: usize) -> Seal {
        Seal {
            keys,
            number: 0,
            repeats: Repeats::new(most_senders),
        }
    }

    /// Other keys from now on. What was seen stays seen.
    pub fn rekey(&mut self, keys: Keys) {
        self.keys = keys;
    }

    /// The datagram that carries `content` from this process to the one at `to`; `unix` is the time.
    pub fn close(
        &mut self,
        from: Member,
        to: SocketAddrV4,
        unix: Duration,
        content: &[u8],
    ) -> Vec<u8> {
        self.number += 1;
        let (key, sent) = (self.keys.signs, unix.as_secs());
        let head = Head {
            form: FORM,
            key,
            from,
            number: self.number,
            sent,
        };
        // Numbers and addresses into memory: there is nothing in them that postcard can't write.
        let mut bytes = postcard::to_stdvec(&head).unwrap_or_default();
        bytes.extend_from_slice(content);
        if let Some(mac) = self.keys.mac(key, &bytes, to) {
            bytes.extend_from_slice(&mac.finalize().into_bytes()[..TAG]);
        }
        bytes
    }

    /// The sender and the content of a datagram that came for the process `own`. Nothing is believed, and nothing
    /// noted of the sender, before the signature is checked.
    pub fn open<'a>(
        &mut self,
        own: Member,
        now: Duration,
        unix: Duration,
        bytes: &'a [u8],
    ) -> Result<(Member, &'a [u8]), Dropped> {
        if bytes.len() > MOST_BYTES {
            return Err(Dropped::Oversized);
        }
        match bytes.first() {
            Some(&FORM) => {}
            Some(_) => return Err(Dropped::OtherForm),
            None => return Err(Dropped::Malformed),
        }
        let signed = bytes.len().checked_sub(TAG).ok_or(Dropped::Malformed)?;
        let (signed, tag) = bytes.split_at(signed);
        let (head, content): (Head, _) =
            postcard::take_from_bytes(signed).map_err(|_| Dropped::Malformed)?;
        let mac = self
            .keys
            .mac(head.key, signed, own.at)
            .ok_or(Dropped::UnknownKey)?;
        mac.verify_truncated_left(tag)
            .map_err(|_| Dropped::Forged)?;
        if head.from.at == own.at {
            return Err(Dropped::Own);
        }
        if head.sent.abs_diff(unix.as_secs()) > CLOCK_SLACK {
            return Err(Dropped::Clock);
        }
        self.repeats.note(head.from, head.number, now)?;
        Ok((head.from, content))
    }
}

#[cfg(test)]
mod tests;
