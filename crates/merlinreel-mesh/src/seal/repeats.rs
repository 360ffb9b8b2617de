//! Which datagrams were seen: for each sender's incarnation the greatest number, and which of the 128 up to it came.

use crate::error::Dropped;
use crate::member::Member;
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

/// A sender is remembered for so long after its last datagram: beyond the clocks' slack on both sides nothing that
/// it sent before is taken anyway.
const MEMORY: Duration = Duration::from_secs(300);

#[derive(Debug)]
struct Seen {
    incarnation: u64,
    greatest: u64,
    /// Bit n: the number `greatest - n` came.
    came: u128,
    at: Duration,
}

#[derive(Debug)]
pub struct Repeats {
    seen: HashMap<SocketAddrV4, Seen>,
    /// Senders remembered at once; all of them hold a key. Bounds the memory.
    most_senders: usize,
    /// Where there was no room: when one of those remembered may be let go of, at the earliest.
    full_until: Duration,
}

impl Repeats {
    /// Nothing seen yet, with room for so many senders.
    pub fn new(most_senders: usize) -> Repeats {
        Repeats {
            seen: HashMap::new(),
            most_senders,
            full_until: Duration::ZERO,
        }
    }

    /// Notes this number where it is new. Of an incarnation before the last one nothing is new. Where there is no room
    /// for another sender, those remembered stay.
    pub fn note(&mut self, from: Member, number: u64, now: Duration) -> Result<(), Dropped> {
        if !self.seen.contains_key(&from.at) && !self.makes_room(now) {
            return Err(Dropped::SendersFull);
        }
        if self.is_new(from, number, now) {
            Ok(())
        } else {
            Err(Dropped::Repeated)
        }
    }

    /// Whether there is room for another sender, once those silent for long are let go of. While none can be, they are
    /// not looked through again: guards the processor against datagrams of many strangers.
    fn makes_room(&mut self, now: Duration) -> bool {
        if self.seen.len() >= self.most_senders && now >= self.full_until {
            self.seen
                .retain(|_, seen| now.saturating_sub(seen.at) < MEMORY);
            let oldest = self.seen.values().map(|seen| seen.at).min();
            self.full_until = oldest.unwrap_or(now) + MEMORY;
        }
        self.seen.len() < self.most_senders
    }

    fn is_new(&mut self, from: Member, number: u64, now: Duration) -> bool {
        let new = Seen {
            incarnation: from.incarnation,
            greatest: number,
            came: 1,
            at: now,
        };
        let Some(seen) = self.seen.get_mut(&from.at) else {
            self.seen.insert(from.at, new);
            return true;
        };
        if from.incarnation != seen.incarnation {
            let later = from.incarnation > seen.incarnation;
            if later {
                *seen = new;
            }
            return later;
        }
        seen.at = now;
        if number > seen.greatest {
            let ahead = number - seen.greatest;
            seen.came = u32::try_from(ahead)
                .ok()
                .and_then(|n| seen.came.checked_shl(n))
                .unwrap_or(0)
                | 1;
            seen.greatest = number;
            return true;
        }
        let bit = match u32::try_from(seen.greatest - number) {
            Ok(behind @ 0..128) => 1u128 << behind,
            _ => return false,
        };
        let first = seen.came & bit == 0;
        seen.came |= bit;
        first
    }
}

#[cfg(test)]
mod tests;
