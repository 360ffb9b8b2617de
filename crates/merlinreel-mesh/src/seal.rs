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
mod tests {
    use super::*;
    use proptest::prelude::*;
    use test_case::test_case;

    fn at(port: u16) -> SocketAddrV4 {
        SocketAddrV4::new([127, 0, 0, 1].into(), port)
    }

    fn member(port: u16) -> Member {
        Member {
            at: at(port),
            incarnation: 1_790_000_000_000,
        }
    }

    fn keys(ids: &[u8], signs: u8) -> Keys {
        Keys::new(
            ids.iter().map(|&id| (id, vec![id; 32])).collect(),
            Some(signs),
        )
        .expect("sound")
    }

    const UNIX: Duration = Duration::from_secs(1_790_000_100);
    const SENDERS: usize = 8;
    const NOW: Duration = Duration::from_secs(50);

    fn sealed() -> Vec<u8> {
        Seal::new(keys(&[1], 1), SENDERS).close(member(1), at(2), UNIX, b"content")
    }

    #[test]
    fn what_was_signed_is_read_once() {
        let (bytes, mut seal) = (sealed(), Seal::new(keys(&[1, 2], 2), SENDERS));
        assert!(
            bytes.len() <= OVERHEAD + b"content".len(),
            "{}",
            bytes.len()
        );
        assert_eq!(
            seal.open(member(2), NOW, UNIX, &bytes),
            Ok((member(1), &b"content"[..]))
        );
        assert_eq!(
            seal.open(member(2), NOW, UNIX, &bytes),
            Err(Dropped::Repeated)
        );
    }

    /// Rotation: the new key is known everywhere before it signs, and the old one for as long as somebody signs so.
    #[test_case(&[1], &[1, 2], 1 => true ; "given out")]
    #[test_case(&[1, 2], &[1, 2], 2 => true ; "signs")]
    #[test_case(&[2, 1], &[2], 2 => true ; "the old one is gone")]
    #[test_case(&[1], &[2], 2 => false ; "a process that was left out")]
    fn keys_rotate_with_an_overlap(receiver: &[u8], sender: &[u8], signs: u8) -> bool {
        let bytes = Seal::new(keys(sender, signs), SENDERS).close(member(1), at(2), UNIX, b"x");
        Seal::new(keys(receiver, receiver[0]), SENDERS)
            .open(member(2), NOW, UNIX, &bytes)
            .is_ok()
    }

    #[test_case(|b| b.truncate(10) => Dropped::Malformed ; "truncated")]
    #[test_case(|b| b.truncate(b.len() - 1) => Dropped::Forged ; "its end cut off")]
    #[test_case(|b| b.resize(MOST_BYTES + 1, 0) => Dropped::Oversized ; "oversized")]
    #[test_case(|b| b.clear() => Dropped::Malformed ; "empty")]
    #[test_case(|b| b[0] = 9 => Dropped::OtherForm ; "a later form")]
    #[test_case(|b| b[1] = 9 => Dropped::UnknownKey ; "a stranger's key")]
    #[test_case(|b| *b.last_mut().expect("bytes") ^= 1 => Dropped::Forged ; "forged")]
    #[test_case(|b| b[4] ^= 1 => Dropped::Forged ; "another sender")]
    fn what_is_not_sound_changes_nothing(spoil: fn(&mut Vec<u8>)) -> Dropped {
        let (sound, mut seal) = (sealed(), Seal::new(keys(&[1], 1), SENDERS));
        let mut bytes = sound.clone();
        spoil(&mut bytes);
        let dropped = seal
            .open(member(2), NOW, UNIX, &bytes)
            .expect_err("not sound");
        assert!(
            seal.open(member(2), NOW, UNIX, &sound).is_ok(),
            "the sound one was noted as seen"
        );
        dropped
    }

    #[test_case(member(3), 0 => Dropped::Forged ; "meant for another")]
    #[test_case(member(2), 61 => Dropped::Clock ; "kept and sent on a minute later")]
    #[test_case(member(1), 0 => Dropped::Forged ; "sent back")]
    fn a_datagram_is_good_for_one_place_and_time(own: Member, later: u64) -> Dropped {
        let unix = UNIX + Duration::from_secs(later);
        Seal::new(keys(&[1], 1), SENDERS)
            .open(own, NOW, unix, &sealed())
            .expect_err("not for it")
    }

    proptest! {
        /// Whatever comes, it is dropped: only who has a key gets through.
        #[test]
        fn noise_is_dropped(mut noise: Vec<u8>, formed: bool) {
            if formed && noise.len() > 2 {
                noise[..2].copy_from_slice(&[FORM, 1]);
            }
            prop_assert!(Seal::new(keys(&[1], 1), SENDERS).open(member(2), NOW, UNIX, &noise).is_err());
        }

        /// A sound datagram with any one byte changed is dropped.
        #[test]
        fn one_byte_changed_is_noticed(place: proptest::sample::Index, by in 1u8..) {
            let mut bytes = sealed();
            let place = place.index(bytes.len());
            bytes[place] = bytes[place].wrapping_add(by);
            prop_assert!(Seal::new(keys(&[1], 1), SENDERS).open(member(2), NOW, UNIX, &bytes).is_err());
        }
    }
}
