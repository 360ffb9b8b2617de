//! Detects replayed datagrams. For the latest incarnation of each sender it records the greatest sequence number
//! received, and a bitmap of which of the 128 numbers up to it were received.

use crate::error::DropReason;
use crate::member::Member;
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

/// How long a sender is remembered after its last datagram. After that time all datagrams that it sent before are
/// rejected because of their sending time, even with the greatest accepted clock skew in both directions.
const RETENTION: Duration = Duration::from_secs(300);
/// Length of a sender's bitmap.
const WINDOW_BITS: u32 = u128::BITS;

/// The sequence numbers received from one incarnation of a sender.
#[derive(Debug)]
struct SequenceWindow {
    incarnation: u64,
    greatest: u64,
    /// Bit n is set if the number `greatest - n` was received.
    received: u128,
    last_received_at: Duration,
}

impl SequenceWindow {
    /// Marks a number as received. Returns whether it is new; a number older than the window is not.
    fn mark(&mut self, sequence: u64) -> bool {
        if sequence > self.greatest {
            let ahead = u32::try_from(sequence - self.greatest).ok();
            let shifted = ahead.and_then(|ahead| self.received.checked_shl(ahead));
            self.received = shifted.unwrap_or(0) | 1;
            self.greatest = sequence;
            return true;
        }
        let bit = match u32::try_from(self.greatest - sequence) {
            Ok(behind) if behind < WINDOW_BITS => 1u128 << behind,
            _ => return false,
        };
        let is_new = self.received & bit == 0;
        self.received |= bit;
        is_new
    }
}

/// The sequence numbers received from all senders. Times are the node's monotonic time.
#[derive(Debug)]
pub struct ReplayFilter {
    senders: HashMap<SocketAddrV4, SequenceWindow>,
    max_senders: usize,
    /// Before this time no remembered sender can be forgotten. Set when the maximum is reached; zero until then.
    none_expires_before: Duration,
}

impl ReplayFilter {
    /// A filter that remembers no sender yet, and up to `max_senders` senders.
    pub fn new(max_senders: usize) -> ReplayFilter {
        ReplayFilter {
            senders: HashMap::new(),
            max_senders,
            none_expires_before: Duration::ZERO,
        }
    }

    /// Marks the sequence number as received. Datagrams of an earlier incarnation than the sender's latest are treated
    /// as replays.
    ///
    /// # Errors
    ///
    /// [`DropReason::Replayed`] if the number was received before or is older than the window, or the incarnation is
    /// earlier; [`DropReason::SendersAtCapacity`] for a new sender if no remembered one can be forgotten.
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

    /// Returns whether another sender can be remembered, after forgetting those that have sent nothing for
    /// [`RETENTION`] if the maximum is reached. While none can be forgotten the senders are not searched again: with
    /// many unknown senders the searches would cost much CPU time.
    fn has_capacity(&mut self, now: Duration) -> bool {
        if self.senders.len() >= self.max_senders && now >= self.none_expires_before {
            self.senders
                .retain(|_, window| now.saturating_sub(window.last_received_at) < RETENTION);
            let oldest = self
                .senders
                .values()
                .map(|window| window.last_received_at)
                .min();
            self.none_expires_before = oldest.unwrap_or(now) + RETENTION;
        }
        self.senders.len() < self.max_senders
    }

    fn is_new(&mut self, sender: Member, sequence: u64, now: Duration) -> bool {
        let new_window = SequenceWindow {
            incarnation: sender.incarnation,
            greatest: sequence,
            received: 1,
            last_received_at: now,
        };
        let Some(window) = self.senders.get_mut(&sender.address) else {
            self.senders.insert(sender.address, new_window);
            return true;
        };
        if sender.incarnation != window.incarnation {
            let is_later = sender.incarnation > window.incarnation;
            if is_later {
                *window = new_window;
            }
            return is_later;
        }
        window.last_received_at = now;
        window.mark(sequence)
    }
}

#[cfg(test)]
mod tests;
