//! Encodes messages as signed datagrams within the send budget, and decodes received ones.

use crate::authenticator::{Authenticator, MAX_DATAGRAM_BYTES, MAX_OVERHEAD_BYTES};
use crate::error::DropReason;
use crate::keys::Keys;
use crate::member::Member;
use crate::send_budget::{Priority, SendBudget};
use crate::wire::{self, Message};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;
use std::time::Duration;

/// Bytes that a message's variant and lengths take at most besides its content.
const MESSAGE_OVERHEAD_BYTES: usize = 8;
/// Bytes of a message's content at most: what one datagram holds.
pub const MAX_MESSAGE_BYTES: usize =
    MAX_DATAGRAM_BYTES - MAX_OVERHEAD_BYTES - MESSAGE_OVERHEAD_BYTES;

/// A datagram that is to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// The receiver.
    pub to: SocketAddrV4,
    /// Its content.
    pub bytes: Vec<u8>,
}

/// Counts since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Datagrams that were received and dropped, by reason.
    pub dropped: BTreeMap<&'static str, u64>,
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes of the datagrams sent.
    pub sent_bytes: u64,
    /// Datagrams received and not dropped before their content was handled.
    pub received: u64,
    /// Datagrams not sent because the send budget was exhausted.
    pub held_back: u64,
    /// Datagrams, and digests in them, of processes for which the capacity is exhausted.
    pub at_capacity: u64,
}

/// A message from a verified sender.
pub struct ReceivedMessage {
    /// The member that sent it.
    pub sender: Member,
    /// The message.
    pub message: Message,
}

/// What stands between messages and the network.
#[derive(Debug)]
pub struct Transport {
    authenticator: Authenticator,
    budget: SendBudget,
    datagrams: VecDeque<Datagram>,
    counters: Counters,
    /// Unix time of the present call of the node.
    unix: Duration,
}

impl Transport {
    /// Signs and verifies with `authenticator`, and sends within `budget`.
    pub fn new(authenticator: Authenticator, budget: SendBudget, unix: Duration) -> Transport {
        Transport {
            authenticator,
            budget,
            datagrams: VecDeque::new(),
            counters: Counters::default(),
            unix,
        }
    }

    /// Sets the Unix time of what is sent and received next.
    pub fn set_unix_time(&mut self, unix: Duration) {
        self.unix = unix;
    }

    /// Signs and verifies with other keys from now on.
    pub fn replace_keys(&mut self, keys: Keys) {
        self.authenticator.replace_keys(keys);
    }

    /// The counts.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Counts a dropped datagram.
    pub fn count_drop(&mut self, reason: DropReason) {
        let count = self.counters.dropped.entry(reason.counter_name());
        *count.or_default() += 1;
    }

    /// Counts that the capacity for another process was exhausted; returns how often it was.
    pub fn count_at_capacity(&mut self) -> u64 {
        self.counters.at_capacity += 1;
        self.counters.at_capacity
    }

    /// Queues a message, or counts it as held back if it exceeds the budget.
    pub fn send(
        &mut self,
        sender: Member,
        to: SocketAddrV4,
        message: &Message,
        priority: Priority,
        now: Duration,
    ) {
        let content = wire::encode(message);
        let bytes = self.authenticator.sign(sender, to, self.unix, &content);
        if bytes.len() > MAX_DATAGRAM_BYTES || !self.budget.try_take(bytes.len(), priority, now) {
            self.counters.held_back += 1;
            return;
        }
        self.counters.sent += 1;
        self.counters.sent_bytes += bytes.len() as u64;
        self.datagrams.push_back(Datagram { to, bytes });
    }

    /// Takes the oldest datagram that is to be sent.
    pub fn next_datagram(&mut self) -> Option<Datagram> {
        self.datagrams.pop_front()
    }

    /// Verifies and decodes a datagram that was received by the process `own`.
    ///
    /// # Errors
    ///
    /// The reason for which it is to be dropped.
    pub fn receive(
        &mut self,
        own: Member,
        bytes: &[u8],
        now: Duration,
    ) -> Result<ReceivedMessage, DropReason> {
        let datagram = self.authenticator.verify(own, now, self.unix, bytes)?;
        let message = wire::decode(datagram.content)?;
        self.counters.received += 1;
        Ok(ReceivedMessage {
            sender: datagram.sender,
            message,
        })
    }
}
