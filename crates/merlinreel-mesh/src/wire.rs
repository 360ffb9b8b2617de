//! The messages that datagrams carry, encoded with postcard. The order and types of all fields and variants define the
//! encoding. A datagram with a message type that a newer version adds can't be decoded; it is dropped and counted.

use crate::error::DropReason;
use crate::records::{Digest, RecordsUpdate};
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// Maximum number of owners whose records one message requests.
pub const MAX_REQUESTS: usize = 40;

/// A request for the records of one owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordsRequest {
    /// The owner's address.
    pub owner: SocketAddrV4,
    /// The owner's incarnation as known to the requesting member. The receiver ignores it.
    pub incarnation: u64,
    /// Records with a greater version are requested.
    pub since_version: u64,
}

/// A message from one member to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A packet of the membership protocol.
    Swim(Vec<u8>),
    /// Which versions of the owners' records the sender holds. The receiver answers with updates where it holds newer
    /// records, and with requests where it holds older ones.
    Digests(Vec<Digest>),
    /// Requests for records that the sender lacks.
    Requests(Vec<RecordsRequest>),
    /// Records of one owner.
    Update {
        /// Whether a receiver to which the records are new pushes the update on to other members at once.
        urgent: bool,
        /// The records and their versions.
        update: RecordsUpdate,
    },
}

/// Encodes a message.
pub fn encode(message: &Message) -> Vec<u8> {
    // postcard can't fail here: messages hold only numbers and bytes and are written to memory.
    postcard::to_stdvec(message).unwrap_or_default()
}

/// Decodes a message.
///
/// # Errors
///
/// [`DropReason::InvalidContent`] if `bytes` are not exactly one message, or its values are inconsistent or exceed a
/// limit.
pub fn decode(bytes: &[u8]) -> Result<Message, DropReason> {
    let (message, rest) =
        postcard::take_from_bytes(bytes).map_err(|_| DropReason::InvalidContent)?;
    let is_valid = match &message {
        Message::Requests(requests) => requests.len() <= MAX_REQUESTS,
        Message::Update { update, .. } => update.is_valid(),
        Message::Swim(_) | Message::Digests(_) => true,
    };
    if rest.is_empty() && is_valid {
        Ok(message)
    } else {
        Err(DropReason::InvalidContent)
    }
}

#[cfg(test)]
mod tests;
