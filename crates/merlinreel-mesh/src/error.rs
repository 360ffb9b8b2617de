//! Errors of the mesh, each with what an operator can do about it, and the reasons for which datagrams are dropped.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// The mesh can't be started, or its keys can't be loaded.
#[derive(Debug, Error)]
pub enum MeshError {
    /// The list of keys is empty.
    #[error("mesh.keys: there is none; name at least one key file, the same on all limiters")]
    NoKey,
    /// Two keys have the same id.
    #[error("mesh.keys: id {0} is used twice; give each key an id of its own, from 0 to 255")]
    DuplicateKeyId(u8),
    /// The key that is to sign is not in the list.
    #[error("mesh.sign_with: no key has the id {0}; name the id of a key in mesh.keys")]
    UnknownSigningKey(u8),
    /// A key file can't be read.
    #[error(
        "mesh.keys: {path}: {source}; the file must be there and readable by the limiter's user"
    )]
    UnreadableKey {
        /// The key file.
        path: PathBuf,
        /// The error of the system.
        source: io::Error,
    },
    /// A key file holds too few bytes.
    #[error(
        "mesh.keys: {path} holds {bytes} bytes; a key needs at least {min}, from a random source"
    )]
    ShortKey {
        /// The key file.
        path: PathBuf,
        /// Bytes in the file, white space at its end not counted.
        bytes: usize,
        /// Bytes that a key needs at least.
        min: usize,
    },
    /// The socket can't be bound.
    #[error(
        "mesh.listen: {address}: {source}; the address must be this machine's and its port free"
    )]
    Listen {
        /// The address to bind.
        address: SocketAddr,
        /// The error of the system.
        source: io::Error,
    },
}

/// A record that was not published; nothing has changed.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum PublishError {
    /// The record's body is too long.
    #[error("a record of {bytes} bytes is longer than {max}; shorten it")]
    TooLong {
        /// Bytes of the record's body.
        bytes: usize,
        /// Bytes that a body may have at most.
        max: usize,
    },
    /// This process already publishes as many kinds of records as one process may.
    #[error("this process has {0} kinds of records already, which is the maximum")]
    TooManyKinds(usize),
    /// The value can't be serialized.
    #[error("the record can't be written as JSON: {0}")]
    Serialization(String),
}

/// Why a datagram was dropped. Each reason is counted separately.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq, PartialOrd, Ord)]
pub enum DropReason {
    /// Longer than any datagram of the mesh.
    #[error("longer than the maximum size")]
    Oversized,
    /// Too short, or its header can't be decoded.
    #[error("truncated, or not a datagram of the mesh")]
    Malformed,
    /// Written in another version of the datagram format.
    #[error("of another version of the mesh's format")]
    UnsupportedVersion,
    /// The key id in the header is not configured here.
    #[error("signed with a key that is not known here")]
    UnknownKey,
    /// The signature does not match the content and the receiver.
    #[error("its signature is invalid, or it was meant for another process")]
    InvalidSignature,
    /// Its sequence number was already received, or is too old to be checked.
    #[error("received before, or too old to be checked")]
    Replayed,
    /// The sender's clock and this machine's differ too much.
    #[error("sent at a time far from this machine's clock")]
    ClockSkew,
    /// The sender's address is this process's own.
    #[error("from this process itself")]
    FromSelf,
    /// Correctly signed, but its content can't be decoded or is inconsistent.
    #[error("its content can't be decoded or is inconsistent")]
    InvalidContent,
    /// No further sender's sequence numbers can be remembered.
    #[error(
        "the maximum number of senders is already remembered; see the settings' number of limiters"
    )]
    SendersAtCapacity,
    /// No further member's records can be held.
    #[error(
        "records of the maximum number of processes are already held; see the settings' number of limiters"
    )]
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
