//! What datagrams carry between their head and their signature, in postcard's encoding. A process takes what it knows;
//! a message that a newer one adds is a content that makes no sense here, counted and left.

use crate::error::Dropped;
use crate::records::{Stamp, Telling};
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// Processes asked for in one message at most.
pub const MOST_ASKED: usize = 40;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A packet of the membership's own.
    Swim(Vec<u8>),
    /// How far the sender holds whose records; with it, what the receiver holds that is newer, or older, comes back.
    Stamps(Vec<Stamp>),
    /// Records are wanted: whose, in which incarnation, above which number.
    Ask(Vec<(SocketAddrV4, u64, u64)>),
    /// Records; `urgent` ones are passed on at once by who did not have them.
    Tell { urgent: bool, telling: Telling },
}

pub fn encode(message: &Message) -> Vec<u8> {
    // Numbers and bytes into memory: there is nothing in them that postcard can't write.
    postcard::to_stdvec(message).unwrap_or_default()
}

pub fn decode(bytes: &[u8]) -> Result<Message, Dropped> {
    let (message, rest) = postcard::take_from_bytes(bytes).map_err(|_| Dropped::Content)?;
    let fits = match &message {
        Message::Ask(asked) => asked.len() <= MOST_ASKED,
        Message::Tell { telling, .. } => telling.is_sound(),
        Message::Swim(_) | Message::Stamps(_) => true,
    };
    if rest.is_empty() && fits {
        Ok(message)
    } else {
        Err(Dropped::Content)
    }
}

#[cfg(test)]
mod tests;
