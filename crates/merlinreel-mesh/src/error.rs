//! Errors of the mesh, which name a remedy, and the reasons for which datagrams are dropped.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// The mesh can't be started, or its keys can't be loaded.
#[derive(Debug, Error)]
pub enum MeshError {
    /// The list of keys is empty.
    #[error(
        "mesh.keys: expected at least one key, found none; list a key file, the same on all limiters"
    )]
    NoKey,
    /// Two keys have the same id.
    #[error("mesh.keys: two keys have the id {0}; give each key its own id, from 0 to 255")]
    DuplicateKeyId(u8),
    /// No key in the list has the id of the configured signing key.
    #[error("mesh.sign_with: no key in mesh.keys has the id {0}; use the id of a listed key")]
    UnknownSigningKey(u8),
    /// A key file can't be read.
    #[error(
        "mesh.keys: {path} can't be read: {source}; the file must exist and be readable by the limiter's user"
    )]
    UnreadableKey {
        /// Path of the key file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A key file holds too few bytes.
    #[error(
        "mesh.keys: {path} holds {bytes} bytes, expected at least {min} from a random source; write a longer key"
    )]
    ShortKey {
        /// Path of the key file.
        path: PathBuf,
        /// Length of the file in bytes, without white space at its end.
        bytes: usize,
        /// Minimum length of a key in bytes.
        min: usize,
    },
    /// The socket can't be bound.
    #[error(
        "mesh.listen: UDP socket can't be bound to {address}: {source}; use an address of this machine and a free port"
    )]
    Listen {
        /// The configured local address.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
}

/// Why a record was not published. The records published before stay as they are.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum PublishError {
    /// The record's body is too long.
    #[error("record body has {bytes} bytes, expected at most {max}; shorten it")]
    TooLong {
        /// Length of the record's body in bytes.
        bytes: usize,
        /// Maximum length of a body in bytes.
        max: usize,
    },
    /// This process already has records of the maximum number of kinds, which is the value. Withdrawn records count.
    #[error("this process already has records of {0} kinds, the maximum; use one of these kinds")]
    TooManyKinds(usize),
    /// The value can't be serialized.
    #[error("record can't be serialized as JSON: {0}")]
    Serialization(String),
}

/// Why a datagram was dropped. Each reason is counted separately.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq, PartialOrd, Ord)]
pub enum DropReason {
    /// Longer than any datagram of the mesh.
    #[error("longer than the maximum size of a mesh datagram")]
    Oversized,
    /// Too short, or its header can't be decoded.
    #[error("truncated, or not a mesh datagram")]
    Malformed,
    /// Written in another version of the datagram format.
    #[error("of another version of the datagram format")]
    UnsupportedVersion,
    /// The key id in the header is not configured here.
    #[error("signed with a key that is not configured here")]
    UnknownKey,
    /// The signature does not match the content and the receiver.
    #[error("its signature is invalid, or it was addressed to another process")]
    InvalidSignature,
    /// The sequence number was already received or lies below the window of remembered numbers, or a later incarnation
    /// of the sender is known.
    #[error("its sequence number was already received, or is too old to be checked")]
    Replayed,
    /// The sending time is too far from this machine's clock: the clocks differ, or the datagram is old.
    #[error("its sending time is too far from this machine's clock")]
    ClockSkew,
    /// The sender is this process itself, or uses its address.
    #[error("sent by this process itself, or from its address")]
    FromSelf,
    /// Correctly signed, but its content can't be decoded or is inconsistent.
    #[error("its content can't be decoded or is inconsistent")]
    InvalidContent,
    /// The replay filter holds the maximum number of senders, and the sender is not among them.
    #[error(
        "the replay filter already holds the maximum number of senders; check setting balancers"
    )]
    SendersAtCapacity,
    /// Records of the maximum number of owners are held, and the owner is not among them.
    #[error("records of the maximum number of processes are already held; check setting balancers")]
    OwnersAtCapacity,
}

impl DropReason {
    /// The reason's name in [`Counters::dropped`](crate::Counters::dropped) and under `/mesh`.
    pub const fn counter_name(self) -> &'static str {
        match self {
            DropReason::Oversized => "oversized",
            DropReason::Malformed => "malformed",
            DropReason::UnsupportedVersion => "other_form",
            DropReason::UnknownKey => "unknown_key",
            DropReason::InvalidSignature => "forged",
            DropReason::Replayed => "repeated",
            DropReason::ClockSkew => "clock",
            DropReason::FromSelf => "own",
            DropReason::InvalidContent => "content",
            DropReason::SendersAtCapacity => "senders_full",
            DropReason::OwnersAtCapacity => "owners_full",
        }
    }
}
