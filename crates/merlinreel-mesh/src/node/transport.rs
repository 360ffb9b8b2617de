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

/// Maximum length of a message's encoded variant and lengths, which precede its content.
const MAX_MESSAGE_OVERHEAD_BYTES: usize = 8;
/// Maximum length of a message's content, which always fits into one datagram.
pub const MAX_MESSAGE_BYTES: usize =
    MAX_DATAGRAM_BYTES - MAX_OVERHEAD_BYTES - MAX_MESSAGE_OVERHEAD_BYTES;

/// A signed datagram to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// The receiver.
    pub to: SocketAddrV4,
    /// The whole datagram, with header and signature.
    pub bytes: Vec<u8>,
}

/// Counters since the start of the process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Datagrams that were received and dropped, by reason.
    pub dropped: BTreeMap<&'static str, u64>,
    /// Datagrams queued for sending.
    pub sent: u64,
    /// Bytes of the datagrams queued for sending.
    pub sent_bytes: u64,
    /// Datagrams that were verified and decoded. A datagram that is dropped when its message is handled is counted in
    /// `dropped` too.
    pub received: u64,
    /// Datagrams not sent because they exceeded the send budget or the maximum size of a datagram.
    pub held_back: u64,
    /// Datagrams, and digests in datagrams, that were not handled because there was no capacity for another process.
    pub at_capacity: u64,
}

/// A message from a verified sender.
pub struct ReceivedMessage {
    /// The member that sent it.
    pub sender: Member,
    /// The decoded message.
    pub message: Message,
}

/// Converts messages to datagrams and back, within the send budget, and counts them.
#[derive(Debug)]
pub struct Transport {
    authenticator: Authenticator,
    budget: SendBudget,
    datagrams: VecDeque<Datagram>,
    counters: Counters,
    /// Unix time at the current call of the node.
    unix_time: Duration,
}

impl Transport {
    /// A transport that signs and verifies with `authenticator` and sends within `budget`.
    pub fn new(authenticator: Authenticator, budget: SendBudget, unix_time: Duration) -> Transport {
        Transport {
            authenticator,
            budget,
            datagrams: VecDeque::new(),
            counters: Counters::default(),
            unix_time,
        }
    }

    /// Sets the Unix time at which the next datagrams are sent and received.
    pub fn set_unix_time(&mut self, unix_time: Duration) {
        self.unix_time = unix_time;
    }

    /// Replaces the keys that sign and verify datagrams.
    pub fn replace_keys(&mut self, keys: Keys) {
        self.authenticator.replace_keys(keys);
    }

    /// Counters since the start of the process.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Counts a dropped datagram.
    pub fn count_drop(&mut self, reason: DropReason) {
        let count = self.counters.dropped.entry(reason.counter_name());
        *count.or_default() += 1;
    }

    /// Counts that there was no capacity for another process; returns the number of occurrences so far.
    pub fn count_at_capacity(&mut self) -> u64 {
        self.counters.at_capacity += 1;
        self.counters.at_capacity
    }

    /// Queues a message for sending as a datagram, or counts it as held back if it exceeds the send budget.
    pub fn send(
        &mut self,
        sender: Member,
        to: SocketAddrV4,
        message: &Message,
        priority: Priority,
        now: Duration,
    ) {
        let content = wire::encode(message);
        let bytes = self
            .authenticator
            .sign(sender, to, self.unix_time, &content);
        if bytes.len() > MAX_DATAGRAM_BYTES || !self.budget.try_take(bytes.len(), priority, now) {
            self.counters.held_back += 1;
            return;
        }
        self.counters.sent += 1;
        self.counters.sent_bytes += bytes.len() as u64;
        self.datagrams.push_back(Datagram { to, bytes });
    }

    /// Takes the oldest queued datagram; `None` if the queue is empty.
    pub fn next_datagram(&mut self) -> Option<Datagram> {
        self.datagrams.pop_front()
    }

    /// Verifies and decodes a datagram that was received by the process `own`.
    ///
    /// # Errors
    ///
    /// The reason for which the datagram must be dropped.
    pub fn receive(
        &mut self,
        own: Member,
        bytes: &[u8],
        now: Duration,
    ) -> Result<ReceivedMessage, DropReason> {
        let datagram = self.authenticator.verify(own, now, self.unix_time, bytes)?;
        let message = wire::decode(datagram.content)?;
        self.counters.received += 1;
        Ok(ReceivedMessage {
            sender: datagram.sender,
            message,
        })
    }
}
