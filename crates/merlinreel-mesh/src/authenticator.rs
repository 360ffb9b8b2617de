//! Signs outgoing datagrams and verifies incoming ones, without I/O.
//!
//! A datagram is a [`Header`] in postcard's encoding, the content, and the first 16 bytes of an HMAC-SHA256 over both and
//! the receiver's address.

mod replay_filter;

use crate::error::DropReason;
use crate::keys::Keys;
use crate::member::Member;
use hmac::Mac;
use replay_filter::ReplayFilter;
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;
use std::time::Duration;

/// Bytes of a datagram at most: what any network carries unfragmented.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// Bytes that the header and the signature take at most.
pub const MAX_OVERHEAD_BYTES: usize = 52;
/// Version of the datagram format, the first byte of each datagram.
const FORMAT_VERSION: u8 = 1;
/// Bytes of the truncated signature.
const SIGNATURE_BYTES: usize = 16;
/// How far the sender's clock may be from the receiver's, in seconds. It bounds how old a datagram can be that is
/// replayed to a process that starts with no memory.
const MAX_CLOCK_SKEW_S: u64 = 60;

/// Head of a datagram. The order and types of its fields are its encoding.
#[derive(Serialize, Deserialize)]
struct Header {
    format_version: u8,
    key_id: u8,
    sender: Member,
    /// Only grows within one incarnation of the sender.
    sequence: u64,
    /// Unix time in seconds by the sender's clock.
    sent_at_s: u64,
}

/// Content of a datagram whose signature is valid.
#[derive(Debug, PartialEq, Eq)]
pub struct VerifiedDatagram<'a> {
    /// The member that signed it.
    pub sender: Member,
    /// What stands between header and signature.
    pub content: &'a [u8],
}

/// Signs what this process sends and verifies what it receives.
#[derive(Debug)]
pub struct Authenticator {
    keys: Keys,
    last_sequence: u64,
    replay_filter: ReplayFilter,
}

impl Authenticator {
    /// Uses these keys, and detects replays of up to `max_senders` senders.
    pub fn new(keys: Keys, max_senders: usize) -> Authenticator {
        Authenticator {
            keys,
            last_sequence: 0,
            replay_filter: ReplayFilter::new(max_senders),
        }
    }

    /// Uses other keys from now on. The sequence numbers already received stay known.
    pub fn replace_keys(&mut self, keys: Keys) {
        self.keys = keys;
    }

    /// The datagram that carries `content` from this process to the one at `to`; `unix` is the Unix time.
    pub fn sign(
        &mut self,
        sender: Member,
        to: SocketAddrV4,
        unix: Duration,
        content: &[u8],
    ) -> Vec<u8> {
        self.last_sequence += 1;
        let key_id = self.keys.signing_id();
        let header = Header {
            format_version: FORMAT_VERSION,
            key_id,
            sender,
            sequence: self.last_sequence,
            sent_at_s: unix.as_secs(),
        };
        // postcard can't fail here: the header holds only numbers and addresses and is written to memory.
        let mut bytes = postcard::to_stdvec(&header).unwrap_or_default();
        bytes.extend_from_slice(content);
        if let Some(code) = self.keys.authentication_code(key_id, &bytes, to) {
            bytes.extend_from_slice(&code.finalize().into_bytes()[..SIGNATURE_BYTES]);
        }
        bytes
    }

    /// The sender and the content of a datagram that was received by the process `own`. `now` is this process's
    /// monotonic time, `unix` the Unix time. The sender's state changes only after its signature is verified.
    ///
    /// # Errors
    ///
    /// The reason for which the datagram is to be dropped.
    pub fn verify<'a>(
        &mut self,
        own: Member,
        now: Duration,
        unix: Duration,
        bytes: &'a [u8],
    ) -> Result<VerifiedDatagram<'a>, DropReason> {
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(DropReason::Oversized);
        }
        match bytes.first() {
            Some(&FORMAT_VERSION) => {}
            Some(_) => return Err(DropReason::UnsupportedVersion),
            None => return Err(DropReason::Malformed),
        }
        let signed_bytes = bytes
            .len()
            .checked_sub(SIGNATURE_BYTES)
            .ok_or(DropReason::Malformed)?;
        let (signed, signature) = bytes.split_at(signed_bytes);
        let (header, content): (Header, _) =
            postcard::take_from_bytes(signed).map_err(|_| DropReason::Malformed)?;
        let code = self
            .keys
            .authentication_code(header.key_id, signed, own.address)
            .ok_or(DropReason::UnknownKey)?;
        code.verify_truncated_left(signature)
            .map_err(|_| DropReason::InvalidSignature)?;
        let sender = header.sender;
        if sender.address == own.address {
            return Err(DropReason::FromSelf);
        }
        if header.sent_at_s.abs_diff(unix.as_secs()) > MAX_CLOCK_SKEW_S {
            return Err(DropReason::ClockSkew);
        }
        self.replay_filter.accept(sender, header.sequence, now)?;
        Ok(VerifiedDatagram { sender, content })
    }
}

#[cfg(test)]
mod tests;
