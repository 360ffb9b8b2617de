//! The messages in a datagram's content, in postcard's encoding. The order and types of all fields and variants are the
//! encoding. A message that a newer version adds can't be decoded here; it is dropped and counted.

use crate::error::DropReason;
use crate::records::{Digest, RecordsUpdate};
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// Owners whose records are requested in one message at most.
pub const MAX_REQUESTS: usize = 40;

/// A request for the records of one owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordsRequest {
    /// The owner's address.
    pub owner: SocketAddrV4,
    /// The owner's incarnation.
    pub incarnation: u64,
    /// Records with a greater version are requested.
    pub since_version: u64,
}

/// A message from one member to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A packet of the membership protocol.
    Swim(Vec<u8>),
    /// Which versions of whose records the sender holds. The receiver answers with updates where it holds newer ones,
    /// and with requests where it holds older ones.
    Digests(Vec<Digest>),
    /// Records that the sender wants.
    Requests(Vec<RecordsRequest>),
    /// Records of one owner.
    Update {
        /// A receiver to which the records are new passes an urgent update on at once.
        urgent: bool,
        /// The records.
        update: RecordsUpdate,
    },
}

/// The message's bytes.
pub fn encode(message: &Message) -> Vec<u8> {
    // postcard can't fail here: messages hold only numbers and bytes and are written to memory.
    postcard::to_stdvec(message).unwrap_or_default()
}

/// The message in these bytes.
///
/// # Errors
///
/// [`DropReason::InvalidContent`] if they are no message, or one whose values are inconsistent or exceed a limit.
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
