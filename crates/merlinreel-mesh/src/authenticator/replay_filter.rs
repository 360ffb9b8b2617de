//! Detects replayed datagrams: for each sender's incarnation the greatest sequence number received, and a bitmap of the
//! 128 numbers up to it.

use crate::error::DropReason;
use crate::member::Member;
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

/// How long a sender is remembered after its last datagram. Anything it sent earlier is refused by then because of its
/// clock, even with the greatest accepted clock skew on both sides.
const RETENTION: Duration = Duration::from_secs(300);
/// Bits of a sender's bitmap.
const WINDOW: u32 = u128::BITS;

/// The sequence numbers received of one sender's incarnation.
#[derive(Debug)]
struct SequenceWindow {
    incarnation: u64,
    greatest: u64,
    /// Bit n: the number `greatest - n` was received.
    received: u128,
    last_received_at: Duration,
}

impl SequenceWindow {
    /// Whether that number of the window's incarnation was not received before; it is marked as received.
    fn mark(&mut self, sequence: u64) -> bool {
        if sequence > self.greatest {
            let ahead = u32::try_from(sequence - self.greatest).ok();
            let shifted = ahead.and_then(|ahead| self.received.checked_shl(ahead));
            self.received = shifted.unwrap_or(0) | 1;
            self.greatest = sequence;
            return true;
        }
        let bit = match u32::try_from(self.greatest - sequence) {
            Ok(behind) if behind < WINDOW => 1u128 << behind,
            _ => return false,
        };
        let is_new = self.received & bit == 0;
        self.received |= bit;
        is_new
    }
}

/// The sequence numbers received of all senders.
#[derive(Debug)]
pub struct ReplayFilter {
    senders: HashMap<SocketAddrV4, SequenceWindow>,
    max_senders: usize,
    /// The earliest time at which a remembered sender may be forgotten, after the maximum was reached.
    full_until: Duration,
}

impl ReplayFilter {
    /// Remembers nothing yet, and up to `max_senders` senders.
    pub fn new(max_senders: usize) -> ReplayFilter {
        ReplayFilter {
            senders: HashMap::new(),
            max_senders,
            full_until: Duration::ZERO,
        }
    }

    /// Marks the sequence number as received. Datagrams of an earlier incarnation than the sender's last are replays.
    ///
    /// # Errors
    ///
    /// [`DropReason::Replayed`] if the number was received before or is older than the window,
    /// [`DropReason::SendersAtCapacity`] for a new sender if no remembered one can be forgotten.
    pub fn accept(
        &mut self,
        sender: Member,
        sequence: u64,
        now: Duration,
    ) -> Result<(), DropReason> {
        if !self.senders.contains_key(&sender.address) && !self.has_capacity(now) {
            return Err(DropReason::SendersAtCapacity);
        }
        if self.is_new(sender, sequence, now) {
            Ok(())
        } else {
            Err(DropReason::Replayed)
        }
    }

    /// Whether another sender can be remembered, once those that were silent for long are forgotten. While none can be
    /// forgotten the senders are not searched again, as many unknown senders would cost much processor time.
    fn has_capacity(&mut self, now: Duration) -> bool {
        if self.senders.len() >= self.max_senders && now >= self.full_until {
            self.senders
                .retain(|_, window| now.saturating_sub(window.last_received_at) < RETENTION);
            let oldest = self
                .senders
                .values()
                .map(|window| window.last_received_at)
                .min();
            self.full_until = oldest.unwrap_or(now) + RETENTION;
        }
        self.senders.len() < self.max_senders
    }

    fn is_new(&mut self, sender: Member, sequence: u64, now: Duration) -> bool {
        let first = SequenceWindow {
            incarnation: sender.incarnation,
            greatest: sequence,
            received: 1,
            last_received_at: now,
        };
        let Some(window) = self.senders.get_mut(&sender.address) else {
            self.senders.insert(sender.address, first);
            return true;
        };
        if sender.incarnation != window.incarnation {
            let is_later = sender.incarnation > window.incarnation;
            if is_later {
                *window = first;
            }
            return is_later;
        }
        window.last_received_at = now;
        window.mark(sequence)
    }
}

#[cfg(test)]
mod tests;
