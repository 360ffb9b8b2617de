//! How a batch of window counts stands in a peer message between limiters: bytes only, no decisions.

use crate::state::span;
use std::time::Duration;

/// A peer message holds this many bytes at most.
pub const MOST_BYTES: usize = 256;
/// Units travel in steps of an eighth.
const STEPS: f64 = 8.0;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CounterRow {
    pub customer: u64,
    pub plan: usize,
    /// The window's number by its last two bits: older ones are of no use to anybody.
    pub window: u64,
    /// The sender's own units in that window so far.
    pub total: f64,
    /// Units asked for: since the sender's last row, or a second where it says what is left.
    pub asked: Option<f64>,
    /// What the sender holds to be left of the customer's quota, where it was asked.
    pub left: Option<f64>,
    /// How old that reading is, where it is another's that the sender passes on. A limiter that does not know such
    /// rows takes them for a stranger's reading, which changes nothing.
    pub age: Option<Duration>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Head {
    /// When the sender started, in milliseconds: a later life tells its totals anew.
    pub life: u64,
    pub number: u64,
}

fn put(bytes: &mut Vec<u8>, mut value: u64) {
    while value > 0x7f {
        bytes.push(value as u8 | 0x80);
        value >>= 7;
    }
    bytes.push(value as u8);
}

fn take(bytes: &mut &[u8]) -> Option<u64> {
    let mut value = 0u64;
    for shift in (0..63).step_by(7) {
        let (&byte, rest) = bytes.split_first()?;
        *bytes = rest;
        value |= u64::from(byte & 0x7f) << shift;
        if byte & 0x80 == 0 {
            return Some(value);
        }
    }
    None
}

fn signed(units: f64) -> u64 {
    let steps = (units * STEPS).round() as i64;
    ((steps << 1) ^ (steps >> 63)) as u64
}

fn units(value: u64) -> f64 {
    ((value >> 1) as i64 ^ -((value & 1) as i64)) as f64 / STEPS
}

/// Writes rows into as many peer messages as they need, numbered from the head's number on.
pub fn write(mut head: Head, rows: &[CounterRow]) -> Vec<Vec<u8>> {
    let begin = |head: &Head| {
        let mut bytes = Vec::with_capacity(MOST_BYTES);
        put(&mut bytes, head.life);
        put(&mut bytes, head.number);
        bytes
    };
    let mut peer_messages = vec![begin(&head)];
    for row in rows {
        let mut bytes = Vec::new();
        put(&mut bytes, row.customer);
        let kind = u64::from(row.asked.is_some()) << 3 | u64::from(row.left.is_some()) << 2;
        put(&mut bytes, (row.plan as u64) << 4 | kind | row.window & 3);
        // A reading passed on tells no total: its age stands there, below nothing.
        let total = row
            .age
            .map_or(row.total, |age| -(age.as_secs_f64() + 1.0 / STEPS));
        for units in [Some(total), row.asked, row.left].into_iter().flatten() {
            put(&mut bytes, signed(units));
        }
        if peer_messages
            .last()
            .is_some_and(|peer_message| peer_message.len() + bytes.len() > MOST_BYTES)
        {
            head.number += 1;
            peer_messages.push(begin(&head));
        }
        if let Some(peer_message) = peer_messages.last_mut() {
            peer_message.extend(bytes);
        }
    }
    peer_messages
}

/// None where the bytes are no whole peer message.
pub fn read(mut bytes: &[u8]) -> Option<(Head, Vec<CounterRow>)> {
    let head = Head {
        life: take(&mut bytes)?,
        number: take(&mut bytes)?,
    };
    let mut rows = Vec::new();
    while !bytes.is_empty() {
        let (customer, kind) = (take(&mut bytes)?, take(&mut bytes)?);
        let total = units(take(&mut bytes)?);
        rows.push(CounterRow {
            customer,
            plan: usize::try_from(kind >> 4).ok()?,
            window: kind & 3,
            total: total.max(if kind & 4 != 0 { 0.0 } else { f64::MIN }),
            age: (kind & 4 != 0 && total < 0.0).then(|| span(-total - 1.0 / STEPS)),
            asked: if kind & 8 != 0 {
                Some(units(take(&mut bytes)?))
            } else {
                None
            },
            left: if kind & 4 != 0 {
                Some(units(take(&mut bytes)?))
            } else {
                None
            },
        });
    }
    Some((head, rows))
}

#[cfg(test)]
mod tests;
