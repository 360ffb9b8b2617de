//! Which datagrams were seen: for each sender's incarnation the greatest number, and which of the 128 up to it came.

use crate::member::Member;
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

/// A sender is remembered for so long after its last datagram: beyond the clocks' slack on both sides nothing that
/// it sent before is taken anyway.
const MEMORY: Duration = Duration::from_secs(300);
/// Senders remembered at once; all of them hold a key. Bounds the memory.
const SENDERS: usize = 4096;

#[derive(Debug)]
struct Seen {
    incarnation: u64,
    greatest: u64,
    /// Bit n: the number `greatest - n` came.
    came: u128,
    at: Duration,
}

#[derive(Debug, Default)]
pub struct Repeats {
    seen: HashMap<SocketAddrV4, Seen>,
}

impl Repeats {
    /// Whether this number is new, which is noted. Of an incarnation before the last one nothing is new.
    pub fn fresh(&mut self, from: Member, number: u64, now: Duration) -> bool {
        if self.seen.len() >= SENDERS && !self.seen.contains_key(&from.at) {
            self.seen.retain(|_, seen| now.saturating_sub(seen.at) < MEMORY);
            if self.seen.len() >= SENDERS {
                return false;
            }
        }
        let new = Seen { incarnation: from.incarnation, greatest: number, came: 1, at: now };
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
            seen.came = u32::try_from(ahead).ok().and_then(|n| seen.came.checked_shl(n)).unwrap_or(0) | 1;
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
mod tests {
    use super::*;
    use test_case::test_case;

    fn from(incarnation: u64) -> Member {
        Member { at: SocketAddrV4::new([127, 0, 0, 1].into(), 9), incarnation }
    }

    #[test_case(&[(5, 1), (5, 2), (5, 1)] => vec![true, true, false] ; "again")]
    #[test_case(&[(5, 3), (5, 1), (5, 2), (5, 2)] => vec![true, true, true, false] ; "out of order")]
    #[test_case(&[(5, 200), (5, 72), (5, 73)] => vec![true, false, true] ; "too old to tell")]
    #[test_case(&[(5, 1), (5, 500), (5, 1)] => vec![true, true, false] ; "a leap")]
    #[test_case(&[(5, 9), (6, 1), (5, 10), (6, 1)] => vec![true, true, false, false] ; "another life")]
    fn numbers_are_new_once(numbers: &[(u64, u64)]) -> Vec<bool> {
        let mut repeats = Repeats::default();
        numbers.iter().map(|&(life, number)| repeats.fresh(from(life), number, Duration::ZERO)).collect()
    }
}
