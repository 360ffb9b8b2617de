//! Signs outgoing datagrams and verifies incoming ones, without I/O.
//!
//! A datagram consists of a [`Header`] encoded with postcard, the content, and the first 16 bytes of an HMAC-SHA256
//! over header, content and the receiver's address.

mod replay_filter;

use crate::error::DropReason;
use crate::keys::Keys;
use crate::member::Member;
use hmac::Mac;
use replay_filter::ReplayFilter;
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;
use std::time::Duration;

/// Maximum size of a datagram, which any network carries without fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// Maximum length of the header and the signature together.
pub const MAX_OVERHEAD_BYTES: usize = 52;
/// Version of the datagram format, the first byte of each datagram.
const FORMAT_VERSION: u8 = 1;
/// Length of the signature, a truncated authentication code.
const SIGNATURE_BYTES: usize = 16;
/// Maximum difference between a datagram's sending time and the receiver's clock. It also bounds the age of a datagram
/// that can be replayed to a process that has just started and remembers no sequence numbers.
const MAX_CLOCK_SKEW_SECONDS: u64 = 60;

/// Header of a datagram. The order and types of its fields define its encoding.
#[derive(Serialize, Deserialize)]
struct Header {
    format_version: u8,
    key_id: u8,
    sender: Member,
    /// Increases with each datagram of one incarnation of the sender.
    sequence: u64,
    /// Unix time of sending in seconds, by the sender's clock.
    sent_at_s: u64,
}

/// Content of a datagram whose signature is valid.
#[derive(Debug, PartialEq, Eq)]
pub struct VerifiedDatagram<'a> {
    /// The member that signed it.
    pub sender: Member,
    /// The bytes between header and signature.
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
    /// An authenticator with these keys, which detects replays of datagrams of up to `max_senders` senders.
    pub fn new(keys: Keys, max_senders: usize) -> Authenticator {
        Authenticator {
            keys,
            last_sequence: 0,
            replay_filter: ReplayFilter::new(max_senders),
        }
    }

    /// Replaces the keys. The sequence numbers already received remain recorded.
    pub fn replace_keys(&mut self, keys: Keys) {
        self.keys = keys;
    }

    /// Returns the signed datagram that carries `content` from `sender`, this process, to the process at `to`.
    /// `unix_time` is the time of sending.
    pub fn sign(
        &mut self,
        sender: Member,
        to: SocketAddrV4,
        unix_time: Duration,
        content: &[u8],
    ) -> Vec<u8> {
        self.last_sequence += 1;
        let key_id = self.keys.signing_id();
        let header = Header {
            format_version: FORMAT_VERSION,
            key_id,
            sender,
            sequence: self.last_sequence,
            sent_at_s: unix_time.as_secs(),
        };
        // postcard can't fail here: the header holds only numbers and addresses and is written to memory.
        let mut bytes = postcard::to_stdvec(&header).unwrap_or_default();
        bytes.extend_from_slice(content);
        if let Some(code) = self.keys.authentication_code(key_id, &bytes, to) {
            bytes.extend_from_slice(&code.finalize().into_bytes()[..SIGNATURE_BYTES]);
        }
        bytes
    }

    /// Verifies a datagram that was received by this process, `own`, and returns its sender and content. `now` is this
    /// process's monotonic time, `unix_time` the Unix time. The sequence number is recorded only after the signature is
    /// verified.
    ///
    /// # Errors
    ///
    /// The reason for which the datagram must be dropped.
    pub fn verify<'a>(
        &mut self,
        own: Member,
        now: Duration,
        unix_time: Duration,
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
        if header.sent_at_s.abs_diff(unix_time.as_secs()) > MAX_CLOCK_SKEW_SECONDS {
            return Err(DropReason::ClockSkew);
        }
        self.replay_filter.accept(sender, header.sequence, now)?;
        Ok(VerifiedDatagram { sender, content })
    }
}

#[cfg(test)]
mod tests;
